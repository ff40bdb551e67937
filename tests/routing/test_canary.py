"""Tests of the statistical analysis of a canary version."""

from __future__ import annotations

from collections.abc import Sequence

import pytest

from baobabthread.core.positions import OperatorsPosition
from baobabthread.routing.canary import STALL_S, CanaryAnalysis, SentAttempt
from baobabthread.routing.configuration import RolloutOrder
from baobabthread.routing.versions import VersionPlan
from tests.routing.rollouts import (
    BOUNDS,
    LIMIT_S,
    begin_rollout,
    observe_latency,
    observe_responses,
)


def feed(
    analysis: CanaryAnalysis, *, is_canary: bool, count: int, bad_every: int
) -> int:
    """Feed responses, failing one in `bad_every`; return how many until the alarm."""
    for number in range(1, count + 1):
        analysis.observe_response(
            is_canary=is_canary,
            call="c",
            kind="c",
            failed=bool(bad_every) and number % bad_every == 0,
            latency_s=0.1,
        )
        if analysis.alarm is not None:
            return number
    return count + 1


def start_attempt(analysis: CanaryAnalysis, *, is_canary: bool, at: float) -> int:
    return analysis.start_attempt(
        SentAttempt(is_canary=is_canary, call="c", kind="c", at=at, expected_s=0.1)
    )


def make_analysis() -> CanaryAnalysis:
    """Return an analysis in which the old version takes twice the expected time."""
    analysis = CanaryAnalysis(number=OperatorsPosition(offset=1))
    for _ in range(60):
        analysis.finish_attempt(
            start_attempt(analysis, is_canary=False, at=0.0), failed=False, now=0.2
        )
    return analysis


def test_alarm_on_a_version_that_fails_a_third_of_its_requests() -> None:
    analysis = CanaryAnalysis(number=OperatorsPosition(offset=1))
    feed(analysis, is_canary=False, count=200, bad_every=0)
    assert feed(analysis, is_canary=True, count=60, bad_every=3) <= 30


def test_no_alarm_on_failures_shared_with_the_old_version() -> None:
    analysis = CanaryAnalysis(number=OperatorsPosition(offset=1))
    feed(analysis, is_canary=False, count=300, bad_every=7)
    feed(analysis, is_canary=True, count=300, bad_every=7)
    assert analysis.alarm is None


def test_alarm_on_a_slow_version() -> None:
    analysis = CanaryAnalysis(number=OperatorsPosition(offset=1))
    feed(analysis, is_canary=False, count=50, bad_every=0)
    for _ in range(12):
        analysis.observe_response(
            is_canary=True, call="c", kind="c", failed=False, latency_s=0.8
        )
    assert analysis.alarm is not None
    assert "latency" in analysis.alarm


def respond_after(
    analysis: CanaryAnalysis, latency_s: float, *, is_canary: bool, count: int
) -> None:
    """Record responses with a latency, expected within ten milliseconds."""
    for _ in range(count):
        sent = SentAttempt(
            is_canary=is_canary, call="c", kind="c", at=0.0, expected_s=0.01
        )
        analysis.finish_attempt(
            analysis.start_attempt(sent), failed=False, now=latency_s
        )


@pytest.mark.parametrize(("new_s", "is_worse"), [(0.015, False), (0.09, True)])
def test_few_milliseconds_are_not_slow(new_s: float, is_worse: bool) -> None:
    """Servers of a good version answer short requests over new connections.

    On a busy machine this takes more than twice the usual few milliseconds, which must
    not roll back a good version.
    """
    analysis = CanaryAnalysis(number=OperatorsPosition(offset=1))
    respond_after(
        analysis, 0.003 if new_s < 0.02 else 0.0225, is_canary=False, count=200
    )
    respond_after(analysis, new_s, is_canary=True, count=11)
    assert analysis.looks_worse is is_worse


def test_no_alarm_on_a_cluster_of_slow_responses() -> None:
    """A server is lost while a good version is promoted; a dozen responses are late.

    The old version has as many late responses, spread out. In a cluster they would win
    the bet and roll the version back, although nine in ten responses are fast.
    """
    analysis = CanaryAnalysis(number=OperatorsPosition(offset=1))
    for number in range(160):
        observe_latency(analysis, 2.0 if number % 8 == 7 else 0.1, is_canary=False)
    for _ in range(109):
        observe_latency(analysis, 0.1, is_canary=True)
    for _ in range(13):
        observe_latency(analysis, 2.0, is_canary=True)
    assert analysis.alarm is None


def test_no_latency_alarm_in_the_final_phase() -> None:
    """In a burst while a good version is promoted, half of its responses are late.

    No requests run on the old version that would show the same.
    """
    plan = begin_rollout()
    observe_responses(plan)
    plan.begin_final_phase(23.0)
    for number in range(40):
        observe_latency(plan.analysis, 2.0 if number % 2 else 0.1, is_canary=True)
    assert plan.analysis.alarm is None


def test_overdue_attempts_count_as_slow() -> None:
    """A version eight times slower is promoted before its responses arrive.

    Only its fast responses would be known by then.
    """
    analysis = make_analysis()
    tickets = [start_attempt(analysis, is_canary=True, at=10.0) for _ in range(4)]
    analysis.count_overdue(10.3)
    assert "new_latency" not in analysis.describe()
    analysis.count_overdue(10.6)
    assert "new_latency:4/4" in analysis.describe()
    for ticket in tickets:
        analysis.finish_attempt(ticket, failed=False, now=11.6)
    assert "new_latency:4/4" in analysis.describe()
    assert "new_errors:0/4" in analysis.describe()


def test_cancelled_attempts_are_not_counted() -> None:
    analysis = make_analysis()
    analysis.cancel_attempt(start_attempt(analysis, is_canary=True, at=10.0))
    analysis.finish_attempt(
        start_attempt(analysis, is_canary=True, at=10.0), failed=None, now=10.1
    )
    analysis.count_overdue(20.0)
    assert "new" not in analysis.describe()
    analysis.finish_attempt(
        start_attempt(analysis, is_canary=True, at=20.0), failed=None, now=21.0
    )
    assert "new_latency:1/1" in analysis.describe()


def test_expected_latency_accounts_for_uncached_prompts() -> None:
    """Canary servers process each prompt completely, three times as long as usual."""
    analysis = make_analysis()
    for number in range(30):
        sent = SentAttempt(
            is_canary=True, call="c", kind="c", at=float(number), expected_s=0.3
        )
        analysis.finish_attempt(
            analysis.start_attempt(sent), failed=False, now=number + 0.6
        )
    assert "new_latency:0/30" in analysis.describe()


def test_evidence_of_each_instance_counts_once() -> None:
    """Three instances see two failures each, too few for an alarm on their own.

    Their counts arrive by gossip, late and repeatedly.
    """
    analyses = [CanaryAnalysis(number=OperatorsPosition(offset=1)) for _ in range(3)]
    for analysis in analyses:
        feed(analysis, is_canary=False, count=30, bad_every=0)
        feed(analysis, is_canary=True, count=2, bad_every=1)
        assert analysis.alarm is None
    first = analyses[0]
    for _ in range(3):
        for number, other in enumerate(analyses[1:]):
            first.merge(f"i{number}", other.evidence())
    assert first.seen == 6
    assert first.alarm is not None


def test_baselines_persist_across_rollouts() -> None:
    """A service with few requests has a slow canary for some seconds.

    If each roll-out first needed eight responses of the old version for each kind, only
    six of fifteen responses would be evaluated, two of them slow, and the slow version
    would succeed.
    """
    plan = VersionPlan(service="s", bounds=BOUNDS)
    for _ in range(8):
        plan.analysis.finish_attempt(
            start_attempt(plan.analysis, is_canary=False, at=0.0), failed=False, now=0.2
        )
    order = RolloutOrder(offset=1, service="s", target="v2", time_limit_s=LIMIT_S)
    plan.apply_order(order, 1.0)
    for _ in range(3):
        plan.analysis.finish_attempt(
            start_attempt(plan.analysis, is_canary=True, at=2.0), failed=False, now=2.9
        )
    assert "new_latency:3/3" in plan.analysis.describe()
    assert "old" not in plan.analysis.describe()
    assert plan.analysis.looks_worse


def play_stream(
    analysis: CanaryAnalysis, gap_s: float, *, is_canary: bool, gaps: int = 6
) -> None:
    """Let a stream arrive with equal gaps between its events."""
    sent = SentAttempt(is_canary=is_canary, call="c", kind="c", at=0.0, expected_s=0.1)
    ticket = analysis.start_attempt(sent)
    analysis.finish_attempt(ticket, failed=False, now=0.1)
    pace = analysis.watch_stream(ticket, sent, 0.1)
    at = 0.1
    for _ in range(gaps):
        at += gap_s
        analysis.count_overdue(at)
        pace.end_wait(at)
        pace.begin_wait(at)
    analysis.judge_pace(ticket, at, is_over=True)
    analysis.observe_ending(sent, is_whole=True)


def test_alarm_for_streams_whose_events_arrive_slowly() -> None:
    """A version was promoted whose streams began in time and went on slowly."""
    analysis = CanaryAnalysis(number=OperatorsPosition(offset=1))
    for _ in range(30):
        play_stream(analysis, 0.2, is_canary=False)
    for _ in range(6):
        play_stream(analysis, 0.2, is_canary=True)
    assert analysis.alarm is None
    assert not analysis.looks_worse
    for number in range(20):
        play_stream(analysis, 1.2 if number % 2 else 0.2, is_canary=True)
    assert analysis.alarm is not None
    assert analysis.alarm.startswith("pace")


@pytest.mark.parametrize("gaps", [1, 2])
def test_alarm_for_slow_streams_of_few_events(gaps: int) -> None:
    """A version was promoted whose streams had too few events for a pace."""
    analysis = CanaryAnalysis(number=OperatorsPosition(offset=1))
    for _ in range(30):
        play_stream(analysis, 0.2, is_canary=False, gaps=gaps)
        play_stream(analysis, 0.2, is_canary=False, gaps=9)
    for _ in range(6):
        play_stream(analysis, 0.2, is_canary=True, gaps=gaps)
    assert analysis.alarm is None
    assert not analysis.looks_worse
    for number in range(20):
        play_stream(analysis, 1.2 if number % 2 else 0.2, is_canary=True, gaps=gaps)
    assert analysis.alarm is not None
    assert analysis.alarm.startswith("pace")


def test_count_a_stream_that_stands_still_after_its_first_event() -> None:
    """A version whose streams never end showed nothing against it."""
    analysis = CanaryAnalysis(number=OperatorsPosition(offset=1))
    sent = SentAttempt(is_canary=True, call="c", kind="c", at=0.0, expected_s=0.1)
    ticket = analysis.start_attempt(sent)
    analysis.finish_attempt(ticket, failed=False, now=0.1)
    analysis.watch_stream(ticket, sent, 0.1)
    analysis.count_overdue(0.1 + STALL_S - 0.1)
    assert "new_pace" not in analysis.describe()
    analysis.count_overdue(0.1 + STALL_S)
    assert "new_pace:1/1" in analysis.describe()


def test_accept_streams_that_are_slower_under_load() -> None:
    analysis = CanaryAnalysis(number=OperatorsPosition(offset=1))
    for _ in range(30):
        play_stream(analysis, 0.2, is_canary=False)
    for _ in range(60):
        play_stream(analysis, 0.45, is_canary=True)
    assert analysis.alarm is None
    assert not analysis.looks_worse


@pytest.mark.parametrize("in_stream", [False, True])
def test_alarm_for_responses_that_are_broken_off(in_stream: bool) -> None:
    """A version was promoted that broke off half of its answers after their head."""
    analysis = CanaryAnalysis(number=OperatorsPosition(offset=1))
    for is_canary in (False, True):
        sent = SentAttempt(
            is_canary=is_canary, call="c", kind="c", at=0.0, expected_s=0.1
        )
        for number in range(40):
            is_bad = is_canary and number % 2 == 1
            if in_stream:
                analysis.observe_ending(sent, is_whole=not is_bad)
            elif is_bad:
                analysis.observe_break(sent)
            else:
                ticket = analysis.start_attempt(sent)
                analysis.finish_attempt(ticket, failed=False, now=0.1)
    assert analysis.alarm is not None
    assert analysis.looks_worse


def play_sessions(
    analysis: CanaryAnalysis, *, is_canary: bool, refused: Sequence[bool], times: int
) -> None:
    """Let each session get so many responses, all of them refusals or none."""
    for number, is_refused in enumerate(refused):
        for _ in range(times):
            sent = SentAttempt(
                is_canary=is_canary,
                call="c",
                kind="c",
                at=0.0,
                expected_s=0.1,
                session=f"s{number}",
            )
            analysis.observe_refusal(sent, is_refused=is_refused)


def test_alarm_for_a_version_that_refuses_sound_requests() -> None:
    """A version was promoted that answered half of its requests with a status 4xx."""
    analysis = CanaryAnalysis(number=OperatorsPosition(offset=1))
    play_sessions(analysis, is_canary=False, refused=[False] * 60, times=1)
    play_sessions(analysis, is_canary=True, refused=[True, False] * 15, times=1)
    assert analysis.alarm is not None
    assert analysis.alarm.startswith("refusals")


def test_no_alarm_for_one_caller_with_wrong_requests() -> None:
    """A good version would be taken back for a session that any version refuses."""
    analysis = CanaryAnalysis(number=OperatorsPosition(offset=1))
    play_sessions(analysis, is_canary=False, refused=[False] * 60, times=1)
    refused = [True] + [False] * 20
    play_sessions(analysis, is_canary=True, refused=refused, times=50)
    assert analysis.alarm is None
    assert not analysis.looks_worse
