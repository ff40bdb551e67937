"""Entries that publish and follow configurations, for the matrix of faults."""

from __future__ import annotations

import random
from typing import Any

import msgspec

from baobabthread.core.configuration.checkpoint import (
    CheckpointPlanner,
    CheckpointSettings,
)
from baobabthread.core.configuration.control import (
    ConfigurationRelay,
    FetchConfiguration,
)
from baobabthread.core.configuration.fold import ConfigurationFold
from baobabthread.core.configuration.freshness import (
    Freshness,
    FreshnessSettings,
    FreshnessState,
)
from baobabthread.core.configuration.publisher import NotAppended, Publisher, Unknown
from baobabthread.core.configuration.records import (
    Accepted,
    Publish,
    Relay,
)
from baobabthread.core.messages import (
    AppendFailed,
    Effects,
    LogRead,
    Received,
    Send,
    Stream,
)
from baobabthread.core.positions import OperatorsPosition
from tests.failures.matrix import (
    FAULT_S,
    OVERTAKEN_S,
    Fault,
    Scenario,
    Tick,
    World,
)
from tests.histories.configuration_model import Model, write_team

RETAINED = 8
BOUND_S = 3.0
FETCH_S = 1.2
SETTLE_S = 4.0
LASTING = (
    Fault.PAUSED,
    Fault.CUT_LOG,
    Fault.CUT_PEERS,
    Fault.CUT_BOTH,
    Fault.LOG_DOWN,
    Fault.LOG_SLOW,
)
PLANS = CheckpointSettings(
    every_records=4, margin_records=4, spread_s=1.0, urgent_spread_s=0.3, rest_s=0.6
)


class Observation(msgspec.Struct, frozen=True):
    """Record where a node stood after an event."""

    node: str
    time: float
    read_offset: int
    sections: dict[str, int]
    is_fresh: bool


class Told(msgspec.Struct, frozen=True):
    """Record what an operator was told."""

    id: str
    outcome: Any


class EntryNode:
    """Run fold, publisher, planner and freshness of one entry."""

    def __init__(self, *, world: World, name: str, follows: bool) -> None:
        self.streams = [Stream.CONFIGURATION] if follows else []
        self._world = world
        self._name = name
        self.fold = ConfigurationFold(relay_records=2)
        self.publisher = Publisher(fold=self.fold)
        self.freshness = Freshness(settings=FreshnessSettings(bound_s=BOUND_S))
        self.planner = CheckpointPlanner(
            me=name, fold=self.fold, rng=random.Random(name), now=0, settings=PLANS
        )
        self._head = 0
        self._reading: float | None = None
        self._next_fetch = 0.5
        self._open: list[str] = []

    def publish(self, record_id: str, publish: Publish, now: float) -> Effects:
        started = self.publisher.publish(
            record_id=record_id, publish=publish, now=now, deadline=now + 9
        )
        if isinstance(started, list):
            self._open.append(record_id)
            return started
        self._world.notes.append(Told(record_id, started))
        return []

    def handle(self, event: Any, now: float) -> Effects:
        effects = self._react(event, now)
        self.freshness.fold_to(OperatorsPosition(offset=self.fold.read_offset))
        effects += self.publisher.repeat(head=self._head, now=now)
        for record_id in list(self._open):
            outcome = self.publisher.settle(record_id=record_id, now=now)
            if outcome is not None:
                self._open.remove(record_id)
                self._world.notes.append(Told(record_id, outcome))
        self._world.notes.append(self._observe(now))
        return effects

    def _react(self, event: Any, now: float) -> Effects:
        match event:
            case Tick():
                return self._tick(now)
            case LogRead():
                self._read(event, now)
            case AppendFailed():
                self.publisher.fail(event, now=now)
            case Received(message=FetchConfiguration(after=after)):
                relay = ConfigurationRelay(relay=self.fold.relay(after=after))
                return [Send(to=event.sender, message=relay)]
            case Received(message=ConfigurationRelay(relay=relay)):
                self._take(relay)
            case Publish():
                return self.publish(f"{self._name}/{now}", event, now)
        return []

    def _tick(self, now: float) -> Effects:
        if self._reading is None:
            self._reading = now
        effects = self.planner.plan(now)
        peers = [name for name in self._world.nodes if name != self._name]
        lacks = not self.streams or self.fold.has_gap
        if peers and lacks and now >= self._next_fetch:
            self._next_fetch = now + FETCH_S
            peer = peers[int(now / FETCH_S) % len(peers)]
            fetch = FetchConfiguration(after=self.fold.read_offset)
            effects.append(Send(to=peer, message=fetch))
        return effects

    def _read(self, event: LogRead, now: float) -> None:
        """Fold a read of a log that keeps only its last records."""
        first = max(1, event.head - RETAINED + 1)
        kept = [record for record in event.records if record.offset >= first]
        event = msgspec.structs.replace(event, records=kept, first=first)
        self.fold.read(event)
        self._head = max(self._head, event.head)
        if self._reading is not None:
            self.freshness.read_head(
                head=OperatorsPosition(offset=event.head), started_at=self._reading
            )
        self._reading = None
        self.planner.note_read(event, now=now)

    def _take(self, relay: Relay) -> None:
        if relay.snapshot is not None:
            self.fold.restore(relay.snapshot)
        for record in relay.records:
            self.fold.apply(record)

    def _observe(self, now: float) -> Observation:
        sections = {s.name: s.generation for s in self.fold.sections.values()}
        fresh = self.freshness.state(now) is FreshnessState.FRESH
        return Observation(
            self._name, now, self.fold.read_offset, sections, bool(sections) and fresh
        )


class Publishing(Scenario):
    """Let operators publish on the same and on other sections; one entry has no log."""

    duration_s = 16.0

    def __init__(self) -> None:
        self._starts = 0
        self._quiet_at = 0.0
        self.heads: list[tuple[float, int]] = []

    def start(self, world: World) -> None:
        for name, follows in (("e1", True), ("e2", True), ("e3", False)):
            world.add(name, EntryNode(world=world, name=name, follows=follows))
        plan = [(0.3, "e1", "a"), (0.3, "e2", "a"), (1.1, "e2", "b"), (1.5, "e1", "a")]
        plan += [(2.1, "e1", "b"), (2.6, "e2", "a"), (3.1, "e1", "c"), (3.6, "e2", "b")]
        for time_s, name, section in plan:
            self._schedule(world, time_s, name, section)
        self._watch(world)

    def on_crash(self, world: World, name: str) -> None:
        self._starts += 1
        follows = name.startswith(("e1", "e2"))
        successor = f"{name[:2]}-{self._starts}"
        world.at(
            world.now + 0.5,
            lambda: world.add(
                successor, EntryNode(world=world, name=successor, follows=follows)
            ),
        )

    def on_strike(self, world: World, name: str, fault: Fault) -> None:
        lasts_s = FAULT_S if fault in LASTING else OVERTAKEN_S
        self._quiet_at = max(self._quiet_at, world.now + lasts_s)

    def on_race(self, world: World, name: str) -> None:
        others = [other for other in world.nodes if other != name]
        if others:
            self._publish(world, others[0], "a")

    def check(self, world: World) -> list[str]:
        records = world.log[Stream.CONFIGURATION]
        model = Model(records)
        found: list[str] = []
        last: dict[str, int] = {}
        for note in world.notes:
            if isinstance(note, Told):
                found += _check_told(note, model)
                continue
            if note.sections != model.states[note.read_offset]:
                found.append(f"{note.node} differs at offset {note.read_offset}")
            if note.read_offset < last.get(note.node, 0):
                found.append(f"{note.node} went back to {note.read_offset}")
            last[note.node] = note.read_offset
            if note.is_fresh and note.read_offset < self._head_at(note.time - BOUND_S):
                found.append(f"{note.node} calls an old state fresh at {note.time}")
        found += self._check_progress(world, len(records))
        return found[:3]

    def _check_progress(self, world: World, head: int) -> list[str]:
        """Expect every node to have caught up some seconds after the last fault."""
        if world.now - self._quiet_at < SETTLE_S:
            return []
        born: dict[str, float] = {}
        for note in world.notes:
            if isinstance(note, Observation):
                born.setdefault(note.node, note.time)
        settled = self._head_at(world.now - SETTLE_S)
        return [
            f"{name} stands at {node.fold.read_offset} of {head}"
            for name, node in world.nodes.items()
            if isinstance(node, EntryNode)
            and node.fold.read_offset < settled
            and world.now - born.get(name, world.now) > SETTLE_S
        ]

    def _head_at(self, time_s: float) -> int:
        return max((head for at, head in self.heads if at <= time_s), default=0)

    def _watch(self, world: World) -> None:
        self.heads.append((world.now, len(world.log[Stream.CONFIGURATION])))
        world.at(world.now + 0.1, lambda: self._watch(world))

    def _schedule(self, world: World, time_s: float, name: str, section: str) -> None:
        world.at(time_s, lambda: self._publish(world, name, section))

    def _publish(self, world: World, name: str, section: str) -> None:
        node = world.nodes.get(name)
        if not isinstance(node, EntryNode):
            return
        versions = [f"{section}-1", f"{section}-{int(world.now * 10)}"]
        text = write_team(section, versions=versions, uses="a")
        base = node.fold.section_generation(section)
        world.deliver(
            name, Publish(base=base, section=section, text=text, operator=name)
        )


class Replacing(Publishing):
    """Replace all entries at once: only the log is left, without its old records.

    It happens when a slow log has had the time to take in a checkpoint: records that
    expire faster than that can't be kept by anybody.
    """

    duration_s = 20.0

    def start(self, world: World) -> None:
        super().start(world)
        world.at(9.0, lambda: [world.crash(name) for name in list(world.nodes)])


def _check_told(told: Told, model: Model) -> list[str]:
    accepted = model.accepted.get(told.id)
    match told.outcome:
        case Accepted(generation=generation):
            wrong = accepted != generation
        case Unknown():
            wrong = False
        case NotAppended():
            wrong = told.id in model.ids
        case _:
            wrong = accepted is not None
    return [f"{told.id} was told {told.outcome}, accepted {accepted}"] if wrong else []
