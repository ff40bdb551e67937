"""Tests that retries stay within the common bound without coordination."""

from __future__ import annotations

import bisect
import random

import msgspec
import pytest

from baobabthread.routing.bounds import RoutingBounds
from baobabthread.routing.budget import (
    BACKLOG_S,
    STALL_S,
    ArrivalEstimator,
    MemberCount,
    RetryBudget,
)

BOUNDS = RoutingBounds(retry_ratio=0.9, retry_extra=52, retry_window_s=10.0)
MANY = RoutingBounds(retry_ratio=0.9, retry_extra=430, retry_window_s=10.0)
"""Bounds of a deployment of two hundred instances."""
RUN_S = 40.0


def make_budget(
    bounds: RoutingBounds, *, known: int = 1, started_at: float = -100.0
) -> RetryBudget:
    """Return the budget of an instance that has seen `known` members."""
    members = MemberCount(
        is_single=False, settled_at=started_at + bounds.retry_window_s
    )
    members.record(known)
    return RetryBudget(bounds=bounds, members=members)


def spend(budget: RetryBudget, now: float) -> bool:
    """Charge a retry that arrives at once; return whether one was left."""
    charge = budget.try_spend(now)
    if charge is not None:
        charge.settle(now)
    return charge is not None


class Outcome(msgspec.Struct):
    """Times of requests and of retries, each in order."""

    requests: list[float]
    retries: list[float]


class Traffic(msgspec.Struct, frozen=True):
    """Course of the request rate over a run."""

    name: str
    rates: tuple[float, ...]
    """Requests per second of an instance, in steps of two seconds, repeated."""


TRAFFIC = (
    Traffic("steady", (2.0,)),
    Traffic("bursts", (2.0, 2.0, 2.0, 9.0)),
    Traffic("idle, then a burst", (0.0, 0.0, 0.0, 0.0, 0.0, 12.0)),
    Traffic("a burst, then idle", (12.0, 12.0, 12.0, 0.0, 0.0, 0.0, 0.0, 0.0)),
)


def simulate(traffic: Traffic, *, instances: int, rng: random.Random) -> Outcome:
    """Simulate instances that use their whole budget at random times."""
    outcome = Outcome(requests=[], retries=[])
    for _ in range(instances):
        _simulate_instance(traffic, instances=instances, rng=rng, outcome=outcome)
    outcome.requests.sort()
    outcome.retries.sort()
    return outcome


def _simulate_instance(
    traffic: Traffic, *, instances: int, rng: random.Random, outcome: Outcome
) -> None:
    budget = make_budget(BOUNDS, known=instances)
    restarts_at = rng.choice((RUN_S, rng.uniform(0.0, RUN_S)))
    phase_until = 0.0
    is_retrying = False
    now = 0.0
    while now < RUN_S:
        rate = traffic.rates[int(now / 2.0) % len(traffic.rates)]
        now += rng.expovariate(max(rate, 0.5))
        if now >= restarts_at:
            budget = make_budget(BOUNDS, known=instances, started_at=now)
            restarts_at = RUN_S
        if now >= phase_until:
            phase_until = now + rng.uniform(0.5, 6.0)
            is_retrying = rng.random() < 0.6
        if rate:
            budget.record_request(now)
            outcome.requests.append(now)
        while is_retrying and spend(budget, now):
            outcome.retries.append(now)


def find_excess(outcome: Outcome, bounds: RoutingBounds = BOUNDS) -> float:
    """Return by how much some window exceeds the bound; negative if none does.

    The bound counts the requests of the window, of the one before it or of the one half
    a window before it, whichever has most.
    """
    length = BOUNDS.retry_window_s

    def count(times: list[float], begin: float) -> int:
        end = begin + length
        return bisect.bisect_left(times, end) - bisect.bisect_left(times, begin)

    worst = -1e9
    for begin in outcome.retries:
        begins = (begin, begin - length, begin - length / 2)
        requests = max(count(outcome.requests, at) for at in begins)
        allowed = bounds.retry_ratio * requests + bounds.retry_extra
        worst = max(worst, count(outcome.retries, begin) - allowed)
    return worst


class Scenario(msgspec.Struct, frozen=True, kw_only=True):
    """What an instance sees of the membership, and its restarts and stalls."""

    name: str
    known: int = 1
    """Maximum number of members it saw, including itself; -n for one n-th of all."""
    starts: tuple[float, ...] = ()
    """Times of its restarts, in seconds after a time common to all instances."""
    stall_s: float = 0.0
    """Length of its stall from that time on, during which its requests wait."""


SCENARIOS = (
    Scenario(name="isolated since its start"),
    Scenario(name="partitioned with half of them since its start", known=-2),
    Scenario(name="partitioned later", known=-1),
    Scenario(name="just started", known=-1, starts=(0.0,)),
    Scenario(name="started three times in a window", known=-1, starts=(0.0, 3.0, 6.0)),
    Scenario(name="stalled", known=-1, stall_s=6.0),
)
TICK_S = 0.1
DEMAND_S = 3.0
"""Time within which a request needs its retries."""


def simulate_scenarios(
    scenarios: list[Scenario], *, rate: float, bounds: RoutingBounds, rng: random.Random
) -> Outcome:
    """Simulate instances at which all attempts fail and requests need two retries."""
    outcome = Outcome(requests=[], retries=[])
    event_at = rng.uniform(5.0, 25.0)
    for scenario in scenarios:
        if scenario.known < 0:
            known = max(1, len(scenarios) // -scenario.known)
            scenario = msgspec.structs.replace(scenario, known=known)
        _simulate_scenario(scenario, event_at, rate, bounds, rng, outcome)
    outcome.requests.sort()
    outcome.retries.sort()
    return outcome


def _simulate_scenario(
    scenario: Scenario,
    event_at: float,
    rate: float,
    bounds: RoutingBounds,
    rng: random.Random,
    outcome: Outcome,
) -> None:
    budget = make_budget(bounds, known=scenario.known)
    arrivals = ArrivalEstimator()
    starts = [event_at + after for after in scenario.starts]
    ticked_at = 0.0
    retries_due: list[float] = []
    sent = 0.0
    while sent < RUN_S:
        sent += rng.expovariate(rate)
        read = sent
        if event_at <= sent < event_at + scenario.stall_s:
            read = event_at + scenario.stall_s
        while ticked_at < read:
            ticked_at += TICK_S
            if not event_at <= ticked_at < event_at + scenario.stall_s:
                arrivals.tick(min(ticked_at, read))
        if starts and sent >= starts[0]:
            starts.pop(0)
            retries_due.clear()
            budget = make_budget(bounds, known=scenario.known, started_at=sent)
        outcome.requests.append(sent)
        budget.record_request(arrivals.estimate_arrival(read))
        retries_due.extend(read + rng.uniform(0.0, DEMAND_S) for _ in range(2))
        retries_due.sort()
        while retries_due and retries_due[0] <= read:
            due = retries_due.pop(0)
            if spend(budget, max(due, read)):
                outcome.retries.append(max(due, read))


@pytest.mark.parametrize("count", [1, 7, 59, 195])
@pytest.mark.parametrize("scenario", SCENARIOS, ids=lambda scenario: scenario.name)
def test_common_budget_holds_whatever_members_instances_see(
    scenario: Scenario, count: int
) -> None:
    """Instances restart up to three times, or stall, while all attempts fail.

    An instance that is partitioned or has just started sees no others. If it divided
    the fixed allowance by the members that it sees, it would take all of it.
    """
    bounds = msgspec.structs.replace(BOUNDS, retry_extra=45.0 + 2.0 * count)
    for seed in range(5):
        rng = random.Random(seed)
        mixed = [rng.choice((scenario, *SCENARIOS)) for _ in range(count)]
        for scenarios in ([scenario] * count, mixed):
            outcome = simulate_scenarios(
                scenarios, rate=80.0 / count, bounds=bounds, rng=rng
            )
            assert outcome.retries
            assert find_excess(outcome, bounds) <= 0.0


@pytest.mark.parametrize("traffic", TRAFFIC, ids=lambda traffic: traffic.name)
@pytest.mark.parametrize("instances", [1, 6, 61, 195])
def test_all_instances_stay_within_the_common_budget(
    traffic: Traffic, instances: int
) -> None:
    """Instances use their whole budget, at times of their own; some are restarted.

    Without coordination, they must together stay within the configured ratio and extra
    in each window.
    """
    for seed in range(5):
        outcome = simulate(traffic, instances=instances, rng=random.Random(seed))
        assert outcome.retries
        assert find_excess(outcome) <= 0.0


def test_spend_what_was_earned_earlier_in_the_window() -> None:
    """One of two hundred instances gets two requests a second; retries come in bursts.

    Its fixed share is two retries. If the balance were capped at that, what eight good
    responses earned would be lost, and four that need a retry next would not get it.
    """
    budget = make_budget(MANY, started_at=0.0)
    for number in range(12):
        budget.record_request(number * 0.5)
    assert sum(spend(budget, 6.0) for _ in range(20)) >= 9


def test_earned_retries_expire_after_a_window() -> None:
    budget = make_budget(MANY, known=195)
    for _ in range(100):
        budget.record_request(0.0)
    assert not spend(budget, 10.0)


def test_spent_retries_count_across_membership_changes() -> None:
    """An instance is lost, and the fixed allowance is redistributed among the rest.

    A reset balance would grant all retries again at each change of the membership.
    """
    for counts in ((6, 5), (6, 7), (6, 1)):
        members = MemberCount(is_single=False, settled_at=0.0)
        members.record(counts[0])
        budget = RetryBudget(bounds=BOUNDS, members=members)
        spent = 0
        while spend(budget, 1.0):
            spent += 1
        assert spent
        members.record(counts[1])
        assert sum(spend(budget, 1.0) for _ in range(20)) <= 1


def test_retries_never_exceed_requests_right_after_a_start() -> None:
    """Each of two hundred instances starts three times in a window.

    The initial retry after each start must not add up to more than was requested.
    """
    for requests in range(8):
        budget = make_budget(MANY, known=195, started_at=0.0)
        for _ in range(requests):
            budget.record_request(0.1)
        spent = sum(spend(budget, 0.2) for _ in range(20))
        assert spent <= requests
        assert spent <= MANY.retry_ratio * requests + 0.4


def count_fixed(members: MemberCount, now: float) -> int:
    budget = RetryBudget(bounds=MANY, members=members)
    return sum(spend(budget, now) for _ in range(500))


def test_fixed_allowance_is_used_only_once_members_are_known() -> None:
    """An instance sees only itself after a start, and again when it is partitioned."""
    members = MemberCount(is_single=False, settled_at=10.0)
    assert count_fixed(members, 50.0) == 0
    members.record(10)
    assert count_fixed(members, 9.9) == 0
    share = count_fixed(members, 10.0)
    assert 0 < share <= MANY.retry_extra / 10 / 4
    members.record(1)
    assert count_fixed(members, 20.0) == share
    assert count_fixed(MemberCount(is_single=True, settled_at=10.0), 0.0) > share


def test_first_request_can_be_retried() -> None:
    """All instances restart at once, and their first attempts fail.

    Callers return to instances that have not earned any retries yet.
    """
    budget = make_budget(MANY, started_at=0.0)
    budget.record_request(0.1)
    assert spend(budget, 0.1)


def test_requests_read_after_a_stall_are_backdated() -> None:
    """An instance stalls for six seconds and then reads all waiting requests."""
    arrivals = ArrivalEstimator()
    assert arrivals.estimate_arrival(0.0) == 0.0
    for number in range(20):
        arrivals.tick(number / 10)
    assert arrivals.estimate_arrival(1.9 + STALL_S / 2) == 1.9 + STALL_S / 2
    assert arrivals.estimate_arrival(8.0) == 1.9
    arrivals.tick(8.1)
    assert arrivals.estimate_arrival(8.2) == 1.9
    for number in range(10):
        arrivals.tick(8.2 + number / 10)
    assert arrivals.estimate_arrival(8.2 + BACKLOG_S) == 8.2 + BACKLOG_S
