"""One instance decides on each session that may be in use while a version is tried.

Callers send a session's requests to any instance, two of them in the same second. By
itself one instance would move the session and another one keep it; word spread by
gossip comes too late. The instance that stands first for the session decides, at the
price of a question and an answer for the few requests that the trial may move. The
second one knows the same, for the time when the first is stopped.
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
DECIDERS = 2
"""Instances that are told of a session in use, and asked one after the other: the first
may have started after the order and know nothing."""
REPEAT_S = 0.15
"""Time after which word of sessions in use is sent again: datagrams get lost, and a
session that its decider doesn't know would move in the middle of a conversation."""
MOST_TRIES = 8


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
    has_moved: bool = False
    """Whether it went to the new version before."""


class SessionsInUse(msgspec.Struct, frozen=True, kw_only=True, tag="session.uses"):
    """Tell which sessions are in use on the old version."""

    sequence: int
    service: str
    number: int
    ages: dict[str, float]
    """Seconds since the last request of each."""


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
        "_sequence",
        "_tell",
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
        self._unconfirmed: dict[int, _Unconfirmed] = {}

    def set_members(self, names: list[str]) -> None:
        """Note which instances serve, this one included."""
        self._alive = names or [self._me]

    async def decide(self, plan: VersionPlan, session: str) -> bool:
        """Return whether a contested session's request goes to the new version."""
        if plan.order is None:
            return False
        for name in rank(session, self._alive)[:DECIDERS]:
            if name == self._me:
                is_new = self._decide_here(plan, session)
            else:
                is_new = await self._ask(name, plan, session)
            if is_new is not None:
                return is_new
        # Somebody may have decided to move it, and the answer was lost.
        self._hand_over(plan, {session: 0.0})
        return False

    async def _ask(self, name: str, plan: VersionPlan, session: str) -> bool | None:
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
            async with asyncio.timeout(ANSWER_S):
                word = await answer
        except TimeoutError:
            return None
        finally:
            self._asked.pop(question.sequence, None)
        if word.has_moved:
            plan.note_moved(session, now())
        return word.is_new

    def note_use(self, plan: VersionPlan, session: str) -> None:
        """Tell the deciding instances that a request is on the old version, or was."""
        if plan.may_move_early(session):
            self._hand_over(plan, {session: 0.0})

    def begin(self, plan: VersionPlan) -> None:
        """Hand over the sessions in use here, once for each order."""
        order = plan.order
        if order is None or self._handed.get(plan.service) == order.number:
            return
        self._handed[plan.service] = order.number
        self._hand_over(plan, plan.list_uses(now()))

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

    def answer(self, sender: str, question: AskVersion) -> None:
        """Decide for another instance."""
        plan = self._find_plan(question.service)
        known = plan.order is not None and plan.order.number == question.number
        has_moved = known and plan.has_moved(question.session)
        is_new = self._decide_here(plan, question.session) if known else None
        self._tell(
            sender,
            VersionIs(sequence=question.sequence, is_new=is_new, has_moved=has_moved),
        )

    def take(self, word: VersionIs) -> None:
        """Take in a decision."""
        waiting = self._asked.get(word.sequence)
        if waiting is not None and not waiting.done():
            waiting.set_result(word)

    def take_uses(self, sender: str, uses: SessionsInUse) -> None:
        """Take in which sessions are in use elsewhere."""
        plan = self._find_plan(uses.service)
        if plan.order is None or plan.order.number != uses.number:
            # The order is on its way here; the sender tells again.
            return
        plan.take_uses(uses.ages, now())
        self._tell(sender, UsesNoted(sequence=uses.sequence))

    def take_confirmation(self, word: UsesNoted) -> None:
        """Note that word of sessions in use has arrived."""
        self._unconfirmed.pop(word.sequence, None)

    def _decide_here(self, plan: VersionPlan, session: str) -> bool | None:
        return plan.decide(session, now()) if plan.saw_before else None

    def _hand_over(self, plan: VersionPlan, ages: dict[str, float]) -> None:
        by_decider: dict[str, dict[str, float]] = {}
        for session, age_s in ages.items():
            for name in rank(session, self._alive)[:DECIDERS]:
                by_decider.setdefault(name, {})[session] = age_s
        for name, theirs in by_decider.items():
            if name == self._me:
                plan.take_uses(theirs, now())
            else:
                self._send_uses(name, plan, theirs)

    def _send_uses(self, to: str, plan: VersionPlan, ages: dict[str, float]) -> None:
        assert plan.order is not None
        self._sequence += 1
        uses = SessionsInUse(
            sequence=self._sequence,
            service=plan.service,
            number=plan.order.number,
            ages=ages,
        )
        waiting = _Unconfirmed(to=to, message=uses, moment=now())
        self._unconfirmed[self._sequence] = waiting
        self._tell(to, uses)
