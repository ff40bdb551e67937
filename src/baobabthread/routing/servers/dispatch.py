"""Assignment of requests to the servers of a group, for all instances together.

What an instance knows of a server's load is a little old, and many instances choose at
the same moment: servers are overrun in turns while others idle. So one instance, the
owner of a group of servers, assigns the requests of all. It counts a request from the
moment at which it assigns it, so that the next one is assigned by what is under way
then. A request for which no server has room waits at the owner, in an order that is
fair to the client accounts of all instances, or is rejected at once if its turn would
come too late.
"""

from __future__ import annotations

import functools
import math
import random
from collections.abc import Iterable, Mapping

import msgspec

from baobabthread.routing.servers.lines import MAX_RETRY_S
from baobabthread.routing.servers.lineuse import LineUse
from baobabthread.routing.servers.occupancy import (
    Demand,
    Ending,
    GroupServer,
    Key,
    ServerLoad,
)
from baobabthread.routing.servers.roompart import RoomPart
from baobabthread.routing.servers.turns import Ask as Ask
from baobabthread.routing.servers.turns import Turn as Turn
from baobabthread.routing.servers.turns import Turns, Waiter

OVERDUE_FACTOR = 4.0
"""Multiple of its expected time after which a request's instance is asked whether it is
still under way: the report of its end may be lost."""
MIN_OVERDUE_S = 0.5
CHECK_INTERVAL_S = 0.25
MAX_CHECKS = 4
"""Checks without a reply after which an instance is gone with its requests."""


class Assigned(msgspec.Struct, frozen=True, kw_only=True):
    """Assign a request to a server."""

    server: str
    """Incarnation of the server; empty if the group has none for the request."""
    kept_tokens: int = 0
    """Tokens of its prompt that the server has cached."""
    wait_s: float = 0.0
    """Time for which the request waits there for others."""


class Queued(msgspec.Struct, frozen=True, kw_only=True):
    """Let a request wait for its turn."""

    wait_s: float


class Refused(msgspec.Struct, frozen=True, kw_only=True):
    """Refuse a request, as its turn would come too late."""

    retry_after_s: float


Decision = Assigned | Queued | Refused


class Granted(msgspec.Struct, frozen=True, kw_only=True):
    """The decision on a request that has waited."""

    key: Key
    decision: Assigned | Refused


class GroupDispatcher:
    """Assign the requests of all instances to the servers of one group."""

    __slots__ = (
        "_checks",
        "_granted",
        "_loads",
        "_overcommit",
        "_part",
        "_places",
        "_rng",
        "_suspects",
        "_turns",
    )

    def __init__(self, *, rng: random.Random, overcommit: int = 1) -> None:
        self._rng = rng
        self._overcommit = overcommit
        """Requests that a server gets beyond its capacity, so that it has the next one
        at hand while the end of one is reported."""
        self._loads: dict[str, ServerLoad] = {}
        self._part = RoomPart()
        self._places: dict[Key, str] = {}
        """Server of each request under way."""
        self._turns = Turns(rng=rng)
        self._granted: list[Granted] = []
        self._suspects: frozenset[str] = frozenset()
        """Instances that may be gone."""
        self._checks: dict[Key, tuple[int, float]] = {}
        """How often an overdue request was asked for, and when last."""

    def __len__(self) -> int:
        """Return the number of requests under way."""
        return len(self._places)

    @property
    def waiting(self) -> int:
        """Number of requests that wait for their turn."""
        return len(self._turns)

    @property
    def unevenness(self) -> float:
        """Busiest server's requests under way over the mean, by capacity."""
        used = [len(v) / max(1, v.server.capacity) for v in self._loads.values()]
        mean = sum(used) / len(used) if used else 0.0
        return max(used) / mean if mean else 1.0

    def set_servers(self, servers: Mapping[str, GroupServer]) -> None:
        """Set the servers of the group, by incarnation."""
        for name in [name for name in self._loads if name not in servers]:
            del self._loads[name]
        gone = [key for key, name in self._places.items() if name not in servers]
        for name, server in servers.items():
            load = self._loads.get(name)
            if load is None:
                self._loads[name] = ServerLoad(server=server)
            else:
                load.server = server
        self._count_places()
        for key in gone:
            del self._places[key]
            self._checks.pop(key, None)
            self._turns.settle(key)

    def set_part(self, part: float) -> None:
        """Set the part that the instances reached are of all."""
        self._part.set_least(part)
        self._count_places()

    def _count_places(self) -> None:
        places = sum(load.server.capacity for load in self._loads.values())
        self._turns.places = self._part.value * places

    # -- asks --

    def ask(self, key: Key, ask: Ask, now: float) -> Decision:
        """Assign a request, let it wait, or refuse it."""
        if key in self._places:
            # The reply was lost, or is on its way while the instance asks again.
            return Assigned(server=self._places[key])
        if key in self._turns:
            return Queued(wait_s=self._turns.hear(key, now))
        allowed = self._list_allowed(ask)
        if not allowed:
            return Assigned(server="")
        if not any(self._can_fit(name, ask) for name in allowed):
            return Refused(retry_after_s=MAX_RETRY_S)
        return self._enqueue(key, ask, now)

    def estimate(self, ask: Ask, now: float) -> Assigned:
        """Return what a request would meet now, without assigning it."""
        names = self._list_allowed(ask)
        if not names:
            return Assigned(server="")
        name = min(names, key=lambda n: self._loads[n].rate(ask.demand, now))
        load = self._loads[name]
        return Assigned(
            server=name,
            kept_tokens=load.count_kept(ask.demand),
            wait_s=round(load.wait_s(now), 3),
        )

    def take_granted(self) -> list[Granted]:
        """Return the decisions since the last call on requests that have waited."""
        granted, self._granted = self._granted, []
        return granted

    def withdraw(self, key: Key) -> None:
        """Remove a waiting request whose caller has gone."""
        self._turns.withdraw(key)

    def _enqueue(self, key: Key, ask: Ask, now: float) -> Decision:
        retry_s, leaving = self._turns.enter(key, ask, now)
        if leaving is not None:
            self._refuse(leaving, now)
        if retry_s is not None:
            return Refused(retry_after_s=retry_s)
        self._grant(now)
        if key in self._turns:
            return Queued(wait_s=self._turns.hear(key, now))
        own = next(each for each in self._granted if each.key == key)
        self._granted.remove(own)
        return own.decision

    def _refuse(self, waiter: Waiter, now: float) -> None:
        retry_s = self._turns.find_retry_after(waiter.ask, now)
        decision = Refused(retry_after_s=retry_s)
        self._granted.append(Granted(key=waiter.key, decision=decision))

    def _can_fit(self, name: str, ask: Ask) -> bool:
        """Return whether an idle server would have the memory for a request."""
        total = self._loads[name].server.memory_tokens
        return not total or ask.demand.memory_tokens <= total

    def _list_allowed(self, ask: Ask) -> list[str]:
        return [
            name
            for name, load in self._loads.items()
            if ask.version in (None, load.server.version)
            and name not in ask.excluded
            and (not ask.only or name in ask.only)
        ]

    # -- reports --

    def begin(self, key: Key, now: float) -> None:
        """Record that the first part of a response has arrived."""
        load = self._find_load(key)
        if load is not None:
            load.begin(key, now)
        self._grant(now)

    def end(self, key: Key, ending: Ending, now: float) -> None:
        """Record that a request has ended, wherever it was."""
        load = self._find_load(key)
        if load is not None:
            load.end(key, ending, now)
        self._forget(key, ending, now)
        self._turns.withdraw(key)
        self._grant(now)

    def hold(
        self,
        key: Key,
        server: str,
        demand: Demand,
        *,
        lasts_s: float,
        now: float,
        has_begun: bool = False,
    ) -> None:
        """Count a request that was not assigned by this owner."""
        load = self._loads.get(server)
        if load is not None and key not in self._places:
            load.start(
                key, demand, lasts_s=lasts_s, now=now, has_begun=has_begun, is_old=True
            )
            self._places[key] = server

    def learn(
        self, sender: str, uses: list[LineUse], instances: int, now: float
    ) -> None:
        """Take in what one of `instances` knows of accounts from an earlier owner."""
        self._turns.learn(sender, uses, instances, now)

    def drop(self, key: Key, now: float) -> None:
        """Remove a request that is no longer under way, of whose end nothing came."""
        if key not in self._places and key not in self._turns:
            return
        load = self._find_load(key)
        if load is not None:
            load.drop(key)
        self._forget(key, Ending.DROPPED, now)
        self._turns.withdraw(key)
        self._grant(now)

    def suspect(self, holders: Iterable[str]) -> None:
        """Check at once on the requests of instances that may be gone.

        Those that leave still have requests under way; those that were lost don't.
        """
        self._suspects = frozenset(holders)

    def tick(self, now: float) -> None:
        """Decide on the requests that wait."""
        loads = self._loads.values()
        slowness = sum(load.usual_slowness(now) for load in loads)
        self._part.update(slowness / max(1, len(loads)), now)
        self._count_places()
        for load in self._loads.values():
            for key in load.expire(now):
                self._forget(key, Ending.DROPPED, now)
        for waiter in self._turns.expire(now):
            self._refuse(waiter, now)
        self._grant(now)

    def list_checks(self, now: float) -> list[Key]:
        """Return overdue requests whose instances should be asked for them now."""
        due = []
        for load in self._loads.values():
            for key in load.list_overdue(
                now, OVERDUE_FACTOR, MIN_OVERDUE_S, self._suspects
            ):
                count, at = self._checks.get(key, (0, -math.inf))
                if now - at < CHECK_INTERVAL_S:
                    continue
                if count >= MAX_CHECKS:
                    load.drop(key)
                    self._forget(key, Ending.DROPPED, now)
                    continue
                self._checks[key] = (count + 1, now)
                due.append(key)
        return due

    def confirm(self, key: Key, now: float) -> None:
        """Record that a request that was asked for is still under way."""
        if key in self._checks:
            self._checks[key] = (0, now)

    def _find_load(self, key: Key) -> ServerLoad | None:
        return self._loads.get(self._places.get(key, ""))

    def _forget(self, key: Key, ending: Ending, now: float) -> None:
        self._checks.pop(key, None)
        if self._places.pop(key, None) is not None:
            self._turns.finish(key, ending, now)

    # -- turns --

    def _grant(self, now: float) -> None:
        """Assign waiting requests in turn while servers have room."""
        if not self._turns:
            return
        run = functools.partial(self._try_assign, now=now)
        has_room = functools.partial(self._has_room, now)
        for waiter in self._turns.take(has_room, run, now):
            self._refuse(waiter, now)

    def _has_room(self, now: float, level: int) -> bool:
        loads = self._loads.values()
        # Urgent requests of one side would wait behind all others of the other side.
        if level > 0 and self._part.value < 1.0:
            room = sum(load.count_room(self._overcommit, now) for load in loads)
            if len(self._places) >= self._part.value * room:
                return False
        return any(load.has_place(self._overcommit, now) for load in loads)

    def _try_assign(self, waiter: Waiter, now: float) -> bool:
        """Assign a request to the best server with room, if there is one."""
        ask = waiter.ask
        allowed = self._list_allowed(ask)
        decision = Assigned(server="")
        if not allowed:
            self._turns.cancel(waiter.key)
        else:
            roomy = self._list_roomy(allowed, ask.demand, now)
            if not roomy:
                return False
            decision = self._assign(waiter, roomy, now)
        self._granted.append(Granted(key=waiter.key, decision=decision))
        return True

    def _list_roomy(self, allowed: list[str], demand: Demand, now: float) -> list[str]:
        """Return the servers with a free place, or else those that take one more.

        Of the latter those with the fewest at hand: a place there is free first.
        """
        trusted = [n for n in allowed if self._loads[n].is_trusted(now)] or allowed
        for extra in (0, self._overcommit):
            roomy = [n for n in trusted if self._loads[n].has_room(demand, extra, now)]
            if roomy:
                least = min(self._loads[n].excess for n in roomy)
                return [n for n in roomy if self._loads[n].excess == least]
        return []

    def _assign(self, waiter: Waiter, roomy: list[str], now: float) -> Assigned:
        ask = waiter.ask
        # A random order, so that servers that are alike are used alike.
        self._rng.shuffle(roomy)
        name = min(roomy, key=lambda n: self._loads[n].rate(ask.demand, now))
        load = self._loads[name]
        assigned = Assigned(
            server=name,
            kept_tokens=load.count_kept(ask.demand),
            wait_s=round(load.wait_s(now), 3),
        )
        load.start(waiter.key, ask.demand, lasts_s=ask.turn.lasts_s, now=now)
        self._places[waiter.key] = name
        return assigned
