"""Test the claims of one entry, decision by decision."""

from __future__ import annotations

import msgspec

from baobabthread.core.claims.claims import Claims
from baobabthread.core.claims.handover import HandOver, Outcome
from baobabthread.core.claims.types import (
    ClaimRequest,
    ClaimSettings,
    Dispatch,
    Forward,
    Join,
    Refuse,
    Replay,
)
from baobabthread.core.messages import (
    Append,
    AppendFailed,
    Effects,
    LogRead,
    LogRecord,
    Send,
    Stream,
)
from baobabthread.errors import Kind, Problem, Ran

WALL_S = 1_000_000_000.0
FREE = "warn-1~1000000000"
BOUND = "e1.1/warn-1~1000000000"


def make_claims(incarnation: str = "e1.1", **settings: float) -> Claims:
    return Claims(
        incarnation=incarnation,
        settings=msgspec.convert(settings, ClaimSettings),
        wall_offset_s=WALL_S,
    )


def make_request(key: str, **fields: str) -> ClaimRequest:
    given = {"request_id": "r1", "account": "a", "body_hash": "h", **fields}
    return ClaimRequest(key=key, **given)  # type: ignore[arg-type]


def read(claims: Claims, *appends: Append, now: float = 1.0, start: int = 0) -> Effects:
    records = [
        LogRecord(offset=start + i + 1, id=a.id, body=msgspec.Raw(a.body))
        for i, a in enumerate(appends)
    ]
    head = start + len(records)
    event = LogRead(stream=Stream.CLAIMS, records=records, head=head, first=1)
    return claims.on_log_read(event, now)


def get_problem(effects: Effects) -> Problem:
    assert len(effects) == 1
    assert isinstance(effects[0], Refuse)
    return effects[0].problem


def run(claims: Claims, key: str) -> None:
    effects = claims.begin(make_request(key), 1.0)
    claims.finished(effects[0].key, Outcome(ran=Ran.YES, body=b"sent"), 1.0)


def test_bound_key_is_dispatched_without_the_log() -> None:
    effects = make_claims().begin(make_request(BOUND), 1.0)
    assert [type(effect) for effect in effects] == [Dispatch]


def test_bound_key_of_another_incarnation_is_forwarded() -> None:
    effects = make_claims("e2.1").begin(make_request(BOUND), 1.0)
    assert effects == [Forward(request_id="r1", incarnation="e1.1")]


def test_bound_key_of_a_gone_incarnation_is_unknown_at_once() -> None:
    claims = make_claims("e2.1")
    claims.mark_gone("e1.1")
    problem = get_problem(claims.begin(make_request(BOUND), 1.0))
    assert (problem.kind, problem.ran) == (Kind.OWNER_GONE, Ran.UNKNOWN)


def test_free_key_is_dispatched_after_the_read_back() -> None:
    claims = make_claims()
    [append] = claims.begin(make_request(FREE), 1.0)
    [dispatch] = read(claims, append)
    assert isinstance(dispatch, Dispatch)


def test_second_claim_is_told_who_has_the_key() -> None:
    one, other = make_claims("e1.1"), make_claims("e2.1")
    [first] = one.begin(make_request(FREE), 1.0)
    [second] = other.begin(make_request(FREE), 1.0)
    assert read(other, first, second) == [Forward(request_id="r1", incarnation="e1.1")]


def test_repeat_joins_and_gets_the_answer() -> None:
    claims = make_claims()
    [dispatch] = claims.begin(make_request(BOUND), 1.0)
    joined = claims.begin(make_request(BOUND, request_id="r2"), 1.0)
    assert [type(effect) for effect in joined] == [Join]
    outcome = Outcome(ran=Ran.YES, body=b"sent")
    replay = Replay(request_id="r2", outcome=outcome)
    assert claims.finished(dispatch.key, outcome, 2.0) == [replay]
    later = claims.begin(make_request(BOUND, request_id="r3"), 3.0)
    assert later == [Replay(request_id="r3", outcome=outcome)]


def test_answer_is_kept_for_a_bounded_time() -> None:
    claims = make_claims(answer_lifetime_s=10.0)
    run(claims, BOUND)
    claims.expire(20.0)
    problem = get_problem(claims.begin(make_request(BOUND), 20.0))
    assert (problem.kind, problem.ran) == (Kind.KEY_EXPIRED, Ran.YES)


def test_request_that_did_not_run_may_be_repeated() -> None:
    claims = make_claims()
    [dispatch] = claims.begin(make_request(BOUND), 1.0)
    claims.finished(dispatch.key, Outcome(ran=Ran.NO), 1.0)
    assert isinstance(claims.begin(make_request(BOUND), 2.0)[0], Dispatch)


def test_key_with_another_body_is_refused() -> None:
    claims = make_claims()
    run(claims, BOUND)
    problem = get_problem(claims.begin(make_request(BOUND, body_hash="x"), 2.0))
    assert (problem.kind, problem.ran) == (Kind.KEY_REUSED, Ran.NO)


def test_keys_are_scoped_by_account() -> None:
    claims = make_claims()
    run(claims, BOUND)
    effects = claims.begin(make_request(BOUND, account="b"), 2.0)
    assert isinstance(effects[0], Dispatch)


def test_old_key_is_refused_not_forgotten() -> None:
    claims = make_claims(key_lifetime_s=60.0)
    run(claims, BOUND)
    claims.expire(100.0)
    assert claims.describe()["keys"] == 0
    problem = get_problem(claims.begin(make_request(BOUND), 100.0))
    assert (problem.kind, problem.ran) == (Kind.KEY_EXPIRED, Ran.UNKNOWN)


def test_free_key_without_mint_time_is_refused() -> None:
    problem = get_problem(make_claims().begin(make_request("warn-1"), 1.0))
    assert (problem.kind, problem.ran) == (Kind.BAD_REQUEST, Ran.NO)
    assert "unix seconds" in problem.remedy


def test_key_from_the_future_is_refused() -> None:
    problem = get_problem(make_claims().begin(make_request("k~1000000999"), 1.0))
    assert problem.kind is Kind.BAD_REQUEST


def test_memory_of_keys_is_bounded() -> None:
    claims = make_claims(max_keys=10, max_unminted=5)
    for number in range(50):
        run(claims, f"e1.1/k{number}~{1_000_000_000 + number}")
        claims.begin(make_request(f"e1.1/k{number}"), 1.0)
    assert claims.describe()["keys"] <= 15
    problem = get_problem(claims.begin(make_request("e1.1/k99"), 1.0))
    assert (problem.kind, problem.ran) == (Kind.OVERLOADED, Ran.NO)


def test_log_outage_refuses_free_keys_at_once() -> None:
    claims = make_claims()
    [append] = claims.begin(make_request(FREE), 1.0)
    failed = AppendFailed(stream=Stream.CLAIMS, id=append.id, definite=True)
    problem = get_problem(claims.on_append_failed(failed, 1.0))
    assert (problem.kind, problem.ran) == (Kind.LOG_UNAVAILABLE, Ran.NO)
    assert "INCARNATION/" in problem.remedy
    again = get_problem(claims.begin(make_request(FREE), 1.1))
    assert again.kind is Kind.LOG_UNAVAILABLE
    assert isinstance(claims.begin(make_request(BOUND), 1.1)[0], Dispatch)


def test_slow_claim_is_given_up_and_released() -> None:
    claims = make_claims(claim_wait_s=3.0)
    [claim] = claims.begin(make_request(FREE), 1.0)
    refuse, release = claims.expire(4.5)
    assert refuse.problem.ran is Ran.NO
    assert read(claims, claim, release, now=5.0) == []
    [again] = claims.begin(make_request(FREE), 6.0)
    assert isinstance(read(claims, again, now=6.1, start=2)[0], Dispatch)


def test_deadline_that_passed_is_not_dispatched() -> None:
    claims = make_claims()
    request = msgspec.structs.replace(make_request(FREE), deadline_at=1.5)
    [claim] = claims.begin(request, 1.0)
    refuse, _ = read(claims, claim, now=2.0)
    assert refuse.problem.ran is Ran.NO


def test_hand_over_lets_peers_answer() -> None:
    owner, peer = make_claims("e1.1"), make_claims("e2.1")
    run(owner, BOUND)
    for effect in owner.hand_over(["e2.1"], 2.0):
        assert isinstance(effect, Send)
        assert isinstance(effect.message, HandOver)
        peer.on_hand_over(effect.message, 2.0)
    [replay] = peer.begin(make_request(BOUND), 3.0)
    assert isinstance(replay, Replay)
    assert replay.outcome.body == b"sent"
    never = "e1.1/other~1000000000"
    assert get_problem(peer.begin(make_request(never), 3.0)).ran is Ran.NO
    assert get_problem(owner.begin(make_request(never), 3.0)).kind is Kind.LEAVING


def test_peer_frees_a_key_that_a_stopped_owner_never_ran() -> None:
    owner, peer = make_claims("e1.1"), make_claims("e2.1")
    [claim] = owner.begin(make_request(FREE), 1.0)
    read(peer, claim)
    for effect in owner.hand_over(["e2.1"], 2.0):
        if isinstance(effect, Send):
            assert isinstance(effect.message, HandOver)
            peer.on_hand_over(effect.message, 2.0)
    refuse, release = peer.begin(make_request(FREE), 3.0)
    assert refuse.problem.ran is Ran.NO
    read(peer, release, start=1)
    [again] = peer.begin(make_request(FREE), 4.0)
    assert isinstance(read(peer, again, now=4.0, start=2)[0], Dispatch)
