"""Connections of the listeners, and which of them are closed when there are too many.

A connection that holds no whole request is closed before one that does, and a request
that is being processed is never cut off.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator
from typing import Protocol

import msgspec

from baobabthread.loglimits import LineRateLimiter
from baobabthread.logs import write_event

LINES_PER_S = 1.0
"""Log lines per second of each kind for what clients send."""
SHED_FRACTION = 0.9
"""Part of the memory limit that is left when connections were closed for it."""
MIN_SHED_INTERVAL_S = 0.02
MIN_SHED_UNSENT_BYTES = 16_384
"""Bytes of responses from which on a client that has not taken them is cut off."""
SWEEP_INTERVAL_S = 0.5
MAX_SWEEP_DELAY_S = 1.0
"""Delay of a sweep from which on requests may have arrived that were not read yet."""
SENT_POLL_INTERVAL_S = 0.02
STALL_TIMEOUT_S = 15.0
"""Time after which a client that takes nothing of its response counts as gone."""
NETWORK_DELAY_S = 15.0
"""Added to the time limits of clients: a partition may hold up what they have sent."""


class ClientLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Limits on what a client may send, and on the time that it may take."""

    max_head_bytes: int = 16_384
    head_timeout_s: float = 5.0
    idle_timeout_s: float = 60.0


class HeldConnection(Protocol):
    """Connection whose memory is counted."""

    held_bytes: int
    idle_since: float
    head_began_at: float | None

    @property
    def awaits_request(self) -> bool:
        """Whether no request has begun, apart from its head."""

    @property
    def unsent_bytes(self) -> int:
        """Bytes of responses that the client has not taken yet."""

    def drop(self) -> None:
        """Close the connection at once."""

    def drop_ahead(self) -> None:
        """Drop the requests that were sent ahead of the current response."""


class ConnectionMemory:
    """Memory that the connections of all listeners hold, bounded in total."""

    __slots__ = (
        "_groups",
        "_is_shedding",
        "_next_shed_at",
        "held_bytes",
        "limit_bytes",
    )

    def __init__(self, *, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.held_bytes = 0
        self._groups: list[ConnectionGroup] = []
        self._next_shed_at = 0.0
        self._is_shedding = False

    def add_group(self, group: ConnectionGroup) -> None:
        """Close connections of a group, too, when memory runs out."""
        self._groups.append(group)

    @property
    def is_full(self) -> bool:
        """Whether no further request can be held."""
        return self.held_bytes > self.limit_bytes

    def resize(self, connection: HeldConnection, size: int) -> None:
        """Count `size` bytes for a connection; close others if there are too many."""
        self.held_bytes += size - connection.held_bytes
        connection.held_bytes = size
        if self.is_full and not self._is_shedding:
            self._is_shedding = True
            try:
                self._shed()
            finally:
                self._is_shedding = False

    def _shed(self) -> None:
        """Close connections until the memory is well below its limit."""
        time = asyncio.get_running_loop().time()
        if time < self._next_shed_at:
            return
        target = int(SHED_FRACTION * self.limit_bytes)
        for group in self._groups:
            group.count_shed = 0
        for connection, shed in self._list_sheddable():
            if self.held_bytes <= target:
                break
            shed(connection)
        if self.is_full:
            self._next_shed_at = time + MIN_SHED_INTERVAL_S
        for group in self._groups:
            if group.count_shed:
                group.log("connections_shed", count=group.count_shed, reason="memory")

    def _list_sheddable(
        self,
    ) -> Iterator[tuple[HeldConnection, Callable[[HeldConnection], None]]]:
        """List the connections in the order in which memory is taken from them."""
        by_size = sorted(
            ((each, group) for group in self._groups for each in group.idle),
            key=lambda pair: -pair[0].held_bytes,
        )
        for connection, group in by_size:
            if not connection.held_bytes:
                break
            yield connection, group.shed
        for group in self._groups:
            for connection in group.list_busy():
                yield connection, _drop_ahead
        unread = sorted(
            ((each, group) for group in self._groups for each in group.connections),
            key=lambda pair: -pair[0].unsent_bytes,
        )
        for connection, group in unread:
            if connection.unsent_bytes < MIN_SHED_UNSENT_BYTES:
                return
            yield connection, group.shed


class _UnreadBytes(msgspec.Struct, frozen=True):
    """Number of bytes that a client has not taken, and since when it is the same."""

    size: int
    since: float


class ConnectionGroup:
    """Connections of one listener, bounded in number."""

    def __init__(
        self,
        *,
        name: str,
        max_connections: int,
        memory: ConnectionMemory,
        find_limits: Callable[[], ClientLimits] = ClientLimits,
        closes_stalled: bool = True,
    ) -> None:
        self.name = name
        self._closes_stalled = closes_stalled
        self.max_connections = max_connections
        self.memory = memory
        self.find_limits = find_limits
        self.connections: dict[HeldConnection, None] = {}
        """Connections that are open, including those that are being set up."""
        self.idle: dict[HeldConnection, None] = {}
        """Connections that hold no whole request, the longest idle first."""
        self.count_shed = 0
        """Connections closed for memory in the present round."""
        self._unread: dict[HeldConnection, _UnreadBytes] = {}
        """Bytes that clients have not taken, as far as that matters."""
        self._limiters: dict[str, LineRateLimiter] = {}
        memory.add_group(self)

    @property
    def is_full(self) -> bool:
        """Whether no further connection may be accepted."""
        return len(self.connections) >= self.max_connections

    def add(self, connection: HeldConnection) -> None:
        """Track a connection that was accepted."""
        self.connections[connection] = None
        self.mark_idle(connection)

    def remove(self, connection: HeldConnection) -> None:
        """Forget a connection that was closed."""
        if connection in self.connections:
            del self.connections[connection]
            self.idle.pop(connection, None)
            self._unread.pop(connection, None)
            self.memory.resize(connection, 0)

    def mark_idle(self, connection: HeldConnection) -> None:
        """Record that a connection holds no whole request from now on."""
        connection.idle_since = asyncio.get_running_loop().time()
        self.idle[connection] = None
        self._unread.pop(connection, None)

    def mark_busy(self, connection: HeldConnection) -> None:
        """Record that a connection holds a whole request."""
        self.idle.pop(connection, None)

    def list_busy(self) -> list[HeldConnection]:
        """Return the connections that hold a whole request."""
        return [each for each in self.connections if each not in self.idle]

    def evict_one(self) -> bool:
        """Close the longest idle connection; return False if there is none.

        One whose client has not taken its response yet is kept if possible.
        """
        oldest = next(iter(self.idle), None)
        if oldest is None:
            return False
        taken = (each for each in self.idle if not each.unsent_bytes)
        self._close(next(taken, oldest), "connections")
        return True

    def shed(self, connection: HeldConnection) -> None:
        """Close a connection for the memory that it holds."""
        self.count_shed += 1
        self.idle.pop(connection, None)
        self.memory.resize(connection, 0)
        connection.drop()

    def close_overdue(self) -> None:
        """Close connections whose clients take too long to send or to read."""
        time = asyncio.get_running_loop().time()
        limits = self.find_limits()
        head_since = time - limits.head_timeout_s - NETWORK_DELAY_S
        idle_since = time - limits.idle_timeout_s - NETWORK_DELAY_S
        for connection in list(self.idle):
            began_at = connection.head_began_at
            if began_at is not None and began_at < head_since:
                self._close(connection, "head_timeout")
            elif connection.awaits_request and connection.idle_since < idle_since:
                self._close_unless_reading(connection)
        if self._closes_stalled:
            for connection in self.list_busy():
                self._close_if_stalled(connection, time)

    def _close_unless_reading(self, connection: HeldConnection) -> None:
        """Close an overdue connection, unless its client has taken some bytes since."""
        size = connection.unsent_bytes
        unread = self._unread.get(connection)
        if not size or (unread is not None and unread.size == size):
            self._close(connection)
            return
        del self.idle[connection]
        self.mark_idle(connection)
        self._unread[connection] = _UnreadBytes(size, connection.idle_since)

    def _close_if_stalled(self, connection: HeldConnection, time: float) -> None:
        """Close a connection whose client takes nothing of a response any more."""
        size = connection.unsent_bytes
        unread = self._unread.get(connection)
        if not size:
            self._unread.pop(connection, None)
        elif unread is None or unread.size != size:
            self._unread[connection] = _UnreadBytes(size, time)
        elif time - unread.since > STALL_TIMEOUT_S:
            self._close(connection, "unread")

    async def wait_sent(self, timeout_s: float) -> None:
        """Wait until clients have taken their responses, or for `timeout_s` seconds.

        Clients of which none takes anything for `STALL_TIMEOUT_S` are not waited for.
        """
        loop = asyncio.get_running_loop()
        until = loop.time() + timeout_s
        unsent_bytes, progressed_at = -1, 0.0
        while loop.time() < until:
            left = sum(each.unsent_bytes for each in self.connections)
            if left != unsent_bytes:
                unsent_bytes, progressed_at = left, loop.time()
            if not left or loop.time() - progressed_at > STALL_TIMEOUT_S:
                return
            await asyncio.sleep(SENT_POLL_INTERVAL_S)

    def _close(self, connection: HeldConnection, reason: str | None = None) -> None:
        self.idle.pop(connection, None)
        connection.drop()
        if reason is not None:
            self.log("connection_closed", reason=reason)

    def log(self, event: str, **fields: object) -> None:
        """Log what a client did, up to a number of lines per second."""
        limiter = self._limiters.get(event)
        if limiter is None:
            limiter = self._limiters[event] = LineRateLimiter(per_s=LINES_PER_S)
        if limiter.try_acquire():
            suppressed, limiter.suppressed = limiter.suppressed, 0
            common = {
                "listener": self.name,
                "open": len(self.connections),
                "held_bytes": self.memory.held_bytes,
                "suppressed": suppressed,
            }
            write_event(event, common | fields)


def _drop_ahead(connection: HeldConnection) -> None:
    connection.drop_ahead()


async def run_sweeps(groups: list[ConnectionGroup]) -> None:
    """Close overdue connections of some groups until cancelled."""
    loop = asyncio.get_running_loop()
    while True:
        due_at = loop.time() + SWEEP_INTERVAL_S
        await asyncio.sleep(SWEEP_INTERVAL_S)
        if loop.time() - due_at > MAX_SWEEP_DELAY_S:
            continue
        for group in groups:
            group.close_overdue()
