"""Eras of the store: each time it is restored from a copy, another one begins."""

from __future__ import annotations

from collections.abc import Callable

from baobabthread.core.positions import Position
from baobabthread.instance.metrics import Metrics
from baobabthread.instance.store import (
    Append,
    Appended,
    Conflict,
    Page,
    Store,
    StoreError,
    Tail,
    Trimmed,
)
from baobabthread.logs import log_event

FROM_STORE = "store"


class EraTracker:
    """Keep the newest era of the store that this instance has learned of."""

    __slots__ = ("_listeners", "_metrics", "current")

    def __init__(self, *, metrics: Metrics) -> None:
        self._metrics = metrics
        self._listeners: list[Callable[[], None]] = []
        self.current = 0
        """Newest known era; 0 until a response names one."""

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call a function at the beginning of each era."""
        self._listeners.append(listener)

    def observe(self, era: int, *, source: str = FROM_STORE) -> None:
        """Record the era that the store or the peer named by `source` is in."""
        if era <= self.current:
            return
        previous, self.current = self.current, era
        self._metrics.store_eras.inc()
        log_event("store_era_learned", era=era, previous=previous, source=source)
        for listener in self._listeners:
            listener()


class CurrentStore:
    """A `Store` that returns nothing of an earlier era than the newest known one."""

    __slots__ = ("_eras", "_store", "on_era")

    def __init__(self, *, store: Store, eras: EraTracker) -> None:
        self._store = store
        self._eras = eras
        self.on_era: Callable[[int], None] = eras.observe
        store.on_era = eras.observe

    async def newest(self, topic: str, timeout_s: float) -> Page:
        """Return the newest record of each key."""
        page = await self._store.newest(topic, timeout_s)
        self._check(page.end)
        return page

    async def read(
        self, topic: str, start: Position, *, wait_s: float, timeout_s: float
    ) -> Tail | Trimmed:
        """Return the records from a position on; `Trimmed` in another era."""
        if start.era != self._eras.current:
            return Trimmed()
        tail = await self._store.read(topic, start, wait_s=wait_s, timeout_s=timeout_s)
        if isinstance(tail, Trimmed):
            return tail
        self._check(tail.end)
        return tail if tail.end.era == start.era else Trimmed()

    async def append(self, append: Append, timeout_s: float) -> Appended | Conflict:
        """Append one record that was decided on in the current era."""
        if append.expected_end.era != self._eras.current:
            return Conflict()
        outcome = await self._store.append(append, timeout_s)
        if isinstance(outcome, Appended):
            self._check(outcome.end)
            if outcome.end.era != append.expected_end.era:
                return Conflict()
        return outcome

    def _check(self, end: Position) -> None:
        # A response that was under way while the store was restored arrives late.
        if end.era < self._eras.current:
            raise StoreError(
                f"response is from era {end.era}; the store is in {self._eras.current}"
            )
