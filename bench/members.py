"""What instances cost each other and the store, by their number, in virtual time."""

from __future__ import annotations

import asyncio
import time

import msgspec

from baobabthread.routing.bounds import RoutingBounds
from bench._fleet import Fleet, quiet_logs
from bench._virtual import run_virtually
from bench.experiment import EXPERIMENTS, Options, Report, Table

BACKENDS = 69
BOUNDS = RoutingBounds(apply_s=4.0, drain_s=4.0)
MEET_S = 6.0
CALM_S = 6.0
CHANGES = 6
OUTAGE_S = 4.0
LOSS_S = 8.0
LEAST_FRESH_S = 4.0
"""Age of knowledge at which keys are about to be refused."""


class Costs(msgspec.Struct, frozen=True, kw_only=True):
    """Hold what a number of instances cost."""

    members: int
    meet_calls: int
    """Calls to the store from the start of all until all have met."""
    meet_kb: float
    """Kilobytes that an instance sends in that time."""
    calm_calls_s: float
    """Calls to the store a second of all together."""
    calm_kb_s: float
    """Kilobytes a second that an instance sends."""
    cpu_percent: float
    """Part of a core of this machine that an instance takes, in percent."""
    change_kb: float
    """Kilobytes that an instance sends for one change of a backend server."""
    outage_calls: int
    """Calls to a store that is away."""
    known_s: float
    """Seconds until all know of the loss of a failure domain."""
    oldest_s: float
    """Oldest knowledge of the operators' will while that domain is lost."""


async def _measure(count: int, seed: int) -> Costs:
    fleet = Fleet(count=count, seed=seed, bounds=BOUNDS)
    fleet.store.write_configuration(1)
    for number in range(BACKENDS):
        fleet.store.write_backend(number, domains=fleet.domains)
    await fleet.start()
    await asyncio.sleep(MEET_S)
    met_calls, met_bytes = fleet.calls, fleet.bytes_sent
    fleet.reset_counts()
    began = time.process_time()
    await asyncio.sleep(CALM_S)
    cpu_s = time.process_time() - began
    calm_calls, calm_bytes = fleet.calls, fleet.bytes_sent
    fleet.reset_counts()
    for number in range(CHANGES):
        fleet.store.write_backend(number, domains=fleet.domains, leaving=True)
        await asyncio.sleep(1.0)
    changed = fleet.bytes_sent - calm_bytes * CHANGES / CALM_S
    fleet.reset_counts()
    fleet.store.is_away = True
    await asyncio.sleep(OUTAGE_S)
    fleet.store.is_away = False
    outage_calls = fleet.calls
    await asyncio.sleep(MEET_S)
    known_s, oldest_s = await _lose_domain(fleet)
    return Costs(
        members=count,
        meet_calls=met_calls,
        meet_kb=met_bytes / count / 1e3,
        calm_calls_s=calm_calls / CALM_S,
        calm_kb_s=calm_bytes / count / CALM_S / 1e3,
        cpu_percent=100.0 * cpu_s / count / CALM_S,
        change_kb=max(0.0, changed) / CHANGES / count / 1e3,
        outage_calls=outage_calls,
        known_s=known_s,
        oldest_s=oldest_s,
    )


async def _lose_domain(fleet: Fleet) -> tuple[float, float]:
    lost = [m for m in fleet.members.values() if m.domain == "domain1"]
    left = len(fleet.members) - len(lost)
    for member in lost:
        member.stop()
    waited_s, oldest_s = 0.0, 0.0
    while fleet.most_known > left and waited_s < LOSS_S:
        await asyncio.sleep(0.1)
        waited_s += 0.1
        oldest_s = max(oldest_s, fleet.oldest_s)
    return waited_s, oldest_s


@EXPERIMENTS.register("members")
def measure_members(options: Options) -> Report:
    """Let numbers of instances meet, change and lose each other."""
    counts = (23, 195) if options.quick else (23, 100, 195, 400)
    with quiet_logs():
        found = [run_virtually(_measure(count, options.seed)) for count in counts]
    fields = Costs.__struct_fields__
    failures = [
        f"{costs.members} instances: knowledge {costs.oldest_s:.1f} s old"
        for costs in found
        if costs.oldest_s >= LEAST_FRESH_S
    ]
    return Report(
        figures={str(costs.members): msgspec.structs.asdict(costs) for costs in found},
        tables=[
            Table(
                title="Instances in virtual time, one start of all each",
                columns=fields,
                rows=[[getattr(costs, field) for field in fields] for costs in found],
            )
        ],
        failures=failures,
    )
