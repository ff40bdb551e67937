"""Tests that what arrives late stays within bounds that count it on arrival."""

from __future__ import annotations

import heapq
import itertools
import random

import msgspec
import pytest

from baobabthread.routing.bounds import RoutingBounds
from baobabthread.routing.transit import Transit, TransitWindow
from tests.routing.test_budget import (
    BOUNDS,
    RUN_S,
    Outcome,
    find_excess,
    make_budget,
)


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


def test_count_what_is_in_transit_or_was_settled_within_the_window() -> None:
    window = TransitWindow(length_s=4.0)
    first, second = window.start(), window.start()
    assert window.count(100.0) == 2
    first.settle(100.0)
    first.settle(101.0)
    assert (window.count(103.9), window.in_transit) == (2, 1)
    assert window.count(104.1) == 1
    second.settle(104.2)
    assert window.count(108.3) == 0
