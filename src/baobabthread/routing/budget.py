"""Retry budget of one instance, such that all instances together stay within bounds."""

from __future__ import annotations

from baobabthread.routing.bounds import RoutingBounds
from baobabthread.routing.transit import (
    BUCKET_S,
    SlidingWindow,
    Transit,
    TransitWindow,
)

USABLE_FRACTION = 0.85
"""Fraction of the common bound that is used; the rest covers what only some instances
see."""
SHARED_FRACTION = 0.25
"""Fraction of the fixed allowance, `retry_extra`, that is divided among the instances,
since their views of the membership may differ."""
SINGLE_INSTANCE_FRACTION = 0.425
"""Fraction of the fixed allowance used by an instance whose settings name no others. If
it is killed and restarted, it can spend that fraction twice within a window."""
INITIAL_RETRIES = 1.0
"""Retries allowed in addition to the ratio, but never more than there were requests."""
STALL_S = 0.5
"""Gap between two ticks from which on the process counts as stalled."""
BACKLOG_S = 1.0
"""Time after a stall within which requests that arrived during it are read."""


class ArrivalEstimator:
    """Estimates when requests arrived that are read after the process stalled.

    After a stall, all requests that arrived meanwhile are read at once. Counted at that
    time, they would allow retries in a window in which they were not sent.
    """

    __slots__ = ("_backlog_until", "_stalled_at", "_ticked_at")

    def __init__(self) -> None:
        self._ticked_at: float | None = None
        self._stalled_at = 0.0
        self._backlog_until = 0.0

    def tick(self, now: float) -> None:
        """Record that the process runs; call this several times a second."""
        self._detect_stall(now)
        self._ticked_at = now

    def estimate_arrival(self, now: float) -> float:
        """Return the earliest time at which a request read now may have arrived."""
        self._detect_stall(now)
        return self._stalled_at if now < self._backlog_until else now

    def _detect_stall(self, now: float) -> None:
        if self._ticked_at is None or now - self._ticked_at < STALL_S:
            return
        self._stalled_at = self._ticked_at
        self._backlog_until = now + BACKLOG_S


class MemberCount:
    """Number of instances among which the fixed allowance is divided.

    An instance that is partitioned or has just started sees only itself. Without this
    it would take the whole allowance, and again after each restart.
    """

    __slots__ = ("_is_single", "_max_seen", "_settled_at")

    def __init__(self, *, is_single: bool, settled_at: float) -> None:
        """Initialize the count.

        `is_single` says that there are no other instances; `settled_at` is when a whole
        window has passed since the start.
        """
        self._is_single = is_single
        self._settled_at = settled_at
        self._max_seen = 1

    def record(self, count: int) -> None:
        """Record how many instances serve, including this one.

        The count never decreases: a loss of members may be a partition of this one.
        """
        self._max_seen = max(self._max_seen, count)

    def compute_share(self, now: float) -> float:
        """Return this instance's share of the fixed allowance, from 0 to 1."""
        if self._max_seen > 1:
            return SHARED_FRACTION / self._max_seen if now >= self._settled_at else 0.0
        return SINGLE_INSTANCE_FRACTION if self._is_single else 0.0


class RetryBudget:
    """Budget of retries per window: a ratio of the requests plus a fixed number.

    Each instance counts only its own requests and retries, so that the common bound
    holds without communication. The bound counts retries on arrival, which a partition
    may delay: a retry in transit counts until it is settled, and for a window after.
    """

    __slots__ = ("_extra", "_members", "_ratio", "_requests", "_retries")

    def __init__(self, *, bounds: RoutingBounds, members: MemberCount) -> None:
        self._ratio = bounds.retry_ratio * USABLE_FRACTION
        self._extra = bounds.retry_extra
        self._members = members
        # A bucket is dated by its start: requests expire one to two buckets too early
        # and retries up to one bucket too late, so that rounding never exceeds the
        # bound.
        self._requests = SlidingWindow(length_s=bounds.retry_window_s - BUCKET_S)
        self._retries = TransitWindow(length_s=bounds.retry_window_s + BUCKET_S)

    @property
    def in_transit(self) -> int:
        """Number of retries that may still arrive."""
        return self._retries.in_transit

    def record_request(self, arrived_at: float) -> None:
        """Count a request, which earns retries for any request."""
        self._requests.add(arrived_at)

    def remaining(self, now: float) -> float:
        """Return how many retries are left."""
        return self.limit(now) - self._retries.count(now)

    def limit(self, now: float) -> float:
        """Return how many retries are allowed in the current window."""
        self._requests.expire(now)
        requests = self._requests.total
        earned = min(requests, INITIAL_RETRIES + self._ratio * requests)
        return earned + self._extra * self._members.compute_share(now)

    def try_spend(self, now: float) -> Transit | None:
        """Take one retry from the budget; return None if none was left."""
        return self._retries.start() if self.remaining(now) >= 1.0 else None
