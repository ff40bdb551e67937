"""Connections of callers: bounds on heads and idle time, typed errors throughout."""

from __future__ import annotations

import contextlib
import functools
import ssl
from collections.abc import Awaitable, Callable
from typing import Any

from aiohttp import web

from baobabthread.adapters.callers import render_problem
from baobabthread.errors import Kind, Problem, Ran, UnavailableError
from baobabthread.logs import log_event
from baobabthread.serving.connections import BoundedConnection
from baobabthread.serving.groups import (
    ClientLimits,
    ConnectionGroup,
    ConnectionMemory,
)
from baobabthread.serving.listeners import Listener
from baobabthread.serving.shares import (
    ListenerName,
    derive_connections,
    derive_memory,
    find_descriptors,
    find_memory_mb,
)
from baobabthread.settings import Address, EntrySettings

MAX_HEADERS = 128
RETRY_AFTER_S = 1.0
LINGER_S = 2.0
"""How long the rest of a refused body is read, so that its caller sees the answer."""
MAX_DETAIL = 200
SHUTDOWN_S = 1.0
"""How long connections get to end when a listener is closed."""

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


class CallerConnection(BoundedConnection):
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
        group: ConnectionGroup,
        max_body_bytes: int,
        may_upgrade: bool = False,
    ) -> None:
        self.group = group
        limits = group.find_limits()
        # A caller that sends its head a byte a minute, or nothing at all, would hold
        # a connection for ever, and enough of them use up all descriptors. The bound
        # runs from the accept or the last answer on and isn't renewed by a byte.
        self._limits: dict[str, Any] = {
            "keepalive_timeout_s": limits.idle_timeout_s,
            "max_line_bytes": limits.max_head_bytes,
            "max_fields": MAX_HEADERS,
            "lingering_s": LINGER_S,
            "decompresses": True,
            "may_upgrade": may_upgrade,
            "counted_body_bytes": max_body_bytes,
        }
        super().__init__(functools.partial(self._handle, handler))

    def __call__(self) -> CallerConnection:
        """Return the protocol of one connection."""
        return CallerConnection(self, group=self.group, **self._limits)

    async def _handle(
        self, handler: Handler, request: web.BaseRequest
    ) -> web.StreamResponse:
        if not self.group.memory.is_full:
            return await handler(request)
        response = render_problem(_explain_no_memory())
        response.force_close()
        return response


def make_groups(settings: EntrySettings) -> dict[ListenerName, ConnectionGroup]:
    """Return the groups of the connections of callers and of peers."""
    limits = ClientLimits(
        max_head_bytes=settings.max_header_bytes,
        head_timeout_s=settings.idle_timeout_s,
        idle_timeout_s=settings.idle_timeout_s,
    )
    memory = ConnectionMemory(
        limit_bytes=derive_memory(settings.max_memory_mb or find_memory_mb())
    )
    descriptors = settings.max_descriptors or find_descriptors()
    return {
        name: ConnectionGroup(
            name=name,
            max_connections=derive_connections(descriptors, name),
            memory=memory,
            find_limits=lambda: limits,
            # A peer that stands still keeps its link.
            closes_stalled=name is ListenerName.ENTRY_CALLERS,
        )
        for name in (ListenerName.ENTRY_CALLERS, ListenerName.ENTRY_PEERS)
    }


async def serve(
    stack: contextlib.AsyncExitStack,
    server: CallerServer,
    address: Address,
    tls: ssl.SSLContext | None,
) -> str:
    """Listen until the stack ends; return the address with the port that was chosen.

    Raises `UnavailableError` where the address can't be listened at.
    """
    try:
        listener = Listener(
            address=str(address), group=server.group, make_protocol=server, tls=tls
        )
    except OSError as error:
        raise UnavailableError(
            f"can't listen at {address}: {error.strerror}",
            remedy="choose a free address or stop what listens there",
        ) from None
    stack.push_async_callback(server.shutdown, SHUTDOWN_S)
    stack.callback(server.pre_shutdown)
    stack.callback(listener.close)
    return listener.address


def _explain_no_memory() -> Problem:
    return Problem(
        kind=Kind.OVERLOADED,
        detail="the entry holds as many bytes of requests as it may",
        remedy="repeat the request later, or at another entry",
        ran=Ran.NO,
        retry_after_s=RETRY_AFTER_S,
    )


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
