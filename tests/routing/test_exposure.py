"""Tests of the exposure budget of a canary version over all instances."""

from __future__ import annotations

import math
import random

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from baobabthread.routing.bounds import RoutingBounds
from baobabthread.routing.configuration import (
    RolloutOrder,
    RolloutState,
    RolloutStatus,
)
from baobabthread.routing.evaluation import evaluate_rollout, may_begin_final_phase
from baobabthread.routing.exposure import (
    Bursts,
    Exposure,
    ExposureBudget,
    ExposureTotals,
    Rate,
    find_canary_share,
)
from baobabthread.routing.versions import VersionPlan

BOUNDS = RoutingBounds(exposure_share=0.15, exposure_extra=30.0)
STEP_S = 0.1
SERVERS = 5
SHARES = (0.02, 0.05, 0.85 * BOUNDS.exposure_share)


def test_each_instance_spends_only_what_its_requests_earn() -> None:
    budget = ExposureBudget()
    assert budget.try_reserve(0.1)
    assert not budget.try_reserve(0.1)
    for _ in range(100):
        budget.count_request()
    reserved = sum(budget.try_reserve(0.1) for _ in range(100))
    assert reserved + 1 <= math.ceil(0.1 * 100 + 0.1)
    assert budget.try_reserve(0.12)
    assert not budget.try_reserve(0.05)


def test_release_of_an_attempt_that_was_not_sent() -> None:
    budget = ExposureBudget()
    assert budget.try_reserve(0.1)
    budget.release()
    assert budget.try_reserve(0.1)
    budget.spend()
    assert not budget.try_reserve(0.1)
    assert budget.report() == Exposure(requests=0, exposed=1)


@pytest.mark.parametrize("share", [0.05, 0.0975, 0.15, 0.3])
@pytest.mark.parametrize("limit_s", [4.0, 8.0, 14.0, 24.0, 600.0])
def test_canary_share_leaves_budget_for_the_final_phase(
    share: float, limit_s: float
) -> None:
    bounds = RoutingBounds(exposure_share=share)
    canary_share = find_canary_share(bounds, limit_s)
    assert 0.15 * share <= canary_share <= 0.6 * share


def test_final_phase_admits_little_more_than_the_usual_rate() -> None:
    """A burst comes in the second in which the new version is promoted."""
    budget = ExposureBudget()
    budget.begin_final_phase(14.0)
    assert 14 <= sum(budget.try_reserve(0.1) for _ in range(100)) <= 24


@pytest.mark.parametrize("servers", [1, 2, 3, 5, 9, 45, 63])
def test_bursts_load_the_canary_servers_as_all_traffic_would(servers: int) -> None:
    """A version that fails under load passes as a canary that never loads a server."""
    bursts = Bursts(canary_share=0.06, servers=servers)
    full = 1.0 / servers
    each = bursts.share / bursts.burst_servers
    assert each >= min(full, 0.5)
    on = sum(bursts.is_active(number / 100) for number in range(6000)) / 6000
    assert on * bursts.share == pytest.approx(0.06, rel=0.1)


def test_rate_follows_the_current_window() -> None:
    rate = Rate()
    assert rate.per_s() == 0.0
    for second in range(20):
        rate.record(100 * second if second < 10 else 1000, float(second))
    assert rate.per_s() < 10.0


def make_totals(*, requests: int, exposed: int, rate: float = 0.0) -> ExposureTotals:
    totals = ExposureTotals(bounds=BOUNDS)
    totals.record([Exposure(requests=requests - int(rate), exposed=exposed)], 9.0)
    totals.record([Exposure(requests=requests, exposed=exposed)], 10.0)
    return totals


def test_totals_include_those_known_to_other_instances() -> None:
    """A new leader lacks the reports of half of the requests in the final phase.

    By its own totals alone, it would promote a version whose budget is used up.
    """
    totals = ExposureTotals(bounds=BOUNDS)
    known = Exposure(requests=3000, exposed=460, attempts=4000)
    totals.record([Exposure(requests=1600, exposed=170, attempts=2100)], 10.0)
    assert totals.may_promote(elapsed_s=14.0, left_s=0.2)
    totals.record([Exposure(requests=1600, exposed=170)], 10.1, known=known)
    assert totals.total == known
    assert not totals.may_promote(elapsed_s=14.0, left_s=0.2)


def test_promotion_requires_remaining_budget() -> None:
    totals = make_totals(requests=1000, exposed=50)
    assert totals.per_s(14.0) == pytest.approx(1000 / 14)
    assert totals.may_promote(elapsed_s=14.0, left_s=1.0)
    assert not totals.may_promote(elapsed_s=14.0, left_s=2.0)
    over = make_totals(requests=1000, exposed=200)
    assert not over.may_promote(elapsed_s=14.0, left_s=0.1)
    assert not totals.may_promote(elapsed_s=14.0, left_s=0.0)


def test_promotion_accounts_for_repeated_attempts() -> None:
    """A third of the requests is sent to a larger model again, also at the end."""
    totals = make_totals(requests=1000, exposed=50)
    assert totals.may_promote(elapsed_s=14.0, left_s=1.1)
    retried = ExposureTotals(bounds=BOUNDS)
    retried.record([Exposure(requests=1000, exposed=50, attempts=1500)], 10.0)
    assert not retried.may_promote(elapsed_s=14.0, left_s=1.1)


def test_admit_sessions_while_the_final_phase_fits() -> None:
    def admits(exposed: int, left_s: float = 7.0) -> bool:
        totals = make_totals(requests=1000, exposed=exposed)
        return totals.may_admit(elapsed_s=14.0, left_s=left_s, canary_share=0.09)

    assert admits(90)
    assert not admits(110)
    # With less time left, less budget is earned before the final phase.
    assert not admits(90, left_s=0.0)


def test_no_admission_before_a_whole_attempt_is_earned() -> None:
    totals = make_totals(requests=10, exposed=0)
    assert not totals.may_admit(elapsed_s=1.0, left_s=23.0, canary_share=0.06)
    totals = make_totals(requests=15, exposed=0)
    assert totals.may_admit(elapsed_s=1.0, left_s=23.0, canary_share=0.06)


def test_hot_session_overdraws_the_budget() -> None:
    """A canary session becomes hot and sends a large share of all requests."""
    calm = make_totals(requests=1000, exposed=90)
    assert not calm.is_overdrawn(elapsed_s=14.0, left_s=10.0)
    hot = make_totals(requests=1000, exposed=240)
    assert hot.is_overdrawn(elapsed_s=14.0, left_s=10.0)


def test_no_completion_while_a_burst_begins() -> None:
    """The load rises above its usual level in the last second of a roll-out.

    With the old version stopped, all of it would reach the new one.
    """
    calm = make_totals(requests=1000, exposed=80, rate=70.0)
    loaded = make_totals(requests=1000, exposed=80, rate=300.0)
    assert calm.may_complete(elapsed_s=14.0, left_s=0.5)
    assert not loaded.may_complete(elapsed_s=14.0, left_s=0.5)
    assert loaded.may_complete(elapsed_s=14.0, left_s=0.15)


@given(
    share_lists=st.lists(
        st.lists(st.sampled_from(SHARES), max_size=60),
        min_size=1,
        max_size=28,
    )
)
def test_bound_holds_for_instances_that_know_nothing_of_each_other(
    share_lists: list[list[float]],
) -> None:
    """Seven instances start four times each and spend all they may on a bad version."""
    requests = exposed = 0
    for shares in share_lists:
        budget = ExposureBudget()
        for share in shares:
            if budget.try_reserve(share):
                budget.spend()
            budget.count_request()
        report = budget.report()
        requests += report.requests
        exposed += report.exposed
    assert exposed <= BOUNDS.exposure_share * requests + BOUNDS.exposure_extra


class MemberView(msgspec.Struct):
    """State of one simulated instance and the faults that it meets."""

    plan: VersionPlan
    sessions: list[str] = []
    partitioned_from: float = 1e9
    """It is partitioned from all others from here to `partitioned_until`."""
    partitioned_until: float = 1e9
    frozen_from: float = 1e9
    frozen_until: float = 1e9
    starts: list[float] = []
    """Times at which it restarts."""

    def is_connected(self, now: float) -> bool:
        return not self.partitioned_from <= now < self.partitioned_until

    def is_frozen(self, now: float) -> bool:
        return self.frozen_from <= now < self.frozen_until


class RolloutSimulation:
    """Simulates a roll-out for requests without sessions, under faults of instances.

    Sessions are decided by messages: see `tests/bench/test_rollouts.py`.
    """

    def __init__(self, *, count: int, limit_s: float, rate: float, seed: int) -> None:
        self.rng = random.Random(seed)
        self.limit_s = limit_s
        self.rate = rate
        self.order = RolloutOrder(
            offset=1, service="s", target="v2", time_limit_s=limit_s
        )
        self.requests = 0
        self.exposed = 0
        self.counted: dict[int, Exposure] = {}
        self.totals = ExposureTotals(bounds=BOUNDS)
        self.state = RolloutState.RUNNING
        self.burst_at = self.rng.uniform(0.0, limit_s)
        self.views = [self._make_view() for _ in range(count)]

    def _make_view(self) -> MemberView:
        rng, limit = self.rng, self.limit_s
        view = MemberView(plan=self._make_plan(rng.choice((0.05, 0.3, 1.5))))
        fault = rng.choice(("none", "partitioned", "isolated", "frozen", "restarts"))
        if fault == "partitioned":
            view.partitioned_from = rng.uniform(0.0, limit)
            view.partitioned_until = view.partitioned_from + rng.uniform(1.0, 8.0)
        elif fault == "isolated":
            view.partitioned_from = 0.0
        elif fault == "frozen":
            view.frozen_from = rng.uniform(0.0, limit)
            view.frozen_until = view.frozen_from + rng.uniform(1.0, 6.0)
        elif fault == "restarts":
            first = rng.uniform(0.0, limit)
            view.starts = [first, first + 2.5, first + 5.0]
        return view

    def _make_plan(
        self, applied_at: float, elapsed_s: float | None = None
    ) -> VersionPlan:
        plan = VersionPlan(service="s", bounds=BOUNDS)
        plan.apply_order(self.order, applied_at, served_before_order=elapsed_s is None)
        if elapsed_s is not None:
            status = RolloutStatus(
                service="s",
                target="v2",
                state=self.state,
                offset=1,
                elapsed_s=elapsed_s,
            )
            plan.apply_status(status, applied_at)
        return plan

    def run(self) -> None:
        now = 0.0
        while now + STEP_S < self.limit_s:
            now += STEP_S
            for index, view in enumerate(self.views):
                self._step(index, view, now)
            self._lead(now)

    def _step(self, index: int, view: MemberView, now: float) -> None:
        if view.starts and now >= view.starts[0]:
            view.starts.pop(0)
            view.plan = self._make_plan(now, elapsed_s=now)
        if view.is_frozen(now):
            return
        plan = view.plan
        plan.update_target(usable=True, now=now, servers=SERVERS)
        woke = view.frozen_until <= now < view.frozen_until + STEP_S
        rate = self.rate * (2.5 if 0.0 <= now - self.burst_at < 3.0 else 1.0)
        count = rate * (view.frozen_until - view.frozen_from if woke else STEP_S)
        for _ in range(int(count + self.rng.random())):
            self._send(view, now)
        plan.rate.record(plan.exposure.report().requests, now)
        if view.is_connected(now):
            self.counted[id(plan)] = plan.exposure.report()

    def _send(self, view: MemberView, now: float) -> None:
        plan = view.plan
        if view.sessions and self.rng.random() < 0.5:
            session = self.rng.choice(view.sessions[-10:])
        else:
            session = str(self.rng.random())
            view.sessions.append(session)
        self.requests += 1
        if plan.choose_without_session(session, now) and plan.try_expose(None, now):
            plan.exposure.spend()
            self.exposed += 1
        if plan.state is RolloutState.RUNNING:
            plan.exposure.count_request()

    def _lead(self, now: float) -> None:
        connected = [
            v for v in self.views if v.is_connected(now) and not v.is_frozen(now)
        ]
        if not connected:
            return
        leader = connected[0].plan
        self.totals.record(self.counted.values(), now)
        for _ in range(2):
            leader.analysis.observe_response(
                is_canary=True, call="c", kind="c", failed=False, latency_s=None
            )
        if may_begin_final_phase(leader, self.totals, now):
            leader.begin_final_phase(now)
        if leader.is_running:
            self.state = evaluate_rollout(leader, [], 0, now, totals=self.totals)
        for view in connected:
            view.plan.permit(requested_at=now)
            progress = leader.progress(now)
            if progress is not None:
                view.plan.apply_verdict(progress, now)
            if self.state is not RolloutState.RUNNING:
                status = RolloutStatus(
                    service="s", target="v2", state=self.state, offset=1
                )
                view.plan.apply_status(status, now)


@pytest.mark.parametrize("limit_s", [8.0, 14.0, 24.0])
@pytest.mark.parametrize("count", [1, 6, 59, 195])
def test_exposure_of_a_bad_version_stays_within_the_bound(
    count: int, limit_s: float
) -> None:
    """The version is not found bad, and some instances are partitioned or fail.

    They are partitioned for a while or from the start, frozen, or restarted three
    times, with a burst at a random time.
    """
    for seed in range(12):
        rollout = RolloutSimulation(
            count=count, limit_s=limit_s, rate=120.0 / count, seed=seed
        )
        rollout.run()
        allowed = BOUNDS.exposure_share * rollout.requests + BOUNDS.exposure_extra
        assert rollout.exposed <= allowed, f"seed {seed}"
