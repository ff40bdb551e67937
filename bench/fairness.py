"""Compare fair queueing with first come first served at twice the capacity."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any

import msgspec

from bench._measures import (
    Window,
    arrived_in,
    quantile,
    run_traffic,
    served_share,
)
from bench._policies import Policy, Result
from bench._workload import LARGE, SMALL, Traffic, default_shares
from bench.experiment import EXPERIMENTS, Options, Report, Table

VARIANTS: Mapping[str, Policy] = {
    "fair": Policy(),
    "fair, no gossip": Policy(gossip=False),
    "first come": Policy(fair=False, shedding=False),
    "first come, 16": Policy(fair=False, shedding=False, first_come_most=16),
}
PREFIXES = {
    "fair": "",
    "fair, no gossip": "local_",
    "first come": "fcfs_",
    "first come, 16": "bounded_fcfs_",
}
"""How the figures of each variant begin; 16 requests wait at each entry at most."""
MAX_RATIO = 1.1
INTERACTIVE = ("draft", "translation")


class Length(msgspec.Struct, frozen=True, kw_only=True):
    """Hold how long the runs last, in virtual seconds."""

    model_s: float
    plain_s: float


QUICK = Length(model_s=400.0, plain_s=60.0)
FULL = Length(model_s=3000.0, plain_s=300.0)


@EXPERIMENTS.register("fairness")
def run_fairness(options: Options) -> Report:
    """Measure waits, shares and status checks under load."""
    length = QUICK if options.quick else FULL
    figures: dict[str, Any] = {}
    waits = _measure_waits(length, options.seed, figures)
    status = _measure_status(length, options.seed, figures)
    skew = _measure_skew(length, options.seed, figures)
    abuse = _measure_abuse(length, options.seed, figures)
    comeback = _measure_return(length, options.seed, figures)
    if options.plot is not None:
        _plot(options.plot, figures)
    failures = []
    if not figures["ratio"] <= MAX_RATIO:
        failures.append(f"ratio {figures['ratio']:.3g} is above {MAX_RATIO}")
    return Report(
        figures=figures,
        tables=[waits, status, skew, abuse, comeback],
        failures=failures,
    )


def _window(seconds: float) -> Window:
    return Window(start=seconds / 4, end=seconds)


def _of(results: Sequence[Result], accounts: Sequence[str]) -> list[Result]:
    return [r for r in results if r.arrival.account in accounts]


def _of_kinds(results: Sequence[Result], kinds: Sequence[str]) -> list[Result]:
    return [r for r in results if r.arrival.kind.name in kinds]


def _p95(results: Sequence[Result]) -> float:
    """Return the p95 wait; what was not served waits for its whole deadline."""
    return quantile([r.wait_s for r in results], 0.95)


def _p95_served(results: Sequence[Result]) -> float:
    return quantile([r.wait_s for r in results if r.outcome == "ok"], 0.95)


def _measure_waits(length: Length, seed: int, figures: dict[str, Any]) -> Table:
    rows = []
    for name, policy in VARIANTS.items():
        traffic = Traffic(service="model", load=2.0, shares=default_shares())
        _, results = run_traffic(policy, traffic, seconds=length.model_s, seed=seed)
        measured = arrived_in(results, _window(length.model_s))
        work = _of_kinds(measured, INTERACTIVE)
        small, large = _of(work, SMALL), _of(work, LARGE)
        batch = _of_kinds(measured, ["summary"])
        prefix = PREFIXES[name]
        figures[f"{prefix}ratio"] = _p95(small) / _p95(large)
        figures[f"{prefix}ratio_served"] = _p95_served(small) / _p95_served(large)
        figures[f"{prefix}small_p95_s"] = _p95(small)
        figures[f"{prefix}large_p95_s"] = _p95(large)
        figures[f"{prefix}small_served"] = served_share(small)
        figures[f"{prefix}large_served"] = served_share(large)
        figures[f"{prefix}small_batch_served"] = served_share(_of(batch, SMALL))
        figures[f"{prefix}large_batch_served"] = served_share(_of(batch, LARGE))
        rows.append(
            [
                name,
                _p95(small),
                _p95(large),
                _p95(small) / _p95(large),
                *(served_share(group) for group in (small, large)),
                *(served_share(_of(batch, group)) for group in (SMALL, LARGE)),
            ]
        )
    return Table(
        title="Interactive model work at 2x load (unserved counts its deadline)",
        columns=[
            "queue",
            "small p95 s",
            "large p95 s",
            "ratio",
            "small served",
            "large served",
            "small batch served",
            "large batch served",
        ],
        rows=rows,
    )


def _measure_status(length: Length, seed: int, figures: dict[str, Any]) -> Table:
    rows = []
    for name, key in (("fair", "status"), ("first come", "fcfs_status")):
        row: list[Any] = [name]
        for load, suffix in ((0.5, "half"), (2.0, "double")):
            traffic = Traffic(service="plain", load=load, shares=default_shares())
            _, results = run_traffic(
                VARIANTS[name], traffic, seconds=length.plain_s, seed=seed
            )
            checks = _of_kinds(arrived_in(results, _window(length.plain_s)), ["status"])
            p99 = quantile([_total_s(r) for r in checks], 0.99)
            figures[f"{key}_p99_{suffix}_s"] = p99
            figures[f"{key}_served_{suffix}"] = served_share(checks)
            row += [p99 * 1000, served_share(checks)]
        rows.append(row)
    return Table(
        title="Status checks at the plain service",
        columns=["queue", "p99 ms at 0.5x", "served", "p99 ms at 2x", "served"],
        rows=rows,
    )


def _total_s(result: Result) -> float:
    if result.outcome != "ok":
        return result.arrival.kind.deadline_s
    return result.ended_at - result.arrived_at


def _measure_skew(length: Length, seed: int, figures: dict[str, Any]) -> Table:
    """Let one account come to one entry only and another one to all."""
    shares = {"spread": 0.5, "local": 0.1, "other": 0.4}
    rows = []
    for name in ("fair", "fair, no gossip"):
        traffic = Traffic(
            service="model", load=2.5, shares=shares, only_at={"local": 0}
        )
        _, results = run_traffic(
            VARIANTS[name], traffic, seconds=length.model_s, seed=seed
        )
        measured = arrived_in(results, _window(length.model_s))
        work = _of_kinds(measured, INTERACTIVE)
        local, spread = _of(work, ["local"]), _of(work, ["spread"])
        key = "skew" if name == "fair" else "local_skew"
        figures[f"{key}_served"] = served_share(local)
        figures[f"{key}_spread_served"] = served_share(spread)
        figures[f"{key}_p95_s"] = _p95(local)
        rows.append([name, served_share(local), served_share(spread), _p95(local)])
    return Table(
        title="An account below its share that comes to one entry only, at 2.5x load",
        columns=["queue", "its served", "the spread one's served", "its p95 s"],
        rows=rows,
    )


def _measure_abuse(length: Length, seed: int, figures: dict[str, Any]) -> Table:
    """Let one large account mark all of its work urgent."""
    rows = []
    for urgent in (frozenset[str](), frozenset({"large-1"})):
        traffic = Traffic(
            service="model", load=2.0, shares=default_shares(), urgent=urgent
        )
        _, results = run_traffic(
            VARIANTS["fair"], traffic, seconds=length.model_s, seed=seed
        )
        measured = arrived_in(results, _window(length.model_s))
        small = _of_kinds(_of(measured, SMALL), INTERACTIVE)
        one, two = _work(measured, "large-1"), _work(measured, "large-2")
        key = "abuse" if urgent else "honest"
        figures[f"{key}_small_p95_s"] = _p95(small)
        figures[f"{key}_work_over_peer"] = one / two
        rows.append([", ".join(urgent) or "nobody", _p95(small), one / two])
    return Table(
        title="A large account marks all of its work urgent, at 2x load",
        columns=["who abuses", "small p95 s", "work of large-1 over large-2"],
        rows=rows,
    )


def _work(results: Sequence[Result], account: str) -> float:
    return sum(r.full_work for r in _of(results, [account]) if r.outcome == "ok")


def _measure_return(length: Length, seed: int, figures: dict[str, Any]) -> Table:
    """Let refused callers come back once, when they were told to."""
    policy = msgspec.structs.replace(VARIANTS["fair"], caller_retries=1)
    traffic = Traffic(service="model", load=1.3, shares=default_shares())
    _, results = run_traffic(policy, traffic, seconds=length.model_s, seed=seed)
    measured = arrived_in(results, _window(length.model_s))
    again = [r for r in measured if r.tries == 1]
    refused = [r for r in measured if r.tries == 0 and r.outcome == "refused"]
    told = quantile([r.retry_after_s for r in refused], 0.5)
    figures["return_served"] = served_share(again)
    figures["return_told_p50_s"] = told
    return Table(
        title="Callers that come back once when told, at 1.3x load",
        columns=["returned", "served then", "median Retry-After s"],
        rows=[[len(again), served_share(again), told]],
    )


def _plot(path: Path, figures: Mapping[str, Any]) -> None:
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(7, 4))
    labels = list(PREFIXES)
    prefixes = list(PREFIXES.values())
    positions = range(len(labels))
    for shift, group in ((-0.2, "small"), (0.2, "large")):
        heights = [figures[f"{prefix}{group}_p95_s"] for prefix in prefixes]
        axes.bar(
            [p + shift for p in positions], heights, 0.4, label=f"{group} accounts"
        )
    axes.set_xticks(list(positions), labels)
    axes.set_ylabel("p95 wait at 2x load (s)")
    axes.legend()
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)
