"""Schedule by which a stopping instance accepts and finishes requests."""

from __future__ import annotations

import math

import msgspec

ACCEPT_S = 6.5
"""Time after the signal in which new connections are still accepted: some callers keep
addresses for three times their lifetime."""
SERVE_ALL_S = 2.5
"""Time after the signal in which requests are accepted by their usual duration. Callers
get other addresses within the lifetime of those that they have."""
SERVE_ALL_FRACTION = 1.0 / 3.0
"""The same, as a fraction of the grace period; the rest is for accepted requests."""
END_MARGIN_S = 0.4
"""Time reserved at the end of the grace period for closing."""
ACCEPT_MARGIN_S = 0.5
"""Time before the end from which on no new connections are accepted."""
LENGTH_FACTOR = 1.5
"""Multiple of the expected duration of a response that must be left. Callers' estimates
of the length are often far off, and a stream that is cut at the end is worse than one
that begins elsewhere at the cost of another connection."""
LENGTH_MARGIN_S = 0.5
STALL_S = 0.5
"""Time between two ticks, due every tenth of a second, that counts as a stall."""
SIGNAL_DELAY_S = 0.5
"""Time after a stall; a signal that is handled within it may have arrived during it."""


class StallDetector:
    """Detects stalls of the process, during which signals may have been pending."""

    __slots__ = ("_stalled_from", "_stalled_until", "_ticked_at")

    def __init__(self, *, now: float) -> None:
        self._ticked_at = now
        self._stalled_from = -math.inf
        self._stalled_until = -math.inf

    def tick(self, now: float) -> None:
        """Record that the process runs."""
        if now - self._ticked_at > STALL_S:
            self._stalled_from, self._stalled_until = self._ticked_at, now
        self._ticked_at = now

    def find_earliest_signal(self, now: float) -> float:
        """Return the earliest time at which a signal handled now may have been sent.

        After a stall, timers run before signal handlers, so that the last tick alone
        does not reveal the stall.
        """
        self.tick(now)
        return self._stalled_from if now - self._stalled_until < SIGNAL_DELAY_S else now


class StopPlan(msgspec.Struct, frozen=True, kw_only=True):
    """Times of a stop, in seconds on the instance's clock."""

    began_at: float
    serves_all_until: float
    """Until then requests are accepted by their usual duration, then by the longest."""
    accepts_until: float
    """Until then new connections are accepted."""
    takes_until: float
    """Time by which accepted requests must be answered."""
    ends_at: float
    """Time until which requests in flight may continue."""

    def can_finish(self, *, usual_s: float, longest_s: float, now: float) -> bool:
        """Return whether a response that begins now would be complete in time."""
        expected_s = usual_s if now < self.serves_all_until else longest_s
        return now + LENGTH_FACTOR * expected_s + LENGTH_MARGIN_S < self.takes_until


def plan_stop(*, grace_s: float, now: float, signalled_at: float) -> StopPlan:
    """Return the times of a stop whose signal is handled now.

    `signalled_at` is the earliest time at which the signal may have been sent: a
    process that stalled handles it late, and its grace period counts from then.
    """
    takes_until = signalled_at + grace_s - END_MARGIN_S
    serve_all_s = min(SERVE_ALL_S, SERVE_ALL_FRACTION * grace_s)
    return StopPlan(
        began_at=now,
        serves_all_until=signalled_at + serve_all_s,
        accepts_until=min(signalled_at + ACCEPT_S, takes_until - ACCEPT_MARGIN_S),
        takes_until=takes_until,
        ends_at=now + grace_s - END_MARGIN_S,
    )
