"""Version selection for the requests of a service during a roll-out.

A canary version receives a small share of the sessions, selected by a hash of the
session name and admitted by the session's owner. An admitted session stays on the new
version until that is rolled back, so the total exposure is bounded at admission.
Promotion moves all traffic at once, shortly before the time limit: a version that fails
only under load shows it with the last part of the exposure budget, not earlier.
"""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from baobabthread.core.positions import NO_ORDER, OperatorsPosition
from baobabthread.core.requests.attempts import draw
from baobabthread.routing.bounds import RoutingBounds
from baobabthread.routing.canary import CanaryAnalysis
from baobabthread.routing.configuration import RolloutOrder, RolloutState, RolloutStatus
from baobabthread.routing.exposure import (
    Bursts,
    Exposure,
    ExposureBudget,
    FinalPhaseBudget,
    Rate,
    find_canary_share,
)
from baobabthread.routing.lineage import Lineage
from baobabthread.routing.permission import Permission
from baobabthread.routing.pins import SessionPins
from baobabthread.routing.progress import Progress

SETTLE_S = 1.0
"""Time after an order during which instances exchange the sessions in use."""
SESSION_MARGIN_S = 1.0
"""Added to a session's idle time for requests that end after they were counted."""
PROMOTION_WINDOW_FRACTION = 0.15
MIN_PROMOTION_WINDOW_S = 1.5
"""Length of the window before the time limit in which a version may be promoted, as a
fraction of the limit and as a minimum. In it, owners are queried for all sessions."""
PROMOTION_WINDOW_MARGIN_S = 0.5
"""Maximum difference between instances in the time elapsed since the order."""


class VersionPlan:
    """Selects between the versions of one service during a roll-out."""

    __slots__ = (
        "_final_at",
        "_ready_at",
        "_started_at",
        "_target_servers",
        "analysis",
        "bounds",
        "bursts",
        "canary_share",
        "exposure",
        "final_budget",
        "known_exposure",
        "lineage",
        "order",
        "permission",
        "pins",
        "rate",
        "served_before_order",
        "service",
        "state",
    )

    def __init__(self, *, service: str, bounds: RoutingBounds) -> None:
        self.service = service
        self.bounds = bounds
        self.order: RolloutOrder | None = None
        self.state = RolloutState.SUCCEEDED
        self.lineage = Lineage()
        self.analysis = CanaryAnalysis(number=OperatorsPosition())
        self._started_at = 0.0
        self._target_servers = 1
        self.canary_share = 0.0
        """Share of the sessions that the latest order's version gets as a canary."""
        self.bursts = Bursts(canary_share=0.0, servers=1)
        self._ready_at: float | None = None
        self.permission = Permission()
        self._final_at: float | None = None
        """When the final phase began, in which the new version gets all requests."""
        self.final_budget = FinalPhaseBudget()
        self.exposure = ExposureBudget()
        self.known_exposure = Exposure()
        """Lower bound of what all instances have sent, merged from their reports."""
        self.rate = Rate()
        """Rate at which this instance sends requests to the service."""
        self.pins = SessionPins(idle_s=bounds.session_s + SESSION_MARGIN_S)
        self.served_before_order = True
        """Whether this instance served before the order and so was sent the sessions in
        use. An instance that started later cannot decide on sessions."""

    def apply_order(
        self, order: RolloutOrder, now: float, *, served_before_order: bool = True
    ) -> bool:
        """Start a roll-out; return whether the order is another one than before."""
        current = self.order
        if current is not None and order.renames(current):
            # Written again after the store lost it, or known to others by an earlier
            # number: its trial goes on.
            self.order = order
            self.analysis.number = order.number
            return False
        self.lineage.start_rollout(order.target)
        if current is not None:
            self._end_order(current)
        self.order = order
        self.served_before_order = served_before_order
        self.state = RolloutState.RUNNING
        self.analysis = CanaryAnalysis(
            number=order.number, baselines=self.analysis.baselines
        )
        self.canary_share = find_canary_share(self.bounds, order.time_limit_s)
        self.bursts = Bursts(
            canary_share=self.canary_share, servers=self._target_servers
        )
        self._started_at = now
        self._ready_at = None
        self.permission = Permission()
        if served_before_order:
            self.permission.confirm(requested_at=now)
        self._final_at = None
        self.final_budget = FinalPhaseBudget()
        self.exposure = ExposureBudget()
        self.known_exposure = Exposure()
        self.rate = Rate()
        self.pins.reset()
        return True

    def _end_order(self, order: RolloutOrder) -> None:
        """Record what is known of the outcome of an order that is replaced."""
        if self.is_running:
            self.lineage.add_unsettled(order)
            return
        has_succeeded = self.state is RolloutState.SUCCEEDED
        self.lineage.record_outcome(order.number, order.target, has_succeeded)

    def is_unproven(self, version: str) -> bool:
        """Return whether a version is a canary or was rolled back.

        Blamed on requests, late crash reports would get good ones rejected for minutes.
        """
        if version in self.lineage.rolled_back:
            return True
        is_target = self.order is not None and self.order.target == version
        return is_target and self.state is not RolloutState.SUCCEEDED

    def update_versions(self, listed: Mapping[str, int]) -> None:
        """Update the version in force from the listed servers, before any order."""
        if self.order is None:
            self.lineage.observe_listed(listed)

    def apply_status(self, status: RolloutStatus, now: float) -> None:
        """Apply the status of the current order, from the store or its writer."""
        if self.order is None:
            return
        self.learn_history(status)
        if self.order.is_meant_by(status) and self.state is RolloutState.RUNNING:
            self.state = status.state
            # The record goes back further than the start of a restarted instance.
            self._started_at = min(self._started_at, now - status.elapsed_s)

    @property
    def is_history_unknown(self) -> bool:
        """Whether the version beside the target depends on an unknown outcome."""
        return self.lineage.is_unknown and self.state is not RolloutState.SUCCEEDED

    def learn_history(self, status: RolloutStatus) -> None:
        """Learn from a status how the orders before the current one ended."""
        current = self.order
        if current is None:
            return
        is_current = current.is_meant_by(status)
        if not is_current and status.number and status.number > current.number:
            # The current order has ended, which this instance is about to learn.
            return
        self.lineage.adopt_base(status.base, status.base_order)
        if not is_current and status.state is not RolloutState.RUNNING:
            self.lineage.settle(status)

    def apply_progress(self, progress: Progress, now: float) -> None:
        """Apply the progress reported by another instance."""
        if self.order is None or progress.number != self.order.number:
            return
        self._started_at = min(self._started_at, now - progress.elapsed_s)
        self.lineage.adopt_base(progress.base, progress.base_order or NO_ORDER)
        self.known_exposure = self.known_exposure.merge(progress.total)
        if progress.alarm is not None and self.analysis.alarm is None:
            self.analysis.alarm = progress.alarm

    def apply_verdict(self, progress: Progress, now: float) -> None:
        """Apply the verdict of the leader, which receives all evidence."""
        self.apply_progress(progress, now)
        is_current = self.order is not None and progress.number == self.order.number
        if is_current and progress.is_final:
            self.begin_final_phase(now, quota=progress.final_quota)
        if is_current and self.is_running:
            self.state = progress.state

    def update_target(self, *, usable: bool, now: float, servers: int = 1) -> None:
        """Update whether the new version has usable backend servers, and how many."""
        if servers != self._target_servers:
            self._target_servers = servers
            self.bursts = Bursts(canary_share=self.canary_share, servers=servers)
        if usable and self._ready_at is None:
            self._ready_at = now
        elif not usable:
            self._ready_at = None

    @property
    def has_target_servers(self) -> bool:
        """Whether the new version has backend servers that accept work."""
        return self._ready_at is not None

    @property
    def is_running(self) -> bool:
        """Whether a roll-out is in progress."""
        return self.order is not None and self.state is RolloutState.RUNNING

    @property
    def is_reverted(self) -> bool:
        """Whether the latest order's version was rolled back."""
        return self.state is RolloutState.REVERTED

    def elapsed(self, now: float) -> float:
        """Return the seconds since the order."""
        return max(0.0, now - self._started_at)

    def share(self, now: float) -> float:
        """Return the share of the sessions that go to the new version, 0 to 1."""
        order = self.order
        if order is None or self.state is RolloutState.REVERTED:
            return 0.0
        if self.state is RolloutState.SUCCEEDED:
            return 1.0
        if self.analysis.alarm is not None or self._ready_at is None:
            return 0.0
        if self._final_at is not None:
            return 1.0 if self.permission.left_s(now) > 0.0 else 0.0
        if self.elapsed(now) < SETTLE_S or self.permission.permitted_s(now) <= 0.0:
            return 0.0
        return self.canary_share

    def permit(self, *, requested_at: float, admits: bool = True) -> None:
        """Renew the leader's permit, which covers all evidence sent before the request.

        Without permits, an instance cut off from its peers but not from the store would
        keep using a version that they rolled back, and its evidence would be lost.
        """
        self.permission.permit(requested_at=requested_at, admits=admits)

    def may_stay(self, now: float) -> bool:
        """Return whether sessions on the new version may still send requests there."""
        if not self.is_running or self.analysis.alarm is not None:
            return False
        return self._ready_at is not None and self.permission.left_s(now) > 0.0

    def is_in_promotion_window(self, now: float) -> bool:
        """Return whether promotion may be imminent or has already happened."""
        window_s = self.promotion_window_s + PROMOTION_WINDOW_MARGIN_S
        return self.is_running and (self.is_final or self.left_s(now) <= window_s)

    @property
    def promotion_window_s(self) -> float:
        """Seconds before the time limit from which the version may be promoted."""
        assert self.order is not None
        return max(
            MIN_PROMOTION_WINDOW_S, PROMOTION_WINDOW_FRACTION * self.order.time_limit_s
        )

    @property
    def is_final(self) -> bool:
        """Whether the final phase, in which all requests move, has begun."""
        return self._final_at is not None or (
            self.order is not None and self.state is RolloutState.SUCCEEDED
        )

    def begin_final_phase(self, now: float, *, quota: float | None = None) -> None:
        """Begin the final phase; `quota` bounds the requests admitted here."""
        if self._final_at is None:
            self._final_at = now
            self.final_budget = FinalPhaseBudget(quota=quota)
            self.analysis.begin_final_phase()
            self.exposure.begin_final_phase(self.rate.per_s() * self.left_s(now))

    def try_expose(self, session: str | None, now: float) -> bool:
        """Reserve an attempt on the new version; return whether the budget allows it.

        Sessions were admitted earlier, so their attempts are only counted.
        """
        if session is None and self.is_running and self.left_s(now) > 0.0:
            return self.exposure.try_reserve(self.canary_share)
        self.exposure.reserve()
        return True

    def ready_s(self, now: float) -> float:
        """Return the seconds for which the new version has had usable servers."""
        return now - self._ready_at if self._ready_at is not None else 0.0

    def left_s(self, now: float) -> float:
        """Return the seconds left until the order's time limit."""
        assert self.order is not None
        return max(0.0, self.order.time_limit_s - self.elapsed(now))

    def choose(self, session: str, now: float) -> bool:
        """Return whether a session that begins now is selected for the new version.

        Where `needs_owner_decision` holds, the owner of the session must agree.
        """
        share = self.share(now)
        return share >= 1.0 or (share > 0.0 and self._is_selected(session, share))

    def choose_without_session(self, request: str, now: float) -> bool:
        """Return whether a request without a session goes to the new version."""
        share = self.share(now)
        if 0.0 < share < 1.0:
            is_active = self.bursts.is_active(self.elapsed(now))
            return is_active and self._is_selected(request, self.bursts.share)
        return share >= 1.0

    @property
    def is_canary_phase(self) -> bool:
        """Whether the new version is limited to the canary share."""
        return self.is_running and not self.is_final

    def needs_owner_decision(self, session: str, now: float) -> bool:
        """Return whether the owner of a session must be queried for its version."""
        if not self.is_running or not self.has_target_servers:
            return False
        return self.is_in_promotion_window(now) or self.may_join_canary(session)

    def may_join_canary(self, session: str) -> bool:
        """Return whether a session may move to the canary, now or after settling."""
        is_early = self.is_running and self._final_at is None
        return is_early and self.is_in_canary_share(session)

    def is_in_canary_share(self, session: str) -> bool:
        """Return whether a session is selected for the canary share."""
        return self._is_selected(session, self.canary_share)

    def knows_sessions_in_use(self, now: float) -> bool:
        """Return whether this instance has seen the sessions in use without a gap."""
        informed_s = now - self.permission.renewed_at
        return self.served_before_order and informed_s >= self.pins.idle_s

    def may_have_moved(self, session: str) -> bool:
        """Return whether a session may be on the new version by now."""
        return self.is_final or self.may_join_canary(session)

    def decide(self, session: str, now: float) -> bool:
        """Return whether a session moves to the new version; called on its owner.

        A single owner decides, so that simultaneous requests get the same version. A
        session in use stays until idle or the final phase: it may be in a conversation.
        """
        if not self.is_running or self.analysis.alarm is not None:
            return self.state is RolloutState.SUCCEEDED
        if self.pins.is_admitted(session):
            if self.is_final:
                self.final_budget.spend()
            return True
        if self.is_final:
            return self._admit_in_final_phase(session, now)
        if not self.permission.may_admit(now) or not self.choose(session, now):
            return False
        if self.pins.is_in_use(session, now):
            self.pins.keep_old(session, now)
            return False
        self.pins.admit(session)
        return True

    def _admit_in_final_phase(self, session: str, now: float) -> bool:
        assert self.order is not None
        drawn = draw(f"{self.service}/{self.order.offset}/end", session)
        if self.left_s(now) > 0.0 and not self.final_budget.has_remaining(drawn):
            return False
        self.final_budget.spend()
        self.pins.admit(session)
        return True

    def is_past_half(self, now: float) -> bool:
        """Return whether half of the time limit has passed, plus a margin."""
        # From then on, candidates without an owner's decision are taken to have moved.
        assert self.order is not None
        return self.left_s(now) < self.order.time_limit_s / 2 - SESSION_MARGIN_S

    def list_session_ages(self, now: float) -> dict[str, float]:
        """Return the seconds since use of canary candidates on the old version here."""
        if self.order is None:
            return {}
        seen = self.pins.list_old(now).items()
        return {s: round(now - at, 2) for s, at in seen if self.is_in_canary_share(s)}

    def record_old_started(self, session: str, now: float) -> None:
        """Record the start of a session's request on the old version."""
        self.pins.record_old_started(session, now)

    def record_old_ended(self, session: str, now: float) -> None:
        """Record the end of a session's request on the old version."""
        self.pins.record_old_ended(session, now)

    def progress(self, now: float) -> Progress | None:
        """Return the progress to report to the others while a roll-out runs."""
        if self.order is None or self.state is not RolloutState.RUNNING:
            return None
        settled = self.lineage.settled
        return Progress(
            service=self.service,
            offset=self.order.offset,
            era=self.order.era or msgspec.UNSET,
            elapsed_s=round(self.elapsed(now), 2),
            share=self.share(now),
            old_running=self.pins.running_old_count,
            alarm=self.analysis.alarm,
            is_suspicious=self.analysis.is_suspicious,
            is_final=self.is_final,
            base=self.lineage.base,
            base_order=msgspec.UNSET if settled == NO_ORDER else settled,
            has_target_servers=self.has_target_servers,
            total=self.known_exposure,
            final_quota=self.final_budget.quota,
        )

    def _is_selected(self, session: str, share: float) -> bool:
        assert self.order is not None
        return draw(f"{self.service}/{self.order.offset}", session) < share
