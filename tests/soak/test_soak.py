"""Short seeded runs of the real program, and every seed that ever failed."""

from __future__ import annotations

import asyncio

import pytest
from soak.play import Plan, play

SHORT = (1, 2)
"""Seeds of the runs that are always played."""
REGRESSIONS: tuple[tuple[Plan, str], ...] = ()
"""Plans that once broke a promise, and the cause."""


def check(plan: Plan) -> None:
    outcome = asyncio.run(play(plan))
    assert not outcome.breaches
    assert outcome.calls > 100
    assert outcome.served > outcome.calls / 3


@pytest.mark.parametrize("seed", SHORT)
def test_keep_all_promises_in_a_short_run(seed: int) -> None:
    check(Plan(seed=seed, seconds=5.0, callers=8))


@pytest.mark.parametrize(("plan", "cause"), REGRESSIONS)
def test_keep_what_was_once_broken(plan: Plan, cause: str) -> None:
    assert cause
    check(plan)


@pytest.mark.parametrize(
    ("weaken", "promise"),
    [("take any answer", "whole"), ("refuse what ran", "true refusals")],
)
def test_find_a_safeguard_that_was_taken_out(weaken: str, promise: str) -> None:
    """Backend servers answer badly, and instances lack what protects callers from it.

    A soak that doesn't see it checks nothing.
    """
    plan = Plan(
        seed=5,
        seconds=5.0,
        callers=8,
        faults=("bad answers",),
        weaken=weaken,
        keep_logs=False,
    )
    outcome = asyncio.run(play(plan))
    assert promise in {breach.promise for breach in outcome.breaches}
