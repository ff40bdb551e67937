"""Final statuses of roll-outs that a restored store lost, written once more."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from baobabthread.instance.clock import now
from baobabthread.instance.statuspages import list_statuses
from baobabthread.instance.store import Conflict, Page, RecordFormat, Store
from baobabthread.logs import log_event
from baobabthread.routing.configuration import RolloutState, RolloutStatus
from baobabthread.routing.versions import VersionPlan

STORE_TIMEOUT_S = 0.8
"""Timeout of a call to the store."""
CHECK_INTERVAL_S = 0.5
"""Interval between reads of the statuses."""
CHECKED_S = 8.0
"""Time from the start of an era in which statuses are checked: a call of the era before
may still be executed seconds later and overwrite one."""
RANK_DELAY_S = 0.3
"""Delay of each further candidate for the lead, which may know a verdict alone."""

FindRank = Callable[[str], int | None]


class StatusRecords:
    """Write the final statuses again that are missing after a restore of the store.

    Operators act on a status that they have read: they stop servers of the version that
    it names.
    """

    __slots__ = ("_checked_at", "_era_began_at", "_find_rank", "_formats", "_store")

    def __init__(
        self, *, store: Store, formats: RecordFormat, find_rank: FindRank
    ) -> None:
        self._store = store
        self._formats = formats
        self._find_rank = find_rank
        """Return this instance's rank among the candidates for a service's lead."""
        self._era_began_at = -1e9
        self._checked_at = -1e9

    def begin_era(self) -> None:
        """Begin to check the statuses."""
        self._era_began_at = now()
        self._checked_at = -1e9

    async def check(self, plans: Iterable[VersionPlan]) -> None:
        """Write missing statuses of roll-outs that have ended, if it is due."""
        now_s = now()
        since_s = now_s - self._era_began_at
        if since_s > CHECKED_S or now_s - self._checked_at < CHECK_INTERVAL_S:
            return
        ended = [plan for plan in plans if self._must_check(plan, since_s)]
        if not ended:
            return
        self._checked_at = now_s
        page = await self._store.newest(self._formats.status_topic, STORE_TIMEOUT_S)
        for plan in ended:
            if not self._has_final(plan, page):
                await self._write(plan, page)
                return

    def _must_check(self, plan: VersionPlan, since_s: float) -> bool:
        if plan.order is None or plan.is_running:
            return False
        rank = self._find_rank(plan.service)
        return rank is not None and since_s >= RANK_DELAY_S * rank

    def _has_final(self, plan: VersionPlan, page: Page) -> bool:
        return any(
            status.service == plan.service
            and plan.order is not None
            and plan.order.is_meant_by(status)
            and status.state is not RolloutState.RUNNING
            for status in list_statuses(page, self._formats)
        )

    async def _write(self, plan: VersionPlan, page: Page) -> None:
        order = plan.order
        assert order is not None
        status = RolloutStatus(
            service=plan.service,
            target=order.target,
            state=plan.state,
            offset=order.written_at.offset,
            era=order.written_at.era,
            elapsed_s=plan.elapsed(now()),
            base=plan.lineage.base,
            base_order=plan.lineage.settled,
        )
        append = self._formats.encode_status(status, page.end)
        outcome = await self._store.append(append, STORE_TIMEOUT_S)
        if isinstance(outcome, Conflict):
            log_event("status_conflict", service=plan.service, state=plan.state)
            return
        # Other statuses may be missing, too.
        self._checked_at = -1e9
        log_event(
            "rollout_status_restored",
            service=plan.service,
            target=order.target,
            state=plan.state,
            era=append.expected_end.era,
        )
