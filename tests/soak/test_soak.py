"""Short seeded runs of the real program, and every seed that ever failed."""

from __future__ import annotations

import asyncio

import msgspec
import pytest
from soak.play import NOT_PRESSED, Outcome, Plan, play
from soak.pressing import PRESSES
from soak.weakened import WEAKENED

from soak import pressing

EARLY_FAULTS = (
    "term",
    "term in turn",
    "kill",
    "kill all",
    "pause",
    "hup",
    "store busy",
    "store silent",
    "store slow",
    "store loses answers",
    "store forgets",
    "cut from the store",
    "bad answers",
    "link to a backend",
    "backend leaves",
    "backend crashes",
    "crashing request",
    "configuration",
    "configuration storm",
    "revoke",
    "revoke in an outage",
    "more backends",
)
"""What the plans that were kept drew from: with more faults their seeds would play
something else."""

PLANS: tuple[tuple[Plan, str], ...] = (
    (Plan(seed=1, seconds=5.0, callers=8, faults=EARLY_FAULTS), "always played"),
    (Plan(seed=2, seconds=5.0, callers=8, faults=EARLY_FAULTS), "always played"),
    (
        Plan(seed=18, seconds=10.0, faults=EARLY_FAULTS),
        "the proxy ended what the server had reset",
    ),
    (
        Plan(seed=30, seconds=10.0, faults=EARLY_FAULTS),
        "a check did not know a whole body",
    ),
    (
        Plan(seed=32, seconds=10.0, faults=EARLY_FAULTS),
        "SIGHUP while an instance loads ended it",
    ),
    (
        Plan(seed=1, seconds=5.0, callers=8, faults=("odd records",)),
        "one odd record of another writer left requests without a server",
    ),
)
"""What is played in each run of the tests, and why: two short seeds, and each plan that
ever broke a promise, with the cause."""
FAULT_OF = {
    "forget crashes": "crashing request",
    "know crashes by the body": "crashing part",
    "clear by any end": "crashing part",
    "clear by earlier answers": "crashing part",
    "forget evacuations": "evacuation",
    "forget the cold": "cold backend",
    "forget homes": "homes",
    "forget limits": "limited backend",
    "learn departures from records": "departure told",
    "forget rests": "rest asked",
    "forget rejections": "backend rejects",
    "keep to own paths": "partition",
    "forget brittleness": "brittle backends",
}
"""Fault that shows that a safeguard is missing, where it isn't the usual one."""


@pytest.mark.parametrize(("plan", "why"), PLANS)
def test_keep_all_promises(plan: Plan, why: str) -> None:
    outcome = asyncio.run(play(plan))
    assert not outcome.breaches, why
    assert outcome.calls > 100
    assert outcome.served > outcome.calls / 3


@pytest.mark.parametrize(
    "fault",
    [
        "evacuation",
        "cold backend",
        "homes",
        "limited backend",
        "partition",
        "brittle backends",
        "departure told",
        "rest asked",
        "backend rejects",
        "store restored",
        "endless responses",
    ],
)
def test_keep_requests_away_from_where_they_must_not_go(fault: str) -> None:
    """Callers ask all the while; a domain is evacuated, servers are cold, homes change.

    Instances of which one is stopped meanwhile learn of it anew.
    """
    plan = Plan(seed=7, seconds=6.0, faults=(fault, fault, "term"))
    outcome = asyncio.run(play(plan))
    assert not outcome.breaches
    assert outcome.served > outcome.calls / 2


def test_keep_crowded_servers_from_being_overrun() -> None:
    """An owner of assignments is stopped, killed or paused in a burst.

    Whoever then chose by old knowledge would overrun servers in turns, and an owner
    that came back without its requests would assign their places again.
    """
    plan = Plan(seed=1, seconds=1.0, faults=("crowded service",))
    outcome = asyncio.run(play(plan))
    assert not outcome.breaches
    assert outcome.served > outcome.calls / 2


def test_bear_clients_that_ignore_the_limits() -> None:
    """Heads without end took more memory than the machine has, with three processes.

    Callers keep being answered beside such clients, also while instances stop.
    """
    plan = Plan(seed=3, seconds=6.0, faults=("hostile clients",) * 3 + ("term",))
    outcome = asyncio.run(play(plan))
    assert not outcome.breaches
    assert outcome.served > outcome.calls / 2


def test_stop_requests_that_crash_servers() -> None:
    """Callers ask again and again for what ends each server that begins to run it.

    Whoever takes each try for a new one sends it to three servers more; fifteen ended
    under one request, and half of all other requests were lost with them.
    """
    plan = Plan(seed=3, seconds=5.0, faults=("crashing request",))
    outcome = asyncio.run(play(plan))
    assert not outcome.breaches
    assert outcome.served > outcome.calls / 2


def test_stop_parts_that_crash_servers() -> None:
    """Requests that share nothing but a part of their prompts crash all servers.

    Sound ones share their callers and all their other parts.
    """
    plan = Plan(seed=11, seconds=2.0, faults=("crashing part",))
    outcome = asyncio.run(play(plan))
    assert not outcome.breaches
    assert outcome.served > outcome.calls / 2


@pytest.mark.parametrize(
    ("weaken", "promise"),
    [
        ("take any answer", "whole"),
        ("refuse what ran", "true refusals"),
        ("forget crashes", "crashing requests"),
        ("know crashes by the body", "crashing parts"),
        ("clear by any end", "crashing parts"),
        ("clear by earlier answers", "crashing parts"),
        ("forget evacuations", "evacuated domains"),
        ("forget the cold", "cold servers"),
        ("forget homes", "homes"),
        ("forget limits", "limited servers"),
        ("learn departures from records", "departures told"),
        ("forget rests", "rests"),
        ("forget rejections", "rejecting servers"),
        ("keep to own paths", "partitions"),
        ("forget brittleness", "brittle servers"),
    ],
)
def test_find_a_safeguard_that_was_taken_out(weaken: str, promise: str) -> None:
    """Backend servers answer badly, and instances lack what protects callers from it.

    A soak that doesn't see it checks nothing.
    """
    plan = Plan(
        seed=5,
        seconds=5.0,
        callers=8,
        faults=(FAULT_OF.get(weaken, "bad answers"),),
        weaken=weaken,
        keep_logs=False,
    )
    outcome = asyncio.run(play(plan))
    assert promise in {breach.promise for breach in outcome.breaches}


@pytest.mark.parametrize(
    ("weaken", "promise"),
    [
        ("repeat everything", "once"),
        ("serve on stale knowledge", "revoked keys"),
        ("pass parts of events", "in order"),
        ("pass the key on", "own account"),
        ("ignore eras", "revoked keys"),
        ("ask no peer at the start", "revoked keys"),
        ("settle missing servers by time", "store alone"),
        ("forget assignments", "crowded servers"),
        ("forget framing", "endless responses"),
    ],
)
def test_find_a_safeguard_that_only_its_press_asks(weaken: str, promise: str) -> None:
    """Nothing but the press needs the safeguard, and its check must see it missing."""
    outcome = play_quietly(Plan(seed=6, callers=8, weaken=weaken, keep_logs=False))
    assert promise in {breach.promise for breach in outcome.breaches}


@pytest.mark.parametrize("press", list(PRESSES))
def test_keep_all_promises_while_a_safeguard_is_pressed(press: str) -> None:
    """A press that broke promises by itself would prove nothing by what it finds."""
    outcome = play_quietly(Plan(seed=8, callers=8, press=press))
    assert not outcome.breaches
    assert outcome.decided


def play_quietly(plan: Plan) -> Outcome:
    """Play a plan whose only faults are changes of the configuration."""
    quiet = msgspec.structs.replace(plan, seconds=1.0, faults=("configuration",))
    return asyncio.run(play(quiet))


def test_press_every_safeguard() -> None:
    assert set(PRESSES) == set(WEAKENED)


def test_tell_a_safeguard_that_nothing_asked(monkeypatch: pytest.MonkeyPatch) -> None:
    """A mutant passed unseen, and nobody could tell a blind check from a calm run."""
    monkeypatch.setattr(pressing, "MOST_S", 0.0)
    plan = Plan(seed=9, callers=8, weaken="forget homes", keep_logs=False)
    outcome = play_quietly(plan)
    assert {breach.promise for breach in outcome.breaches} == {NOT_PRESSED}
