"""Connections of callers: bounds on heads and idle time, typed errors throughout."""

from __future__ import annotations

import asyncio
import contextlib
import ssl
from collections.abc import Awaitable, Callable
from typing import Any

from aiohttp import web

from baobabthread.adapters.callers import render_problem
from baobabthread.errors import Kind, Problem, Ran, UnavailableError
from baobabthread.logs import log_event
from baobabthread.settings import Address

IDLE_TIMEOUT_S = 30.0
MAX_HEADER_BYTES = 16_384
MAX_HEADERS = 128
LINGER_S = 2.0
"""How long the rest of a refused body is read, so that its caller sees the answer."""
MAX_DETAIL = 200
SHUTDOWN_S = 1.0
"""How long connections get to end when a listener is closed."""

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


class CallerConnection(web.RequestHandler):
    """Answer what can't be parsed or handled with a problem."""

    __slots__ = ()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Return the problem that ends this connection."""
        if request.writer.output_size > 0:
            # Part of an answer has left: a problem after it would be read as its rest.
            raise ConnectionError("the answer has begun, the connection ends here")
        if status < 500:
            problem = _explain_malformed(message or type(exc).__name__)
        else:
            problem = _explain_internal()
            log_event(
                "request_failed", level="error", path=request.path, reason=repr(exc)
            )
        response = render_problem(problem)
        response.force_close()
        return response


class CallerServer(web.Server):
    """Accept connections that bring a whole request head in bounded time and size."""

    def __init__(
        self,
        *,
        handler: Handler,
        idle_timeout_s: float = IDLE_TIMEOUT_S,
        max_header_bytes: int = MAX_HEADER_BYTES,
    ) -> None:
        # A caller that sends its head a byte a minute, or nothing at all, would hold
        # a connection for ever, and enough of them use up all descriptors. The bound
        # runs from the accept or the last answer on and isn't renewed by a byte.
        self._limits: dict[str, Any] = {
            "access_log": None,
            "keepalive_timeout": idle_timeout_s,
            "max_line_size": max_header_bytes,
            "max_field_size": max_header_bytes,
            "max_headers": MAX_HEADERS,
            "lingering_time": LINGER_S,
        }
        super().__init__(handler)

    def __call__(self) -> CallerConnection:
        """Return the protocol of one connection."""
        loop = asyncio.get_running_loop()
        return CallerConnection(self, loop=loop, **self._limits)


async def serve(
    stack: contextlib.AsyncExitStack,
    server: web.Server,
    address: Address,
    tls: ssl.SSLContext | None,
) -> str:
    """Listen until the stack ends; return the address with the port that was chosen.

    Raises `UnavailableError` where the address can't be listened at.
    """
    runner = web.ServerRunner(server, shutdown_timeout=SHUTDOWN_S)
    await runner.setup()
    stack.push_async_callback(runner.cleanup)
    site = web.TCPSite(
        runner, address.host, address.port, ssl_context=tls, reuse_address=True
    )
    try:
        await site.start()
    except OSError as error:
        raise UnavailableError(
            f"can't listen at {address}: {error.strerror}",
            remedy="choose a free address or stop what listens there",
        ) from None
    host, port = runner.addresses[0][:2]
    return str(Address(host, port))


def _explain_malformed(reason: str) -> Problem:
    return Problem(
        kind=Kind.BAD_REQUEST,
        detail=f"not an HTTP request: {reason.strip().splitlines()[0][:MAX_DETAIL]}",
        remedy="send a well-formed HTTP/1.1 request with a head of bounded size",
        ran=Ran.NO,
    )


def _explain_internal() -> Problem:
    return Problem(
        kind=Kind.INTERNAL,
        detail="the entry failed on this request",
        remedy="repeat it if it may run twice, and report it with the entry's log",
        ran=Ran.UNKNOWN,
    )
