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

REPLY_TIMEOUT_S = 0.02
"""Time for the answers of all keepers: several trips between failure domains. Whoever
does not answer costs no more than this, a hundredth of the shortest objectives."""
OWNER_BACKOFF_S = 1.0
"""Time for which a keeper that did not answer isn't asked: it is paused or gone."""

SendMessage = Callable[[str, msgspec.Struct], None]


class LoadsRequest(msgspec.Struct, frozen=True, kw_only=True, tag="loads.ask"):
    """Ask what a prompt would meet at some engines."""

    sequence: int
    engines: list[str]
    parts: tuple[Part, ...] = ()


class LoadsReply(msgspec.Struct, frozen=True, kw_only=True, tag="loads.are"):
    """Tell it, in the order of the question."""

    sequence: int
    loads: list[Load]


class PromptPlaced(msgspec.Struct, frozen=True, kw_only=True, tag="loads.placed"):
    """Tell a keeper of a prompt that was placed at its engine."""

    engine: str
    placed: Placed


class PromptEnded(msgspec.Struct, frozen=True, kw_only=True, tag="loads.ended"):
    """Tell a keeper that a placed prompt needs no more reading."""

    engine: str
    number: int
    end: ReadingEnd


LOAD_MESSAGES = (LoadsRequest, LoadsReply, PromptPlaced, PromptEnded)


class _Query:
    __slots__ = ("completed", "loads", "pending")

    def __init__(self, answer: asyncio.Future[None]) -> None:
        self.completed = answer
        self.pending: dict[int, tuple[str, list[str]]] = {}
        self.loads: dict[str, Load] = {}


class Placement:
    """Know the loads of engines through their keepers; this instance is one of them."""

    __slots__ = (
        "_backoff_until",
        "_loads",
        "_me",
        "_members",
        "_owners",
        "_queries",
        "_send",
        "_sequence",
    )

    def __init__(self, *, me: str, send: SendMessage) -> None:
        self._me = me
        self._send = send
        self._members: list[str] = [me]
        self._owners: dict[str, str] = {}
        self._loads = EngineLoads()
        self._sequence = 0
        self._queries: dict[int, _Query] = {}
        self._backoff_until: dict[str, float] = {}

    def set_members(self, names: list[str]) -> None:
        """Note which instances serve, this one included."""
        self._members = names or [self._me]
        self._owners.clear()
        silent = self._backoff_until
        self._backoff_until = {n: t for n, t in silent.items() if n in self._members}

    def tick(self) -> None:
        """Forget what is idle."""
        self._loads.forget_idle(now())

    # -- asking --

    async def query_loads(
        self, engines: Sequence[str], parts: tuple[Part, ...]
    ) -> Mapping[str, Load]:
        """Return what a prompt would meet at engines, as far as keepers answer."""
        by_keeper: dict[str, list[str]] = {}
        for engine in engines:
            by_keeper.setdefault(self._find_owner(engine), []).append(engine)
        moment = now()
        question = _Query(asyncio.get_running_loop().create_future())
        for name in by_keeper.pop(self._me, []):
            question.loads[name] = self._loads.describe(name, parts, moment)
        for keeper, names in by_keeper.items():
            if self._backoff_until.get(keeper, 0.0) <= moment:
                self._send_request(question, keeper, names, parts)
        if question.pending:
            await self._await_replies(question)
        return question.loads

    def _send_request(
        self,
        query: _Query,
        owner: str,
        engines: list[str],
        parts: tuple[Part, ...],
    ) -> None:
        self._sequence += 1
        query.pending[self._sequence] = (owner, engines)
        self._queries[self._sequence] = query
        self._send(
            owner, LoadsRequest(sequence=self._sequence, engines=engines, parts=parts)
        )

    async def _await_replies(self, query: _Query) -> None:
        try:
            async with asyncio.timeout(REPLY_TIMEOUT_S):
                await query.completed
        except TimeoutError:
            for keeper, _ in query.pending.values():
                self._backoff_until[keeper] = now() + OWNER_BACKOFF_S
        finally:
            for number in query.pending:
                self._queries.pop(number, None)

    def handle_reply(self, reply: LoadsReply) -> None:
        """Take in a keeper's answer."""
        question = self._queries.pop(reply.sequence, None)
        if question is None:
            return
        keeper, engines = question.pending.pop(reply.sequence)
        self._backoff_until.pop(keeper, None)
        question.loads.update(zip(engines, reply.loads, strict=False))
        if not question.pending and not question.completed.done():
            question.completed.set_result(None)

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
        self._sequence += 1
        placed = Placed(
            number=self._sequence,
            reading_s=round(reading_s, 4),
            lasts_s=round(lasts_s, 2),
            parts=parts,
            memory_tokens=memory_tokens,
        )
        keeper = self._find_owner(engine)
        if keeper == self._me:
            self.handle_placed(self._me, PromptPlaced(engine=engine, placed=placed))
        else:
            self._send(keeper, PromptPlaced(engine=engine, placed=placed))
        return PlacedPrompt(placement=self, engine=engine, number=placed.number)

    def report_ended(self, message: PromptEnded) -> None:
        """Tell an engine's keeper that a placed prompt needs no more reading."""
        keeper = self._find_owner(message.engine)
        if keeper == self._me:
            self.handle_ended(self._me, message)
        else:
            self._send(keeper, message)

    # -- keeping --

    def handle_request(self, sender: str, request: LoadsRequest) -> None:
        """Answer another instance."""
        moment = now()
        loads = [
            self._loads.describe(engine, request.parts, moment)
            for engine in request.engines
        ]
        self._send(sender, LoadsReply(sequence=request.sequence, loads=loads))

    def handle_placed(self, sender: str, message: PromptPlaced) -> None:
        """Count a prompt that is placed at an engine kept here."""
        self._loads.find(message.engine, now()).place(sender, message.placed, now())

    def handle_ended(self, sender: str, message: PromptEnded) -> None:
        """Take a prompt off the load of an engine kept here."""
        self._loads.find(message.engine, now()).end(
            sender, message.number, message.end, now()
        )

    def _find_owner(self, engine: str) -> str:
        keeper = self._owners.get(engine)
        if keeper is None:
            keeper = self._owners[engine] = rank(engine, self._members)[0]
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
        self._placement.report_ended(
            PromptEnded(engine=self._engine, number=self._number, end=end)
        )
