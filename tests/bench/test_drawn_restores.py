"""Drawn histories of writes, restores, cuts and starts, in virtual time."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

import msgspec
from bench._fleet import Fleet, Member, quiet_logs
from bench._fleet_store import EVACUATION_PREFIX, Formats, MemoryStore
from bench._virtual import run_virtually
from hypothesis import given, settings
from hypothesis import strategies as st

from baobabthread.instance.clock import now
from baobabthread.routing.bounds import RoutingBounds

MEMBERS = 4
SERVERS = 5
DOMAINS = ("domain0", "domain1", "domain2")
BOUNDS = RoutingBounds(apply_s=4.0, drain_s=2.0)
WRITTEN_AGAIN_S = 1.2
LAPSES_S = 1.5
"""Time until the store drops the record of a server that has ended."""
SETTLED_S = 10.0
TICK_S = 0.1


class World:
    """A store, its instances, and what operators and servers have written."""

    def __init__(self, *, seed: int) -> None:
        self.rng = random.Random(seed)
        self.fleet = Fleet(count=MEMBERS, seed=seed, bounds=BOUNDS, loss=0.02)
        self.store: MemoryStore = self.fleet.store
        self.version = 0
        self.evacuated: set[str] = set()
        self.servers: dict[int, bool] = {}
        """Numbers of the servers that run, and whether they leave."""
        self.numbers = list(range(SERVERS))
        """Number of the last start of each server: each start has one of its own."""
        self.changed: dict[str, float] = {}
        """Keys of operators and servers, and when they were last written."""
        self.newest: dict[str, int] = {}
        self.breaches: list[str] = []

    # -- operators and servers --

    def configure(self) -> None:
        self.version += 1
        self.write("config")

    def evacuate(self, domain: str) -> None:
        self.evacuated ^= {domain}
        self.write(EVACUATION_PREFIX + domain)

    def change_server(self, index: int) -> None:
        """Start a server, let it leave, or end it."""
        number = self.numbers[index]
        match self.servers.get(number):
            case None:
                number += SERVERS
                self.numbers[index] = number
                self.servers[number] = False
            case False:
                self.servers[number] = True
            case True:
                del self.servers[number]
        self.write(f"server {number}")

    def write(self, key: str) -> None:
        """Write what is true of a key now."""
        self.changed[key] = now()
        if key == "config":
            self.store.write_configuration(self.version)
        elif key.startswith(EVACUATION_PREFIX):
            domain = key.removeprefix(EVACUATION_PREFIX)
            self.store.write_evacuation(domain, is_on=domain in self.evacuated)
        else:
            self.write_server(int(key.removeprefix("server ")))

    def write_server(self, number: int) -> None:
        if number in self.servers:
            leaving = self.servers[number]
            self.store.write_backend(number, domains=3, leaving=leaving)
        else:
            self.store.write(Formats.backends_topic, f"i-{number:08x}", None)

    # -- faults --

    async def restore(self, age_s: float, away_s: float) -> None:
        self.store.is_away = True
        await asyncio.sleep(away_s)
        since = now() - age_s
        self.store.restore(age_s)
        lost = [key for key, at in self.changed.items() if at >= since]
        if away_s >= LAPSES_S:
            lost += [f"server {number}" for number in self.servers]
            for number in self.servers:
                name = f"i-{number:08x}"
                self.store.write(Formats.backends_topic, name, None)
        self.store.is_away = False
        loop = asyncio.get_running_loop()
        for key in lost:
            is_ended = key.startswith("server") and self.is_ended(key)
            limit_s = LAPSES_S if is_ended else WRITTEN_AGAIN_S
            loop.call_later(limit_s * self.rng.random(), self.write, key)

    def is_ended(self, key: str) -> bool:
        return int(key.removeprefix("server ")) not in self.servers

    def restart(self, member: Member) -> None:
        if not member.is_up:
            return
        member.stop()
        self.newest.pop(member.name, None)
        loop = asyncio.get_running_loop()
        loop.call_later(0.8, member.restart)

    # -- checks --

    async def watch(self) -> None:
        """Do the instances' own work by the clock, and see that nothing gets older."""
        while True:
            for member in self.fleet.up():
                replica = member.knowledge
                replica.expire_lapsed(now())
                newest = self.newest.get(member.name, 0)
                if replica.version < newest:
                    self.breaches.append(f"{member.name}: {replica.version}, {newest}")
                self.newest[member.name] = max(newest, replica.version)
            await asyncio.sleep(TICK_S)

    def list_differences(self) -> list[str]:
        found = []
        for member in self.fleet.members.values():
            replica = member.knowledge
            servers = {
                int(record.id.removeprefix("i-"), 16): record.leaving
                for record in replica.backends.values()
            }
            state = (replica.version, set(replica.evacuations.domains), servers)
            expected = (self.version, self.evacuated, self.servers)
            if state != expected or not replica.is_fresh(now()):
                found.append(f"{member.name}: {state}, expected {expected}")
        return found


class Step(msgspec.Struct, frozen=True):
    """One thing that happens, and the pause after it."""

    kind: str
    index: int
    pause_s: float


STEPS: dict[str, Callable[[World, Step, Member], object]] = {
    "configure": lambda world, step, member: world.configure(),
    "evacuate": lambda world, step, member: world.evacuate(DOMAINS[step.index % 3]),
    "server": lambda world, step, member: world.change_server(step.index % SERVERS),
    "restart": lambda world, step, member: world.restart(member),
    "cut": lambda world, step, member: setattr(member, "is_cut", not member.is_cut),
    "refuse": lambda world, step, member: setattr(
        member.store, "is_refused", not member.store.is_refused
    ),
}
RESTORE = "restore"


async def play(steps: list[Step], seed: int) -> list[str]:
    """Play a history, let everything heal, and return what is wrong then."""
    world = World(seed=seed)
    fleet = world.fleet
    world.configure()
    for number in range(SERVERS - 1):
        world.change_server(number)
    await fleet.start()
    await asyncio.sleep(6.0)
    watch = asyncio.ensure_future(world.watch())
    members = list(fleet.members.values())
    for step in steps:
        if step.kind == RESTORE:
            await world.restore(0.3 + step.index / 10, 0.3 * (step.index % 10))
        else:
            STEPS[step.kind](world, step, members[step.index % MEMBERS])
        await asyncio.sleep(step.pause_s)
    for member in members:
        member.is_cut = False
    await asyncio.sleep(SETTLED_S)
    world.configure()
    await asyncio.sleep(BOUNDS.apply_s)
    found = world.breaches + world.list_differences()
    watch.cancel()
    await asyncio.gather(watch, return_exceptions=True)
    return found


steps = st.builds(
    Step,
    kind=st.sampled_from([RESTORE, RESTORE, *STEPS]),
    index=st.integers(0, 29),
    pause_s=st.sampled_from([0.05, 0.3, 1.0, 2.5]),
)


@settings(max_examples=40, deadline=None)
@given(st.lists(steps, min_size=2, max_size=12), st.integers(0, 99))
def test_agree_after_any_history_of_restores(history: list[Step], seed: int) -> None:
    """Copies in series, with changes lost, instances cut off, refused or started."""
    with quiet_logs():
        assert run_virtually(play(history, seed)) == []
