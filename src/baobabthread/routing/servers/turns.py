"""Turns of the requests that wait at a group's owner for room.

Accounts of all instances share one queue, so that each gets its fair part of the room
whichever instances its callers come through. What can't be served in time is refused
at once and told when to come back: callers of one account and class get times one
after another, at the rate at which the account's turns come. While such times are
outstanding, the account's queue takes those who come at one of them, and tells others
a later one: who repeats at once doesn't get ahead of who comes back when told.
"""

from __future__ import annotations

import bisect
import math
import random
from collections import Counter
from collections.abc import Callable, Iterator

import msgspec

from baobabthread.core.configuration.configuration import Priority
from baobabthread.core.limits.fairness import FairnessSettings, FairQueue, Waiting
from baobabthread.core.limits.flows import CLASS
from baobabthread.routing.servers.lines import (
    DEMAND_HALF_LIFE_S,
    MAX_RETRY_S,
    Demanded,
    Line,
    Pace,
)
from baobabthread.routing.servers.lineuse import LineUse, ToldUses
from baobabthread.routing.servers.occupancy import Demand, Ending, Key

MAX_WAITING = 4096
MAX_ASIDE = 256
"""Requests at most whose turn has come while their servers have no room."""
MAX_SILENCE_S = 1.0
"""Time without a repeated ask after which a waiting request's caller has gone: the word
of it may be lost."""
WAIT_MARGIN = 1.5
"""Factor on an estimated wait: others' requests may still come before it."""
HOPELESS_PART = 0.8
"""Part of an estimated wait that must still fit: the pace of turns varies."""
FULL_PART = 0.5
"""Part of a request's patience from which on its account's queue is kept for those who
come back when told."""
MAX_LINES = 8192
REPEAT_PART = 0.25
"""What a request counts as demand that is refused while others of its line are to come
back: it may be a repeat, and repeats don't make an account a large one."""
FORGET_INTERVAL_S = 10.0
FORGET_RATE = 1e-3
"""Places' time that a forgotten account asks for at most."""
TOKENS_PER_S = 1000.0
"""Tokens of the fair queue for each second of a place."""


class Turn(msgspec.Struct, frozen=True, kw_only=True):
    """Who asks for a server, and how long the request may wait; times in seconds."""

    account: str = ""
    """Client account, whose requests at all instances share its fair part."""
    priority: Priority = Priority.INTERACTIVE
    lasts_s: float = 1.0
    """Time after which the request has certainly ended."""
    patience_s: float = math.inf
    """Time for which it waits for its turn at most."""


class Ask(msgspec.Struct, frozen=True, kw_only=True):
    """A request that is to be assigned to one of a group's servers."""

    demand: Demand
    turn: Turn
    version: str | None = None
    """Version that must run it; None for any."""
    excluded: tuple[str, ...] = ()
    """Servers that must not run it."""
    only: tuple[str, ...] = ()
    """Servers of which one must run it; empty for any."""

    @property
    def level(self) -> int:
        """Class of the request; 0 is the most urgent."""
        return CLASS[self.turn.priority]

    @property
    def tokens(self) -> int:
        """Size of the request for fair shares."""
        return max(1, round(self.demand.work_s * TOKENS_PER_S))

    @property
    def patience_s(self) -> float:
        """Time for which it may wait and still be served within its deadline."""
        return min(self.turn.patience_s, self.turn.lasts_s - self.demand.work_s)


class Waiter(msgspec.Struct, kw_only=True):
    """A request that waits for its turn."""

    key: Key
    ask: Ask
    asked_at: float
    heard_at: float
    """When its instance last asked for it."""
    is_aside: bool = False

    @property
    def last_start(self) -> float:
        """Time after which it can't be served within its deadline."""
        return self.asked_at + self.ask.patience_s


class Turns:
    """Order the requests of all instances that wait for a group's servers."""

    __slots__ = (
        "_accounts",
        "_aside",
        "_counts",
        "_demanded",
        "_forgotten_at",
        "_line_counts",
        "_lines",
        "_paces",
        "_queue",
        "_rng",
        "_started",
        "_told",
        "_waiters",
        "places",
    )

    def __init__(
        self, *, rng: random.Random, settings: FairnessSettings | None = None
    ) -> None:
        self.places = 1.0
        """Requests that the group's servers run concurrently."""
        self._rng = rng
        self._queue = FairQueue(
            settings=settings or FairnessSettings(max_waiting=MAX_WAITING)
        )
        self._waiters: dict[Key, Waiter] = {}
        self._aside: list[Waiter] = []
        """Waiting requests whose turn has come, but whose servers have no room."""
        self._counts = [0] * len(CLASS)
        """Requests in the queue, by class."""
        self._started: dict[Key, tuple[float, float]] = {}
        """When each charged request had its turn, and the seconds it should take."""
        self._lines: dict[tuple[str, int], Line[Waiter]] = {}
        """Waiting requests and times to come back, by account and class."""
        self._line_counts = [0] * len(CLASS)
        """Lines in which somebody waits, by class."""
        self._accounts: Counter[str] = Counter()
        """The same, by account."""
        self._paces: dict[int, Pace] = {}
        """Pace of each class."""
        self._demanded: dict[str, Demanded] = {}
        """What each account asks for."""
        self._forgotten_at = 0.0
        self._told = ToldUses()

    def __len__(self) -> int:
        return len(self._waiters)

    def __contains__(self, key: Key) -> bool:
        return key in self._waiters

    @property
    def charged(self) -> int:
        """Number of requests that count against their accounts as under way."""
        return len(self._started)

    # -- waiting --

    def enter(
        self, key: Key, ask: Ask, now: float
    ) -> tuple[float | None, Waiter | None]:
        """Let a request wait for its turn.

        Return the seconds after which to come back if it is refused, and a request
        that must leave for it.
        """
        are_told = bool(self._find_line(ask, now).returns)
        retry_s = self._check(ask, now)
        is_repeat = are_told and retry_s is not None
        self._count_demand(ask, REPEAT_PART if is_repeat else 1.0, now)
        if retry_s is not None:
            return retry_s, None
        pushed_out = self._queue.push(_describe(key, ask, now), now)
        leaving = None
        if pushed_out is not None:
            leaving = self._waiters.pop(_parse_ticket(pushed_out.request_id), None)
            if leaving is None:
                return self.find_retry_after(ask, now), None
            self._leave_line(leaving)
        waiter = Waiter(key=key, ask=ask, asked_at=now, heard_at=now)
        self._waiters[key] = waiter
        self._enter_line(waiter, now)
        return None, leaving

    def hear(self, key: Key, now: float) -> float:
        """Record that a request is asked for again; return the wait expected."""
        waiter = self._waiters[key]
        waiter.heard_at = now
        if waiter.is_aside:
            return 0.0
        line = self._find_line(waiter.ask, now)
        return round(line.estimate_last_wait(waiter.ask.tokens), 3)

    def withdraw(self, key: Key) -> None:
        """Remove a waiting request."""
        waiter = self._waiters.pop(key, None)
        if waiter is None:
            return
        if waiter.is_aside:
            self._aside.remove(waiter)
            self.cancel(key)
            return
        self._queue.remove(_make_ticket(key))
        self._leave_line(waiter)

    def expire(self, now: float) -> list[Waiter]:
        """Remove and return the requests that can't be served in time any more."""
        silent = now - MAX_SILENCE_S
        for key in [k for k, w in self._waiters.items() if w.heard_at < silent]:
            self.withdraw(key)
        late = [w for w in self._waiters.values() if w.last_start < now]
        for waiter in late:
            self.withdraw(waiter.key)
        late += self._list_hopeless(now)
        if now - self._forgotten_at > FORGET_INTERVAL_S:
            self._forget(now)
        return late

    def _list_hopeless(self, now: float) -> list[Waiter]:
        """Remove and return the last of lines that have become too long."""
        hopeless = []
        for (account, _), line in list(self._lines.items()):
            line.pass_time(now)
            share = self._find_share(account, now)
            while line.members:
                waiter = next(reversed(line.members.values()))
                wait_s = line.estimate_last_wait(waiter.ask.tokens, share)
                if now + HOPELESS_PART * wait_s <= waiter.last_start:
                    break
                self.withdraw(waiter.key)
                hopeless.append(waiter)
        return hopeless

    # -- turns --

    def take(
        self, has_room: Callable[[int], bool], run: Callable[[Waiter], bool], now: float
    ) -> list[Waiter]:
        """Run waiting requests in turn while servers have room for their class.

        `run` returns whether a request got a server or needs none any more. Return
        those that must leave, as too many wait for servers without room.
        """
        failed: set[tuple[object, ...]] = set()
        for waiter in self._list_turns(has_room, now):
            needs = _describe_needs(waiter.ask)
            if needs not in failed and run(waiter):
                self._waiters.pop(waiter.key)
                if waiter.key in self._started:
                    self._started[waiter.key] = (now, waiter.ask.demand.work_s)
                if waiter.is_aside:
                    self._aside.remove(waiter)
                continue
            failed.add(needs)
            if not waiter.is_aside:
                waiter.is_aside = True
                bisect.insort(self._aside, waiter, key=lambda w: w.ask.level)
        leaving = self._aside[MAX_ASIDE:]
        for waiter in leaving:
            self.withdraw(waiter.key)
        return leaving

    def _list_turns(
        self, has_room: Callable[[int], bool], now: float
    ) -> Iterator[Waiter]:
        """Yield the requests in turn, those set aside before others of their class."""
        aside = list(self._aside)
        yield from (w for w in aside if w.ask.level == 0)
        while self._counts[0] and has_room(0):
            waiter = self._pop(now)
            if waiter is None:
                break
            yield waiter
        if has_room(1):
            yield from (w for w in aside if w.ask.level > 0)
        while has_room(1):
            waiter = self._pop(now)
            if waiter is None:
                break
            yield waiter

    def _pop(self, now: float) -> Waiter | None:
        entry = self._queue.pop(now)
        if entry is None:
            return None
        key = _parse_ticket(entry.request_id)
        waiter = self._waiters[key]
        line = self._find_line(waiter.ask, now)
        line.pass_time(now)
        pace = self._find_pace(waiter.ask.level, now)
        if waiter.asked_at < now:
            # A turn at once says nothing of the pace of those that wait.
            line.pace.add(waiter.ask.tokens)
            pace.add(waiter.ask.tokens)
        self._leave_line(waiter)
        self._started[key] = (now, waiter.ask.demand.work_s)
        return waiter

    def finish(self, key: Key, ending: Ending, now: float) -> None:
        """Correct an account's use by the time for which a request had its place.

        What was not answered costs no more than its response would have.
        """
        started = self._started.pop(key, None)
        if started is None:
            return
        at, expected_s = started
        used_s = now - at
        if ending is not Ending.ANSWERED:
            used_s = min(used_s, expected_s)
        tokens = round(used_s * TOKENS_PER_S)
        self._queue.finished(_make_ticket(key), tokens, now)

    def settle(self, key: Key) -> None:
        """End the count of a request whose server is gone; its charge stands."""
        started = self._started.pop(key, None)
        if started is not None:
            at, expected_s = started
            tokens = max(1, round(expected_s * TOKENS_PER_S))
            self._queue.finished(_make_ticket(key), tokens, at)

    def cancel(self, key: Key) -> None:
        """Give an account back what a request was charged that never ran."""
        started = self._started.pop(key, None)
        if started is not None:
            self._queue.finished(_make_ticket(key), 0, started[0])

    # -- refusals --

    def find_retry_after(self, ask: Ask, now: float, least_s: float = 0.0) -> float:
        """Return the seconds after which a refused request's caller should return.

        Each caller gets a time of its own, which is kept for it.
        """
        line = self._find_line(ask, now)
        retry_s = line.add_return(ask.tokens, least_s, now)
        if retry_s is None:
            return self._rng.uniform(0.5, 1.0) * MAX_RETRY_S
        if len(self._lines) < MAX_LINES:
            self._lines[ask.turn.account, ask.level] = line
        return retry_s

    def _check(self, ask: Ask, now: float) -> float | None:
        """Return when to come back if a request can't wait now, or None."""
        if not len(self._queue):
            return None
        line = self._find_line(ask, now)
        line.pass_time(now)
        is_due = line.is_due(now)
        share = self._find_share(ask.turn.account, now)
        wait_s = line.estimate_wait(ask.tokens, share)
        margin = 1.0 if share else WAIT_MARGIN
        missing_s = margin * wait_s - ask.patience_s
        if missing_s > 0.0:
            return self.find_retry_after(ask, now, missing_s)
        if is_due:
            line.returns.pop(0)
        elif line.returns and wait_s > FULL_PART * ask.patience_s:
            return self.find_retry_after(ask, now)
        return None

    # -- shares --

    def _count_demand(self, ask: Ask, part: float, now: float) -> None:
        self._add_demand(ask.turn.account, part * ask.tokens, now)

    def _add_demand(self, account: str, tokens: float, now: float) -> None:
        demanded = self._demanded.get(account)
        if demanded is None:
            if len(self._demanded) >= MAX_LINES:
                return
            demanded = self._demanded[account] = Demanded(now=now)
        demanded.add(tokens, now)

    def learn(
        self, sender: str, uses: list[LineUse], instances: int, now: float
    ) -> None:
        """Take in what one of `instances` knows of accounts from an earlier owner."""
        if not self._told.add(sender, uses):
            return
        for use in uses:
            tokens = use.asked * DEMAND_HALF_LIFE_S / math.log(2.0)
            self._add_demand(use.account, tokens, now)
        paces = self._told.list_paces(instances)
        for level in {level for _, level in paces}:
            total = sum(pace for line, pace in paces.items() if line[1] == level)
            self._find_pace(level, now).assume(total)
        for line, pace in paces.items():
            if not self._told.is_short(line):
                continue
            if line not in self._lines:
                if len(self._lines) >= MAX_LINES:
                    break
                self._lines[line] = Line(pace=Pace(assumed=pace, now=now))
            self._lines[line].pace.assume(pace)

    def _find_share(self, account: str, now: float) -> float:
        """Return the rate that an account gets whatever the others ask for.

        An equal part of the room for one that asks for no more: the fair queue serves
        it before others. 0 for one that asks for more, which gets what is left.
        """
        demanded = self._demanded.get(account)
        if demanded is None:
            return 0.0
        accounts = len(self._accounts) + (account not in self._accounts)
        share = self.places * TOKENS_PER_S / accounts
        return share if demanded.estimate_rate(now) <= share else 0.0

    # -- lines --

    def _find_line(self, ask: Ask, now: float) -> Line[Waiter]:
        """Return the line of a request; a new one is not kept."""
        line = self._lines.get((ask.turn.account, ask.level))
        is_new = line is None or not line.members
        count = self._line_counts[ask.level] + is_new
        assumed = self._find_pace(ask.level, now).rate / count
        if line is None:
            return Line(pace=Pace(assumed=assumed, now=now))
        line.pace.assumed = assumed
        return line

    def _find_pace(self, level: int, now: float) -> Pace:
        """Return the pace of a class, with the time until now."""
        pace = self._paces.get(level)
        if pace is None:
            assumed = max(1.0, self.places) * TOKENS_PER_S
            pace = self._paces[level] = Pace(assumed=assumed, now=now)
        pace.pass_time(now, is_waiting=self._counts[level] > 0)
        return pace

    def _enter_line(self, waiter: Waiter, now: float) -> None:
        ask = waiter.ask
        line = self._find_line(ask, now)
        self._lines[ask.turn.account, ask.level] = line
        if not line.members:
            self._line_counts[ask.level] += 1
            self._accounts[ask.turn.account] += 1
        line.enter(waiter.key, waiter, ask.tokens, now)
        self._find_pace(ask.level, now)
        self._counts[ask.level] += 1

    def _leave_line(self, waiter: Waiter) -> None:
        ask, account = waiter.ask, waiter.ask.turn.account
        line = self._lines[account, ask.level]
        self._counts[ask.level] -= 1
        line.leave(waiter.key, ask.tokens)
        if line.members:
            return
        self._line_counts[ask.level] -= 1
        self._accounts[account] -= 1
        if not self._accounts[account]:
            del self._accounts[account]
        if not line.returns:
            del self._lines[account, ask.level]

    def _forget(self, now: float) -> None:
        """Forget accounts that are long idle, and times that nobody came at."""
        self._forgotten_at = now
        self._queue.usage(now)
        idle = FORGET_RATE * TOKENS_PER_S
        for account, demanded in list(self._demanded.items()):
            if demanded.estimate_rate(now) < idle:
                del self._demanded[account]
        for name in [n for n, line in self._lines.items() if line.is_idle(now)]:
            del self._lines[name]


def _describe_needs(ask: Ask) -> tuple[object, ...]:
    """Return what decides whether a server has room for a request."""
    return ask.version, ask.excluded, ask.only, ask.demand.memory_tokens


def _make_ticket(key: Key) -> str:
    holder, number = key
    return f"{holder}/{number}"


def _parse_ticket(ticket: str) -> Key:
    holder, _, number = ticket.rpartition("/")
    return holder, int(number)


def _describe(key: Key, ask: Ask, now: float) -> Waiting:
    return Waiting(
        request_id=_make_ticket(key),
        account=ask.turn.account,
        weight=1.0,
        priority=ask.turn.priority,
        tokens=ask.tokens,
        deadline=now + ask.patience_s + ask.demand.work_s,
        arrived=now,
        service_s=ask.demand.work_s,
    )
