"""Waiting for one's turn in the queue of a service."""

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
"""Time left below which no attempt is worth its place at a backend server."""


class RequestScheduler:
    """Let requests wait, start them in turn, refuse those that wait in vain."""

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
        """Refuse what can't be served in time any more, and start what can."""
        moment = now()
        for state in self._services:
            for waiting in state.queue.expire(moment):
                self._resolve(waiting.request_id, rejected=True)
            self._start_ready(state)

    async def wait(self, context: RequestContext, state: ServiceState) -> str | None:
        """Queue a request; return its ticket when its turn has come."""
        self._sequence += 1
        ticket = str(self._sequence)
        waiting = self._make_entry(context, ticket)
        admitted = state.queue.offer(waiting, waiting.arrived, self._rng.random())
        if not admitted.admitted:
            await self._error_responses.reject(
                context, "overloaded", admitted.retry_after_s
            )
            return None
        turn: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._pending[ticket] = turn
        self._start_ready(state)
        try:
            await turn
        except asyncio.CancelledError:
            self._withdraw(ticket, turn, state)
            raise
        except TimeoutError:
            await self._error_responses.reject(
                context, "waited_too_long", RETRY_AFTER_S
            )
            return None
        return ticket

    def finish(self, ticket: str, context: RequestContext, state: ServiceState) -> None:
        """Give a place back and start who is next."""
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
        self, ticket: str, turn: asyncio.Future[None], state: ServiceState
    ) -> None:
        if turn.done() and not turn.cancelled():
            # Its turn came in the moment in which its caller left.
            state.queue.finish(ticket, 0, now())
            self._start_ready(state)
            return
        self._pending.pop(ticket, None)
        state.queue.remove(ticket)

    def _start_ready(self, state: ServiceState) -> None:
        while (waiting := state.queue.pop(now())) is not None:
            self._resolve(waiting.request_id, rejected=False)

    def _resolve(self, ticket: str, *, rejected: bool) -> None:
        turn = self._pending.pop(ticket, None)
        if turn is None or turn.done():
            return
        if rejected:
            turn.set_exception(TimeoutError())
        else:
            turn.set_result(None)
