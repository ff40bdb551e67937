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
"""Time for which an answer shows that a version serves."""
ANSWERED_S = 10.0
"""Time after an answer in which a request isn't the one that crashes servers: popular
ones are at every crash, and answered all the while."""
MOST_ANSWERED = 4096
"""Requests that were answered of late and are remembered, some 0.6 MB."""
MOST_PAST = 512
"""Requests that left a server unanswered and are remembered: several times what one
instance has on it at once."""
MOST_NAMED = 8
"""Requests that a line of the log names."""

Report = Callable[[Crash], None]
"""Pass on what was seen of a crash."""


class Exit(enum.Enum):
    """Tell how a request left a backend server."""

    ANSWERED = "answered"
    BROKEN = "broken"
    """Its connection broke."""
    TAKEN_BACK = "taken back"
    """This side closed its connection."""
    NEVER_THERE = "never there"


class Stay:
    """Hold one request while it is on a backend server."""

    __slots__ = ("_abort", "began_at", "flight", "was_taken_back")

    def __init__(self, *, flight: Flight, abort: Callable[[], None]) -> None:
        self.flight = flight
        self._abort = abort
        self.was_taken_back = False
        self.began_at: float | None = None

    def begin(self) -> None:
        """Note that its answer has begun."""
        self.began_at = now()

    def take_back(self) -> None:
        """Close its connection, so that a server that hasn't begun it never does."""
        self.was_taken_back = True
        self._abort()

    def note(self) -> _Seen:
        """Return what is kept of it once it has left."""
        return _Seen(
            fingerprint=self.flight.fingerprint,
            request_id=self.flight.request.envelope.request_id,
            began_at=self.began_at,
            left_at=now(),
        )


class _Seen(msgspec.Struct, frozen=True, kw_only=True):
    """Hold what is kept of a request, without its body, to look back at a crash."""

    fingerprint: str
    request_id: str
    began_at: float | None
    left_at: float

    def is_older(self, moment: float) -> bool:
        """Tell whether it had been running for long at a moment."""
        return self.began_at is not None and moment - self.began_at > FRESH_S


class _Server:
    __slots__ = ("broke_at", "check", "here", "link", "past")

    def __init__(self, link: BackendLink) -> None:
        self.link = link
        self.here: set[Stay] = set()
        self.past: deque[_Seen] = deque(maxlen=MOST_PAST)
        """Those that left unanswered, the newest last."""
        self.broke_at = 0.0
        self.check: asyncio.Task[None] | None = None


class CrashWatch:
    """Note who is on which backend server, and tell of crashes."""

    def __init__(self, *, backends: Backends, report: Report) -> None:
        self._backends = backends
        self._report = report
        self.on_answered: Callable[[Flight], None] = lambda flight: None
        self._servers: dict[str, _Server] = {}
        self._answered: OrderedDict[str, float] = OrderedDict()
        self._proven: dict[tuple[str, str], float] = {}

    def enter(self, stay: Stay, link: BackendLink) -> None:
        """Note that a request goes to a backend server."""
        server = self._servers.get(link.name)
        if server is None:
            server = self._servers[link.name] = _Server(link)
        server.here.add(stay)

    def leave(self, stay: Stay, link: BackendLink, exit: Exit) -> None:
        """Note how it left."""
        server = self._servers.get(link.name)
        if server is None or stay not in server.here:
            return
        server.here.discard(stay)
        if exit is Exit.ANSWERED:
            self._note_answered(stay.flight, link)
        elif exit is not Exit.NEVER_THERE:
            server.past.append(stay.note())
        is_broken = exit is Exit.BROKEN and not stay.was_taken_back
        if is_broken and self._may_have_crashed(server):
            server.broke_at = now()
            server.check = asyncio.ensure_future(self._check(server))

    def was_answered(self, fingerprint: str) -> bool:
        """Tell whether a request was answered whole here of late."""
        return now() - self._answered.get(fingerprint, -1e9) < ANSWERED_S

    def take_back(self, fingerprint: str) -> None:
        """Take a request back from all backend servers that may not have begun it."""
        for server in self._servers.values():
            for stay in list(server.here):
                seen = stay.note()
                if seen.fingerprint == fingerprint and not seen.is_older(now()):
                    stay.take_back()

    def prune(self) -> None:
        """Forget servers that are gone and on which nothing is left."""
        for name, server in list(self._servers.items()):
            is_checked = server.check is None or server.check.done()
            is_over = not server.here and is_checked
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
        if server.check is not None and not server.check.done():
            return False
        # One that leaves as planned closes its connections at its end as well.
        is_planned = server.link.record.leaving
        return not is_planned and self._backends.is_listed(server.link)

    async def _check(self, server: _Server) -> None:
        ends_at = now() + LONGEST_CHECK_S
        pause_s = CHECK_S
        while now() < ends_at:
            await asyncio.sleep(pause_s)
            if server.link.record.leaving:
                return
            found = await server.link.pool.look()
            if found is Listening.YES and not server.link.is_replaced:
                return
            if found is not Listening.UNKNOWN or server.link.is_replaced:
                await asyncio.sleep(GATHER_S)
                self._tell(server)
                return
            if not self._backends.is_listed(server.link):
                self._tell(server)
                return
            pause_s = RECHECK_S

    def _tell(self, server: _Server) -> None:
        broke_at = server.broke_at
        present = [seen for seen in server.past if _was_there(seen, broke_at)]
        present += [stay.note() for stay in server.here]
        present = [seen for seen in present if not self.was_answered(seen.fingerprint)]
        older = {seen.fingerprint for seen in present if seen.is_older(broke_at)}
        fresh = {seen.fingerprint for seen in present if not seen.is_older(broke_at)}
        server.past.clear()
        record = server.link.record
        proven_at = self._proven.get((record.service, record.version), -1e9)
        crash = Crash(
            backend=server.link.name,
            service=record.service,
            version=record.version,
            is_proven=now() - proven_at < PROVEN_S,
            fresh=sorted(fresh),
            older=sorted(older - fresh),
        )
        ids = [seen.request_id for seen in present]
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
            fingerprints=",".join(f[:12] for f in crash.fresh[:MOST_NAMED]),
        )
        self._report(crash)


def _was_there(seen: _Seen, broke_at: float) -> bool:
    return -LEFT_S <= seen.left_at - broke_at <= BREAK_S
