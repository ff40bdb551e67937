"""Crash detection of backend servers, and the requests they were running.

A broken connection is no proof of a crash: responses get truncated and connections
reset while the server keeps running. An address at which nothing listens any more is.
"""

from __future__ import annotations

import asyncio
import enum
from collections import Counter, OrderedDict, deque
from collections.abc import Callable, Sequence

import msgspec

from baobabthread.instance.clock import now
from baobabthread.instance.context import RequestContext
from baobabthread.instance.servers.backends import BackendLink, Backends
from baobabthread.instance.servers.connections import Listening
from baobabthread.instance.suspicion import NEVER
from baobabthread.logs import log_event
from baobabthread.routing.crashes import MAX_REPORTED_PARTS, Crash, CrashedRequest
from baobabthread.routing.quarantine import QuarantineEntry

CHECK_DELAY_S = 0.02
"""Delay from a lost connection to the first probe of the server, by which a process
that terminated has closed its other sockets."""
RECHECK_INTERVAL_S = 0.5
MAX_CHECK_S = 6.0
"""Duration for which a server that can't be reached is probed: the record of one that
has terminated lapses within about four seconds."""
GATHER_DELAY_S = 0.03
"""Time for the other connections to a crashed server to break as well."""
MAX_BREAK_SPREAD_S = 1.0
"""Longest time between the first and the last lost connection of one crash."""
CANCEL_MARGIN_S = 0.5
"""Time after which a cancelled request can't have crashed its server."""
FRESH_WINDOW_S = 2.0
"""Time from the start of a request's response within which the request crashes its
server, if it does: recorded crashes took a tenth of a second."""
PROVEN_WINDOW_S = 60.0
"""Time for which a response proves that a version works. A version that crashes on
every request never responds; its requests must not be quarantined for that."""
MAX_ANSWERED = 8192
"""Features of recently answered requests to remember: some 400 requests a second, with
two new features each, for ten seconds."""
MAX_DEPARTED = 512
"""Unanswered requests to remember per server: several times the number that an instance
runs on it concurrently."""
MAX_LOGGED_REQUESTS = 8
"""Requests listed in one log line."""
MAX_LOGGED_PARTS = 24
"""Parts of their prompts listed in one log line, the most frequent ones."""

ReportCrash = Callable[[Crash], None]
"""Report a crash to the instances that evaluate it."""


class Departure(enum.Enum):
    """How a request left a backend server."""

    ANSWERED = "answered"
    """It got a whole successful response."""
    FAILED = "failed"
    """It got a whole response of another kind, which shows only that its version
    works."""
    LOST = "lost"
    """Its connection ended before the response."""
    CANCELLED = "cancelled"
    """This instance closed the connection."""
    NEVER_SENT = "never sent"


class RequestTrace(msgspec.Struct, frozen=True, kw_only=True):
    """Metadata of a request, without its body, for the analysis of a crash."""

    fingerprint: str
    parts: tuple[str, ...]
    """Fingerprints of the parts of its prompt that other requests may share."""
    request_id: str
    sent_at: float
    began_at: float | None
    """When its response started."""
    left_at: float

    @property
    def features(self) -> tuple[str, ...]:
        """Fingerprints of all that may make it crash a server."""
        return (self.fingerprint, *self.parts)

    def is_older(self, timestamp: float) -> bool:
        """Return whether its response had started long before a time."""
        return self.began_at is not None and timestamp - self.began_at > FRESH_WINDOW_S

    def was_present(self, broke_at: float) -> bool:
        """Return whether it was on the server when the connections broke."""
        return -CANCEL_MARGIN_S <= self.left_at - broke_at <= MAX_BREAK_SPREAD_S


class ActiveRequest:
    """A request while it is on a backend server."""

    __slots__ = (
        "_abort",
        "began_at",
        "context",
        "has_survived",
        "is_cancelled",
        "sent_at",
    )

    def __init__(self, *, context: RequestContext, abort: Callable[[], None]) -> None:
        self.context = context
        self._abort = abort
        self.is_cancelled = False
        self.sent_at = now()
        self.began_at: float | None = None
        self.has_survived = False
        """Whether its server lived on after its response had started."""

    def record_begin(self) -> None:
        """Record that its response has started."""
        self.began_at = now()

    def cancel(self) -> None:
        """Close its connection, so that a server that hasn't started it never will."""
        self.is_cancelled = True
        self._abort()

    def trace(self) -> RequestTrace:
        """Return its metadata, with the current time as the time of departure."""
        return RequestTrace(
            fingerprint=self.context.fingerprint,
            parts=self.context.parts,
            request_id=self.context.request.envelope.request_id,
            sent_at=self.sent_at,
            began_at=self.began_at,
            left_at=now(),
        )


class _WatchedServer:
    __slots__ = ("active", "broke_at", "check", "departed", "link")

    def __init__(self, link: BackendLink) -> None:
        self.link = link
        self.active: set[ActiveRequest] = set()
        self.departed: deque[RequestTrace] = deque(maxlen=MAX_DEPARTED)
        """Requests that left unanswered, oldest first."""
        self.broke_at = 0.0
        """When the first connection of the current series broke."""
        self.check: asyncio.Task[None] | None = None

    @property
    def is_check_done(self) -> bool:
        """Return whether no check for a crash is running."""
        return self.check is None or self.check.done()


class CrashDetector:
    """Track the requests on each backend server and report crashes."""

    def __init__(self, *, backends: Backends, report: ReportCrash) -> None:
        self._backends = backends
        self._report = report
        self.on_answered: Callable[[Sequence[str], float], None] = (
            lambda features, began_at: None
        )
        """Called with the features of an answered request, and when it began."""
        self._servers: dict[str, _WatchedServer] = {}
        self._answered: OrderedDict[str, float] = OrderedDict()
        self._proven: dict[tuple[str, str], float] = {}

    def enter(self, request: ActiveRequest, link: BackendLink) -> None:
        """Record that a request is sent to a backend server."""
        server = self._servers.get(link.name)
        if server is None:
            server = self._servers[link.name] = _WatchedServer(link)
        server.active.add(request)

    def leave(
        self, request: ActiveRequest, link: BackendLink, departure: Departure
    ) -> None:
        """Record how a request left; later calls for the same one are ignored."""
        server = self._servers.get(link.name)
        if server is None or request not in server.active:
            return
        server.active.discard(request)
        if departure in (Departure.ANSWERED, Departure.FAILED):
            self._record_response(request, link, departure)
        elif departure is not Departure.NEVER_SENT:
            server.departed.append(request.trace())
        is_lost = departure is Departure.LOST and not request.is_cancelled
        if is_lost and self._may_have_crashed(server):
            server.broke_at = now()
            server.check = asyncio.ensure_future(self._check(server))

    def find_answered(self, feature: str) -> float:
        """Return when the newest answered response with a feature began."""
        return self._answered.get(feature, NEVER)

    def cancel(self, entry: QuarantineEntry) -> None:
        """Cancel requests on all backend servers that may not have started them.

        If the entry is tentative, those that have started are left alone.
        """
        features = entry.features
        for server in self._servers.values():
            for request in list(server.active):
                trace = request.trace()
                if not features <= set(trace.features) or trace.is_older(now()):
                    continue
                if not entry.is_tentative or request.began_at is None:
                    request.cancel()

    def record_survivors(self) -> None:
        """Record requests whose servers still respond long after these began."""
        since = now() - FRESH_WINDOW_S
        for server in self._servers.values():
            for request in server.active:
                began_at = request.began_at
                if began_at is None or began_at > since or request.has_survived:
                    continue
                if server.link.received_at > began_at + FRESH_WINDOW_S:
                    request.has_survived = True
                    self._record_answered(request.trace().features, began_at)

    def prune(self) -> None:
        """Drop removed servers that have no active requests."""
        for name, server in list(self._servers.items()):
            is_finished = not server.active and server.is_check_done
            if is_finished and not self._backends.is_listed(server.link):
                del self._servers[name]

    def close(self) -> None:
        """Cancel all running checks."""
        for server in self._servers.values():
            if server.check is not None:
                server.check.cancel()

    def _record_response(
        self, request: ActiveRequest, link: BackendLink, departure: Departure
    ) -> None:
        self._proven[(link.record.service, link.record.version)] = now()
        if departure is Departure.ANSWERED and request.began_at is not None:
            self._record_answered(request.trace().features, request.began_at)

    def _record_answered(self, features: Sequence[str], began_at: float) -> None:
        for feature in features:
            if began_at > self.find_answered(feature):
                self._answered[feature] = began_at
                self._answered.move_to_end(feature)
        while len(self._answered) > MAX_ANSWERED:
            self._answered.popitem(last=False)
        self.on_answered(features, began_at)

    def _may_have_crashed(self, server: _WatchedServer) -> bool:
        # A planned shutdown closes the connections as well.
        is_planned = server.link.record.leaving
        is_listed = self._backends.is_listed(server.link)
        return server.is_check_done and not is_planned and is_listed

    async def _check(self, server: _WatchedServer) -> None:
        if await self._has_terminated(server):
            await asyncio.sleep(GATHER_DELAY_S)
            self._report_termination(server)

    async def _has_terminated(self, server: _WatchedServer) -> bool:
        """Return whether nothing listens at a server's address any more."""
        link = server.link
        deadline = now() + MAX_CHECK_S
        delay_s = CHECK_DELAY_S
        while now() < deadline:
            await asyncio.sleep(delay_s)
            listening = await link.pool.probe()
            if link.record.leaving:
                return False
            if link.is_replaced or listening is Listening.NO:
                return True
            if listening is Listening.YES:
                return False
            if not self._backends.is_listed(link):
                return True
            delay_s = RECHECK_INTERVAL_S
        return False

    def _report_termination(self, server: _WatchedServer) -> None:
        candidates = self._collect_candidates(server)
        record = server.link.record
        proven_at = self._proven.get((record.service, record.version), -1e9)
        crash = self._make_report(server, candidates, now() - proven_at)
        ids = [trace.request_id for trace in candidates]
        parts = Counter(part for trace in candidates for part in trace.parts)
        log_event(
            "backend_crashed",
            level="warning",
            backend=record.id,
            service=record.service,
            version=record.version,
            version_proven=crash.is_proven,
            requests=",".join(ids[:MAX_LOGGED_REQUESTS]),
            fresh=len(crash.fresh),
            older=len(crash.older),
            fingerprints=",".join(crash.fresh[:MAX_LOGGED_REQUESTS]),
            parts=",".join(part for part, _ in parts.most_common(MAX_LOGGED_PARTS)),
        )
        self._report(crash)

    def _make_report(
        self, server: _WatchedServer, candidates: list[RequestTrace], proven_s: float
    ) -> Crash:
        record = server.link.record
        broke_at = server.broke_at
        fresh: dict[str, RequestTrace] = {}
        older: dict[str, RequestTrace] = {}
        for trace in candidates:
            group = older if trace.is_older(broke_at) else fresh
            group[trace.fingerprint] = trace
        for fingerprint in fresh:
            older.pop(fingerprint, None)
        traces = [*sorted(fresh.values(), key=_get_fingerprint)]
        traces += sorted(older.values(), key=_get_fingerprint)
        parts = list(dict.fromkeys(part for trace in traces for part in trace.parts))
        positions = {part: n for n, part in enumerate(parts[:MAX_REPORTED_PARTS])}
        timestamp = now()
        answered = {
            feature: timestamp - self.find_answered(feature)
            for feature in (*fresh, *older, *positions)
            if feature in self._answered
        }
        return Crash(
            backend=server.link.name,
            service=record.service,
            version=record.version,
            is_proven=proven_s < PROVEN_WINDOW_S,
            fresh=[trace.fingerprint for trace in traces[: len(fresh)]],
            older=[trace.fingerprint for trace in traces[len(fresh) :]],
            age_s=timestamp - broke_at,
            parts=list(positions),
            requests=[
                CrashedRequest(
                    sent_s=round(broke_at - trace.sent_at, 4),
                    parts=[
                        positions[part] for part in trace.parts if part in positions
                    ],
                )
                for trace in traces
            ],
            answered=answered,
        )

    def _collect_candidates(self, server: _WatchedServer) -> list[RequestTrace]:
        """Return requests that may have crashed a server, and drop the departed."""
        candidates = [
            trace for trace in server.departed if trace.was_present(server.broke_at)
        ]
        candidates += [request.trace() for request in server.active]
        server.departed.clear()
        return candidates


def _get_fingerprint(trace: RequestTrace) -> str:
    return trace.fingerprint
