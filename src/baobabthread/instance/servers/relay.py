"""Relay of connections to backend servers on behalf of partitioned peers.

A peer opens a connection, names a backend server in the manner of HTTP CONNECT, and
sees the server's bytes from then on. An end is passed on as an end and a reset as a
reset, and a receiver that does not read blocks the sender.
"""

from __future__ import annotations

import asyncio
import contextlib
import enum
import socket
from collections.abc import Awaitable, Callable
from typing import cast

from baobabthread.instance.clock import now
from baobabthread.instance.servers.connections import (
    CLOSE_GRACEFULLY,
    RESET_ON_CLOSE,
    NotSentError,
    Obstacle,
    WithheldError,
)
from baobabthread.loglimits import LineRateLimiter
from baobabthread.logs import log_event
from baobabthread.serving.groups import ConnectionGroup

MAX_HEAD_BYTES = 256
HEAD_TIMEOUT_S = 1.0
MAX_TUNNELS = 512
"""Each takes two of the descriptors of the process, and `BUFFER_BYTES` of memory for
either direction if its receiver does not read."""
BUFFER_BYTES = 16_384
IDLE_TIMEOUT_S = 60.0
"""A peer that lost power never closes its tunnels. Silence of a request is shorter."""
SWEEP_INTERVAL_S = 5.0
DENIED_LINES_PER_S = 1.0
_HEAD_END = b"\r\n\r\n"
_METHOD = "CONNECT"
_VERSION = "HTTP/1.1"


class RelayStatus(enum.IntEnum):
    """Reply to a peer that asks for a connection."""

    CONNECTED = 200
    FORBIDDEN = 403
    """The sender is no member, or the server isn't listed."""
    LEAVING = 410
    """The server leaves, and this instance must send it nothing new."""
    RESTING = 429
    """The server asked this instance for rest."""
    REFUSED = 502
    """The server refuses connections."""
    NO_ROOM = 503
    """The instance stops, or carries too many connections."""
    UNREACHABLE = 504
    """This instance doesn't reach the server either."""


STATUS_BY_OBSTACLE = {
    Obstacle.GONE: RelayStatus.FORBIDDEN,
    Obstacle.LEAVING: RelayStatus.LEAVING,
    Obstacle.RESTING: RelayStatus.RESTING,
}

OpenConnection = Callable[
    [str, Callable[[], asyncio.Protocol]], Awaitable[asyncio.Transport]
]
"""Connect to a listed backend server directly, by its incarnation.

Raises `NotSentError` if it can't be reached or must get nothing new, and `KeyError` if
it is not listed.
"""


def encode_connect(server: str) -> bytes:
    """Encode the request for a connection to a backend server."""
    return f"{_METHOD} {server} {_VERSION}\r\n\r\n".encode()


def decode_connect(head: bytes) -> str | None:
    """Return the backend server that a request names; None if it is invalid."""
    words = head.decode("ascii", "replace").split(" ")
    if len(words) != 3 or words[0] != _METHOD or words[2] != _VERSION:
        return None
    return words[1]


def encode_status(status: RelayStatus) -> bytes:
    """Encode the reply to a request for a connection."""
    return f"{_VERSION} {status.value} {status.name}\r\n\r\n".encode()


def decode_status(head: bytes) -> RelayStatus | None:
    """Return the status of a reply; None if it is invalid."""
    words = head.decode("ascii", "replace").split(" ")
    try:
        return RelayStatus(int(words[1]))
    except (IndexError, ValueError):
        return None


class _Side(asyncio.Protocol):
    """One of the two connections of a tunnel."""

    def __init__(self, tunnel: Tunnel) -> None:
        self._tunnel = tunnel
        self._other: _Side | None = None
        self.transport: asyncio.Transport | None = None
        self.has_ended = False
        """Whether its sender has ended the stream of bytes."""

    def link(self, other: _Side) -> None:
        """Pass everything on to the other connection from now on."""
        self._other = other

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Make every end a reset until both senders have ended."""
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(high=BUFFER_BYTES)
        self._set_linger(RESET_ON_CLOSE)

    def data_received(self, data: bytes) -> None:
        """Pass bytes on."""
        self._tunnel.used_at = now()
        if self._other is None:
            self._tunnel.close(reset=True)
            return
        self._other.write(data)

    def eof_received(self) -> bool:
        """Pass the end on; close once both senders have ended."""
        self.has_ended = True
        if self._other is None:
            return False
        self._other.end()
        if self._other.has_ended:
            self._tunnel.close()
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """Pass a reset on."""
        self._tunnel.close(reset=exc is not None)

    def pause_writing(self) -> None:
        """Stop reading from the other connection until this one has sent its bytes."""
        if self._other is not None and self._other.transport is not None:
            self._other.transport.pause_reading()

    def resume_writing(self) -> None:
        """Read from the other connection again."""
        if self._other is not None and self._other.transport is not None:
            self._other.transport.resume_reading()

    def write(self, data: bytes) -> None:
        """Send bytes of the other connection."""
        if self.transport is not None:
            self.transport.write(data)

    def end(self) -> None:
        """End the stream of bytes in this direction."""
        if self.transport is not None and self.transport.can_write_eof():
            self.transport.write_eof()

    def close(self, *, reset: bool) -> None:
        """Close the connection."""
        if self.transport is None or self.transport.is_closing():
            return
        if reset:
            self.transport.abort()
            return
        self._set_linger(CLOSE_GRACEFULLY)
        self.transport.close()

    def _set_linger(self, value: bytes) -> None:
        assert self.transport is not None
        raw = self.transport.get_extra_info("socket")
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, value)


class _PeerSide(_Side):
    """The connection of the peer, which begins with its request."""

    def __init__(self, tunnel: Tunnel, relay: RelayServer) -> None:
        super().__init__(tunnel)
        self._relay = relay
        self._head = b""
        self._timeout: asyncio.TimerHandle | None = None
        self._connecting: asyncio.Task[None] | None = None
        self.held_bytes = 0
        self.idle_since = 0.0
        self.head_began_at: float | None = None
        self.awaits_request = True
        self.unsent_bytes = 0

    def drop(self) -> None:
        """Close the tunnel at once."""
        self._tunnel.close(reset=True)

    def drop_ahead(self) -> None:
        """Do nothing: a tunnel holds no requests."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Accept a request from a member only."""
        super().connection_made(transport)
        if self._relay.group is not None:
            self._relay.group.add(self)
        host = transport.get_extra_info("peername")[0]
        if not self._relay.accept(self._tunnel, host):
            self._reply(RelayStatus.FORBIDDEN)
            return
        loop = asyncio.get_running_loop()
        self._timeout = loop.call_later(HEAD_TIMEOUT_S, self._tunnel.close)

    def data_received(self, data: bytes) -> None:
        """Read the request; then pass bytes on."""
        if self._other is not None:
            super().data_received(data)
            return
        self._head += data
        head, end, rest = self._head.partition(_HEAD_END)
        # A member waits for the reply before it sends anything else.
        if rest or len(head) > MAX_HEAD_BYTES or self._connecting is not None:
            self._tunnel.close(reset=True)
        elif end:
            self._connecting = asyncio.ensure_future(self._connect(head))
            if self._relay.group is not None:
                self._relay.group.mark_busy(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Give up a connection that is not established yet."""
        if self._timeout is not None:
            self._timeout.cancel()
        if self._connecting is not None:
            self._connecting.cancel()
        if self._relay.group is not None:
            self._relay.group.remove(self)
        super().connection_lost(exc)

    async def _connect(self, head: bytes) -> None:
        assert self._timeout is not None
        self._timeout.cancel()
        status = await self._relay.connect(self._tunnel, decode_connect(head))
        if self.transport is None or self.transport.is_closing():
            self._tunnel.close(reset=True)
            return
        self._reply(status)
        self._connecting = None

    def _reply(self, status: RelayStatus) -> None:
        self.write(encode_status(status))
        if status is not RelayStatus.CONNECTED:
            self._tunnel.close()


class Tunnel:
    """Connection between a peer and a backend server, in two parts."""

    __slots__ = ("_on_closed", "far", "near", "peer_host", "server", "used_at")

    def __init__(self, relay: RelayServer) -> None:
        self._on_closed = relay.forget
        self.used_at = now()
        self.peer_host = ""
        self.server = ""
        """Incarnation of the server that it leads to."""
        self.near = _PeerSide(self, relay)
        self.far = _Side(self)

    def join(self) -> None:
        """Pass bytes between the two connections from now on."""
        self.near.link(self.far)
        self.far.link(self.near)

    def close(self, *, reset: bool = False) -> None:
        """Close both connections; those still open are reset if one was."""
        self._on_closed(self)
        for side in (self.near, self.far):
            side.close(reset=reset)


class RelayServer:
    """Accept connections of peers and carry them to listed backend servers."""

    __slots__ = (
        "_idle",
        "_is_member",
        "_log_limiter",
        "_open",
        "_tunnels",
        "carried",
        "denied",
        "group",
        "is_leaving",
    )

    def __init__(
        self,
        *,
        is_member: Callable[[str], bool],
        open_connection: OpenConnection,
        group: ConnectionGroup | None = None,
    ) -> None:
        self._is_member = is_member
        self._open = open_connection
        self._tunnels: set[Tunnel] = set()
        self._idle: asyncio.Event | None = None
        self.carried = 0
        """Connections carried since the start."""
        self.denied = 0
        """Connections denied to senders that are no members."""
        self.group = group
        """Connections of peers, counted with those of the other listeners."""
        self.is_leaving = False
        self._log_limiter = LineRateLimiter(per_s=DENIED_LINES_PER_S)

    @property
    def open_tunnels(self) -> int:
        """Number of connections that are being carried."""
        return len(self._tunnels)

    def make_protocol(self) -> asyncio.Protocol:
        """Return the protocol of a new connection."""
        return Tunnel(self).near

    def accept(self, tunnel: Tunnel, host: str) -> bool:
        """Register a connection; return False if its sender is no member."""
        if not self._is_member(host):
            self.denied += 1
            if self._log_limiter.try_acquire():
                log_event(
                    "relay_denied", level="warning", peer=host, denied=self.denied
                )
            return False
        tunnel.peer_host = host
        self._tunnels.add(tunnel)
        return True

    async def connect(self, tunnel: Tunnel, server: str | None) -> RelayStatus:
        """Connect a tunnel to a backend server."""
        if self.is_leaving or len(self._tunnels) > MAX_TUNNELS:
            return RelayStatus.NO_ROOM
        if server is None:
            return RelayStatus.FORBIDDEN
        try:
            await self._open(server, lambda: tunnel.far)
        except KeyError:
            return RelayStatus.FORBIDDEN
        except WithheldError as error:
            return STATUS_BY_OBSTACLE[error.obstacle]
        except NotSentError as error:
            is_refused = error.is_refused
            return RelayStatus.REFUSED if is_refused else RelayStatus.UNREACHABLE
        tunnel.server = server
        tunnel.join()
        self.carried += 1
        return RelayStatus.CONNECTED

    def find_hosts(self, server: str) -> set[str]:
        """Return the hosts of the peers with connections to a server."""
        return {t.peer_host for t in self._tunnels if t.server == server}

    def forget(self, tunnel: Tunnel) -> None:
        """Drop a connection that is being closed."""
        self._tunnels.discard(tunnel)
        if not self._tunnels and self._idle is not None:
            self._idle.set()

    async def run(self) -> None:
        """Close tunnels that are not used any more, until cancelled."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            oldest = now() - IDLE_TIMEOUT_S
            for tunnel in [t for t in self._tunnels if t.used_at < oldest]:
                tunnel.close(reset=True)

    async def wait_idle(self, timeout_s: float) -> None:
        """Wait until no connection is carried, or until the timeout in seconds."""
        if not self._tunnels:
            return
        self._idle = asyncio.Event()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self._idle.wait()

    def close(self) -> None:
        """Reset all connections that are still carried."""
        for tunnel in list(self._tunnels):
            tunnel.close(reset=True)
