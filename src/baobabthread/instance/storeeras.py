"""Eras of the store: each time it is restored from a copy, another one begins."""

from __future__ import annotations

from collections.abc import Callable

from baobabthread.instance.metrics import Metrics
from baobabthread.logs import log_event

FROM_STORE = "store"


class EraTracker:
    """Keep the newest era of the store that this instance has learned of."""

    __slots__ = ("_metrics", "current", "on_new_era")

    def __init__(self, *, metrics: Metrics) -> None:
        self._metrics = metrics
        self.current = 0
        """Newest known era; 0 until a response names one."""
        self.on_new_era: Callable[[], None] = lambda: None

    def observe(self, era: int, *, source: str = FROM_STORE) -> None:
        """Record the era that the store or the peer named by `source` is in."""
        if era <= self.current:
            return
        previous, self.current = self.current, era
        self._metrics.store_eras.inc()
        log_event("store_era_learned", era=era, previous=previous, source=source)
        self.on_new_era()
