"""Time from a publish until its text is in force at all six entries."""

from __future__ import annotations

import asyncio
import contextlib
import math
import random
import statistics
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import msgspec

from bench._cluster import Cluster, Entry
from bench._processes import publish, read_generation
from bench._wire import Wire
from bench.experiment import EXPERIMENTS, Options, Report, Table

SECTION = "kalbaishakhi"
CHANGED = "weight = 4"
"""The line of the text that each publish changes."""
POLL_S = 0.005
LIMIT_S = 15.0
AIM_S = 1.0
SLOW_MS = 300.0
PAUSE_S = 0.7
"""Longest pause before a publish: it meets the readers of the log at any phase."""
CUT_S = 4.0
"""Longer than the bound on freshness, so that the cut one lives on its peers' word."""


class Scale(msgspec.Struct, frozen=True, kw_only=True):
    """Bound the experiment."""

    publishes: int
    """Publishes under each condition."""


class Spread(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the times of one publish, in seconds from its start."""

    answered_s: float
    in_force_s: dict[str, float]
    """When it was in force, by entry."""

    @property
    def last_s(self) -> float:
        """Give when the last entry had it in force."""
        return max(self.in_force_s.values())


class Run:
    """Publish under one condition after the other."""

    def __init__(self, *, cluster: Cluster, scale: Scale, seed: int) -> None:
        self._cluster = cluster
        self._scale = scale
        self._rng = random.Random(seed)
        self._published = 0
        self._generation = 0
        self.results: dict[str, list[Spread]] = {}

    async def measure(self, condition: str, through: list[Entry]) -> None:
        """Publish through these entries in turn and keep the times."""
        entries = list(self._cluster.entries.values())
        self._generation = max(await self._read_all(entries))
        results = self.results.setdefault(condition, [])
        for number in range(self._scale.publishes):
            await asyncio.sleep(self._rng.uniform(0.0, PAUSE_S))
            results.append(await self._spread(through[number % len(through)], entries))

    async def _read_all(self, entries: list[Entry]) -> list[int]:
        session = self._cluster.session
        return [await read_generation(session, entry.port) for entry in entries]

    async def _spread(self, entry: Entry, entries: list[Entry]) -> Spread:
        self._published += 1
        text = self._cluster.texts[SECTION]
        weight = 5 + self._published % 90
        text = text.replace(CHANGED, f"weight = {weight}", 1)
        started = time.monotonic()
        watches = [
            asyncio.ensure_future(self._watch(each, started)) for each in entries
        ]
        generation = await publish(self._cluster.session, entry.port, SECTION, text)
        answered_s = time.monotonic() - started
        times = await asyncio.gather(*watches)
        self._generation = generation
        in_force_s = {e.name: s for e, s in zip(entries, times, strict=True)}
        return Spread(answered_s=answered_s, in_force_s=in_force_s)

    async def _watch(self, entry: Entry, started: float) -> float:
        """Return when an entry had a newer generation in force, inf if it never had."""
        while (passed := time.monotonic() - started) < LIMIT_S:
            found = await read_generation(self._cluster.session, entry.port)
            if found > self._generation:
                return time.monotonic() - started
            await asyncio.sleep(POLL_S if passed < 1.0 else 10 * POLL_S)
        return math.inf


Condition = Callable[[Run, Cluster, Wire], Awaitable[None]]


async def run_up(run: Run, cluster: Cluster, wire: Wire) -> None:
    """Publish while all is well."""
    del wire
    await run.measure("log up", list(cluster.entries.values()))


async def run_slow(run: Run, cluster: Cluster, wire: Wire) -> None:
    """Publish while the log delays each append and read."""
    del wire
    await cluster.set_log_faults(delay_ms=SLOW_MS)
    await run.measure("log slow", list(cluster.entries.values()))
    await cluster.set_log_faults()


async def run_cut(run: Run, cluster: Cluster, wire: Wire) -> None:
    """Publish through the others while one entry hears nothing from the platform."""
    wire.cut()
    await asyncio.sleep(CUT_S)
    await run.measure("one cut from the log", list(cluster.entries.values())[:-1])
    wire.heal()


async def spread(scale: Scale, seed: int) -> Report:
    """Publish under all conditions."""
    async with contextlib.AsyncExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        cluster = await stack.enter_async_context(Cluster(folder=folder, entries=5))
        wire = await stack.enter_async_context(Wire(port=cluster.platform_port))
        last = await cluster.start_entry(cluster.next_name(), platform_port=wire.port)
        await cluster.wait_ready(last)
        run = Run(cluster=cluster, scale=scale, seed=seed)
        conditions: tuple[Condition, ...] = (run_up, run_slow, run_cut)
        for condition in conditions:
            await condition(run, cluster, wire)
    return report(run.results)


def report(results: dict[str, list[Spread]]) -> Report:
    """Return the figures of all conditions."""
    figures: dict[str, Any] = {}
    rows = []
    for condition, spreads in results.items():
        times = [each.last_s for each in spreads]
        name = condition.replace(" ", "_")
        p50, largest = statistics.median(times), max(times)
        answered = statistics.median([each.answered_s for each in spreads])
        figures[f"p50_s_{name}"] = p50
        figures[f"max_s_{name}"] = largest
        rows.append([condition, len(times), answered, p50, largest])
    everything = [each.last_s for spreads in results.values() for each in spreads]
    figures["p50_s"] = statistics.median(everything)
    figures["max_s"] = max(everything)
    figures["publishes"] = len(everything)
    figures["aim_s"] = AIM_S
    table = Table(
        title="Seconds from publish to in force at all six entries",
        columns=["condition", "publishes", "answered p50", "in force p50", "max"],
        rows=rows,
    )
    failures = []
    if missed := sum(math.isinf(time_s) for time_s in everything):
        failures.append(f"{missed} publishes not in force everywhere in {LIMIT_S} s")
    figures["not_in_force"] = missed
    return Report(figures=figures, tables=[table], failures=failures)


@EXPERIMENTS.register("spread")
def run(options: Options) -> Report:
    """Measure how fast a text takes hold everywhere."""
    scale = Scale(publishes=12 if options.quick else 40)
    return asyncio.run(spread(scale, options.seed))
