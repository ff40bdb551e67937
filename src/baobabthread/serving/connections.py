"""Server side of an HTTP/1.1 connection, with bounds on what its client may send.

aiohttp parses the requests. This module bounds what a client may send besides them, and
counts what it makes the process hold.
"""

from __future__ import annotations

import asyncio
import sys
import traceback
from collections import deque
from http import HTTPStatus
from typing import Any, cast

import msgspec
from aiohttp import web
from aiohttp.http_parser import HttpRequestParser
from aiohttp.streams import StreamReader
from aiohttp.web_protocol import RequestPayloadError, _ErrInfo

from baobabthread.serving.groups import ConnectionGroup

RECEIVE_BYTES = 16_384
"""Bytes that are read from a socket at once."""
HEAD_PIECE_BYTES = 4_096
"""Bytes of a head that are parsed at once, so that its size is checked in between."""
READ_BUFFER_BYTES = 16_384
"""Bytes of a body that are buffered before reading is paused."""
MAX_REQUESTS_AHEAD = 2
"""Requests that are parsed while one is processed; the rest is left unread."""
MAX_FRAMING_BYTES = 16_384
"""Bytes of a chunked body besides its content: sizes, extensions, trailers."""
FRAMING_BYTES_PER_BODY_BYTE = 16
"""Framing bytes allowed in addition for each byte of content: a chunk of one byte takes
six."""
HEAD_COST_FACTOR = 4
"""Bytes of memory for each byte of a head: it is kept raw, decoded and encoded."""
FIELD_COST_BYTES = 600
"""Bytes of memory for each header field besides its text."""
FRAMING_COST_FACTOR = 50
"""Bytes of memory for each byte of a body besides its content: it may be a trailer."""
COUNTED_BODY_BYTES = 65_536
"""Bytes of a body that are counted here; `HeldBytes` counts the rest of it."""
LINGER_TIMEOUT_S = 1.0
MAX_DROPPED_BYTES = 1_048_576
"""Bytes that are read and ignored after a refusal, so that it reaches the client."""
MAX_TRACE_CHARACTERS = 2_000
UNUSED_TIMEOUT_S = 86_400.0
"""The keep-alive timeout of aiohttp; `ConnectionGroup` closes idle connections."""


class BoundedConnection(web.RequestHandler):
    """Connection that holds a bounded amount of what its client sends."""

    __slots__ = (
        "_body",
        "_body_received",
        "_counted_body_bytes",
        "_decompresses",
        "_dropped_bytes",
        "_group",
        "_head_bytes",
        "_head_lines",
        "_is_busy",
        "_is_compressed",
        "_is_refused",
        "_may_upgrade",
        "_raw_transport",
        "_request_costs",
        "_requests_cost",
        "_unparsed",
        "head_began_at",
        "held_bytes",
        "idle_since",
    )

    def __init__(
        self,
        manager: web.Server,
        *,
        group: ConnectionGroup,
        keepalive_timeout_s: float = UNUSED_TIMEOUT_S,
        lingering_s: float = LINGER_TIMEOUT_S,
        max_line_bytes: int = sys.maxsize,
        max_fields: int = sys.maxsize,
        decompresses: bool = False,
        may_upgrade: bool = False,
        counted_body_bytes: int = COUNTED_BODY_BYTES,
    ) -> None:
        loop = asyncio.get_running_loop()
        super().__init__(
            manager,
            loop=loop,
            access_log=None,  # type: ignore[arg-type]
            keepalive_timeout=keepalive_timeout_s,
            lingering_time=lingering_s,
            read_bufsize=READ_BUFFER_BYTES,
        )
        # aiohttp bounds lines and the number of fields, but not the whole head.
        self._parser = HttpRequestParser(
            self,
            loop,
            READ_BUFFER_BYTES,
            max_line_size=max_line_bytes,
            max_field_size=max_line_bytes,
            max_headers=max_fields,
            payload_exception=RequestPayloadError,
            auto_decompress=decompresses,
            max_msg_queue_size=MAX_REQUESTS_AHEAD,
        )
        self._decompresses = decompresses
        self._may_upgrade = may_upgrade
        self._counted_body_bytes = counted_body_bytes
        self._max_msg_queue_size = MAX_REQUESTS_AHEAD
        self._msg_queue_resume_size = MAX_REQUESTS_AHEAD // 2
        self._group = group
        self._raw_transport: asyncio.Transport | None = None
        """The transport until it is closed; aiohttp forgets it when closing begins."""
        self._unparsed = b""
        self._dropped_bytes = 0
        self._head_bytes = 0
        self._head_lines = 0
        self.head_began_at: float | None = None
        """When the first byte of an unfinished head arrived."""
        self._body: StreamReader | None = None
        """Body that has not ended yet."""
        self._body_received = 0
        self._is_compressed = False
        """Whether the body is decompressed, so that its size says nothing."""
        self._request_costs: deque[int] = deque()
        """Memory for each request without a complete response, the oldest first."""
        self._requests_cost = 0
        self._is_busy = False
        self._is_refused = False
        """Whether whatever the client sends further is ignored."""
        self.held_bytes = 0
        self.idle_since = 0.0

    # -- life of the connection --

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Read in small pieces, and register the connection."""
        self._raw_transport = cast(asyncio.Transport, transport)
        cast(Any, transport).max_size = RECEIVE_BYTES
        self._group.add(self)
        super().connection_made(transport)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Forget the connection."""
        self._is_refused = True
        self._unparsed = b""
        self._raw_transport = None
        self._group.remove(self)
        super().connection_lost(exc)

    def drop(self) -> None:
        """Close the connection at once."""
        self._is_refused = True
        self._unparsed = b""
        # Many connections may be closed in one turn of the loop, before any of them is
        # told so: the fields of an unfinished head are freed here.
        self._parser = None
        if self._raw_transport is not None:
            self._raw_transport.abort()

    def drop_ahead(self) -> None:
        """Drop the requests sent ahead, and close after the current response."""
        if not self._request_in_progress or not (self._messages or self._unparsed):
            return
        self._is_refused = True
        self._close = True
        self._unparsed = b""
        self._body = None
        self._body_received = 0
        for _ in range(len(self._messages)):
            self._messages.pop()
            self._requests_cost -= self._request_costs.pop()
        self._update()

    @property
    def unsent_bytes(self) -> int:
        """Bytes of responses that the client has not taken yet."""
        transport = self._raw_transport
        return 0 if transport is None else transport.get_write_buffer_size()

    @property
    def awaits_request(self) -> bool:
        """Whether no request has begun, apart from its head."""
        return not self._request_costs

    # -- what the client sends --

    def data_received(self, data: bytes) -> None:
        """Parse what has arrived, as far as there is room for it."""
        if self._is_refused or self._close or self._force_close:
            self._drop_data(len(data))
            return
        if data:
            self._unparsed = self._unparsed + data if self._unparsed else data
        else:
            # aiohttp resumes parsing: the parser has kept bytes of its own.
            self._parse(data)
        while self._unparsed and self._may_parse and not self._is_refused:
            size = HEAD_PIECE_BYTES if self._body is None else len(self._unparsed)
            piece = self._unparsed[:size]
            self._unparsed = self._unparsed[size:]
            self._parse(piece)
        self._update()

    def _drop_data(self, size: int) -> None:
        """Ignore some bytes; close the connection once there are too many."""
        self._dropped_bytes += size
        if self._dropped_bytes <= MAX_DROPPED_BYTES:
            return
        if self.awaits_request:
            self.drop()
        else:
            self._pause_transport_reading()

    @property
    def _may_parse(self) -> bool:
        return not self._reading_paused and len(self._messages) < MAX_REQUESTS_AHEAD

    def _parse(self, piece: bytes) -> None:
        count = self._request_count
        was_upgraded = self._upgraded
        super().data_received(piece)
        if was_upgraded:
            return
        if self._request_count > count:
            self._record_requests(piece, self._request_count - count)
        elif self._body is not None:
            self._record_body(piece)
        elif piece:
            self._record_head(piece)

    def _record_requests(self, piece: bytes, count: int) -> None:
        """Count the requests whose heads end within a piece."""
        self._head_bytes += len(piece)
        self._head_lines += piece.count(b"\n")
        cost = self._head_cost
        self._head_bytes = self._head_lines = 0
        self.head_began_at = None
        self._request_costs.extend([cost // count] * count)
        self._requests_cost += cost // count * count
        message, payload = self._messages[-1]
        if self._upgraded and not self._may_upgrade:
            # What follows the offer of another protocol is ignored.
            self._is_refused = True
            self._message_tail = self._unparsed = b""
            self._pause_reading_for_buffer()
        elif isinstance(message, _ErrInfo):
            # The traceback refers to frames that refer to the exception.
            message.exc.__traceback__ = None
            self._messages[-1] = (message, self._make_endless_body())
            self._refuse_body("malformed body")
            self._is_refused = True
        elif payload.is_eof():
            self._end_body()
        else:
            self._body = payload
            self._body_received = 0
            self._is_compressed = self._decompresses and bool(message.compression)

    def _record_body(self, piece: bytes) -> None:
        """Count the bytes of a body, and refuse one with too many others."""
        assert self._body is not None
        self._body_received += len(piece)
        if self._body.is_eof():
            self._end_body()
        elif not self._reading_paused:
            # While reading is paused, the parser holds back bytes of the body.
            content = FRAMING_BYTES_PER_BODY_BYTE * self._body.total_bytes
            if self._framing_bytes > MAX_FRAMING_BYTES + content:
                self._refuse_body("too many bytes outside the body")
                self._is_refused = True

    def _record_head(self, piece: bytes) -> None:
        """Count the bytes of a head, and refuse one that is too large."""
        # Empty lines between requests are allowed and begin no head.
        if self.head_began_at is None and piece.strip(b"\r\n"):
            self.head_began_at = self._loop.time()
        self._head_bytes += len(piece)
        self._head_lines += piece.count(b"\n")
        limit = self._group.find_limits().max_head_bytes
        if self._head_bytes > limit + HEAD_PIECE_BYTES:
            self._refuse(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)

    def _end_body(self) -> None:
        """Count a body that has ended with its request."""
        if self._body is None:
            return
        cost = self._body_cost
        self._body = None
        self._body_received = 0
        if self._request_costs:
            self._request_costs[-1] += cost
            self._requests_cost += cost

    def _refuse(self, status: HTTPStatus) -> None:
        """Respond with an error after the requests before, and read nothing more."""
        self._is_refused = True
        self._unparsed = b""
        error = _ErrInfo(
            status=status, exc=ValueError(status.phrase), message=status.phrase
        )
        self._messages.append((error, self._make_endless_body()))
        self._request_costs.append(0)
        waiter = self._waiter
        if waiter is not None and not waiter.done():
            waiter.set_result(None)

    def _make_endless_body(self) -> StreamReader:
        """Return a body for which aiohttp waits after the response, up to its timeout.

        What the client still sends is dropped meanwhile; closing at once would reset
        the connection, and the client might not get the response.
        """
        return StreamReader(self, READ_BUFFER_BYTES, loop=self._loop)

    def _refuse_body(self, reason: str) -> None:
        """Let the request fail whose body is being read."""
        if self._body is not None:
            self._body.set_exception(RequestPayloadError(reason))
            self._body = None

    # -- responses --

    async def finish_response(
        self,
        request: web.BaseRequest,
        resp: web.StreamResponse,
        start_time: float | None,
    ) -> tuple[web.StreamResponse, bool]:
        """Send a response, and count its request no longer."""
        if self._is_refused and not resp.prepared:
            resp.force_close()
        try:
            return await super().finish_response(request, resp, start_time)
        finally:
            if self._request_costs:
                self._requests_cost -= self._request_costs.popleft()
            self._update()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Return the response that ends a connection after an error."""
        if request.writer.output_size > 0:
            raise ConnectionError("a response has begun")
        phrase = HTTPStatus(status).phrase
        if status >= HTTPStatus.INTERNAL_SERVER_ERROR:
            trace = "".join(traceback.format_exception(exc))[-MAX_TRACE_CHARACTERS:]
            self._group.log("request_crashed", error=trace)
        else:
            self._group.log("request_malformed", status=status, error=phrase)
        kind = phrase.lower().replace(" ", "_")
        response = web.Response(
            status=status,
            body=msgspec.json.encode({"kind": kind}),
            content_type="application/problem+json",
        )
        response.force_close()
        return response

    def log_exception(self, *args: Any, **kw: Any) -> None:
        """Log an exception outside the handler in a bounded number of lines."""
        self._group.log("connection_failed", error=repr(kw.get("exc_info")))

    # -- accounting --

    @property
    def _head_cost(self) -> int:
        return HEAD_COST_FACTOR * self._head_bytes + FIELD_COST_BYTES * self._head_lines

    @property
    def _framing_bytes(self) -> int:
        """Bytes of the present body besides its content, as far as is known."""
        if self._body is None or self._is_compressed or self._reading_paused:
            return 0
        return max(0, self._body_received - self._body.total_bytes)

    @property
    def _body_cost(self) -> int:
        content = min(self._counted_body_bytes, self._body_received)
        return content + FRAMING_COST_FACTOR * self._framing_bytes

    def _update(self) -> None:
        """Count what the connection holds now, and whether it holds a whole request."""
        if self._raw_transport is None:
            return
        unread = len(self._unparsed) + self.unsent_bytes
        size = unread + self._head_cost + self._body_cost + self._requests_cost
        is_busy = len(self._request_costs) > (self._body is not None)
        if is_busy != self._is_busy:
            self._is_busy = is_busy
            mark = self._group.mark_busy if is_busy else self._group.mark_idle
            mark(self)
        if size != self.held_bytes:
            self._group.memory.resize(self, size)
