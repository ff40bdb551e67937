"""HTTP server for callers: reads whole requests and sends responses."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from typing import NoReturn, cast

import msgspec
from aiohttp import web
from aiohttp.abc import AbstractStreamWriter
from aiohttp.http_parser import RawRequestMessage
from aiohttp.streams import StreamReader
from aiohttp.web_protocol import RequestHandler
from multidict import CIMultiDict

from baobabthread.instance.clock import now
from baobabthread.instance.context import CallerRequest, Reply
from baobabthread.instance.errorresponses import RETRY_AFTER_S
from baobabthread.instance.heldbytes import FREE_BYTES, HeldBytes, MemoryBudget
from baobabthread.instance.wire import WireFormat
from baobabthread.loglimits import LineRateLimiter
from baobabthread.logs import log_event
from baobabthread.serving.connections import BoundedConnection
from baobabthread.serving.groups import ConnectionGroup, ConnectionMemory
from baobabthread.serving.listeners import Listener

BODY_TIMEOUT_S = 60.0
"""Time to receive the whole body of a request: longer than any route's timeout."""
STALL_TIMEOUT_S = 15.0
"""Time without progress after which a response that isn't read is cut: longer than a
partition that its caller may outlast."""
STALL_POLL_INTERVAL_S = 0.25
USUAL_UNREAD_BYTES = 32_768
"""Unread bytes of a stream up to which no write waits for its caller."""
LINES_PER_S = 1.0
"""Log lines per second for callers that were cut off, and for bodies refused."""

HandleRequest = Callable[[CallerRequest, Reply], Awaitable[None]]


class HttpReply:
    """Reply to one caller over HTTP."""

    __slots__ = ("_held", "_is_leaving", "_log_limiter", "_request", "response")

    def __init__(
        self,
        *,
        request: web.BaseRequest,
        is_leaving: Callable[[], bool],
        held: HeldBytes,
        log_limiter: LineRateLimiter,
    ) -> None:
        self._request = request
        self._is_leaving = is_leaving
        self._held = held
        self._log_limiter = log_limiter
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
        """Send whole events of a stream, as fast as its caller reads.

        Raises `ConnectionError` if the caller is cut off as it doesn't read.
        """
        assert self.response is not None
        unread = self._count_unread() + len(data)
        if unread < USUAL_UNREAD_BYTES:
            await self.response.write(data)
            return
        if not self._held.try_grow(unread):
            self._cut_off("memory")
        try:
            async with asyncio.timeout(STALL_TIMEOUT_S):
                await self.response.write(data)
        except TimeoutError:
            self._cut_off("stalled")
        finally:
            self._held.shrink(unread)

    async def finish(self) -> None:
        """Complete a stream."""
        assert self.response is not None
        await self.response.write_eof()

    async def deliver(self) -> None:
        """Send a response that is large or follows unread ones, as its caller reads.

        Raises `ConnectionError` if the caller is cut off as it doesn't read.
        """
        response = self.response
        if not isinstance(response, web.Response) or response.prepared:
            return
        body = response.body
        if not isinstance(body, bytes):
            return
        if len(body) <= FREE_BYTES and not self._count_unread():
            return
        await response.prepare(self._request)
        sending = asyncio.ensure_future(response.write_eof())
        try:
            await self._watch(sending)
        finally:
            sending.cancel()

    async def _watch(self, sending: asyncio.Future[None]) -> None:
        """Wait until a response is read, cut its caller off if nothing more is."""
        unread, progressed_at = self._count_unread(), now()
        while not sending.done():
            await asyncio.wait({sending}, timeout=STALL_POLL_INTERVAL_S)
            left = self._count_unread()
            if left != unread:
                unread, progressed_at = left, now()
            elif now() - progressed_at > STALL_TIMEOUT_S and not sending.done():
                self._cut_off("stalled")
        sending.result()

    def _count_unread(self) -> int:
        transport = self._request.transport
        if transport is None:
            return 0
        return cast(asyncio.WriteTransport, transport).get_write_buffer_size()

    def _cut_off(self, reason: str) -> NoReturn:
        """Reset a connection whose caller doesn't read; raise `ConnectionError`."""
        if self._log_limiter.try_acquire():
            log_event(
                "caller_cut_off",
                level="info",
                reason=reason,
                unread_bytes=self._count_unread(),
            )
        self.abort()
        raise ConnectionResetError(f"caller cut off: {reason}")

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

    __slots__ = (
        "_body_limit",
        "_connection_memory",
        "_handle",
        "_is_leaving",
        "_log_limiter",
        "_memory",
        "_wire",
    )

    def __init__(
        self,
        *,
        handle: HandleRequest,
        wire: WireFormat,
        is_leaving: Callable[[], bool],
        body_limit: Callable[[], int],
        memory: MemoryBudget,
        connection_memory: ConnectionMemory,
    ) -> None:
        self._handle = handle
        self._connection_memory = connection_memory
        self._wire = wire
        self._is_leaving = is_leaving
        self._body_limit = body_limit
        self._memory = memory
        self._log_limiter = LineRateLimiter(per_s=LINES_PER_S)

    async def serve(self, request: web.BaseRequest) -> web.StreamResponse:
        """Handle one HTTP request."""
        held = HeldBytes(self._memory)
        reply = HttpReply(
            request=request,
            is_leaving=self._is_leaving,
            held=held,
            log_limiter=self._log_limiter,
        )
        try:
            await self._serve(request, reply, held)
            await reply.deliver()
        finally:
            held.release()
        assert reply.response is not None
        return reply.response

    async def _serve(
        self, request: web.BaseRequest, reply: HttpReply, held: HeldBytes
    ) -> None:
        arrived_at = now()
        if self._connection_memory.is_full:
            await self._refuse_body(reply, 503, "no_memory")
            return
        body = await self._read_body(request, reply, held)
        if body is None:
            return
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
                held=held,
            ),
            reply,
        )

    async def _read_body(
        self, request: web.BaseRequest, reply: HttpReply, held: HeldBytes
    ) -> bytes | None:
        limit = self._body_limit()
        chunks = []
        size = 0
        try:
            async with asyncio.timeout(BODY_TIMEOUT_S):
                async for chunk in request.content.iter_any():
                    chunks.append(chunk)
                    size += len(chunk)
                    if size > limit:
                        await self._refuse_body(reply, 413, "too_large")
                        return None
                    if not held.try_grow(len(chunk)):
                        await self._refuse_body(reply, 503, "no_memory")
                        return None
        except TimeoutError:
            await self._refuse_body(reply, 408, "body_timeout")
            return None
        except web.RequestPayloadError as error:
            if self._log_limiter.try_acquire():
                log_event("body_unreadable", error=str(error))
            await self._refuse_body(reply, 400, "bad_request")
            return None
        return b"".join(chunks)

    async def _refuse_body(self, reply: HttpReply, status: int, kind: str) -> None:
        """Refuse a request, and close its connection as bytes of it may follow."""
        if self._log_limiter.try_acquire():
            log_event("body_refused", kind=kind, held_bytes=self._memory.held_bytes)
        after_s = RETRY_AFTER_S if status == 503 else None
        await reply.reject(status, kind, after_s)
        assert reply.response is not None
        reply.response.force_close()


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

    return web.Server(serve, request_factory=make_request, handler_cancellation=True)


def listen(server: web.Server, address: str, group: ConnectionGroup) -> Listener:
    """Listen at an address of the form IP:PORT."""
    return Listener(
        address=address,
        group=group,
        make_protocol=lambda: BoundedConnection(server, group=group),
    )
