"""Limits that backend servers in need state, and the grants of requests to them.

A limit applies to the requests of all instances together. One instance, the owner of
the server, grants each request; word of a limit that ended reaches the others when they
ask for the next grant.
"""

from __future__ import annotations

import msgspec

from baobabthread.core.configuration.configuration import Priority
from baobabthread.routing.bounds import RoutingBounds
from baobabthread.routing.transit import BUCKET_S, Transit, TransitWindow

END_RESPONSES = 3
"""Consecutive responses without a limit that end one: a failure of the server may lack
the header, and without the limit all waiting requests would go there at once."""
MIN_RATE_PER_S = 0.5
"""Rate granted at least: only a response can tell that a server has recovered."""
MIN_BURST = 3.0
BURST_S = 0.2
"""Requests that may be granted at once after a pause: at least `MIN_BURST`, and those
of this time. Instances that were denied ask again only after a while."""
WINDOW_FACTOR = 1.25
"""Requests that may arrive within a window, as a multiple of what the limit allows.
More than one, as requests that wait for their response count, too."""
TAKEOVER_FACTOR = 0.5
"""Fraction of the limit that a new owner grants in its first window: until all
instances know of the change, some still ask the previous owner."""
DENIAL_WINDOW_S = 1.0
"""Window over which denied instances are counted, to spread when they ask again."""
ASKS_PER_GRANT = 1.5
"""Number of instances that ask per request that the server can take: enough to use its
whole limit, and few enough for its owner."""
MIN_RETRY_S = 0.05
MAX_RETRY_S = 10.0
PATIENCE_FRACTIONS = {
    Priority.URGENT: 1.0,
    Priority.INTERACTIVE: 0.5,
    Priority.BATCH: 0.25,
}
"""Fraction of the time for which a request could wait that its priority may use. Under
overload the more urgent ones keep the wait above what the others may use."""


class StatedLimit(msgspec.Struct, frozen=True, kw_only=True):
    """Limit that a backend server states in a response."""

    per_s: float | None
    """Requests per second from all instances together; None if it is not readable."""


class _Entry(msgspec.Struct):
    per_s: float
    stated_at: float
    """When the newest response with this limit, or word of it, was received."""
    told_at: float | None
    """When this instance itself received a response with a limit."""
    unlimited: int = 0
    """Number of newer responses without a limit since then."""


class StatedLimits:
    """Limits of backend servers by incarnation, as far as this instance knows."""

    __slots__ = ("_ended_at", "_entries")

    def __init__(self) -> None:
        self._entries: dict[str, _Entry] = {}
        self._ended_at: dict[str, float] = {}
        """When a request was sent whose response stated no limit any more."""

    def find(self, name: str) -> float | None:
        """Return a server's limit in requests per second, if it states one."""
        entry = self._entries.get(name)
        return None if entry is None else entry.per_s

    def list(self) -> dict[str, float]:
        """Return all limits in force."""
        return {name: entry.per_s for name, entry in self._entries.items()}

    def record(
        self, name: str, per_s: float | None, *, sent_at: float, now: float
    ) -> bool:
        """Record what a response states, None if nothing; return whether it changed.

        `sent_at` is when its request was sent.
        """
        entry = self._entries.get(name)
        # Responses arrive out of order. Only one whose request was sent after the limit
        # was last stated is certainly newer, and may end or raise it.
        is_newer = entry is None or sent_at >= entry.stated_at
        if per_s is None:
            return is_newer and self._record_unlimited(name, sent_at)
        if entry is None:
            self._entries[name] = _Entry(per_s=per_s, stated_at=now, told_at=now)
            return True
        entry.told_at = now
        entry.unlimited = 0
        if per_s > entry.per_s and not is_newer:
            return False
        has_changed = per_s != entry.per_s
        entry.per_s = per_s
        entry.stated_at = now
        return has_changed

    def _record_unlimited(self, name: str, sent_at: float) -> bool:
        entry = self._entries.get(name)
        if entry is None:
            return False
        entry.unlimited += 1
        return entry.unlimited >= END_RESPONSES and self.end(name, sent_at)

    def learn(self, name: str, per_s: float, *, told_at: float, now: float) -> bool:
        """Record the word of an instance that was told at a time; return if it is new.

        Word that is older than what is known here changes nothing.
        """
        if self.has_ended_since(name, told_at):
            return False
        entry = self._entries.get(name)
        if entry is None:
            self._entries[name] = _Entry(per_s=per_s, stated_at=now, told_at=None)
            return True
        if per_s >= entry.per_s or told_at <= entry.stated_at:
            return False
        entry.per_s = per_s
        entry.stated_at = now
        return True

    def adopt(self, name: str, per_s: float, now: float) -> bool:
        """Record the limit that a server's owner knows; return whether it changed."""
        entry = self._entries.get(name)
        if entry is None:
            return self.learn(name, per_s, told_at=now, now=now)
        has_changed = per_s != entry.per_s
        entry.per_s = per_s
        return has_changed

    def end(self, name: str, ended_at: float) -> bool:
        """End a limit; return whether there was one."""
        if self._entries.pop(name, None) is None:
            return False
        self._ended_at[name] = ended_at
        return True

    def told_age(self, name: str, now: float) -> float | None:
        """Return the time since a response stated a limit here; None if none did.

        Word of other instances doesn't count.
        """
        entry = self._entries.get(name)
        if entry is None or entry.told_at is None:
            return None
        return now - entry.told_at

    def has_ended_since(self, name: str, told_at: float) -> bool:
        """Return whether a limit that was stated at a time is known to have ended."""
        ended_at = self._ended_at.get(name)
        return ended_at is not None and told_at < ended_at

    def retain(self, names: set[str]) -> None:
        """Drop all servers except for these."""
        for known in (self._entries, self._ended_at):
            for name in [name for name in known if name not in names]:
                del known[name]


class Grant(msgspec.Struct, frozen=True, kw_only=True):
    """Permission to send one request after a time."""

    transit: Transit
    wait_s: float


class Denial(msgspec.Struct, frozen=True, kw_only=True):
    """Refusal to send a request, and when to ask again."""

    retry_after_s: float


class SendLedger:
    """Requests granted to one limited server, kept by its owner."""

    __slots__ = (
        "_bounds",
        "_denied",
        "_next_at",
        "_owned_since",
        "_sends",
    )

    def __init__(
        self, *, bounds: RoutingBounds, owned_since: float, now: float
    ) -> None:
        self._bounds = bounds
        self._owned_since = owned_since
        self._next_at = now
        """Time of the next request at an even rate."""
        self._sends = TransitWindow(length_s=bounds.limit_window_s + BUCKET_S)
        self._denied: dict[str, float] = {}
        """When an instance was denied a request most recently."""

    def request(
        self,
        per_s: float,
        *,
        asker: str,
        priority: Priority,
        patience_s: float,
        now: float,
    ) -> Grant | Denial:
        """Grant or deny one request to the server, which states a limit.

        `patience_s` is how long an urgent request could wait.
        """
        rate = self._compute_rate(per_s, now)
        interval_s = 1.0 / rate
        credit_s = max((MIN_BURST - 1.0) * interval_s, BURST_S)
        wait_s = max(0.0, self._next_at - credit_s - now)
        excess_s = wait_s - patience_s * PATIENCE_FRACTIONS[priority]
        is_full = self._sends.count(now) >= compute_owner_bound(per_s, self._bounds)
        if is_full or excess_s > 0.0:
            self._denied[asker] = now
            return Denial(retry_after_s=self._find_retry_after(excess_s, rate, now))
        self._next_at = max(self._next_at, now) + interval_s
        return Grant(transit=self._sends.start(), wait_s=wait_s)

    def _compute_rate(self, per_s: float, now: float) -> float:
        is_new = now - self._owned_since < self._bounds.limit_window_s
        return max(MIN_RATE_PER_S, per_s) * (TAKEOVER_FACTOR if is_new else 1.0)

    def _find_retry_after(self, excess_s: float, rate: float, now: float) -> float:
        denied = {
            name: at for name, at in self._denied.items() if now - at < DENIAL_WINDOW_S
        }
        self._denied = denied
        spread_s = len(denied) / (ASKS_PER_GRANT * rate)
        return min(MAX_RETRY_S, max(MIN_RETRY_S, excess_s, spread_s))


def compute_bound(per_s: float, bounds: RoutingBounds) -> float:
    """Return how many requests a limited server may get in one window."""
    return bounds.limit_factor * bounds.limit_window_s * per_s + bounds.limit_extra


def compute_owner_bound(per_s: float, bounds: RoutingBounds) -> float:
    """Return how many of them its owner may grant."""
    rate = max(MIN_RATE_PER_S, per_s)
    return min(
        WINDOW_FACTOR * bounds.limit_window_s * rate + MIN_BURST,
        compute_bound(per_s, bounds) - 1.0,
    )


def compute_unowned_bound(per_s: float, bounds: RoutingBounds) -> float:
    """Return how many of them instances may send that don't reach its owner."""
    return compute_bound(per_s, bounds) - compute_owner_bound(per_s, bounds)
