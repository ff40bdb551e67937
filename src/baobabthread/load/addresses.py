"""The addresses that one caller keeps, as the entries gave them to it."""

from __future__ import annotations

import time
from collections.abc import Sequence
from random import Random

import aiohttp
import msgspec

ASK_TIMEOUT_S = 3.0
UNREACHED_LIFETIME_S = 0.2
BAD_S = 1.0


class Address(msgspec.Struct, frozen=True):
    """Hold one entry's address."""

    address: str
    name: str = ""
    incarnation: str = ""
    failure_domain: str = ""


class AddressAnswer(msgspec.Struct, frozen=True):
    """Hold what an entry answers to a caller."""

    addresses: list[Address]
    lifetime_s: float = 5.0


class AddressBook:
    """Ask for addresses, keep the answer for its lifetime, avoid those that failed."""

    __slots__ = (
        "_bad_until",
        "_entries",
        "_kept",
        "_kept_until",
        "_query",
        "_rng",
        "_scheme",
        "_session",
        "asked",
    )

    def __init__(
        self,
        *,
        session: aiohttp.ClientSession,
        entries: Sequence[str],
        rng: Random,
        caller: str = "",
        failure_domain: str = "",
    ) -> None:
        self._session = session
        # Callers on one host name themselves, so that they are spread as if apart.
        self._query = {"caller": caller} if caller else {}
        if failure_domain:
            self._query["failure_domain"] = failure_domain
        self._entries = [url.rstrip("/") for url in entries]
        self._scheme = self._entries[0].partition("://")[0]
        self._rng = rng
        self._kept: list[Address] = []
        self._kept_until = 0.0
        self._bad_until: dict[str, float] = {}
        self.asked = 0

    async def choose(self) -> Address:
        """Return the best address that did not just fail."""
        if time.monotonic() >= self._kept_until:
            await self._ask()
        now = time.monotonic()
        fit = [a for a in self._kept if self._bad_until.get(a.address, 0.0) <= now]
        # The entries sort near ones first and spread them over callers.
        return (fit or self._kept)[0]

    def url(self, address: Address, path: str) -> str:
        """Return the URL of a path at an entry."""
        return f"{self._scheme}://{address.address}{path}"

    def avoid(self, address: Address, retry_after_s: float | None = None) -> None:
        """Try other entries before this one for a while."""
        pause_s = max(BAD_S, retry_after_s or 0.0)
        self._bad_until[address.address] = time.monotonic() + pause_s
        if len(self._bad_until) > 1000:
            self._bad_until.clear()

    async def _ask(self) -> None:
        kept = [f"{self._scheme}://{item.address}" for item in self._kept]
        first = self._rng.sample(self._entries, len(self._entries))
        for url in [*first, *kept]:
            answer = await self._ask_one(url)
            if answer is not None and answer.addresses:
                self._kept = answer.addresses
                self._kept_until = time.monotonic() + answer.lifetime_s
                return
        # Nobody answers: keep the old addresses, or fall back to the given ones.
        if not self._kept:
            self._kept = [Address(address=url.partition("://")[2]) for url in first]
        self._kept_until = time.monotonic() + UNREACHED_LIFETIME_S

    async def _ask_one(self, url: str) -> AddressAnswer | None:
        self.asked += 1
        timeout = aiohttp.ClientTimeout(total=ASK_TIMEOUT_S)
        try:
            async with self._session.get(
                f"{url}/v1/addresses", params=self._query, timeout=timeout
            ) as response:
                raw = await response.read()
                if response.status != 200:
                    return None
            return msgspec.json.decode(raw, type=AddressAnswer)
        except (aiohttp.ClientError, OSError, msgspec.MsgspecError):
            return None
