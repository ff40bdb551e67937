"""Outcomes of replaced roll-outs, read from the store where no instance tells them."""

from __future__ import annotations

import asyncio
import contextlib
import random

from baobabthread.core.positions import OperatorsPosition
from baobabthread.instance.clock import now
from baobabthread.instance.services import Services
from baobabthread.instance.statuspages import list_statuses
from baobabthread.instance.store import Page, RecordFormat, Store, StoreError
from baobabthread.logs import log_event

STORE_TIMEOUT_S = 0.8
"""Timeout of a call to the store."""
PATIENCE_S = 0.15
"""Time from the next order in which its leader may tell the others."""
SPREAD_S = 0.3
"""Time over which the reads of many instances are spread."""
READ_INTERVAL_S = 0.5
"""Interval between reads until the outcome is known."""


class _UnknownHistory:
    __slots__ = ("is_readable", "order", "since")

    def __init__(self, *, order: OperatorsPosition, since: float) -> None:
        self.order = order
        """Number of the order that replaced the ones of unknown outcome."""
        self.since = since
        self.is_readable = True
        """Whether the store may still hold an outcome."""


class RolloutHistories:
    """Learn how orders ended that were replaced before that was known here.

    An order's final status is overwritten by the first one of the next order, which
    holds what its writer knew. Nothing more can be learnt from the store after that.
    """

    __slots__ = ("_formats", "_services", "_store", "_unknown", "_wake_up")

    def __init__(
        self, *, store: Store, formats: RecordFormat, services: Services
    ) -> None:
        self._store = store
        self._formats = formats
        self._services = services
        self._unknown: dict[str, _UnknownHistory] = {}
        """Histories that lack an outcome, by service."""
        self._wake_up = asyncio.Event()

    def wake_up(self) -> None:
        """Check the histories, as an order has come."""
        self._wake_up.set()

    async def run(self) -> None:
        """Read the outcomes that are missing, until cancelled."""
        while True:
            await self._wait_for_order(None)
            self._update()
            await asyncio.sleep(PATIENCE_S + SPREAD_S * random.random())
            self._update()
            while self._unknown:
                if any(history.is_readable for history in self._unknown.values()):
                    await self._read()
                    self._update()
                await self._wait_for_order(READ_INTERVAL_S)
                self._update()

    async def _wait_for_order(self, timeout_s: float | None) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self._wake_up.wait()
        self._wake_up.clear()

    def record_page(self, page: Page) -> None:
        """Apply the statuses of replaced orders, and note which are overwritten."""
        plans = {state.name: state.plan for state in self._services}
        for status in list_statuses(page, self._formats):
            plan = plans.get(status.service)
            if plan is None or plan.order is None:
                continue
            plan.learn_history(status)
            history = self._unknown.get(status.service)
            if history is not None and plan.order.is_meant_by(status):
                history.is_readable = False

    def _update(self) -> None:
        """Begin and end the search for outcomes, and log both."""
        for state in self._services:
            plan = state.plan
            history = self._unknown.get(state.name)
            if plan.order is None or not plan.is_history_unknown:
                if history is not None:
                    del self._unknown[state.name]
                    log_event(
                        "version_history_known",
                        service=state.name,
                        base=plan.lineage.base or "",
                        unknown_s=round(now() - history.since, 2),
                    )
                continue
            if history is None or history.order != plan.order.number:
                since = history.since if history is not None else now()
                self._unknown[state.name] = _UnknownHistory(
                    order=plan.order.number, since=since
                )
                log_event(
                    "version_history_unknown",
                    service=state.name,
                    target=plan.order.target,
                    base=plan.lineage.base or "",
                )

    async def _read(self) -> None:
        try:
            page = await self._store.newest(self._formats.status_topic, STORE_TIMEOUT_S)
        except StoreError as error:
            log_event("version_history_unread", level="warning", error=str(error))
            return
        self.record_page(page)
