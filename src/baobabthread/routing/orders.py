"""Roll-out orders of all services, also after the store lost some of them."""

from __future__ import annotations

from collections import deque

import msgspec

from baobabthread.routing.configuration import RolloutOrder

MAX_REPLACED = 8
"""Replaced orders kept of each service."""


class Orders:
    """Newest order of each service, and those that it replaced.

    A store that is restored from a copy may show an order that was replaced, or have
    lost one that is then written again at another position. Both are known by their
    content: they keep the number under which they were first read.
    """

    __slots__ = ("_replaced", "current")

    def __init__(self) -> None:
        self.current: dict[str, RolloutOrder] = {}
        self._replaced: dict[str, deque[RolloutOrder]] = {}

    def apply(self, order: RolloutOrder) -> bool:
        """Apply an order; return whether anything changed."""
        current = self.current.get(order.service)
        if current is None:
            self.current[order.service] = order
            return True
        replaced = self._replaced.setdefault(order.service, deque(maxlen=MAX_REPLACED))
        if any(known.number == order.number for known in replaced):
            return False
        is_same = _is_same(current, order)
        if not is_same and any(_is_copy(known, order) for known in replaced):
            return False
        if is_same or _is_written_again(current, order):
            merged = _merge(current, order)
            self.current[order.service] = merged
            return merged != current
        if order.number < current.number:
            replaced.append(order)
            return False
        replaced.append(current)
        self.current[order.service] = order
        return True

    def list_all(self) -> list[RolloutOrder]:
        """Return all known orders in the order in which they were written."""
        known = [order for orders in self._replaced.values() for order in orders]
        return sorted([*known, *self.current.values()], key=lambda order: order.number)


def _is_same(current: RolloutOrder, order: RolloutOrder) -> bool:
    """Return whether two records are of one order, the one perhaps a copy."""
    if current.number == order.number or _is_copy(current, order):
        return True
    has_same_record = current.written_at == order.written_at
    return has_same_record and _has_same_content(current, order)


def _is_copy(one: RolloutOrder, other: RolloutOrder) -> bool:
    return one.number.is_copy(other.number) and _has_same_content(one, other)


def _is_written_again(current: RolloutOrder, order: RolloutOrder) -> bool:
    """Return whether an order was lost and written again after a restore."""
    is_read_anew = current.number.era != order.number.era
    is_lost = current.written_at.era != order.written_at.era
    return is_read_anew and is_lost and _has_same_content(current, order)


def _has_same_content(one: RolloutOrder, other: RolloutOrder) -> bool:
    return (one.target, one.time_limit_s) == (other.target, other.time_limit_s)


def _merge(one: RolloutOrder, other: RolloutOrder) -> RolloutOrder:
    """Return an order under its first number, with the position of its last record."""
    first = min(one, other, key=lambda order: order.number)
    last = max(one.written_at, other.written_at)
    if last == first.written_at:
        return first
    return msgspec.structs.replace(
        first, written_offset=last.offset, written_era=last.era
    )
