"""Cost at the quality target: the cascade rules against an oracle."""

from __future__ import annotations

import heapq
import random
import statistics
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import msgspec

from baobabthread.core.models.cascade import CASCADE_RULES, CascadeRule
from baobabthread.core.requests.attempts import Attempt, Offer, Rating
from bench._answers import (
    CALLS,
    COSTS,
    Workload,
    draw_workload,
    find_oracle_cost,
    find_rating_oracle_cost,
    take_later,
)
from bench.experiment import EXPERIMENTS, Options, Report, Table

ENTRIES = 6
TARGET = 0.9
REQUESTS_PER_S = 60.0
RATING_DELAY_S = 20.0
"""Mean of the exponential delay of a rating."""
RATING_MISSING = 0.2
GOSSIP_EVERY_S = 4.0
GOSSIP_LAG_S = 1.0
REMAINING_S = 30.0
NEXT_S = 2.0
LATER_SHARES = (0.15, 0.15, 0.3, 0.25, 0.15)
"""The mix after the shift: harder calls, as before a storm."""
NAMES = tuple(each.name for each in COSTS)


class Scenario(msgspec.Struct, frozen=True, kw_only=True):
    """Describe what happens during one run."""

    name: str
    prefix: str
    full_ratings: bool = False
    """Every answer is rated, at once: what perfect ratings would bring."""
    ratings_out: bool = False
    """No rating arrives in the second half."""
    later_shares: Sequence[float] | None = None


SCENARIOS = (
    Scenario(name="steady", prefix=""),
    Scenario(name="ratings out for half", prefix="ratings_out_", ratings_out=True),
    Scenario(name="shift in the mix", prefix="shift_", later_shares=LATER_SHARES),
)
FULL = Scenario(name="full ratings", prefix="full_ratings_", full_ratings=True)


class Outcome(msgspec.Struct, frozen=True, kw_only=True):
    """Hold what one rule did to one workload."""

    quality: float
    late_quality: float
    """Quality of the second half."""
    cost: float
    late_cost: float
    ratings: int


class _Due(msgspec.Struct, frozen=True, order=True):
    at_s: float
    number: int
    entry: int
    rating: Rating | None
    evidence: bytes


class Simulation:
    """Run one rule at six entries over one workload."""

    def __init__(
        self, *, rule: str, workload: Workload, scenario: Scenario, seed: int
    ) -> None:
        self._random = random.Random(seed)
        self._workload = workload
        self._scenario = scenario
        factory = CASCADE_RULES.get(rule)
        self._entries: list[CascadeRule] = [
            factory(costs=COSTS, target=TARGET, random=random.Random(seed + entry))
            for entry in range(ENTRIES)
        ]
        self._due: list[_Due] = []
        self._pushed = 0
        self._ratings = 0
        self._end_s = len(workload.call) / REQUESTS_PER_S

    def run(self) -> Outcome:
        """Answer every request and return what came of it."""
        good: list[bool] = []
        costs: list[float] = []
        gossip_s = 0.0
        for request in range(len(self._workload.call)):
            now = request / REQUESTS_PER_S
            if now >= gossip_s:
                self._gossip(now)
                gossip_s += GOSSIP_EVERY_S
            self._deliver(now)
            version, spent = self._answer(request, now)
            good.append(self._workload.good[request][version])
            costs.append(spent)
        half = len(good) // 2
        return Outcome(
            quality=statistics.fmean(good),
            late_quality=statistics.fmean(good[half:]),
            cost=sum(costs),
            late_cost=sum(costs[half:]),
            ratings=self._ratings,
        )

    def _answer(self, request: int, now: float) -> tuple[int, float]:
        entry = self._random.randrange(ENTRIES)
        rule = self._entries[entry]
        key = f"r{request}"
        call = CALLS[self._workload.call[request]].name
        order = rule.plan(key=key, call=call, versions=NAMES, now=now)
        after = ""
        spent = 0.0
        for place, name in enumerate(order):
            version = NAMES.index(name)
            signal = self._workload.signal[request][version]
            spent += self._workload.cost[request][version]
            served = rule.accept(
                Offer(
                    key=key,
                    call=call,
                    versions=NAMES,
                    version=name,
                    after=after,
                    signal=signal,
                    is_last=place == len(order) - 1,
                    remaining_s=REMAINING_S,
                    expected_next_s=NEXT_S,
                )
            )
            attempt = Attempt(
                key=key,
                call=call,
                version=name,
                after=after,
                signal=signal,
                tokens=self._workload.tokens[request],
                served=served,
            )
            least = 1.0 if self._scenario.full_ratings else 0.0
            if rule.wants_rating(attempt, now=now, least_share=least):
                self._rate(entry, request, attempt, now)
            if served:
                break
            after = name
        return version, spent

    def _rate(self, entry: int, request: int, attempt: Attempt, now: float) -> None:
        at_s = now
        if not self._scenario.full_ratings:
            if self._random.random() < RATING_MISSING:
                return
            at_s += self._random.expovariate(1 / RATING_DELAY_S)
        if self._scenario.ratings_out and at_s > self._end_s / 2:
            return
        rating = Rating(
            request_id=attempt.key,
            call=attempt.call,
            version=attempt.version,
            good=self._workload.good[request][NAMES.index(attempt.version)],
        )
        self._push(at_s, entry, rating, b"")

    def _gossip(self, now: float) -> None:
        for sender, rule in enumerate(self._entries):
            evidence = rule.evidence()
            if not evidence:
                continue
            for entry in range(ENTRIES):
                if entry != sender:
                    lag = GOSSIP_LAG_S * (0.5 + self._random.random())
                    self._push(now + lag, entry, None, bytes([sender]) + evidence)

    def _push(
        self, at_s: float, entry: int, rating: Rating | None, evidence: bytes
    ) -> None:
        self._pushed += 1
        heapq.heappush(self._due, _Due(at_s, self._pushed, entry, rating, evidence))

    def _deliver(self, now: float) -> None:
        while self._due and self._due[0].at_s <= now:
            due = heapq.heappop(self._due)
            rule = self._entries[due.entry]
            if due.rating is not None:
                self._ratings += 1
                rule.learn(due.rating, now=now)
            else:
                origin = f"entry-{due.evidence[0]}"
                rule.merge(origin=origin, evidence=due.evidence[1:], now=now)


class _Run(msgspec.Struct, frozen=True, kw_only=True):
    outcomes: dict[str, Outcome]
    oracle: float
    late_oracle: float
    rating_oracle: float


def _run_seed(
    scenario: Scenario, *, rules: Sequence[str], count: int, seed: int
) -> _Run:
    workload = draw_workload(count=count, seed=seed, later_shares=scenario.later_shares)
    outcomes = {
        rule: Simulation(
            rule=rule, workload=workload, scenario=scenario, seed=seed
        ).run()
        for rule in rules
    }
    return _Run(
        outcomes=outcomes,
        oracle=find_oracle_cost(workload, target=TARGET),
        late_oracle=find_oracle_cost(take_later(workload), target=TARGET),
        rating_oracle=find_rating_oracle_cost(workload, target=TARGET),
    )


def _name(scenario: Scenario, rule: str, column: str) -> str:
    prefix = "" if rule == "calibrated" else f"{rule}_"
    return f"{scenario.prefix}{prefix}{column}"


def _summarise(scenario: Scenario, runs: Sequence[_Run]) -> dict[str, Any]:
    figures: dict[str, Any] = {}
    for rule in runs[0].outcomes:
        found = [_measure(rule, run) for run in runs]
        for column in COLUMNS:
            values = [each[column] for each in found if column in each]
            if values:
                name = _name(scenario, rule, column)
                figures[name] = round(statistics.median(values), 4)
        least = min(each["quality"] for each in found)
        figures[_name(scenario, rule, "quality_least")] = round(least, 4)
    return figures


def _measure(rule: str, run: _Run) -> dict[str, float]:
    outcome = run.outcomes[rule]
    measured = {
        "quality": outcome.quality,
        "late_quality": outcome.late_quality,
        "cost_vs_oracle": outcome.cost / run.oracle,
        "late_cost_vs_oracle": outcome.late_cost / run.late_oracle,
        "cost_vs_rating_oracle": outcome.cost / run.rating_oracle,
    }
    if "strong" in run.outcomes:
        measured["cost_vs_strong"] = outcome.cost / run.outcomes["strong"].cost
    return measured


COLUMNS = (
    "quality",
    "late_quality",
    "cost_vs_oracle",
    "late_cost_vs_oracle",
    "cost_vs_rating_oracle",
    "cost_vs_strong",
)
SHOWN = ("quality", "quality_least", *COLUMNS[1:])


@EXPERIMENTS.register("cascade")
def run_cascade(options: Options) -> Report:
    """Compare the rules on the same requests, ratings late and partly missing."""
    count = 20_000 if options.quick else 60_000
    seeds = [
        options.seed * 1000 + number for number in range(2 if options.quick else 5)
    ]
    figures: dict[str, Any] = {"target": TARGET}
    tables = []
    for scenario in (*SCENARIOS, FULL):
        rules = ["calibrated"] if scenario.full_ratings else list(CASCADE_RULES)
        runs = [
            _run_seed(scenario, rules=rules, count=count, seed=seed) for seed in seeds
        ]
        found = _summarise(scenario, runs)
        figures |= found
        tables.append(_lay_out(scenario, rules, found))
    if options.plot is not None:
        _draw(options.plot, figures)
    return Report(figures=figures, tables=tables)


def _lay_out(
    scenario: Scenario, rules: Sequence[str], figures: dict[str, Any]
) -> Table:
    rows = [
        [rule, *(figures.get(_name(scenario, rule, column), "") for column in SHOWN)]
        for rule in rules
    ]
    return Table(
        title=f"cascade, {scenario.name} (target {TARGET})",
        columns=["rule", *SHOWN],
        rows=rows,
    )


def _draw(path: Path, figures: dict[str, Any]) -> None:
    """Draw quality against cost for each rule and scenario."""
    from matplotlib.figure import Figure

    figure = Figure(figsize=(7, 4.5))
    axes = figure.subplots()
    for scenario, marker in zip(SCENARIOS, "os^", strict=True):
        for number, rule in enumerate(CASCADE_RULES):
            axes.plot(
                figures[_name(scenario, rule, "cost_vs_oracle")],
                figures[_name(scenario, rule, "quality")],
                marker=marker,
                color=f"C{number}",
                linestyle="none",
                label=f"{rule}, {scenario.name}",
            )
    axes.axhline(TARGET, color="grey", linewidth=1)
    axes.set_xscale("log")
    axes.set_xlabel("cost, as a multiple of the oracle's")
    axes.set_ylabel("share of good answers")
    axes.legend(fontsize=6)
    figure.tight_layout()
    figure.savefig(path)
