"""Leading the roll-outs: one instance writes how far each has come."""

from __future__ import annotations

import asyncio

import msgspec

from baobabthread.errors import BaobabthreadError
from baobabthread.instance.backends import Backends
from baobabthread.instance.clock import now
from baobabthread.instance.peers import PeerLink
from baobabthread.instance.services import Services
from baobabthread.instance.store import Conflict, RecordFormat, Store, StoreError
from baobabthread.instance.trialdesk import TrialWord
from baobabthread.logs import log_event
from baobabthread.routing.configuration import (
    RolloutOrder,
    RolloutState,
    RolloutStatus,
)
from baobabthread.routing.knowledge import Knowledge
from baobabthread.routing.versions import Progress, VersionPlan, judge_rollout

PERIOD_S = 0.25
SPREAD_S = 1.0
"""Time between two words of a leader that are spread to all."""
WRITE_S = 0.8
"""Longest time for a call to the store."""


class Conducting:
    """Take part in the roll-outs, and lead those that fall to this instance."""

    def __init__(
        self,
        *,
        knowledge: Knowledge,
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
        self._spread_at: dict[str, float] = {}
        peers.trials.take_verdict = self._take_verdict

    async def run(self) -> None:
        """Move the roll-outs on until cancelled."""
        while True:
            try:
                await self._step()
            except StoreError as error:
                log_event("status_not_written", level="warning", error=str(error))
            await asyncio.sleep(PERIOD_S)

    async def _step(self) -> None:
        moment = now()
        if self._knowledge.table is None:
            return
        for state in self._services:
            state.plan.note_versions(self._backends.versions(state.name))
        orders = self._knowledge.orders
        if self._early is None:
            self._early = frozenset(order.number for order in orders.values())
        if self._early and not self._is_recalled:
            # An order that came later can't have been carried out before.
            await self._recall()
        for name, order in list(orders.items()):
            plan = self._services.get(name).plan
            plan.take_order(order, moment, saw_before=order.number not in self._early)
            self._peers.desk.begin(plan)
            self._listen(plan)
            plan.note_target(usable=self._may_begin(plan, order), now=moment)
            self._tell(plan)
            if plan.is_running and self._leads(name):
                await self._lead(plan)

    def _may_begin(self, plan: VersionPlan, order: RolloutOrder) -> bool:
        """Tell whether servers of an order's version may get work, or still may."""
        if plan.has_begun:
            return order.target in self._backends.usable_versions(order.service)
        # Failure: an order comes as its servers start, all of them cold, and what the
        # trial sends there is refused though the old version has room.
        return order.target in self._backends.warm_versions(order.service)

    async def _recall(self) -> None:
        """Take over what was written before this instance started."""
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
            plan.take_order(order, now(), saw_before=False)
            self._adopt(plan, status, "store")

    def _listen(self, plan: VersionPlan) -> None:
        moment = now()
        for payload in self._peers.heard(f"rollout/{plan.service}"):
            progress = msgspec.json.decode(payload.body, type=Progress)
            plan.take_verdict(progress, moment)
        for word in self._words(plan):
            plan.take_progress(word.progress, moment)
            plan.trial.merge(word.origin, word.evidence)
        for payload in self._peers.heard(f"status/{plan.service}"):
            status = msgspec.json.decode(payload.body, type=RolloutStatus)
            self._adopt(plan, status, payload.origin)

    def _take_verdict(self, progress: Progress) -> None:
        self._services.get(progress.service).plan.take_verdict(progress, now())

    def _adopt(self, plan: VersionPlan, status: RolloutStatus, source: str) -> None:
        before = plan.state
        plan.take_status(status, now())
        if plan.state is not before:
            log_event(
                "rollout_status_heard",
                service=plan.service,
                target=status.target,
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
                seen=plan.trial.seen,
                alarm=plan.trial.alarm or "",
            )
        self._peers.trials.tell(
            TrialWord(
                origin=self._peers.incarnation,
                progress=progress,
                evidence=plan.trial.evidence(),
            )
        )
        if self._peers.trials.leads(plan.service):
            self._peers.trials.conclude(progress)
            self._spread(progress)

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

    def _leads(self, service: str) -> bool:
        """Tell whether this instance is the one that writes a service's status.

        Two that both believe it do no harm: the store takes a record only from the one
        that has read what the other wrote.
        """
        if not self._knowledge.is_fresh(now()):
            return False
        return self._peers.trials.leads(service)

    async def _lead(self, plan: VersionPlan) -> None:
        order = plan.order
        assert order is not None
        moment = now()
        words = [word.progress for word in self._words(plan)]
        others = len(self._peers.membership.alive()) - 1
        state = judge_rollout(plan, words, others, moment)
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

    async def _write(self, plan: VersionPlan, status: RolloutStatus) -> None:
        page = await self._store.newest(self._formats.status_topic, WRITE_S)
        for record in page.records:
            found = self._formats.decode_status(record)
            if found is None or found.service != status.service:
                continue
            if (
                found.number == status.number
                and found.state is not RolloutState.RUNNING
            ):
                # Another conductor, or an append of this one whose answer was lost,
                # has ended it: what is written stays.
                self._end(plan, found)
                return
            if found.number == status.number and found.state is status.state:
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
            seen=plan.trial.seen,
            alarm=plan.trial.alarm or "",
        )
        if status.state is not RolloutState.RUNNING:
            plan.take_status(status, now())
            self._peers.publish(f"status/{plan.service}", status)
