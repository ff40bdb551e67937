"""What it costs many instances to agree on held requests, in virtual time."""

from __future__ import annotations

import asyncio
import time
import tracemalloc

import msgspec
from msgspec.structs import asdict

from baobabthread.instance.clock import now
from baobabthread.routing.bounds import RoutingBounds
from baobabthread.routing.crashes import MAX_CRASHES, Crash, CrashAnalysis
from baobabthread.routing.quarantine import MAX_ENTRIES, Quarantine
from bench._fleet import Fleet, quiet_logs
from bench._parts import Outcome, play
from bench._virtual import run_virtually
from bench.experiment import EXPERIMENTS, Options, Report, Table

BOUNDS = RoutingBounds(apply_s=4.0, drain_s=4.0)
MEET_S = 6.0
CRASHES = 3
PAUSE_S = 0.3
TOLD_S = 1.0
"""Time in which the last word about a row of crashes is told."""
BESIDE = 127
"""Good requests on each server that crashes."""
CALM_S = 10.0
MOST_KNOWN_S = 2.0
"""Longest time until all know; callers' next tries come after some seconds."""
MOST_KB_S = 14.0
"""What an instance may send for control."""
KINDS = ("crash.seen", "quarantine.are", "quarantine.compare")
SERVICE = "content"


class Costs(msgspec.Struct, frozen=True, kw_only=True):
    """Hold what a number of instances cost each other."""

    members: int
    known_s: float
    """From the third crash until all hold the request."""
    row_kb_s: float
    """Kilobytes a second that an instance sends around a row of crashes, on average."""
    row_cpu_ms: float
    """Processor time that an instance takes for it, on average."""
    calm_b_s: float
    """Bytes a second that an instance sends while the longest list is held."""
    calm_cpu_percent: float
    """Part of a core that an instance takes for all its control meanwhile."""


def _report_crash(fleet: Fleet, number: int) -> None:
    members = list(fleet.up())
    there = ["bad".ljust(16, "0"), *(f"{number:08x}{n:08x}" for n in range(BESIDE))]
    for place, member in enumerate(members):
        # One instance tells of all its own requests on the server in one message.
        own = there[place :: len(members)]
        if own:
            member.link.quarantine.report_crash(_make_crash(number, own))


def _make_crash(number: int, fresh: list[str]) -> Crash:
    return Crash(
        backend=f"i-{number:08x}",
        service=SERVICE,
        version="v1",
        is_proven=True,
        fresh=fresh,
        older=[],
    )


async def _measure(count: int, seed: int) -> Costs:
    fleet = Fleet(count=count, seed=seed, bounds=BOUNDS)
    fleet.store.write_configuration(1)
    await fleet.start()
    await asyncio.sleep(MEET_S)
    idle_s = await _measure_cpu(1.0)
    fleet.reset_counts()
    began = time.process_time()
    for number in range(CRASHES):
        _report_crash(fleet, number)
        await asyncio.sleep(PAUSE_S)
    known_s = await _wait_known(fleet)
    await asyncio.sleep(TOLD_S)
    passed_s = CRASHES * PAUSE_S + known_s + TOLD_S
    row_cpu_s = time.process_time() - began - idle_s * passed_s
    row_bytes = _count(fleet)
    for member in fleet.up():
        desk = member.link.quarantine
        for number in range(MAX_ENTRIES - 1):
            desk.quarantine.add(f"{number:016x}", SERVICE, (), now())
        desk.unwritten.clear()
    fleet.reset_counts()
    calm_cpu_s = await _measure_cpu(CALM_S)
    return Costs(
        members=count,
        known_s=known_s,
        row_kb_s=row_bytes / count / passed_s / 1e3,
        row_cpu_ms=max(0.0, row_cpu_s) / count * 1e3,
        calm_b_s=_count(fleet) / count / CALM_S,
        calm_cpu_percent=100.0 * calm_cpu_s / count / CALM_S,
    )


async def _measure_cpu(seconds: float) -> float:
    began = time.process_time()
    await asyncio.sleep(seconds)
    return time.process_time() - began


async def _wait_known(fleet: Fleet) -> float:
    waited_s = 0.0
    while waited_s < 2 * MOST_KNOWN_S:
        lists = (member.link.quarantine.quarantine for member in fleet.up())
        if all(held.quarantined(now()) for held in lists):
            break
        await asyncio.sleep(0.05)
        waited_s += 0.05
    return waited_s


def _count(fleet: Fleet) -> int:
    return sum(fleet.sent[kind] for kind in KINDS)


def _measure_memory() -> float:
    """Return the kilobytes of the longest list and of the most crashes."""
    tracemalloc.start()
    quarantine, ledger = Quarantine(), CrashAnalysis()
    for number in range(MAX_ENTRIES):
        quarantine.add(f"{number:016x}", SERVICE, (), 0.0)
    for number in range(MAX_CRASHES):
        fresh = [f"{number:08x}{n:08x}" for n in range(BESIDE + 1)]
        ledger.record(_make_crash(number, fresh), float(number))
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size / 1e3


PART_COUNTS = (6, 59, 195, 400)
PART_RUNS = 12
"""Runs of the smallest number of instances; larger ones get fewer."""


def _measure_parts(options: Options) -> Report:
    """Let callers share a prompt part that crashes servers."""
    counts = [options.instances] if options.instances else list(PART_COUNTS)
    if options.quick:
        counts = counts[:2]
    found = []
    with quiet_logs():
        for count in counts:
            runs = max(1, PART_RUNS * PART_COUNTS[0] // count)
            for seed in range(options.seed, options.seed + runs):
                found.append(run_virtually(play(count, seed)))
    fields = Outcome.__struct_fields__
    return Report(
        figures={f"{each.instances}/{each.seed}": asdict(each) for each in found},
        tables=[
            Table(
                title="A prompt part that crashes servers, in virtual time",
                columns=fields,
                rows=[[getattr(each, field) for field in fields] for each in found],
            )
        ],
        failures=[failure for each in found for failure in each.list_failures()],
        verdict="holds",
    )


@EXPERIMENTS.register("quarantine")
def measure_quarantine(options: Options) -> Report:
    """Let numbers of instances agree on a request that crashes servers."""
    if options.parts:
        return _measure_parts(options)
    counts = (23, 195) if options.quick else (6, 23, 195, 400)
    with quiet_logs():
        found = [run_virtually(_measure(count, options.seed)) for count in counts]
    memory_kb = _measure_memory()
    fields = Costs.__struct_fields__
    failures = [
        f"{costs.members} instances: known after {costs.known_s:.1f} s, "
        f"{costs.row_kb_s:.1f} KB/s each"
        for costs in found
        if costs.known_s > MOST_KNOWN_S or costs.row_kb_s > MOST_KB_S
    ]
    figures: dict[str, object] = {str(costs.members): asdict(costs) for costs in found}
    return Report(
        figures=figures | {"memory_kb": memory_kb},
        tables=[
            Table(
                title=f"Held requests in virtual time; {memory_kb:.0f} KB at most",
                columns=fields,
                rows=[[getattr(costs, field) for field in fields] for costs in found],
            )
        ],
        failures=failures,
    )
