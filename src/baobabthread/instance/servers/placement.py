"""Load of engines, shared among instances.

Rendezvous hashing assigns each engine to one instance, its owner. The other instances
report the prompts that they place there and query the owner for the engine's load.
"""

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
from baobabthread.instance.timeouts import limit_silence

REPLY_TIMEOUT_S = 0.02
"""Time for the replies of all owners: several round trips between failure domains, and
a hundredth of the shortest latency objectives. Owners that don't reply delay a query
by no more than this."""
OWNER_BACKOFF_S = 1.0
"""Time for which an owner that did not reply isn't queried: it is paused or down."""

SendMessage = Callable[[str, msgspec.Struct], None]


class LoadsRequest(msgspec.Struct, frozen=True, kw_only=True, tag="loads.ask"):
    """Request the load of engines for a prompt that begins with these parts."""

    sequence: int
    engines: list[str]
    parts: tuple[Part, ...] = ()


class LoadsReply(msgspec.Struct, frozen=True, kw_only=True, tag="loads.are"):
    """Return the loads, in the order of the engines in the request."""

    sequence: int
    loads: list[Load]


class PromptPlaced(msgspec.Struct, frozen=True, kw_only=True, tag="loads.placed"):
    """Report a prompt that was placed at an engine to its owner."""

    engine: str
    placed: Placed


class PromptEnded(msgspec.Struct, frozen=True, kw_only=True, tag="loads.ended"):
    """Report to an engine's owner that a prompt needs no more reading."""

    engine: str
    number: int
    end: ReadingEnd


LOAD_MESSAGES = (LoadsRequest, LoadsReply, PromptPlaced, PromptEnded)


class _Query:
    __slots__ = ("completed", "loads", "pending")

    def __init__(self, completed: asyncio.Future[None]) -> None:
        self.completed = completed
        self.pending: dict[int, tuple[str, list[str]]] = {}
        self.loads: dict[str, Load] = {}


class Placement:
    """Query and report the load of engines, and track it for those owned here."""

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
        """Set the instances that serve, including this one."""
        self._members = names or [self._me]
        self._owners.clear()
        backoff_until = self._backoff_until
        self._backoff_until = {
            n: t for n, t in backoff_until.items() if n in self._members
        }

    def tick(self) -> None:
        """Drop engines that have become idle."""
        self._loads.forget_idle(now())

    # -- queries --

    async def query_loads(
        self, engines: Sequence[str], parts: tuple[Part, ...]
    ) -> Mapping[str, Load]:
        """Return the loads of engines whose owners reply in time."""
        by_owner: dict[str, list[str]] = {}
        for engine in engines:
            by_owner.setdefault(self._find_owner(engine), []).append(engine)
        timestamp = now()
        query = _Query(asyncio.get_running_loop().create_future())
        for name in by_owner.pop(self._me, []):
            query.loads[name] = self._loads.describe(name, parts, timestamp)
        for owner, names in by_owner.items():
            if self._backoff_until.get(owner, 0.0) <= timestamp:
                self._send_request(query, owner, names, parts)
        if query.pending:
            await self._await_replies(query)
        return query.loads

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
            async with limit_silence(REPLY_TIMEOUT_S):
                await query.completed
        except TimeoutError:
            for owner, _ in query.pending.values():
                self._backoff_until[owner] = now() + OWNER_BACKOFF_S
        finally:
            for number in query.pending:
                self._queries.pop(number, None)

    def handle_reply(self, reply: LoadsReply) -> None:
        """Process an owner's reply."""
        query = self._queries.pop(reply.sequence, None)
        if query is None:
            return
        owner, engines = query.pending.pop(reply.sequence)
        self._backoff_until.pop(owner, None)
        query.loads.update(zip(engines, reply.loads, strict=False))
        if not query.pending and not query.completed.done():
            query.completed.set_result(None)

    # -- reports --

    def place(
        self,
        engine: str,
        *,
        reading_s: float,
        lasts_s: float,
        parts: tuple[Part, ...],
        memory_tokens: int = 0,
    ) -> PlacedPrompt:
        """Report a prompt that an engine is about to read to the engine's owner.

        Times are in seconds.
        """
        self._sequence += 1
        placed = Placed(
            number=self._sequence,
            reading_s=round(reading_s, 4),
            lasts_s=round(lasts_s, 2),
            parts=parts,
            memory_tokens=memory_tokens,
        )
        owner = self._find_owner(engine)
        if owner == self._me:
            self.handle_placed(self._me, PromptPlaced(engine=engine, placed=placed))
        else:
            self._send(owner, PromptPlaced(engine=engine, placed=placed))
        return PlacedPrompt(placement=self, engine=engine, number=placed.number)

    def report_ended(self, message: PromptEnded) -> None:
        """Report to an engine's owner that a prompt needs no more reading."""
        owner = self._find_owner(message.engine)
        if owner == self._me:
            self.handle_ended(self._me, message)
        else:
            self._send(owner, message)

    # -- owned engines --

    def handle_request(self, sender: str, request: LoadsRequest) -> None:
        """Reply to a query of another instance."""
        timestamp = now()
        loads = [
            self._loads.describe(engine, request.parts, timestamp)
            for engine in request.engines
        ]
        self._send(sender, LoadsReply(sequence=request.sequence, loads=loads))

    def handle_placed(self, sender: str, message: PromptPlaced) -> None:
        """Add a prompt to the load of an owned engine."""
        self._loads.find(message.engine, now()).place(sender, message.placed, now())

    def handle_ended(self, sender: str, message: PromptEnded) -> None:
        """Record how the reading of a prompt ended at an owned engine."""
        self._loads.find(message.engine, now()).end(
            sender, message.number, message.end, now()
        )

    def _find_owner(self, engine: str) -> str:
        owner = self._owners.get(engine)
        if owner is None:
            owner = self._owners[engine] = rank(engine, self._members)[0]
        return owner


class PlacedPrompt:
    """A prompt that was reported to an engine's owner, until its reading ends."""

    __slots__ = ("_engine", "_is_open", "_number", "_placement")

    def __init__(self, *, placement: Placement, engine: str, number: int) -> None:
        self._placement = placement
        self._engine = engine
        self._number = number
        self._is_open = True

    def end(self, end: ReadingEnd) -> None:
        """Report how its reading ended; later calls have no effect."""
        if not self._is_open:
            return
        self._is_open = False
        self._placement.report_ended(
            PromptEnded(engine=self._engine, number=self._number, end=end)
        )
