"""Run a scenario with every fault at every effect, in virtual time.

A scenario names its nodes (protocol instances behind `Node`), what happens when,
and what must hold at the end. `run_matrix` runs it once to count its effects, then
once for every fault at every effect, then for a fixed sample of pairs of faults.
"""

from __future__ import annotations

import enum
import heapq
import itertools
import math
from collections.abc import Callable, Iterable, Sequence
from typing import Any, Protocol

import msgspec

from baobabthread.core.messages import (
    Append,
    Appended,
    AppendFailed,
    Effects,
    LogRead,
    LogRecord,
    Received,
    Send,
    SendFailed,
    Stream,
)

DELAY_S = 0.01
POLL_S = 0.1
SLOW_POLL_S = 0.4
LATE_S = 3.0
OVERTAKEN_S = 4.5
TIMEOUT_S = 1.0
FAULT_S = 8.0


class Fault(enum.StrEnum):
    """Name the faults that the matrix puts at each effect."""

    CRASH_BEFORE = "crash before"
    CRASH_AFTER = "crash after"
    REPLY_LOST = "reply lost"
    REPLY_LATE = "reply late"
    DUPLICATED = "duplicated"
    REORDERED = "reordered"
    PAUSED = "paused past lease"
    CUT_LOG = "partitioned from log"
    CUT_PEERS = "partitioned from peers"
    CUT_BOTH = "partitioned from both"
    LOG_DOWN = "log down"
    LOG_SLOW = "log slow"
    OPERATOR_RACE = "operator race"


class Tick(msgspec.Struct, frozen=True):
    """Tell a node that time has passed."""


class Node(Protocol):
    """Drive one protocol instance: events in, effects out."""

    @property
    def streams(self) -> Sequence[Stream]:
        """Name the streams that it follows."""
        ...

    def handle(self, event: Any, now: float) -> Effects:
        """Take one event (those of core.messages, Tick, or the scenario's own)."""
        ...


class Scenario:
    """Describe one protocol run; subclasses fill in the hooks."""

    duration_s = 20.0
    busy_until_s = math.inf
    """From then on nodes tick and read at SLOW_POLL_S, to save run time."""

    def start(self, world: World) -> None:
        """Add nodes and schedule what the callers and operators do."""
        raise NotImplementedError

    def on_effect(self, world: World, name: str, effect: Any) -> None:
        """Run an effect that is neither Append nor Send."""

    def on_crash(self, world: World, name: str) -> None:
        """Tell peers of a crash, or start a new incarnation."""

    def on_race(self, world: World, name: str) -> None:
        """Let another operator or caller act at this moment."""

    def on_strike(self, world: World, name: str, fault: Fault) -> None:
        """Let the membership notice a pause or a partition of a node."""

    def check(self, world: World) -> list[str]:
        """Return what did not hold at the end."""
        raise NotImplementedError


class World:
    """Hold the nodes, the log, the network and the virtual time of one run."""

    def __init__(
        self, *, scenario: Scenario, faults: dict[int, Fault] | None = None
    ) -> None:
        self.now = 0.0
        self.scenario = scenario
        self.nodes: dict[str, Node] = {}
        self.log: dict[Stream, list[LogRecord]] = {stream: [] for stream in Stream}
        self.steps = 0
        self.notes: list[Any] = []
        """What a scenario records for its check."""
        self.fault: Fault | None = None
        """The fault at the effect that on_effect runs."""
        self.struck_at = 0.0
        """When the last fault struck; it lasts FAULT_S at most."""
        self._faults = faults or {}
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._until: dict[tuple[str, str], float] = {}
        self._cursors: dict[tuple[str, Stream], int] = {}
        self._paused: dict[str, list[Callable[[], None]]] = {}

    def add(self, name: str, node: Node) -> None:
        """Start a node; it ticks and follows its streams until it crashes."""
        self.nodes[name] = node
        self.at(self.now, lambda: self._poll(name, node))

    def at(self, time_s: float, action: Callable[[], None]) -> None:
        """Schedule an action."""
        heapq.heappush(self._heap, (time_s, next(self._order), action))

    def deliver(self, name: str, event: Any, delay_s: float = 0.0) -> None:
        """Give a node an event after a delay; a crashed node never gets it."""
        node = self.nodes.get(name)
        if node is not None:
            self.at(self.now + delay_s, lambda: self._handle(name, node, event))

    def crash(self, name: str) -> None:
        """End a node and all its memory."""
        if self.nodes.pop(name, None) is not None:
            self._paused.pop(name, None)
            self.scenario.on_crash(self, name)

    def run(self) -> list[str]:
        """Run to the end of the scenario and return its violations."""
        self.scenario.start(self)
        while self._heap and self._heap[0][0] <= self.scenario.duration_s:
            self.now, _, action = heapq.heappop(self._heap)
            action()
        return self.scenario.check(self)

    def is_healed_at(self, time_s: float) -> bool:
        """Tell whether all faults were over at a time, with a second to settle."""
        return self.struck_at + FAULT_S + 1.0 <= time_s

    def is_cut_between(self, one: str, other: str) -> bool:
        """Tell whether two nodes can't reach each other."""
        return self._is_cut(one, "peers") or self._is_cut(other, "peers")

    def _active(self, what: str, name: str = "") -> bool:
        return self._until.get((what, name), -1.0) > self.now

    def _is_cut(self, name: str, what: str) -> bool:
        return self._active(f"cut {what}", name) or self._active("cut both", name)

    def _handle(self, name: str, node: Node, event: Any) -> None:
        if self.nodes.get(name) is not node:
            return
        if name in self._paused:
            self._paused[name].append(lambda: self._handle(name, node, event))
            return
        self._run(name, node, node.handle(event, self.now))

    def _poll(self, name: str, node: Node) -> None:
        if self.nodes.get(name) is not node:
            return
        busy = self.now < self.scenario.busy_until_s
        next_s = self.now + (POLL_S if busy else SLOW_POLL_S)
        self.at(next_s, lambda: self._poll(name, node))
        if name in self._paused:
            return
        self._handle(name, node, Tick())
        if self._is_cut(name, "log") or self._active("log down"):
            return
        delay_s = TIMEOUT_S if self._active("log slow") else DELAY_S
        for stream in node.streams:
            if self._active(f"reading {stream}", name):
                continue
            self._until[f"reading {stream}", name] = self.now + delay_s
            cursor = self._cursors.get((name, stream), 0)
            records = self.log[stream][cursor:]
            head = len(self.log[stream])
            self._cursors[name, stream] = head
            event = LogRead(stream=stream, records=records, head=head, first=1)
            self.deliver(name, event, delay_s)

    def _run(self, name: str, node: Node, effects: Effects) -> None:
        for position, effect in enumerate(effects):
            if self.nodes.get(name) is not node:
                return
            fault = self._faults.get(self.steps)
            self.steps += 1
            if fault is not None:
                self.struck_at = self.now
                self.scenario.on_strike(self, name, fault)
            if fault is Fault.PAUSED:
                self._pause(name, node, effects[position:])
                return
            if fault is Fault.CRASH_BEFORE:
                self.crash(name)
                return
            self.strike(name, fault)
            self._execute(name, effect, fault)
            if fault is Fault.CRASH_AFTER:
                self.crash(name)

    def _pause(self, name: str, node: Node, rest: Effects) -> None:
        """Stop a node between its decision and its act, then let it go on."""
        self._paused.setdefault(name, []).insert(0, lambda: self._run(name, node, rest))

        def wake() -> None:
            if self.nodes.get(name) is node:
                for action in self._paused.pop(name, []):
                    action()

        self.at(self.now + FAULT_S, wake)

    def strike(self, name: str, fault: Fault | None, for_s: float = FAULT_S) -> None:
        """Start a lasting fault; a scenario may begin with one."""
        keys = {
            Fault.CUT_LOG: ("cut log", name),
            Fault.CUT_PEERS: ("cut peers", name),
            Fault.CUT_BOTH: ("cut both", name),
            Fault.LOG_DOWN: ("log down", ""),
            Fault.LOG_SLOW: ("log slow", ""),
        }
        if fault in keys:
            self._until[keys[fault]] = self.now + for_s
        if fault is Fault.OPERATOR_RACE:
            self.scenario.on_race(self, name)

    def _execute(self, name: str, effect: Any, fault: Fault | None) -> None:
        delay_s = OVERTAKEN_S if fault is Fault.REORDERED else DELAY_S
        copies = 2 if fault is Fault.DUPLICATED else 1
        if isinstance(effect, Append):
            for _ in range(copies):
                self._append(name, effect, fault, delay_s)
        elif isinstance(effect, Send):
            for copy in range(copies):
                self._send(name, effect, fault, delay_s * (1 + 5 * copy))
        else:
            self.fault = fault
            self.scenario.on_effect(self, name, effect)

    def _append(
        self, name: str, effect: Append, fault: Fault | None, delay_s: float
    ) -> None:
        failed = AppendFailed(stream=effect.stream, id=effect.id, definite=True)
        if self._is_cut(name, "log") or self._active("log down"):
            self.deliver(name, failed, DELAY_S)
            return
        if self._active("log slow"):
            delay_s += LATE_S / 2

        def commit() -> None:
            records = self.log[effect.stream]
            offset = len(records) + 1
            body = msgspec.Raw(effect.body)
            records.append(LogRecord(offset=offset, id=effect.id, body=body))
            done = Appended(stream=effect.stream, id=effect.id, offset=offset)
            lost = msgspec.structs.replace(failed, definite=False)
            if fault is Fault.REPLY_LOST:
                self.deliver(name, lost, DELAY_S)
            elif fault is Fault.REPLY_LATE:
                self.deliver(name, lost, TIMEOUT_S)
                self.deliver(name, done, LATE_S)
            else:
                self.deliver(name, done, DELAY_S)

        self.at(self.now + delay_s, commit)

    def _send(
        self, name: str, effect: Send, fault: Fault | None, delay_s: float
    ) -> None:
        failed = SendFailed(to=effect.to, message=effect.message)
        if effect.to not in self.nodes or self.is_cut_between(name, effect.to):
            self.deliver(name, failed, DELAY_S)
            return
        if fault is Fault.REPLY_LATE:
            delay_s = LATE_S
        event = Received(sender=name, message=effect.message)
        self.deliver(effect.to, event, delay_s)
        if fault in (Fault.REPLY_LOST, Fault.REPLY_LATE):
            self.deliver(name, failed, TIMEOUT_S)


class MatrixResult(msgspec.Struct, kw_only=True):
    """Count the cells of a matrix and list what did not hold."""

    cells: int
    violations: list[str]


def run_cell(scenario: Callable[[], Scenario], faults: dict[int, Fault]) -> list[str]:
    """Run a scenario with some faults and return its violations."""
    world = World(scenario=scenario(), faults=faults)
    label = ", ".join(f"{fault} at {step}" for step, fault in faults.items())
    return [f"[{label or 'no fault'}] {text}" for text in world.run()]


def run_matrix(
    scenario: Callable[[], Scenario],
    *,
    pairs: int = 100,
    stop_early: bool = False,
    faults: Iterable[Fault] = Fault,
) -> MatrixResult:
    """Run every fault at every effect, then a fixed-stride sample of pairs."""
    plain = World(scenario=scenario())
    violations = [f"[no fault] {text}" for text in plain.run()]
    singles = list(itertools.product(range(plain.steps), faults))
    cells: list[dict[int, Fault]] = [{step: fault} for step, fault in singles]
    total = len(singles) * len(singles)
    stride = max(1, total // max(1, pairs)) | 1
    for index in range(0, total if pairs else 0, stride):
        (one, first), (two, second) = (
            singles[index // len(singles)],
            singles[index % len(singles)],
        )
        if one < two:
            cells.append({one: first, two: second})
    done = 1
    for cell in cells:
        if violations and stop_early:
            break
        violations += run_cell(scenario, cell)
        done += 1
    return MatrixResult(cells=done, violations=violations)
