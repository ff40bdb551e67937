"""What an instance that was told to stop still takes, and until when."""

from __future__ import annotations

import math

import msgspec

ACCEPT_S = 6.5
"""Time after the signal in which new connections are still taken: some callers keep
addresses three times as long as they were told."""
SERVE_ALL_S = 2.5
"""Time after the signal in which requests are taken by their usual length: callers hear
of other addresses within the lifetime that they were told."""
SERVE_ALL_FRACTION = 1.0 / 3.0
"""The same as a part of the grace, most of which is for what was taken."""
END_MARGIN_S = 0.4
"""Time kept from the end of the grace for closing."""
ACCEPT_MARGIN_S = 0.5
"""Time before the end in which no connection is opened any more."""
LENGTH_FACTOR = 1.5
"""Times the expected length of an answer that must be left. Callers' estimates of
length are often far off: a stream that is cut at the end is worse than one that begins
elsewhere at the price of another connection."""
LENGTH_MARGIN_S = 0.5
STALL_S = 0.5
"""Time between two beats, which come every tenth of a second, that is a standstill."""
SIGNAL_DELAY_S = 0.5
"""Time after a standstill in which a signal may have come within it."""


class StallDetector:
    """Know since when a signal that is heard now may have been waiting."""

    __slots__ = ("_stalled_from", "_stalled_until", "_ticked_at")

    def __init__(self, *, now: float) -> None:
        self._ticked_at = now
        self._stalled_from = -math.inf
        self._stalled_until = -math.inf

    def tick(self, now: float) -> None:
        """Note that the process runs."""
        if now - self._ticked_at > STALL_S:
            self._stalled_from, self._stalled_until = self._ticked_at, now
        self._ticked_at = now

    def find_earliest_signal(self, now: float) -> float:
        """Return when a signal that is heard now was sent at the earliest.

        After a standstill timers run before the handlers of signals: the last beat
        alone would tell nothing.
        """
        self.tick(now)
        return self._stalled_from if now - self._stalled_until < SIGNAL_DELAY_S else now


class StopPlan(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the moments of a stop, in seconds on the clock of all decisions."""

    began_at: float
    serves_all_until: float
    """Until then answers count with their usual length, afterwards with the longest."""
    accepts_until: float
    """Until then new connections are taken."""
    takes_until: float
    """Moment by which whatever is taken must be answered."""
    ends_at: float
    """Moment until which what is in flight may go on."""

    def can_finish(self, *, usual_s: float, longest_s: float, now: float) -> bool:
        """Tell whether an answer that begins now would be whole before the end."""
        expected_s = usual_s if now < self.serves_all_until else longest_s
        return now + LENGTH_FACTOR * expected_s + LENGTH_MARGIN_S < self.takes_until


def plan_stop(*, grace_s: float, now: float, signalled_at: float) -> StopPlan:
    """Return the moments of a stop that is heard of now.

    `earliest` is when the signal may have been sent: a process that stood still hears
    of it late, and its grace counts from then.
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
