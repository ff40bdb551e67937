"""Clients of the platform: log, roster, rating service and weight store."""

from __future__ import annotations

from collections.abc import Sequence
from typing import TypeVar

import aiohttp
import msgspec

from baobabthread.errors import UnavailableError
from baobabthread.ports.log import (
    AppendRefusedError,
    AppendUnknownError,
    LogPage,
    NewRecord,
    ReadError,
)
from baobabthread.ports.ratings import RatedAnswer, RatingsPage
from baobabthread.ports.roster import Instance

CONNECT_S = 1.0
TIMEOUT_S = 3.0
LOAD_TIMEOUT_S = 60.0

T = TypeVar("T")


class _AppendRecord(msgspec.Struct, frozen=True):
    id: str
    body: msgspec.Raw


class _AppendBody(msgspec.Struct, frozen=True):
    records: list[_AppendRecord]


class _AppendDone(msgspec.Struct, frozen=True):
    first: int
    count: int


class _Answers(msgspec.Struct, frozen=True):
    answers: list[RatedAnswer]


class _Instances(msgspec.Struct, frozen=True):
    instances: list[Instance]


class _PlatformClient:
    """Share the session, the base URL and the decoding of replies."""

    __slots__ = ("_session", "_timeout_s", "_url")

    def __init__(
        self,
        *,
        session: aiohttp.ClientSession,
        url: str,
        timeout_s: float = TIMEOUT_S,
    ) -> None:
        self._session = session
        self._url = url.rstrip("/")
        self._timeout_s = timeout_s

    def _timeout(self, extra_s: float = 0.0) -> aiohttp.ClientTimeout:
        return aiohttp.ClientTimeout(
            total=self._timeout_s + extra_s,
            sock_connect=min(CONNECT_S, self._timeout_s),
        )

    async def _ask(
        self, method: str, path: str, *, wanted: int, body: object = None
    ) -> bytes:
        """Return the body of a reply of the wanted status."""
        data = None if body is None else msgspec.json.encode(body)
        try:
            async with self._session.request(
                method,
                f"{self._url}{path}",
                data=data,
                headers={"Content-Type": "application/json"},
                timeout=self._timeout(),
            ) as response:
                raw = await response.read()
        except (aiohttp.ClientError, OSError) as error:
            raise UnavailableError(
                f"{self._url}{path}: {describe_error(error)}",
                remedy="see whether the platform answers at that address",
            ) from error
        if response.status != wanted:
            raise UnavailableError(
                f"{self._url}{path}: status {response.status}",
                remedy="try again when the platform's outage is over",
            )
        return raw


class LogClient(_PlatformClient):
    """Append to and read from the platform's log over HTTP."""

    __slots__ = ()

    async def append(self, stream: str, records: Sequence[NewRecord]) -> int:
        """Append a batch and return the offset of its first record."""
        rows = [_AppendRecord(id=row.id, body=msgspec.Raw(row.body)) for row in records]
        try:
            async with self._session.post(
                f"{self._url}/v1/streams/{stream}/records",
                data=msgspec.json.encode(_AppendBody(records=rows)),
                headers={"Content-Type": "application/json"},
                timeout=self._timeout(),
            ) as response:
                raw = await response.read()
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise AppendRefusedError(describe_error(error)) from error
        except (aiohttp.ClientError, OSError) as error:
            # The append may have taken effect with only its reply lost: whoever
            # repeats it blindly would see the record twice.
            raise AppendUnknownError(describe_error(error)) from error
        return _judge_append(response, raw)

    async def read(
        self, stream: str, *, after: int, limit: int = 1000, wait_s: float = 0.0
    ) -> LogPage:
        """Return records behind an offset, waiting for one if there is none."""
        try:
            async with self._session.get(
                f"{self._url}/v1/streams/{stream}/records",
                params={
                    "after": str(after),
                    "limit": str(limit),
                    "wait_ms": str(int(wait_s * 1000)),
                },
                timeout=self._timeout(wait_s),
            ) as response:
                raw = await response.read()
        except (aiohttp.ClientError, OSError) as error:
            raise ReadError(describe_error(error)) from error
        if response.status != 200:
            raise ReadError(
                f"status {response.status}", retry_after_s=_retry_after(response)
            )
        try:
            page = msgspec.json.decode(raw, type=LogPage)
        except msgspec.MsgspecError as error:
            raise ReadError(f"not a page: {error}") from error
        return page


class RosterClient(_PlatformClient):
    """Read and keep the platform's list of instances over HTTP."""

    __slots__ = ()

    async def list_instances(self) -> list[Instance]:
        """Return the instances that the platform lists, late as it is."""
        raw = await self._ask("GET", "/v1/instances", wanted=200)
        return _decode(raw, _Instances).instances

    async def put(self, instance: Instance) -> None:
        """Enter or replace one instance."""
        path = f"/v1/instances/{instance.name}"
        await self._ask("PUT", path, wanted=200, body=instance)

    async def remove(self, name: str) -> None:
        """Take one instance out of the list."""
        await self._ask("DELETE", f"/v1/instances/{name}", wanted=200)


class RatingsClient(_PlatformClient):
    """Hand in answers and read their ratings over HTTP."""

    __slots__ = ()

    async def submit(self, answers: Sequence[RatedAnswer]) -> None:
        """Hand in answers to be rated."""
        body = _Answers(answers=list(answers))
        await self._ask("POST", "/v1/answers", wanted=202, body=body)

    async def read(self, *, after: int) -> RatingsPage:
        """Return the ratings behind a sequence number."""
        raw = await self._ask("GET", f"/v1/ratings?after={after}", wanted=200)
        return _decode(raw, RatingsPage)


class WeightsClient(_PlatformClient):
    """Load weights over HTTP."""

    __slots__ = ()

    async def load(self, version: str) -> None:
        """Load the weights of one version or raise an UnavailableError."""
        await self._ask("GET", f"/v1/weights/{version}", wanted=200)


def describe_error(error: Exception) -> str:
    """Return the error's class and text in one line."""
    return f"{type(error).__name__} {error}".strip()


def _judge_append(response: aiohttp.ClientResponse, raw: bytes) -> int:
    if response.status == 200:
        try:
            return msgspec.json.decode(raw, type=_AppendDone).first
        except msgspec.MsgspecError as error:
            raise AppendUnknownError(f"not a reply: {error}") from error
    text = f"status {response.status}"
    if response.status in (429, 503) or 400 <= response.status < 500:
        raise AppendRefusedError(text, retry_after_s=_retry_after(response))
    raise AppendUnknownError(text)


def _retry_after(response: aiohttp.ClientResponse) -> float:
    try:
        return max(0.0, float(response.headers.get("Retry-After", "0")))
    except ValueError:
        return 0.0


def _decode(raw: bytes, kind: type[T]) -> T:
    try:
        return msgspec.json.decode(raw, type=kind)
    except msgspec.MsgspecError as error:
        raise UnavailableError(
            f"the platform's reply can't be read: {error}",
            remedy="see that the platform speaks the same protocol",
        ) from error
