"""Drawn versions that are bad in one way each, and good ones with the same troubles."""

from __future__ import annotations

import random
from collections.abc import Callable

import pytest

from baobabthread.core.positions import OperatorsPosition
from baobabthread.core.registry import Registry
from baobabthread.routing.canary import CanaryAnalysis, SentAttempt

DRAWS = 60
MAX_BAD = 50
"""Bad responses after which a bad version must be found."""
OLD_RESPONSES = 150
GOOD_RESPONSES = 300
MIN_FOUND = 0.98
MAX_MISTAKEN = 0.05

Respond = Callable[["Version", bool], None]
WAYS: Registry[Respond] = Registry(what="way of being bad")


class Version:
    """Responses of one version, of which a share is bad in one way."""

    def __init__(
        self, *, analysis: CanaryAnalysis, rng: random.Random, is_canary: bool
    ) -> None:
        self.analysis = analysis
        self.rng = rng
        self.is_canary = is_canary
        self.responses = 0
        self.bad = 0

    def respond(self, way: str, share: float) -> None:
        """Give one response."""
        is_bad = self.rng.random() < share
        self.responses += 1
        self.bad += is_bad
        WAYS.get(way)(self, is_bad)

    def send(self, *, call: str = "c") -> SentAttempt:
        """Begin an attempt of a session of its own."""
        return SentAttempt(
            is_canary=self.is_canary,
            call=call,
            kind=call,
            at=0.0,
            expected_s=0.1,
            session=f"s{self.responses}",
        )

    def answer(self, sent: SentAttempt, *, failed: bool, latency_s: float = 0.1) -> int:
        """Answer an attempt, or give the first event of its stream."""
        ticket = self.analysis.start_attempt(sent)
        self.analysis.finish_attempt(ticket, failed=failed, now=latency_s)
        return ticket

    def play_stream(self, *, gap_s: float, gaps: int) -> None:
        """Give a whole stream."""
        sent = self.send()
        ticket = self.answer(sent, failed=False)
        at = 0.1
        pace = self.analysis.watch_stream(ticket, sent, at)
        for _ in range(gaps):
            at += gap_s * self.rng.uniform(0.8, 1.25)
            pace.end_wait(at)
            pace.begin_wait(at)
        self.analysis.judge_pace(ticket, at, is_over=True)
        self.analysis.observe_ending(sent, is_whole=True)


@WAYS.register("fails")
def fail(version: Version, is_bad: bool) -> None:
    """Answer with a failure."""
    version.answer(version.send(), failed=is_bad)


@WAYS.register("fails on one route")
def fail_on_one_route(version: Version, is_bad: bool) -> None:
    """Answer with failures on one of two routes only."""
    version.answer(version.send(call="d"), failed=False)
    version.answer(version.send(), failed=is_bad)


@WAYS.register("breaks off bodies")
def break_body(version: Version, is_bad: bool) -> None:
    """Break off a body."""
    if is_bad:
        version.analysis.observe_break(version.send())
    else:
        version.answer(version.send(), failed=False)


@WAYS.register("breaks off streams")
def break_stream(version: Version, is_bad: bool) -> None:
    """Break off a stream after its first event."""
    sent = version.send()
    version.answer(sent, failed=False)
    version.analysis.observe_ending(sent, is_whole=not is_bad)


@WAYS.register("is late")
def delay(version: Version, is_bad: bool) -> None:
    """Answer six times as late."""
    version.answer(version.send(), failed=False, latency_s=0.6 if is_bad else 0.1)


@WAYS.register("sends events late")
def delay_events(version: Version, is_bad: bool) -> None:
    """Give the events of a long stream six times as slowly."""
    version.play_stream(gap_s=1.2 if is_bad else 0.2, gaps=6)


@WAYS.register("sends few events late")
def delay_few_events(version: Version, is_bad: bool) -> None:
    """Give the second of two events six times as late."""
    version.play_stream(gap_s=1.2 if is_bad else 0.2, gaps=1)


@WAYS.register("refuses")
def refuse(version: Version, is_bad: bool) -> None:
    """Refuse a sound request."""
    sent = version.send()
    version.answer(sent, failed=False)
    version.analysis.observe_refusal(sent, is_refused=is_bad)


def draw_versions(seed: int, way: str) -> tuple[Version, float]:
    """Return the new version, after responses of the old one, and the usual trouble."""
    rng = random.Random(f"{way}/{seed}")
    analysis = CanaryAnalysis(number=OperatorsPosition(offset=1))
    usual = rng.uniform(0.0, 0.03)
    old = Version(analysis=analysis, rng=rng, is_canary=False)
    for _ in range(OLD_RESPONSES):
        old.respond(way, usual)
    return Version(analysis=analysis, rng=rng, is_canary=True), usual


@pytest.mark.parametrize("good_first", [0, 40])
@pytest.mark.parametrize("way", list(WAYS))
def test_find_versions_that_are_bad_in_any_way(way: str, good_first: int) -> None:
    """A version that broke off answers, or sent events late, was promoted."""
    found = 0
    for seed in range(DRAWS):
        new, usual = draw_versions(seed, way)
        for _ in range(good_first):
            new.respond(way, usual)
        share = new.rng.uniform(0.3, 0.59)
        new.bad = 0
        while new.analysis.alarm is None and new.bad < MAX_BAD:
            new.respond(way, share)
        found += new.analysis.alarm is not None
    assert found >= MIN_FOUND * DRAWS


@pytest.mark.parametrize("way", list(WAYS))
def test_mistake_no_good_version(way: str) -> None:
    """A good version has the troubles of the old one, as often."""
    mistaken = 0
    for seed in range(DRAWS):
        new, usual = draw_versions(seed, way)
        for _ in range(GOOD_RESPONSES):
            new.respond(way, usual)
        mistaken += new.analysis.alarm is not None or new.analysis.looks_worse
    assert mistaken <= MAX_MISTAKEN * DRAWS
