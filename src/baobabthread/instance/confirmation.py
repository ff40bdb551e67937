"""Asking the store whether roll-outs have ended."""

from __future__ import annotations

from collections.abc import Callable

from baobabthread.instance.clock import now
from baobabthread.instance.store import Page, RecordFormat, Store, StoreError
from baobabthread.logs import log_event
from baobabthread.routing.configuration import RolloutState, RolloutStatus
from baobabthread.routing.versions import VersionPlan

STORE_TIMEOUT_S = 0.8
"""Longest time for a call to the store."""
CONFIRMATION_INTERVAL_S = 1.0
"""Time after which it is asked again."""
MAX_CONFIRMATION_AGE_S = 2.0
"""Time for which the one that leads takes the store's word for granted. With the time
for which others go on without its own word, a version that was taken back anywhere gets
nothing more within 4.5 s, also where two lead that don't hear each other."""

HandleFinalStatus = Callable[[VersionPlan, RolloutStatus], None]


class RolloutConfirmation:
    """Know how long ago the store told that a roll-out goes on."""

    __slots__ = (
        "_confirmed_at",
        "_formats",
        "_handle_final_status",
        "_queried_at",
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
        """When the store was last asked, and told nothing of a roll-out's end."""

    def is_fresh(self, service: str) -> bool:
        """Tell whether the store's word on a service's roll-out can be relied on."""
        return now() - self.confirmed_at(service) <= MAX_CONFIRMATION_AGE_S

    def confirmed_at(self, service: str) -> float:
        """Return when the store was asked that told of no end."""
        return self._confirmed_at.get(service, -1e9)

    async def refresh(self, plan: VersionPlan) -> None:
        """Ask the store, unless that was done a moment ago."""
        asked_at = now()
        if (
            asked_at - self._queried_at.get(plan.service, -1e9)
            < CONFIRMATION_INTERVAL_S
        ):
            return
        self._queried_at[plan.service] = asked_at
        try:
            page = await self._store.newest(self._formats.status_topic, STORE_TIMEOUT_S)
        except StoreError as error:
            log_event("rollout_unconfirmed", service=plan.service, error=str(error))
            return
        self.find_status(plan, page)
        self._confirmed_at[plan.service] = asked_at

    def find_status(self, plan: VersionPlan, page: Page) -> RolloutStatus | None:
        """Return what the store holds of a plan's order; take over its end."""
        for record in page.records:
            found = self._formats.decode_status(record)
            if found is None or found.service != plan.service:
                continue
            if plan.order is None or found.number != plan.order.number:
                continue
            if found.state is not RolloutState.RUNNING:
                # Another conductor, or an append of this one whose answer was lost,
                # has ended it: what is written stays.
                self._handle_final_status(plan, found)
            return found
        return None
