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
from baobabthread.instance.context import RequestContext
from baobabthread.logs import log_event
from baobabthread.routing.crashes import Crash

CHECK_DELAY_S = 0.02
"""Time from a connection's break until the server is looked at: its process has closed
its other sockets by then."""
RECHECK_INTERVAL_S = 0.5
MAX_CHECK_S = 6.0
"""Time in which a server that can't be reached either shows that it is gone: its record
lapses within some four seconds."""
GATHER_DELAY_S = 0.03
"""Time in which the other connections to a server that crashed break as well."""
MAX_BREAK_SPREAD_S = 1.0
"""Longest time between the first and the last break that belong to one crash."""
CANCEL_MARGIN_S = 0.5
"""Time after which a request that was taken back can't have crashed its server."""
FRESH_WINDOW_S = 2.0
"""Time from a request's begin within which it crashes its server, if it does: the
recorded ones took a tenth of a second."""
PROVEN_WINDOW_S = 60.0
"""Time for which an answer shows that a version serves. One that crashes under all it
is given never answers; without this those good requests would be held."""
ANSWERED_WINDOW_S = 10.0
"""Time after an answer in which a request isn't the one that crashes servers: popular
ones are at every crash, and answered all the while."""
MAX_ANSWERED = 4096
"""Requests answered of late that are remembered: 400 a second for that time."""
MAX_DEPARTED = 512
"""Requests that left a server unanswered and are remembered: several times what one
instance has on it at once."""
MAX_LOGGED_REQUESTS = 8
"""Requests that a line of the log names."""

ReportCrash = Callable[[Crash], None]
"""Pass on what was seen of a crash."""


class Departure(enum.Enum):
    """Tell how a request left a backend server."""

    ANSWERED = "answered"
    LOST = "lost"
    """Its connection ended before the answer."""
    CANCELLED = "cancelled"
    """This side closed its connection."""
    NEVER_SENT = "never sent"


class RequestTrace(msgspec.Struct, frozen=True, kw_only=True):
    """Hold what is kept of a request, without its body, to look back at a crash."""

    fingerprint: str
    request_id: str
    began_at: float | None
    """When its answer began."""
    left_at: float

    def is_older(self, timestamp: float) -> bool:
        """Tell whether it had been running for long at a moment."""
        return self.began_at is not None and timestamp - self.began_at > FRESH_WINDOW_S

    def was_present(self, broke_at: float) -> bool:
        """Tell whether it left as others did when their connections broke."""
        return -CANCEL_MARGIN_S <= self.left_at - broke_at <= MAX_BREAK_SPREAD_S


class ActiveRequest:
    """Hold one request while it is on a backend server."""

    __slots__ = ("_abort", "began_at", "context", "is_cancelled")

    def __init__(self, *, context: RequestContext, abort: Callable[[], None]) -> None:
        self.context = context
        self._abort = abort
        self.is_cancelled = False
        self.began_at: float | None = None

    def record_begin(self) -> None:
        """Note that its answer has begun."""
        self.began_at = now()

    def cancel(self) -> None:
        """Close its connection, so that a server that hasn't begun it never does."""
        self.is_cancelled = True
        self._abort()

    def trace(self) -> RequestTrace:
        """Return what is kept of it, as if it left now."""
        return RequestTrace(
            fingerprint=self.context.fingerprint,
            request_id=self.context.request.envelope.request_id,
            began_at=self.began_at,
            left_at=now(),
        )


class _WatchedServer:
    __slots__ = ("active", "broke_at", "check", "departed", "link")

    def __init__(self, link: BackendLink) -> None:
        self.link = link
        self.active: set[ActiveRequest] = set()
        self.departed: deque[RequestTrace] = deque(maxlen=MAX_DEPARTED)
        """Those that left unanswered, the newest last."""
        self.broke_at = 0.0
        """When the first connection of the present row of them broke."""
        self.check: asyncio.Task[None] | None = None

    @property
    def is_check_done(self) -> bool:
        """Tell whether nobody finds out any more whether it crashed."""
        return self.check is None or self.check.done()


class CrashDetector:
    """Note who is on which backend server, and tell of crashes."""

    def __init__(self, *, backends: Backends, report: ReportCrash) -> None:
        self._backends = backends
        self._report = report
        self.on_answered: Callable[[RequestContext], None] = lambda flight: None
        self._servers: dict[str, _WatchedServer] = {}
        self._answered: OrderedDict[str, float] = OrderedDict()
        self._proven: dict[tuple[str, str], float] = {}

    def enter(self, active: ActiveRequest, link: BackendLink) -> None:
        """Note that a request goes to a backend server."""
        server = self._servers.get(link.name)
        if server is None:
            server = self._servers[link.name] = _WatchedServer(link)
        server.active.add(active)

    def leave(
        self, active: ActiveRequest, link: BackendLink, departure: Departure
    ) -> None:
        """Note how it left; only the first word counts."""
        server = self._servers.get(link.name)
        if server is None or active not in server.active:
            return
        server.active.discard(active)
        if departure is Departure.ANSWERED:
            self._record_answered(active.context, link)
        elif departure is not Departure.NEVER_SENT:
            server.departed.append(active.trace())
        is_lost = departure is Departure.LOST and not active.is_cancelled
        if is_lost and self._may_have_crashed(server):
            server.broke_at = now()
            server.check = asyncio.ensure_future(self._check(server))

    def was_answered(self, fingerprint: str) -> bool:
        """Tell whether a request was answered whole here of late."""
        return now() - self._answered.get(fingerprint, -1e9) < ANSWERED_WINDOW_S

    def cancel(self, fingerprint: str) -> None:
        """Cancel a request at all backend servers that may not have begun it."""
        for server in self._servers.values():
            for presence in list(server.active):
                trace = presence.trace()
                if trace.fingerprint == fingerprint and not trace.is_older(now()):
                    presence.cancel()

    def prune(self) -> None:
        """Forget servers that are gone and on which nothing is left."""
        for name, server in list(self._servers.items()):
            is_over = not server.active and server.is_check_done
            if is_over and not self._backends.is_listed(server.link):
                del self._servers[name]

    def close(self) -> None:
        """End all checks."""
        for server in self._servers.values():
            if server.check is not None:
                server.check.cancel()

    def _record_answered(self, flight: RequestContext, link: BackendLink) -> None:
        moment = now()
        self._proven[(link.record.service, link.record.version)] = moment
        self._answered[flight.fingerprint] = moment
        self._answered.move_to_end(flight.fingerprint)
        if len(self._answered) > MAX_ANSWERED:
            self._answered.popitem(last=False)
        self.on_answered(flight)

    def _may_have_crashed(self, server: _WatchedServer) -> bool:
        # One that leaves as planned closes its connections at its end as well.
        is_planned = server.link.record.leaving
        is_listed = self._backends.is_listed(server.link)
        return server.is_check_done and not is_planned and is_listed

    async def _check(self, server: _WatchedServer) -> None:
        if await self._has_terminated(server):
            await asyncio.sleep(GATHER_DELAY_S)
            self._report_termination(server)

    async def _has_terminated(self, server: _WatchedServer) -> bool:
        """Tell whether nothing listens at a server's address any more."""
        link = server.link
        ends_at = now() + MAX_CHECK_S
        pause_s = CHECK_DELAY_S
        while now() < ends_at:
            await asyncio.sleep(pause_s)
            found = await link.pool.probe()
            if link.record.leaving:
                return False
            if link.is_replaced or found is Listening.NO:
                return True
            if found is Listening.YES:
                return False
            if not self._backends.is_listed(link):
                return True
            pause_s = RECHECK_INTERVAL_S
        return False

    def _report_termination(self, server: _WatchedServer) -> None:
        there = self._collect_candidates(server)
        broke_at = server.broke_at
        fresh = {t.fingerprint for t in there if not t.is_older(broke_at)}
        older = {t.fingerprint for t in there} - fresh
        record = server.link.record
        proven_at = self._proven.get((record.service, record.version), -1e9)
        crash = Crash(
            backend=server.link.name,
            service=record.service,
            version=record.version,
            is_proven=now() - proven_at < PROVEN_WINDOW_S,
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
            requests=",".join(ids[:MAX_LOGGED_REQUESTS]),
            fresh=len(fresh),
            older=len(older),
            fingerprints=",".join(crash.fresh[:MAX_LOGGED_REQUESTS]),
        )
        self._report(crash)

    def _collect_candidates(self, server: _WatchedServer) -> list[RequestTrace]:
        """Return who may have crashed a server, and forget who left it before."""
        there = [
            trace for trace in server.departed if trace.was_present(server.broke_at)
        ]
        there += [presence.trace() for presence in server.active]
        server.departed.clear()
        return [trace for trace in there if not self.was_answered(trace.fingerprint)]
