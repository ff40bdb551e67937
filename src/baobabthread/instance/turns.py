"""Waiting for one's turn in the queue of a service."""

from __future__ import annotations

import asyncio
import random

from baobabthread.core.limits.fairness import Waiting
from baobabthread.instance.clock import now
from baobabthread.instance.context import RequestContext
from baobabthread.instance.endings import SOON_S, Endings
from baobabthread.instance.estimates import Estimates
from baobabthread.instance.requestlog import RequestLog
from baobabthread.instance.services import Services, ServiceState
from baobabthread.routing.queues import classify

LEAST_LEFT_S = 0.02
"""Time left below which no attempt is worth its place at a backend server."""


class Turns:
    """Let requests wait, start them in turn, refuse those that wait in vain."""

    __slots__ = (
        "_endings",
        "_estimates",
        "_log",
        "_rng",
        "_sequence",
        "_services",
        "_waiting",
    )

    def __init__(
        self,
        *,
        services: Services,
        estimates: Estimates,
        endings: Endings,
        log: RequestLog,
        rng: random.Random,
    ) -> None:
        self._services = services
        self._estimates = estimates
        self._endings = endings
        self._log = log
        self._rng = rng
        self._waiting: dict[str, asyncio.Future[None]] = {}
        self._sequence = 0

    def tick(self) -> None:
        """Refuse what can't be served in time any more, and start what can."""
        moment = now()
        for state in self._services:
            for waiting in state.queue.expire(moment):
                self._settle(waiting.request_id, refused=True)
            self._pump(state)

    async def wait(self, flight: RequestContext, state: ServiceState) -> str | None:
        """Queue a request; return its ticket when its turn has come."""
        self._sequence += 1
        ticket = str(self._sequence)
        waiting = self._describe(flight, ticket)
        admitted = state.queue.offer(waiting, waiting.arrived, self._rng.random())
        if not admitted.admitted:
            await self._endings.refuse(flight, "overloaded", admitted.retry_after_s)
            return None
        turn: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiting[ticket] = turn
        self._pump(state)
        try:
            await turn
        except asyncio.CancelledError:
            self._withdraw(ticket, turn, state)
            raise
        except TimeoutError:
            await self._endings.refuse(flight, "waited_too_long", SOON_S)
            return None
        return ticket

    def finish(self, ticket: str, flight: RequestContext, state: ServiceState) -> None:
        """Give a place back and start who is next."""
        state.queue.finish(ticket, flight.work_ms, now())
        self._pump(state)

    def _describe(self, flight: RequestContext, ticket: str) -> Waiting:
        flight.work_ms = self._estimates.work_ms(flight)
        return Waiting(
            request_id=ticket,
            account=flight.account.name if flight.account is not None else "",
            weight=1.0,
            priority=classify(flight.priority),
            tokens=flight.work_ms,
            deadline=flight.deadline,
            arrived=now(),
            service_s=max(LEAST_LEFT_S, self._estimates.first_s(flight)),
        )

    def _withdraw(
        self, ticket: str, turn: asyncio.Future[None], state: ServiceState
    ) -> None:
        if turn.done() and not turn.cancelled():
            # Its turn came in the moment in which its caller left.
            state.queue.finish(ticket, 0, now())
            self._pump(state)
            return
        self._waiting.pop(ticket, None)
        state.queue.remove(ticket)

    def _pump(self, state: ServiceState) -> None:
        while (waiting := state.queue.pop(now())) is not None:
            self._settle(waiting.request_id, refused=False)

    def _settle(self, ticket: str, *, refused: bool) -> None:
        turn = self._waiting.pop(ticket, None)
        if turn is None or turn.done():
            return
        if refused:
            turn.set_exception(TimeoutError())
        else:
            turn.set_result(None)
