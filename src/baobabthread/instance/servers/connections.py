"""HTTP/1.1 connection pool for one address, without pipelining.

aiohttp parses the responses. This module decides which connection may carry a request
and whether a response is complete, as a mistake would send a request twice or mix up
two responses.
"""

from __future__ import annotations

import asyncio
import enum
import re
import socket
import struct
from collections.abc import Callable, Sequence
from typing import Protocol, TypeAlias

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.http import HttpProcessingError, RawResponseMessage
from aiohttp.streams import EMPTY_PAYLOAD, StreamReader

from baobabthread.instance.clock import now
from baobabthread.instance.heldbytes import HeldBytes
from baobabthread.instance.timeouts import limit_silence
from baobabthread.routing.regions import AllowedRegions

MAX_FIELD_BYTES = 32_768
"""Limit of the status line and of each header field of a response."""
READ_BUFFER_BYTES = 65_536
"""Response bytes buffered in memory before back-pressure is applied to the sender."""
MAX_FRAMING_BYTES = 65_536
"""Bytes of a response besides its body: head, informational responses, sizes and
extensions of chunks, trailers."""
FRAMING_BYTES_PER_BODY_BYTE = 16
"""Framing bytes allowed in addition for each byte of the body: a chunk of one byte
takes five."""
MAX_INFORMATIONAL_RESPONSES = 16
"""Informational responses (1xx) allowed before the final one."""
HEAD_TIMEOUT_S = 2.0
"""Time from the first byte of a response to the end of its head: a lost packet is
repeated sooner."""
HEAD_PIECE_BYTES = 16_384
"""Bytes that are parsed at once before the body, so that bounds are checked between."""
IDLE_TIMEOUT_S = 30.0
"""Idle timeout of connections to servers that state none."""
PROBE_IDLE_TIMEOUT_S = 1.0
"""Idle timeout of a connection that was opened by a probe."""
IDLE_MARGIN_S = 0.75
"""Margin before the server's idle timeout at which a connection is no longer used: a
request that is sent while the server closes it may or may not have run."""
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
CLOSE_GRACEFULLY = struct.pack("ii", 0, 0)
"""Values of `SO_LINGER`."""
BODILESS_STATUSES = (204, 304)
MIN_FINAL_STATUS = 200
SWITCHING_PROTOCOLS_STATUS = 101
_KEEP_ALIVE = re.compile(r"timeout=(\d+)")

HeaderList: TypeAlias = Sequence[tuple[str, str]]


class NotSentError(Exception):
    """Raised if no byte of the request was sent."""

    def __init__(self, message: str, *, is_refused: bool = False) -> None:
        super().__init__(message)
        self.is_refused = is_refused
        """Whether nothing listens at the server's address."""


class Obstacle(enum.StrEnum):
    """Reason to send a backend server no new request now."""

    GONE = "gone"
    """Its record was removed."""
    LEAVING = "leaving"
    RESTING = "resting"


class WithheldError(NotSentError):
    """Raised if a request was not sent as its server must get none now."""

    def __init__(self, obstacle: Obstacle) -> None:
        super().__init__(f"server is {obstacle.value}")
        self.obstacle = obstacle


class IncompleteResponseError(Exception):
    """Raised if a response is incomplete or invalid; the request may have run."""


class EndlessResponseError(IncompleteResponseError):
    """Raised if a response exceeds a bound; the server may never end it."""


class MemoryShortageError(IncompleteResponseError):
    """Raised if the instance has no memory left for a large response."""


class ConnectionLostError(IncompleteResponseError):
    """Raised if the connection ended before the response; the server may be down."""


class Listening(enum.Enum):
    """Whether a server accepts connections at an address."""

    YES = "yes"
    NO = "no"
    UNKNOWN = "unknown"
    """The address can't be reached."""


class Connection(ResponseHandler):
    """A connection that bounds responses and remembers whether it was reset."""

    def __init__(self, *, on_bytes: Callable[[], None]) -> None:
        super().__init__(asyncio.get_running_loop())
        self._on_bytes = on_bytes
        self.was_reset = False
        self.idle_until = 0.0
        self.request_count = 0
        self.relay = ""
        """Peer that carries the connection; empty if it is direct."""
        self.is_idle = True
        """Whether no response is expected."""
        self.overrun = ""
        """Bound that the response exceeded; empty for none."""
        self._received_bytes = 0
        self._head_began_at: float | None = None
        self._has_head = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Make every end of the connection a reset, also that of the process."""
        # Otherwise the kernel keeps sending a request that was abandoned. Behind a
        # partition, all those abandoned meanwhile would arrive when it ends, in
        # addition to their retries.
        super().connection_made(transport)
        self._set_linger(RESET_ON_CLOSE)

    def close_idle(self) -> None:
        """Close the connection without a reset, as no request is in flight."""
        self._set_linger(CLOSE_GRACEFULLY)
        self.abort()

    def _set_linger(self, value: bytes) -> None:
        transport = self.transport
        if transport is not None:
            raw = transport.get_extra_info("socket")
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, value)

    def data_received(self, data: bytes) -> None:
        """Feed the parser and report that bytes were received."""
        self._on_bytes()
        if self.is_idle:
            self.abort()
            return
        if self._head_began_at is None and data:
            self._head_began_at = now()
        size = HEAD_PIECE_BYTES if not self._has_body else max(1, len(data))
        for start in range(0, max(1, len(data)), size):
            piece = data[start : start + size]
            super().data_received(piece)
            self._received_bytes += len(piece)
            self._check_bounds()
            if self.transport is None or self.transport.is_closing():
                return

    def begin_response(self) -> None:
        """Expect the response to a request that is sent now."""
        self.is_idle = False
        self.request_count += 1
        self._received_bytes = 0
        self._head_began_at = None
        self._has_head = False
        self.set_response_params(
            read_until_eof=True,
            auto_decompress=False,
            read_bufsize=READ_BUFFER_BYTES,
            max_line_size=MAX_FIELD_BYTES,
            max_field_size=MAX_FIELD_BYTES,
        )

    def feed_data(
        self, data: tuple[RawResponseMessage, StreamReader], size: int = 0
    ) -> None:
        """Queue the head of a response."""
        self._has_head = data[0].code >= MIN_FINAL_STATUS
        self._head_began_at = None
        super().feed_data(data, size)

    @property
    def is_stuck_in_head(self) -> bool:
        """Return whether a response has begun but its head doesn't end."""
        if self._has_head or self._head_began_at is None:
            return False
        return now() - self._head_began_at > HEAD_TIMEOUT_S

    @property
    def _has_body(self) -> bool:
        return self._payload is not None and self._payload is not EMPTY_PAYLOAD

    def _check_bounds(self) -> None:
        if self._exception is not None:
            # The parser doesn't end a body that is invalid.
            self._end_payload(self._exception)
        elif len(self) > MAX_INFORMATIONAL_RESPONSES:
            self._end_response("too many responses")
        elif not self._reading_paused:
            # While reading is paused the parser holds back bytes of the body.
            body_bytes = self._payload.total_bytes if self._payload is not None else 0
            framing_bytes = self._received_bytes - body_bytes
            allowed = MAX_FRAMING_BYTES + FRAMING_BYTES_PER_BODY_BYTE * body_bytes
            if framing_bytes > allowed:
                self._end_response("too many bytes outside the body")

    def _end_response(self, reason: str) -> None:
        """Reset the connection as its response exceeds a bound."""
        self.overrun = reason
        error = HttpProcessingError(message=reason)
        self._end_payload(error)
        self.set_exception(error)
        if self.transport is not None:
            self.transport.abort()

    def _end_payload(self, error: BaseException) -> None:
        if self._payload is not None and not self._payload.is_eof():
            self._payload.set_exception(error)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Record whether the connection ended with an error."""
        # A response without a length ends with its connection. The parser doesn't tell
        # a reset from that end, so a truncated response would pass for a whole one.
        self.was_reset = exc is not None
        super().connection_lost(exc)

    @property
    def is_usable(self) -> bool:
        """Return whether another request may be sent on it."""
        # Bytes received after a complete response belong to no request; they would be
        # taken for the response to the next one.
        return self.is_connected() and not self.should_close and now() < self.idle_until

    @property
    def is_flushed(self) -> bool:
        """Return whether the request was passed to the operating system completely."""
        transport = self.transport
        return transport is not None and transport.get_write_buffer_size() == 0


class Response:
    """Status and headers of a response, and a body that is read incrementally."""

    __slots__ = ("_connection", "_message", "_payload", "_pool", "headers", "status")

    def __init__(
        self,
        *,
        message: RawResponseMessage,
        payload: StreamReader,
        connection: Connection,
        pool: ConnectionPool,
    ) -> None:
        self._message = message
        self._payload = payload
        self._connection = connection
        self._pool = pool
        self.status = message.code
        self.headers = message.headers

    @property
    def ends_with_connection(self) -> bool:
        """Whether nothing but the end of the connection marks the end of the body."""
        has_length = "Content-Length" in self.headers
        is_empty = self.status in BODILESS_STATUSES
        return not (has_length or is_empty or self._message.chunked)

    @property
    def raw_headers(self) -> Sequence[tuple[bytes, bytes]]:
        """The header fields as received."""
        return self._message.raw_headers

    async def read(self, limit: int, held: HeldBytes | None = None) -> bytes:
        """Return the whole body, and count its bytes as held.

        Raises `IncompleteResponseError` if it is truncated, `EndlessResponseError` if
        it exceeds `limit` bytes, and `MemoryShortageError` if they can't be held.
        """
        length = self.headers.get("Content-Length", "")
        if length.isdigit() and int(length) > limit:
            raise EndlessResponseError(f"response larger than {limit} bytes")
        chunks = []
        size = 0
        while chunk := await self.read_chunk():
            chunks.append(chunk)
            size += len(chunk)
            if size > limit:
                raise EndlessResponseError(f"response larger than {limit} bytes")
            if held is not None and not held.try_grow(len(chunk)):
                raise MemoryShortageError("no memory left for the response")
        return b"".join(chunks)

    async def read_chunk(self) -> bytes:
        """Return the next bytes of the body, or none at its end."""
        try:
            chunk = await self._payload.readany()
        except (aiohttp.ClientError, HttpProcessingError, OSError) as error:
            if self._connection.overrun:
                raise EndlessResponseError(self._connection.overrun) from error
            raise ConnectionLostError(f"response truncated: {error}") from error
        if not chunk and self._connection.was_reset:
            raise ConnectionLostError("connection reset in a response without a length")
        return chunk

    def finish(self) -> None:
        """Release the connection after the whole body was read."""
        match = _KEEP_ALIVE.search(self.headers.get("Keep-Alive", ""))
        self._pool.release(
            self._connection, float(match.group(1)) if match else IDLE_TIMEOUT_S
        )

    def abort(self) -> None:
        """Close the connection at once, so that the server stops processing."""
        self._pool.discard(self._connection)


class Connector(Protocol):
    """Open the connections of a pool.

    A request with `allowed_regions` must not pass through a peer outside them.
    """

    async def open(
        self, make: Callable[[], Connection], allowed_regions: AllowedRegions
    ) -> Connection:
        """Return a new connection; raise `NotSentError` if there is none."""

    def may_reuse(self, connection: Connection) -> bool:
        """Return whether an idle connection may carry another request."""

    def may_carry(
        self, connection: Connection, allowed_regions: AllowedRegions
    ) -> bool:
        """Return whether a connection stays within the regions of a request."""


class DirectConnector:
    """Connect to an address without any alternative."""

    __slots__ = ("_connect_s", "_host", "_port")

    def __init__(self, *, address: str, connect_s: float) -> None:
        host, _, port = address.rpartition(":")
        self._host = host
        self._port = int(port)
        self._connect_s = connect_s

    async def open(
        self, make: Callable[[], Connection], allowed_regions: AllowedRegions
    ) -> Connection:
        """Return a new connection; raise `NotSentError` if there is none."""
        loop = asyncio.get_running_loop()
        try:
            async with limit_silence(self._connect_s):
                _, connection = await loop.create_connection(
                    make, self._host, self._port
                )
        except (OSError, TimeoutError) as error:
            raise NotSentError(
                f"no connection to {self._host}:{self._port}: "
                f"{error or type(error).__name__}",
                is_refused=isinstance(error, ConnectionRefusedError),
            ) from error
        return connection

    def may_reuse(self, connection: Connection) -> bool:
        """Return whether an idle connection may carry another request."""
        return True

    def may_carry(
        self, connection: Connection, allowed_regions: AllowedRegions
    ) -> bool:
        """Return whether a connection stays within the regions of a request."""
        return True


class ConnectionPool:
    """Pool of connections to one server, most recently used first."""

    __slots__ = ("_connector", "_idle", "_on_bytes", "open", "opened")

    def __init__(
        self,
        *,
        connector: Connector,
        on_bytes: Callable[[], None] = lambda: None,
    ) -> None:
        self._connector = connector
        self._on_bytes = on_bytes
        self._idle: list[Connection] = []
        self.open = 0
        self.opened = 0

    @property
    def has_idle(self) -> bool:
        """Whether idle connections are kept."""
        return bool(self._idle)

    @property
    def idle(self) -> Sequence[Connection]:
        """Idle connections, of which some may have ended."""
        return self._idle

    async def send(
        self,
        head: bytes,
        body: bytes,
        *,
        allowed_regions: AllowedRegions = None,
        find_obstacle: Callable[[], Obstacle | None] = lambda: None,
    ) -> Connection:
        """Send a request and return its connection.

        Raises `NotSentError` if no connection could be established, and `WithheldError`
        if there is an obstacle when the request could be sent.
        """
        connection = self._take_idle(allowed_regions)
        if connection is None:
            connection = await self._connect(allowed_regions)
        obstacle = find_obstacle()
        if obstacle is not None:
            connection.close_idle()
            raise WithheldError(obstacle)
        transport = connection.transport
        if transport is None or transport.is_closing():
            self.discard(connection)
            raise NotSentError("connection closed before the request was sent")
        connection.begin_response()
        transport.write(head + body)
        return connection

    async def receive(self, connection: Connection) -> Response:
        """Return the final response once its head is received.

        Raises `ConnectionLostError` if the connection ends before, and
        `EndlessResponseError` if the head exceeds a bound.
        """
        for _ in range(MAX_INFORMATIONAL_RESPONSES + 1):
            try:
                message, payload = await connection.read()
            except (aiohttp.ClientError, HttpProcessingError, OSError) as error:
                self.discard(connection)
                if connection.overrun:
                    raise EndlessResponseError(connection.overrun) from error
                raise ConnectionLostError(
                    f"no response: {error or type(error).__name__}"
                ) from error
            if message.code >= MIN_FINAL_STATUS:
                return Response(
                    message=message, payload=payload, connection=connection, pool=self
                )
            if message.code == SWITCHING_PROTOCOLS_STATUS:
                break
        self.discard(connection)
        raise EndlessResponseError(f"no final response after status {message.code}")

    async def probe(self) -> Listening:
        """Check whether the server accepts connections; keep the one established."""
        try:
            connection = await self._connect(None)
        except NotSentError as error:
            return Listening.NO if error.is_refused else Listening.UNKNOWN
        connection.is_idle = True
        connection.idle_until = now() + PROBE_IDLE_TIMEOUT_S
        self._idle.append(connection)
        return Listening.YES

    def release(self, connection: Connection, idle_s: float) -> None:
        """Return a connection to the pool after its response was read, if possible."""
        # Unsent bytes of a request that was answered early would be sent in front of
        # the next request.
        if not connection.is_flushed:
            self.discard(connection)
            return
        if connection.should_close:
            connection.close_idle()
            return
        connection.is_idle = True
        connection.idle_until = now() + idle_s - IDLE_MARGIN_S
        self._idle.append(connection)

    def discard(self, connection: Connection) -> None:
        """Reset a connection, so that the server stops processing its request."""
        if connection.transport is not None:
            connection.abort()

    def close(self) -> None:
        """Close idle connections; those in use are closed with their requests."""
        for connection in self._idle:
            connection.close_idle()
        self._idle.clear()

    def prune(self) -> None:
        """Close idle connections that can't be used any more."""
        idle, self._idle = self._idle, []
        for connection in idle:
            if self._may_reuse(connection):
                self._idle.append(connection)
            else:
                connection.close_idle()

    def _take_idle(self, allowed_regions: AllowedRegions) -> Connection | None:
        for index in range(len(self._idle) - 1, -1, -1):
            connection = self._idle[index]
            if not self._may_reuse(connection):
                del self._idle[index]
                connection.close_idle()
            elif self._connector.may_carry(connection, allowed_regions):
                del self._idle[index]
                return connection
        return None

    def _may_reuse(self, connection: Connection) -> bool:
        return connection.is_usable and self._connector.may_reuse(connection)

    async def _connect(self, allowed_regions: AllowedRegions) -> Connection:
        connection = await self._connector.open(
            lambda: Connection(on_bytes=self._on_bytes), allowed_regions
        )
        self.opened += 1
        return connection


def encode_head(method: str, target: str, headers: HeaderList) -> bytes:
    """Encode the request line and the header fields."""
    lines = [f"{method} {target} HTTP/1.1"]
    lines.extend(f"{name}: {value}" for name, value in headers)
    return ("\r\n".join(lines) + "\r\n\r\n").encode("utf-8", "surrogateescape")
