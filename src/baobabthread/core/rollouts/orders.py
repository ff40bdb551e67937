"""Give engines declarative orders and repair them from the engines' reports."""

from __future__ import annotations

import math
from collections.abc import Set

import msgspec

from baobabthread.core.rollouts.leases import Lease


class OrderSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Bound the orders of one conductor."""

    order_timeout_s: float = 5.0
    max_loading: int = 2
    """Versions loading at once over all backend servers: the weight store's rate."""
    repeat_s: float = 2.0
    """How long an engine may take to report an order before it is repeated."""
    report_lifetime_s: float = 10.0
    """Age at which an engine's report no longer counts as serving capacity."""


class OrderEngine(msgspec.Struct, frozen=True, kw_only=True):
    """Ask the shell to post an order to an engine."""

    backend: str
    fence: int
    generation: int
    desired: list[str]
    timeout_s: float


class EngineReport(msgspec.Struct, frozen=True, kw_only=True):
    """Hold what an engine says of itself."""

    backend: str
    loaded: list[str]
    loading: list[str] = []
    capacity: int = 1


class Target(msgspec.Struct, frozen=True, kw_only=True):
    """Describe what the engines of a service shall come to."""

    generation: int
    desired: dict[str, list[str]]
    """Wanted versions by backend server."""
    needed: dict[str, int] = {}
    """Serving capacity by version that must stay; 1 where none is given."""
    withdrawn: list[str] = []
    """Versions that no live entry sends to any more, by the entries' own reports."""


class _Engine:
    __slots__ = (
        "capacity",
        "loaded",
        "loading",
        "ordered",
        "ordered_at",
        "reported_at",
    )

    def __init__(self) -> None:
        self.loaded: frozenset[str] = frozenset()
        self.loading: frozenset[str] = frozenset()
        self.capacity = 0
        self.reported_at = -math.inf
        self.ordered: tuple[int, int, frozenset[str]] | None = None
        self.ordered_at = -math.inf

    def get_pending(self) -> frozenset[str]:
        """Return what loads, or was ordered and may load before the next report."""
        ordered = self.ordered[2] if self.ordered is not None else frozenset()
        return (self.loading | ordered) - self.loaded


class Orders:
    """Plan the orders of one service's conductor."""

    __slots__ = ("_engines", "_settings", "_target", "stale_fences")

    def __init__(self, *, settings: OrderSettings | None = None) -> None:
        self._settings = settings or OrderSettings()
        self._target = Target(generation=0, desired={})
        self._engines: dict[str, _Engine] = {}
        self.stale_fences = 0
        """Orders that an engine refused for an older fencing number."""

    def set_target(self, target: Target) -> None:
        """Take a target; an older generation is ignored."""
        if target.generation >= self._target.generation:
            self._target = target

    def on_report(self, report: EngineReport, now: float) -> None:
        """Take an engine's report."""
        engine = self._engines.setdefault(report.backend, _Engine())
        engine.loaded = frozenset(report.loaded)
        engine.loading = frozenset(report.loading)
        engine.capacity = report.capacity
        engine.reported_at = now

    def on_refused(self, backend: str, fence: int) -> None:
        """Note that an engine refused an order for its fencing number."""
        del backend, fence
        self.stale_fences += 1

    def remove(self, backend: str) -> None:
        """Forget a backend server that has left."""
        self._engines.pop(backend, None)

    def plan(self, lease: Lease, now: float) -> list[OrderEngine]:
        """Return the orders that are due; none without the lease."""
        orders = []
        loading = sum(len(e.get_pending()) for e in self._engines.values())
        capacity = self._sum_capacity(now)
        for backend, wanted in sorted(self._target.desired.items()):
            engine = self._engines.get(backend)
            if engine is None or not self._is_fresh(engine, now):
                continue
            kept = self._choose_kept(engine, frozenset(wanted), capacity)
            others = loading - len(engine.get_pending())
            added = self._choose_added(engine, wanted, others)
            loading = others + len((kept | added) - engine.loaded)
            order = self._make_order(backend, engine, kept | added, lease, now)
            if order is not None:
                orders.append(order)
        return orders

    def _is_fresh(self, engine: _Engine, now: float) -> bool:
        return now - engine.reported_at <= self._settings.report_lifetime_s

    def _sum_capacity(self, now: float) -> dict[str, int]:
        """Add up the serving capacity of each version, without versions ordered out."""
        capacity: dict[str, int] = {}
        for engine in self._engines.values():
            if not self._is_fresh(engine, now):
                continue
            staying = engine.loaded
            if engine.ordered is not None:
                staying = engine.loaded & engine.ordered[2]
            for version in staying:
                capacity[version] = capacity.get(version, 0) + engine.capacity
        return capacity

    def _choose_kept(
        self, engine: _Engine, wanted: Set[str], capacity: dict[str, int]
    ) -> frozenset[str]:
        """Keep versions that still serve; take the others out of the capacity."""
        kept = set((engine.loaded | engine.loading) & wanted)
        for version in sorted((engine.loaded | engine.loading) - wanted):
            # Unloading too early leaves callers without a place to run: at entries
            # that still send to the version, or on too few engines. Both are checked
            # before each order, against capacity that this plan has not yet used.
            if not self._may_unload(engine, version, capacity):
                kept.add(version)
        return frozenset(kept)

    def _may_unload(
        self, engine: _Engine, version: str, capacity: dict[str, int]
    ) -> bool:
        if version in self._target.withdrawn:
            return True
        if engine.ordered is not None and version not in engine.ordered[2]:
            return True
        left = capacity.get(version, 0) - engine.capacity
        if version not in engine.loaded:
            left = capacity.get(version, 0)
        if left < max(1, self._target.needed.get(version, 0)):
            return False
        capacity[version] = left
        return True

    def _choose_added(
        self, engine: _Engine, wanted: list[str], others: int
    ) -> frozenset[str]:
        """Choose versions to load within the bound on loads at once."""
        missing = [v for v in wanted if v not in engine.loaded | engine.loading]
        room = max(0, self._settings.max_loading - others - len(engine.loading))
        return frozenset(missing[:room])

    def _make_order(
        self,
        backend: str,
        engine: _Engine,
        desired: frozenset[str],
        lease: Lease,
        now: float,
    ) -> OrderEngine | None:
        if desired == engine.loaded | engine.loading:
            return None
        order = (lease.fence, self._target.generation, desired)
        waiting = now < engine.ordered_at + self._settings.repeat_s
        if engine.ordered == order and waiting:
            return None
        if not lease.may_order(now, self._settings.order_timeout_s):
            return None
        engine.ordered = order
        engine.ordered_at = now
        return OrderEngine(
            backend=backend,
            fence=lease.fence,
            generation=self._target.generation,
            desired=sorted(desired),
            timeout_s=self._settings.order_timeout_s,
        )
