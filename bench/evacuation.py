"""How soon all instances hear of an evacuation and of a lost domain, virtually."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import msgspec

from baobabthread.routing.bounds import RoutingBounds
from bench._fleet import Fleet, quiet_logs
from bench._virtual import run_virtually
from bench.experiment import EXPERIMENTS, Options, Report, Table

BACKENDS = 69
BOUNDS = RoutingBounds(apply_s=3.0, drain_s=3.0, evacuation_s=5.0)
MEET_S = 6.0
CALM_S = 4.0
MOST_S = 10.0
STEP_S = 0.05
GONE_S = 7.0
"""Time after which the directory must not name an instance that is gone."""


class Spread(msgspec.Struct, frozen=True, kw_only=True):
    """Hold how word of one evacuation spread, and what it cost."""

    members: int
    given_s: float
    """Seconds until the last instance knew that a domain is evacuated."""
    taken_back_s: float
    calls: int
    """Calls to the store beyond those of a calm time, for both words."""
    kb: float
    """Kilobytes that an instance sent and fetched beyond a calm time, for both."""
    lost_s: float
    """Seconds until the last instance names none of a failure domain that is lost."""
    young_s: float
    """The same at the instances that start anew a second after that loss."""


async def _wait(condition: Callable[[], bool]) -> float:
    waited_s = 0.0
    while not condition() and waited_s < MOST_S:
        await asyncio.sleep(STEP_S)
        waited_s += STEP_S
    return waited_s


def _all_know(fleet: Fleet, domains: frozenset[str]) -> bool:
    return all(m.knowledge.evacuations.domains == domains for m in fleet.up())


async def _measure(count: int, seed: int) -> Spread:
    fleet = Fleet(count=count, seed=seed, domains=4, bounds=BOUNDS)
    fleet.store.write_configuration(1)
    for number in range(BACKENDS):
        fleet.store.write_backend(number, domains=fleet.domains)
    await fleet.start()
    await asyncio.sleep(MEET_S)
    fleet.reset_counts()
    await asyncio.sleep(CALM_S)
    calm_calls_s = fleet.calls / CALM_S
    calm_bytes_s = fleet.bytes_sent / CALM_S
    fleet.reset_counts()
    fleet.store.write_evacuation("domain1")
    given_s = await _wait(lambda: _all_know(fleet, frozenset({"domain1"})))
    fleet.store.write_evacuation("domain1", is_on=False)
    taken_back_s = await _wait(lambda: _all_know(fleet, frozenset()))
    lasted_s = given_s + taken_back_s
    calls = fleet.calls - calm_calls_s * lasted_s
    sent = fleet.bytes_sent - calm_bytes_s * lasted_s
    lost_s, young_s = await _lose_domain(fleet)
    return Spread(
        members=count,
        given_s=given_s,
        taken_back_s=taken_back_s,
        calls=round(max(0.0, calls)),
        kb=round(max(0.0, sent) / count / 1e3, 2),
        lost_s=lost_s,
        young_s=young_s,
    )


async def _lose_domain(fleet: Fleet) -> tuple[float, float]:
    lost = {m.name for m in fleet.members.values() if m.domain == "domain1"}
    for name in lost:
        fleet.members[name].stop()
    await asyncio.sleep(1.0)
    young = [m for m in fleet.up() if m.domain == "domain2"][:3]
    for member in young:
        member.stop()
        member.restart()
    gone: dict[str, float] = {}
    waited_s = 1.0
    while waited_s < MOST_S:
        for member in fleet.up():
            membership = member.link.membership
            dark = membership.table.list_dark_domains()
            serving = membership.alive()
            names = {m.name for m in serving if m.failure_domain not in dark}
            if names & lost:
                gone[member.name] = waited_s + STEP_S
        await asyncio.sleep(STEP_S)
        waited_s += STEP_S
    young_names = {member.name for member in young}
    return (
        max(gone.values(), default=0.0),
        max((at for name, at in gone.items() if name in young_names), default=0.0),
    )


@EXPERIMENTS.register("evacuation")
def measure_evacuation(options: Options) -> Report:
    """Evacuate a domain before numbers of instances, then lose one."""
    counts = (6, 59) if options.quick else (6, 59, 300)
    with quiet_logs():
        found = [run_virtually(_measure(count, options.seed)) for count in counts]
    fields = Spread.__struct_fields__
    failures = [
        f"{s.members} instances: known after {s.given_s:.1f} s"
        for s in found
        if max(s.given_s, s.taken_back_s) >= BOUNDS.evacuation_s
    ]
    failures += [
        f"{s.members} instances: lost ones named for {s.lost_s:.1f} s"
        for s in found
        if s.lost_s >= GONE_S
    ]
    return Report(
        figures={str(s.members): msgspec.structs.asdict(s) for s in found},
        tables=[
            Table(
                title="Word of an evacuation, taken back, and a domain lost",
                columns=fields,
                rows=[[getattr(s, field) for field in fields] for s in found],
            )
        ],
        failures=failures,
    )
