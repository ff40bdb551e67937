"""Leading the roll-outs: one instance writes how far each has come."""

from __future__ import annotations

import asyncio
import contextlib

import msgspec

from baobabthread.errors import BaobabthreadError
from baobabthread.instance.backends import Backends
from baobabthread.instance.clock import now
from baobabthread.instance.confirmation import WRITE_S, Confirmation
from baobabthread.instance.peers import PeerLink
from baobabthread.instance.services import Services
from baobabthread.instance.store import Conflict, RecordFormat, Store, StoreError
from baobabthread.instance.trialdesk import TrialPermit, TrialWord
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

PERIOD_S = 0.25
END_PERIOD_S = 0.05
"""Time between two steps near a limit, when a version takes over."""
SPREAD_S = 1.0
"""Time between two words of a leader that are spread to all."""


class Conducting:
    """Take part in the roll-outs, and lead those that fall to this instance."""

    def __init__(
        self,
        *,
        knowledge: StateReplica,
        backends: Backends,
        services: Services,
        peers: PeerLink,
        store: Store,
        formats: RecordFormat,
    ) -> None:
        self._knowledge = knowledge
        self._backends = backends
        self._services = services
        self._peers = peers
        self._store = store
        self._formats = formats
        self._written: dict[str, RolloutStatus] = {}
        self._early: frozenset[int] | None = None
        """Orders that were there when this instance learnt its first configuration."""
        self._is_recalled = False
        self._sharing: dict[str, float] = {}
        self._permitted: dict[str, bool] = {}
        self._spread_at: dict[str, float] = {}
        self._confirmation = Confirmation(
            store=store, formats=formats, take_end=self._end
        )
        self._sums = RolloutTotals()
        self._news = asyncio.Event()
        peers.trials.take_verdict = self._take_verdict
        peers.trials.take_permit = self._take_permit
        peers.trials.find_permit = self._find_permit

    async def run(self) -> None:
        """Move the roll-outs on until cancelled."""
        while True:
            try:
                await self._step()
            except StoreError as error:
                log_event("status_not_written", level="warning", error=str(error))
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self._choose_pause()):
                    await self._news.wait()
            self._news.clear()

    def _choose_pause(self) -> float:
        plans = [state.plan for state in self._services]
        ends = any(
            plan.is_running and plan.is_in_promotion_window(now()) for plan in plans
        )
        return END_PERIOD_S if ends else PERIOD_S

    def take_orders(self) -> None:
        """Begin with orders as soon as they are known.

        Failure: an instance that starts in the middle of a roll-out would choose among
        the servers of all versions alike until its next step.
        """
        if self._knowledge.table is None:
            return
        orders = self._knowledge.orders
        if self._early is None:
            self._early = frozenset(order.number for order in orders.values())
        for name, order in orders.items():
            plan = self._services.get(name).plan
            is_early = order.number in self._early
            if plan.apply_order(order, now(), served_before_order=not is_early):
                self._news.set()

    async def _step(self) -> None:
        moment = now()
        if self._knowledge.table is None:
            return
        for state in self._services:
            state.plan.update_versions(self._backends.versions(state.name))
        self.take_orders()
        orders = self._knowledge.orders
        alive = self._peers.membership.alive()
        self._sums.update_members([member.name for member in alive], moment)
        if self._early and not self._is_recalled:
            # An order that came later can't have been carried out before.
            await self._recall()
        for name, order in list(orders.items()):
            plan = self._services.get(name).plan
            plan.rate.record(plan.exposure.report().requests, moment)
            self._peers.desk.begin(plan)
            self._listen(plan)
            plan.analysis.count_overdue(moment)
            plan.update_target(
                usable=self._may_begin(plan, order),
                now=moment,
                servers=self._backends.usable_versions(name).get(order.target, 1),
            )
            self._note_permit(plan, moment)
            self._tell(plan)
        for name in list(orders):
            plan = self._services.get(name).plan
            if plan.is_running and self._acts(name):
                await self._lead(plan)

    def _note_permit(self, plan: VersionPlan, moment: float) -> None:
        """Log when a trial pauses here for want of a permit, and when it goes on."""
        before = self._permitted.get(plan.service, False)
        left_s = plan.permission.permitted_s(moment)
        is_permitted = plan.is_canary_phase and left_s > 0.0
        if before == is_permitted:
            return
        self._permitted[plan.service] = is_permitted
        if not plan.is_canary_phase:
            return
        fields = {
            "service": plan.service,
            "leaders": ",".join(self._peers.trials.leaders(plan.service)),
            "elapsed_s": round(plan.elapsed(moment), 2),
        }
        if is_permitted:
            write_event("trial_permitted", fields)
        else:
            write_event("trial_permit_lapsed", fields, level="warning")

    def _may_begin(self, plan: VersionPlan, order: RolloutOrder) -> bool:
        """Tell whether servers of an order's version may get work, or still may."""
        if plan.has_target_servers:
            return order.target in self._backends.usable_versions(order.service)
        # Failure: an order comes as its servers start, all of them cold, and what the
        # trial sends there is refused though the old version has room.
        return order.target in self._backends.warm_versions(order.service)

    async def _recall(self) -> None:
        """Take over what was written before this instance started."""
        asked_at = now()
        page = await self._store.newest(self._formats.status_topic, WRITE_S)
        self._is_recalled = True
        for record in page.records:
            try:
                status = self._formats.decode_status(record)
            except (msgspec.MsgspecError, BaobabthreadError) as error:
                log_event("status_unreadable", key=record.key, error=str(error))
                continue
            if status is None or status.service not in self._knowledge.orders:
                continue
            plan = self._services.get(status.service).plan
            order = self._knowledge.orders[status.service]
            plan.apply_order(order, now(), served_before_order=False)
            plan.permission.confirm(requested_at=asked_at)
            self._adopt(plan, status, "store")

    def _listen(self, plan: VersionPlan) -> None:
        moment = now()
        for payload in self._peers.heard(f"rollout/{plan.service}"):
            progress = msgspec.json.decode(payload.body, type=Progress)
            plan.apply_verdict(progress, moment)
        for word in self._words(plan):
            plan.apply_progress(word.progress, moment)
            plan.analysis.merge(word.origin, word.evidence)
        for payload in self._peers.heard(f"status/{plan.service}"):
            status = msgspec.json.decode(payload.body, type=RolloutStatus)
            self._adopt(plan, status, payload.origin)

    def _take_verdict(self, progress: Progress) -> None:
        plan = self._services.get(progress.service).plan
        before = plan.state
        plan.apply_verdict(progress, now())
        if plan.state is not before:
            self._log_end(plan, "leader")

    def _take_permit(self, permit: TrialPermit) -> None:
        plan = self._services.get(permit.progress.service).plan
        if plan.order is None or plan.order.number != permit.progress.number:
            return
        self._take_verdict(permit.progress)
        plan.permit(requested_at=permit.sent_at, admits=permit.progress.admits)
        self._peers.trials.note_permit(plan.service, permit.sent_at)

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
            progress, admits=self._sums.may_admit(plan, now())
        )

    def _adopt(self, plan: VersionPlan, status: RolloutStatus, source: str) -> None:
        before = plan.state
        plan.apply_status(status, now())
        if plan.state is not before:
            self._log_end(plan, source)

    def _log_end(self, plan: VersionPlan, source: str) -> None:
        assert plan.order is not None
        log_event(
            "rollout_status_heard",
            service=plan.service,
            target=plan.order.target,
            state=plan.state,
            source=source,
        )

    def _tell(self, plan: VersionPlan) -> None:
        progress = plan.progress(now())
        if progress is None:
            return
        before = self._sharing.get(plan.service)
        if before != progress.share:
            self._sharing[plan.service] = progress.share
            log_event(
                "rollout_share_changed",
                service=plan.service,
                share=progress.share,
                elapsed_s=progress.elapsed_s,
                seen=plan.analysis.seen,
                alarm=plan.analysis.alarm or "",
            )
        self._peers.trials.tell(
            TrialWord(
                origin=self._peers.incarnation,
                progress=progress,
                evidence=plan.analysis.evidence(),
                exposure=plan.exposure.report(),
            ),
            permit_s=self._find_permit_s(plan),
        )
        if self._peers.trials.acts(plan.service):
            self._peers.trials.conclude(progress)
            self._spread(progress)

    def _find_permit_s(self, plan: VersionPlan) -> float:
        """Return the seconds until the permit runs out, or the first one is overdue."""
        moment = now()
        return max(
            plan.permission.permitted_s(moment), PERMIT_TTL_S - plan.elapsed(moment)
        )

    def _spread(self, progress: Progress) -> None:
        """Spread the leader's word also to those that start later or missed it."""
        moment = now()
        before = self._spread_at.get(progress.service, -1e9)
        if moment - before >= SPREAD_S:
            self._spread_at[progress.service] = moment
            self._peers.publish(f"rollout/{progress.service}", progress)

    def _words(self, plan: VersionPlan) -> list[TrialWord]:
        if plan.order is None:
            return []
        return self._peers.trials.words(plan.service, plan.order.number)

    def _acts(self, service: str) -> bool:
        """Tell whether this instance is one that writes a service's status.

        Two that both believe it do no harm: the store takes a record only from the one
        that has read what the other wrote.
        """
        if not self._knowledge.is_fresh(now()):
            return False
        return self._peers.trials.acts(service)

    async def _lead(self, plan: VersionPlan) -> None:
        order = plan.order
        assert order is not None
        moment = now()
        await self._confirmation.ask(plan)
        if not plan.is_running:
            return
        told = [(word.progress, word.exposure) for word in self._words(plan)]
        self._sums.update(plan, told, moment)
        if self._confirmation.is_fresh(plan.service):
            plan.permit(
                requested_at=self._confirmation.confirmed_at(plan.service),
                admits=self._sums.may_admit(plan, now()),
            )
            self._begin_final(plan)
        words = [word.progress for word in self._words(plan)]
        others = len(self._peers.membership.alive()) - 1
        state = evaluate_rollout(
            plan, words, others, moment, totals=self._sums.find(plan)
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
        await self._write(plan, status)

    def _begin_final(self, plan: VersionPlan) -> None:
        """Let the new version take over once what it may get lasts to the limit."""
        moment = now()
        totals = self._sums.find(plan)
        if not may_begin_final_phase(plan, totals, moment):
            return
        if not self._sums.has_quorum(plan, moment):
            return
        plan.begin_final_phase(moment, quota=self._sums.find_final_quota(plan, moment))
        log_event(
            "rollout_final",
            service=plan.service,
            requests=totals.total.requests,
            exposed=totals.total.exposed,
            per_s=round(totals.per_s(plan.elapsed(moment)), 1),
            left_s=round(plan.left_s(moment), 2),
            evidence=plan.analysis.describe(),
        )
        self._tell(plan)

    async def _write(self, plan: VersionPlan, status: RolloutStatus) -> None:
        page = await self._store.newest(self._formats.status_topic, WRITE_S)
        found = self._confirmation.find_end(plan, page)
        if found is not None:
            if found.state is not RolloutState.RUNNING:
                return
            if found.state is status.state:
                self._written[plan.service] = found
                return
        append = self._formats.encode_status(status, page.end)
        outcome = await self._store.append(append, WRITE_S)
        if isinstance(outcome, Conflict):
            log_event("status_conflict", service=status.service, state=status.state)
            return
        self._end(plan, status)

    def _end(self, plan: VersionPlan, status: RolloutStatus) -> None:
        self._written[plan.service] = status
        log_event(
            "rollout_status_written",
            service=plan.service,
            target=status.target,
            state=status.state,
            elapsed_s=round(status.elapsed_s, 2),
            evidence=plan.analysis.describe(),
            requests=self._sums.find(plan).total.requests,
            exposed=self._sums.find(plan).total.exposed,
            alarm=plan.analysis.alarm or "",
        )
        if status.state is not RolloutState.RUNNING:
            progress = plan.progress(now())
            plan.apply_status(status, now())
            if progress is not None:
                # Gossip takes seconds among hundreds.
                ended = msgspec.structs.replace(progress, state=status.state)
                self._peers.trials.conclude(ended)
            self._peers.publish(f"status/{plan.service}", status)
