"""Budget for the requests that a canary version receives from all instances.

The bound applies to the sum over the whole roll-out. Requests without a session can go
anywhere, so each instance limits them to a share of its own requests. Sessions stay on
their version, so the leader limits them at admission, from the totals of all instances.
The rest is reserved for the final phase, in which the new version receives all requests
until the time limit.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable

import msgspec

from baobabthread.routing.bounds import RoutingBounds

MAX_CANARY_FRACTION = 0.6
MIN_CANARY_FRACTION = 0.15
"""Bounds of the canary share, as fractions of the exposure bound."""
CANARY_MARGIN = 0.85
"""Fraction of the budget left over by the final phase that the canary is sized for."""
MIN_FINAL_PHASE_S = 0.85
"""Minimum duration of the final phase: responses under full load must be observed
before the old version is stopped."""
ADMISSION_FACTOR = 1.35
"""Multiple of the canary share up to which further sessions are admitted."""
OVERDRAFT_FRACTION = 0.6
"""Fraction of `exposure_extra` that canary sessions may use before a rollback."""
OVERDRAFT_RATE_FACTOR = 0.5
"""Fraction of the current request rate that is expected until the time limit."""
PLANNED_FRACTION = 0.93
"""Fraction of the bound that is planned for the canary and the final phase together."""
FINAL_RATE_FACTOR = 1.3
"""Multiple of the current request rate that the final phase is planned for."""
COMPLETION_RATE_FACTOR = 2.0
"""The same after completion, when no request can be kept on the old version."""
COMPLETION_ATTEMPT_FACTOR = 1.75
"""The same in attempts, for services whose requests are often retried."""
FINAL_ATTEMPT_FACTOR = 1.1
"""Multiple of the attempts expected in the final phase, in which the owners of sessions
also bound them."""
FINAL_BUDGET_FACTOR = 1.2
"""Multiple of the requests expected in the final phase that may be admitted."""
RATE_WINDOW_S = 4.0
"""Window over which the request rate is measured."""
BURST_RATE_WINDOW_S = 0.5
"""The same, where a burst that has just begun must be noticed."""
MAX_BURST_SHARE = 0.5
"""Maximum share of the requests without a session that go to the canary in a burst."""
BURST_INTERVAL_S = 3.0
"""Time between the starts of two bursts."""
BURST_LOAD_FACTOR = 1.25
"""Load of a canary server in a burst, as a multiple of its load under all traffic."""
SESSION_LOAD_FACTOR = 0.4
"""The same for sessions. No canary server has their prompts cached, so each causes
several times the work of a session that stays where it was."""
INITIAL_CREDIT = 0.1
"""Fraction of a request that an instance starts with, so that its first may be sent."""
EXTRA_FRACTION = 0.4
"""Fraction of `exposure_extra` that the final phase may use. Only the leader grants it;
two instances that both consider themselves leader still stay within the bound."""


class Exposure(msgspec.Struct, frozen=True, kw_only=True):
    """Number of requests that one instance has sent since an order."""

    requests: int = 0
    """Requests that reached any version of the service, each counted once."""
    exposed: int = 0
    """Attempts on the canary version."""
    attempts: int = 0
    """Attempts on any version."""

    def merge(self, other: Exposure) -> Exposure:
        """Return the field-wise maximum of two counts of the same requests."""
        return Exposure(
            requests=max(self.requests, other.requests),
            exposed=max(self.exposed, other.exposed),
            attempts=max(self.attempts, other.attempts),
        )


def find_canary_share(bounds: RoutingBounds, time_limit_s: float) -> float:
    """Return the share of the requests that a canary version receives."""
    final_share = (
        FINAL_RATE_FACTOR * MIN_FINAL_PHASE_S / max(MIN_FINAL_PHASE_S, time_limit_s)
    )
    share = CANARY_MARGIN * (PLANNED_FRACTION * bounds.exposure_share - final_share)
    min_share = MIN_CANARY_FRACTION * bounds.exposure_share
    return max(min_share, min(MAX_CANARY_FRACTION * bounds.exposure_share, share))


class ExposureBudget:
    """Limits the attempts on a canary version by the requests to its service.

    Each instance spends only what its own requests earn, so the sum stays within the
    bound for any number of instances, whether partitioned, isolated or just started.
    """

    __slots__ = ("_attempts", "_exposed", "_final_limit", "_requests", "_reserved")

    def __init__(self) -> None:
        self._requests = 0
        self._attempts = 0
        self._exposed = 0
        self._reserved = 0
        self._final_limit: float | None = None

    def count_request(self) -> None:
        """Count a request that reached a backend server of the service."""
        self._requests += 1

    def count_attempt(self) -> None:
        """Count an attempt that reached a backend server of the service."""
        self._attempts += 1

    def try_reserve(self, share: float) -> bool:
        """Reserve an attempt within a share of the requests; return whether it fits."""
        if self._exposed + self._reserved >= self._limit(share):
            return False
        self.reserve()
        return True

    def reserve(self) -> None:
        """Reserve an attempt regardless of the budget."""
        self._reserved += 1

    def release(self) -> None:
        """Return the reservation of an attempt that was not sent."""
        self._reserved -= 1

    def spend(self) -> None:
        """Turn a reservation into an attempt that reached the canary version."""
        self._reserved -= 1
        self._exposed += 1

    def begin_final_phase(self, requests: float) -> None:
        """Allow about `requests` further attempts, for the final phase."""
        if self._final_limit is None:
            final_requests = FINAL_RATE_FACTOR * requests + math.sqrt(requests) + 1.0
            self._final_limit = self._exposed + self._reserved + final_requests

    def report(self) -> Exposure:
        """Return the counts to report to the leader."""
        return Exposure(
            requests=self._requests, exposed=self._exposed, attempts=self._attempts
        )

    def _limit(self, share: float) -> float:
        if self._final_limit is not None:
            return self._final_limit
        return INITIAL_CREDIT + share * self._requests


class FinalPhaseBudget:
    """Bounds the requests that one instance admits in the final phase."""

    __slots__ = ("_spent", "quota")

    def __init__(self, *, quota: float | None = None) -> None:
        self.quota = quota
        """Requests that may be admitted; `None` if unbounded."""
        self._spent = 0

    def has_remaining(self, drawn: float) -> bool:
        """Return whether another request may be admitted.

        `drawn` is a random number from 0 to 1 that rounds the quota up or down, so that
        the sum over all instances matches.
        """
        return self.quota is None or self._spent + drawn < self.quota

    def spend(self) -> None:
        """Count an admitted request."""
        self._spent += 1


class Bursts:
    """Concentrates the canary's requests on few servers, in bursts.

    Spread over all servers, a small share causes no concurrent requests, and a version
    that fails under load would pass as a canary.
    """

    __slots__ = ("_canary_share", "burst_servers", "session_servers", "share")

    def __init__(self, *, canary_share: float, servers: int) -> None:
        self._canary_share = canary_share
        self.burst_servers = max(
            1, math.ceil(canary_share * servers / BURST_LOAD_FACTOR)
        )
        """Servers of the new version that receive the bursts."""
        self.session_servers = max(
            1, math.ceil(canary_share * servers / SESSION_LOAD_FACTOR)
        )
        """Servers of the new version that receive the canary sessions."""
        load = BURST_LOAD_FACTOR * self.burst_servers / max(1, servers)
        self.share = max(canary_share, min(MAX_BURST_SHARE, load))

    def is_active(self, elapsed_s: float) -> bool:
        """Return whether a burst is active at a time after the order."""
        return (
            elapsed_s % BURST_INTERVAL_S
            < BURST_INTERVAL_S * self._canary_share / self.share
        )


class Rate:
    """Measures the rate of a growing count over a sliding window."""

    __slots__ = ("_samples", "_window_s")

    def __init__(self, *, window_s: float = RATE_WINDOW_S) -> None:
        self._window_s = window_s
        self._samples: deque[tuple[float, int]] = deque()

    def record(self, count: int, now: float) -> None:
        """Record the current count."""
        self._samples.append((now, count))
        while len(self._samples) > 2 and now - self._samples[1][0] >= self._window_s:
            self._samples.popleft()

    def per_s(self) -> float:
        """Return the growth of the count per second."""
        if len(self._samples) < 2:
            return 0.0
        (started_at, first), (ended_at, last) = self._samples[0], self._samples[-1]
        return (last - first) / max(ended_at - started_at, 0.1)


class ExposureTotals:
    """Sums what all instances have sent since an order, for the leader."""

    __slots__ = ("_bounds", "_burst_rate", "_rate", "total")

    def __init__(self, *, bounds: RoutingBounds) -> None:
        self._bounds = bounds
        self._rate = Rate()
        self._burst_rate = Rate(window_s=BURST_RATE_WINDOW_S)
        self.total = Exposure()

    def record(
        self, counts: Iterable[Exposure], now: float, *, known: Exposure | None = None
    ) -> None:
        """Record the latest counts of all instances, including this one.

        A new leader has not received all reports; `known` is the sum known to others.
        """
        reports = list(counts)
        total = Exposure(
            requests=sum(report.requests for report in reports),
            exposed=sum(report.exposed for report in reports),
            attempts=sum(report.attempts for report in reports),
        )
        self.total = total.merge(known) if known is not None else total
        self._rate.record(self.total.requests, now)
        self._burst_rate.record(self.total.requests, now)

    def per_s(self, elapsed_s: float) -> float:
        """Return the request rate to expect at a time after the order."""
        # A lull, such as after the loss of most instances, must not lower it.
        average = self.total.requests / max(1.0, elapsed_s)
        return max(self._rate.per_s(), average)

    def may_promote(self, *, elapsed_s: float, left_s: float) -> bool:
        """Return whether the version may receive all requests until the time limit."""
        expected = self._final_factor * self.per_s(elapsed_s) * left_s
        return left_s > 0.0 and self._fits(expected, PLANNED_FRACTION)

    def find_final_budget(self, *, elapsed_s: float, left_s: float) -> float:
        """Return the requests that all instances may admit until the time limit."""
        return FINAL_BUDGET_FACTOR * self.per_s(elapsed_s) * left_s

    def may_admit(
        self, *, elapsed_s: float, left_s: float, canary_share: float
    ) -> bool:
        """Return whether another session may begin on the canary version.

        Admitted sessions stay there, so the final phase must still fit the budget.
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
        """Return whether canary sessions use so much that the bound is at risk.

        A single session may send a large share of all requests and is not moved back.
        """
        expected = OVERDRAFT_RATE_FACTOR * self.per_s(elapsed_s) * left_s
        limit = self._bounds.exposure_share * (self.total.requests + expected)
        limit += OVERDRAFT_FRACTION * self._bounds.exposure_extra
        return self.total.exposed > limit

    def may_complete(self, *, elapsed_s: float, left_s: float) -> bool:
        """Return whether all requests until the time limit fit the bound."""
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
        """Attempts to plan for each request expected in the final phase."""
        return max(FINAL_RATE_FACTOR, FINAL_ATTEMPT_FACTOR * self._attempts_per_request)

    @property
    def _attempts_per_request(self) -> float:
        return self.total.attempts / max(1, self.total.requests)
