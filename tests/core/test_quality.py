"""Tests of the detectors."""

from __future__ import annotations

import random
from collections.abc import Callable

import msgspec
import pytest

from baobabthread.core.configuration.configuration import VersionState
from baobabthread.core.models.selection import Damped, Selection, choose_versions
from baobabthread.core.rollouts.detectors import Alarm, Detector, Observation
from baobabthread.core.rollouts.quality import DETECTORS, RATING_SHARE, BettingDetector
from baobabthread.core.rollouts.tallies import Concern, Tallies, TallyKey

CALLS = ("draft", "translate")


def rate(
    detector: Detector,
    count: int,
    *,
    chance: float | Callable[[str], float],
    version: str = "small-2",
    seed: int = 1,
) -> int:
    """Rate answers until an alarm and return how many it took."""
    source = random.Random(seed)
    for number in range(count):
        call = CALLS[number % len(CALLS)]
        share = chance(call) if callable(chance) else chance
        good = source.random() < share
        detector.observe(Observation(version=version, call=call, good=good), now=0.0)
        if any(alarm.version == version for alarm in detector.alarms(0.0)):
            return number + 1
    return count


@pytest.mark.parametrize("name", list(DETECTORS))
@pytest.mark.parametrize("seed", range(5))
def test_a_quiet_version_raises_no_alarm(name: str, seed: int) -> None:
    detector = DETECTORS.get(name)()
    rate(detector, 3000, chance=0.92, seed=seed)
    assert detector.alarms(0.0) == []
    assert detector.traffic_factor("small-2") == 1.0


@pytest.mark.parametrize(("chance", "most"), [(0.5, 80), (0.8, 900)])
def test_betting_finds_a_drop_within_few_ratings(chance: float, most: int) -> None:
    detector = BettingDetector()
    rate(detector, 1500, chance=0.92)
    assert rate(detector, 3000, chance=chance, seed=2) <= most
    (alarm,) = detector.alarms(0.0)
    assert (alarm.version, alarm.reason) == ("small-2", Concern.QUALITY)
    assert detector.traffic_factor("small-2") == 0.0


def test_a_call_that_turns_bad_alone_is_named() -> None:
    detector = BettingDetector()
    rate(detector, 1500, chance=0.92)
    rate(detector, 3000, chance=lambda call: 0.3 if call == "translate" else 0.97)
    (alarm,) = detector.alarms(0.0)
    assert alarm.call == "translate"


def test_a_new_version_is_held_against_the_one_that_it_replaces() -> None:
    # A version that is bad from its first answer has no better past of its own.
    detector = BettingDetector()
    rate(detector, 1500, chance=0.92, version="small-1")
    detector.reset("small-2", old="small-1")
    assert rate(detector, 1000, chance=0.5, seed=3) <= 80
    alone = BettingDetector()
    assert rate(alone, 1000, chance=0.5, seed=3) == 1000


def test_suspicion_asks_for_ratings_and_diverts_before_the_alarm() -> None:
    detector = BettingDetector()
    rate(detector, 1500, chance=0.92)
    assert detector.rating_share("small-2", "draft") == RATING_SHARE
    assert detector.damped() == []
    shares = []
    source = random.Random(2)
    while not detector.alarms(0.0):
        good = source.random() < 0.5
        observation = Observation(version="small-2", call="draft", good=good)
        detector.observe(observation, now=0.0)
        shares.append(detector.rating_share("small-2", "draft"))
    assert max(shares[:-1]) > RATING_SHARE
    assert shares[-1] == 1.0
    assert any(each.kept < 1.0 for each in detector.damped())


def test_an_alarm_stands_until_the_version_is_published_anew() -> None:
    # Without the latch, a version that gets no traffic looks well, comes back, and is
    # quarantined again: the callers see bad answers in bursts.
    detector = BettingDetector()
    rate(detector, 1500, chance=0.92)
    rate(detector, 1000, chance=0.3)
    first = detector.alarms(0.0)
    for _ in range(3000):
        detector.observe(
            Observation(version="small-2", call="draft", good=True), now=0.0
        )
    assert detector.alarms(0.0) == first
    detector.reset("small-2")
    assert detector.alarms(0.0) == []
    assert rate(detector, 2000, chance=0.92, seed=8) == 2000


def run_entries(detectors: list[Detector], chance: float, *, seed: int) -> list[Alarm]:
    source = random.Random(seed)
    for number in range(1800):
        entry = number % len(detectors)
        good = source.random() < chance
        call = CALLS[number % 2]
        detectors[entry].observe(
            Observation(version="small-2", call=call, good=good), now=0.0
        )
        if number % 30 == 0:
            gossip(detectors)
    return detectors[0].alarms(0.0)


def gossip(detectors: list[Detector]) -> None:
    for sender, detector in enumerate(detectors):
        evidence = detector.evidence()
        for receiver in detectors:
            if receiver is not detector:
                for _ in range(2):
                    receiver.merge(origin=f"entry-{sender}", evidence=evidence, now=0.0)


def test_six_entries_decide_on_all_the_evidence() -> None:
    # One entry sees a sixth of the ratings; alone it would take six times as long.
    detectors: list[Detector] = [BettingDetector() for _ in range(6)]
    assert run_entries(detectors, 0.92, seed=1) == []
    source = random.Random(2)
    for number in range(120):
        good = source.random() < 0.5
        detectors[number % 6].observe(
            Observation(version="small-2", call="draft", good=good), now=0.0
        )
        if number % 6 == 5:
            gossip(detectors)
    assert all(detector.alarms(0.0) for detector in detectors)


def test_counts_are_taken_once_whatever_the_order() -> None:
    key = TallyKey("small-2", "draft", "", Concern.QUALITY)
    sender, receiver = Tallies(), Tallies()
    messages = []
    for number in range(6):
        sender.count(key, bad=number % 3 == 0)
        messages.append(sender.pack())
    taken = [
        tally
        for index in (1, 0, 5, 3, 5)
        for tally in receiver.merge(origin="entry-2/a", evidence=messages[index])
    ]
    assert sum(tally.seen for tally in taken) == 6
    assert sum(tally.bad for tally in taken) == 2
    with pytest.raises(msgspec.DecodeError):
        list(receiver.merge(origin="entry-2/a", evidence=b"\xff"))


def answer(
    detector: Detector, version: str, *, error: bool = False, latency_s: float = 1.0
) -> None:
    observation = Observation(
        version=version, call="draft", error=error, latency_s=latency_s
    )
    detector.observe(observation, now=0.0)


@pytest.mark.parametrize(
    ("fault", "reason"),
    [
        ({"error": True}, Concern.ERRORS),
        ({"latency_s": 5.0}, Concern.LATENCY),
    ],
)
def test_a_version_that_fails_or_turns_slow_alone_is_found(
    fault: dict[str, float], reason: Concern
) -> None:
    detector = BettingDetector()
    for _ in range(400):
        answer(detector, "small-1")
        answer(detector, "small-2")
    for _ in range(100):
        answer(detector, "small-1")
        answer(detector, "small-2", **fault)  # type: ignore[arg-type]
    (alarm,) = detector.alarms(0.0)
    assert (alarm.version, alarm.reason) == ("small-2", reason)


def test_a_pool_that_fails_all_versions_quarantines_none() -> None:
    # Overload or a lost failure domain makes every version slow and failing. Taking
    # the versions out one by one would turn that into an outage of the service.
    detector = BettingDetector()
    for _ in range(400):
        answer(detector, "small-1")
        answer(detector, "small-2")
    for _ in range(300):
        answer(detector, "small-1", error=True, latency_s=9.0)
        answer(detector, "small-2", error=True, latency_s=9.0)
    assert detector.alarms(0.0) == []
    assert detector.damped() == []


def test_a_damped_version_keeps_its_share_and_never_leaves_a_request_alone() -> None:
    damped = [Damped(version="small-2", call="draft", kept=0.25)]
    states = dict.fromkeys(("small-2", "large-1"), VersionState.OFFERED)
    selection = Selection(cascade=("small-2", "large-1"), states=states, damped=damped)

    def choose(key: str, **options: object) -> list[str]:
        chosen = {"call": "draft", "allowed": (), "key": key, **options}
        return choose_versions(selection, **chosen)  # type: ignore[arg-type]

    keys = [f"k{number}" for number in range(2000)]
    kept = sum(choose(key)[0] == "small-2" for key in keys)
    assert kept / len(keys) == pytest.approx(0.25, abs=0.03)
    assert all(choose(key, call="translate")[0] == "small-2" for key in keys[:50])
    assert all(choose(key, allowed={"small-2"}) == ["small-2"] for key in keys[:50])
