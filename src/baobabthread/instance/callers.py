"""HTTP server for callers: reads whole requests and sends responses."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Sequence

import msgspec
from aiohttp import web
from aiohttp.abc import AbstractStreamWriter
from aiohttp.http_parser import RawRequestMessage
from aiohttp.streams import StreamReader
from aiohttp.web_protocol import RequestHandler
from multidict import CIMultiDict

from baobabthread.instance.clock import now
from baobabthread.instance.context import CallerRequest, Reply
from baobabthread.instance.wire import WireFormat
from baobabthread.logs import log_event

MAX_FIELD_BYTES = 65_536
KEEP_ALIVE_TIMEOUT_S = 75.0
"""Idle timeout of callers' connections. It is longer than any timeout that operators
configure for callers, so that always the caller closes the connection."""
LINGER_TIMEOUT_S = 1.0

HandleRequest = Callable[[CallerRequest, Reply], Awaitable[None]]


class HttpReply:
    """Reply to one caller over HTTP."""

    __slots__ = ("_is_leaving", "_request", "response")

    def __init__(
        self, *, request: web.BaseRequest, is_leaving: Callable[[], bool]
    ) -> None:
        self._request = request
        self._is_leaving = is_leaving
        self.response: web.StreamResponse | None = None

    @property
    def has_begun(self) -> bool:
        """Return whether the head of a response was sent to the caller."""
        return self.response is not None and self.response.prepared

    async def reject(
        self,
        status: int,
        kind: str,
        retry_after_s: float | None,
        detail: str | None = None,
    ) -> None:
        """Prepare an error response of the instance itself."""
        headers = CIMultiDict({"Content-Type": "application/problem+json"})
        if retry_after_s is not None:
            headers["Retry-After"] = f"{retry_after_s:.2f}"
        fields = {"kind": kind} | ({"detail": detail} if detail else {})
        body = msgspec.json.encode(fields)
        self.response = web.Response(status=status, headers=headers, body=body)
        self._close_if_leaving(self.response)

    async def respond(
        self, status: int, headers: Sequence[tuple[str, str]], body: bytes
    ) -> None:
        """Prepare a whole response."""
        response = web.Response(status=status, headers=CIMultiDict(headers), body=body)
        self._close_if_leaving(response)
        self.response = response

    async def begin(self, status: int, headers: Sequence[tuple[str, str]]) -> None:
        """Send the head of a stream."""
        response = web.StreamResponse(status=status, headers=CIMultiDict(headers))
        self._close_if_leaving(response)
        self.response = response
        await response.prepare(self._request)

    async def write(self, data: bytes) -> None:
        """Send whole events of a stream."""
        assert self.response is not None
        await self.response.write(data)

    async def finish(self) -> None:
        """Complete a stream."""
        assert self.response is not None
        await self.response.write_eof()

    def abort(self) -> None:
        """Close the connection so that the response appears truncated."""
        transport = self._request.transport
        if transport is not None:
            transport.abort()

    def _close_if_leaving(self, response: web.StreamResponse) -> None:
        # A caller that reuses its connection to a stopping instance would lose a
        # request that it sends just before the instance terminates.
        if self._is_leaving():
            response.force_close()


class CallerServer:
    """Convert HTTP requests and pass them to the handler."""

    __slots__ = ("_body_limit", "_handle", "_is_leaving", "_wire")

    def __init__(
        self,
        *,
        handle: HandleRequest,
        wire: WireFormat,
        is_leaving: Callable[[], bool],
        body_limit: Callable[[], int],
    ) -> None:
        self._handle = handle
        self._wire = wire
        self._is_leaving = is_leaving
        self._body_limit = body_limit

    async def serve(self, request: web.BaseRequest) -> web.StreamResponse:
        """Handle one HTTP request."""
        reply = HttpReply(request=request, is_leaving=self._is_leaving)
        arrived_at = now()
        body = await self._read_body(request, reply)
        if body is not None:
            message = request._message
            await self._handle(
                CallerRequest(
                    method=message.method,
                    target=message.path,
                    host=request.headers.get("Host", ""),
                    headers=message.raw_headers,
                    body=body,
                    envelope=self._wire.decode_envelope(request.headers),
                    arrived_at=arrived_at,
                ),
                reply,
            )
        assert reply.response is not None
        return reply.response

    async def _read_body(
        self, request: web.BaseRequest, reply: HttpReply
    ) -> bytes | None:
        limit = self._body_limit()
        chunks = []
        size = 0
        try:
            async for chunk in request.content.iter_any():
                chunks.append(chunk)
                size += len(chunk)
                if size > limit:
                    await reply.reject(413, "too_large", None)
                    assert reply.response is not None
                    reply.response.force_close()
                    return None
        except web.RequestPayloadError as error:
            log_event("body_unreadable", error=str(error))
            await reply.reject(400, "bad_request", None)
            assert reply.response is not None
            reply.response.force_close()
            return None
        return b"".join(chunks)


def create_server(
    serve: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
) -> web.Server:
    """Return a server that cancels the handler when its caller disconnects."""
    loop = asyncio.get_running_loop()

    def make_request(
        message: RawRequestMessage,
        payload: StreamReader,
        protocol: RequestHandler,
        writer: AbstractStreamWriter,
        task: asyncio.Task[None],
    ) -> web.BaseRequest:
        return web.BaseRequest(message, payload, protocol, writer, task, loop)

    return web.Server(
        serve,
        request_factory=make_request,
        handler_cancellation=True,
        access_log=None,
        keepalive_timeout=KEEP_ALIVE_TIMEOUT_S,
        lingering_time=LINGER_TIMEOUT_S,
        max_line_size=MAX_FIELD_BYTES,
        max_field_size=MAX_FIELD_BYTES,
        auto_decompress=False,
    )


async def listen(server: web.Server, address: str) -> asyncio.Server:
    """Listen at an address of the form IP:PORT."""
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    return await loop.create_server(server, host, int(port), backlog=512)
