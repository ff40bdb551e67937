"""Ask the keepers of engines what a prompt would meet, and tell them what is placed."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping, Sequence

import msgspec

from baobabthread.core.backends.loads import (
    EngineLoads,
    Load,
    Part,
    Placed,
    ReadingEnd,
)
from baobabthread.core.rendezvous import rank
from baobabthread.instance.clock import now

ANSWER_S = 0.02
"""Time for the answers of all keepers: several trips between failure domains. Whoever
does not answer costs no more than this, a hundredth of the shortest objectives."""
SILENT_S = 1.0
"""Time for which a keeper that did not answer isn't asked: it is paused or gone."""

Tell = Callable[[str, msgspec.Struct], None]


class AskLoads(msgspec.Struct, frozen=True, kw_only=True, tag="loads.ask"):
    """Ask what a prompt would meet at some engines."""

    sequence: int
    engines: list[str]
    parts: tuple[Part, ...] = ()


class LoadsAre(msgspec.Struct, frozen=True, kw_only=True, tag="loads.are"):
    """Tell it, in the order of the question."""

    sequence: int
    loads: list[Load]


class TellPlaced(msgspec.Struct, frozen=True, kw_only=True, tag="loads.placed"):
    """Tell a keeper of a prompt that was placed at its engine."""

    engine: str
    placed: Placed


class TellEnded(msgspec.Struct, frozen=True, kw_only=True, tag="loads.ended"):
    """Tell a keeper that a placed prompt needs no more reading."""

    engine: str
    number: int
    end: ReadingEnd


LOAD_MESSAGES = (AskLoads, LoadsAre, TellPlaced, TellEnded)


class _Question:
    __slots__ = ("answer", "asked", "loads")

    def __init__(self, answer: asyncio.Future[None]) -> None:
        self.answer = answer
        self.asked: dict[int, tuple[str, list[str]]] = {}
        self.loads: dict[str, Load] = {}


class Placement:
    """Know the loads of engines through their keepers; this instance is one of them."""

    __slots__ = (
        "_alive",
        "_keepers",
        "_loads",
        "_me",
        "_number",
        "_questions",
        "_silent_until",
        "_tell",
    )

    def __init__(self, *, me: str, tell: Tell) -> None:
        self._me = me
        self._tell = tell
        self._alive: list[str] = [me]
        self._keepers: dict[str, str] = {}
        self._loads = EngineLoads()
        self._number = 0
        self._questions: dict[int, _Question] = {}
        self._silent_until: dict[str, float] = {}

    def set_members(self, names: list[str]) -> None:
        """Note which instances serve, this one included."""
        self._alive = names or [self._me]
        self._keepers.clear()
        silent = self._silent_until
        self._silent_until = {n: t for n, t in silent.items() if n in self._alive}

    def tick(self) -> None:
        """Forget what is idle."""
        self._loads.forget_idle(now())

    # -- asking --

    async def ask(
        self, engines: Sequence[str], parts: tuple[Part, ...]
    ) -> Mapping[str, Load]:
        """Return what a prompt would meet at engines, as far as keepers answer."""
        by_keeper: dict[str, list[str]] = {}
        for engine in engines:
            by_keeper.setdefault(self._find_keeper(engine), []).append(engine)
        moment = now()
        question = _Question(asyncio.get_running_loop().create_future())
        for name in by_keeper.pop(self._me, []):
            question.loads[name] = self._loads.describe(name, parts, moment)
        for keeper, names in by_keeper.items():
            if self._silent_until.get(keeper, 0.0) <= moment:
                self._ask(question, keeper, names, parts)
        if question.asked:
            await self._await_answers(question)
        return question.loads

    def _ask(
        self,
        question: _Question,
        keeper: str,
        engines: list[str],
        parts: tuple[Part, ...],
    ) -> None:
        self._number += 1
        question.asked[self._number] = (keeper, engines)
        self._questions[self._number] = question
        self._tell(
            keeper, AskLoads(sequence=self._number, engines=engines, parts=parts)
        )

    async def _await_answers(self, question: _Question) -> None:
        try:
            async with asyncio.timeout(ANSWER_S):
                await question.answer
        except TimeoutError:
            for keeper, _ in question.asked.values():
                self._silent_until[keeper] = now() + SILENT_S
        finally:
            for number in question.asked:
                self._questions.pop(number, None)

    def take(self, word: LoadsAre) -> None:
        """Take in a keeper's answer."""
        question = self._questions.pop(word.sequence, None)
        if question is None:
            return
        keeper, engines = question.asked.pop(word.sequence)
        self._silent_until.pop(keeper, None)
        question.loads.update(zip(engines, word.loads, strict=False))
        if not question.asked and not question.answer.done():
            question.answer.set_result(None)

    # -- telling --

    def place(
        self,
        engine: str,
        *,
        reading_s: float,
        lasts_s: float,
        parts: tuple[Part, ...],
        memory_tokens: int = 0,
    ) -> PlacedPrompt:
        """Tell an engine's keeper that it is to read a prompt."""
        self._number += 1
        placed = Placed(
            number=self._number,
            reading_s=round(reading_s, 4),
            lasts_s=round(lasts_s, 2),
            parts=parts,
            memory_tokens=memory_tokens,
        )
        keeper = self._find_keeper(engine)
        if keeper == self._me:
            self.take_placed(self._me, TellPlaced(engine=engine, placed=placed))
        else:
            self._tell(keeper, TellPlaced(engine=engine, placed=placed))
        return PlacedPrompt(placement=self, engine=engine, number=placed.number)

    def tell_ended(self, word: TellEnded) -> None:
        """Tell an engine's keeper that a placed prompt needs no more reading."""
        keeper = self._find_keeper(word.engine)
        if keeper == self._me:
            self.take_ended(self._me, word)
        else:
            self._tell(keeper, word)

    # -- keeping --

    def answer(self, sender: str, question: AskLoads) -> None:
        """Answer another instance."""
        moment = now()
        loads = [
            self._loads.describe(engine, question.parts, moment)
            for engine in question.engines
        ]
        self._tell(sender, LoadsAre(sequence=question.sequence, loads=loads))

    def take_placed(self, sender: str, word: TellPlaced) -> None:
        """Count a prompt that is placed at an engine kept here."""
        self._loads.find(word.engine, now()).place(sender, word.placed, now())

    def take_ended(self, sender: str, word: TellEnded) -> None:
        """Take a prompt off the load of an engine kept here."""
        self._loads.find(word.engine, now()).end(sender, word.number, word.end, now())

    def _find_keeper(self, engine: str) -> str:
        keeper = self._keepers.get(engine)
        if keeper is None:
            keeper = self._keepers[engine] = rank(engine, self._alive)[0]
        return keeper


class PlacedPrompt:
    """Hold what a keeper was told of one prompt until its reading ends."""

    __slots__ = ("_engine", "_is_open", "_number", "_placement")

    def __init__(self, *, placement: Placement, engine: str, number: int) -> None:
        self._placement = placement
        self._engine = engine
        self._number = number
        self._is_open = True

    def end(self, end: ReadingEnd) -> None:
        """Tell how its reading ended; nothing more once that was told."""
        if not self._is_open:
            return
        self._is_open = False
        self._placement.tell_ended(
            TellEnded(engine=self._engine, number=self._number, end=end)
        )
