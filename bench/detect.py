"""Exposure to a version that turns bad: the detectors on the same ratings."""

from __future__ import annotations

import heapq
import statistics
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

import msgspec
import numpy as np

from baobabthread.core.rollouts.detectors import Detector, Observation
from baobabthread.core.rollouts.quality import DETECTORS, WindowDetector
from bench.experiment import EXPERIMENTS, Options, Report, Table

ENTRIES = 6
ANSWERS_PER_S = 20.0
RATING_DELAY_S = 20.0
"""Mean of the exponential delay of a rating."""
RATING_MISSING = 0.2
GOSSIP_EVERY_S = 2.0
GOSSIP_LAG_S = 1.0
SPREAD_S = 0.5
"""From the first alarm until its quarantine record is read everywhere."""
VERSION = "small-1"


class CallQuality(msgspec.Struct, frozen=True, kw_only=True):
    """Describe one kind of call: its share and its share of good answers."""

    name: str
    share: float
    quality: float


CALLS = (
    CallQuality(name="status", share=0.35, quality=0.96),
    CallQuality(name="playlist", share=0.25, quality=0.92),
    CallQuality(name="translation", share=0.2, quality=0.91),
    CallQuality(name="summary", share=0.12, quality=0.88),
    CallQuality(name="bulletin", share=0.08, quality=0.85),
)


class Drop(msgspec.Struct, frozen=True, kw_only=True):
    """Describe how much quality is lost, and in which call."""

    name: str
    loss: float
    call: int | None = None


QUIET = Drop(name="quiet", loss=0.0)
DROPS = (
    Drop(name="sudden", loss=0.4),
    Drop(name="slight", loss=0.1),
    Drop(name="one_call", loss=0.5, call=2),
)


class Outcome(msgspec.Struct, frozen=True, kw_only=True):
    """Hold what one detector did in one run."""

    alarm_s: float | None
    """When the first entry raised an alarm."""
    bad_answers: int
    """Bad answers served from the drop until the quarantine, by all entries."""
    asked: int
    """Ratings asked for."""
    diverted: int
    """Requests that another version answered, since this one was suspected."""
    answers: int


class _Due(msgspec.Struct, frozen=True, order=True):
    at_s: float
    number: int
    entry: int
    call: int
    good: bool
    evidence: bytes


class Simulation:
    """Run one detector at six entries while a version turns bad."""

    def __init__(
        self,
        *,
        build: Callable[[], Detector],
        drop: Drop,
        drop_s: float,
        end_s: float,
        seed: int,
    ) -> None:
        generator = np.random.default_rng(seed)
        count = int(end_s * ANSWERS_PER_S)
        self._count = count
        call = generator.choice(len(CALLS), size=count, p=[c.share for c in CALLS])
        quality = np.array([each.quality for each in CALLS])[call]
        late = np.arange(count) >= drop_s * ANSWERS_PER_S
        struck = late if drop.call is None else late & (call == drop.call)
        quality = np.where(struck, quality - drop.loss, quality)
        self._call = call.tolist()
        self._good = (generator.random(count) < quality).tolist()
        self._diverted = generator.random(count).tolist()
        self._sample = generator.random(count).tolist()
        self._missing = (generator.random(count) < RATING_MISSING).tolist()
        self._delay = generator.exponential(RATING_DELAY_S, count).tolist()
        self._entry = generator.integers(ENTRIES, size=count).tolist()
        self._lag = generator.random(4096).tolist()
        self._detectors = [build() for _ in range(ENTRIES)]
        self._changed = [False] * ENTRIES
        self._shares = self._read_shares(range(ENTRIES))
        self._kept = {entry: [1.0] * len(CALLS) for entry in range(ENTRIES)}
        self._due: list[_Due] = []
        self._pushed = 0
        self._asked = 0
        self._drop_s = drop_s

    def _read_shares(self, entries: Sequence[int]) -> dict[int, list[float]]:
        return {
            entry: [
                self._detectors[entry].rating_share(VERSION, call.name)
                for call in CALLS
            ]
            for entry in entries
        }

    def _read_kept(self, entry: int) -> list[float]:
        kept = [1.0] * len(CALLS)
        for damped in self._detectors[entry].damped():
            for index, call in enumerate(CALLS):
                if damped.call in (None, call.name):
                    kept[index] = min(kept[index], damped.kept)
        return kept

    def run(self) -> Outcome:
        """Serve answers until the version is quarantined or the time is over."""
        gossip_s = GOSSIP_EVERY_S
        alarm_s: float | None = None
        bad_answers = 0
        diverted = 0
        answer = 0
        while answer < self._count:
            now = answer / ANSWERS_PER_S
            if alarm_s is not None and now >= alarm_s + SPREAD_S:
                break
            if now >= gossip_s:
                self._gossip(now)
                gossip_s += GOSSIP_EVERY_S
            if self._due and self._due[0].at_s <= now:
                touched = self._deliver(now)
                if alarm_s is None and any(
                    self._detectors[entry].alarms(now) for entry in touched
                ):
                    alarm_s = now
            if self._diverted[answer] < self._kept_of(answer):
                if self._sample[answer] < self._share_of(answer):
                    self._ask(answer, now)
                if now >= self._drop_s and not self._good[answer]:
                    bad_answers += 1
            else:
                diverted += 1
            answer += 1
        return Outcome(
            alarm_s=alarm_s,
            bad_answers=bad_answers,
            asked=self._asked,
            diverted=diverted,
            answers=answer,
        )

    def _kept_of(self, answer: int) -> float:
        kept: float = self._kept[self._entry[answer]][self._call[answer]]
        return kept

    def _share_of(self, answer: int) -> float:
        share: float = self._shares[self._entry[answer]][self._call[answer]]
        return share

    def _ask(self, answer: int, now: float) -> None:
        self._asked += 1
        if self._missing[answer]:
            return
        at_s = now + self._delay[answer]
        self._push(
            at_s, self._entry[answer], self._call[answer], self._good[answer], b""
        )

    def _gossip(self, now: float) -> None:
        for sender in range(ENTRIES):
            if not self._changed[sender]:
                continue
            self._changed[sender] = False
            evidence = bytes([sender]) + self._detectors[sender].evidence()
            for entry in range(ENTRIES):
                if entry != sender:
                    lag = GOSSIP_LAG_S * (0.5 + self._lag[self._pushed % 4096])
                    self._push(now + lag, entry, 0, False, evidence)

    def _push(
        self, at_s: float, entry: int, call: int, good: bool, evidence: bytes
    ) -> None:
        self._pushed += 1
        heapq.heappush(self._due, _Due(at_s, self._pushed, entry, call, good, evidence))

    def _deliver(self, now: float) -> set[int]:
        """Hand over what has arrived and return the entries that it reached."""
        touched = set()
        while self._due and self._due[0].at_s <= now:
            due = heapq.heappop(self._due)
            detector = self._detectors[due.entry]
            touched.add(due.entry)
            if due.evidence:
                origin = f"entry-{due.evidence[0]}"
                detector.merge(origin=origin, evidence=due.evidence[1:], now=now)
            else:
                self._changed[due.entry] = True
                call = CALLS[due.call].name
                detector.observe(
                    Observation(version=VERSION, call=call, good=due.good), now=now
                )
        self._shares |= self._read_shares(list(touched))
        for entry in touched:
            self._kept[entry] = self._read_kept(entry)
        return touched


def run_many(
    build: Callable[[], Detector], drop: Drop, *, seeds: Sequence[int], end_s: float
) -> list[Outcome]:
    """Run a detector over seeded runs; each drop comes at a third of its run."""
    return [
        Simulation(
            build=build, drop=drop, drop_s=end_s / 3, end_s=end_s, seed=seed
        ).run()
        for seed in seeds
    ]


class Contender(msgspec.Struct, frozen=True, kw_only=True):
    """Name a detector to compare, and how its figures begin."""

    name: str
    prefix: str
    build: Callable[[], Detector]


EQUAL_RATINGS = 0.13
"""Share at which the baseline gets as many ratings as betting asks for when quiet."""


def _build_generous() -> Detector:
    return WindowDetector(rating_share=EQUAL_RATINGS)


CONTENDERS = (
    Contender(name="betting", prefix="", build=DETECTORS.get("betting")),
    Contender(name="window", prefix="baseline_", build=DETECTORS.get("window")),
    Contender(
        name="window, equal ratings",
        prefix="baseline_equal_ratings_",
        build=_build_generous,
    ),
)
DROP_END_S = 2400.0
QUIET_RUNS = 100


@EXPERIMENTS.register("detect")
def run_detect(options: Options) -> Report:
    """Compare the detectors' exposure and false alarms on the same seeds."""
    quiet_s = 450.0 if options.quick else 3600.0
    drop_runs = 7 if options.quick else 31
    base = options.seed * 10_000
    figures: dict[str, Any] = {"quiet_runs": QUIET_RUNS, "quiet_minutes": quiet_s / 60}
    rows: list[list[Any]] = []
    for contender in CONTENDERS:
        quiet = run_many(
            contender.build,
            QUIET,
            seeds=range(base + 5000, base + 5000 + QUIET_RUNS),
            end_s=quiet_s,
        )
        figures |= _describe_quiet(contender, quiet)
        rows.append(
            [contender.name, "quiet", "", "", f"{_count_alarms(quiet)} false alarms"]
        )
        seeds = range(base, base + drop_runs)
        everything: list[Outcome] = []
        for drop in DROPS:
            outcomes = run_many(contender.build, drop, seeds=seeds, end_s=DROP_END_S)
            everything += outcomes
            found = _summarise(outcomes)
            name = f"{contender.prefix}{drop.name}"
            figures[f"{name}_bad_answers_median"] = found.bad_answers
            figures[f"{name}_delay_s_median"] = found.delay_s
            figures[f"{name}_missed"] = found.missed
            missed = f"{found.missed} missed of {drop_runs}"
            rows.append(
                [contender.name, drop.name, found.bad_answers, found.delay_s, missed]
            )
        figures[f"{contender.prefix}bad_answers_median"] = _summarise(
            everything
        ).bad_answers
    figures |= _compare(figures)
    if options.plot is not None:
        _draw(options.plot, figures)
    table = Table(
        title="detect: bad answers until the quarantine (medians)",
        columns=["detector", "drop", "bad answers", "delay s", "outcome"],
        rows=rows,
    )
    return Report(figures=figures, tables=[table])


def _count_alarms(outcomes: Sequence[Outcome]) -> int:
    return sum(each.alarm_s is not None for each in outcomes)


def _describe_quiet(
    contender: Contender, outcomes: Sequence[Outcome]
) -> dict[str, Any]:
    answers = sum(each.answers for each in outcomes)
    asked = sum(each.asked for each in outcomes)
    diverted = sum(each.diverted for each in outcomes)
    return {
        f"{contender.prefix}false_alarms": _count_alarms(outcomes),
        f"{contender.prefix}quiet_rated_share": round(asked / answers, 4),
        f"{contender.prefix}quiet_diverted_share": round(diverted / answers, 4),
    }


def _compare(figures: dict[str, Any]) -> dict[str, Any]:
    """Return the exposure as a share of the baseline's."""
    ratios = {}
    for name in ("", *(f"{drop.name}_" for drop in DROPS)):
        key = f"{name}bad_answers_median"
        for baseline in ("baseline_", "baseline_equal_ratings_"):
            ratio = figures[key] / figures[f"{baseline}{key}"]
            ratios[f"{name}ratio_to_{baseline.rstrip('_')}"] = round(ratio, 3)
    return ratios


class _Summary(msgspec.Struct, frozen=True, kw_only=True):
    bad_answers: float
    delay_s: float
    missed: int


def _summarise(outcomes: Sequence[Outcome]) -> _Summary:
    start_s = DROP_END_S / 3
    delays = [
        (each.alarm_s if each.alarm_s is not None else DROP_END_S) - start_s
        for each in outcomes
    ]
    return _Summary(
        bad_answers=statistics.median(each.bad_answers for each in outcomes),
        delay_s=round(statistics.median(delays), 1),
        missed=sum(each.alarm_s is None for each in outcomes),
    )


def _draw(path: Path, figures: dict[str, Any]) -> None:
    """Draw the exposure of both detectors side by side."""
    from matplotlib.figure import Figure

    figure = Figure(figsize=(6, 4))
    axes = figure.subplots()
    places = np.arange(len(DROPS))
    for shift, prefix, label in ((-0.2, "", "betting"), (0.2, "baseline_", "window")):
        heights = [figures[f"{prefix}{drop.name}_bad_answers_median"] for drop in DROPS]
        axes.bar(places + shift, heights, width=0.4, label=label)
    axes.set_xticks(places, [drop.name for drop in DROPS])
    axes.set_ylabel("bad answers until the quarantine (median)")
    axes.legend()
    figure.tight_layout()
    figure.savefig(path)
