"""Tests of idempotency keys at running entries: a dispatch runs at most once."""

from __future__ import annotations

import asyncio

import pytest

from tests.shell import DISPATCH, Shell, bind, mint, run_case

VILLAGE = {"village": "Bagula"}


def count_effects(shell: Shell) -> int:
    plain = [shell.fleet.plain(name) for name in ("w1", "w2")]
    return sum(server.runs.total for server in plain)


@pytest.mark.parametrize("bound", [True, False], ids=["bound", "free"])
def test_repeat_of_a_key_gets_the_stored_answer(bound: bool) -> None:
    """A caller repeats a dispatch whose answer it may not have seen.

    The first one ran. Its repeat, after it and beside it, must not run again: both
    get the answer that is stored under the key.
    """

    async def case(shell: Shell) -> None:
        key = bind(shell.entries[0], "w1") if bound else mint("w1")
        first, beside = await asyncio.gather(shell.dispatch(key), shell.dispatch(key))
        after = await shell.dispatch(key)
        assert [each.status for each in (first, beside, after)] == [200] * 3
        assert first.body == beside.body == after.body
        assert first.json["result"]["echo"] == {"village": "Bagula"}
        assert count_effects(shell) == 1

    run_case(case)


@pytest.mark.parametrize("bound", [True, False], ids=["bound", "free"])
def test_repeat_at_another_entry_runs_once(bound: bool) -> None:
    """A caller repeats a dispatch at another entry, as after a lost connection.

    The entry that did not run it asks or reads who holds the key. The caller gets the
    stored answer, and the backend servers saw one run.
    """

    async def case(shell: Shell) -> None:
        key = bind(shell.entries[0], "w1") if bound else mint("w1")
        first = await shell.dispatch(key, entry=0)
        again = await shell.dispatch(key, entry=1)
        assert [first.status, again.status] == [200, 200]
        assert first.body == again.body
        assert count_effects(shell) == 1

    run_case(case, entries=2)


def test_key_with_another_body_is_refused() -> None:
    async def case(shell: Shell) -> None:
        key = bind(shell.entries[0], "w1")
        await shell.dispatch(key)
        answer = await shell.dispatch(key, body={"village": "Krishnaganj"})
        assert answer.status == 422
        assert answer.json["kind"] == "key_reused"
        assert answer.json["ran"] == "no"
        assert count_effects(shell) == 1

    run_case(case)


def test_expired_key_is_refused() -> None:
    async def case(shell: Shell) -> None:
        answer = await shell.dispatch(mint("w1", age_s=5_000))
        assert answer.status == 422
        assert answer.json["kind"] == "key_expired"
        assert answer.json["ran"] == "unknown"
        assert count_effects(shell) == 0

    run_case(case)


def test_refused_dispatch_may_run_under_its_key() -> None:
    """A dispatch is refused by all backend servers, then repeated under its key.

    They say that it was not run, and so does the entry. The key is free again, so
    that the repeat runs once they take work.
    """

    async def case(shell: Shell) -> None:
        for name in ("w1", "w2"):
            shell.fleet.plain(name).set_faults({"refuse": True})
        refused = await shell.dispatch(key := mint("w1"))
        assert refused.status in {429, 503}
        assert refused.json["ran"] == "no"
        for name in ("w1", "w2"):
            shell.fleet.plain(name).set_faults({})
        assert count_effects(shell) == 0
        async with asyncio.timeout(20):
            while (answer := await shell.dispatch(key)).status != 200:
                assert answer.json["ran"] == "no"
                await asyncio.sleep(0.1)
        assert count_effects(shell) == 1

    run_case(case)


def test_lost_reply_of_a_dispatch_is_not_run_again() -> None:
    """A backend server runs a dispatch and its reply is lost.

    The caller is told that nobody knows whether it ran; a repeat under the same key
    gets that answer again and runs nothing.
    """

    async def case(shell: Shell) -> None:
        for name in ("w1", "w2"):
            shell.fleet.plain(name).set_faults({"lose_replies": 1.0})
        key = bind(shell.entries[0], "w1")
        first = await shell.dispatch(key)
        again = await shell.dispatch(key)
        assert [first.status, again.status] == [502, 502]
        assert first.json["ran"] == again.json["ran"] == "unknown"
        assert count_effects(shell) == 1

    run_case(case)


def test_repeat_keeps_its_own_deadline() -> None:
    """A caller repeats a dispatch that still runs, and gives the repeat less time.

    The repeat waits for the running one, which must not run twice. At its own deadline
    it is answered that nobody knows yet; the first gets its answer later.
    """

    async def case(shell: Shell) -> None:
        for name in ("w1", "w2"):
            shell.fleet.plain(name).set_faults({"freeze": True})
        key = bind(shell.entries[0], "w1")
        first = asyncio.ensure_future(shell.dispatch(key))
        await shell.wait_until(lambda: len(shell.entries[0].core.requests) == 1)
        headers = {"Idempotency-Key": key, "X-Deadline-Ms": "200"}
        again = await shell.ask("POST", DISPATCH, body=VILLAGE, headers=headers)
        assert (again.status, again.json["kind"]) == (504, "deadline")
        assert again.json["ran"] == "unknown"
        assert not first.done()
        for name in ("w1", "w2"):
            shell.fleet.plain(name).set_faults({})
        assert (await first).status == 200
        assert count_effects(shell) == 1

    run_case(case)


def test_late_claim_is_not_run_after_its_deadline() -> None:
    """The log acknowledges a free key after the deadline of its request.

    The caller is told at its deadline that it was not run. The claim that arrives
    then runs nothing, and frees the key: a repeat runs, once.
    """

    async def case(shell: Shell) -> None:
        log = shell.fleet.platform.log
        log.set_faults({"delay_ms": 800})
        headers = {"Idempotency-Key": (key := mint("w1")), "X-Deadline-Ms": "200"}
        late = await shell.ask("POST", DISPATCH, body=VILLAGE, headers=headers)
        assert (late.status, late.json["kind"]) == (504, "deadline")
        assert late.json["ran"] == "no"
        log.set_faults({})
        assert count_effects(shell) == 0
        async with asyncio.timeout(20):
            while (answer := await shell.dispatch(key)).status != 200:
                assert answer.json["ran"] == "no"
                await asyncio.sleep(0.1)
        assert count_effects(shell) == 1

    run_case(case)
