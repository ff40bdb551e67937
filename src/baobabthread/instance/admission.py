"""Whether a request is taken at all, for whom, and with which model it begins."""

from __future__ import annotations

import asyncio
import contextlib
import random

import msgspec

from baobabthread.instance.clock import now
from baobabthread.instance.context import (
    AdmittedAtStop,
    CallerRequest,
    Reply,
    RequestContext,
)
from baobabthread.instance.errorresponses import RETRY_AFTER_S, RETRY_ELSEWHERE_AFTER_S
from baobabthread.instance.estimates import Estimates
from baobabthread.instance.services import Services
from baobabthread.routing.budget import RetryBudget
from baobabthread.routing.configuration import ANY_MODEL, Account, Route
from baobabthread.routing.models import ModelChoice
from baobabthread.routing.replica import StateReplica
from baobabthread.routing.stopping import StopPlan
from baobabthread.routing.table import RoutingTable

START_TIMEOUT_S = 1.0
"""Time that requests wait for an instance's first knowledge: reading the store takes a
few hundredths of a second, asking a peer instead half a second."""
LOW_RETRY_BALANCE = 2.0
"""Repeats left below which answers must be good at once: none could follow."""
IDLE_COST = 0.05
"""Price of engine time up to which the largest model is asked at once for that: it
takes ten times the engine time, also for answers that don't need it."""
LOW_RETRY_FRACTION = 0.45
"""The same as a part of the most that can be left: among many instances the budget of
each is small, and asking the largest model every time would overload the engines."""


class Rejection(msgspec.Struct, frozen=True, kw_only=True):
    """Tell how to turn a request away."""

    status: int
    kind: str
    retry_after_s: float | None = None


class Admission:
    """Find out what a request is, and whether this instance may take it."""

    __slots__ = (
        "_estimates",
        "_models",
        "_ready",
        "_replica",
        "_rng",
        "_services",
        "_stop_plan",
    )

    def __init__(
        self,
        *,
        replica: StateReplica,
        services: Services,
        estimates: Estimates,
        models: ModelChoice,
        rng: random.Random,
    ) -> None:
        self._replica = replica
        self._services = services
        self._estimates = estimates
        self._models = models
        self._rng = rng
        self._ready = asyncio.Event()
        self._stop_plan: StopPlan | None = None

    def mark_ready(self) -> None:
        """Note that the configuration and the backend servers are known."""
        self._ready.set()

    def begin_stop(self, plan: StopPlan) -> None:
        """Take only what will be answered in time from now on."""
        self._stop_plan = plan

    async def wait_ready(self) -> None:
        """Wait a little for the first knowledge after a start.

        The first instance that is back after all were lost meets every caller within
        its first tenth of a second; refused then, they have no other one to go to.
        """
        if self._ready.is_set():
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(START_TIMEOUT_S):
                await self._ready.wait()

    def admit(self, request: CallerRequest, reply: Reply) -> RequestContext | Rejection:
        """Return the request as it will be handled, or why it is turned away."""
        table = self._replica.table
        if table is None:
            return Rejection(
                status=503, kind="not_configured", retry_after_s=RETRY_AFTER_S
            )
        fresh = self._replica.is_fresh(now())
        route = table.match(request.host, request.path)
        if route is None:
            # An instance that may be behind can't know that there is no such route.
            if not fresh:
                return Rejection(status=503, kind="stale", retry_after_s=RETRY_AFTER_S)
            return Rejection(status=404, kind="unknown_route")
        account = self._authenticate(table, route, request, fresh)
        if isinstance(account, Rejection):
            return account
        if not route.targets:
            return Rejection(status=503, kind="no_service", retry_after_s=RETRY_AFTER_S)
        flight = RequestContext(
            request=request,
            reply=reply,
            route=route,
            account=account,
            service=self._choose_service(route),
            deadline=request.arrived_at + _timeout_s(route, request),
        )
        budget = self._services.get(flight.service).budget
        budget.record_request(self._services.arrivals.estimate_arrival(now()))
        self._choose_first_model(flight, budget)
        if not self._can_finish(flight):
            return Rejection(
                status=503, kind="leaving", retry_after_s=RETRY_ELSEWHERE_AFTER_S
            )
        return flight

    def _authenticate(
        self, table: RoutingTable, route: Route, request: CallerRequest, fresh: bool
    ) -> Account | Rejection | None:
        if route.public or not table.needs_keys:
            return None
        if not fresh:
            # The key may have been taken away: whoever can't read the operators' log
            # must not run anything for it.
            return Rejection(status=503, kind="stale", retry_after_s=RETRY_AFTER_S)
        account = table.authenticate(request.envelope.key)
        return account or Rejection(status=401, kind="unknown_key")

    def _choose_service(self, route: Route) -> str:
        if len(route.targets) == 1:
            return route.targets[0].service
        weights = [max(0.0, target.weight) for target in route.targets]
        if not sum(weights):
            return route.targets[0].service
        return self._rng.choices(route.targets, weights)[0].service

    def _choose_first_model(self, flight: RequestContext, budget: RetryBudget) -> None:
        models = flight.route.models
        if not models or flight.request.envelope.model != ANY_MODEL:
            return
        moment = now()
        low = max(
            1.0, min(LOW_RETRY_BALANCE, LOW_RETRY_FRACTION * budget.limit(moment))
        )
        is_low = budget.remaining(moment) < low
        if is_low and self._estimates.engine_time_cost < IDLE_COST:
            flight.model = len(models) - 1
        else:
            flight.model = self._models.choose_first(len(models))

    def _can_finish(self, flight: RequestContext) -> bool:
        """Tell whether an answer would be whole before this instance ends."""
        plan = self._stop_plan
        if plan is None:
            return True
        moment = now()
        models = flight.route.models
        largest = models[-1] if flight.model is not None else None
        usual_s = self._estimates.total_s(flight, flight.model_name)
        longest_s = self._estimates.max_total_s(flight, largest)
        flight.admitted_at_stop = AdmittedAtStop(
            until_end_ms=round((plan.takes_until - moment) * 1000),
            usual_ms=round(usual_s * 1000),
            longest_ms=round(longest_s * 1000),
        )
        return plan.can_finish(usual_s=usual_s, longest_s=longest_s, now=moment)


def _timeout_s(route: Route, request: CallerRequest) -> float:
    own = request.envelope.time_left_s
    return route.timeout_s if own is None else min(route.timeout_s, own)
