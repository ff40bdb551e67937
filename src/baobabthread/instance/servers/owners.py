"""Requests to the instances that decide for single backend servers.

Rendezvous hashing assigns each server to one instance, its owner. A request to an owner
is answered within milliseconds or not at all, as another request of a caller waits.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Generic, Protocol, TypeVar

import msgspec

from baobabthread.core.rendezvous import rank
from baobabthread.instance.clock import now
from baobabthread.instance.timeouts import limit_silence

MAX_SILENCES = 2
"""Consecutive requests without a reply after which an owner is paused or down rather
than a datagram lost."""

SendMessage = Callable[[str, msgspec.Struct], None]


class OwnerRequest(Protocol):
    """A request to the owner of a server."""

    @property
    def sequence(self) -> int:
        """Number that the reply repeats."""

    @property
    def server(self) -> str:
        """Incarnation of the server."""


class OwnerReply(Protocol):
    """The reply of an owner."""

    @property
    def sequence(self) -> int:
        """Number of the request."""

    @property
    def is_owner(self) -> bool:
        """Whether the sender considers itself the server's owner."""


RequestT = TypeVar("RequestT", bound=OwnerRequest)
ReplyT = TypeVar("ReplyT", bound=OwnerReply)


class Owners(Generic[RequestT, ReplyT]):
    """Find the owners of servers, and ask them."""

    __slots__ = (
        "_backoff_s",
        "_backoff_until",
        "_decide",
        "_known",
        "_log_silence",
        "_me",
        "_members",
        "_pending",
        "_prefix",
        "_send",
        "_sequence",
        "_silences",
        "_timeout_s",
    )

    def __init__(
        self,
        *,
        me: str,
        prefix: str,
        timeout_s: float,
        backoff_s: float,
        log_silence: Callable[[str, str], None],
        send: SendMessage,
        decide: Callable[[str, RequestT], ReplyT],
    ) -> None:
        self._me = me
        self._prefix = prefix
        self._timeout_s = timeout_s
        """Time for the reply of an owner."""
        self._backoff_s = backoff_s
        """Time for which an owner isn't asked that does not reply."""
        self._log_silence = log_silence
        """Called with an owner that does not reply, and the server."""
        self._send = send
        self._decide = decide
        """Decides the requests for servers that this instance owns."""
        self._members: list[str] = [me]
        self._known: dict[str, str] = {}
        self._pending: dict[int, asyncio.Future[ReplyT]] = {}
        self._backoff_until: dict[str, float] = {}
        self._silences: dict[str, int] = {}
        """Number of consecutive requests that an owner has not replied to."""
        self._sequence = 0

    def set_members(self, names: list[str]) -> None:
        """Set the instances that serve, including this one."""
        self._members = names or [self._me]
        self._known.clear()
        self._backoff_until = {
            name: at for name, at in self._backoff_until.items() if name in names
        }

    def retain(self, servers: set[str]) -> None:
        """Forget all servers except for these."""
        for name in [name for name in self._known if name not in servers]:
            del self._known[name]

    def find(self, server: str) -> str:
        """Return the instance that decides for a server, as seen from here."""
        owner = self._known.get(server)
        if owner is None:
            owner = rank(f"{self._prefix}/{server}", self._members)[0]
            self._known[server] = owner
        return owner

    def is_own(self, server: str) -> bool:
        """Return whether this instance decides for a server."""
        return self.find(server) == self._me

    def next_sequence(self) -> int:
        """Return the number of the next request."""
        self._sequence += 1
        return self._sequence

    async def ask(self, request: RequestT) -> ReplyT | None:
        """Return the reply of a server's owner, or None if there is none."""
        owner = self.find(request.server)
        if owner == self._me:
            return self._decide(self._me, request)
        if now() < self._backoff_until.get(owner, 0.0):
            return None
        self._send(owner, request)  # type: ignore[arg-type]
        reply = await self.wait(request.sequence, self._timeout_s)
        if reply is None:
            self._record_silence(owner, request.server)
            return None
        self._silences.pop(owner, None)
        return reply if reply.is_owner else None

    async def wait(self, sequence: int, timeout_s: float) -> ReplyT | None:
        """Return the next reply to a request, or None if there is none in time."""
        future: asyncio.Future[ReplyT] = asyncio.get_running_loop().create_future()
        self._pending[sequence] = future
        try:
            async with limit_silence(timeout_s):
                return await future
        except TimeoutError:
            return None
        finally:
            self._pending.pop(sequence, None)

    def is_one_lost(self, server: str) -> bool:
        """Return whether only the last request to a server's owner has no reply."""
        return self._silences.get(self.find(server), 0) > 0

    def is_awaited(self, sequence: int) -> bool:
        """Return whether a request waits for a reply."""
        return sequence in self._pending

    def handle_reply(self, reply: ReplyT) -> bool:
        """Pass a reply to the request that waits for it, if it still does."""
        future = self._pending.get(reply.sequence)
        if future is None or future.done():
            return False
        future.set_result(reply)
        return True

    def _record_silence(self, owner: str, server: str) -> None:
        silences = self._silences[owner] = self._silences.get(owner, 0) + 1
        if silences >= MAX_SILENCES:
            del self._silences[owner]
            self._backoff_until[owner] = now() + self._backoff_s
            self._log_silence(owner, server)
