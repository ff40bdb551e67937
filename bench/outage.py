"""Load on six entries while the log is down for the middle third of it."""

from __future__ import annotations

import asyncio
import contextlib
import tempfile
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import msgspec

from baobabthread.load.tool import Record, Work
from bench._cluster import Cluster
from bench._loads import (
    FREE,
    MIXED,
    Counts,
    Evidence,
    TimedLoad,
    make_settings,
)
from bench.experiment import EXPERIMENTS, Options, Report, Table

THIRDS = ("before", "log down", "after")
RATE_PER_S = 60.0
FREE_PER_S = 4.0
"""Warnings with keys that any entry may claim; claims need the log."""
SETTLE_S = 12.0
AIM_RATIO = 0.98
COLUMNS = (
    *("requests", "answered", "refused", "failed", "unknown", "cut"),
    *("lost", "doubled", "ran_though_refused", "unbilled"),
)


class Scale(msgspec.Struct, frozen=True, kw_only=True):
    """Bound the experiment."""

    third_s: float


class Outcome(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the counts of each third."""

    mixed: list[Counts]
    """Chats, streams, plain calls and warnings under bound keys."""
    bound: list[Counts]
    """Of these, the warnings."""
    free: list[Counts]
    """Warnings under free keys, which an outage refuses."""
    billed_twice: int
    unsettled: dict[str, int]


async def watch_outage(scale: Scale, seed: int) -> Outcome:
    """Drive both loads and take the log down meanwhile."""
    environment = {"BAOBABTHREAD_ADDRESS_LIFETIME": "1.0"}
    async with contextlib.AsyncExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        cluster = await stack.enter_async_context(
            Cluster(folder=folder, environment=environment)
        )
        loads = [
            TimedLoad(
                cluster=cluster,
                settings=make_settings(
                    cluster,
                    shares,
                    rate_per_s=rate_per_s,
                    duration_s=3 * scale.third_s,
                    seed=seed,
                ),
            )
            for shares, rate_per_s in ((MIXED, RATE_PER_S), (FREE, FREE_PER_S))
        ]
        running = [asyncio.ensure_future(load.run()) for load in loads]
        await asyncio.sleep(scale.third_s)
        await cluster.set_log_faults(outage=True)
        await asyncio.sleep(scale.third_s)
        await cluster.set_log_faults()
        await asyncio.gather(*running)
        unsettled = await cluster.wait_settled(SETTLE_S)
        bills = await cluster.read_bills()
        mixed, free = loads
        evidence = Evidence(
            runs=await mixed.find_runs() + await free.find_runs(), bills=bills
        )
        mixed_thirds = split_thirds(mixed, scale)
        bound_thirds = [
            [record for record in third if record.work is Work.BOUND]
            for third in mixed_thirds
        ]
        return Outcome(
            mixed=[evidence.count(third) for third in mixed_thirds],
            bound=[evidence.count(third) for third in bound_thirds],
            free=[evidence.count(third) for third in split_thirds(free, scale)],
            billed_twice=evidence.count_billed_twice(),
            unsettled=unsettled,
        )


def split_thirds(load: TimedLoad, scale: Scale) -> list[list[Record]]:
    """Return the records of each third, by when their requests were due."""
    thirds: list[list[Record]] = [[], [], []]
    for timed in load.tally.list_timed():
        place = int((timed.due - load.started) / scale.third_s)
        thirds[min(2, max(0, place))].append(timed.record)
    return thirds


def compare_shares(thirds: Sequence[Counts]) -> float:
    """Return the answered share of the middle third over that of the first."""
    first, middle, _ = (each.answered / max(1, each.requests) for each in thirds)
    return middle / first if first else 0.0


def report(outcome: Outcome) -> Report:
    """Return the figures and what did not hold."""
    rows: list[list[Any]] = []
    failures = []
    figures: dict[str, Any] = dict.fromkeys(COLUMNS, 0)
    loads = (("all but free keys", outcome.mixed), ("free keys", outcome.free))
    for name, thirds in loads:
        for third, counts in zip(THIRDS, thirds, strict=True):
            values = [getattr(counts, column) for column in COLUMNS]
            rows.append([name, third, *values])
            for column, value in zip(COLUMNS, values, strict=True):
                figures[column] += value
            failures += [f"{name}, {third}: {v}" for v in counts.list_violations()]
    for third, counts in zip(THIRDS, outcome.bound, strict=True):
        values = [getattr(counts, column) for column in COLUMNS]
        rows.append(["of these, warnings", third, *values])
    figures["answered_ratio"] = compare_shares(outcome.mixed)
    figures["bound_answered_ratio"] = compare_shares(outcome.bound)
    figures["free_refused_in_outage"] = outcome.free[1].refused
    figures["billed_twice"] = outcome.billed_twice
    if outcome.billed_twice:
        failures.append(f"{outcome.billed_twice} billed twice")
    if outcome.unsettled:
        failures.append(f"bills still open after {SETTLE_S} s: {outcome.unsettled}")
    table = Table(
        title="A log outage in the middle third (free keys need the log)",
        columns=("load", "third", *COLUMNS),
        rows=rows,
    )
    ratios = Table(
        title=f"Answered share of the middle third against the first, aim {AIM_RATIO}",
        columns=("all but free keys", "warnings under bound keys"),
        rows=[[figures["answered_ratio"], figures["bound_answered_ratio"]]],
    )
    return Report(figures=figures, tables=[table, ratios], failures=failures)


@EXPERIMENTS.register("outage")
def run(options: Options) -> Report:
    """Count what a log outage does to callers."""
    scale = Scale(third_s=8.0 if options.quick else 20.0)
    return report(asyncio.run(watch_outage(scale, options.seed)))
