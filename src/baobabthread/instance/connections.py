"""Kept connections to one address, and one request at a time on each.

The library parses; which connection may carry a request, and whether an answer is
whole, is decided here, since a wrong guess doubles a request or mixes two answers.
"""

from __future__ import annotations

import asyncio
import enum
import re
from collections.abc import Callable, Sequence
from typing import TypeAlias

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.http import HttpProcessingError, RawResponseMessage
from aiohttp.streams import StreamReader

from baobabthread.instance.clock import now

MAX_FIELD_BYTES = 32_768
"""Most bytes of one header field of an answer."""
READ_BUFFER_BYTES = 65_536
"""Answer bytes that wait in memory before the sender is slowed down."""
IDLE_TIMEOUT_S = 30.0
"""How long a connection is kept idle where the other side names no time."""
PROBE_IDLE_TIMEOUT_S = 1.0
"""How long a connection that was only made to look is kept for a request."""
IDLE_MARGIN_S = 0.75
"""How long before the other side's idle time-out a connection is given up: a request
that crosses its close may or may not have run."""
_KEEP_ALIVE = re.compile(r"timeout=(\d+)")

HeaderList: TypeAlias = Sequence[tuple[str, str]]


class NotSentError(Exception):
    """Report a request of which no byte left for the other side."""


class IncompleteResponseError(Exception):
    """Report an answer that will not come whole; the request may have run."""


class ConnectionLostError(IncompleteResponseError):
    """Report an answer whose connection ended before it: the other side may be gone."""


class Listening(enum.Enum):
    """Tell whether anybody takes connections at an address."""

    YES = "yes"
    NO = "no"
    UNKNOWN = "unknown"
    """It can't be reached."""


class Connection(ResponseHandler):
    """Hold one connection and whether its answer broke off."""

    def __init__(self, *, on_bytes: Callable[[], None]) -> None:
        super().__init__(asyncio.get_running_loop())
        self._on_bytes = on_bytes
        self.was_reset = False
        self.idle_until = 0.0
        self.request_count = 0

    def data_received(self, data: bytes) -> None:
        """Feed the parser and note the sign of life."""
        self._on_bytes()
        super().data_received(data)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Note whether the connection ended in an error."""
        # An answer without a length ends with its connection. The parser takes a reset
        # for that end, and a part would pass for the whole.
        self.was_reset = exc is not None
        super().connection_lost(exc)

    @property
    def is_usable(self) -> bool:
        """Tell whether another request may be sent on it."""
        # Bytes that came after a complete answer belong to no request; on a connection
        # that has them the next answer would be somebody else's.
        return self.is_connected() and not self.should_close and now() < self.idle_until

    @property
    def is_flushed(self) -> bool:
        """Tell whether all bytes of the request were handed to the system."""
        transport = self.transport
        return transport is not None and transport.get_write_buffer_size() == 0


class Response:
    """Hold the head of an answer, and its body as it comes."""

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
    def raw_headers(self) -> Sequence[tuple[bytes, bytes]]:
        """Give the header fields as they came."""
        return self._message.raw_headers

    async def read(self, limit: int) -> bytes:
        """Return the whole body.

        Raises `BrokenError` where it breaks off or exceeds the limit in bytes.
        """
        chunks = []
        size = 0
        while chunk := await self.read_chunk():
            chunks.append(chunk)
            size += len(chunk)
            if size > limit:
                raise IncompleteResponseError("answer too large")
        return b"".join(chunks)

    async def read_chunk(self) -> bytes:
        """Return the next bytes of the body; none at its end."""
        try:
            chunk = await self._payload.readany()
        except (aiohttp.ClientError, HttpProcessingError, OSError) as error:
            raise ConnectionLostError(f"answer broke off: {error}") from error
        if not chunk and self._connection.was_reset:
            raise ConnectionLostError("answer without a length was reset")
        return chunk

    def finish(self) -> None:
        """Give the connection back after the whole body was read."""
        stated = _KEEP_ALIVE.search(self.headers.get("Keep-Alive", ""))
        self._pool.release(
            self._connection, float(stated.group(1)) if stated else IDLE_TIMEOUT_S
        )

    def abort(self) -> None:
        """Close the connection at once, so that the other side stops working."""
        self._pool.discard(self._connection)


class ConnectionPool:
    """Keep connections to one address, the last used first."""

    __slots__ = ("_connect_s", "_host", "_idle", "_on_bytes", "_port", "open", "opened")

    def __init__(
        self,
        *,
        address: str,
        connect_s: float,
        on_bytes: Callable[[], None] = lambda: None,
    ) -> None:
        host, _, port = address.rpartition(":")
        self._host = host
        self._port = int(port)
        self._connect_s = connect_s
        self._on_bytes = on_bytes
        self._idle: list[Connection] = []
        self.open = 0
        self.opened = 0

    async def send(self, head: bytes, body: bytes) -> Connection:
        """Send a request.

        Raises `NotSentError` where no connection could be made.
        """
        connection = self._take_idle()
        if connection is None:
            connection = await self._connect()
        transport = connection.transport
        if transport is None or transport.is_closing():
            self.discard(connection)
            raise NotSentError("connection closed before the request was sent")
        connection.request_count += 1
        connection.set_response_params(
            read_until_eof=True,
            auto_decompress=False,
            read_bufsize=READ_BUFFER_BYTES,
            max_line_size=MAX_FIELD_BYTES,
            max_field_size=MAX_FIELD_BYTES,
        )
        transport.write(head + body)
        return connection

    async def receive(self, connection: Connection) -> Response:
        """Return the head of the answer.

        Raises `BrokenError` where none comes.
        """
        try:
            message, payload = await connection.read()
        except (aiohttp.ClientError, HttpProcessingError, OSError) as error:
            self.discard(connection)
            raise ConnectionLostError(
                f"no answer: {error or type(error).__name__}"
            ) from error
        return Response(
            message=message, payload=payload, connection=connection, pool=self
        )

    async def probe(self) -> Listening:
        """Find out whether anybody takes connections; keep one that was made."""
        try:
            connection = await self._connect()
        except NotSentError as error:
            is_refused = isinstance(error.__cause__, ConnectionRefusedError)
            return Listening.NO if is_refused else Listening.UNKNOWN
        connection.idle_until = now() + PROBE_IDLE_TIMEOUT_S
        self._idle.append(connection)
        return Listening.YES

    def release(self, connection: Connection, idle_s: float) -> None:
        """Keep a connection whose answer was read to its end, if it may be kept."""
        # A request that is still on its way out after its answer would put the rest of
        # its body where the next request is due.
        if connection.should_close or not connection.is_flushed:
            self.discard(connection)
            return
        connection.idle_until = now() + idle_s - IDLE_MARGIN_S
        self._idle.append(connection)

    def discard(self, connection: Connection) -> None:
        """Close a connection at once."""
        if connection in self._idle:
            self._idle.remove(connection)
        if connection.transport is not None:
            connection.abort()

    def close(self) -> None:
        """Close what is idle; what is in use ends with its request."""
        for connection in self._idle:
            connection.abort()
        self._idle.clear()

    def prune(self) -> None:
        """Close idle connections that no request may use any more."""
        for connection in [c for c in self._idle if not c.is_usable]:
            self.discard(connection)

    def _take_idle(self) -> Connection | None:
        while self._idle:
            connection = self._idle.pop()
            if connection.is_usable:
                return connection
            if connection.transport is not None:
                connection.abort()
        return None

    async def _connect(self) -> Connection:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(self._connect_s):
                _, connection = await loop.create_connection(
                    lambda: Connection(on_bytes=self._on_bytes), self._host, self._port
                )
        except (OSError, TimeoutError) as error:
            raise NotSentError(
                f"no connection to {self._host}:{self._port}: "
                f"{error or type(error).__name__}"
            ) from error
        self.opened += 1
        return connection


def encode_head(method: str, target: str, headers: HeaderList) -> bytes:
    """Return the request line and the header fields as they go on the wire."""
    lines = [f"{method} {target} HTTP/1.1"]
    lines.extend(f"{name}: {value}" for name, value in headers)
    return ("\r\n".join(lines) + "\r\n\r\n").encode("utf-8", "surrogateescape")
