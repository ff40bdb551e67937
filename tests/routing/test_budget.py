"""Tests that repeats stay within the common bound without talk among instances."""

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
"""Those of an installation of two hundred instances."""
DAY_S = 40.0


def make_budget(
    bounds: RoutingBounds, *, known: int = 1, started_at: float = -100.0
) -> RetryBudget:
    """Return the budget of an instance that has seen so many members."""
    members = MemberCount(
        is_single=False, settled_at=started_at + bounds.retry_window_s
    )
    members.record(known)
    return RetryBudget(bounds=bounds, members=members)


class Played(msgspec.Struct):
    """Hold when requests came and when repeats were sent, each in order."""

    requests: list[float]
    repeats: list[float]


class Traffic(msgspec.Struct, frozen=True):
    """Describe how the rate of requests changes over a day."""

    name: str
    rates: tuple[float, ...]
    """Requests a second of an instance, in steps of two seconds, over and over."""


TRAFFIC = (
    Traffic("steady", (2.0,)),
    Traffic("bursts", (2.0, 2.0, 2.0, 9.0)),
    Traffic("silence, then a rush", (0.0, 0.0, 0.0, 0.0, 0.0, 12.0)),
    Traffic("a rush, then silence", (12.0, 12.0, 12.0, 0.0, 0.0, 0.0, 0.0, 0.0)),
)


def play(traffic: Traffic, *, entries: int, rng: random.Random) -> Played:
    """Let instances repeat all they may, each in moods of its own."""
    played = Played(requests=[], repeats=[])
    for _ in range(entries):
        _play_instance(traffic, entries=entries, rng=rng, played=played)
    played.requests.sort()
    played.repeats.sort()
    return played


def _play_instance(
    traffic: Traffic, *, entries: int, rng: random.Random, played: Played
) -> None:
    budget = make_budget(BOUNDS, known=entries)
    restarts_at = rng.choice((DAY_S, rng.uniform(0.0, DAY_S)))
    mood_until = 0.0
    is_eager = False
    moment = 0.0
    while moment < DAY_S:
        rate = traffic.rates[int(moment / 2.0) % len(traffic.rates)]
        moment += rng.expovariate(max(rate, 0.5))
        if moment >= restarts_at:
            budget = make_budget(BOUNDS, known=entries, started_at=moment)
            restarts_at = DAY_S
        if moment >= mood_until:
            mood_until = moment + rng.uniform(0.5, 6.0)
            is_eager = rng.random() < 0.6
        if rate:
            budget.record_request(moment)
            played.requests.append(moment)
        while is_eager and budget.try_spend(moment):
            played.repeats.append(moment)


def find_excess(played: Played, bounds: RoutingBounds = BOUNDS) -> float:
    """Return by how much some window exceeds the bound; below 0 where none does.

    The requests are those of the window, of the one before it or of the one half a
    window before it, whichever has most.
    """
    length = BOUNDS.retry_window_s

    def count(moments: list[float], begin: float) -> int:
        end = begin + length
        return bisect.bisect_left(moments, end) - bisect.bisect_left(moments, begin)

    worst = -1e9
    for begin in played.repeats:
        begins = (begin, begin - length, begin - length / 2)
        requests = max(count(played.requests, at) for at in begins)
        allowed = bounds.retry_ratio * requests + bounds.retry_extra
        worst = max(worst, count(played.repeats, begin) - allowed)
    return worst


class View(msgspec.Struct, frozen=True, kw_only=True):
    """Describe what an instance lives through."""

    name: str
    known: int = 1
    """Most members that it ever saw, itself included; below 0 a part of all."""
    starts: tuple[float, ...] = ()
    """Seconds after a common moment at which it starts anew."""
    frozen_s: float = 0.0
    """Time from that moment for which it stands still; what came waits."""


VIEWS = (
    View(name="alone since its start"),
    View(name="cut off with half of them since its start", known=-2),
    View(name="cut off later", known=-1),
    View(name="just started", known=-1, starts=(0.0,)),
    View(name="started three times in a window", known=-1, starts=(0.0, 3.0, 6.0)),
    View(name="frozen", known=-1, frozen_s=6.0),
)
TICK_S = 0.1
DEMAND_S = 3.0
"""Time within which a request asks for its repeats."""


def play_views(
    views: list[View], *, rate: float, bounds: RoutingBounds, rng: random.Random
) -> Played:
    """Let every answer fail, so that each request asks for two repeats."""
    played = Played(requests=[], repeats=[])
    moment_of_all = rng.uniform(5.0, 25.0)
    for view in views:
        if view.known < 0:
            known = max(1, len(views) // -view.known)
            view = msgspec.structs.replace(view, known=known)
        _play_view(view, moment_of_all, rate, bounds, rng, played)
    played.requests.sort()
    played.repeats.sort()
    return played


def _play_view(
    view: View,
    moment_of_all: float,
    rate: float,
    bounds: RoutingBounds,
    rng: random.Random,
    played: Played,
) -> None:
    budget = make_budget(bounds, known=view.known)
    arrivals = ArrivalEstimator()
    starts = [moment_of_all + after for after in view.starts]
    ticked_at = 0.0
    wanted: list[float] = []
    sent = 0.0
    while sent < DAY_S:
        sent += rng.expovariate(rate)
        seen = sent
        if moment_of_all <= sent < moment_of_all + view.frozen_s:
            seen = moment_of_all + view.frozen_s
        while ticked_at < seen:
            ticked_at += TICK_S
            if not moment_of_all <= ticked_at < moment_of_all + view.frozen_s:
                arrivals.tick(min(ticked_at, seen))
        if starts and sent >= starts[0]:
            starts.pop(0)
            wanted.clear()
            budget = make_budget(bounds, known=view.known, started_at=sent)
        played.requests.append(sent)
        budget.record_request(arrivals.estimate_arrival(seen))
        wanted.extend(seen + rng.uniform(0.0, DEMAND_S) for _ in range(2))
        wanted.sort()
        while wanted and wanted[0] <= seen:
            moment = wanted.pop(0)
            if budget.try_spend(max(moment, seen)):
                played.repeats.append(max(moment, seen))


@pytest.mark.parametrize("count", [1, 7, 59, 195])
@pytest.mark.parametrize("view", VIEWS, ids=lambda view: view.name)
def test_keep_the_common_budget_whatever_instances_know(view: View, count: int) -> None:
    """Instances start anew, up to three times, or stand still while all answers fail.

    Each divided the fixed part of the budget by the members that it saw. One that was
    cut off or had just started saw nobody and took all of it.
    """
    bounds = msgspec.structs.replace(BOUNDS, retry_extra=45.0 + 2.0 * count)
    for seed in range(5):
        rng = random.Random(seed)
        mixed = [rng.choice((view, *VIEWS)) for _ in range(count)]
        for views in ([view] * count, mixed):
            played = play_views(views, rate=80.0 / count, bounds=bounds, rng=rng)
            assert played.repeats
            assert find_excess(played, bounds) <= 0.0


@pytest.mark.parametrize("traffic", TRAFFIC, ids=lambda traffic: traffic.name)
@pytest.mark.parametrize("entries", [1, 6, 61, 195])
def test_keep_all_instances_within_the_common_budget(
    traffic: Traffic, entries: int
) -> None:
    """Instances repeat as much as they may, at moments of their own, some restarted.

    Together they must stay below the ratio and the extra that the operators set, in
    each window, without a word between them.
    """
    for seed in range(5):
        played = play(traffic, entries=entries, rng=random.Random(seed))
        assert played.repeats
        assert find_excess(played) <= 0.0


def test_use_what_was_earned_a_moment_ago() -> None:
    """An instance of two hundred sees two requests a second, their doubts in clumps.

    Its fixed share is two repeats. A balance capped at that forgets what eight sure
    answers earned, and the four doubtful ones that follow are passed on.
    """
    budget = make_budget(MANY, started_at=0.0)
    for number in range(12):
        budget.record_request(number * 0.5)
    assert sum(budget.try_spend(6.0) for _ in range(20)) >= 9


def test_forget_what_was_earned_a_window_ago() -> None:
    budget = make_budget(MANY, known=195)
    for _ in range(100):
        budget.record_request(0.0)
    assert not budget.try_spend(10.0)


def test_keep_what_was_spent_when_members_change() -> None:
    """An instance is lost, and the fixed part is divided anew among the rest.

    With a fresh balance each change of members would give all repeats once more.
    """
    for counts in ((6, 5), (6, 7), (6, 1)):
        members = MemberCount(is_single=False, settled_at=0.0)
        members.record(counts[0])
        budget = RetryBudget(bounds=BOUNDS, members=members)
        spent = 0
        while budget.try_spend(1.0):
            spent += 1
        assert spent
        members.record(counts[1])
        assert sum(budget.try_spend(1.0) for _ in range(20)) <= 1


def test_never_repeat_more_than_was_asked_right_after_a_start() -> None:
    """Instances that have just started take a first repeat each, however many.

    Three starts in a window of each of two hundred may not add up to more than that.
    """
    for requests in range(8):
        budget = make_budget(MANY, known=195, started_at=0.0)
        for _ in range(requests):
            budget.record_request(0.1)
        taken = sum(budget.try_spend(0.2) for _ in range(20))
        assert taken <= requests
        assert taken <= MANY.retry_ratio * requests + 0.4


def count_fixed(members: MemberCount, now: float) -> int:
    budget = RetryBudget(bounds=MANY, members=members)
    return sum(budget.try_spend(now) for _ in range(500))


def test_take_the_fixed_part_only_where_the_members_are_known() -> None:
    """An instance knows itself alone when it starts, and again when it is cut off."""
    members = MemberCount(is_single=False, settled_at=10.0)
    assert count_fixed(members, 50.0) == 0
    members.record(10)
    assert count_fixed(members, 9.9) == 0
    share = count_fixed(members, 10.0)
    assert 0 < share <= MANY.retry_extra / 10 / 4
    members.record(1)
    assert count_fixed(members, 20.0) == share
    assert count_fixed(MemberCount(is_single=True, settled_at=10.0), 0.0) > share


def test_try_the_first_request_elsewhere() -> None:
    """All instances were lost and start again; the first answers of each fail.

    Callers come back to instances that have earned nothing yet.
    """
    budget = make_budget(MANY, started_at=0.0)
    budget.record_request(0.1)
    assert budget.try_spend(0.1)


def test_date_requests_back_that_came_while_an_instance_stood_still() -> None:
    """An instance is frozen for six seconds and reads all that came at once."""
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
