"""Scheduling of requests through the queues of the services."""

from __future__ import annotations

import asyncio
import random

from baobabthread.core.limits.fairness import Waiting
from baobabthread.instance.clock import now
from baobabthread.instance.context import RequestContext
from baobabthread.instance.errorresponses import RETRY_AFTER_S, ErrorResponses
from baobabthread.instance.estimates import Estimates
from baobabthread.instance.requestlog import RequestLog
from baobabthread.instance.services import Services, ServiceState
from baobabthread.routing.queues import classify

MIN_TIME_LEFT_S = 0.02
"""Time until the deadline below which an attempt isn't worth occupying a server."""


class RequestScheduler:
    """Queue requests, start them in order, and reject those that wait too long."""

    __slots__ = (
        "_error_responses",
        "_estimates",
        "_log",
        "_pending",
        "_rng",
        "_sequence",
        "_services",
    )

    def __init__(
        self,
        *,
        services: Services,
        estimates: Estimates,
        error_responses: ErrorResponses,
        log: RequestLog,
        rng: random.Random,
    ) -> None:
        self._services = services
        self._estimates = estimates
        self._error_responses = error_responses
        self._log = log
        self._rng = rng
        self._pending: dict[str, asyncio.Future[None]] = {}
        self._sequence = 0

    def tick(self) -> None:
        """Reject requests that can't be served in time, and start those that can."""
        now_s = now()
        for state in self._services:
            for entry in state.queue.expire(now_s):
                self._resolve(entry.request_id, rejected=True)
            self._start_ready(state)

    async def wait(self, context: RequestContext, state: ServiceState) -> str | None:
        """Queue a request; return its ticket once it may start, None if rejected."""
        self._sequence += 1
        ticket = str(self._sequence)
        entry = self._make_entry(context, ticket)
        decision = state.queue.offer(entry, entry.arrived, self._rng.random())
        if not decision.admitted:
            await self._error_responses.reject(
                context, "overloaded", decision.retry_after_s
            )
            return None
        if decision.pushed_out is not None:
            self._resolve(decision.pushed_out, rejected=True)
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._pending[ticket] = future
        self._start_ready(state)
        try:
            await future
        except asyncio.CancelledError:
            self._withdraw(ticket, future, state)
            raise
        except TimeoutError:
            await self._error_responses.reject(
                context, "waited_too_long", RETRY_AFTER_S
            )
            return None
        return ticket

    def finish(self, ticket: str, context: RequestContext, state: ServiceState) -> None:
        """Release a request's place and start those that may run now."""
        state.queue.finish(ticket, context.work_ms, now())
        self._start_ready(state)

    def _make_entry(self, context: RequestContext, ticket: str) -> Waiting:
        context.work_ms = self._estimates.work_ms(context)
        return Waiting(
            request_id=ticket,
            account=context.account.name if context.account is not None else "",
            weight=1.0,
            priority=classify(context.priority),
            tokens=context.work_ms,
            deadline=context.deadline,
            arrived=now(),
            service_s=max(MIN_TIME_LEFT_S, self._estimates.first_s(context)),
        )

    def _withdraw(
        self, ticket: str, future: asyncio.Future[None], state: ServiceState
    ) -> None:
        if _was_started(future):
            # The request was started just as its caller disconnected.
            state.queue.finish(ticket, 0, now())
            self._start_ready(state)
            return
        self._pending.pop(ticket, None)
        state.queue.remove(ticket)

    def _start_ready(self, state: ServiceState) -> None:
        while (entry := state.queue.pop(now())) is not None:
            if not self._resolve(entry.request_id, rejected=False):
                # Its caller disconnected, and its task has not withdrawn it yet.
                state.queue.finish(entry.request_id, 0, now())

    def _resolve(self, ticket: str, *, rejected: bool) -> bool:
        """Wake the request of a ticket; return whether it still waits."""
        future = self._pending.pop(ticket, None)
        if future is None or future.done():
            return False
        if rejected:
            future.set_exception(TimeoutError())
        else:
            future.set_result(None)
        return True


def _was_started(future: asyncio.Future[None]) -> bool:
    return future.done() and not future.cancelled() and future.exception() is None
