"""Admission of requests: routing, authentication and the choice of the first model."""

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
from baobabthread.instance.errorresponses import (
    LEAVING_KIND,
    RETRY_AFTER_S,
    RETRY_ELSEWHERE_AFTER_S,
)
from baobabthread.instance.estimates import Estimates
from baobabthread.instance.services import Services
from baobabthread.instance.timeouts import limit_silence
from baobabthread.routing.budget import RetryBudget
from baobabthread.routing.configuration import ANY_MODEL, Account, Route
from baobabthread.routing.models import ModelChoice
from baobabthread.routing.replica import StateReplica
from baobabthread.routing.stopping import StopPlan
from baobabthread.routing.table import RoutingTable

START_TIMEOUT_S = 1.0
"""Longest time that requests wait until a new instance has read the configuration:
reading the store takes a few hundredths of a second, fetching from a peer half a
second."""
LOW_RETRY_BALANCE = 2.0
"""Remaining retries below which the first response must be good enough, as none may
follow."""
IDLE_COST = 0.05
"""Cost of engine time below which the largest model is used first when few retries
remain: it takes ten times the engine time, even for requests that don't need it."""
LOW_RETRY_FRACTION = 0.45
"""Upper limit of `LOW_RETRY_BALANCE` as a fraction of the full budget. With many
instances the budget of each is small, and always using the largest model would overload
the engines."""


class Rejection(msgspec.Struct, frozen=True, kw_only=True):
    """Status, kind and `Retry-After` of the response to a rejected request."""

    status: int
    kind: str
    retry_after_s: float | None = None


class Admission:
    """Decide whether and how this instance processes a request."""

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
        """Record that the configuration and the backend servers are known."""
        self._ready.set()

    def begin_stop(self, plan: StopPlan) -> None:
        """Admit only requests that will be answered before this instance stops."""
        self._stop_plan = plan

    async def wait_ready(self) -> None:
        """Wait until configuration and backend servers are known, up to a timeout.

        After a loss of all instances, the first one to return gets requests from all
        callers within a tenth of a second. If it rejected them, they would have no
        other instance to try.
        """
        if self._ready.is_set():
            return
        with contextlib.suppress(TimeoutError):
            async with limit_silence(START_TIMEOUT_S):
                await self._ready.wait()

    def admit(self, request: CallerRequest, reply: Reply) -> RequestContext | Rejection:
        """Return the context of an admitted request, or why it is rejected."""
        table = self._replica.table
        if table is None:
            return Rejection(
                status=503, kind="not_configured", retry_after_s=RETRY_AFTER_S
            )
        is_fresh = self._replica.is_fresh(now())
        route = table.match(request.host, request.path)
        if route is None:
            # An instance with stale state can't know that there is no such route.
            if not is_fresh:
                return Rejection(status=503, kind="stale", retry_after_s=RETRY_AFTER_S)
            return Rejection(status=404, kind="unknown_route")
        account = self._authenticate(table, route, request, is_fresh)
        if isinstance(account, Rejection):
            return account
        if not route.targets:
            return Rejection(status=503, kind="no_service", retry_after_s=RETRY_AFTER_S)
        context = RequestContext(
            request=request,
            reply=reply,
            route=route,
            account=account,
            service=self._choose_service(route),
            deadline=request.arrived_at + _timeout_s(route, request),
        )
        budget = self._services.get(context.service).budget
        budget.record_request(self._services.arrivals.estimate_arrival(now()))
        self._choose_first_model(context, budget)
        if not self.can_finish(context):
            return Rejection(
                status=503, kind=LEAVING_KIND, retry_after_s=RETRY_ELSEWHERE_AFTER_S
            )
        return context

    def _authenticate(
        self, table: RoutingTable, route: Route, request: CallerRequest, is_fresh: bool
    ) -> Account | Rejection | None:
        if route.public or not table.needs_keys:
            return None
        if not is_fresh:
            # The key may have been revoked: an instance that can't read the operators'
            # records must not run requests for it.
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

    def _choose_first_model(self, context: RequestContext, budget: RetryBudget) -> None:
        models = context.route.models
        if not models or context.request.envelope.model != ANY_MODEL:
            return
        timestamp = now()
        threshold = max(
            1.0, min(LOW_RETRY_BALANCE, LOW_RETRY_FRACTION * budget.limit(timestamp))
        )
        is_low = budget.remaining(timestamp) < threshold
        if is_low and self._estimates.engine_time_cost < IDLE_COST:
            context.model = len(models) - 1
        else:
            context.model = self._models.choose_first(len(models))

    def can_finish(self, context: RequestContext) -> bool:
        """Return whether a response would be complete before this instance stops."""
        plan = self._stop_plan
        if plan is None:
            return True
        timestamp = now()
        models = context.route.models
        largest = models[-1] if context.model is not None else None
        usual_s = self._estimates.total_s(context, context.model_name)
        longest_s = self._estimates.max_total_s(context, largest)
        context.admitted_at_stop = AdmittedAtStop(
            until_end_ms=round((plan.takes_until - timestamp) * 1000),
            usual_ms=round(usual_s * 1000),
            longest_ms=round(longest_s * 1000),
        )
        return plan.can_finish(usual_s=usual_s, longest_s=longest_s, now=timestamp)


def _timeout_s(route: Route, request: CallerRequest) -> float:
    requested_s = request.envelope.time_left_s
    return route.timeout_s if requested_s is None else min(route.timeout_s, requested_s)
