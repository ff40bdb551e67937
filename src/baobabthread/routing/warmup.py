"""Backend servers that are cold after a start, and what each instance may send there.

A cold server bears few requests a second from all instances together and crashes under
more. Instances can't agree on each request, so each one sends in windows of its own
whose beginnings fall at random: what arrives in any second is then a random number with
a known mean, also at instances that reach nobody.
"""

from __future__ import annotations

import functools
import math
from collections.abc import Iterable

from baobabthread.core.requests.attempts import draw

MAX_WARMUP_S = 30.0
"""Longest time that a server is believed to stay cold: ten times the usual. A wrong
figure would otherwise keep it out of use for good."""
MIN_REPORTED_RISE_S = 0.5
"""Rise of the time left that is worth telling: the same word arrives a little later
by way of others."""
SEND_WINDOW_S = 0.25
"""Length of a window. What was not sent in it is not made up for: instances that saved
up would all send when a burst comes."""
OVERRUN_PROBABILITY = 1e-6
"""Chance that a second holds more requests than the bound, if all send all they may."""
MEMBER_RETENTION_S = 7200.0
"""Time for which a member counts that nobody hears of: areas lose each other for an
hour now and then, and each side would take what the other one sends for its own."""
ASSUMED_MEMBERS = 400
"""Members that an instance reckons with until it has met the others: as many as the
largest deployment that is planned has."""
DISCOVERY_S = 1.0
"""Time since the last new member after which all are met: a member that answers tells
of all that it knows."""


class ColdServers:
    """Know which starts of backend servers are cold, and for how much longer."""

    __slots__ = ("_until",)

    def __init__(self) -> None:
        self._until: dict[str, float] = {}

    def record(self, name: str, left_s: float, now: float) -> bool:
        """Note that a start is cold for so long; return whether that is news."""
        left_s = min(left_s, MAX_WARMUP_S)
        if left_s <= 0.0:
            return False
        before = self._until.get(name, now)
        # Never shortened: a record that was written before it turned cold again may
        # arrive later than the one that says so.
        self._until[name] = max(before, now + left_s)
        return now + left_s > max(before, now) + MIN_REPORTED_RISE_S or before <= now

    def left_s(self, name: str, now: float) -> float:
        """Return how much longer a start is cold; 0 where it isn't."""
        return max(0.0, self._until.get(name, now) - now)

    def names(self) -> list[str]:
        """Return the starts that were cold when they were last looked at."""
        return list(self._until)

    def drop_warm(self, now: float) -> list[str]:
        """Forget those that are warm by now and return them."""
        warm = [name for name, until in self._until.items() if until <= now]
        for name in warm:
            del self._until[name]
        return warm


class SenderCount:
    """Count the instances that may send, also those that are silent or unknown."""

    __slots__ = ("_grown_at", "_is_discovered", "_last_seen")

    def __init__(self) -> None:
        self._last_seen: dict[str, float] = {}
        self._grown_at: float | None = None
        self._is_discovered = False

    def record(self, names: Iterable[str], now: float) -> None:
        """Note which members are known now, in any state."""
        before = len(self._last_seen)
        for name in names:
            self._last_seen[name] = now
        if len(self._last_seen) > before:
            self._grown_at = now
            self._forget_silent(now)

    def count(self, now: float) -> int:
        """Return how many instances to reckon with."""
        # Failure: all start at once and each one takes itself for the only member. The
        # servers that start with them would get the whole rate from each.
        if not self._is_discovered and self._grown_at is not None:
            self._is_discovered = now - self._grown_at >= DISCOVERY_S
        return (
            len(self._last_seen)
            if self._is_discovered
            else max(ASSUMED_MEMBERS, len(self._last_seen))
        )

    def _forget_silent(self, now: float) -> None:
        recent = now - MEMBER_RETENTION_S
        self._last_seen = {
            name: at for name, at in self._last_seen.items() if at > recent
        }


class SendWindows:
    """Tell when this instance may send one request to a cold server."""

    __slots__ = ("_me", "_used")

    def __init__(self, *, me: str) -> None:
        self._me = me
        self._used: dict[str, int] = {}

    def is_open(self, name: str, interval_s: float, now: float) -> bool:
        """Tell whether a request may go there now."""
        number, passed_s = self._locate(name, interval_s, now)
        return (
            passed_s < min(SEND_WINDOW_S, interval_s) and self._used.get(name) != number
        )

    def mark_used(self, name: str, interval_s: float, now: float) -> None:
        """Note that the request of this window was sent."""
        self._used[name], _ = self._locate(name, interval_s, now)

    def forget(self, name: str) -> None:
        """Forget a server that is warm or gone."""
        self._used.pop(name, None)

    def _locate(self, name: str, interval_s: float, now: float) -> tuple[int, float]:
        """Return the number of the present window and the time since it began."""
        # Drawn from both names: windows of one instance at many servers, and of many
        # instances at one, begin at unlike times without a word among them.
        position = now - draw(self._me, name) * interval_s
        number = math.floor(position / interval_s)
        return number, position - number * interval_s


def compute_interval_s(*, max_per_s: float, members: int) -> float:
    """Return the time between two windows of one instance at one cold server.

    `most` are the requests that the server may get in any second from all members.
    """
    return members / compute_window_rate(max_per_s)


@functools.lru_cache
def compute_window_rate(max_per_s: float) -> float:
    """Return the windows a second, of all members, that keep a server's bound.

    A second touches the windows that begin in it or up to a window's length before.
    """
    return _find_poisson_mean(math.floor(max_per_s)) / (1.0 + SEND_WINDOW_S)


def _find_poisson_mean(limit: int) -> float:
    """Return the mean of a Poisson draw that exceeds a number as seldom as allowed."""
    low, high = 0.0, float(max(1, limit))
    for _ in range(50):
        middle = (low + high) / 2.0
        if _poisson_tail(middle, limit) > OVERRUN_PROBABILITY:
            high = middle
        else:
            low = middle
    return max(low, 1e-3)


def _poisson_tail(mean: float, limit: int) -> float:
    """Return the chance that a Poisson draw with a mean is above a number."""
    term = math.exp(-mean)
    for k in range(1, limit + 1):
        term *= mean / k
    # Summed from the tail: 1 less the sum of the rest would lose all digits.
    total = 0.0
    for k in range(limit + 1, limit + 200):
        term *= mean / k
        total += term
    return total
