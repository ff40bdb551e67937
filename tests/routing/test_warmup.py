"""Tests of what reaches a cold backend server from many instances together."""

from __future__ import annotations

import random
from bisect import bisect_left

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from baobabthread.routing.warmup import (
    ASSUMED_MEMBERS,
    DISCOVERY_S,
    MAX_WARMUP_S,
    MEMBER_RETENTION_S,
    ColdServers,
    SenderCount,
    SendWindows,
    compute_interval_s,
    compute_window_rate,
)

STEP_S = 0.02
COLD_S = 3.0


def send_all(
    views: list[int], *, most: float, rng: random.Random, server: str
) -> list[float]:
    """Return when requests go to one server, if each instance sends all that it may.

    `views` tells how many members each of the instances takes there to be. Their
    clocks have nothing to do with each other.
    """
    sent = []
    for number, members in enumerate(views):
        windows = SendWindows(me=f"front-{number}-{rng.random()}")
        gap_s = compute_interval_s(max_per_s=most, members=members)
        clock_s = rng.uniform(0.0, 1e5)
        steps = int(COLD_S / STEP_S)
        for step in range(steps):
            moment = step * STEP_S
            if windows.is_open(server, gap_s, clock_s + moment):
                windows.mark_used(server, gap_s, clock_s + moment)
                sent.append(moment + rng.uniform(0.0, STEP_S))
    return sorted(sent)


def count_most(times: list[float]) -> int:
    """Return the most requests within any one second."""
    return max(
        (bisect_left(times, t + 1.0) - n for n, t in enumerate(times)), default=0
    )


@pytest.mark.parametrize("members", [1, 6, 59, 300])
@pytest.mark.parametrize("most", [27.5, 8.0, 100.0])
def test_keep_the_bound_of_all_together(members: int, most: float) -> None:
    rng = random.Random(members)
    for server in range(20):
        views = [members] * members
        times = send_all(views, most=most, rng=rng, server=f"s{server}")
        assert count_most(times) <= most


@settings(max_examples=25, deadline=None)
@given(st.integers(2, 5), st.integers(6, 120), st.integers(0, 2**32))
def test_keep_the_bound_of_all_under_a_cut(parts: int, members: int, seed: int) -> None:
    """Instances are cut into parts, and each one hears only of those in its own.

    An instance that took the silent ones for gone would send their part as well. It
    remembers them for longer than areas lose each other.
    """
    rng = random.Random(seed)
    names = [f"i{number}" for number in range(members)]
    part_of = {name: rng.randrange(parts) for name in names}
    views = []
    for name in names:
        population = SenderCount()
        population.record(names, 0.0)
        population.count(DISCOVERY_S)
        population.record([n for n in names if part_of[n] == part_of[name]], 5.0)
        views.append(population.count(3600.0))
    assert views == [members] * members
    times = send_all(views, most=27.5, rng=rng, server="s")
    assert count_most(times) <= 27.5


def test_reckon_with_many_until_the_others_are_met() -> None:
    """All instances and all servers start at once, and each knows only itself."""
    rng = random.Random(3)
    views = []
    for number in range(300):
        population = SenderCount()
        population.record([f"i{number}"], 0.0)
        views.append(population.count(0.5))
    assert set(views) == {ASSUMED_MEMBERS}
    times = send_all(views, most=27.5, rng=rng, server="s")
    assert count_most(times) <= 27.5


def test_count_those_that_are_met() -> None:
    population = SenderCount()
    population.record(["a"], 0.0)
    population.record(["a", "b", "c"], 0.6)
    assert population.count(1.0) == ASSUMED_MEMBERS
    assert population.count(0.6 + DISCOVERY_S) == 3
    population.record(["a", "b", "c", "d"], 5.0)
    assert population.count(5.0) == 4
    population.record(["a", "e"], 5.0 + MEMBER_RETENTION_S + 1.0)
    assert population.count(5.0 + MEMBER_RETENTION_S + 2.0) == 2


def test_save_up_nothing_for_a_burst() -> None:
    """Nobody sends for a while, then a burst meets all instances in one moment.

    Each of three hundred that had saved one request up would send it at once.
    """
    rng = random.Random(5)
    sent = 0
    for number in range(300):
        windows = SendWindows(me=f"i{number}")
        gap_s = compute_interval_s(max_per_s=27.5, members=300)
        moment = rng.uniform(0.0, 1e4)
        sent += windows.is_open("s", gap_s, moment)
    assert sent <= 12


def test_use_a_good_part_of_what_is_allowed() -> None:
    """A service has nothing but cold servers: its callers should get what is safe."""
    for most in (27.5, 100.0):
        rate = compute_window_rate(most)
        assert 0.25 * most <= rate <= 0.75 * most
    times = send_all([59] * 59, most=27.5, rng=random.Random(1), server="s")
    assert len(times) >= 0.7 * compute_window_rate(27.5) * COLD_S


def test_never_shorten_the_time_that_a_server_is_cold() -> None:
    """A record written before a server turned cold again arrives after its answer."""
    cold = ColdServers()
    assert cold.record("s", 3.0, 10.0)
    assert not cold.record("s", 0.5, 10.2)
    assert not cold.record("s", 0.0, 10.2)
    assert not cold.record("s", -5.0, 10.2)
    assert cold.left_s("s", 11.0) == 2.0
    assert not cold.record("s", 2.1, 11.0)
    assert cold.record("s", 3.0, 11.5)
    assert cold.drop_warm(13.0) == []
    assert cold.drop_warm(14.6) == ["s"]
    assert cold.record("s", 1e9, 20.0)
    assert cold.left_s("s", 20.0) == MAX_WARMUP_S
