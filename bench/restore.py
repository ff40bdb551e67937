"""How instances follow a store that is restored from an older copy."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import msgspec

from baobabthread.core.registry import Registry
from baobabthread.instance.clock import now
from baobabthread.routing.bounds import RoutingBounds
from bench._fleet import LOSS, Fleet, Member, quiet_logs
from bench._virtual import run_virtually
from bench.experiment import EXPERIMENTS, Options, Report, Table

FULL = (1, 6, 59, 195, 400)
QUICK = (1, 6, 59)
BOUNDS = RoutingBounds(apply_s=4.0, drain_s=2.0)
BACKENDS = 69
MEET_S = 6.0
LOST_S = 2.0
"""Age of the copy."""
AWAY_S = 0.8
LOST_VERSIONS = (7, 8)
NEXT_VERSION = 9
LOST_DOMAIN = "domain1"
STEP_S = 0.05
MAX_KNOWN_S = 1.0
"""Time from the store's return until all instances have what was acknowledged."""
LIMITS_S = {
    "era_known_s": MAX_KNOWN_S,
    "lost_known_s": MAX_KNOWN_S,
    "next_known_s": BOUNDS.apply_s,
    "server_known_s": BOUNDS.drain_s,
    "restarted_s": BOUNDS.apply_s / 2,
}
MAX_WAIT_S = 8.0
CALLS_PER_MEMBER = 4.0
"""Calls in the second after the return that a start of all instances makes, too."""
MIN_CALLS = 40.0

Trouble = Callable[[Fleet], None]
TROUBLES: Registry[Trouble] = Registry(what="trouble")


@TROUBLES.register("calm")
def leave_calm(fleet: Fleet) -> None:
    """Let nothing else happen."""


@TROUBLES.register("one message in ten lost")
def lose_messages(fleet: Fleet) -> None:
    """Lose one datagram in ten."""
    fleet.loss = 0.1


@TROUBLES.register("half refused")
def refuse_half(fleet: Fleet) -> None:
    """Let the store refuse half of the instances."""
    members = list(fleet.members.values())
    for member in fleet.rng.sample(members, len(members) // 2):
        member.store.is_refused = True


@TROUBLES.register("some cut off")
def cut_some(fleet: Fleet) -> None:
    """Cut instances off from all others and the store while the lost is written."""
    members = list(fleet.members.values())
    for member in fleet.rng.sample(members, max(len(members) // 6, 1)):
        member.is_cut = len(members) > 1


@TROUBLES.register("two copies in a row")
def restore_twice(fleet: Fleet) -> None:
    """Restore the store once more half a second after its return."""
    loop = asyncio.get_running_loop()
    loop.call_later(LOST_S + 0.5, lambda: fleet.store.restore(0.4))


class Outcome(msgspec.Struct, frozen=True, kw_only=True):
    """Hold how a restore went."""

    era_known_s: float
    """Time from the return until all instances know the new era."""
    lost_known_s: float
    """The same for the newest configuration, which the store lost."""
    next_known_s: float
    """Time from the acknowledgement of the next configuration until all have it."""
    server_known_s: float
    """The same for a backend server that comes then."""
    restarted_s: float
    """Time until an instance that starts anew has the newest configuration."""
    older: int
    """Times at which an instance had an older configuration than before."""
    lost_evacuations: int
    """Instances that use a failure domain whose evacuation the store lost."""
    calls: int
    """Calls at the store in the second after its return."""
    kb_s: float
    """Kilobytes a second that an instance sends for all control meanwhile."""


async def _measure(count: int, *, seed: int, trouble: Trouble) -> Outcome:
    fleet = Fleet(count=count, seed=seed, bounds=BOUNDS, loss=LOSS)
    store = fleet.store
    store.write_configuration(1)
    for number in range(BACKENDS):
        store.write_backend(number, domains=fleet.domains)
    await fleet.start()
    await asyncio.sleep(MEET_S)
    for version in range(2, LOST_VERSIONS[0]):
        store.write_configuration(version)
        await asyncio.sleep(0.3)
    await asyncio.sleep(1.0)
    watch = asyncio.ensure_future(_count_older(fleet))
    trouble(fleet)
    for version in LOST_VERSIONS:
        store.write_configuration(version)
    store.write_evacuation(LOST_DOMAIN)
    await asyncio.sleep(LOST_S - AWAY_S)
    store.is_away = True
    await asyncio.sleep(AWAY_S)
    lost = store.restore(LOST_S + AWAY_S)
    _reconnect(fleet)
    store.is_away = False
    fleet.reset_counts()
    returned_at = now()
    era_known_s, lost_known_s, calls = await asyncio.gather(
        _wait(lambda: all(m.eras.current == store.era for m in fleet.up())),
        _wait(lambda: _have_version(fleet, LOST_VERSIONS[-1])),
        _count_calls(fleet),
    )
    without = sum(
        LOST_DOMAIN not in m.knowledge.evacuations.domains for m in fleet.up()
    )
    restarted_s = await _restart_one(fleet)
    store.write_configuration(NEXT_VERSION)
    store.write_backend(BACKENDS, domains=fleet.domains)
    next_known_s, server_known_s = await asyncio.gather(
        _wait(lambda: _have_version(fleet, NEXT_VERSION)),
        _wait(lambda: _have_server(fleet, BACKENDS)),
    )
    kb_s = fleet.bytes_sent / count / (now() - returned_at) / 1e3
    store.write_again(lost)
    await asyncio.sleep(1.5)
    watch.cancel()
    await asyncio.gather(watch, return_exceptions=True)
    return Outcome(
        era_known_s=era_known_s,
        lost_known_s=lost_known_s,
        next_known_s=next_known_s,
        server_known_s=server_known_s,
        restarted_s=restarted_s,
        older=fleet.older,
        lost_evacuations=without,
        calls=calls,
        kb_s=kb_s,
    )


def _reconnect(fleet: Fleet) -> None:
    for member in fleet.members.values():
        if member.is_cut:
            member.is_cut = False


async def _restart_one(fleet: Fleet) -> float:
    """Restart an instance; return when it is trusted with the newest configuration."""
    if len(fleet.members) == 1:
        return 0.0
    member = fleet.rng.choice(list(fleet.up()))
    member.stop()
    member.restart()
    return await _wait(lambda: _is_up_to_date(member))


def _is_up_to_date(member: Member) -> bool:
    replica = member.knowledge
    return replica.version >= LOST_VERSIONS[-1] and replica.is_fresh(now())


async def _count_older(fleet: Fleet) -> None:
    """Count instances that rely on an older configuration than they had."""
    newest: dict[str, int] = {}
    while True:
        for member in fleet.up():
            replica = member.knowledge
            known = newest.get(member.name, 0)
            if replica.is_fresh(now()) and replica.version < known:
                fleet.older += 1
            newest[member.name] = max(known, replica.version)
        await asyncio.sleep(STEP_S)


async def _count_calls(fleet: Fleet) -> int:
    await asyncio.sleep(1.0)
    return fleet.calls


def _have_version(fleet: Fleet, version: int) -> bool:
    return all(member.knowledge.version >= version for member in fleet.up())


def _have_server(fleet: Fleet, number: int) -> bool:
    return all(f"i-{number:08x}" in m.knowledge.backends for m in fleet.up())


async def _wait(holds: Callable[[], bool]) -> float:
    waited_s = 0.0
    while waited_s < MAX_WAIT_S and not holds():
        await asyncio.sleep(STEP_S)
        waited_s += STEP_S
    return waited_s


@EXPERIMENTS.register("restore")
def measure_restore(options: Options) -> Report:
    """Restore the store from a copy of two seconds before, beside other troubles."""
    chosen = (options.instances,) if options.instances else None
    rows, figures, failures = [], {}, []
    for count in chosen or (QUICK if options.quick else FULL):
        for title in TROUBLES:
            with quiet_logs():
                outcome = run_virtually(
                    _measure(count, seed=options.seed, trouble=TROUBLES.get(title))
                )
            key = f"{count}/{title}"
            figures[key] = msgspec.structs.asdict(outcome)
            rows.append([count, title, *figures[key].values()])
            failures += [f"{key}: {failure}" for failure in _check(count, outcome)]
    return Report(
        figures=figures,
        tables=[
            Table(
                title="A store that is restored from a copy of two seconds before",
                columns=["instances", "trouble", *Outcome.__struct_fields__],
                rows=rows,
            )
        ],
        failures=failures,
        verdict="holds",
    )


def _check(count: int, outcome: Outcome) -> list[str]:
    failures = []
    for name, limit_s in LIMITS_S.items():
        if getattr(outcome, name) > limit_s:
            failures.append(f"{name} is {getattr(outcome, name):.2f}")
    if outcome.older:
        failures.append(f"{outcome.older} times an older configuration")
    if outcome.lost_evacuations:
        failures.append(f"{outcome.lost_evacuations} instances without the evacuation")
    if outcome.calls > max(MIN_CALLS, CALLS_PER_MEMBER * count):
        failures.append(f"{outcome.calls} calls in a second")
    return failures
