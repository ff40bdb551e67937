"""How many requests a version on trial may get from all instances together.

The bound is a sum over the whole time of a roll-out. What can be sent anywhere, such as
a request without a session, is a part of what each instance sends itself. Sessions stay
where they are, so that the sum is kept where they are let in: by the instance that
leads, from what all have sent. The rest is set aside for the end, when the new version
takes all that is left of the time.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable

import msgspec

from baobabthread.routing.bounds import RoutingBounds

MAX_CANARY_FRACTION = 0.6
MIN_CANARY_FRACTION = 0.15
"""Most and least of the bound by which requests are chosen for the trial."""
CANARY_MARGIN = 0.85
"""Part of what the end of a roll-out leaves over that the trial is planned with."""
MIN_FINAL_PHASE_S = 0.85
"""Time that the end of a roll-out takes at least: answers under the whole load are to
be seen before the old version is stopped."""
ADMISSION_FACTOR = 1.35
"""Times that share up to which further sessions may begin there."""
OVERDRAFT_FRACTION = 0.6
"""Part of the fixed bound that sessions on trial may use up before it is taken back."""
OVERDRAFT_RATE_FACTOR = 0.5
"""Part of the present rate of requests that is expected to go on until the limit."""
PLANNED_FRACTION = 0.93
"""Part of the bound that is planned for the trial and the end together."""
FINAL_RATE_FACTOR = 1.3
"""Times the present rate of requests that the end of a roll-out leaves room for."""
COMPLETION_RATE_FACTOR = 2.0
"""The same for the time in which nothing can be held back any more."""
COMPLETION_ATTEMPT_FACTOR = 1.75
"""The same for attempts, where requests are often asked again."""
FINAL_ATTEMPT_FACTOR = 1.1
"""Times the attempts to expect at the end, where whoever decides on sessions bounds
them besides."""
FINAL_BUDGET_FACTOR = 1.2
"""Times the requests to expect at the end that may be decided on."""
RATE_WINDOW_S = 4.0
"""Time over which the rate of requests is measured."""
BURST_RATE_WINDOW_S = 0.5
"""The same where a burst that has just begun must be seen."""
MAX_BURST_SHARE = 0.5
"""Share of the requests without a session that the trial takes at most in a burst."""
BURST_INTERVAL_S = 3.0
"""Time from one burst to the next."""
BURST_LOAD_FACTOR = 1.25
"""Times the load of a full share that a server on trial gets in a burst."""
SESSION_LOAD_FACTOR = 0.4
"""The same for sessions, whose prompts no server on trial has kept: each takes several
times the work of one that goes on where it was."""
INITIAL_CREDIT = 0.1
"""Part of a request with which an instance begins, so that its first one may go."""
EXTRA_FRACTION = 0.4
"""Part of the fixed bound that the end of a roll-out may use. Only the instance that
leads hands it out: two that both believe to lead are still below the bound."""


class Exposure(msgspec.Struct, frozen=True, kw_only=True):
    """Tell how many requests one instance has sent since an order."""

    requests: int = 0
    """Those that reached any version of the service, each once."""
    exposed: int = 0
    """Attempts at the version on trial."""
    attempts: int = 0
    """Attempts at any version."""

    def merge(self, other: Exposure) -> Exposure:
        """Return the larger of two counts of the same requests."""
        return Exposure(
            requests=max(self.requests, other.requests),
            exposed=max(self.exposed, other.exposed),
            attempts=max(self.attempts, other.attempts),
        )


def find_canary_share(bounds: RoutingBounds, time_limit_s: float) -> float:
    """Return the share of the requests that a version gets while it is on trial."""
    final_share = (
        FINAL_RATE_FACTOR * MIN_FINAL_PHASE_S / max(MIN_FINAL_PHASE_S, time_limit_s)
    )
    share = CANARY_MARGIN * (PLANNED_FRACTION * bounds.exposure_share - final_share)
    min_share = MIN_CANARY_FRACTION * bounds.exposure_share
    return max(min_share, min(MAX_CANARY_FRACTION * bounds.exposure_share, share))


class ExposureBudget:
    """Count what goes to a version on trial against what goes to its service.

    What is earned by a request is spent by the same instance, so that the sum holds
    with any number of instances, cut off, alone or just started.
    """

    __slots__ = ("_attempts", "_exposed", "_final_limit", "_requests", "_reserved")

    def __init__(self) -> None:
        self._requests = 0
        self._attempts = 0
        self._exposed = 0
        self._reserved = 0
        self._final_limit: float | None = None

    def count_request(self) -> None:
        """Note a request that reached a backend server of the service."""
        self._requests += 1

    def count_attempt(self) -> None:
        """Note an attempt that reached a backend server of the service."""
        self._attempts += 1

    def try_reserve(self, share: float) -> bool:
        """Take one out of a share of the requests; return whether there was one."""
        if self._exposed + self._reserved >= self._limit(share):
            return False
        self.reserve()
        return True

    def reserve(self) -> None:
        """Note an attempt that is about to be sent, whatever the budget."""
        self._reserved += 1

    def release(self) -> None:
        """Give back what an attempt that was never sent has taken."""
        self._reserved -= 1

    def spend(self) -> None:
        """Note that an attempt has reached the version on trial."""
        self._reserved -= 1
        self._exposed += 1

    def begin_final_phase(self, requests: float) -> None:
        """Let about so many more go there: the version takes over all that is left."""
        if self._final_limit is None:
            final_requests = FINAL_RATE_FACTOR * requests + math.sqrt(requests) + 1.0
            self._final_limit = self._exposed + self._reserved + final_requests

    def report(self) -> Exposure:
        """Return what was counted, for the one that leads the roll-out."""
        return Exposure(
            requests=self._requests, exposed=self._exposed, attempts=self._attempts
        )

    def _limit(self, share: float) -> float:
        if self._final_limit is not None:
            return self._final_limit
        return INITIAL_CREDIT + share * self._requests


class FinalPhaseBudget:
    """Count what one instance decides on while a version takes over."""

    __slots__ = ("_spent", "quota")

    def __init__(self, *, quota: float | None = None) -> None:
        self.quota = quota
        """Requests that may be decided on; None where nothing bounds them."""
        self._spent = 0

    def has_remaining(self, drawn: float) -> bool:
        """Tell whether one more may go there.

        `drawn` is a random number from 0 to 1: it rounds the part up or down, so that
        the sum over all instances holds.
        """
        return self.quota is None or self._spent + drawn < self.quota

    def spend(self) -> None:
        """Note one that goes there."""
        self._spent += 1


class Bursts:
    """Put the trial's requests on few servers, close to each other.

    Spread thinly over all servers, a small share never meets another request there, and
    a version that fails under load passes its trial.
    """

    __slots__ = ("_canary_share", "burst_servers", "session_servers", "share")

    def __init__(self, *, canary_share: float, servers: int) -> None:
        self._canary_share = canary_share
        self.burst_servers = max(
            1, math.ceil(canary_share * servers / BURST_LOAD_FACTOR)
        )
        """Servers of the new version that take the bursts."""
        self.session_servers = max(
            1, math.ceil(canary_share * servers / SESSION_LOAD_FACTOR)
        )
        """Servers of it that take the sessions on trial."""
        load = BURST_LOAD_FACTOR * self.burst_servers / max(1, servers)
        self.share = max(canary_share, min(MAX_BURST_SHARE, load))

    def is_active(self, elapsed_s: float) -> bool:
        """Tell whether a burst runs so many seconds after the order."""
        return (
            elapsed_s % BURST_INTERVAL_S
            < BURST_INTERVAL_S * self._canary_share / self.share
        )


class Rate:
    """Measure a rate from a count that grows."""

    __slots__ = ("_samples", "_window_s")

    def __init__(self, *, window_s: float = RATE_WINDOW_S) -> None:
        self._window_s = window_s
        self._samples: deque[tuple[float, int]] = deque()

    def record(self, count: int, now: float) -> None:
        """Note the count as it is now."""
        self._samples.append((now, count))
        while len(self._samples) > 2 and now - self._samples[1][0] >= self._window_s:
            self._samples.popleft()

    def per_s(self) -> float:
        """Return how much the count grows in a second."""
        if len(self._samples) < 2:
            return 0.0
        (started_at, first), (ended_at, last) = self._samples[0], self._samples[-1]
        return (last - first) / max(ended_at - started_at, 0.1)


class ExposureTotals:
    """Add up what all instances have sent since an order, for the one that leads."""

    __slots__ = ("_bounds", "_burst_rate", "_rate", "total")

    def __init__(self, *, bounds: RoutingBounds) -> None:
        self._bounds = bounds
        self._rate = Rate()
        self._burst_rate = Rate(window_s=BURST_RATE_WINDOW_S)
        self.total = Exposure()

    def record(
        self, counts: Iterable[Exposure], now: float, *, known: Exposure | None = None
    ) -> None:
        """Take in the newest word of each instance, this one included.

        Whoever begins to lead has not heard all: `known` is what others have added up.
        """
        reports = list(counts)
        total = Exposure(
            requests=sum(word.requests for word in reports),
            exposed=sum(word.exposed for word in reports),
            attempts=sum(word.attempts for word in reports),
        )
        self.total = total.merge(known) if known is not None else total
        self._rate.record(self.total.requests, now)
        self._burst_rate.record(self.total.requests, now)

    def per_s(self, elapsed_s: float) -> float:
        """Return the rate of requests to expect, so many seconds after the order."""
        # A lull, such as a loss of most instances, is no reason to expect few.
        average = self.total.requests / max(1.0, elapsed_s)
        return max(self._rate.per_s(), average)

    def may_promote(self, *, elapsed_s: float, left_s: float) -> bool:
        """Tell whether the version may get everything for what is left of its time."""
        expected = self._final_factor * self.per_s(elapsed_s) * left_s
        return left_s > 0.0 and self._fits(expected, PLANNED_FRACTION)

    def find_final_budget(self, *, elapsed_s: float, left_s: float) -> float:
        """Return the requests that may be decided on until the limit, by all."""
        return FINAL_BUDGET_FACTOR * self.per_s(elapsed_s) * left_s

    def may_admit(
        self, *, elapsed_s: float, left_s: float, canary_share: float
    ) -> bool:
        """Tell whether one more session may begin on the version on trial.

        Sessions that are let in stay there: the end must still fit after them.
        """
        per_s = self.per_s(elapsed_s)
        requests = self.total.requests + per_s * left_s
        final_requests = self._final_factor * MIN_FINAL_PHASE_S * per_s
        share = (self._find_limit(requests, PLANNED_FRACTION) - final_requests) / max(
            1.0, requests
        )
        share = max(MIN_CANARY_FRACTION * self._bounds.exposure_share, share)
        limit = min(ADMISSION_FACTOR * canary_share, share) * self.total.requests
        return self.total.exposed + 1.0 <= limit

    def is_overdrawn(self, *, elapsed_s: float, left_s: float) -> bool:
        """Tell whether sessions on trial take so much that the bound may not hold.

        One session may get a large part of all requests, and it is not moved back.
        """
        expected = OVERDRAFT_RATE_FACTOR * self.per_s(elapsed_s) * left_s
        limit = self._bounds.exposure_share * (self.total.requests + expected)
        limit += OVERDRAFT_FRACTION * self._bounds.exposure_extra
        return self.total.exposed > limit

    def may_complete(self, *, elapsed_s: float, left_s: float) -> bool:
        """Tell whether nothing has to be held back any more until the time limit."""
        per_s = max(self.per_s(elapsed_s), self._burst_rate.per_s())
        expected = (
            max(
                COMPLETION_RATE_FACTOR,
                COMPLETION_ATTEMPT_FACTOR * self._attempts_per_request,
            )
            * per_s
            * left_s
        )
        return left_s <= 0.0 or self._fits(expected, 1.0)

    def _fits(self, expected: float, fraction: float) -> bool:
        limit = self._find_limit(self.total.requests + expected, fraction)
        return self.total.exposed + expected <= limit

    def _find_limit(self, requests: float, fraction: float) -> float:
        limit = fraction * self._bounds.exposure_share * requests
        return limit + EXTRA_FRACTION * self._bounds.exposure_extra

    @property
    def _final_factor(self) -> float:
        """Give the attempts to reckon with at the end for each request expected."""
        return max(FINAL_RATE_FACTOR, FINAL_ATTEMPT_FACTOR * self._attempts_per_request)

    @property
    def _attempts_per_request(self) -> float:
        return self.total.attempts / max(1, self.total.requests)
