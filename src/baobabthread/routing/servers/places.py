"""Places at brittle backend servers, which fall over when they have to reject.

A brittle server bears only few rejections for lack of room within a second. What is
there at the same time, from all instances, is therefore bounded by its capacity. One
instance, the owner of the server, grants each place until its request has ended.
"""

from __future__ import annotations

import math

import msgspec

from baobabthread.core.configuration.configuration import Priority
from baobabthread.routing.servers.serverlimits import END_RESPONSES
from baobabthread.routing.transit import SlidingWindow

TAKEOVER_S = 1.0
TAKEOVER_FRACTION = 0.5
"""Fraction of the capacity that a new owner grants at first, until it has been told of
the places that the previous one granted."""
TAKEOVER_RAMP_S = 0.1
"""Time over which this fraction is reached: requests of which a new owner doesn't know
end one by one."""
REGROWTH_FRACTION = 0.25
"""Places a second by which the room at a server grows again after it rejected, as a
fraction of the rejections that it bears: each place too many costs one."""
MAX_REGROWTH_PER_S = 1.0
MIN_REGROWTH_PER_S = 0.05
REJECTION_WINDOW_S = 1.0
"""Time within which a server bears the rejections that it states."""
ALARM_FRACTION = 0.5
"""Fraction of the rejections borne in a second from which on the room is lowered by
more than a place for each."""
PRIORITY_FRACTIONS = {
    Priority.URGENT: 1.0,
    Priority.INTERACTIVE: 0.95,
    Priority.BATCH: 0.85,
}
"""Fraction of the room that requests of a priority may fill: under overload the rest is
left for the more urgent ones."""
_RANKS = {priority: rank for rank, priority in enumerate(PRIORITY_FRACTIONS)}
MIN_RETRY_S = 0.01
MAX_RETRY_S = 1.0
ASKS_PER_PLACE = 4.0
"""Instances that ask again for each place that becomes free: enough to use all places,
and few enough for the owner."""
RATE_WINDOW_S = 1.0
"""Window over which places that became free are counted."""
OFFER_PAUSE_S = 1.0
"""Time after a rejection, or with a new owner, in which no waiting request is granted a
place: that of a rejected request is free at once though the server is full."""
CHECK_FACTOR = 3.0
"""Multiple of the usual time for which a place is held after which its holder is asked
whether it still is: the report of its end may be lost."""
MIN_CHECK_S = 0.06
USUAL_WEIGHT = 0.05
"""Weight of the latest place in the usual time."""
UNOWNED_FRACTION = 0.5
"""Fraction of the rejections that a server bears in a second that requests sent without
its owner may cause, if all of them are rejected."""

MIN_UNOWNED_PER_S = 0.5
"""Such requests at least, without which a lost owner would stop all of them."""


class StatedBrittleness(msgspec.Struct, frozen=True, kw_only=True):
    """What a backend server states in a response if it is brittle."""

    rejections: float | None
    """Rejections within a second that it bears; None if that is not readable."""


class _Entry(msgspec.Struct):
    rejections: float
    stated_at: float
    missing: int = 0
    """Number of newer responses that did not state it."""


class BrittleServices:
    """Services whose backend servers state that they are brittle."""

    __slots__ = ("_entries",)

    def __init__(self) -> None:
        self._entries: dict[str, _Entry] = {}

    def find(self, service: str) -> float | None:
        """Return the rejections that its servers bear; None if it isn't brittle."""
        entry = self._entries.get(service)
        return None if entry is None else entry.rejections

    def __len__(self) -> int:
        return len(self._entries)

    def record(
        self,
        service: str,
        stated: StatedBrittleness | None,
        *,
        sent_at: float,
        now: float,
    ) -> bool:
        """Record what a response states; return whether the service's state changed.

        `sent_at` is when its request was sent: an older response ends nothing.
        """
        entry = self._entries.get(service)
        if stated is None:
            return entry is not None and self._record_missing(service, entry, sent_at)
        rejections = max(0.0, stated.rejections or 0.0)
        if entry is None:
            self._entries[service] = _Entry(rejections=rejections, stated_at=now)
            return True
        entry.missing = 0
        entry.stated_at = now
        has_changed = stated.rejections is not None and entry.rejections != rejections
        if has_changed:
            entry.rejections = rejections
        return has_changed

    def _record_missing(self, service: str, entry: _Entry, sent_at: float) -> bool:
        if sent_at < entry.stated_at:
            return False
        entry.missing += 1
        if entry.missing < END_RESPONSES:
            return False
        del self._entries[service]
        return True


class _Held(msgspec.Struct):
    ends_at: float
    """Until when the place is held at most."""
    since: float
    check_at: float


class WaitingRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A denied request that gets a place if one becomes free soon."""

    holder: str
    number: int
    capacity: int
    priority: Priority
    ends_at: float
    until: float


class PlaceLedger:
    """Places granted at one brittle server, kept by its owner."""

    __slots__ = (
        "_denied",
        "_freed",
        "_held",
        "_lowered_at",
        "_owned_since",
        "_regrowth_per_s",
        "_rejected_at",
        "_room",
        "_usual_s",
        "_waiting",
    )

    def __init__(self, *, owned_since: float) -> None:
        self._owned_since = owned_since
        self._held: dict[tuple[str, int], _Held] = {}
        """Places by instance and its number."""
        self._waiting: list[WaitingRequest] = []
        """Denied requests, the next one to get a place first."""
        self._usual_s = math.inf
        """Time for which a place is usually held; infinite while it is unknown."""
        self._room = math.inf
        """Room that the server's last rejection showed."""
        self._lowered_at = -math.inf
        self._rejected_at: list[float] = []
        """When the server rejected requests within the last second."""
        self._regrowth_per_s = MIN_REGROWTH_PER_S
        self._freed = SlidingWindow(length_s=RATE_WINDOW_S)
        self._denied: dict[str, float] = {}
        """When an instance was denied a place most recently."""

    @property
    def held(self) -> int:
        """Number of places that are granted and have not ended."""
        return len(self._held)

    def compute_room(self, capacity: int, now: float) -> float:
        """Return how many places may be held at a server with this capacity."""
        regrown = self._room + self._regrowth_per_s * (now - self._lowered_at)
        room = min(float(capacity), regrown)
        age_s = now - self._owned_since
        if age_s < TAKEOVER_S:
            room *= TAKEOVER_FRACTION * min(1.0, age_s / TAKEOVER_RAMP_S)
        return max(1.0, room)

    def request(
        self,
        holder: str,
        number: int,
        *,
        capacity: int,
        priority: Priority,
        ends_at: float,
        now: float,
    ) -> float | None:
        """Grant a place and return None, or return when to ask again, in seconds."""
        self._expire(now)
        if self._has_room(capacity, priority, now):
            self.hold(holder, number, ends_at, now)
            return None
        self._denied[holder] = now
        return self._find_retry_after(now)

    def _has_room(self, capacity: int, priority: Priority, now: float) -> bool:
        room = self.compute_room(capacity, now)
        return self.held < math.ceil(room * PRIORITY_FRACTIONS[priority])

    def wait(self, request: WaitingRequest, now: float) -> bool:
        """Let a denied request wait; return whether it may soon get a place.

        No more wait than get one in this time, the more urgent ones first.
        """
        self._expire(now)
        waiting = [*self._waiting, request]
        waiting.sort(key=lambda each: _RANKS[each.priority])
        freed = self._compute_freed_rate(now) * (request.until - now)
        self._waiting = waiting[: math.ceil(freed)]
        return request in self._waiting

    def grant_waiting(self, now: float) -> list[WaitingRequest]:
        """Grant free places to waiting requests and return these."""
        self._expire(now)
        granted: list[WaitingRequest] = []
        if now - max(self._owned_since, self._lowered_at) < OFFER_PAUSE_S:
            return granted
        for request in self._waiting:
            if self._has_room(request.capacity, request.priority, now):
                self.hold(request.holder, request.number, request.ends_at, now)
                granted.append(request)
        self._waiting = [each for each in self._waiting if each not in granted]
        return granted

    def forget_waiting(self) -> None:
        """Let all waiting requests ask again."""
        self._waiting.clear()

    def list_overdue(self, now: float) -> list[tuple[str, int]]:
        """Return the places held for unusually long, for which to ask their holders.

        Each is returned again only after twice the time.
        """
        overdue = [key for key, held in self._held.items() if held.check_at <= now]
        for key in overdue:
            held = self._held[key]
            held.check_at = now + max(MIN_CHECK_S, now - held.since)
        return overdue

    def _find_retry_after(self, now: float) -> float:
        """Return when a denied instance may ask again, by how many were denied."""
        denied = {
            name: at for name, at in self._denied.items() if now - at < RATE_WINDOW_S
        }
        self._denied = denied
        spread_s = len(denied) / (ASKS_PER_PLACE * self._compute_freed_rate(now))
        return min(MAX_RETRY_S, max(MIN_RETRY_S, spread_s))

    def _compute_freed_rate(self, now: float) -> float:
        """Return the number of places that become free a second, at least one."""
        self._freed.expire(now)
        return max(1.0, self._freed.total / RATE_WINDOW_S)

    def hold(self, holder: str, number: int, ends_at: float, now: float = 0.0) -> None:
        """Record a place that this owner or a previous one granted."""
        check_at = now + max(MIN_CHECK_S, CHECK_FACTOR * self._usual_s)
        self._held[holder, number] = _Held(ends_at, now, check_at)

    def end(self, holder: str, number: int, now: float) -> None:
        """End a place, or the wait of a request for one."""
        held = self._held.pop((holder, number), None)
        if held is None:
            key = (holder, number)
            self._waiting = [w for w in self._waiting if (w.holder, w.number) != key]
            return
        self._freed.add(now)
        held_s = now - held.since
        if math.isinf(self._usual_s):
            self._usual_s = held_s
        self._usual_s += USUAL_WEIGHT * (held_s - self._usual_s)

    def record_rejection(self, capacity: int, borne: float, now: float) -> None:
        """Lower the room after the server rejected a request for lack of it.

        `borne` is how many rejections within a second it bears.
        """
        room = min(self.compute_room(capacity, now), float(max(1, self.held)))
        self._rejected_at = [
            at for at in self._rejected_at if now - at < REJECTION_WINDOW_S
        ]
        self._rejected_at.append(now)
        recent = len(self._rejected_at)
        lowered_by = recent if recent > ALARM_FRACTION * borne else 1
        self._room = max(1.0, room - lowered_by)
        self._lowered_at = now
        self._regrowth_per_s = min(
            MAX_REGROWTH_PER_S, max(MIN_REGROWTH_PER_S, REGROWTH_FRACTION * borne)
        )

    def _expire(self, now: float) -> None:
        for key in [key for key, held in self._held.items() if held.ends_at < now]:
            del self._held[key]
        self._waiting = [each for each in self._waiting if each.until > now]


def compute_unowned_rate(rejections: float) -> float:
    """Return the requests a second that instances may send without the owner."""
    return max(MIN_UNOWNED_PER_S, UNOWNED_FRACTION * rejections)
