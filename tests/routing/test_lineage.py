"""Tests of the version in force after orders whose outcome was missed."""

from __future__ import annotations

import random

import pytest

from baobabthread.routing.configuration import RolloutOrder, RolloutState, RolloutStatus
from baobabthread.routing.versions import VersionPlan
from tests.routing.rollouts import BOUNDS, LIMIT_S

SUCCEEDED, REVERTED = RolloutState.SUCCEEDED, RolloutState.REVERTED
INSTANCES = 4
STEPS = 40


def make_order(offset: int, target: str) -> RolloutOrder:
    return RolloutOrder(offset=offset, service="s", target=target, time_limit_s=LIMIT_S)


def make_plan(*orders: RolloutOrder) -> VersionPlan:
    """Return a plan at an instance that read `orders`, and nothing of their ends."""
    plan = VersionPlan(service="s", bounds=BOUNDS)
    plan.update_versions({"v1": 4})
    for order in orders:
        plan.apply_order(order, float(order.offset))
    return plan


def make_status(plan: VersionPlan, state: RolloutState) -> RolloutStatus:
    """Return the status of a plan's order as a leader writes it."""
    assert plan.order is not None
    return RolloutStatus(
        service="s",
        target=plan.order.target,
        state=state,
        offset=plan.order.offset,
        base=plan.lineage.base,
        base_order=plan.lineage.settled,
    )


ORDERS = (make_order(1, "v2"), make_order(2, "v3"), make_order(3, "v4"))


def test_know_the_version_in_force_after_two_orders_of_unknown_outcome() -> None:
    """An instance was cut off while v2 succeeded and v3 was rolled back.

    It took v3, which has more servers, for the version in force.
    """
    plan = make_plan(*ORDERS)
    assert plan.lineage.find_base({"v2": 4, "v3": 6, "v4": 4}) == "v2"
    leader = make_plan(ORDERS[0])
    leader.apply_status(make_status(leader, SUCCEEDED), 2.0)
    leader.apply_order(ORDERS[1], 2.0)
    plan.apply_status(make_status(leader, REVERTED), 5.0)
    assert plan.lineage.find_base({"v1": 4, "v2": 4, "v3": 6, "v4": 4}) == "v2"
    assert not plan.lineage.is_unknown


def test_learn_of_orders_before_the_start_from_the_status_of_the_newest() -> None:
    """An instance starts under an order while a rolled-back version is still listed."""
    leader = make_plan(ORDERS[0])
    leader.apply_status(make_status(leader, REVERTED), 2.0)
    leader.apply_order(ORDERS[1], 2.0)
    plan = VersionPlan(service="s", bounds=BOUNDS)
    plan.apply_order(ORDERS[1], 3.0, served_before_order=False)
    plan.apply_status(make_status(leader, RolloutState.RUNNING), 3.0)
    assert plan.lineage.find_base({"v1": 2, "v2": 9, "v3": 4}) == "v1"


@pytest.mark.parametrize(("state", "base"), [(SUCCEEDED, "v2"), (REVERTED, "v1")])
def test_learn_of_an_order_that_was_never_read(state: RolloutState, base: str) -> None:
    """The next order replaced the record before an instance could read it."""
    leader = make_plan(ORDERS[0])
    plan = make_plan(ORDERS[1])
    plan.apply_status(make_status(leader, state), 3.0)
    assert plan.lineage.find_base({"v1": 4, "v2": 4, "v3": 4}) == base


def test_ignore_what_a_restored_store_says_of_an_order_that_has_ended() -> None:
    plan = make_plan(ORDERS[0])
    outdated = make_status(plan, REVERTED)
    plan.apply_status(make_status(plan, SUCCEEDED), 2.0)
    plan.apply_order(ORDERS[1], 3.0)
    plan.apply_status(outdated, 4.0)
    assert plan.lineage.find_base({"v1": 4, "v2": 4, "v3": 4}) == "v2"


class History:
    """Drawn orders and ends at several instances that miss messages and restart."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.plans = [make_plan() for _ in range(INSTANCES)]
        self.order: RolloutOrder | None = None
        self.status: RolloutStatus | None = None
        self.in_force = "v1"
        self.listed = {"v1": 4}

    def draw_step(self) -> None:
        """Play one drawn step."""
        steps = (self.write_order, self.deliver, self.end, self.restart, self.begin)
        self.rng.choice(steps)()

    def write_order(self) -> None:
        """Order another version, whether or not the last order has ended."""
        offset = self.order.offset + 1 if self.order is not None else 1
        target = f"v{offset + 1}"
        self.order = make_order(offset, target)
        self.listed[target] = self.rng.randint(1, 9)
        self.deliver()

    def deliver(self) -> None:
        """Let some instances read the newest order."""
        for plan in self.plans:
            if self.order is not None and self.rng.random() < 0.5:
                plan.apply_order(self.order, 0.0)

    def begin(self) -> None:
        """Let a leader write that the newest order runs."""
        self._write(RolloutState.RUNNING)

    def end(self) -> None:
        """End the newest order, and tell some instances."""
        leader = self._write(self.rng.choice((SUCCEEDED, REVERTED)))
        if leader is None or self.status is None:
            return
        if self.status.has_succeeded:
            del self.listed[self.in_force]
            self.in_force = self.status.target
        for plan in self.plans:
            if self.rng.random() < 0.3:
                plan.apply_status(self.status, 0.0)

    def _write(self, state: RolloutState) -> VersionPlan | None:
        leader = self.rng.choice(self.plans)
        if self.order is None or leader.order != self.order:
            return None
        self.read(leader)
        if not leader.is_running:
            return None
        self.status = make_status(leader, state)
        return leader

    def read(self, plan: VersionPlan) -> None:
        """Let an instance read the store, and hear from the others."""
        if self.order is not None:
            plan.apply_order(self.order, 0.0)
        if self.status is not None:
            plan.apply_status(self.status, 0.0)
        for peer in self.plans:
            if (progress := peer.progress(0.0)) is not None:
                plan.apply_progress(progress, 0.0)

    def restart(self) -> None:
        """Replace an instance by one that only reads the store."""
        index = self.rng.randrange(INSTANCES)
        self.plans[index] = VersionPlan(service="s", bounds=BOUNDS)
        self.plans[index].update_versions(self.listed)
        self.read(self.plans[index])

    @property
    def is_known(self) -> bool:
        """Whether anybody still knows what was in force before the newest order."""
        return any(plan.lineage.base is not None for plan in self.plans)


@pytest.mark.parametrize("seed", range(300))
def test_agree_on_the_version_in_force_whatever_was_missed(seed: int) -> None:
    """Instances that reach the store know the version in force."""
    history = History(seed)
    for _ in range(STEPS):
        history.draw_step()
        plan = history.rng.choice(history.plans)
        history.read(plan)
        if history.is_known and plan.order and plan.state is not SUCCEEDED:
            assert plan.lineage.find_base(history.listed) == history.in_force
