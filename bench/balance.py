"""Compare balancers with a slow backend server, a lying one and late reports."""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping, Sequence
from pathlib import Path
from typing import Any

import msgspec

from baobabthread.core.backends.backends import BalanceSettings
from bench._entries import Cluster
from bench._measures import (
    Window,
    arrived_in,
    hit_share,
    latencies,
    quantile,
    run_traffic,
    served_share,
)
from bench._policies import Policy, Result
from bench._workload import Traffic, default_shares
from bench.experiment import EXPERIMENTS, Options, Report, Table

NO_EJECTION = BalanceSettings(eject_slowness=math.inf, eject_failures=1 << 30)
VARIANTS: Mapping[str, Policy] = {
    "affine": Policy(balancer="affine"),
    "two-choices": Policy(balancer="two-choices"),
    "least-loaded": Policy(balancer="least-loaded"),
    "round-robin": Policy(balancer="round-robin"),
    "bare least-loaded": Policy(balancer="least-loaded", balance=NO_EJECTION),
    "bare round-robin": Policy(balancer="round-robin", balance=NO_EJECTION),
}
"""The bare ones eject no server: the baselines as they usually come."""
FIRST = "affine"
SLOW = "model-2"
LIAR = "model-4"
FAILING = "model-1"
FIFTH = 0.2
LOAD = 0.65
KALBAISHAKHI_DELAY_S = 0.001


def _change_nothing(cluster: Cluster) -> None:
    """Leave all servers well."""


def _slow_one(cluster: Cluster) -> None:
    cluster.servers[SLOW].set_speed(FIFTH)


def _slow_liar(cluster: Cluster) -> None:
    _slow_one(cluster)
    cluster.servers[SLOW].lies = True


def _slow_and_liar(cluster: Cluster) -> None:
    _slow_one(cluster)
    cluster.servers[LIAR].lies = True


def _fail_for_a_while(cluster: Cluster) -> None:
    def set_failing(failing: bool) -> None:
        cluster.servers[FAILING].failing = failing

    cluster.events.after(100.0, set_failing, True)
    cluster.events.after(130.0, set_failing, False)


CASES: Mapping[str, Callable[[Cluster], None]] = {
    "well": _change_nothing,
    "slow": _slow_one,
    "slow, liar": _slow_and_liar,
    "slow liar": _slow_liar,
    "failing": _fail_for_a_while,
}


class Outcomes(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the figures of one balancer in one case."""

    p50_s: float
    p99_s: float
    hits: float
    served: float
    at_slow: float
    """Share of the requests that the slow server got."""


@EXPERIMENTS.register("balance")
def run_balance(options: Options) -> Report:
    """Measure latency and cache hits of each balancer in each case."""
    seconds = 300.0 if options.quick else 2000.0
    figures: dict[str, Any] = {}
    tables = []
    for case in CASES:
        rows = []
        for balancer in VARIANTS:
            found = _run_case(case, balancer, seconds, options.seed)
            _keep(figures, case, balancer, found)
            rows.append(
                [
                    balancer,
                    found.p50_s,
                    found.p99_s,
                    found.hits,
                    found.served,
                    found.at_slow,
                ]
            )
        columns = ["balancer", "p50 s", "p99 s", "hits", "served", f"at {SLOW}"]
        tables.append(Table(title=f"Case: {case}", columns=columns, rows=rows))
    tables.append(_measure_delay(seconds, options.seed, figures))
    if options.plot is not None:
        _plot(options.plot, figures)
    return Report(figures=figures, tables=tables, failures=_check(figures))


def _run_case(
    case: str, balancer: str, seconds: float, seed: int, delay_s: float | None = None
) -> Outcomes:
    policy = VARIANTS[balancer]
    if delay_s is not None:
        policy = msgspec.structs.replace(policy, delay_s=delay_s)
    traffic = Traffic(service="model", load=LOAD, shares=default_shares())
    _, results = run_traffic(
        policy, traffic, seconds=seconds, seed=seed, prepare=CASES[case]
    )
    measured = arrived_in(results, Window(start=60.0, end=seconds))
    return _summarise(measured)


def _summarise(results: Sequence[Result]) -> Outcomes:
    times = latencies(results)
    sent = [r for r in results if r.server is not None]
    return Outcomes(
        p50_s=quantile(times, 0.5),
        p99_s=quantile(times, 0.99),
        hits=hit_share(results),
        served=served_share(results),
        at_slow=sum(r.server == SLOW for r in sent) / len(sent),
    )


def _keep(figures: dict[str, Any], case: str, balancer: str, found: Outcomes) -> None:
    prefix = f"{case}/{balancer}".replace(", ", "_").replace(" ", "_")
    prefix = prefix.replace("-", "_").replace("/", "_")
    for field, value in msgspec.structs.asdict(found).items():
        figures[f"{prefix}_{field}"] = value


def _measure_delay(seconds: float, seed: int, figures: dict[str, Any]) -> Table:
    """Repeat the first balancer's slow case with the longer delay of Kalbaishakhi."""
    found = _run_case("slow", FIRST, seconds, seed, KALBAISHAKHI_DELAY_S)
    figures["slow_affine_1ms_p99_s"] = found.p99_s
    return Table(
        title="Case: slow, 1 ms between failure domains",
        columns=["balancer", "p50 s", "p99 s", "hits"],
        rows=[[FIRST, found.p50_s, found.p99_s, found.hits]],
    )


def _check(figures: Mapping[str, Any]) -> list[str]:
    failures = []
    for case in ("slow", "slow_liar"):
        own = figures[f"{case}_affine_p99_s"]
        for other in ("bare_round_robin", "bare_least_loaded"):
            theirs = figures[f"{case}_{other}_p99_s"]
            if math.isnan(own) or own > theirs:
                failures.append(f"{case}: affine p99 {own:.3g} s, {other} {theirs:.3g}")
    return failures


def _plot(path: Path, figures: Mapping[str, Any]) -> None:
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(1, 2, figsize=(10, 4))
    cases = ["well", "slow", "slow_liar"]
    width = 0.8 / len(VARIANTS)
    for number, balancer in enumerate(VARIANTS):
        key = balancer.replace("-", "_").replace(" ", "_")
        positions = [i + number * width for i in range(len(cases))]
        for axis, field in zip(axes, ("p99_s", "hits"), strict=True):
            heights = [figures[f"{case}_{key}_{field}"] for case in cases]
            axis.bar(positions, heights, width, label=balancer)
    for axis, label in zip(axes, ("p99 latency (s)", "cache hit share"), strict=True):
        axis.set_xticks([i + 0.3 for i in range(len(cases))], cases)
        axis.set_ylabel(label)
    axes[0].legend()
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)
