"""What an instance that was told to stop still takes, and until when."""

from __future__ import annotations

import msgspec

ACCEPT_S = 6.5
"""Time after the signal in which new connections are still taken: some callers keep
addresses three times as long as they were told."""
SERVE_ALL_S = 2.5
"""Time after the signal in which everything is still taken: callers hear of other
addresses within the lifetime that they were told."""
END_MARGIN_S = 0.4
"""Time kept from the end of the grace for closing."""
ACCEPT_MARGIN_S = 0.5
"""Time before the end in which no connection is opened any more."""
LENGTH_FACTOR = 1.5
"""Times the expected length of an answer that must be left. Callers' estimates of
length are often far off: a stream that is cut at the end is worse than one that begins
elsewhere at the price of another connection."""
LENGTH_MARGIN_S = 0.5


class StopPlan(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the moments of a stop, in seconds on the clock of all decisions."""

    began_at: float
    serves_all_until: float
    """Until then everything is taken."""
    accepts_until: float
    """Until then new connections are taken."""
    takes_until: float
    """Moment by which whatever is taken must be answered."""
    ends_at: float
    """Moment until which what is in flight may go on."""

    def can_end(self, *, usual_s: float, longest_s: float, now: float) -> bool:
        """Tell whether an answer that begins now would be whole before the end."""
        if now < self.serves_all_until:
            return True
        return now + LENGTH_FACTOR * longest_s + LENGTH_MARGIN_S < self.takes_until


def plan_stop(*, grace_s: float, now: float) -> StopPlan:
    """Return the moments of a stop that was heard of now."""
    takes_until = now + grace_s - END_MARGIN_S
    return StopPlan(
        began_at=now,
        serves_all_until=now + SERVE_ALL_S,
        accepts_until=min(now + ACCEPT_S, takes_until - ACCEPT_MARGIN_S),
        takes_until=takes_until,
        ends_at=takes_until,
    )
