"""Tests of the checks: each finds a history in which its promise is broken."""

from __future__ import annotations

from typing import Any

import pytest
import soak.faults  # noqa: F401 (registers the promises of other modules)
from soak.crowds import LEAST_SERVING, MAX_OVERRUN, MIN_COMPARED, OVERCOMMIT
from soak.endless import BUFFERED_BYTES, MAX_FRAMING_BYTES, MAX_LONGER, MEMORY_MB
from soak.history import (
    Brittle,
    Call,
    Crowded,
    EndlessResponse,
    Evacuated,
    Fault,
    History,
    Homes,
    Kind,
    Rejecting,
    Run,
    Withdrawal,
)
from soak.notices import DRAIN_S
from soak.parts import CRASHING_PART
from soak.promises import PROMISES, check_all
from soak.rejections import MAX_TRIES, UNDER_WAY_S

BODY = b"answer of p1"


def make_call(id: str = "c1", kind: Kind = Kind.SAFE, **more: Any) -> Call:
    fields: dict[str, Any] = {
        "id": id,
        "kind": kind,
        "instance": 0,
        "key": "k1",
        "sent_at": 50.0,
        "ended_at": 50.1,
        "status": 200,
        "signed": True,
        "own_id": True,
        "whole": True,
        "body": BODY,
    }
    return Call(**(fields | more))


def make_run(id: str = "c1", **more: Any) -> Run:
    fields: dict[str, Any] = {
        "id": id,
        "backend": "p1",
        "service": "plain",
        "version": "v1",
        "at": 50.05,
        "executed": True,
        "sound": True,
        "account": "metro",
        "leaked": False,
    }
    return Run(**(fields | more))


def make_history(calls: list[Call], runs: list[Run], **more: Any) -> History:
    return History(
        seed=1,
        calls=calls,
        runs=runs,
        account_of={"k1": "metro"},
        last_event=3,
        calm_from=40.0,
        **more,
    )


def find(history: History) -> set[str]:
    return {breach.promise for breach in check_all(history)}


def test_find_nothing_in_a_good_history() -> None:
    stream = make_call("c2", Kind.STREAM, event_ids=[1, 2, 3])
    history = make_history([make_call(), stream], [make_run(), make_run("c2")])
    assert find(history) == set()


def make_crashing_part(*, late: int = 3, status: int = 200) -> History:
    """Return a history in which five servers crash under a part of prompts.

    Requests with it are sent for 30 s; `late` of them reach servers late, and sound
    streams beside it end with `status`.
    """
    calls = [
        make_call(f"c{n}", Kind.STREAM, sent_at=50.0 + n, part="dead")
        for n in range(30)
    ]
    runs = [
        make_run(f"c{n}", backend=f"e{n}", at=50.05 + n, crashes=True)
        for n in (*range(5), *range(8, 8 + late))
    ]
    sound = {"event_ids": [1, 2, 3], "kind": Kind.STREAM}
    calls += [make_call(f"u{n}", sent_at=10.0 + n / 10, **sound) for n in range(20)]
    calls += [
        make_call(f"b{n}", sent_at=61.0 + n / 10, status=status, **sound)
        for n in range(20)
    ]
    for call in calls:
        call.ended_at = call.sent_at + 0.1
    fault = Fault(name=CRASHING_PART, began_at=50.0, ended_at=80.0)
    return make_history(calls, runs, faults=[fault])


def test_excuse_few_requests_with_a_crashing_part() -> None:
    found = find(make_crashing_part())
    assert not {"crashing parts", "beside crashing parts"} & found


def make_partitioned(*, served: int) -> History:
    """Return a history in which one of two instances is cut off from all servers."""
    calls = [
        make_call(f"c{n}", status=200 if n < served else 503, sent_at=50.0 + n / 100)
        for n in range(40)
    ]
    calls += [make_call(f"d{n}", instance=1, sent_at=50.0) for n in range(40)]
    cut = Fault(name="partition reset", began_at=45.0, ended_at=55.0, instance=0)
    runs = [make_run(call.id) for call in calls if call.status == 200]
    return make_history(calls, runs, faults=[cut])


def make_told(*, sent_at: float, **more: Any) -> History:
    """Return a history in which a server says that it leaves, and gets a request."""
    calls = [
        make_call("c1", ended_at=50.1),
        make_call("c2", sent_at=sent_at, ended_at=sent_at + 0.1),
    ]
    runs = [make_run("c1", leaving=True), make_run("c2", at=sent_at + 0.05)]
    return make_history(calls, runs, **more)


def make_withdrawn(*, after_s: float, **more: Any) -> History:
    """Return a history in which a server gets a request after its record is gone."""
    word = Withdrawal(backend="p1", at=50.0)
    call = make_call(sent_at=49.0 + after_s, ended_at=51.0 + after_s)
    run = make_run(at=50.0 + after_s)
    return make_history([call], [run], withdrawals=[word], **more)


def test_excuse_requests_just_after_a_record_is_withdrawn() -> None:
    assert "withdrawn records" not in find(make_withdrawn(after_s=DRAIN_S))


@pytest.mark.parametrize(
    ("fault", "instance", "ended_at", "is_excused"),
    [
        ("store busy", None, 47.5, True),
        ("store busy", None, 46.5, False),
        ("term", 0, 49.5, True),
        ("term", 0, 48.5, False),
        ("term", 1, 51.0, False),
        ("backend gone", None, 51.0, False),
    ],
)
def test_excuse_only_instances_out_of_touch_after_a_withdrawal(
    fault: str, instance: int | None, ended_at: float, is_excused: bool
) -> None:
    """A fault of the store or of the instance lasts until shortly before."""
    faults = [Fault(name=fault, began_at=46.0, ended_at=ended_at, instance=instance)]
    broken = find(make_withdrawn(after_s=2.1, faults=faults))
    assert ("withdrawn records" not in broken) is is_excused


def make_rest(count: int, **more: Any) -> History:
    """Return a history in which a server asks for rest and gets requests in it."""
    ids = [f"r{n}" for n in range(count)]
    calls = [make_call("c1"), *(make_call(id, sent_at=51.0) for id in ids)]
    told = make_run("c1", executed=False, rest_s=3.0)
    runs = [told, *(make_run(id, at=51.0, executed=False) for id in ids)]
    return make_history(calls, runs, **more)


def test_excuse_requests_to_a_server_that_has_just_said_that_it_leaves() -> None:
    assert "departures told" not in find(make_told(sent_at=50.1 + DRAIN_S))


@pytest.mark.parametrize("fault", ["term", "kill", "pause"])
def test_excuse_an_instance_that_may_have_forgotten(fault: str) -> None:
    faults = [Fault(name=fault, began_at=50.5, ended_at=50.9)]
    assert "departures told" not in find(make_told(sent_at=60.0, faults=faults))
    assert "rests" not in find(make_rest(9, faults=faults))


def test_excuse_few_requests_within_a_rest() -> None:
    assert "rests" not in find(make_rest(2))


def make_rejecting(
    tries: int, interval_s: float = 2 * UNDER_WAY_S, **more: Any
) -> History:
    """Return what a server saw that rejected all requests of one instance."""
    times = [50.0 + number * interval_s for number in range(tries)]
    runs = [make_run(f"r{n}", at=at, executed=False) for n, at in enumerate(times)]
    calls = [make_call(f"r{n}", sent_at=at) for n, at in enumerate(times)]
    word = Rejecting(backend="p1", service="plain", from_s=49.9, to_s=60.0)
    return make_history(calls, runs, rejecting=[word], **more)


def test_excuse_tries_of_a_server_that_rejects() -> None:
    assert "rejecting servers" not in find(make_rejecting(MAX_TRIES))
    assert "rejecting servers" not in find(make_rejecting(30, UNDER_WAY_S / 100))


def test_excuse_tries_while_other_servers_are_in_trouble() -> None:
    faults = [Fault(name="backend crash", began_at=51.0, ended_at=52.0)]
    assert "rejecting servers" not in find(make_rejecting(30, faults=faults))


def make_crowded(*, overrun: int, serving: int = LEAST_SERVING, **more: Any) -> History:
    """Return what servers of two places ran, some of it beyond what they may get."""
    slots = 2
    ids = [f"c{n}" for n in range(MIN_COMPARED)]
    full = slots + OVERCOMMIT
    runs = [
        make_run(id, at=50.0 + n / 100, running=full + (n < overrun))
        for n, id in enumerate(ids)
    ]
    crowded = Crowded(service="plain", slots=slots, from_s=50.0, to_s=60.0)
    calls = [
        make_call(id, instance=n % serving, sent_at=49.0) for n, id in enumerate(ids)
    ]
    return make_history(calls, runs, crowded=[crowded], **more)


def test_excuse_instances_that_chose_without_the_owner() -> None:
    few = int(MAX_OVERRUN * MIN_COMPARED)
    assert "crowded servers" not in find(make_crowded(overrun=few))


def test_excuse_crowded_servers_while_few_instances_serve() -> None:
    history = make_crowded(overrun=MIN_COMPARED, serving=LEAST_SERVING - 1)
    assert "crowded servers" not in find(history)


@pytest.mark.parametrize(
    "fault", ["kill", "pause", "backend link delay", "configuration: evacuation"]
)
def test_excuse_crowded_servers_until_an_owner_is_back(fault: str) -> None:
    faults = [Fault(name=fault, began_at=47.0, ended_at=50.0, instance=1)]
    history = make_crowded(overrun=MIN_COMPARED, faults=faults)
    assert "crowded servers" not in find(history)


def make_endless(longer: int, behaviour: str = "endless_head", **more: Any) -> History:
    """Return a history in which a server sent responses without end."""
    allowed = BUFFERED_BYTES + MAX_FRAMING_BYTES
    endless = [
        EndlessResponse(
            backend="p1", behaviour=behaviour, sent_bytes=allowed + (n < longer)
        )
        for n in range(9)
    ]
    return make_history([make_call()], [make_run()], endless=endless, **more)


def test_excuse_few_responses_without_end_and_whole_bodies() -> None:
    assert "endless responses" not in find(make_endless(MAX_LONGER))
    assert "endless responses" not in find(make_endless(9, "endless_body"))


def make_outage(**more: Any) -> History:
    """Return a history in which a request fails after a fault of the store."""
    first = make_call("c1", sent_at=20.0)
    late = make_call("c2", Kind.OPEN, status=503, sent_at=50.0)
    faults = [Fault(name="store busy", began_at=46.0, ended_at=48.0)]
    faults += more.pop("faults", [])
    return make_history([first, late], [], faults=faults, **more)


def test_excuse_failures_for_which_not_only_the_store_is_to_blame() -> None:
    faults = [Fault(name="term", began_at=45.0, ended_at=46.0, instance=0)]
    assert "store alone" not in find(make_outage(faults=faults))


BROKEN: list[tuple[str, History]] = [
    ("store alone", make_outage()),
    ("rejecting servers", make_rejecting(MAX_TRIES + 2)),
    ("endless responses", make_endless(MAX_LONGER + 1)),
    ("endless responses", make_endless(0, peak_mb={0: MEMORY_MB + 1.0})),
    (
        "crowded servers",
        make_crowded(overrun=int(MAX_OVERRUN * MIN_COMPARED) + 1),
    ),
    ("departures told", make_told(sent_at=50.2 + DRAIN_S)),
    ("withdrawn records", make_withdrawn(after_s=DRAIN_S + 0.1)),
    ("rests", make_rest(3)),
    ("partitions", make_partitioned(served=20)),
    (
        "brittle servers",
        make_history(
            [make_call()],
            [make_run()],
            brittle=[
                Brittle(
                    service="plain", servers=3, from_s=45.0, falls=["p1", "p2", "p3"]
                )
            ],
        ),
    ),
    ("whole", make_history([make_call(signed=False)], [make_run()])),
    ("whole", make_history([make_call(body=b"half")], [make_run()])),
    (
        "in order",
        make_history([make_call(kind=Kind.STREAM, event_ids=[1, 3])], [make_run()]),
    ),
    (
        "in order",
        make_history([make_call(kind=Kind.ONCE, event_ids=[1, 2])], [make_run()]),
    ),
    (
        "in order",
        make_history(
            [make_call(kind=Kind.STREAM, event_ids=[1, 2, 3], stray=b"id: 2")],
            [make_run()],
        ),
    ),
    (
        "once",
        make_history([make_call(kind=Kind.UNSAFE)], [make_run(), make_run()]),
    ),
    (
        "true refusals",
        make_history([make_call(status=503), *[make_call("c9")] * 20], [make_run()]),
    ),
    ("own account", make_history([make_call()], [make_run(account="malls")])),
    ("own account", make_history([make_call()], [make_run(leaked=True)])),
    ("own account", make_history([make_call()], [make_run("c7")])),
    (
        "revoked keys",
        make_history([make_call()], [make_run()], revoked={"k1": 45.0}),
    ),
    (
        "repeats",
        make_history([make_call()], [make_run()] * 80, faults=[]),
    ),
    (
        "crashing requests",
        make_history(
            [make_call(f"c{n}", sent_at=50.0 + n, mark="crash 1") for n in range(12)],
            [
                make_run(f"c{n}", backend=f"p{n}", at=50.05 + n)
                for n in (0, 1, 2, 8, 9, 10, 11)
            ],
        ),
    ),
    ("crashing parts", make_crashing_part(late=4)),
    ("beside crashing parts", make_crashing_part(status=503)),
    (
        "evacuated domains",
        make_history(
            [make_call()],
            [make_run(failure_domain="z1")],
            evacuated=[Evacuated(failure_domain="z1", from_s=46.0, to_s=60.0)],
        ),
    ),
    (
        "cold servers",
        make_history(
            [make_call(f"c{n}") for n in range(9)],
            [make_run(f"c{n}", at=50.0 + 0.1 * n, is_cold=True) for n in range(9)],
        ),
    ),
    (
        "limited servers",
        make_history(
            [make_call(f"c{n}") for n in range(40)],
            [make_run(f"c{n}", at=50.0 + 0.2 * n, limit=1.0) for n in range(40)],
        ),
    ),
    (
        "homes",
        make_history(
            [make_call()],
            [make_run(failure_domain="z1")],
            areas={"z1": "north"},
            homes=[
                Homes(kind=Kind.SAFE, from_s=40.0, areas=("north",)),
                Homes(kind=Kind.SAFE, from_s=45.0, areas=("south",)),
            ],
        ),
    ),
    (
        "not cut",
        make_history(
            [make_call(status=0, whole=False), *[make_call("c9")] * 20],
            [make_run()],
            faults=[Fault(name="term", began_at=49.0, ended_at=51.0, instance=0)],
        ),
    ),
    (
        "recovers",
        make_history([make_call(status=503), make_call("c2")], [make_run("c2")]),
    ),
    (
        "no own ends",
        make_history([make_call()], [make_run()], own_ends=["i0: code 1"]),
    ),
]


@pytest.mark.parametrize(("promise", "history"), BROKEN)
def test_find_a_broken_promise(promise: str, history: History) -> None:
    assert promise in find(history)


def test_try_every_promise() -> None:
    assert {promise for promise, _ in BROKEN} == set(PROMISES)


def test_excuse_few_failures_at_a_partitioned_instance() -> None:
    assert "partitions" not in find(make_partitioned(served=30))


def test_excuse_what_an_unplanned_fault_cuts() -> None:
    cut = make_call(status=0, whole=False)
    kill = Fault(name="kill", began_at=49.0, ended_at=51.0)
    calls = [cut, *[make_call("c9")] * 20]
    assert "not cut" not in find(make_history(calls, [make_run()], faults=[kill]))


@pytest.mark.parametrize(("lasted_s", "is_found"), [(1.95, True), (2.01, False)])
def test_excuse_what_its_own_time_limit_ended(lasted_s: float, is_found: bool) -> None:
    cut = make_call(
        kind=Kind.STREAM, whole=False, event_ids=[1, 2], ended_at=50.0 + lasted_s
    )
    found = find(make_history([cut], [make_run()]))
    assert ("not cut" in found) is is_found


def test_excuse_instances_that_could_not_know_of_a_crashing_request() -> None:
    numbers = (0, 1, 2, 8, 9, 10, 11)
    calls = [make_call(f"c{n}", sent_at=50.0 + n, mark="crash 1") for n in numbers]
    runs = [make_run(f"c{n}", backend=f"p{n}", at=50.05 + n) for n in numbers]
    pause = Fault(name="pause", began_at=57.0, ended_at=58.5, instance=0)
    found = find(make_history(calls, runs, faults=[pause]))
    assert "crashing requests" not in found


def test_excuse_what_came_within_the_bound_or_after_the_end() -> None:
    calls = [make_call(f"c{n}") for n in range(3)]
    runs = [
        make_run("c0", at=48.9, failure_domain="z1"),
        make_run("c1", at=52.1, failure_domain="z1"),
        make_run("c2", at=50.0, failure_domain="z2"),
    ]
    evacuated = [Evacuated(failure_domain="z1", from_s=46.0, to_s=52.0)]
    found = find(make_history(calls, runs, evacuated=evacuated))
    assert "evacuated domains" not in found


def test_excuse_homes_of_a_configuration_that_may_be_in_force() -> None:
    call = make_call(sent_at=46.5)
    run = make_run(at=46.6, failure_domain="z1")
    homes = [
        Homes(kind=Kind.SAFE, from_s=40.0, areas=("north",)),
        Homes(kind=Kind.SAFE, from_s=45.0, areas=("south",)),
    ]
    history = make_history([call], [run], areas={"z1": "north"}, homes=homes)
    assert "homes" not in find(history)
