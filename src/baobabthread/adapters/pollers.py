"""Loops that ask outside systems and feed what they say to the core."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Sequence

from baobabthread.core.events import (
    ListedInstance,
    LoadReported,
    Rated,
    RatingsRead,
    RosterRead,
)
from baobabthread.errors import UnavailableError
from baobabthread.logs import log_event
from baobabthread.ports.engine import Broken, Engine
from baobabthread.ports.ratings import RatedAnswer, Ratings
from baobabthread.ports.roster import Role, Roster, State

PERIOD_S = 1.0
LOAD_TIMEOUT_S = 1.0
MAX_ANSWERS_WAITING = 1_000
MAX_ASKED = 16
"""Engines asked in one round; more are asked in turn.

Each report costs a request. Without a bound the cost at every entry would grow with the
number of engines; between reports an entry goes by its own requests at each of them.
"""

Feed = Callable[[object], None]


async def repeat(
    what: str, work: Callable[[], Awaitable[None]], *, period_s: float = PERIOD_S
) -> None:
    """Do work again and again; an outside system that is away is asked later."""
    reachable = True
    while True:
        try:
            await work()
        except UnavailableError as error:
            if reachable:
                log_event("outside_lost", level="warning", what=what, reason=error)
            reachable = False
        else:
            if not reachable:
                log_event("outside_reached", what=what)
            reachable = True
        await asyncio.sleep(period_s)


class RosterPoller:
    """Read the platform's list of instances."""

    __slots__ = ("_feed", "_roster")

    def __init__(self, *, roster: Roster, feed: Feed) -> None:
        self._roster = roster
        self._feed = feed

    async def poll(self) -> None:
        """Read the list once."""
        instances = await self._roster.list_instances()
        listed: dict[Role, list[ListedInstance]] = {
            Role.ENTRY: [],
            Role.BACKEND: [],
        }
        for instance in instances:
            listed[instance.role].append(
                ListedInstance(
                    name=instance.name,
                    address=instance.address,
                    leaving=instance.state is State.LEAVING,
                )
            )
        self._feed(
            RosterRead(entries=listed[Role.ENTRY], backends=listed[Role.BACKEND])
        )


class LoadPoller:
    """Ask model engines for their load reports."""

    __slots__ = ("_addresses", "_engine", "_feed", "_next")

    def __init__(
        self,
        *,
        engine: Engine,
        feed: Feed,
        addresses: Callable[[], Sequence[tuple[str, str]]],
    ) -> None:
        """Take `addresses`, which gives the names and addresses to ask."""
        self._engine = engine
        self._feed = feed
        self._addresses = addresses
        self._next = 0

    async def poll(self) -> None:
        """Ask the engines whose turn it is, all at the same time."""
        pairs = self._addresses()
        if len(pairs) > MAX_ASKED:
            start = self._next % len(pairs)
            self._next = start + MAX_ASKED
            pairs = [*pairs[start:], *pairs[:start]][:MAX_ASKED]
        await asyncio.gather(*(self._ask(name, at) for name, at in pairs))

    async def _ask(self, name: str, address: str) -> None:
        report = await self._engine.load(address, timeout_s=LOAD_TIMEOUT_S)
        if isinstance(report, Broken):
            return
        self._feed(
            LoadReported(
                backend=name,
                running=report.running,
                waiting=report.waiting,
                capacity=report.capacity,
                versions=report.versions,
                tokens_per_s=report.tokens_per_s,
            )
        )


class RatingsPoller:
    """Hand in answers to be rated and read ratings."""

    __slots__ = ("_after", "_feed", "_ratings", "_waiting", "dropped")

    def __init__(self, *, ratings: Ratings, feed: Feed) -> None:
        self._ratings = ratings
        self._feed = feed
        self._after = 0
        self._waiting: list[RatedAnswer] = []
        self.dropped = 0

    def submit(self, answer: RatedAnswer) -> None:
        """Queue one answer to be rated."""
        # Ratings are a sample: when their service is away, answers beyond the bound
        # are dropped, so that an outage of it costs no memory.
        if len(self._waiting) >= MAX_ANSWERS_WAITING:
            self.dropped += 1
            return
        self._waiting.append(answer)

    async def poll(self) -> None:
        """Hand in what waits, then read what is new."""
        if self._waiting:
            batch, self._waiting = self._waiting, []
            await self._ratings.submit(batch)
        page = await self._ratings.read(after=self._after)
        self._after = page.next
        if not page.ratings:
            return
        rated = [
            Rated(
                request_id=rating.request_id,
                service=rating.service,
                call=rating.call,
                version=rating.version,
                good=rating.good,
            )
            for rating in page.ratings
        ]
        self._feed(RatingsRead(ratings=rated))
