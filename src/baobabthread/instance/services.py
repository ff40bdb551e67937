"""State of each service: its queue, its retry budget and its version plan."""

from __future__ import annotations

from collections.abc import Iterator

from baobabthread.instance.clock import now
from baobabthread.instance.servers.backends import Backends
from baobabthread.routing.bounds import RoutingBounds
from baobabthread.routing.budget import ArrivalEstimator, MemberCount, RetryBudget
from baobabthread.routing.queues import ServiceQueue
from baobabthread.routing.versions import VersionPlan

CRASH_CALL = "crashes"
"""Name of the call under which crashes of backend servers are counted."""


class ServiceState:
    """State of one service."""

    __slots__ = ("budget", "name", "plan", "queue")

    def __init__(
        self, *, name: str, bounds: RoutingBounds, members: MemberCount
    ) -> None:
        self.name = name
        self.queue = ServiceQueue()
        self.plan = VersionPlan(service=name, bounds=bounds)
        self.budget = RetryBudget(bounds=bounds, members=members)


class Services:
    """State of all services, with capacity and retries divided among instances."""

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
        """Return whether a version is a canary or has failed as one."""
        return self.get(service).plan.is_unproven(version)

    def record_crash(self, service: str, version: str) -> None:
        """Count a crash of a canary version as one failed response.

        A version that crashes on every request returns no responses. If it were
        evaluated by responses alone, it would be promoted and the old version stopped.
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
        """Divide capacity and the fixed part of retries among `count` instances."""
        self._instance_count = max(1, count)
        self._members.record(self._instance_count)
        for state in self:
            capacity = self._backends.capacity(state.name)
            state.queue.set_capacity(capacity, self._instance_count)
