"""Tests of what a version on trial may get from all instances, whatever each knows."""

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


def test_let_each_instance_spend_only_what_it_earned() -> None:
    budget = ExposureBudget()
    assert budget.try_reserve(0.1)
    assert not budget.try_reserve(0.1)
    for _ in range(100):
        budget.count_request()
    taken = sum(budget.try_reserve(0.1) for _ in range(100))
    assert taken + 1 <= math.ceil(0.1 * 100 + 0.1)
    assert budget.try_reserve(0.12)
    assert not budget.try_reserve(0.05)


def test_give_back_what_was_not_sent() -> None:
    budget = ExposureBudget()
    assert budget.try_reserve(0.1)
    budget.release()
    assert budget.try_reserve(0.1)
    budget.spend()
    assert not budget.try_reserve(0.1)
    assert budget.report() == Exposure(requests=0, exposed=1)


@pytest.mark.parametrize("share", [0.05, 0.0975, 0.15, 0.3])
@pytest.mark.parametrize("limit_s", [4.0, 8.0, 14.0, 24.0, 600.0])
def test_leave_enough_of_the_bound_for_the_end(share: float, limit_s: float) -> None:
    bounds = RoutingBounds(exposure_share=share)
    trial = find_canary_share(bounds, limit_s)
    assert 0.15 * share <= trial <= 0.6 * share


def test_let_little_more_than_the_usual_rate_go_there_at_the_end() -> None:
    """A burst comes in the second in which the new version takes over."""
    budget = ExposureBudget()
    budget.begin_final_phase(14.0)
    assert 14 <= sum(budget.try_reserve(0.1) for _ in range(100)) <= 24


@pytest.mark.parametrize("servers", [1, 2, 3, 5, 9, 45, 63])
def test_load_the_few_servers_on_trial_as_all_would_be(servers: int) -> None:
    """A version that fails under load passes a trial that never loads a server."""
    bursts = Bursts(canary_share=0.06, servers=servers)
    full = 1.0 / servers
    each = bursts.share / bursts.burst_servers
    assert each >= min(full, 0.5)
    on = sum(bursts.is_active(number / 100) for number in range(6000)) / 6000
    assert on * bursts.share == pytest.approx(0.06, rel=0.1)


def test_measure_the_present_rate() -> None:
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


def test_know_what_others_have_added_up() -> None:
    """One that began to lead in the end ended it by sums that lacked half of all."""
    totals = ExposureTotals(bounds=BOUNDS)
    known = Exposure(requests=3000, exposed=460, attempts=4000)
    totals.record([Exposure(requests=1600, exposed=170, attempts=2100)], 10.0)
    assert totals.may_promote(elapsed_s=14.0, left_s=0.2)
    totals.record([Exposure(requests=1600, exposed=170)], 10.1, known=known)
    assert totals.total == known
    assert not totals.may_promote(elapsed_s=14.0, left_s=0.2)


def test_take_over_only_what_the_sum_bears() -> None:
    totals = make_totals(requests=1000, exposed=50)
    assert totals.per_s(14.0) == pytest.approx(1000 / 14)
    assert totals.may_promote(elapsed_s=14.0, left_s=1.0)
    assert not totals.may_promote(elapsed_s=14.0, left_s=2.0)
    over = make_totals(requests=1000, exposed=200)
    assert not over.may_promote(elapsed_s=14.0, left_s=0.1)
    assert not totals.may_promote(elapsed_s=14.0, left_s=0.0)


def test_count_attempts_for_the_end_where_requests_are_asked_again() -> None:
    """A third of the requests is asked again of a larger model, also at the end."""
    totals = make_totals(requests=1000, exposed=50)
    assert totals.may_promote(elapsed_s=14.0, left_s=1.1)
    twice = ExposureTotals(bounds=BOUNDS)
    twice.record([Exposure(requests=1000, exposed=50, attempts=1500)], 10.0)
    assert not twice.may_promote(elapsed_s=14.0, left_s=1.1)


def test_let_sessions_in_while_the_end_still_fits() -> None:
    def admits(exposed: int, left_s: float = 7.0) -> bool:
        totals = make_totals(requests=1000, exposed=exposed)
        return totals.may_admit(elapsed_s=14.0, left_s=left_s, canary_share=0.09)

    assert admits(90)
    assert not admits(110)
    # With less time ahead, less is earned before the end.
    assert not admits(90, left_s=0.0)


def test_let_nobody_in_before_a_whole_attempt_is_earned() -> None:
    totals = make_totals(requests=10, exposed=0)
    assert not totals.may_admit(elapsed_s=1.0, left_s=23.0, canary_share=0.06)
    totals = make_totals(requests=15, exposed=0)
    assert totals.may_admit(elapsed_s=1.0, left_s=23.0, canary_share=0.06)


def test_notice_sessions_that_take_too_much() -> None:
    """A session on trial turns hot: it gets a large part of all requests."""
    calm = make_totals(requests=1000, exposed=90)
    assert not calm.is_overdrawn(elapsed_s=14.0, left_s=10.0)
    hot = make_totals(requests=1000, exposed=240)
    assert hot.is_overdrawn(elapsed_s=14.0, left_s=10.0)


def test_end_nothing_while_a_burst_has_just_begun() -> None:
    """Callers press beyond the usual in the last second of a roll-out.

    With the old version stopped all of them would meet the new one.
    """
    calm = make_totals(requests=1000, exposed=80, rate=70.0)
    pressed = make_totals(requests=1000, exposed=80, rate=300.0)
    assert calm.may_complete(elapsed_s=14.0, left_s=0.5)
    assert not pressed.may_complete(elapsed_s=14.0, left_s=0.5)
    assert pressed.may_complete(elapsed_s=14.0, left_s=0.15)


@given(
    lives=st.lists(
        st.lists(st.sampled_from(SHARES), max_size=60),
        min_size=1,
        max_size=28,
    )
)
def test_keep_the_sum_over_instances_that_know_nothing_of_each_other(
    lives: list[list[float]],
) -> None:
    """Seven instances start four times each and send all they may to a bad version."""
    requests = exposed = 0
    for life in lives:
        budget = ExposureBudget()
        for part in life:
            if budget.try_reserve(part):
                budget.spend()
            budget.count_request()
        report = budget.report()
        requests += report.requests
        exposed += report.exposed
    assert exposed <= BOUNDS.exposure_share * requests + BOUNDS.exposure_extra


class MemberView(msgspec.Struct):
    """Hold what one instance knows and lives through."""

    plan: VersionPlan
    sessions: list[str] = []
    deaf_from: float = 1e9
    """From here to `deaf_until` it hears nobody and nobody hears it."""
    deaf_until: float = 1e9
    frozen_from: float = 1e9
    frozen_until: float = 1e9
    starts: list[float] = []
    """When it starts anew."""

    def hears(self, now: float) -> bool:
        return not self.deaf_from <= now < self.deaf_until

    def is_frozen(self, now: float) -> bool:
        return self.frozen_from <= now < self.frozen_until


class RolloutSimulation:
    """Play one roll-out of requests without sessions among differing instances.

    Sessions are decided on by messages: see `tests/bench/test_rollouts.py`.
    """

    def __init__(self, *, count: int, limit_s: float, rate: float, seed: int) -> None:
        self.rng = random.Random(seed)
        self.limit_s = limit_s
        self.rate = rate
        self.order = RolloutOrder(
            number=1, service="s", target="v2", time_limit_s=limit_s
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
        trouble = rng.choice(("none", "deaf", "alone", "frozen", "restarts"))
        if trouble == "deaf":
            view.deaf_from = rng.uniform(0.0, limit)
            view.deaf_until = view.deaf_from + rng.uniform(1.0, 8.0)
        elif trouble == "alone":
            view.deaf_from = 0.0
        elif trouble == "frozen":
            view.frozen_from = rng.uniform(0.0, limit)
            view.frozen_until = view.frozen_from + rng.uniform(1.0, 6.0)
        elif trouble == "restarts":
            first = rng.uniform(0.0, limit)
            view.starts = [first, first + 2.5, first + 5.0]
        return view

    def _make_plan(
        self, learnt_at: float, elapsed_s: float | None = None
    ) -> VersionPlan:
        plan = VersionPlan(service="s", bounds=BOUNDS)
        plan.apply_order(self.order, learnt_at, served_before_order=elapsed_s is None)
        if elapsed_s is not None:
            status = RolloutStatus(
                service="s",
                target="v2",
                state=self.state,
                number=1,
                elapsed_s=elapsed_s,
            )
            plan.apply_status(status, learnt_at)
        return plan

    def play(self) -> None:
        now = 0.0
        while now + STEP_S < self.limit_s:
            now += STEP_S
            for index, view in enumerate(self.views):
                self._live(index, view, now)
            self._lead(now)

    def _live(self, index: int, view: MemberView, now: float) -> None:
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
        if view.hears(now):
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
        hearing = [v for v in self.views if v.hears(now) and not v.is_frozen(now)]
        if not hearing:
            return
        leader = hearing[0].plan
        self.totals.record(self.counted.values(), now)
        for _ in range(2):
            leader.analysis.observe_response(
                is_canary=True, call="c", kind="c", failed=False, latency_s=None
            )
        if may_begin_final_phase(leader, self.totals, now):
            leader.begin_final_phase(now)
        if leader.is_running:
            self.state = evaluate_rollout(leader, [], 0, now, totals=self.totals)
        for view in hearing:
            view.plan.permit(requested_at=now)
            progress = leader.progress(now)
            if progress is not None:
                view.plan.apply_verdict(progress, now)
            if self.state is not RolloutState.RUNNING:
                status = RolloutStatus(
                    service="s", target="v2", state=self.state, number=1
                )
                view.plan.apply_status(status, now)


@pytest.mark.parametrize("limit_s", [8.0, 14.0, 24.0])
@pytest.mark.parametrize("count", [1, 6, 59, 195])
def test_keep_a_bad_version_within_its_part_under_any_views(
    count: int, limit_s: float
) -> None:
    """Nobody finds the version bad, and some don't hear the others.

    They are cut off, alone from the start, frozen, or started three times, with a burst
    at any moment. What it gets until the time limit stays within the bound.
    """
    for seed in range(12):
        rollout = RolloutSimulation(
            count=count, limit_s=limit_s, rate=120.0 / count, seed=seed
        )
        rollout.play()
        allowed = BOUNDS.exposure_share * rollout.requests + BOUNDS.exposure_extra
        assert rollout.exposed <= allowed, f"seed {seed}"
