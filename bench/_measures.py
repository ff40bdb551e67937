"""Figures drawn from the results of a run."""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Iterable, Sequence

import msgspec

from bench._entries import ENTRIES, Cluster
from bench._policies import Policy, Result
from bench._workload import Traffic, generate

DRAIN_S = 30.0


class Window(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the span of a run that is measured, without its start and end."""

    start: float
    end: float


def run_traffic(
    policy: Policy,
    traffic: Traffic,
    *,
    seconds: float,
    seed: int,
    prepare: Callable[[Cluster], None] = lambda cluster: None,
) -> tuple[Cluster, list[Result]]:
    """Run one kind of traffic through six entries."""
    cluster = Cluster(policy=policy, seed=seed)
    prepare(cluster)
    rng = random.Random(f"traffic-{traffic.service}-{seed}")
    arrivals = generate(traffic, start=0.0, end=seconds, entries=ENTRIES, rng=rng)
    return cluster, cluster.run(arrivals, until=seconds + DRAIN_S)


def quantile(values: Iterable[float], part: float) -> float:
    """Return a quantile, or not a number when there is no value."""
    ordered = sorted(values)
    if not ordered:
        return math.nan
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))]


def arrived_in(results: Iterable[Result], window: Window) -> list[Result]:
    """Return the results of tries that came in within a window."""
    return [r for r in results if window.start <= r.arrived_at < window.end]


def goodput(results: Iterable[Result], window: Window) -> float:
    """Return the tokens' worth a second of answers that came in time."""
    work = sum(
        r.full_work
        for r in results
        if r.outcome == "ok" and window.start <= r.ended_at < window.end
    )
    return work / (window.end - window.start)


def served_share(results: Sequence[Result]) -> float:
    """Return the share of tries that were answered in time."""
    if not results:
        return math.nan
    return sum(r.outcome == "ok" for r in results) / len(results)


def hit_share(results: Iterable[Result]) -> float:
    """Return the share of prefix tokens that were found in a cache."""
    done = [r for r in results if r.outcome == "ok"]
    asked = sum(r.arrival.kind.prefix_tokens for r in done)
    return sum(r.cached_tokens for r in done) / asked if asked else math.nan


def latencies(results: Iterable[Result]) -> list[float]:
    """Return the seconds from arrival to answer of answered tries."""
    return [r.ended_at - r.arrived_at for r in results if r.outcome == "ok"]
