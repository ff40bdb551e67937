"""One instance decides on each session that may be in use while a version is tried.

Callers send a session's requests to any instance, two of them in the same second. By
itself one instance would move the session and another one keep it; word spread by
gossip comes too late. The instance that stands first for the session decides, at the
price of a question and an answer for the few requests that the trial may move, and for
all of them in the last part of a roll-out. The second one knows the same, for the time
when the first is stopped. What was let onto the new version stays there.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import msgspec

from baobabthread.core.rendezvous import rank
from baobabthread.instance.clock import now
from baobabthread.routing.versions import VersionPlan

REPLY_TIMEOUT_S = 0.08
"""Time for the answer, several times a trip between failure domains; without one the
next instance is asked."""
LAST_REPLY_TIMEOUT_S = 0.25
"""The same once none has answered: one may only be slow, and a session that has moved
must not go back."""
OWNER_COUNT = 2
"""Instances that are told of a session in use, and asked one after the other: the first
may have started after the order and know nothing."""
RESEND_INTERVAL_S = 0.15
"""Time after which word of sessions in use is sent again: datagrams get lost, and a
session that its decider doesn't know would move in the middle of a conversation."""
MAX_SENDS = 8
RENEWAL_INTERVAL_S = 2.0
"""Time after which word of requests that still run on the old version is renewed, well
within a session's pause."""


class VersionQuery(msgspec.Struct, frozen=True, kw_only=True, tag="session.ask"):
    """Ask whether a request of a session goes to the new version."""

    sequence: int
    service: str
    number: int
    """The order."""
    session: str


class VersionReply(msgspec.Struct, frozen=True, kw_only=True, tag="session.is"):
    """Tell whether it does."""

    sequence: int
    is_new: bool | None
    """None where the one who was asked can't know."""


class SessionUseReport(msgspec.Struct, frozen=True, kw_only=True, tag="session.uses"):
    """Tell which sessions are in use, on which version."""

    sequence: int
    service: str
    number: int
    ages: dict[str, float]
    """Seconds since the last request of each that is on the old version."""
    moved: list[str] = []
    """Those of which a request ran on the new version."""


class SessionUseAck(msgspec.Struct, frozen=True, kw_only=True, tag="session.noted"):
    """Confirm word of sessions in use."""

    sequence: int


SESSION_MESSAGES = (VersionQuery, VersionReply, SessionUseReport, SessionUseAck)

SendMessage = Callable[[str, msgspec.Struct], None]
FindPlan = Callable[[str], VersionPlan]


class _UnacknowledgedReport:
    __slots__ = ("created_at", "message", "send_count", "sent_at", "to")

    def __init__(self, *, to: str, message: SessionUseReport, moment: float) -> None:
        self.to = to
        self.message = message
        self.created_at = moment
        self.sent_at = moment
        self.send_count = 1

    def renew(self, moment: float) -> SessionUseReport:
        """Return the message with the ages of now, and count a try."""
        passed_s = moment - self.created_at
        self.sent_at = moment
        self.send_count += 1
        ages = {s: round(age + passed_s, 2) for s, age in self.message.ages.items()}
        return msgspec.structs.replace(self.message, ages=ages)


class SessionCoordinator:
    """Ask the deciding instance, and answer for the sessions decided here."""

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
        self._reported_orders: dict[str, int] = {}
        self._sequence = 0
        self._renewed_at = now()
        self._notified_owners: dict[str, dict[str, set[str]]] = {}
        """Who was told of a session that has moved, by service and session."""
        self._unacknowledged: dict[int, _UnacknowledgedReport] = {}

    def handle(self, sender: str, message: msgspec.Struct) -> None:
        """Take in one of `SESSION_MESSAGES`."""
        match message:
            case VersionQuery():
                self._handle_query(sender, message)
            case VersionReply():
                self._handle_reply(message)
            case SessionUseReport():
                self._handle_use_report(sender, message)
            case SessionUseAck():
                self._unacknowledged.pop(message.sequence, None)

    def set_members(self, names: list[str]) -> None:
        """Note which instances serve, this one included."""
        before, self._alive = self._alive, names or [self._me]
        if set(before) == set(self._alive):
            return
        for sessions in self._notified_owners.values():
            for told in sessions.values():
                told.intersection_update(self._alive)
        for service in self._reported_orders:
            plan = self._find_plan(service)
            if plan.is_canary_phase:
                self._report_moved(plan, plan.pins.list_new(now()))
                self._report_ages(plan, plan.list_session_ages(now()))

    async def decide(self, plan: VersionPlan, session: str) -> bool:
        """Return whether a contested session's request goes to the new version."""
        if plan.order is None:
            return False
        waiting = self._find_owners(session)
        for wait_s in (REPLY_TIMEOUT_S, LAST_REPLY_TIMEOUT_S):
            silent = []
            for name in waiting:
                if name == self._me:
                    is_new = self._decide_locally(plan, session)
                else:
                    word = await self._query(name, plan, session, wait_s)
                    if word is None:
                        silent.append(name)
                    is_new = word.is_new if word is not None else None
                if is_new is not None:
                    return is_new
            waiting = silent
        # In the second half any session may move, and one that has must not go back.
        is_free = plan.is_past_half(now()) and plan.is_in_canary_share(session)
        if plan.pins.is_on_new(session) or is_free:
            return True
        # Somebody may have decided to move it, and the answer was lost.
        self._report_ages(plan, {session: 0.0})
        return False

    def _find_owners(self, session: str) -> list[str]:
        return rank(session, self._alive)[:OWNER_COUNT]

    async def _query(
        self, name: str, plan: VersionPlan, session: str, wait_s: float
    ) -> VersionReply | None:
        assert plan.order is not None
        self._sequence += 1
        answer: asyncio.Future[VersionReply]
        answer = asyncio.get_running_loop().create_future()
        self._pending[self._sequence] = answer
        question = VersionQuery(
            sequence=self._sequence,
            service=plan.service,
            number=plan.order.number,
            session=session,
        )
        try:
            self._send(name, question)
            async with asyncio.timeout(wait_s):
                return await answer
        except TimeoutError:
            return None
        finally:
            self._pending.pop(question.sequence, None)

    def report_old(self, plan: VersionPlan, session: str) -> None:
        """Tell the deciding instances that a request is on the old version, or was."""
        if plan.may_join_canary(session):
            self._report_ages(plan, {session: 0.0})

    def report_new(self, plan: VersionPlan, session: str) -> None:
        """Tell the deciding instances that a request is on the new version, once."""
        is_news = plan.pins.record_new(session, now())
        if is_news and plan.is_running:
            self._report_moved(plan, [session])

    def _report_moved(self, plan: VersionPlan, sessions: list[str]) -> None:
        by_decider: dict[str, list[str]] = {}
        known = self._notified_owners.setdefault(plan.service, {})
        for session in sessions:
            told = known.setdefault(session, set())
            for name in self._find_owners(session):
                if name not in told:
                    told.add(name)
                    by_decider.setdefault(name, []).append(session)
        for name, theirs in by_decider.items():
            if name == self._me:
                plan.pins.record_moved(theirs)
            else:
                self._send_use_report(name, plan, {}, theirs)

    def report_in_use(self, plan: VersionPlan) -> None:
        """Hand over the sessions in use here, once for each order."""
        order = plan.order
        if order is None or self._reported_orders.get(plan.service) == order.number:
            return
        self._reported_orders[plan.service] = order.number
        self._notified_owners[plan.service] = {}
        self._report_ages(plan, plan.list_session_ages(now()))

    def tick(self) -> None:
        """Send again what nobody has confirmed."""
        moment = now()
        for sequence, waiting in list(self._unacknowledged.items()):
            if moment - waiting.sent_at < RESEND_INTERVAL_S:
                continue
            if waiting.send_count >= MAX_SENDS:
                del self._unacknowledged[sequence]
                continue
            self._send(waiting.to, waiting.renew(moment))
        if moment - self._renewed_at >= RENEWAL_INTERVAL_S:
            self._renewed_at = moment
            self._renew_reports()

    def _renew_reports(self) -> None:
        """Tell again of what runs on the old version: a stream outlasts a pause."""
        for service in self._reported_orders:
            plan = self._find_plan(service)
            sessions = plan.pins.list_running_old()
            running = [s for s in sessions if plan.may_join_canary(s)]
            self._report_ages(plan, dict.fromkeys(running, 0.0))

    def _handle_query(self, sender: str, question: VersionQuery) -> None:
        plan = self._find_plan(question.service)
        known = plan.order is not None and plan.order.number == question.number
        is_new = self._decide_locally(plan, question.session) if known else None
        self._send(sender, VersionReply(sequence=question.sequence, is_new=is_new))

    def _handle_reply(self, word: VersionReply) -> None:
        waiting = self._pending.get(word.sequence)
        if waiting is not None and not waiting.done():
            waiting.set_result(word)

    def _handle_use_report(self, sender: str, uses: SessionUseReport) -> None:
        plan = self._find_plan(uses.service)
        if plan.order is None or plan.order.number != uses.number:
            # The order is on its way here; the sender tells again.
            return
        plan.pins.record_in_use(uses.ages, now())
        plan.pins.record_moved(uses.moved)
        self._send(sender, SessionUseAck(sequence=uses.sequence))

    def _decide_locally(self, plan: VersionPlan, session: str) -> bool | None:
        if plan.pins.is_admitted(session) or not plan.may_have_moved(session):
            return plan.decide(session, now())
        if not plan.knows_sessions_in_use(now()) and not plan.is_past_half(now()):
            return None
        if plan.decide(session, now()):
            return True
        # The first one may have let it in; what it did is told, and words get lost.
        is_first = self._find_owners(session)[0] == self._me
        return False if is_first and plan.knows_sessions_in_use(now()) else None

    def _report_ages(self, plan: VersionPlan, ages: dict[str, float]) -> None:
        by_decider: dict[str, dict[str, float]] = {}
        for session, age_s in ages.items():
            for name in self._find_owners(session):
                by_decider.setdefault(name, {})[session] = age_s
        for name, theirs in by_decider.items():
            if name == self._me:
                plan.pins.record_in_use(theirs, now())
            else:
                self._send_use_report(name, plan, theirs, [])

    def _send_use_report(
        self, to: str, plan: VersionPlan, ages: dict[str, float], moved: list[str]
    ) -> None:
        assert plan.order is not None
        self._sequence += 1
        uses = SessionUseReport(
            sequence=self._sequence,
            service=plan.service,
            number=plan.order.number,
            ages=ages,
            moved=moved,
        )
        waiting = _UnacknowledgedReport(to=to, message=uses, moment=now())
        self._unacknowledged[self._sequence] = waiting
        self._send(to, uses)
