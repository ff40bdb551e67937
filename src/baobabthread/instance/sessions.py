"""One instance decides on each session that may be in use while a version is tried.

Callers send a session's requests to any instance, two of them in the same second. By
itself one instance would move the session and another one keep it; word spread by
gossip comes too late. The instance that stands first for the session decides, at the
price of a question and an answer for the few requests that the trial may move.
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
session stays on the old version, which never harms it."""


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
    is_new: bool


class SessionsInUse(msgspec.Struct, frozen=True, kw_only=True, tag="session.uses"):
    """Tell which sessions are in use on the old version."""

    service: str
    number: int
    ages: dict[str, float]
    """Seconds since the last request of each."""


SESSION_MESSAGES = (AskVersion, VersionIs, SessionsInUse)

Tell = Callable[[str, msgspec.Struct], None]
FindPlan = Callable[[str], VersionPlan]


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
    )

    def __init__(self, *, me: str, tell: Tell, find_plan: FindPlan) -> None:
        self._me = me
        self._tell = tell
        self._find_plan = find_plan
        self._alive: list[str] = [me]
        self._asked: dict[int, asyncio.Future[bool]] = {}
        self._handed: dict[str, int] = {}
        self._sequence = 0

    def set_members(self, names: list[str]) -> None:
        """Note which instances serve, this one included."""
        self._alive = names or [self._me]

    async def decide(self, plan: VersionPlan, session: str) -> bool:
        """Return whether a contested session's request goes to the new version."""
        home = self._find_home(session)
        if home == self._me or plan.order is None:
            return plan.decide(session, now())
        self._sequence += 1
        answer: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self._asked[self._sequence] = answer
        question = AskVersion(
            sequence=self._sequence,
            service=plan.service,
            number=plan.order.number,
            session=session,
        )
        try:
            self._tell(home, question)
            async with asyncio.timeout(ANSWER_S):
                return await answer
        except TimeoutError:
            return False
        finally:
            self._asked.pop(question.sequence, None)

    def note_end(self, plan: VersionPlan, session: str) -> None:
        """Tell the deciding instance that a request on the old version has ended."""
        if plan.is_contested(session, now()):
            self._hand_over(plan, {session: 0.0})

    def begin(self, plan: VersionPlan) -> None:
        """Hand over the sessions in use here, once for each order."""
        order = plan.order
        if order is None or self._handed.get(plan.service) == order.number:
            return
        self._handed[plan.service] = order.number
        self._hand_over(plan, plan.list_uses(now()))

    def answer(self, sender: str, question: AskVersion) -> None:
        """Decide for another instance."""
        plan = self._find_plan(question.service)
        known = plan.order is not None and plan.order.number == question.number
        is_new = known and plan.decide(question.session, now())
        self._tell(sender, VersionIs(sequence=question.sequence, is_new=is_new))

    def take(self, word: VersionIs) -> None:
        """Take in a decision."""
        waiting = self._asked.get(word.sequence)
        if waiting is not None and not waiting.done():
            waiting.set_result(word.is_new)

    def take_uses(self, uses: SessionsInUse) -> None:
        """Take in which sessions are in use elsewhere."""
        plan = self._find_plan(uses.service)
        if plan.order is not None and plan.order.number == uses.number:
            plan.take_uses(uses.ages, now())

    def _hand_over(self, plan: VersionPlan, ages: dict[str, float]) -> None:
        assert plan.order is not None
        by_home: dict[str, dict[str, float]] = {}
        for session, age_s in ages.items():
            by_home.setdefault(self._find_home(session), {})[session] = age_s
        for home, theirs in by_home.items():
            if home == self._me:
                plan.take_uses(theirs, now())
                continue
            uses = SessionsInUse(
                service=plan.service, number=plan.order.number, ages=theirs
            )
            self._tell(home, uses)

    def _find_home(self, session: str) -> str:
        return rank(session, self._alive)[0]
