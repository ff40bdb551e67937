"""Tests that retries stay within the common bound without coordination."""

from __future__ import annotations

import bisect
import heapq
import itertools
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
from baobabthread.routing.transit import Transit

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


class Partition(msgspec.Struct, frozen=True, kw_only=True):
    """A partition between instances and some of the backend servers."""

    name: str
    length_s: float
    share: float = 1.0
    """Fraction of the instances that it affects."""
    restarts: bool = False
    """Whether affected instances restart in the middle of it."""
    rates: tuple[float, ...] = (1.0,)
    """Request rate in steps of two seconds before and after its end, repeated; a
    fraction of the usual rate."""


PARTITIONS = (
    Partition(name="none", length_s=0.0),
    Partition(name="short", length_s=3.0),
    Partition(name="long", length_s=8.0),
    Partition(name="half of the instances", length_s=5.0, share=0.5),
    Partition(name="with restarts", length_s=5.0, restarts=True),
    Partition(
        name="bursts, then idle", length_s=5.0, rates=(2.0, 2.0, 2.0, 2.0, 0.1, 0.1)
    ),
    Partition(
        name="idle, then a burst", length_s=5.0, rates=(0.1, 0.1, 0.1, 0.1, 2.0, 2.0)
    ),
)
SILENCE_TIMEOUT_S = 1.0
RESPONSE_S = 0.05
DEADLINE_S = 8.0
MAX_ATTEMPTS = 3


class RequestInFlight(msgspec.Struct):
    """A request at a partitioned instance."""

    deadline: float
    attempts: int = 0
    charge: Transit | None = None
    """Charge of its current attempt; None for the first one."""

    def settle(self, now: float) -> None:
        """Settle the charge of the current attempt."""
        if self.charge is not None:
            self.charge.settle(now)


class PartitionedInstance:
    """An instance whose retries go to servers that it can't reach for a while.

    The first attempts reach a server, which fails them.
    """

    def __init__(
        self,
        *,
        known: int,
        bounds: RoutingBounds,
        unreachable: tuple[float, float],
        outcome: Outcome,
    ) -> None:
        self._known = known
        self._bounds = bounds
        self._unreachable = unreachable
        self._outcome = outcome
        self.budget = make_budget(bounds, known=known)
        self._events: list[tuple[float, int, str, RequestInFlight]] = []
        self._numbers = itertools.count()

    def schedule(self, at: float, event: str, request: RequestInFlight) -> None:
        """Schedule an event of a request."""
        heapq.heappush(self._events, (at, next(self._numbers), event, request))

    def run(self) -> None:
        """Process all events in order."""
        while self._events:
            at, _, event, request = heapq.heappop(self._events)
            getattr(self, f"_{event}")(at, request)

    def _receive(self, now: float, request: RequestInFlight) -> None:
        self.budget.record_request(now)
        self._outcome.requests.append(now)
        request.attempts = 1
        self.schedule(now + RESPONSE_S, "fail", request)

    def _restart(self, now: float, request: RequestInFlight) -> None:
        # The requests in flight end with the process, and their connections are reset.
        self._events = [e for e in self._events if e[2] in ("receive", "restart")]
        heapq.heapify(self._events)
        self.budget = make_budget(self._bounds, known=self._known, started_at=now)

    def _fail(self, now: float, request: RequestInFlight) -> None:
        request.settle(now)
        if now < request.deadline and request.attempts < MAX_ATTEMPTS:
            self._retry(now, request)

    def _retry(self, now: float, request: RequestInFlight) -> bool:
        charge = self.budget.try_spend(now)
        if charge is None:
            return False
        # The connection of an attempt that was abandoned is reset.
        request.settle(now)
        request.charge = charge
        request.attempts += 1
        begin, end = self._unreachable
        if begin <= now < end:
            silent_at = now + SILENCE_TIMEOUT_S
            self.schedule(min(silent_at, end, request.deadline), "wait", request)
        else:
            self.schedule(now, "arrive", request)
        return True

    def _wait(self, now: float, request: RequestInFlight) -> None:
        end = self._unreachable[1]
        if now >= request.deadline:
            request.settle(now)
        elif now >= end:
            self.schedule(now, "arrive", request)
        elif request.attempts == MAX_ATTEMPTS or not self._retry(now, request):
            self.schedule(min(end, request.deadline), "wait", request)

    def _arrive(self, now: float, request: RequestInFlight) -> None:
        self._outcome.retries.append(now)
        self.schedule(now + RESPONSE_S, "fail", request)


def simulate_partition(
    partition: Partition, *, count: int, rate: float, bounds: RoutingBounds, seed: int
) -> Outcome:
    """Simulate instances at which all attempts fail around a partition."""
    rng = random.Random(seed)
    outcome = Outcome(requests=[], retries=[])
    end = rng.uniform(15.0, 25.0)
    for number in range(count):
        affected = number < partition.share * count
        instance = PartitionedInstance(
            known=count,
            bounds=bounds,
            unreachable=(end - partition.length_s if affected else end, end),
            outcome=outcome,
        )
        if affected and partition.restarts:
            restarted_at = end - partition.length_s / 2
            instance.schedule(restarted_at, "restart", RequestInFlight(deadline=0.0))
        sent = 0.0
        while sent < RUN_S:
            step = int((sent - end) // 2.0) % len(partition.rates)
            sent += rng.expovariate(rate * partition.rates[step] / count)
            request = RequestInFlight(deadline=sent + DEADLINE_S)
            instance.schedule(sent, "receive", request)
        instance.run()
    outcome.requests.sort()
    outcome.retries.sort()
    return outcome


@pytest.mark.parametrize("count", [1, 6, 59, 195, 400])
@pytest.mark.parametrize("partition", PARTITIONS, ids=lambda partition: partition.name)
def test_retries_held_up_by_a_partition_stay_within_the_common_budget(
    partition: Partition, count: int
) -> None:
    """Retries that were sent into a partition arrive together when it ends.

    The bound counts them on arrival, beside the retries that follow: counted when sent,
    those of a whole window and of the partition before it may arrive in one window.
    """
    bounds = msgspec.structs.replace(BOUNDS, retry_extra=45.0 + 2.0 * count)
    for seed in range(3):
        outcome = simulate_partition(
            partition, count=count, rate=45.0 + 2.0 * count, bounds=bounds, seed=seed
        )
        assert outcome.retries
        assert find_excess(outcome, bounds) <= 0.0


def test_a_retry_in_transit_is_charged_until_a_window_after_it_was_settled() -> None:
    """A retry is sent into a partition that lasts longer than a window.

    Dropped from the budget while it is on its way, it would arrive uncounted.
    """
    budget = make_budget(BOUNDS)
    budget.record_request(0.0)
    charge = budget.try_spend(0.0)
    assert charge is not None
    for now in (11.0, 22.0):
        budget.record_request(now)
        assert not budget.try_spend(now)
    charge.settle(23.0)
    charge.settle(24.0)
    assert budget.in_transit == 0
    budget.record_request(32.5)
    assert not budget.try_spend(32.5)
    budget.record_request(43.0)
    assert budget.try_spend(43.0)
