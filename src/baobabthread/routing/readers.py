"""Who reads the store for the others, and how old word of it may grow."""

from __future__ import annotations

import math
from collections.abc import Sequence

import msgspec

from baobabthread.core.rendezvous import rank
from baobabthread.routing.bounds import RoutingBounds

MEMBERS_PER_READER = 80
"""Members for each reader: each call to the store has its price, and a reader then
answers a hundred small questions a second, about 1 % of a core."""
STANDBYS = 2
"""Members that read when a reader falls silent, so that the others need not."""
APPLY_FRACTION = 0.75
"""Part of the time for an operator's word after which an instance reads the store
itself; one that was cut off at the moment of a change then has the rest to apply it."""
DRAIN_FRACTION = 0.65
"""The same of the time in which a leaving backend server must be known."""
FRESH_MARGIN_S = 2.0
"""Time kept from the bound on keys for an instance that then reads the store itself."""
REQUEST_FRACTION = 0.27
"""Part of the oldest age after which a reader is asked: on top of a reader's own age of
two thirds at most it leaves time for the next one when an answer gets lost."""
LONG_POLL_FRACTION = 1 / 3
"""Part of that age for which the store holds a read that finds nothing: a reader knows
things no older than twice this."""
POLL_FRACTION = 0.385
"""The same pause between reads of the backend servers' records, whose heartbeats would
end a held read at once."""


class StalenessLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Hold ages and pauses in seconds; they follow the bounds of the place of use."""

    operators_s: float
    """Age of the operators' records from which an instance reads them itself."""
    backends_s: float
    """The same for the backend servers' records."""

    @property
    def request_interval_s(self) -> float:
        """Give the time between two questions to a reader."""
        return REQUEST_FRACTION * min(self.operators_s, self.backends_s / 0.87)

    @property
    def long_poll_s(self) -> float:
        """Give the time for which the store holds a reader's read."""
        return LONG_POLL_FRACTION * self.operators_s

    @property
    def poll_interval_s(self) -> float:
        """Give a reader's pause between reads of the backend servers' records."""
        return POLL_FRACTION * self.backends_s


def derive_staleness_limits(bounds: RoutingBounds) -> StalenessLimits:
    """Return the oldest ages that keep changes and leaving servers within bounds."""
    most_s = max(0.5, bounds.revocation_s - FRESH_MARGIN_S)
    told_s = min(bounds.apply_s, bounds.evacuation_s)
    return StalenessLimits(
        operators_s=min(most_s, APPLY_FRACTION * told_s),
        backends_s=DRAIN_FRACTION * bounds.drain_s,
    )


class ReaderAssignment:
    """Order the members by who reads the store; the same at all that know the same."""

    __slots__ = ("_me", "_preference", "position", "readers", "standbys")

    def __init__(self, *, me: str, names: Sequence[str]) -> None:
        order = rank("readers", names)
        count = max(1, math.ceil(len(names) / MEMBERS_PER_READER))
        self._me = me
        self.readers = order[:count]
        """Those that follow the store."""
        self.standbys = order[count : count + STANDBYS]
        """Those that do when a reader is silent."""
        self.position = order.index(me) if me in order else len(order)
        """Place of this instance in the order, 0 for the first reader."""
        # Each has its own order of the others, so that the loss of a reader spreads
        # its askers over the rest.
        self._preference = [*rank(me, self.readers), *rank(me, self.standbys)]

    @property
    def is_reader(self) -> bool:
        """Tell whether this instance always follows the store."""
        return self._me in self.readers

    @property
    def is_standby(self) -> bool:
        """Tell whether this instance reads when a reader is silent."""
        return self._me in self.standbys

    def choose_reader(self, misses: int) -> str | None:
        """Return whom to ask after so many useless answers in a row."""
        names = [name for name in self._preference if name != self._me]
        if self.is_standby:
            names = [name for name in names if name in self.readers]
        return names[misses % len(names)] if names else None
