"""Tests of the cascade rules."""

from __future__ import annotations

import random
from collections.abc import Sequence

import pytest

from baobabthread.core.models.aim import GRACE_S, find_aim
from baobabthread.core.models.cascade import CASCADE_RULES, CascadeRule
from baobabthread.core.models.evidence import SharedEvidence
from baobabthread.core.requests.attempts import (
    Attempt,
    Offer,
    Rating,
    Sampler,
    VersionCost,
)
from baobabthread.errors import UsageError

COSTS = (VersionCost(name="small", cost=1.0), VersionCost(name="large", cost=15.0))
NAMES = ("small", "large")


def build(name: str, *, target: float = 0.9) -> CascadeRule:
    return CASCADE_RULES.get(name)(costs=COSTS, target=target, random=random.Random(1))


def accept(
    rule: CascadeRule,
    signal: float | None,
    *,
    version: str = "small",
    is_last: bool = False,
    remaining_s: float = 30.0,
    key: str = "k",
    now: float = 0.0,
) -> bool:
    return rule.accept(
        Offer(
            key=key,
            call="draft",
            versions=NAMES,
            version=version,
            after="",
            signal=signal,
            is_last=is_last,
            remaining_s=remaining_s,
            expected_next_s=2.0,
        )
    )


class World:
    """Answer requests with versions whose goodness the signal tells in part."""

    def __init__(self, rules: Sequence[CascadeRule], *, seed: int) -> None:
        self.rules = rules
        self.source = random.Random(seed)
        self.now = 0.0
        self.served: list[bool] = []
        self.cost = 0.0
        self.number = 0

    def run(self, count: int, *, hard: float, ratings: bool = True) -> None:
        """Answer requests of which a share is hard for the cheap version."""
        self.served.clear()
        self.cost = 0.0
        for _ in range(count):
            self.number += 1
            self.now += 0.05
            if self.number % 80 == 0:
                self.gossip()
            self.answer(hard, ratings)

    def gossip(self) -> None:
        """Let every entry hear every other one."""
        for sender, rule in enumerate(self.rules):
            evidence = rule.evidence()
            for receiver in self.rules:
                if receiver is not rule:
                    origin = f"entry-{sender}"
                    receiver.merge(origin=origin, evidence=evidence, now=self.now)

    def answer(self, hard: float, ratings: bool) -> None:
        """Answer one request at one entry."""
        rule = self.rules[self.number % len(self.rules)]
        key = f"r{self.number}"
        is_hard = self.source.random() < hard
        signal = self.source.gauss(0.6 if is_hard else 0.9, 0.08)
        order = rule.plan(key=key, call="draft", versions=NAMES, now=self.now)
        for version in order:
            chance = 0.97 if version == "large" else (0.2 if is_hard else 0.97)
            good = self.source.random() < chance
            is_last = version == order[-1]
            served = accept(
                rule, signal, version=version, is_last=is_last, key=key, now=self.now
            )
            self.cost += 15.0 if version == "large" else 1.0
            attempt = Attempt(
                key=key,
                call="draft",
                version=version,
                signal=signal,
                tokens=1000,
                served=served,
            )
            if rule.wants_rating(attempt, now=self.now) and ratings:
                rating = Rating(
                    request_id=key, call="draft", version=version, good=good
                )
                rule.learn(rating, now=self.now)
            if served:
                self.served.append(good)
                return

    @property
    def quality(self) -> float:
        """Give the share of good answers of the last run."""
        return sum(self.served) / len(self.served)


def test_an_unknown_rule_names_the_known_ones() -> None:
    with pytest.raises(UsageError) as caught:
        CASCADE_RULES.get("best")
    for name in ("calibrated", "cheap", "strong", "threshold"):
        assert name in caught.value.remedy


def test_the_baselines_plan_and_accept_as_named() -> None:
    plans = {
        name: build(name).plan(key="k", call="draft", versions=NAMES, now=0.0)
        for name in ("cheap", "strong", "threshold")
    }
    assert plans == {
        "cheap": ["small"],
        "strong": ["large"],
        "threshold": ["small", "large"],
    }
    assert not accept(build("threshold"), 0.5)
    assert not accept(build("threshold"), None)
    assert accept(build("threshold"), 0.95)


@pytest.mark.parametrize("name", list(CASCADE_RULES))
def test_an_answer_in_time_is_served_when_nothing_can_follow(name: str) -> None:
    # Escalating past the deadline would turn an answer at hand into a timeout.
    rule = build(name)
    rule.plan(key="k", call="draft", versions=NAMES, now=0.0)
    assert accept(rule, 0.0, remaining_s=1.9)
    assert accept(rule, 0.0, is_last=True)


def test_without_ratings_the_strongest_version_answers() -> None:
    rule = build("calibrated")
    for number in range(300):
        order = rule.plan(key=f"k{number}", call="draft", versions=NAMES, now=0.0)
        assert order[-1] == "large"
        assert not accept(rule, 0.7)


def test_six_entries_meet_the_target_at_a_fraction_of_the_strongest() -> None:
    world = World([build("calibrated") for _ in range(6)], seed=2)
    world.run(6000, hard=0.3)
    world.run(8000, hard=0.3)
    assert world.quality >= 0.895
    assert world.cost < 0.4 * 15.0 * 8000


def test_a_shift_to_harder_requests_is_followed() -> None:
    world = World([build("calibrated") for _ in range(6)], seed=4)
    world.run(8000, hard=0.1)
    before = world.cost
    world.run(4000, hard=0.5)
    world.run(8000, hard=0.5)
    assert world.quality >= 0.89
    assert world.cost > before


def test_without_ratings_the_calibration_stays_and_drifts_to_the_stronger() -> None:
    world = World([build("calibrated") for _ in range(6)], seed=5)
    world.run(8000, hard=0.3)
    world.run(6000, hard=0.3, ratings=False)
    early = world.cost
    assert world.quality >= 0.89
    world.now += 1800.0
    world.run(6000, hard=0.3, ratings=False)
    assert world.quality >= 0.895
    assert early < world.cost < 2.5 * early


def test_the_aim_rises_with_the_age_of_the_ratings_up_to_a_bound() -> None:
    evidence = SharedEvidence()
    evidence.last_rating_s = 100.0
    ages = (0.0, GRACE_S, GRACE_S + 600.0, 1e6)
    aims = [find_aim(evidence, target=0.9, now=100.0 + age) for age in ages]
    base = aims[0]
    assert aims[1] == base
    assert aims[2] == pytest.approx(min(1.0, base + 0.01))
    assert aims[3] <= 1.0


def test_ratings_are_asked_more_often_while_they_are_few() -> None:
    world = World([build("calibrated")], seed=6)
    rule = world.rules[0]

    def count_asked(prefix: str) -> int:
        attempts = (
            Attempt(
                key=f"{prefix}{number}",
                call="draft",
                version="small",
                signal=0.9,
                tokens=10,
                served=True,
            )
            for number in range(200)
        )
        return sum(rule.wants_rating(each, now=0.0) for each in attempts)

    early = count_asked("a")
    world.run(4000, hard=0.3)
    assert early > 150
    assert 5 <= count_asked("b") <= 50


def test_a_rating_counts_once_and_only_when_asked_for() -> None:
    sampler = Sampler(capacity=2)
    attempts = [
        Attempt(
            key=f"k{number}",
            call="draft",
            version="small",
            signal=0.5,
            tokens=1,
            served=True,
        )
        for number in range(3)
    ]
    assert all(sampler.ask(each, share=1.0) for each in attempts)
    ratings = [
        Rating(request_id=f"k{number}", call="draft", version="small", good=True)
        for number in range(4)
    ]
    assert sampler.take(ratings[0]) is None, "the bound keeps the newest"
    assert sampler.take(ratings[3]) is None
    assert sampler.take(ratings[2]) is not None
    assert sampler.take(ratings[2]) is None


def test_an_account_of_one_version_gets_only_that() -> None:
    rule = build("calibrated")
    for number in range(500):
        order = rule.plan(key=f"k{number}", call="draft", versions=["small"], now=0.0)
        assert order == ["small"]
