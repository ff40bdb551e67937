"""What is decided for each service: its queue, its budget of repeats, its versions."""

from __future__ import annotations

from collections.abc import Iterator

from baobabthread.instance.backends import Backends
from baobabthread.instance.clock import now
from baobabthread.routing.bounds import RoutingBounds
from baobabthread.routing.budget import ArrivalEstimator, MemberCount, RetryBudget
from baobabthread.routing.queues import ServiceQueue
from baobabthread.routing.versions import VersionPlan

CRASH_CALL = "crashes"
"""Stands for a route where a backend server crashed instead of answering."""


class ServiceState:
    """Hold what is decided for one service."""

    __slots__ = ("budget", "name", "plan", "queue")

    def __init__(
        self, *, name: str, bounds: RoutingBounds, members: MemberCount
    ) -> None:
        self.name = name
        self.queue = ServiceQueue()
        self.plan = VersionPlan(service=name, bounds=bounds)
        self.budget = RetryBudget(bounds=bounds, members=members)

    def spend_retry(self) -> bool:
        """Take a repeat out of the budget; return whether there was one."""
        return self.budget.try_spend(now())


class Services:
    """Keep the state of each service and divide what instances share."""

    __slots__ = (
        "_backends",
        "_bounds",
        "_instance_count",
        "_members",
        "_states",
        "arrivals",
    )

    def __init__(
        self, *, backends: Backends, bounds: RoutingBounds, is_single: bool = False
    ) -> None:
        self._backends = backends
        self._bounds = bounds
        self._instance_count = 1
        self._states: dict[str, ServiceState] = {}
        self.arrivals = ArrivalEstimator()
        self._members = MemberCount(
            is_single=is_single, settled_at=now() + bounds.retry_window_s
        )

    def __iter__(self) -> Iterator[ServiceState]:
        return iter(self._states.values())

    def get(self, name: str) -> ServiceState:
        """Return the state of a service."""
        state = self._states.get(name)
        if state is None:
            state = ServiceState(name=name, bounds=self._bounds, members=self._members)
            state.queue.set_capacity(
                self._backends.capacity(name), self._instance_count
            )
            self._states[name] = state
        return state

    def is_canary(self, service: str, version: str) -> bool:
        """Tell whether a version is on trial, or failed its trial."""
        return self.get(service).plan.is_unproven(version)

    def record_crash(self, service: str, version: str) -> None:
        """Hold a crash against a version on trial, as one bad answer.

        A version that crashes under everything answers nothing: judged by answers alone
        it passes its trial, gets all requests, and the old version is stopped.
        """
        plan = self.get(service).plan
        if plan.order is None or plan.order.target != version or not plan.is_running:
            return
        plan.analysis.observe_response(
            is_canary=True,
            call=CRASH_CALL,
            kind=CRASH_CALL,
            failed=True,
            latency_s=None,
        )

    def set_instance_count(self, count: int) -> None:
        """Divide capacity and the fixed part of repeats among so many instances."""
        self._instance_count = max(1, count)
        self._members.record(self._instance_count)
        for state in self:
            capacity = self._backends.capacity(state.name)
            state.queue.set_capacity(capacity, self._instance_count)
