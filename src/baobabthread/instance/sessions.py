"""Consistent choice of a version for sessions during a roll-out.

Callers send a session's requests to any instance, possibly to two of them in the same
second. If each instance decided alone, one could move the session to the new version
while another keeps it, and gossip is too slow to prevent that. Rendezvous hashing
therefore picks two owners for each session. The first one decides, which costs a query
and a reply for the requests of the few sessions that may move to the canary, and for
all requests of sessions near the end of a roll-out. The second one has the same
information and takes over while the first is stopped. A session that was moved to the
new version stays there.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable

import msgspec

from baobabthread.core.positions import OperatorsPosition
from baobabthread.core.rendezvous import rank
from baobabthread.instance.clock import now
from baobabthread.instance.timeouts import limit_silence
from baobabthread.routing.versions import VersionPlan

REPLY_TIMEOUT_S = 0.08
"""Time to wait for a reply before the next owner is queried; several times the latency
between failure domains."""
LAST_REPLY_TIMEOUT_S = 0.25
"""Time to wait in the second attempt, after no owner has replied: an owner may just be
slow, and a session that has moved must not go back."""
OWNER_COUNT = 2
"""Instances that receive reports on a session and are queried in order: the first one
may have started after the order and have no information."""
HEIR_COUNT = 2
"""Instances that get the sessions of one that stops, as datagrams may be lost."""
MAX_HANDED_OVER = 1000
"""Sessions in one handover, which has to fit into a datagram."""
RESEND_INTERVAL_S = 0.15
"""Time after which an unacknowledged report is sent again: datagrams may be lost, and a
session unknown to its owner would move in the middle of a conversation."""
MAX_SENDS = 8
RENEWAL_INTERVAL_S = 2.0
"""Interval at which requests still running on the old version are reported again; well
within the idle time after which a session counts as ended."""


class VersionQuery(
    msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True, tag="session.ask"
):
    """Request the decision whether a session's request goes to the new version."""

    sequence: int
    service: str
    offset: int = msgspec.field(name="number")
    session: str
    era: int = 0

    @property
    def number(self) -> OperatorsPosition:
        """Number of the roll-out order."""
        return OperatorsPosition(self.era, self.offset)


class VersionReply(msgspec.Struct, frozen=True, kw_only=True, tag="session.is"):
    """Reply to a `VersionQuery`."""

    sequence: int
    is_new: bool | None
    """None if the queried instance has too little information."""


class SessionUseReport(
    msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True, tag="session.uses"
):
    """Report which sessions are in use, and on which version."""

    sequence: int
    service: str
    offset: int = msgspec.field(name="number")
    ages: dict[str, float]
    """Seconds since the last request of each session on the old version."""
    moved: list[str] = []
    """Sessions with a request on the new version."""
    era: int = 0

    @property
    def number(self) -> OperatorsPosition:
        """Number of the roll-out order."""
        return OperatorsPosition(self.era, self.offset)


class SessionUseAck(msgspec.Struct, frozen=True, kw_only=True, tag="session.noted"):
    """Acknowledge a `SessionUseReport`."""

    sequence: int


class SessionHandover(msgspec.Struct, frozen=True, kw_only=True, tag="session.left"):
    """Hand over the sessions in use at an instance that stops."""

    service: str
    ages: dict[str, float]
    """Seconds since the last request of each session on the version in force."""


SESSION_MESSAGES = (
    VersionQuery,
    VersionReply,
    SessionUseReport,
    SessionUseAck,
    SessionHandover,
)

SendMessage = Callable[[str, msgspec.Struct], None]
FindPlan = Callable[[str], VersionPlan]


class _UnacknowledgedReport:
    __slots__ = ("created_at", "message", "send_count", "sent_at", "to")

    def __init__(self, *, to: str, message: SessionUseReport, now_s: float) -> None:
        self.to = to
        self.message = message
        self.created_at = now_s
        self.sent_at = now_s
        self.send_count = 1

    def renew(self, now_s: float) -> SessionUseReport:
        """Return the message with current ages, and count another send."""
        elapsed_s = now_s - self.created_at
        self.sent_at = now_s
        self.send_count += 1
        ages = {s: round(age + elapsed_s, 2) for s, age in self.message.ages.items()}
        return msgspec.structs.replace(self.message, ages=ages)


class SessionCoordinator:
    """Query the owners of sessions, and decide on the sessions owned here."""

    __slots__ = (
        "_alive",
        "_find_plan",
        "_me",
        "_notified_owners",
        "_pending",
        "_renewed_at",
        "_reported_orders",
        "_send",
        "_sequence",
        "_unacknowledged",
    )

    def __init__(self, *, me: str, send: SendMessage, find_plan: FindPlan) -> None:
        self._me = me
        self._send = send
        self._find_plan = find_plan
        self._alive: list[str] = [me]
        self._pending: dict[int, asyncio.Future[VersionReply]] = {}
        self._reported_orders: dict[str, OperatorsPosition] = {}
        self._sequence = 0
        self._renewed_at = now()
        self._notified_owners: dict[str, dict[str, set[str]]] = {}
        """Owners that were sent a moved session, by service and session."""
        self._unacknowledged: dict[int, _UnacknowledgedReport] = {}

    def handle(self, sender: str, message: msgspec.Struct) -> None:
        """Handle one of `SESSION_MESSAGES`."""
        match message:
            case VersionQuery():
                self._handle_query(sender, message)
            case VersionReply():
                self._handle_reply(message)
            case SessionUseReport():
                self._handle_use_report(sender, message)
            case SessionUseAck():
                self._unacknowledged.pop(message.sequence, None)
            case SessionHandover():
                self._handle_handover(message)

    def set_members(self, names: list[str]) -> None:
        """Update the names of the serving instances, including this one."""
        previous, self._alive = self._alive, names or [self._me]
        if set(previous) == set(self._alive):
            return
        for sessions in self._notified_owners.values():
            for notified in sessions.values():
                notified.intersection_update(self._alive)
        for service in self._reported_orders:
            plan = self._find_plan(service)
            if plan.is_canary_phase:
                self._report_moved(plan, plan.pins.list_new(now()))
                self._report_ages(plan, plan.list_session_ages(now()))

    async def decide(self, plan: VersionPlan, session: str) -> bool:
        """Return whether a contested session's request goes to the new version."""
        if plan.order is None:
            return False
        owners = self._find_owners(session)
        for wait_s in (REPLY_TIMEOUT_S, LAST_REPLY_TIMEOUT_S):
            unanswered = []
            for name in owners:
                if name == self._me:
                    is_new = self._decide_locally(plan, session)
                else:
                    reply = await self._query(name, plan, session, wait_s)
                    if reply is None:
                        unanswered.append(name)
                    is_new = reply.is_new if reply is not None else None
                if is_new is not None:
                    return is_new
            owners = unanswered
        # In the second half any session of the canary share may have moved, and one
        # that has must not go back.
        may_move = plan.is_past_half(now()) and plan.is_in_canary_share(session)
        if plan.pins.is_on_new(session) or may_move:
            return True
        # An owner may have decided to move the session, and its reply may be lost.
        self._report_ages(plan, {session: 0.0})
        return False

    def _find_owners(self, session: str) -> list[str]:
        return rank(session, self._alive)[:OWNER_COUNT]

    async def _query(
        self, name: str, plan: VersionPlan, session: str, wait_s: float
    ) -> VersionReply | None:
        assert plan.order is not None
        self._sequence += 1
        reply: asyncio.Future[VersionReply]
        reply = asyncio.get_running_loop().create_future()
        self._pending[self._sequence] = reply
        query = VersionQuery(
            sequence=self._sequence,
            service=plan.service,
            offset=plan.order.offset,
            era=plan.order.era,
            session=session,
        )
        try:
            self._send(name, query)
            async with limit_silence(wait_s):
                return await reply
        except TimeoutError:
            return None
        finally:
            self._pending.pop(query.sequence, None)

    def report_old(self, plan: VersionPlan, session: str) -> None:
        """Report to a session's owners that it uses or used the old version."""
        if plan.may_join_canary(session):
            self._report_ages(plan, {session: 0.0})

    def report_new(self, plan: VersionPlan, session: str) -> None:
        """Report to a session's owners, once, that it is on the new version."""
        is_first = plan.pins.record_new(session, now())
        if is_first and plan.is_running:
            self._report_moved(plan, [session])

    def _report_moved(self, plan: VersionPlan, sessions: list[str]) -> None:
        by_owner: dict[str, list[str]] = {}
        by_session = self._notified_owners.setdefault(plan.service, {})
        for session in sessions:
            notified = by_session.setdefault(session, set())
            for name in self._find_owners(session):
                if name not in notified:
                    notified.add(name)
                    by_owner.setdefault(name, []).append(session)
        for name, owned in by_owner.items():
            if name == self._me:
                plan.pins.record_moved(owned)
            else:
                self._send_use_report(name, plan, {}, owned)

    def report_in_use(self, plan: VersionPlan) -> None:
        """Report the sessions in use here to their owners, once per order."""
        order = plan.order
        if order is None or self._reported_orders.get(plan.service) == order.number:
            return
        self._reported_orders[plan.service] = order.number
        self._notified_owners[plan.service] = {}
        self._report_ages(plan, plan.list_session_ages(now()))

    def hand_over(self, plans: Iterable[VersionPlan]) -> None:
        """Tell other instances the sessions in use here, as this one stops.

        Otherwise the next order would find them idle, in the middle of a conversation.
        """
        others = [name for name in self._alive if name != self._me]
        now_s = now()
        for plan in plans:
            used = list(plan.pins.list_old(now_s).items())
            for start in range(0, len(used), MAX_HANDED_OVER):
                sessions = used[start : start + MAX_HANDED_OVER]
                ages = {session: round(now_s - at, 2) for session, at in sessions}
                message = SessionHandover(service=plan.service, ages=ages)
                for name in rank(self._me, others)[:HEIR_COUNT]:
                    self._send(name, message)

    def _handle_handover(self, message: SessionHandover) -> None:
        plan = self._find_plan(message.service)
        for session, age_s in message.ages.items():
            plan.pins.record_old(session, now() - age_s)
        if plan.is_canary_phase:
            # The order may have come too late for the instance that has stopped.
            candidates = filter(plan.may_join_canary, message.ages)
            ages = {session: message.ages[session] for session in candidates}
            self._report_ages(plan, ages)

    def tick(self) -> None:
        """Resend unacknowledged reports, and renew those of running requests."""
        now_s = now()
        for sequence, pending in list(self._unacknowledged.items()):
            if now_s - pending.sent_at < RESEND_INTERVAL_S:
                continue
            if pending.send_count >= MAX_SENDS:
                del self._unacknowledged[sequence]
                continue
            self._send(pending.to, pending.renew(now_s))
        if now_s - self._renewed_at >= RENEWAL_INTERVAL_S:
            self._renewed_at = now_s
            self._renew_reports()

    def _renew_reports(self) -> None:
        """Report running requests on the old version again.

        A stream may run for longer than the idle time of a session.
        """
        for service in self._reported_orders:
            plan = self._find_plan(service)
            sessions = plan.pins.list_running_old()
            running = [s for s in sessions if plan.may_join_canary(s)]
            self._report_ages(plan, dict.fromkeys(running, 0.0))

    def _handle_query(self, sender: str, query: VersionQuery) -> None:
        plan = self._find_plan(query.service)
        is_same_order = plan.order is not None and plan.order.number == query.number
        is_new = self._decide_locally(plan, query.session) if is_same_order else None
        self._send(sender, VersionReply(sequence=query.sequence, is_new=is_new))

    def _handle_reply(self, reply: VersionReply) -> None:
        future = self._pending.get(reply.sequence)
        if future is not None and not future.done():
            future.set_result(reply)

    def _handle_use_report(self, sender: str, report: SessionUseReport) -> None:
        plan = self._find_plan(report.service)
        if plan.order is None or plan.order.number != report.number:
            # The order has not arrived here yet; the sender will send the report again.
            return
        plan.pins.record_in_use(report.ages, now())
        plan.pins.record_moved(report.moved)
        self._send(sender, SessionUseAck(sequence=report.sequence))

    def _decide_locally(self, plan: VersionPlan, session: str) -> bool | None:
        if plan.pins.is_admitted(session) or not plan.may_have_moved(session):
            return plan.decide(session, now())
        if not plan.knows_sessions_in_use(now()) and not plan.is_past_half(now()):
            return None
        if plan.decide(session, now()):
            return True
        # The first owner may have moved the session, and the report of it may be lost.
        is_first = self._find_owners(session)[0] == self._me
        return False if is_first and plan.knows_sessions_in_use(now()) else None

    def _report_ages(self, plan: VersionPlan, ages: dict[str, float]) -> None:
        by_owner: dict[str, dict[str, float]] = {}
        for session, age_s in ages.items():
            for name in self._find_owners(session):
                by_owner.setdefault(name, {})[session] = age_s
        for name, owned in by_owner.items():
            if name == self._me:
                plan.pins.record_in_use(owned, now())
            else:
                self._send_use_report(name, plan, owned, [])

    def _send_use_report(
        self, to: str, plan: VersionPlan, ages: dict[str, float], moved: list[str]
    ) -> None:
        assert plan.order is not None
        self._sequence += 1
        report = SessionUseReport(
            sequence=self._sequence,
            service=plan.service,
            offset=plan.order.offset,
            era=plan.order.era,
            ages=ages,
            moved=moved,
        )
        pending = _UnacknowledgedReport(to=to, message=report, now_s=now())
        self._unacknowledged[self._sequence] = pending
        self._send(to, report)
