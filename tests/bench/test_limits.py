"""Tests of a server's limit among many instances, in virtual time."""

from __future__ import annotations

import pytest
from bench._limit_days import CONTACT_S, ENDS_S, STATED_AT_S, LimitDay, World

MEMBERS = [1, 6, 59, 195, 400]
MAX_BYTES_PER_S = 14_000
"""What an instance may spend on control in all."""
TROUBLES = {
    "none": {},
    "callers at one instance": {"skew": 0.9},
    "a small limit": {"per_s": 1.0},
    "a slow server": {"delay_s": 2.0},
    "lost messages": {"loss": 0.1, "gossip_s": 3.0},
    "a partition from the server": {"cut": (10.0, 14.0)},
    "a long partition from the server": {"cut": (9.0, 17.0)},
    "restarts": {"restarts": 0.5},
    "the owner is lost": {"owner_lost_at": 11.0},
    "the owner is lost in a partition": {"owner_lost_at": 12.0, "cut": (10.0, 14.0)},
}


@pytest.mark.parametrize("members", MEMBERS)
@pytest.mark.parametrize("trouble", TROUBLES)
def test_all_instances_together_keep_to_a_limit(trouble: str, members: int) -> None:
    """Many times a server's limit is asked for, whatever instances know of others.

    Kept by each instance for itself, the limit would be multiplied by their number.
    """
    for seed in range(2):
        world = World(LimitDay(members=members, **TROUBLES[trouble]), seed=seed)
        world.play()
        assert world.find_excess() <= 0.0


@pytest.mark.parametrize("members", MEMBERS)
@pytest.mark.parametrize(
    ("per_s", "skew"), [(1.0, 0.0), (4.5, 0.0), (4.5, 0.9), (20.0, 0.0)]
)
def test_use_most_of_a_limit(members: int, per_s: float, skew: float) -> None:
    """Equal parts of 4.5 a second among 400 instances would serve nobody."""
    day = LimitDay(members=members, per_s=per_s, demand_s=30.0 + per_s, skew=skew)
    world = World(day, seed=3)
    world.play()
    assert 0.85 <= world.compute_use(10.0, 25.0) <= 1.15


@pytest.mark.parametrize("members", MEMBERS)
def test_use_the_whole_server_once_it_has_recovered(members: int) -> None:
    """Word of a limit that has ended must not keep requests away from the server."""
    day = LimitDay(members=members, recovers_at=14.0)
    world = World(day, seed=4)
    world.play()
    assert world.find_excess() <= 0.0
    assert world.compute_served(18.0, 25.0) >= 0.9


@pytest.mark.parametrize("members", [59, 400])
def test_asking_stays_within_what_an_instance_may_spend(members: int) -> None:
    """Each denied request would otherwise cost the server's owner two messages."""
    day = LimitDay(members=members, demand_s=300.0)
    world = World(day, seed=5)
    world.play()
    assert world.bytes / (ENDS_S - STATED_AT_S - CONTACT_S) <= MAX_BYTES_PER_S
