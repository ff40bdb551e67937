"""Measure goodput beyond the capacity and the recovery from a burst."""

from __future__ import annotations

import heapq
import math
import random
from collections.abc import Iterator, Mapping, Sequence
from pathlib import Path
from typing import Any

import msgspec

from bench._entries import ENTRIES, Cluster
from bench._measures import DRAIN_S, Window, goodput, run_traffic, served_share
from bench._policies import Policy, Result
from bench._workload import Arrival, Traffic, default_shares, generate
from bench.experiment import EXPERIMENTS, Options, Report, Table, median

VARIANTS: Mapping[str, Policy] = {
    "all guards": Policy(),
    "no limit": Policy(limited=False, shedding=False, fair=False),
    "no retry budget": Policy(budget=False),
    "neither": Policy(limited=False, shedding=False, fair=False, budget=False),
}
GOODPUT_VARIANTS = ("all guards", "no limit")
"""Without failures, a retry budget changes nothing."""
KEYS = {
    "all guards": "",
    "no limit": "no_limit_",
    "no retry budget": "no_budget_",
    "neither": "neither_",
}
MIN_GOODPUT = 0.9
MAX_RECOVERY_S = 10.0
BASE_LOAD = 0.9
BURST_LOAD = 3.0
BURST_S = 10.0
CALLER_RETRIES = 4
MODEL_RUNS, PLAIN_RUNS, FULL_RUNS = 3, 1, 5
"""Runs with other seeds: of each service with `--quick`, and else."""
BUCKET_S = 2.0
RECOVERED = 0.95
"""Share of tries answered in time that counts as recovered."""
SMOOTHED_BUCKETS = 5
CUT_SHARE = 0.6


class Trouble(msgspec.Struct, frozen=True, kw_only=True):
    """Describe what goes wrong for some seconds, and where."""

    title: str
    service: str
    key: str
    at: float
    """When it begins."""
    after: float
    """How long the run goes on after it."""
    load: float = BASE_LOAD
    cut_share: float = 0.0

    @property
    def ends(self) -> float:
        """Give the time at which it is over."""
        return self.at + BURST_S


TROUBLES = (
    Trouble(
        title=f"Model service: {BURST_LOAD:g}x for {BURST_S:g} s on {BASE_LOAD:g}x",
        service="model",
        key="",
        at=60.0,
        after=90.0,
        load=BURST_LOAD,
    ),
    Trouble(
        title=f"Plain service: {BURST_LOAD:g}x for {BURST_S:g} s on {BASE_LOAD:g}x",
        service="plain",
        key="plain_",
        at=15.0,
        after=45.0,
        load=BURST_LOAD,
    ),
    Trouble(
        title=f"Plain service: {CUT_SHARE:.0%} of answers cut for {BURST_S:g} s",
        service="plain",
        key="cuts_",
        at=15.0,
        after=45.0,
        cut_share=CUT_SHARE,
    ),
)


class Burst(msgspec.Struct, frozen=True, kw_only=True):
    """Hold what a burst did to one variant."""

    recovery_s: float
    series: Sequence[float]
    """Share of each bucket's tries that were answered in time."""
    attempts: float
    """Attempts at servers for each request that a caller wanted answered."""
    answered: float
    """Share of requests that were answered by any of the caller's tries."""
    returned: float
    """Share answered in time of the tries of callers that came back once."""


@EXPERIMENTS.register("overload")
def run_overload(options: Options) -> Report:
    """Compare the guards with their absence on the same workload."""
    seconds = 240.0 if options.quick else 1200.0
    figures: dict[str, Any] = {}
    tables = [_measure_goodput(seconds, options.seed, figures)]
    shown = {}
    for trouble in TROUBLES:
        runs = MODEL_RUNS if trouble.service == "model" else PLAIN_RUNS
        count = runs if options.quick else FULL_RUNS
        table, shown[trouble.key] = _measure_recovery(
            trouble, count, options.seed, figures
        )
        tables.append(table)
    if options.plot is not None:
        _plot(options.plot, shown["plain_"])
    failures = []
    if not figures["goodput_2x"] >= MIN_GOODPUT:
        failures.append(
            f"goodput_2x {figures['goodput_2x']:.3g} is below {MIN_GOODPUT}"
        )
    recovery_s = figures["recovery_s"]
    if recovery_s is None or recovery_s > MAX_RECOVERY_S:
        failures.append(f"recovery_s {figures['recovery_s']:.3g} is too long")
    return Report(figures=figures, tables=tables, failures=failures)


def _measure_goodput(seconds: float, seed: int, figures: dict[str, Any]) -> Table:
    window = Window(start=seconds / 4, end=seconds)
    rows = []
    for name in GOODPUT_VARIANTS:
        policy = VARIANTS[name]
        rates = []
        for load in (1.0, 2.0, 3.0):
            traffic = Traffic(service="model", load=load, shares=default_shares())
            _, results = run_traffic(policy, traffic, seconds=seconds, seed=seed)
            rates.append(goodput(results, window))
        key = KEYS[name]
        figures[f"{key}goodput_1x_tokens_per_s"] = rates[0]
        figures[f"{key}goodput_2x"] = rates[1] / rates[0]
        figures[f"{key}goodput_3x"] = rates[2] / rates[0]
        rows.append([name, *rates, rates[1] / rates[0], rates[2] / rates[0]])
    return Table(
        title="Goodput (tokens/s answered in time), callers don't return",
        columns=["guards", "1x", "2x", "3x", "2x of 1x", "3x of 1x"],
        rows=rows,
    )


def _measure_recovery(
    trouble: Trouble, runs: int, seed: int, figures: dict[str, Any]
) -> tuple[Table, Mapping[str, Burst]]:
    rows = []
    shown: dict[str, Burst] = {}
    for name, policy in VARIANTS.items():
        retrying = msgspec.structs.replace(policy, caller_retries=CALLER_RETRIES)
        bursts = [_run_burst(retrying, trouble, seed + run) for run in range(runs)]
        shown[name] = bursts[0]
        key = trouble.key + KEYS[name]
        recovery = median([burst.recovery_s for burst in bursts])
        worst = max(burst.recovery_s for burst in bursts)
        attempts = median([burst.attempts for burst in bursts])
        answered = median([burst.answered for burst in bursts])
        figures[f"{key}recovery_s"] = _finite(recovery)
        figures[f"{key}recovery_worst_s"] = _finite(worst)
        figures[f"{key}attempts"] = attempts
        figures[f"{key}answered"] = answered
        returned = median([burst.returned for burst in bursts])
        figures[f"{key}returned"] = _finite(returned)
        rows.append([name, recovery, worst, attempts, answered, returned])
    table = Table(
        title=f"{trouble.title}; callers come back up to {CALLER_RETRIES} times",
        columns=[
            "guards",
            "recovery s",
            "worst",
            "attempts/request",
            "answered",
            "2nd try ok",
        ],
        rows=rows,
    )
    return table, shown


def _finite(value: float) -> float | None:
    return value if math.isfinite(value) else None


def _run_burst(policy: Policy, trouble: Trouble, seed: int) -> Burst:
    cluster = Cluster(policy=policy, seed=seed)
    end = trouble.ends + trouble.after
    arrivals = _arrivals(trouble, BASE_LOAD, 0.0, end, seed)
    if trouble.load > BASE_LOAD:
        more = trouble.load - BASE_LOAD
        extra = _arrivals(trouble, more, trouble.at, trouble.ends, seed)
        arrivals = heapq.merge(arrivals, extra, key=lambda arrival: arrival.at)
    cluster.events.after(trouble.at, _cut_answers, cluster, trouble.cut_share)
    cluster.events.after(trouble.ends, _cut_answers, cluster, 0.0)
    results = cluster.run(arrivals, until=end + DRAIN_S)
    series = _bucket(results, end)
    wanted = {r.arrival.request_id for r in results}
    answered = {r.arrival.request_id for r in results if r.outcome == "ok"}
    attempts = sum(r.attempts for r in results)
    return Burst(
        recovery_s=_find_recovery(series, trouble.ends),
        series=series,
        attempts=attempts / len(wanted),
        answered=len(answered) / len(wanted),
        returned=served_share([r for r in results if r.tries == 1]),
    )


def _cut_answers(cluster: Cluster, share: float) -> None:
    for server in cluster.servers.values():
        server.cut_share = share


def _arrivals(
    trouble: Trouble, load: float, start: float, end: float, seed: int
) -> Iterator[Arrival]:
    traffic = Traffic(service=trouble.service, load=load, shares=default_shares())
    rng = random.Random(f"burst-{start}-{seed}")
    return generate(traffic, start=start, end=end, entries=ENTRIES, rng=rng)


def _bucket(results: Sequence[Result], end: float) -> list[float]:
    """Return the share answered in time of the tries that came in each bucket."""
    count = int(end / BUCKET_S)
    came, served = [0] * count, [0] * count
    for result in results:
        number = int(result.arrived_at / BUCKET_S)
        if number < count:
            came[number] += 1
            served[number] += result.outcome == "ok"
    return [ok / max(1, tries) for ok, tries in zip(served, came, strict=True)]


def _find_recovery(series: Sequence[float], ends: float) -> float:
    """Return the seconds from the end of trouble until tries succeed for good."""
    first = int(ends / BUCKET_S)
    smoothed = [
        sum(series[i : i + SMOOTHED_BUCKETS]) / SMOOTHED_BUCKETS
        for i in range(first, len(series) - SMOOTHED_BUCKETS + 1)
    ]
    low = [i for i, value in enumerate(smoothed) if value < RECOVERED]
    if not low:
        return 0.0
    return math.inf if low[-1] == len(smoothed) - 1 else (low[-1] + 1) * BUCKET_S


def _plot(path: Path, bursts: Mapping[str, Burst]) -> None:
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(8, 4))
    for name, burst in bursts.items():
        times = [BUCKET_S * number for number in range(len(burst.series))]
        axes.plot(times, burst.series, label=name)
    axes.axvspan(TROUBLES[1].at, TROUBLES[1].ends, color="0.9")
    axes.set_xlabel("s")
    axes.set_ylabel("share of tries answered in time")
    axes.legend()
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)
