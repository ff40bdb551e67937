"""Test the orders of a conductor against engines that lose and delay them."""

from __future__ import annotations

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from baobabthread.core.messages import LogRead, LogRecord, Stream
from baobabthread.core.rollouts.leases import Lease
from baobabthread.core.rollouts.orders import (
    EngineReport,
    OrderEngine,
    Orders,
    OrderSettings,
    Target,
)

ORDER_EXAMPLES = 150
BACKENDS = ("b1", "b2", "b3", "b4")


def make_lease(*, now: float = 0.0, held: bool = True) -> Lease:
    """Return a lease that is held from now for its whole length."""
    lease = Lease(holder="e1", service="s", random_source=random.Random(1))
    lease.on_log_read(LogRead(stream=Stream.ROLLOUTS, records=[], head=0), now - 5.0)
    if held:
        [claim] = lease.tick(now)
        record = LogRecord(offset=7, id=claim.id, body=claim.body)
        read = LogRead(stream=Stream.ROLLOUTS, records=[record], head=7)
        lease.on_log_read(read, now)
    return lease


class Engine:
    """Load one version at a time, as told by the last order."""

    def __init__(self, *loaded: str) -> None:
        self.loaded = set(loaded)
        self.loading: set[str] = set()

    def obey(self, order: OrderEngine) -> None:
        self.loaded &= set(order.desired)
        self.loading = set(order.desired) - self.loaded

    def work(self) -> None:
        self.loaded |= self.loading
        self.loading = set()

    def report(self, backend: str) -> EngineReport:
        return EngineReport(
            backend=backend, loaded=sorted(self.loaded), loading=sorted(self.loading)
        )


def make_orders(**engines: list[str]) -> Orders:
    orders = Orders()
    for backend, loaded in engines.items():
        orders.on_report(EngineReport(backend=backend, loaded=loaded), 0.0)
    return orders


def test_nothing_is_ordered_without_the_lease() -> None:
    orders = make_orders(b1=[])
    orders.set_target(Target(generation=1, desired={"b1": ["v1"]}))
    assert orders.plan(make_lease(held=False), 0.0) == []


def test_order_carries_fence_and_generation() -> None:
    orders = make_orders(b1=[])
    orders.set_target(Target(generation=3, desired={"b1": ["v1"]}))
    [order] = orders.plan(make_lease(), 0.0)
    assert (order.fence, order.generation, order.desired) == (7, 3, ["v1"])


def test_engine_that_is_as_wanted_gets_no_order() -> None:
    orders = make_orders(b1=["v1"])
    orders.set_target(Target(generation=1, desired={"b1": ["v1"]}))
    assert orders.plan(make_lease(), 0.0) == []


def test_order_that_was_lost_is_repeated_from_the_report() -> None:
    orders = make_orders(b1=[])
    orders.set_target(Target(generation=1, desired={"b1": ["v1"]}))
    [first] = orders.plan(make_lease(), 0.0)
    assert orders.plan(make_lease(), 1.0) == []
    assert orders.plan(make_lease(now=2.5), 2.5) == [first]


def test_engine_that_drifts_is_repaired() -> None:
    orders = make_orders(b1=["v1"])
    orders.set_target(Target(generation=1, desired={"b1": ["v1"]}))
    orders.on_report(EngineReport(backend="b1", loaded=[]), 5.0)
    [order] = orders.plan(make_lease(now=5.0), 5.0)
    assert order.desired == ["v1"]


def test_old_target_is_ignored() -> None:
    orders = make_orders(b1=[])
    orders.set_target(Target(generation=2, desired={"b1": ["v2"]}))
    orders.set_target(Target(generation=1, desired={"b1": ["v1"]}))
    [order] = orders.plan(make_lease(), 0.0)
    assert order.desired == ["v2"]


def test_loads_are_bounded_over_all_engines() -> None:
    orders = make_orders(b1=[], b2=[], b3=[], b4=[])
    target = {backend: ["v1"] for backend in BACKENDS}
    orders.set_target(Target(generation=1, desired=target))
    assert len(orders.plan(make_lease(), 0.0)) == OrderSettings().max_loading


def test_last_capacity_of_a_version_stays_until_it_is_withdrawn() -> None:
    orders = make_orders(b1=["v1"])
    orders.set_target(Target(generation=1, desired={"b1": ["v2"]}))
    [order] = orders.plan(make_lease(), 0.0)
    assert order.desired == ["v1", "v2"]


def test_withdrawn_version_is_unloaded_after_the_entries_withdrew_it() -> None:
    orders = make_orders(b1=["v1", "v2"])
    orders.set_target(Target(generation=1, desired={"b1": ["v2"]}, withdrawn=["v1"]))
    [order] = orders.plan(make_lease(), 0.0)
    assert order.desired == ["v2"]


@pytest.mark.parametrize("needed", [1, 2, 3])
def test_unloading_keeps_the_needed_capacity(needed: int) -> None:
    orders = make_orders(b1=["v1"], b2=["v1"], b3=["v1"], b4=["v1"])
    target = {backend: ["v2"] for backend in BACKENDS}
    orders.set_target(Target(generation=1, desired=target, needed={"v1": needed}))
    plan = orders.plan(make_lease(), 0.0)
    kept = sum("v1" in order.desired for order in plan)
    assert 4 - len(plan) + kept >= needed


@settings(max_examples=ORDER_EXAMPLES, derandomize=True, database=None, deadline=None)
@given(
    fates=st.lists(st.sampled_from(["obey", "obey", "lose", "delay"]), max_size=40),
    needed=st.integers(1, 3),
    restart_at=st.integers(0, 15),
)
def test_orders_converge_and_never_starve_a_version(
    fates: list[str], needed: int, restart_at: int
) -> None:
    """Move four engines from v1 to v2 while orders get lost and late."""
    engines = {backend: Engine("v1") for backend in BACKENDS}
    target = Target(
        generation=1,
        desired={backend: ["v2"] for backend in BACKENDS},
        needed={"v1": needed},
    )
    orders = Orders()
    orders.set_target(target)
    delayed: list[OrderEngine] = []
    left = list(fates)
    for step in range(60):
        now = step * 1.0
        if step == restart_at:
            orders, delayed = Orders(), []
            orders.set_target(target)
        if step == 40:
            done = Target(generation=2, desired=target.desired, withdrawn=["v1"])
            orders.set_target(done)
        for backend, engine in engines.items():
            orders.on_report(engine.report(backend), now)
        for order in delayed:
            engines[order.backend].obey(order)
        delayed = []
        for order in orders.plan(make_lease(now=now), now):
            fate = left.pop() if left else "obey"
            if fate == "obey":
                engines[order.backend].obey(order)
            if fate == "delay":
                delayed.append(order)
        loading = sum(len(engine.loading) for engine in engines.values())
        assert loading <= OrderSettings().max_loading
        serving = sum("v1" in engine.loaded for engine in engines.values())
        assert step >= 40 or serving >= needed
        if step % 2:
            for engine in engines.values():
                engine.work()
    assert all(engine.loaded == {"v2"} for engine in engines.values())
