"""Tests of one roll-out among many instances, in virtual time."""

from __future__ import annotations

from bench._fleet import quiet_logs
from bench._rollout_days import Account, Day
from bench._rollouts import World

MOST_CHANGES = 3
"""Requests that may meet another version than their session's request before."""


def play(day: Day) -> Account:
    with quiet_logs():
        return World(day).play()


def test_turn_no_session_back_among_two_hundred() -> None:
    """Sessions that a trial had moved went back to the old version on a calm day."""
    account = play(Day(members=195, seed=3))
    assert len(account.turned_back) + len(account.moved_early) <= MOST_CHANGES
    assert account.exposed <= account.allowed
