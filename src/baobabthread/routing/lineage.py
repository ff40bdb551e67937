"""The version of a service that is in force beside the target of an order.

It cannot be derived from the listed servers: those of a version that was rolled back
stay listed for seconds, and can be as many as those of the version in force. An order
that was replaced before its outcome was known here is unsettled, neither succeeded nor
rolled back, until a status or a report that takes account of it arrives.
"""

from __future__ import annotations

import re
from collections.abc import Mapping

from baobabthread.core.positions import NO_ORDER, OperatorsPosition
from baobabthread.routing.configuration import RolloutOrder, RolloutStatus

MAX_UNSETTLED = 8
"""Replaced orders of unknown outcome that are kept; the oldest ones are dropped."""


class Lineage:
    """Tracks the version in force across the orders of a service."""

    __slots__ = ("_target", "_unsettled", "base", "rolled_back", "settled")

    def __init__(self) -> None:
        self._target: str | None = None
        self.base: str | None = None
        """Version in force beside the target, once known."""
        self.settled = NO_ORDER
        """Newest order up to which the outcome of each one is known."""
        self._unsettled: list[RolloutOrder] = []
        self.rolled_back: set[str] = set()
        """Targets of earlier orders that were rolled back."""

    @property
    def is_unknown(self) -> bool:
        """Whether an order was replaced whose outcome isn't known."""
        return bool(self._unsettled)

    def observe_listed(self, listed: Mapping[str, int]) -> None:
        """Update the version in force if only one version is listed."""
        if len(listed) == 1:
            self.base = next(iter(listed))

    def start_rollout(self, target: str) -> None:
        """Set the target of an order, which may have been rolled back before."""
        self._target = target
        self.rolled_back.discard(target)

    def add_unsettled(self, order: RolloutOrder) -> None:
        """Keep an order that was replaced before its outcome was known."""
        if order.number > self.settled:
            self._unsettled = [*self._unsettled, order][-MAX_UNSETTLED:]

    def settle(self, status: RolloutStatus) -> None:
        """Record the outcome of a replaced order from its final status."""
        meant = (order for order in self._unsettled if order.is_meant_by(status))
        order = next(meant, None)
        number = order.number if order is not None else status.number
        if number is not None:
            self.record_outcome(number, status.target, status.has_succeeded)

    def record_outcome(
        self, number: OperatorsPosition, target: str, has_succeeded: bool
    ) -> None:
        """Record the outcome of a replaced order."""
        if number <= self.settled:
            return
        if has_succeeded:
            self._settle_up_to(number, target)
            return
        if target not in (self.base, self._target):
            self.rolled_back.add(target)
        self._unsettled = [o for o in self._unsettled if o.number != number]
        if all(order.number > number for order in self._unsettled):
            self.settled = number

    def adopt_base(
        self, base: str | None, settled: OperatorsPosition = NO_ORDER
    ) -> None:
        """Adopt the version in force that a peer or status reports, if it is newer.

        `settled` is the newest order that the report takes account of.
        """
        if base is None:
            return
        if settled > self.settled:
            self._settle_up_to(settled, base)
        elif self.base is None and base != self._target:
            self.base = base

    def _settle_up_to(self, number: OperatorsPosition, base: str) -> None:
        ended = {order.target for order in self._unsettled if order.number <= number}
        self._unsettled = [o for o in self._unsettled if o.number > number]
        self.rolled_back |= ended - {self._target}
        self.rolled_back.discard(base)
        self.base = base
        self.settled = number

    def find_base(self, listed: Mapping[str, int]) -> str | None:
        """Return the version in force, given the number of listed servers by version.

        A rolled-back version must not be returned: it would receive all traffic beside
        the canary's, and its failures would become the baseline.
        """
        found = [v for v in listed if v != self._target and v not in self.rolled_back]
        if self.base in found:
            return self.base
        for order in self._unsettled:
            # The platform stops the servers of the version before when one succeeds.
            if order.target in found:
                return order.target
        # None was reported: assume that the version with the most servers is the
        # oldest, and among equals the one whose name sorts first.
        return min(found, key=lambda v: (-listed[v], _split(v)), default=None)


def _split(version: str) -> list[tuple[int, str]]:
    """Return a key for natural sorting of version names: v9 before v10."""
    return [
        (int(part), "") if part.isdigit() else (0, part)
        for part in re.split(r"(\d+)", version)
    ]
