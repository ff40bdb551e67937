"""Tests of one roll-out among many instances, in virtual time.

Both rules at once: sessions keep their version, and a version gets no more than its
part of the requests, whatever instances know of each other.
"""

from __future__ import annotations

from collections.abc import Iterable

import pytest
from bench._fleet import quiet_logs
from bench._rollout_days import (
    MOST_CHANGES,
    Account,
    Burst,
    Cut,
    Day,
    Slow,
    draw_day,
    draw_views,
)
from bench._rollout_members import SERVICE
from bench._rollouts import World

from baobabthread.core.rendezvous import rank
from baobabthread.routing.configuration import RolloutState


def play(day: Day) -> Account:
    with quiet_logs():
        return World(day).play()


def find_leader(members: int) -> int:
    """Return the number of the member that leads."""
    names = {f"front-{number}": number for number in range(members)}
    return names[rank(SERVICE, names)[0]]


def test_turn_no_session_back_among_two_hundred() -> None:
    """Sessions that a trial had moved went back to the old version on a calm day."""
    account = play(Day(members=195, seed=3))
    assert len(account.turned_back) + len(account.moved_early) <= MOST_CHANGES
    assert account.exposed <= account.allowed


@pytest.mark.parametrize(
    ("members", "seeds"),
    [
        (1, range(12)),
        (2, range(12)),
        (6, range(24)),
        (23, [*range(12), 3032]),
        (59, range(8)),
        (195, [0, 1, 3025]),
        (400, [0]),
        (400, [3003]),
    ],
)
def test_keep_sessions_and_the_bound_together(
    members: int, seeds: Iterable[int]
) -> None:
    """Members are cut off, killed, late or pressed while a version is on trial."""
    for seed in seeds:
        day = draw_day(members, seed)
        account = play(day)
        broken = account.list_broken(is_good=day.bad_share == 0.0)
        assert not broken, f"seed {seed}"


@pytest.mark.parametrize("limit_s", [8.0, 14.0, 24.0])
@pytest.mark.parametrize("members", [1, 6, 59, 195])
def test_keep_a_bad_version_within_its_part_under_any_views(
    members: int, limit_s: float
) -> None:
    """A bad version that nobody finds bad got more, as most instances see little."""
    for seed in range(12):
        account = play(draw_views(members, seed, limit_s=limit_s))
        assert account.exposed_anywhere <= account.allowed, f"seed {seed}"


def test_go_on_when_the_leader_loses_the_store() -> None:
    """All permits lapsed, sessions went back, and a good version was taken back."""
    cut = Cut(at_s=19.8, for_s=7.6, members=(find_leader(59),), from_store=True)
    account = play(Day(members=59, per_s=120.0, sessions=1400, cuts=(cut,)))
    assert account.changes == 0
    assert account.state is RolloutState.SUCCEEDED


def test_keep_sessions_while_words_of_the_leader_are_late() -> None:
    """A permit outlives two words among two hundred: late ones turned sessions back."""
    slow = Slow(at_s=12.0, for_s=6.0, members=(find_leader(195),), lag_s=2.0)
    account = play(Day(members=195, slow=(slow,)))
    assert account.list_broken(is_good=True) == []


def test_let_no_lonely_instances_take_over() -> None:
    """Each of a third of the instances heard nobody and let the version take over."""
    members = tuple(range(0, 195, 3))
    cut = Cut(at_s=18.0, for_s=9.0, members=members, from_peers=True, apart=True)
    account = play(Day(members=195, cuts=(cut,)))
    assert account.list_broken(is_good=True) == []


@pytest.mark.parametrize("apart", [True, False])
def test_stop_what_turns_bad_as_it_takes_over(apart: bool) -> None:
    """The version fails under load, and a third of the instances hear of nothing."""
    members = tuple(range(0, 59, 3))
    cut = Cut(at_s=25.3, for_s=9.0, members=members, from_peers=True, apart=apart)
    account = play(
        Day(
            members=59,
            per_s=200.0,
            sessions=2400,
            bad_share=0.7,
            bad_from_s=25.0,
            after_s=8.0,
            cuts=(cut,),
        )
    )
    assert account.state is RolloutState.REVERTED
    assert account.list_broken(is_good=False) == []


@pytest.mark.parametrize("seed", [1, 2])
def test_bound_the_end_in_a_burst(seed: int) -> None:
    """Twice the traffic came as the version took over, and it got more than allowed."""
    burst = Burst(at_s=24.5, for_s=5.0, factor=2.0)
    account = play(Day(members=195, seed=seed, bursts=(burst,)))
    assert account.list_broken(is_good=True) == []
