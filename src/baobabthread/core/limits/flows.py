"""One client account's queued requests, by class, and its virtual time."""

from __future__ import annotations

import heapq

import msgspec

from baobabthread.core.configuration.configuration import Priority

URGENT, INTERACTIVE, BATCH = range(3)
SLACK = 16
"""Entries that a heap may keep besides twice those that still stand in it."""
CLASS: dict[Priority, int] = {
    Priority.URGENT: URGENT,
    Priority.INTERACTIVE: INTERACTIVE,
    Priority.BATCH: BATCH,
}


class Waiting(msgspec.Struct, frozen=True, kw_only=True):
    """Describe one request that waits for a backend server."""

    request_id: str
    account: str
    weight: float
    priority: Priority
    tokens: int
    """Estimate of its tokens; `finished` corrects it."""
    deadline: float
    arrived: float
    service_s: float = 0.0
    """Least seconds that it takes once started."""


class Entry:
    """Hold one queued request and the class that it now stands in."""

    __slots__ = ("level", "queued", "waiting")

    def __init__(self, *, waiting: Waiting, level: int) -> None:
        self.waiting = waiting
        self.level = level
        self.queued = True


Item = tuple[float, int, Entry]
"""Order entries of a heap by a key, then by arrival."""


class Flow:
    """Hold one account's queues, virtual time and use."""

    __slots__ = (
        "_queues",
        "_tails",
        "active_at",
        "counts",
        "held",
        "in_flight",
        "name",
        "running",
        "size_stamp",
        "stamps",
        "started",
        "started_urgent",
        "tokens",
        "urgent",
        "virtual",
        "weight",
    )

    def __init__(self, *, name: str, weight: float, virtual: float) -> None:
        self.name = name
        self.weight = weight
        self.virtual = virtual
        """Tokens per weight that it had, in all classes and at all entries."""
        self.urgent = virtual
        """The same for what it had as urgent."""
        self.started_urgent = 0
        self.counts = [0, 0, 0]
        self.tokens = [0, 0, 0]
        self.stamps = [0, 0, 0]
        self.size_stamp = 0
        self.held = False
        self.started = 0
        self.running = 0
        self.in_flight = 0
        self.active_at = 0.0
        self._queues: list[list[Item]] = [[], [], []]
        self._tails: list[list[Item] | None] = [None, None, None]

    @property
    def backlogged(self) -> bool:
        """Tell whether the account has anything queued."""
        counts = self.counts
        return bool(counts[0] or counts[1] or counts[2])

    def key(self, level: int) -> float:
        """Return what ranks the account within a class."""
        return self.urgent if level == URGENT else self.virtual

    def queued_share(self) -> float:
        """Return the queued tokens per unit of weight."""
        return sum(self.tokens) / self.weight

    def enter(self, entry: Entry, sequence: int) -> None:
        """Queue an entry: batch work by deadline, other work by arrival."""
        level = entry.level
        key = entry.waiting.deadline if level == BATCH else 0.0
        queue = self._queues[level]
        heapq.heappush(queue, (key, sequence, entry))
        tail = self._tails[level]
        if tail is not None:
            heapq.heappush(tail, (-key, -sequence, entry))
        self.counts[level] += 1
        self.tokens[level] += entry.waiting.tokens
        if len(queue) > 2 * self.counts[level] + SLACK:
            self._compact(level)

    def leave(self, entry: Entry) -> None:
        """Take an entry out of the counts; the heaps drop it when it comes up."""
        level = entry.level
        entry.queued = False
        self.counts[level] -= 1
        self.tokens[level] -= entry.waiting.tokens
        if not self.counts[level]:
            self._queues[level].clear()
            self._tails[level] = None
            self.stamps[level] = 0

    def head(self, level: int) -> Entry:
        """Return the first entry of a class that has one."""
        return _first(self._queues[level], level)

    def last(self, level: int) -> Entry:
        """Return the last entry of a class that has one."""
        tail = self._tails[level]
        if tail is None:
            tail = [(-key, -sequence, e) for key, sequence, e in self._queues[level]]
            heapq.heapify(tail)
            self._tails[level] = tail
        return _first(tail, level)

    def _compact(self, level: int) -> None:
        queue = [item for item in self._queues[level] if _stands(item, level)]
        heapq.heapify(queue)
        self._queues[level] = queue
        self._tails[level] = None


def _stands(item: Item, level: int) -> bool:
    return item[2].queued and item[2].level == level


def _first(heap: list[Item], level: int) -> Entry:
    while not _stands(heap[0], level):
        heapq.heappop(heap)
    return heap[0][2]
