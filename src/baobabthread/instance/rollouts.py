"""Control of roll-outs: one instance leads each and writes its status to the store."""

from __future__ import annotations

import asyncio
import contextlib

import msgspec

from baobabthread.core.positions import OperatorsPosition
from baobabthread.instance.canaries import CanaryPermit, CanaryReport
from baobabthread.instance.clock import now
from baobabthread.instance.confirmation import STORE_TIMEOUT_S, RolloutConfirmation
from baobabthread.instance.peers import PeerLink
from baobabthread.instance.rollouthistories import RolloutHistories
from baobabthread.instance.servers.backends import Backends
from baobabthread.instance.services import Services
from baobabthread.instance.statuspages import list_statuses
from baobabthread.instance.statusrecords import StatusRecords
from baobabthread.instance.store import (
    Conflict,
    Page,
    RecordFormat,
    Store,
    StoreError,
)
from baobabthread.logs import log_event, write_event
from baobabthread.routing.configuration import RolloutOrder, RolloutState, RolloutStatus
from baobabthread.routing.evaluation import evaluate_rollout, may_begin_final_phase
from baobabthread.routing.permission import PERMIT_TTL_S
from baobabthread.routing.progress import Progress
from baobabthread.routing.replica import StateReplica
from baobabthread.routing.rollouttotals import RolloutTotals
from baobabthread.routing.versions import VersionPlan

STEP_INTERVAL_S = 0.25
FINAL_STEP_INTERVAL_S = 0.05
"""Interval between steps near the time limit and in the final phase."""
PUBLISH_INTERVAL_S = 1.0
"""Interval at which a leader publishes its progress to all instances."""


class RolloutController:
    """Take part in all roll-outs, and lead those assigned to this instance."""

    def __init__(
        self,
        *,
        replica: StateReplica,
        backends: Backends,
        services: Services,
        peers: PeerLink,
        store: Store,
        formats: RecordFormat,
    ) -> None:
        self._replica = replica
        self._backends = backends
        self._services = services
        self._peers = peers
        self._store = store
        self._formats = formats
        self._stored: dict[str, RolloutStatus] = {}
        self._initial_orders: frozenset[OperatorsPosition] | None = None
        """Numbers of the orders that came with this instance's first configuration."""
        self._has_loaded_statuses = False
        self._logged_shares: dict[str, float] = {}
        self._logged_permits: dict[str, bool] = {}
        self._published_at: dict[str, float] = {}
        self._confirmation = RolloutConfirmation(
            store=store, formats=formats, handle_final_status=self._record_stored
        )
        self._status_records = StatusRecords(
            store=store, formats=formats, find_rank=peers.canaries.find_rank
        )
        self.histories = RolloutHistories(
            store=store, formats=formats, services=services
        )
        self._totals = RolloutTotals()
        self._wake_up = asyncio.Event()
        peers.canaries.handle_verdict = self._handle_verdict
        peers.canaries.handle_permit = self._handle_permit
        peers.canaries.find_permit = self._find_permit

    def begin_era(self) -> None:
        """Write statuses again that the store may have lost."""
        self._stored.clear()
        self._confirmation.begin_era()
        self._status_records.begin_era()
        self._wake_up.set()

    async def run(self) -> None:
        """Advance the roll-outs until cancelled."""
        while True:
            try:
                await self._step()
            except StoreError as error:
                log_event("status_not_written", level="warning", error=str(error))
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self._choose_interval()):
                    await self._wake_up.wait()
            self._wake_up.clear()

    def _choose_interval(self) -> float:
        plans = [state.plan for state in self._services]
        is_closing = any(
            plan.is_running and plan.is_in_promotion_window(now()) for plan in plans
        )
        return FINAL_STEP_INTERVAL_S if is_closing else STEP_INTERVAL_S

    def apply_orders(self) -> None:
        """Start the roll-outs of new orders as soon as they are read.

        An instance that starts in the middle of a roll-out would otherwise use the
        servers of all versions alike until its next step.
        """
        if self._replica.table is None:
            return
        orders = self._replica.orders
        if self._initial_orders is None:
            self._initial_orders = frozenset(order.number for order in orders.values())
        for name, order in orders.items():
            plan = self._services.get(name).plan
            is_initial = order.number in self._initial_orders
            if plan.apply_order(order, now(), served_before_order=not is_initial):
                self._wake_up.set()
                self.histories.wake_up()

    async def _step(self) -> None:
        now_s = now()
        if self._replica.table is None:
            return
        for state in self._services:
            state.plan.update_versions(self._backends.versions(state.name))
        self.apply_orders()
        orders = self._replica.orders
        alive = self._peers.membership.alive()
        self._totals.update_members([member.name for member in alive], now_s)
        if self._initial_orders and not self._has_loaded_statuses:
            # Only orders from before the start can have statuses from before it.
            await self._load_statuses()
        for name, order in list(orders.items()):
            plan = self._services.get(name).plan
            plan.rate.record(plan.exposure.report().requests, now_s)
            self._peers.sessions.report_in_use(plan)
            self._apply_messages(plan)
            plan.analysis.count_overdue(now_s)
            plan.update_target(
                usable=self._is_target_usable(plan, order),
                now=now_s,
                servers=self._backends.usable_versions(name).get(order.target, 1),
            )
            self._log_permit(plan, now_s)
            self._send_report(plan)
        for name in list(orders):
            plan = self._services.get(name).plan
            if plan.is_running and self._acts_as_leader(name):
                await self._lead(plan)
        await self._status_records.check(
            self._services.get(name).plan for name in list(orders)
        )

    def _log_permit(self, plan: VersionPlan, now_s: float) -> None:
        """Log when the canary is paused here without a permit, and when it resumes."""
        previous = self._logged_permits.get(plan.service, False)
        left_s = plan.permission.permitted_s(now_s)
        is_permitted = plan.is_canary_phase and left_s > 0.0
        if previous == is_permitted:
            return
        self._logged_permits[plan.service] = is_permitted
        if not plan.is_canary_phase:
            return
        fields = {
            "service": plan.service,
            "leaders": ",".join(self._peers.canaries.leaders(plan.service)),
            "elapsed_s": round(plan.elapsed(now_s), 2),
        }
        if is_permitted:
            write_event("trial_permitted", fields)
        else:
            write_event("trial_permit_lapsed", fields, level="warning")

    def _is_target_usable(self, plan: VersionPlan, order: RolloutOrder) -> bool:
        """Return whether an order's version has servers that may get requests."""
        if plan.has_target_servers:
            return order.target in self._backends.usable_versions(order.service)
        # An order arrives while its servers are starting. As long as all of them are
        # cold, they would reject canary requests that the old version could serve.
        return order.target in self._backends.warm_versions(order.service)

    async def _load_statuses(self) -> None:
        """Apply the statuses that were written before this instance started."""
        requested_at = now()
        page = await self._store.newest(self._formats.status_topic, STORE_TIMEOUT_S)
        self._has_loaded_statuses = True
        for status in list_statuses(page, self._formats):
            if status.service not in self._replica.orders:
                continue
            plan = self._services.get(status.service).plan
            order = self._replica.orders[status.service]
            plan.apply_order(order, now(), served_before_order=False)
            plan.permission.confirm(requested_at=requested_at)
            self._apply_status(plan, status, "store")

    def _apply_messages(self, plan: VersionPlan) -> None:
        now_s = now()
        for payload in self._peers.received(f"rollout/{plan.service}"):
            progress = msgspec.json.decode(payload.body, type=Progress)
            plan.apply_verdict(progress, now_s)
        for report in self._reports(plan):
            plan.apply_progress(report.progress, now_s)
            plan.analysis.merge(report.origin, report.evidence)
        for payload in self._peers.received(f"status/{plan.service}"):
            status = msgspec.json.decode(payload.body, type=RolloutStatus)
            self._apply_status(plan, status, payload.origin)

    def _handle_verdict(self, progress: Progress) -> None:
        plan = self._services.get(progress.service).plan
        previous = plan.state
        plan.apply_verdict(progress, now())
        if plan.state is not previous:
            self._log_received_status(plan, "leader")

    def _handle_permit(self, permit: CanaryPermit) -> None:
        plan = self._services.get(permit.progress.service).plan
        if plan.order is None or plan.order.number != permit.progress.number:
            return
        self._handle_verdict(permit.progress)
        plan.permit(requested_at=permit.sent_at, admits=permit.progress.admits)
        self._peers.canaries.record_permit(plan.service, permit.sent_at)

    def _find_permit(self, service: str, number: OperatorsPosition) -> Progress | None:
        """Return the progress to permit; None if the store has not confirmed it."""
        plan = self._services.get(service).plan
        if plan.order is None or plan.order.number != number:
            return None
        if not plan.is_running:
            # An instance that still sends reports has missed the final state.
            return Progress(
                service=service,
                offset=number.offset,
                era=number.era or msgspec.UNSET,
                elapsed_s=round(plan.elapsed(now()), 2),
                share=plan.share(now()),
                old_running=0,
                state=plan.state,
            )
        progress = plan.progress(now())
        if progress is None or not self._confirmation.is_fresh(service):
            return None
        return msgspec.structs.replace(
            progress, admits=self._totals.may_admit(plan, now())
        )

    def _apply_status(
        self, plan: VersionPlan, status: RolloutStatus, source: str
    ) -> None:
        previous = plan.state
        plan.apply_status(status, now())
        if plan.state is not previous:
            self._log_received_status(plan, source)

    def _log_received_status(self, plan: VersionPlan, source: str) -> None:
        assert plan.order is not None
        log_event(
            "rollout_status_heard",
            service=plan.service,
            target=plan.order.target,
            state=plan.state,
            source=source,
        )

    def _send_report(self, plan: VersionPlan) -> None:
        progress = plan.progress(now())
        if progress is None:
            return
        previous = self._logged_shares.get(plan.service)
        if previous != progress.share:
            self._logged_shares[plan.service] = progress.share
            log_event(
                "rollout_share_changed",
                service=plan.service,
                share=progress.share,
                elapsed_s=progress.elapsed_s,
                seen=plan.analysis.seen,
                alarm=plan.analysis.alarm or "",
            )
        self._peers.canaries.send_report(
            CanaryReport(
                origin=self._peers.incarnation,
                progress=progress,
                evidence=plan.analysis.evidence(),
                exposure=plan.exposure.report(),
            ),
            permit_left_s=self._find_permit_left(plan),
        )
        if self._peers.canaries.acts_as_leader(plan.service):
            self._peers.canaries.publish_verdict(progress)
            self._publish_progress(progress)

    def _find_permit_left(self, plan: VersionPlan) -> float:
        """Return the seconds until the permit expires or the first one is overdue."""
        now_s = now()
        return max(
            plan.permission.permitted_s(now_s), PERMIT_TTL_S - plan.elapsed(now_s)
        )

    def _publish_progress(self, progress: Progress) -> None:
        """Publish the leader's progress for instances that start later or missed it."""
        now_s = now()
        previous = self._published_at.get(progress.service, -1e9)
        if now_s - previous >= PUBLISH_INTERVAL_S:
            self._published_at[progress.service] = now_s
            self._peers.publish(f"rollout/{progress.service}", progress)

    def _reports(self, plan: VersionPlan) -> list[CanaryReport]:
        if plan.order is None:
            return []
        return self._peers.canaries.reports(plan.service, plan.order.number)

    def _acts_as_leader(self, service: str) -> bool:
        """Return whether this instance writes a service's status.

        Two instances that both act as leader do no harm: the store's compare-and-set
        accepts a record only from an instance that has read the other's record.
        """
        if not self._replica.is_fresh(now()):
            return False
        return self._peers.canaries.acts_as_leader(service)

    async def _lead(self, plan: VersionPlan) -> None:
        order = plan.order
        assert order is not None
        now_s = now()
        await self._confirmation.refresh(plan)
        if not plan.is_running:
            return
        reports = [(report.progress, report.exposure) for report in self._reports(plan)]
        self._totals.update(plan, reports, now_s)
        if self._confirmation.is_fresh(plan.service):
            plan.permit(
                requested_at=self._confirmation.confirmed_at(plan.service),
                admits=self._totals.may_admit(plan, now()),
            )
            self._begin_final(plan)
        progress_reports = [report.progress for report in self._reports(plan)]
        other_count = len(self._peers.membership.alive()) - 1
        state = evaluate_rollout(
            plan, progress_reports, other_count, now_s, totals=self._totals.find(plan)
        )
        written = self._stored.get(plan.service)
        if (
            written is not None
            and written.number == order.written_at
            and written.state is state
        ):
            return
        status = RolloutStatus(
            service=plan.service,
            target=order.target,
            state=state,
            offset=order.written_at.offset,
            era=order.written_at.era,
            elapsed_s=plan.elapsed(now_s),
        )
        await self._write_status(plan, status)

    def _begin_final(self, plan: VersionPlan) -> None:
        """Begin the final phase once the exposure budget lasts until the time limit."""
        now_s = now()
        totals = self._totals.find(plan)
        if not may_begin_final_phase(plan, totals, now_s):
            return
        if not self._totals.has_quorum(plan, now_s):
            return
        plan.begin_final_phase(now_s, quota=self._totals.find_final_quota(plan, now_s))
        log_event(
            "rollout_final",
            service=plan.service,
            requests=totals.total.requests,
            exposed=totals.total.exposed,
            per_s=round(totals.per_s(plan.elapsed(now_s)), 1),
            left_s=round(plan.left_s(now_s), 2),
            evidence=plan.analysis.describe(),
        )
        self._send_report(plan)

    async def _write_status(self, plan: VersionPlan, status: RolloutStatus) -> None:
        page = await self._store.newest(self._formats.status_topic, STORE_TIMEOUT_S)
        stored = self._confirmation.find_status(plan, page)
        if self._has_later_order(plan, page):
            # The order was replaced, which this instance hasn't read yet.
            return
        # The page may have told how earlier orders ended.
        status = msgspec.structs.replace(
            status, base=plan.lineage.base, base_order=plan.lineage.settled
        )
        if stored is not None:
            if stored.state is not RolloutState.RUNNING:
                return
            if stored.state is status.state:
                self._stored[plan.service] = stored
                return
        append = self._formats.encode_status(status, page.end)
        outcome = await self._store.append(append, STORE_TIMEOUT_S)
        if isinstance(outcome, Conflict):
            log_event("status_conflict", service=status.service, state=status.state)
            return
        self._record_stored(plan, status)

    def _has_later_order(self, plan: VersionPlan, page: Page) -> bool:
        assert plan.order is not None
        written_at = plan.order.written_at
        return any(
            status.service == plan.service
            and status.number is not None
            and status.number > written_at
            and not status.number.is_copy(written_at)
            for status in list_statuses(page, self._formats)
        )

    def _record_stored(self, plan: VersionPlan, status: RolloutStatus) -> None:
        self._stored[plan.service] = status
        log_event(
            "rollout_status_written",
            service=plan.service,
            target=status.target,
            state=status.state,
            elapsed_s=round(status.elapsed_s, 2),
            evidence=plan.analysis.describe(),
            requests=self._totals.find(plan).total.requests,
            exposed=self._totals.find(plan).total.exposed,
            alarm=plan.analysis.alarm or "",
        )
        if status.state is not RolloutState.RUNNING:
            progress = plan.progress(now())
            plan.apply_status(status, now())
            if progress is not None:
                # Sent directly: gossip takes seconds among hundreds of instances.
                ended = msgspec.structs.replace(progress, state=status.state)
                self._peers.canaries.publish_verdict(ended)
            self._peers.publish(f"status/{plan.service}", status)
