"""Which requests were on a backend server when it crashed, as seen from here.

A connection that breaks proves no crash: answers are cut and connections reset while
the server works on. That nothing listens at its address any more does.
"""

from __future__ import annotations

import asyncio
import enum
from collections import OrderedDict, deque
from collections.abc import Callable

import msgspec

from baobabthread.instance.backends import BackendLink, Backends
from baobabthread.instance.clock import now
from baobabthread.instance.connections import Listening
from baobabthread.instance.flight import Flight
from baobabthread.logs import log_event
from baobabthread.routing.crashes import Crash

CHECK_S = 0.02
"""Time from a connection's break until the server is looked at: its process has closed
its other sockets by then."""
RECHECK_S = 0.5
LONGEST_CHECK_S = 6.0
"""Time in which a server that can't be reached either shows that it is gone: its record
lapses within some four seconds."""
GATHER_S = 0.03
"""Time in which the other connections to a server that crashed break as well."""
BREAK_S = 1.0
"""Longest time between the first and the last break that belong to one crash."""
LEFT_S = 0.5
"""Time after which a request that was taken back can't have crashed its server."""
FRESH_S = 2.0
"""Time from a request's begin within which it crashes its server, if it does: the
recorded ones took a tenth of a second."""
PROVEN_S = 60.0
"""Time for which an answer shows that a version serves. One that crashes under all it
is given never answers; without this those good requests would be held."""
ANSWERED_S = 10.0
"""Time after an answer in which a request isn't the one that crashes servers: popular
ones are at every crash, and answered all the while."""
MOST_ANSWERED = 4096
"""Requests answered of late that are remembered: 400 a second for that time."""
MOST_PAST = 512
"""Requests that left a server unanswered and are remembered: several times what one
instance has on it at once."""
MOST_NAMED = 8
"""Requests that a line of the log names."""

Report = Callable[[Crash], None]
"""Pass on what was seen of a crash."""


class Departure(enum.Enum):
    """Tell how a request left a backend server."""

    ANSWERED = "answered"
    LOST = "lost"
    """Its connection ended before the answer."""
    CANCELLED = "cancelled"
    """This side closed its connection."""
    NEVER_SENT = "never sent"


class Trace(msgspec.Struct, frozen=True, kw_only=True):
    """Hold what is kept of a request, without its body, to look back at a crash."""

    fingerprint: str
    request_id: str
    began_at: float | None
    """When its answer began."""
    left_at: float

    def is_older(self, moment: float) -> bool:
        """Tell whether it had been running for long at a moment."""
        return self.began_at is not None and moment - self.began_at > FRESH_S

    def was_there(self, broke_at: float) -> bool:
        """Tell whether it left as others did when their connections broke."""
        return -LEFT_S <= self.left_at - broke_at <= BREAK_S


class Presence:
    """Hold one request while it is on a backend server."""

    __slots__ = ("_abort", "began_at", "flight", "is_cancelled")

    def __init__(self, *, flight: Flight, abort: Callable[[], None]) -> None:
        self.flight = flight
        self._abort = abort
        self.is_cancelled = False
        self.began_at: float | None = None

    def begin(self) -> None:
        """Note that its answer has begun."""
        self.began_at = now()

    def cancel(self) -> None:
        """Close its connection, so that a server that hasn't begun it never does."""
        self.is_cancelled = True
        self._abort()

    def trace(self) -> Trace:
        """Return what is kept of it, as if it left now."""
        return Trace(
            fingerprint=self.flight.fingerprint,
            request_id=self.flight.request.envelope.request_id,
            began_at=self.began_at,
            left_at=now(),
        )


class _Server:
    __slots__ = ("broke_at", "check", "here", "link", "past")

    def __init__(self, link: BackendLink) -> None:
        self.link = link
        self.here: set[Presence] = set()
        self.past: deque[Trace] = deque(maxlen=MOST_PAST)
        """Those that left unanswered, the newest last."""
        self.broke_at = 0.0
        """When the first connection of the present row of them broke."""
        self.check: asyncio.Task[None] | None = None

    @property
    def is_checked(self) -> bool:
        """Tell whether nobody finds out any more whether it crashed."""
        return self.check is None or self.check.done()


class CrashWatch:
    """Note who is on which backend server, and tell of crashes."""

    def __init__(self, *, backends: Backends, report: Report) -> None:
        self._backends = backends
        self._report = report
        self.on_answered: Callable[[Flight], None] = lambda flight: None
        self._servers: dict[str, _Server] = {}
        self._answered: OrderedDict[str, float] = OrderedDict()
        self._proven: dict[tuple[str, str], float] = {}

    def enter(self, presence: Presence, link: BackendLink) -> None:
        """Note that a request goes to a backend server."""
        server = self._servers.get(link.name)
        if server is None:
            server = self._servers[link.name] = _Server(link)
        server.here.add(presence)

    def leave(
        self, presence: Presence, link: BackendLink, departure: Departure
    ) -> None:
        """Note how it left; only the first word counts."""
        server = self._servers.get(link.name)
        if server is None or presence not in server.here:
            return
        server.here.discard(presence)
        if departure is Departure.ANSWERED:
            self._note_answered(presence.flight, link)
        elif departure is not Departure.NEVER_SENT:
            server.past.append(presence.trace())
        is_lost = departure is Departure.LOST and not presence.is_cancelled
        if is_lost and self._may_have_crashed(server):
            server.broke_at = now()
            server.check = asyncio.ensure_future(self._check(server))

    def was_answered(self, fingerprint: str) -> bool:
        """Tell whether a request was answered whole here of late."""
        return now() - self._answered.get(fingerprint, -1e9) < ANSWERED_S

    def cancel(self, fingerprint: str) -> None:
        """Cancel a request at all backend servers that may not have begun it."""
        for server in self._servers.values():
            for presence in list(server.here):
                trace = presence.trace()
                if trace.fingerprint == fingerprint and not trace.is_older(now()):
                    presence.cancel()

    def prune(self) -> None:
        """Forget servers that are gone and on which nothing is left."""
        for name, server in list(self._servers.items()):
            is_over = not server.here and server.is_checked
            if is_over and not self._backends.is_listed(server.link):
                del self._servers[name]

    def close(self) -> None:
        """End all checks."""
        for server in self._servers.values():
            if server.check is not None:
                server.check.cancel()

    def _note_answered(self, flight: Flight, link: BackendLink) -> None:
        moment = now()
        self._proven[(link.record.service, link.record.version)] = moment
        self._answered[flight.fingerprint] = moment
        self._answered.move_to_end(flight.fingerprint)
        if len(self._answered) > MOST_ANSWERED:
            self._answered.popitem(last=False)
        self.on_answered(flight)

    def _may_have_crashed(self, server: _Server) -> bool:
        # One that leaves as planned closes its connections at its end as well.
        is_planned = server.link.record.leaving
        is_listed = self._backends.is_listed(server.link)
        return server.is_checked and not is_planned and is_listed

    async def _check(self, server: _Server) -> None:
        if await self._is_gone(server):
            await asyncio.sleep(GATHER_S)
            self._tell(server)

    async def _is_gone(self, server: _Server) -> bool:
        """Tell whether nothing listens at a server's address any more."""
        link = server.link
        ends_at = now() + LONGEST_CHECK_S
        pause_s = CHECK_S
        while now() < ends_at:
            await asyncio.sleep(pause_s)
            found = await link.pool.look()
            if link.record.leaving:
                return False
            if link.is_replaced or found is Listening.NO:
                return True
            if found is Listening.YES:
                return False
            if not self._backends.is_listed(link):
                return True
            pause_s = RECHECK_S
        return False

    def _tell(self, server: _Server) -> None:
        there = self._list_there(server)
        broke_at = server.broke_at
        fresh = {t.fingerprint for t in there if not t.is_older(broke_at)}
        older = {t.fingerprint for t in there} - fresh
        record = server.link.record
        proven_at = self._proven.get((record.service, record.version), -1e9)
        crash = Crash(
            backend=server.link.name,
            service=record.service,
            version=record.version,
            is_proven=now() - proven_at < PROVEN_S,
            fresh=sorted(fresh),
            older=sorted(older),
        )
        ids = [trace.request_id for trace in there]
        log_event(
            "backend_crashed",
            level="warning",
            backend=record.id,
            service=record.service,
            version=record.version,
            version_proven=crash.is_proven,
            requests=",".join(ids[:MOST_NAMED]),
            fresh=len(fresh),
            older=len(older),
            fingerprints=",".join(crash.fresh[:MOST_NAMED]),
        )
        self._report(crash)

    def _list_there(self, server: _Server) -> list[Trace]:
        """Return who may have crashed a server, and forget who left it before."""
        there = [trace for trace in server.past if trace.was_there(server.broke_at)]
        there += [presence.trace() for presence in server.here]
        server.past.clear()
        return [trace for trace in there if not self.was_answered(trace.fingerprint)]
