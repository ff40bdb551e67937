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

ANSWER_S = 0.08
"""Time for the answer, several times a trip between failure domains; without one the
next instance is asked."""
LAST_ANSWER_S = 0.25
"""The same once none has answered: one may only be slow, and a session that has moved
must not go back."""
DECIDERS = 2
"""Instances that are told of a session in use, and asked one after the other: the first
may have started after the order and know nothing."""
REPEAT_S = 0.15
"""Time after which word of sessions in use is sent again: datagrams get lost, and a
session that its decider doesn't know would move in the middle of a conversation."""
MOST_TRIES = 8
RENEW_S = 2.0
"""Time after which word of requests that still run on the old version is renewed, well
within a session's pause."""


class AskVersion(msgspec.Struct, frozen=True, kw_only=True, tag="session.ask"):
    """Ask whether a request of a session goes to the new version."""

    sequence: int
    service: str
    number: int
    """The order."""
    session: str


class VersionIs(msgspec.Struct, frozen=True, kw_only=True, tag="session.is"):
    """Tell whether it does."""

    sequence: int
    is_new: bool | None
    """None where the one who was asked can't know."""


class SessionsInUse(msgspec.Struct, frozen=True, kw_only=True, tag="session.uses"):
    """Tell which sessions are in use, on which version."""

    sequence: int
    service: str
    number: int
    ages: dict[str, float]
    """Seconds since the last request of each that is on the old version."""
    moved: list[str] = []
    """Those of which a request ran on the new version."""


class UsesNoted(msgspec.Struct, frozen=True, kw_only=True, tag="session.noted"):
    """Confirm word of sessions in use."""

    sequence: int


SESSION_MESSAGES = (AskVersion, VersionIs, SessionsInUse, UsesNoted)

Tell = Callable[[str, msgspec.Struct], None]
FindPlan = Callable[[str], VersionPlan]


class _Unconfirmed:
    __slots__ = ("message", "sent_at", "to", "told_at", "tries")

    def __init__(self, *, to: str, message: SessionsInUse, moment: float) -> None:
        self.to = to
        self.message = message
        self.told_at = moment
        self.sent_at = moment
        self.tries = 1

    def renew(self, moment: float) -> SessionsInUse:
        """Return the message with the ages of now, and count a try."""
        passed_s = moment - self.told_at
        self.sent_at = moment
        self.tries += 1
        ages = {s: round(age + passed_s, 2) for s, age in self.message.ages.items()}
        return msgspec.structs.replace(self.message, ages=ages)


class SessionDesk:
    """Ask the deciding instance, and answer for the sessions decided here."""

    __slots__ = (
        "_alive",
        "_asked",
        "_find_plan",
        "_handed",
        "_me",
        "_renewed_at",
        "_sequence",
        "_tell",
        "_told",
        "_unconfirmed",
    )

    def __init__(self, *, me: str, tell: Tell, find_plan: FindPlan) -> None:
        self._me = me
        self._tell = tell
        self._find_plan = find_plan
        self._alive: list[str] = [me]
        self._asked: dict[int, asyncio.Future[VersionIs]] = {}
        self._handed: dict[str, int] = {}
        self._sequence = 0
        self._renewed_at = now()
        self._told: dict[str, dict[str, set[str]]] = {}
        """Who was told of a session that has moved, by service and session."""
        self._unconfirmed: dict[int, _Unconfirmed] = {}

    def handle(self, sender: str, message: msgspec.Struct) -> None:
        """Take in one of `SESSION_MESSAGES`."""
        match message:
            case AskVersion():
                self._answer(sender, message)
            case VersionIs():
                self._take_answer(message)
            case SessionsInUse():
                self._take_uses(sender, message)
            case UsesNoted():
                self._unconfirmed.pop(message.sequence, None)

    def set_members(self, names: list[str]) -> None:
        """Note which instances serve, this one included."""
        before, self._alive = self._alive, names or [self._me]
        if set(before) == set(self._alive):
            return
        for sessions in self._told.values():
            for told in sessions.values():
                told.intersection_update(self._alive)
        for service in self._handed:
            plan = self._find_plan(service)
            if plan.is_canary_phase:
                self._tell_moved(plan, plan.pins.list_new(now()))
                self._hand_over(plan, plan.list_session_ages(now()))

    async def decide(self, plan: VersionPlan, session: str) -> bool:
        """Return whether a contested session's request goes to the new version."""
        if plan.order is None:
            return False
        waiting = self._find_deciders(session)
        for wait_s in (ANSWER_S, LAST_ANSWER_S):
            silent = []
            for name in waiting:
                if name == self._me:
                    is_new = self._decide_here(plan, session)
                else:
                    word = await self._ask(name, plan, session, wait_s)
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
        self._hand_over(plan, {session: 0.0})
        return False

    def _find_deciders(self, session: str) -> list[str]:
        return rank(session, self._alive)[:DECIDERS]

    async def _ask(
        self, name: str, plan: VersionPlan, session: str, wait_s: float
    ) -> VersionIs | None:
        assert plan.order is not None
        self._sequence += 1
        answer: asyncio.Future[VersionIs]
        answer = asyncio.get_running_loop().create_future()
        self._asked[self._sequence] = answer
        question = AskVersion(
            sequence=self._sequence,
            service=plan.service,
            number=plan.order.number,
            session=session,
        )
        try:
            self._tell(name, question)
            async with asyncio.timeout(wait_s):
                return await answer
        except TimeoutError:
            return None
        finally:
            self._asked.pop(question.sequence, None)

    def note_use(self, plan: VersionPlan, session: str) -> None:
        """Tell the deciding instances that a request is on the old version, or was."""
        if plan.may_join_canary(session):
            self._hand_over(plan, {session: 0.0})

    def note_new(self, plan: VersionPlan, session: str) -> None:
        """Tell the deciding instances that a request is on the new version, once."""
        is_news = plan.pins.record_new(session, now())
        if is_news and plan.is_running:
            self._tell_moved(plan, [session])

    def _tell_moved(self, plan: VersionPlan, sessions: list[str]) -> None:
        by_decider: dict[str, list[str]] = {}
        known = self._told.setdefault(plan.service, {})
        for session in sessions:
            told = known.setdefault(session, set())
            for name in self._find_deciders(session):
                if name not in told:
                    told.add(name)
                    by_decider.setdefault(name, []).append(session)
        for name, theirs in by_decider.items():
            if name == self._me:
                plan.pins.record_moved(theirs)
            else:
                self._send_uses(name, plan, {}, theirs)

    def begin(self, plan: VersionPlan) -> None:
        """Hand over the sessions in use here, once for each order."""
        order = plan.order
        if order is None or self._handed.get(plan.service) == order.number:
            return
        self._handed[plan.service] = order.number
        self._told[plan.service] = {}
        self._hand_over(plan, plan.list_session_ages(now()))

    def tick(self) -> None:
        """Send again what nobody has confirmed."""
        moment = now()
        for sequence, waiting in list(self._unconfirmed.items()):
            if moment - waiting.sent_at < REPEAT_S:
                continue
            if waiting.tries >= MOST_TRIES:
                del self._unconfirmed[sequence]
                continue
            self._tell(waiting.to, waiting.renew(moment))
        if moment - self._renewed_at >= RENEW_S:
            self._renewed_at = moment
            self._renew_uses()

    def _renew_uses(self) -> None:
        """Tell again of what runs on the old version: a stream outlasts a pause."""
        for service in self._handed:
            plan = self._find_plan(service)
            sessions = plan.pins.list_running_old()
            running = [s for s in sessions if plan.may_join_canary(s)]
            self._hand_over(plan, dict.fromkeys(running, 0.0))

    def _answer(self, sender: str, question: AskVersion) -> None:
        plan = self._find_plan(question.service)
        known = plan.order is not None and plan.order.number == question.number
        is_new = self._decide_here(plan, question.session) if known else None
        self._tell(sender, VersionIs(sequence=question.sequence, is_new=is_new))

    def _take_answer(self, word: VersionIs) -> None:
        waiting = self._asked.get(word.sequence)
        if waiting is not None and not waiting.done():
            waiting.set_result(word)

    def _take_uses(self, sender: str, uses: SessionsInUse) -> None:
        plan = self._find_plan(uses.service)
        if plan.order is None or plan.order.number != uses.number:
            # The order is on its way here; the sender tells again.
            return
        plan.pins.record_in_use(uses.ages, now())
        plan.pins.record_moved(uses.moved)
        self._tell(sender, UsesNoted(sequence=uses.sequence))

    def _decide_here(self, plan: VersionPlan, session: str) -> bool | None:
        if plan.pins.is_admitted(session) or not plan.may_have_moved(session):
            return plan.decide(session, now())
        if not plan.knows_sessions_in_use(now()) and not plan.is_past_half(now()):
            return None
        if plan.decide(session, now()):
            return True
        # The first one may have let it in; what it did is told, and words get lost.
        is_first = self._find_deciders(session)[0] == self._me
        return False if is_first and plan.knows_sessions_in_use(now()) else None

    def _hand_over(self, plan: VersionPlan, ages: dict[str, float]) -> None:
        by_decider: dict[str, dict[str, float]] = {}
        for session, age_s in ages.items():
            for name in self._find_deciders(session):
                by_decider.setdefault(name, {})[session] = age_s
        for name, theirs in by_decider.items():
            if name == self._me:
                plan.pins.record_in_use(theirs, now())
            else:
                self._send_uses(name, plan, theirs, [])

    def _send_uses(
        self, to: str, plan: VersionPlan, ages: dict[str, float], moved: list[str]
    ) -> None:
        assert plan.order is not None
        self._sequence += 1
        uses = SessionsInUse(
            sequence=self._sequence,
            service=plan.service,
            number=plan.order.number,
            ages=ages,
            moved=moved,
        )
        waiting = _Unconfirmed(to=to, message=uses, moment=now())
        self._unconfirmed[self._sequence] = waiting
        self._tell(to, uses)
