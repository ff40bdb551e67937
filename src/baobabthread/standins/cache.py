"""An engine's prefix cache: bounded memory, events that come late and with gaps."""

from __future__ import annotations

import time
from collections import OrderedDict, deque
from random import Random

import msgspec

MAX_EVENTS = 10_000


class Event(msgspec.Struct, frozen=True, gc=False):
    """Report that one prefix was stored or evicted."""

    sequence: int
    kind: str
    prefix: str


class PrefixCache:
    """Keep the prefixes used last, and publish what changes."""

    __slots__ = ("_entries", "_events", "_rng", "_sequence", "blocks", "gap", "lag_s")

    def __init__(
        self, *, blocks: int, rng: Random, lag_s: float = 0.5, gap: float = 0.02
    ) -> None:
        self.blocks = blocks
        self.lag_s = lag_s
        self.gap = gap
        """Probability that an event is never published."""
        self._rng = rng
        self._entries: OrderedDict[str, None] = OrderedDict()
        self._events: deque[tuple[float, Event]] = deque(maxlen=MAX_EVENTS)
        self._sequence = 0

    def use(self, prefixes: list[str]) -> int:
        """Store a prompt's prefixes and return how many were there already."""
        cached = 0
        for prefix in prefixes:
            if prefix not in self._entries:
                break
            cached += 1
        for prefix in prefixes:
            if prefix in self._entries:
                self._entries.move_to_end(prefix)
                continue
            self._entries[prefix] = None
            self._publish("stored", prefix)
        while len(self._entries) > self.blocks:
            self._publish("evicted", self._entries.popitem(last=False)[0])
        return cached

    def clear(self) -> None:
        """Evict everything."""
        while self._entries:
            self._publish("evicted", self._entries.popitem()[0])

    def events(self, after: int) -> list[Event]:
        """Return the published events behind a sequence number."""
        horizon = time.monotonic() - self.lag_s
        return [
            event
            for at, event in self._events
            if at <= horizon and event.sequence > after
        ]

    def _publish(self, kind: str, prefix: str) -> None:
        self._sequence += 1
        if self._rng.random() < self.gap:
            return
        event = Event(sequence=self._sequence, kind=kind, prefix=prefix)
        self._events.append((time.monotonic(), event))
