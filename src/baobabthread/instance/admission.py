"""Whether a request is taken at all, for whom, and with which model it begins."""

from __future__ import annotations

import asyncio
import contextlib
import random

import msgspec

from baobabthread.instance.clock import now
from baobabthread.instance.endings import ELSEWHERE_S, SOON_S
from baobabthread.instance.estimates import Estimates
from baobabthread.instance.flight import CallerRequest, Flight, Reply, TakenAtStop
from baobabthread.instance.services import Services
from baobabthread.routing.budget import RepeatBudget
from baobabthread.routing.configuration import UNNAMED_MODEL, Account, Route
from baobabthread.routing.knowledge import Knowledge
from baobabthread.routing.models import ModelChoice
from baobabthread.routing.stopping import StopPlan
from baobabthread.routing.table import RoutingTable

START_PATIENCE_S = 1.0
"""Time that requests wait for an instance's first knowledge: reading the store takes a
few hundredths of a second, asking a peer instead half a second."""
LOW_BALANCE = 2.0
"""Repeats left below which answers must be good at once: none could follow."""
IDLE_PRICE = 0.05
"""Price of engine time up to which the largest model is asked at once for that: it
takes ten times the engine time, also for answers that don't need it."""
LOW_PART = 0.45
"""The same as a part of the most that can be left: among many instances the budget of
each is small, and asking the largest model every time would overload the engines."""


class Verdict(msgspec.Struct, frozen=True, kw_only=True):
    """Tell how to turn a request away."""

    status: int
    kind: str
    retry_after_s: float | None = None


class Admission:
    """Find out what a request is, and whether this instance may take it."""

    __slots__ = (
        "_estimates",
        "_knowledge",
        "_known",
        "_models",
        "_rng",
        "_services",
        "_stopping",
    )

    def __init__(
        self,
        *,
        knowledge: Knowledge,
        services: Services,
        estimates: Estimates,
        models: ModelChoice,
        rng: random.Random,
    ) -> None:
        self._knowledge = knowledge
        self._services = services
        self._estimates = estimates
        self._models = models
        self._rng = rng
        self._known = asyncio.Event()
        self._stopping: StopPlan | None = None

    def note_known(self) -> None:
        """Note that the configuration and the backend servers are known."""
        self._known.set()

    def leave(self, plan: StopPlan) -> None:
        """Take only what will be answered in time from now on."""
        self._stopping = plan

    async def wait_known(self) -> None:
        """Wait a little for the first knowledge after a start.

        The first instance that is back after all were lost meets every caller within
        its first tenth of a second; refused then, they have no other one to go to.
        """
        if self._known.is_set():
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(START_PATIENCE_S):
                await self._known.wait()

    def admit(self, request: CallerRequest, reply: Reply) -> Flight | Verdict:
        """Return the request as it will be handled, or why it is turned away."""
        table = self._knowledge.table
        if table is None:
            return Verdict(status=503, kind="not_configured", retry_after_s=SOON_S)
        fresh = self._knowledge.is_fresh(now())
        route = table.match(request.host, request.path)
        if route is None:
            # An instance that may be behind can't know that there is no such route.
            if not fresh:
                return Verdict(status=503, kind="stale", retry_after_s=SOON_S)
            return Verdict(status=404, kind="unknown_route")
        account = self._authenticate(table, route, request, fresh)
        if isinstance(account, Verdict):
            return account
        if not route.targets:
            return Verdict(status=503, kind="no_service", retry_after_s=SOON_S)
        flight = Flight(
            request=request,
            reply=reply,
            route=route,
            account=account,
            service=self._choose_service(route),
            deadline=request.arrived_at + _limit_s(route, request),
        )
        budget = self._services.get(flight.service).budget
        budget.count_request(self._services.arrivals.find(now()))
        self._begin_model(flight, budget)
        if not self._can_end(flight):
            return Verdict(status=503, kind="leaving", retry_after_s=ELSEWHERE_S)
        return flight

    def _authenticate(
        self, table: RoutingTable, route: Route, request: CallerRequest, fresh: bool
    ) -> Account | Verdict | None:
        if route.public or not table.needs_keys:
            return None
        if not fresh:
            # The key may have been taken away: whoever can't read the operators' log
            # must not run anything for it.
            return Verdict(status=503, kind="stale", retry_after_s=SOON_S)
        account = table.authenticate(request.envelope.key)
        return account or Verdict(status=401, kind="unknown_key")

    def _choose_service(self, route: Route) -> str:
        if len(route.targets) == 1:
            return route.targets[0].service
        weights = [max(0.0, target.weight) for target in route.targets]
        if not sum(weights):
            return route.targets[0].service
        return self._rng.choices(route.targets, weights)[0].service

    def _begin_model(self, flight: Flight, budget: RepeatBudget) -> None:
        models = flight.route.models
        if not models or flight.request.envelope.model != UNNAMED_MODEL:
            return
        moment = now()
        low = max(1.0, min(LOW_BALANCE, LOW_PART * budget.most(moment)))
        is_low = budget.balance(moment) < low
        if is_low and self._estimates.price < IDLE_PRICE:
            flight.model = len(models) - 1
        else:
            flight.model = self._models.begin(len(models))

    def _can_end(self, flight: Flight) -> bool:
        """Tell whether an answer would be whole before this instance ends."""
        plan = self._stopping
        if plan is None:
            return True
        moment = now()
        models = flight.route.models
        largest = models[-1] if flight.model is not None else None
        usual_s = self._estimates.whole_s(flight, flight.model_name)
        longest_s = self._estimates.longest_s(flight, largest)
        flight.taken_at_stop = TakenAtStop(
            until_end_ms=round((plan.takes_until - moment) * 1000),
            usual_ms=round(usual_s * 1000),
            longest_ms=round(longest_s * 1000),
        )
        return plan.can_end(usual_s=usual_s, longest_s=longest_s, now=moment)


def _limit_s(route: Route, request: CallerRequest) -> float:
    own = request.envelope.time_left_s
    return route.timeout_s if own is None else min(route.timeout_s, own)
