"""Leading the roll-outs: one instance writes how far each has come."""

from __future__ import annotations

import asyncio
import contextlib

import msgspec

from baobabthread.errors import BaobabthreadError
from baobabthread.instance.backends import Backends
from baobabthread.instance.canaries import CanaryPermit, CanaryReport
from baobabthread.instance.clock import now
from baobabthread.instance.confirmation import STORE_TIMEOUT_S, RolloutConfirmation
from baobabthread.instance.peers import PeerLink
from baobabthread.instance.services import Services
from baobabthread.instance.store import Conflict, RecordFormat, Store, StoreError
from baobabthread.logs import log_event, write_event
from baobabthread.routing.configuration import (
    RolloutOrder,
    RolloutState,
    RolloutStatus,
)
from baobabthread.routing.evaluation import evaluate_rollout, may_begin_final_phase
from baobabthread.routing.permission import PERMIT_TTL_S
from baobabthread.routing.progress import Progress
from baobabthread.routing.replica import StateReplica
from baobabthread.routing.rollouttotals import RolloutTotals
from baobabthread.routing.versions import VersionPlan

STEP_INTERVAL_S = 0.25
FINAL_STEP_INTERVAL_S = 0.05
"""Time between two steps near a limit, when a version takes over."""
PUBLISH_INTERVAL_S = 1.0
"""Time between two words of a leader that are spread to all."""


class RolloutController:
    """Take part in the roll-outs, and lead those that fall to this instance."""

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
        self._written: dict[str, RolloutStatus] = {}
        self._initial_orders: frozenset[int] | None = None
        """Orders that were there when this instance learnt its first configuration."""
        self._has_loaded_statuses = False
        self._logged_shares: dict[str, float] = {}
        self._logged_permits: dict[str, bool] = {}
        self._published_at: dict[str, float] = {}
        self._confirmation = RolloutConfirmation(
            store=store,
            formats=formats,
            handle_final_status=self._handle_written_status,
        )
        self._totals = RolloutTotals()
        self._wake_up = asyncio.Event()
        peers.canaries.handle_verdict = self._handle_verdict
        peers.canaries.handle_permit = self._handle_permit
        peers.canaries.find_permit = self._find_permit

    async def run(self) -> None:
        """Move the roll-outs on until cancelled."""
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
        ends = any(
            plan.is_running and plan.is_in_promotion_window(now()) for plan in plans
        )
        return FINAL_STEP_INTERVAL_S if ends else STEP_INTERVAL_S

    def apply_orders(self) -> None:
        """Begin with orders as soon as they are known.

        Failure: an instance that starts in the middle of a roll-out would choose among
        the servers of all versions alike until its next step.
        """
        if self._replica.table is None:
            return
        orders = self._replica.orders
        if self._initial_orders is None:
            self._initial_orders = frozenset(order.number for order in orders.values())
        for name, order in orders.items():
            plan = self._services.get(name).plan
            is_early = order.number in self._initial_orders
            if plan.apply_order(order, now(), served_before_order=not is_early):
                self._wake_up.set()

    async def _step(self) -> None:
        moment = now()
        if self._replica.table is None:
            return
        for state in self._services:
            state.plan.update_versions(self._backends.versions(state.name))
        self.apply_orders()
        orders = self._replica.orders
        alive = self._peers.membership.alive()
        self._totals.update_members([member.name for member in alive], moment)
        if self._initial_orders and not self._has_loaded_statuses:
            # An order that came later can't have been carried out before.
            await self._load_statuses()
        for name, order in list(orders.items()):
            plan = self._services.get(name).plan
            plan.rate.record(plan.exposure.report().requests, moment)
            self._peers.sessions.report_in_use(plan)
            self._apply_messages(plan)
            plan.analysis.count_overdue(moment)
            plan.update_target(
                usable=self._is_target_usable(plan, order),
                now=moment,
                servers=self._backends.usable_versions(name).get(order.target, 1),
            )
            self._log_permit(plan, moment)
            self._send_report(plan)
        for name in list(orders):
            plan = self._services.get(name).plan
            if plan.is_running and self._acts_as_leader(name):
                await self._lead(plan)

    def _log_permit(self, plan: VersionPlan, moment: float) -> None:
        """Log when a trial pauses here for want of a permit, and when it goes on."""
        before = self._logged_permits.get(plan.service, False)
        left_s = plan.permission.permitted_s(moment)
        is_permitted = plan.is_canary_phase and left_s > 0.0
        if before == is_permitted:
            return
        self._logged_permits[plan.service] = is_permitted
        if not plan.is_canary_phase:
            return
        fields = {
            "service": plan.service,
            "leaders": ",".join(self._peers.canaries.leaders(plan.service)),
            "elapsed_s": round(plan.elapsed(moment), 2),
        }
        if is_permitted:
            write_event("trial_permitted", fields)
        else:
            write_event("trial_permit_lapsed", fields, level="warning")

    def _is_target_usable(self, plan: VersionPlan, order: RolloutOrder) -> bool:
        """Tell whether servers of an order's version may get work, or still may."""
        if plan.has_target_servers:
            return order.target in self._backends.usable_versions(order.service)
        # Failure: an order comes as its servers start, all of them cold, and what the
        # trial sends there is refused though the old version has room.
        return order.target in self._backends.warm_versions(order.service)

    async def _load_statuses(self) -> None:
        """Take over what was written before this instance started."""
        asked_at = now()
        page = await self._store.newest(self._formats.status_topic, STORE_TIMEOUT_S)
        self._has_loaded_statuses = True
        for record in page.records:
            try:
                status = self._formats.decode_status(record)
            except (msgspec.MsgspecError, BaobabthreadError) as error:
                log_event("status_unreadable", key=record.key, error=str(error))
                continue
            if status is None or status.service not in self._replica.orders:
                continue
            plan = self._services.get(status.service).plan
            order = self._replica.orders[status.service]
            plan.apply_order(order, now(), served_before_order=False)
            plan.permission.confirm(requested_at=asked_at)
            self._apply_status(plan, status, "store")

    def _apply_messages(self, plan: VersionPlan) -> None:
        moment = now()
        for payload in self._peers.received(f"rollout/{plan.service}"):
            progress = msgspec.json.decode(payload.body, type=Progress)
            plan.apply_verdict(progress, moment)
        for word in self._reports(plan):
            plan.apply_progress(word.progress, moment)
            plan.analysis.merge(word.origin, word.evidence)
        for payload in self._peers.received(f"status/{plan.service}"):
            status = msgspec.json.decode(payload.body, type=RolloutStatus)
            self._apply_status(plan, status, payload.origin)

    def _handle_verdict(self, progress: Progress) -> None:
        plan = self._services.get(progress.service).plan
        before = plan.state
        plan.apply_verdict(progress, now())
        if plan.state is not before:
            self._log_received_status(plan, "leader")

    def _handle_permit(self, permit: CanaryPermit) -> None:
        plan = self._services.get(permit.progress.service).plan
        if plan.order is None or plan.order.number != permit.progress.number:
            return
        self._handle_verdict(permit.progress)
        plan.permit(requested_at=permit.sent_at, admits=permit.progress.admits)
        self._peers.canaries.record_permit(plan.service, permit.sent_at)

    def _find_permit(self, service: str, number: int) -> Progress | None:
        """Return what to permit the others, while the store tells of no end."""
        plan = self._services.get(service).plan
        if plan.order is None or plan.order.number != number:
            return None
        if not plan.is_running:
            # Whoever still asks has missed the end.
            return Progress(
                service=service,
                number=number,
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
        before = plan.state
        plan.apply_status(status, now())
        if plan.state is not before:
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
        before = self._logged_shares.get(plan.service)
        if before != progress.share:
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
        """Return the seconds until the permit runs out, or the first one is overdue."""
        moment = now()
        return max(
            plan.permission.permitted_s(moment), PERMIT_TTL_S - plan.elapsed(moment)
        )

    def _publish_progress(self, progress: Progress) -> None:
        """Spread the leader's word also to those that start later or missed it."""
        moment = now()
        before = self._published_at.get(progress.service, -1e9)
        if moment - before >= PUBLISH_INTERVAL_S:
            self._published_at[progress.service] = moment
            self._peers.publish(f"rollout/{progress.service}", progress)

    def _reports(self, plan: VersionPlan) -> list[CanaryReport]:
        if plan.order is None:
            return []
        return self._peers.canaries.reports(plan.service, plan.order.number)

    def _acts_as_leader(self, service: str) -> bool:
        """Tell whether this instance is one that writes a service's status.

        Two that both believe it do no harm: the store takes a record only from the one
        that has read what the other wrote.
        """
        if not self._replica.is_fresh(now()):
            return False
        return self._peers.canaries.acts_as_leader(service)

    async def _lead(self, plan: VersionPlan) -> None:
        order = plan.order
        assert order is not None
        moment = now()
        await self._confirmation.refresh(plan)
        if not plan.is_running:
            return
        told = [(word.progress, word.exposure) for word in self._reports(plan)]
        self._totals.update(plan, told, moment)
        if self._confirmation.is_fresh(plan.service):
            plan.permit(
                requested_at=self._confirmation.confirmed_at(plan.service),
                admits=self._totals.may_admit(plan, now()),
            )
            self._begin_final(plan)
        words = [word.progress for word in self._reports(plan)]
        others = len(self._peers.membership.alive()) - 1
        state = evaluate_rollout(
            plan, words, others, moment, totals=self._totals.find(plan)
        )
        written = self._written.get(plan.service)
        if (
            written is not None
            and written.number == order.number
            and written.state is state
        ):
            return
        status = RolloutStatus(
            service=plan.service,
            target=order.target,
            state=state,
            number=order.number,
            elapsed_s=plan.elapsed(moment),
        )
        await self._write_status(plan, status)

    def _begin_final(self, plan: VersionPlan) -> None:
        """Let the new version take over once what it may get lasts to the limit."""
        moment = now()
        totals = self._totals.find(plan)
        if not may_begin_final_phase(plan, totals, moment):
            return
        if not self._totals.has_quorum(plan, moment):
            return
        plan.begin_final_phase(
            moment, quota=self._totals.find_final_quota(plan, moment)
        )
        log_event(
            "rollout_final",
            service=plan.service,
            requests=totals.total.requests,
            exposed=totals.total.exposed,
            per_s=round(totals.per_s(plan.elapsed(moment)), 1),
            left_s=round(plan.left_s(moment), 2),
            evidence=plan.analysis.describe(),
        )
        self._send_report(plan)

    async def _write_status(self, plan: VersionPlan, status: RolloutStatus) -> None:
        page = await self._store.newest(self._formats.status_topic, STORE_TIMEOUT_S)
        found = self._confirmation.find_status(plan, page)
        if found is not None:
            if found.state is not RolloutState.RUNNING:
                return
            if found.state is status.state:
                self._written[plan.service] = found
                return
        append = self._formats.encode_status(status, page.end)
        outcome = await self._store.append(append, STORE_TIMEOUT_S)
        if isinstance(outcome, Conflict):
            log_event("status_conflict", service=status.service, state=status.state)
            return
        self._handle_written_status(plan, status)

    def _handle_written_status(self, plan: VersionPlan, status: RolloutStatus) -> None:
        self._written[plan.service] = status
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
                # Gossip takes seconds among hundreds.
                ended = msgspec.structs.replace(progress, state=status.state)
                self._peers.canaries.publish_verdict(ended)
            self._peers.publish(f"status/{plan.service}", status)
