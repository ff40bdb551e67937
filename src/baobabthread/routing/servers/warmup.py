"""Warm-up of backend servers, and the requests that each instance may send meanwhile.

After a start, a cold server can serve few requests a second from all instances together
and crashes under more. Instances can't coordinate on each request. Instead, each one
sends in its own windows, which start at random times: the number of requests in any
second is then random with a known mean, even if instances are partitioned.
"""

from __future__ import annotations

import functools
import math
from collections.abc import Iterable

from baobabthread.core.requests.attempts import draw

MAX_WARMUP_S = 30.0
"""Upper bound on the warm-up time of a server, ten times the usual one. A wrong value
would otherwise keep the server out of use indefinitely."""
MIN_REPORTED_RISE_S = 0.5
"""Increase of the remaining time that is reported to peers. Smaller ones come from the
same report arriving again, a little later, by way of other instances."""
SEND_WINDOW_S = 0.25
"""Length of a window. A request not sent in its window is not made up for: otherwise
all instances would send their saved requests when a burst comes."""
OVERRUN_PROBABILITY = 1e-6
"""Probability that the requests in a second exceed the bound if all instances use every
window."""
MAX_POISSON_LIMIT = 500
"""Bound above which the windows are not made more frequent: the exponential of larger
means underflows."""
MEMBER_RETENTION_S = 7200.0
"""Time for which a silent member is still counted. Regions are occasionally partitioned
for an hour, and each side would otherwise use the other side's share as well."""
ASSUMED_MEMBERS = 400
"""Number of members assumed until discovery is complete: that of the largest planned
deployment."""
DISCOVERY_S = 1.0
"""Time without a new member after which discovery is complete; a member that answers
names all members that it knows."""


class ColdServers:
    """Backend servers that are cold, by incarnation, and until when."""

    __slots__ = ("_until",)

    def __init__(self) -> None:
        self._until: dict[str, float] = {}

    def record(self, name: str, left_s: float, now: float) -> bool:
        """Record the remaining warm-up time; return whether it should be reported."""
        left_s = min(left_s, MAX_WARMUP_S)
        if left_s <= 0.0:
            return False
        before = self._until.get(name, now)
        # Never shortened: a record written before the server became cold again may
        # arrive after the one that reports it.
        self._until[name] = max(before, now + left_s)
        return now + left_s > max(before, now) + MIN_REPORTED_RISE_S or before <= now

    def left_s(self, name: str, now: float) -> float:
        """Return the remaining warm-up time; 0 if the server is warm."""
        return max(0.0, self._until.get(name, now) - now)

    def names(self) -> list[str]:
        """Return the incarnations not yet dropped as warm."""
        return list(self._until)

    def drop_warm(self, now: float) -> list[str]:
        """Drop the servers that are warm by now and return them."""
        warm = [name for name, until in self._until.items() if until <= now]
        for name in warm:
            del self._until[name]
        return warm


class SenderCount:
    """Number of instances that may send, including silent and undiscovered ones."""

    __slots__ = ("_grown_at", "_is_discovered", "_last_seen")

    def __init__(self) -> None:
        self._last_seen: dict[str, float] = {}
        self._grown_at: float | None = None
        self._is_discovered = False

    def record(self, names: Iterable[str], now: float) -> None:
        """Record the members currently known, in any state."""
        before = len(self._last_seen)
        for name in names:
            self._last_seen[name] = now
        if len(self._last_seen) > before:
            self._grown_at = now
            self._forget_silent(now)

    def count(self, now: float) -> int:
        """Return how many instances to assume."""
        # When all instances start at once, each one sees only itself. Without the
        # assumed minimum, cold servers would get the whole rate from each of them.
        if not self._is_discovered and self._grown_at is not None:
            self._is_discovered = now - self._grown_at >= DISCOVERY_S
        return (
            len(self._last_seen)
            if self._is_discovered
            else max(ASSUMED_MEMBERS, len(self._last_seen))
        )

    @property
    def seen(self) -> int:
        """Number of instances that are or were members, without any assumed."""
        return len(self._last_seen)

    def _forget_silent(self, now: float) -> None:
        recent = now - MEMBER_RETENTION_S
        self._last_seen = {
            name: at for name, at in self._last_seen.items() if at > recent
        }


class SendWindows:
    """Windows in which this instance may send one request to a cold server."""

    __slots__ = ("_me", "_used")

    def __init__(self, *, me: str) -> None:
        self._me = me
        self._used: dict[str, int] = {}

    def is_open(self, name: str, interval_s: float, now: float) -> bool:
        """Return whether a request may be sent to a server now."""
        number, passed_s = self._locate(name, interval_s, now)
        return (
            passed_s < min(SEND_WINDOW_S, interval_s) and self._used.get(name) != number
        )

    def mark_used(self, name: str, interval_s: float, now: float) -> None:
        """Record that the request of the current window was sent."""
        self._used[name], _ = self._locate(name, interval_s, now)

    def forget(self, name: str) -> None:
        """Drop the state of a server that is warm or removed."""
        self._used.pop(name, None)

    def _locate(self, name: str, interval_s: float, now: float) -> tuple[int, float]:
        """Return the number of the current window and the time since its start."""
        # The phase is derived from both names, so that windows start at different times
        # for each pair of instance and server without coordination.
        position = now - draw(self._me, name) * interval_s
        number = math.floor(position / interval_s)
        return number, position - number * interval_s


def compute_interval_s(
    *, max_requests: float, members: int, period_s: float = 1.0
) -> float:
    """Return the time between two windows of one instance for one server.

    `max_requests` is how many requests the server may get in any period from all
    members.
    """
    return members / compute_window_rate(max_requests, period_s)


@functools.lru_cache
def compute_window_rate(max_requests: float, period_s: float = 1.0) -> float:
    """Return the windows per second, of all members, at which a server's bound holds.

    A period overlaps the windows that start in it or up to a window's length before.
    """
    limit = math.floor(min(max_requests, MAX_POISSON_LIMIT))
    return _find_poisson_mean(limit) / (period_s + SEND_WINDOW_S)


def _find_poisson_mean(limit: int) -> float:
    """Return the Poisson mean at which `limit` is exceeded with allowed probability."""
    low, high = 0.0, float(max(1, limit))
    for _ in range(50):
        middle = (low + high) / 2.0
        if _poisson_tail(middle, limit) > OVERRUN_PROBABILITY:
            high = middle
        else:
            low = middle
    return max(low, 1e-3)


def _poisson_tail(mean: float, limit: int) -> float:
    """Return the probability that a Poisson variable exceeds `limit`."""
    term = math.exp(-mean)
    for k in range(1, limit + 1):
        term *= mean / k
    # The tail is summed directly: one minus the rest would lose all precision.
    total = 0.0
    for k in range(limit + 1, limit + 200):
        term *= mean / k
        total += term
    return total
