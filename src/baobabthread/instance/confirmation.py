"""Confirmation from the store that roll-outs are still running."""

from __future__ import annotations

from collections.abc import Callable

from baobabthread.instance.clock import now
from baobabthread.instance.statuspages import list_statuses
from baobabthread.instance.store import Page, RecordFormat, Store, StoreError
from baobabthread.logs import log_event
from baobabthread.routing.configuration import RolloutState, RolloutStatus
from baobabthread.routing.versions import VersionPlan

STORE_TIMEOUT_S = 0.8
"""Timeout of a call to the store."""
CONFIRMATION_INTERVAL_S = 1.0
"""Interval between queries to the store."""
MAX_CONFIRMATION_AGE_S = 2.0
"""Time for which a leader relies on a confirmation. Together with the time for which
others continue without the leader's permit, a version that was rolled back anywhere
gets no more requests after 4.5 s, even with two leaders that can't reach each other."""

SETTLE_S = 1.5
"""Time from the start of an era in which the lack of a final status proves nothing: the
store may have lost it, and whoever knows it is about to write it again."""

HandleFinalStatus = Callable[[VersionPlan, RolloutStatus], None]


class RolloutConfirmation:
    """Track when the store last confirmed that a service's roll-out is running."""

    __slots__ = (
        "_confirmed_at",
        "_formats",
        "_handle_final_status",
        "_queried_at",
        "_settles_at",
        "_store",
    )

    def __init__(
        self,
        *,
        store: Store,
        formats: RecordFormat,
        handle_final_status: HandleFinalStatus,
    ) -> None:
        self._store = store
        self._formats = formats
        self._handle_final_status = handle_final_status
        self._queried_at: dict[str, float] = {}
        self._confirmed_at: dict[str, float] = {}
        """Time of the last query that found no final status, by service."""
        self._settles_at = 0.0

    def begin_era(self) -> None:
        """Wait until others have had time to write a lost final status again."""
        self._settles_at = now() + SETTLE_S

    def is_fresh(self, service: str) -> bool:
        """Return whether the confirmation of a service's roll-out is recent enough."""
        return now() - self.confirmed_at(service) <= MAX_CONFIRMATION_AGE_S

    def confirmed_at(self, service: str) -> float:
        """Return the time of the last query that found no final status."""
        return self._confirmed_at.get(service, -1e9)

    async def refresh(self, plan: VersionPlan) -> None:
        """Query the store, unless it was queried within the interval."""
        queried_at = now()
        if (
            queried_at - self._queried_at.get(plan.service, -1e9)
            < CONFIRMATION_INTERVAL_S
        ):
            return
        self._queried_at[plan.service] = queried_at
        try:
            page = await self._store.newest(self._formats.status_topic, STORE_TIMEOUT_S)
        except StoreError as error:
            log_event("rollout_unconfirmed", service=plan.service, error=str(error))
            return
        self.find_status(plan, page)
        if queried_at >= self._settles_at:
            self._confirmed_at[plan.service] = queried_at

    def find_status(self, plan: VersionPlan, page: Page) -> RolloutStatus | None:
        """Return the stored status of a plan's order, and handle it if it is final."""
        for status in list_statuses(page, self._formats):
            if status.service != plan.service:
                continue
            plan.learn_history(status)
            if plan.order is None or not plan.order.is_meant_by(status):
                continue
            if status.state is not RolloutState.RUNNING:
                # Another leader has written the final status, or this one did and the
                # store's response was lost. The stored status takes precedence.
                self._handle_final_status(plan, status)
            return status
        return None
