"""Choice of the instances that read the store, and limits on the replica's age."""

from __future__ import annotations

import math
from collections.abc import Sequence

import msgspec

from baobabthread.core.rendezvous import rank
from baobabthread.routing.bounds import RoutingBounds

MEMBERS_PER_READER = 80
"""Members for each reader. Calls to the store are expensive, and with this ratio a
reader answers a hundred small requests a second, about 1 % of a core."""
STANDBYS = 2
"""Members that read the store when a reader does not respond, so that the others need
not."""
APPLY_FRACTION = 0.75
"""Fraction of the bound on applying a change after which an instance reads the store
itself. An instance that was partitioned when the change was made has the rest of the
bound to apply it."""
DRAIN_FRACTION = 0.65
"""The same, of the bound within which a leaving backend server must be known."""
FRESH_MARGIN_S = 2.0
"""Margin below the revocation bound, which leaves an instance time to read the store
itself."""
REQUEST_FRACTION = 0.27
"""Fraction of the age limit between two requests to a reader. Added to a reader's own
age, at most two thirds of the limit, it leaves time for a request to the next reader if
a reply is lost."""
LONG_POLL_FRACTION = 1 / 3
"""Fraction of the age limit for which the store holds a read that finds nothing. The
age of a reader's state is at most twice this."""
POLL_FRACTION = 0.385
"""Fraction of the age limit between reads of the backend server records, which can't be
long-polled: their heartbeats would end a held read at once."""


class StalenessLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Age limits and intervals in seconds, derived from the configured bounds."""

    operators_s: float
    """Age of the operators' records from which on an instance reads them itself."""
    backends_s: float
    """The same for the backend server records."""

    @property
    def request_interval_s(self) -> float:
        """Time between two requests to a reader."""
        return REQUEST_FRACTION * min(self.operators_s, self.backends_s / 0.87)

    @property
    def long_poll_s(self) -> float:
        """Time for which the store holds a reader's read that finds nothing."""
        return LONG_POLL_FRACTION * self.operators_s

    @property
    def poll_interval_s(self) -> float:
        """Time between a reader's reads of the backend server records."""
        return POLL_FRACTION * self.backends_s


def derive_staleness_limits(bounds: RoutingBounds) -> StalenessLimits:
    """Return age limits that satisfy the bounds on changes and leaving servers."""
    revocation_s = max(0.5, bounds.revocation_s - FRESH_MARGIN_S)
    apply_s = min(bounds.apply_s, bounds.evacuation_s)
    return StalenessLimits(
        operators_s=min(revocation_s, APPLY_FRACTION * apply_s),
        backends_s=DRAIN_FRACTION * bounds.drain_s,
    )


class ReaderAssignment:
    """Assignment of store readers and standbys.

    Members with the same view of the membership compute the same assignment.
    """

    __slots__ = ("_me", "_preference", "position", "readers", "standbys")

    def __init__(self, *, me: str, names: Sequence[str]) -> None:
        order = rank("readers", names)
        count = max(1, math.ceil(len(names) / MEMBERS_PER_READER))
        self._me = me
        self.readers = order[:count]
        """Members that follow the store."""
        self.standbys = order[count : count + STANDBYS]
        """Members that follow the store when a reader does not respond."""
        self.position = order.index(me) if me in order else len(order)
        """Position of this instance in the order, 0 for the first reader."""
        # Each instance has its own order of preference, so that the clients of a lost
        # reader spread over the remaining ones.
        self._preference = [*rank(me, self.readers), *rank(me, self.standbys)]

    @property
    def is_reader(self) -> bool:
        """Whether this instance always follows the store."""
        return self._me in self.readers

    @property
    def is_standby(self) -> bool:
        """Whether this instance reads when a reader does not respond."""
        return self._me in self.standbys

    def choose_reader(self, misses: int) -> str | None:
        """Return the member to query after `misses` unsuccessful requests in a row."""
        names = [name for name in self._preference if name != self._me]
        if self.is_standby:
            names = [name for name in names if name in self.readers]
        return names[misses % len(names)] if names else None
