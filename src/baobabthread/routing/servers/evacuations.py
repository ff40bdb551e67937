"""Failure domains that are evacuated: their backend servers get no new requests."""

from __future__ import annotations

from collections import deque
from collections.abc import Collection, Iterable, Sequence

from baobabthread.core.positions import OperatorsPosition
from baobabthread.routing.configuration import Evacuation

MAX_RECORDS = 8
"""Records kept of each failure domain."""


class Evacuations:
    """Newest evacuation record of each failure domain, and those before it."""

    __slots__ = ("_earlier", "_eras", "_latest", "domains")

    def __init__(self) -> None:
        self._latest: dict[str, Evacuation] = {}
        self._earlier: dict[str, deque[Evacuation]] = {}
        self._eras: dict[str, int] = {}
        """Newest era of the store in which a record of a failure domain was read."""
        self.domains: frozenset[str] = frozenset()
        """Failure domains that are currently evacuated."""

    def apply(self, evacuation: Evacuation) -> bool:
        """Apply a record if it is newer; return whether the set of domains changed."""
        # A late response or a peer that is behind may bring an older record: a domain
        # whose evacuation was ended and started again would get requests.
        domain = evacuation.failure_domain
        self._eras[domain] = max(self._eras.get(domain, 0), evacuation.era)
        earlier = self._earlier.setdefault(domain, deque(maxlen=MAX_RECORDS))
        if any(_is_same(known, evacuation) for known in earlier):
            return False
        current = self._latest.get(domain)
        if current is not None and _is_same(current, evacuation):
            self._latest[domain] = min(current, evacuation, key=_get_number)
            return False
        if current is not None and evacuation.number < current.number:
            earlier.append(evacuation)
            return False
        if current is not None:
            earlier.append(current)
        self._latest[domain] = evacuation
        before = self.domains
        self.domains = frozenset(d for d, e in self._latest.items() if e.is_on)
        return self.domains != before

    def apply_all(self, evacuations: Iterable[Evacuation]) -> bool:
        """Apply several records; return whether the set of domains changed."""
        changes = [self.apply(evacuation) for evacuation in evacuations]
        return any(changes)

    def reconcile(self, listed: Collection[str], end: OperatorsPosition) -> bool:
        """End evacuations that a listing of all records up to `end` does not contain.

        The record that ended them may have been trimmed from the store's history. An
        instance that was partitioned meanwhile would otherwise never use the domain
        again. Those last read in an earlier era stay: the store may have lost them.
        """
        last = OperatorsPosition(end.era, end.offset - 1)
        return self.apply_all(
            Evacuation(
                offset=last.offset, era=last.era, failure_domain=domain, is_on=False
            )
            for domain, latest in list(self._latest.items())
            if latest.is_on
            and self._eras[domain] == end.era
            and latest.number < last
            and domain not in listed
        )

    def find_unlisted(
        self, listed: Collection[str], end: OperatorsPosition
    ) -> OperatorsPosition | None:
        """Return from where to look for ends that a listing of a new era leaves out.

        A listing tells nothing of evacuations that it doesn't contain: the store may
        have lost them, or may hold the record that ended them.
        """
        offsets = [
            latest.number.offset + 1
            for domain, latest in self._latest.items()
            if latest.is_on
            and self._eras[domain] != end.era
            and latest.number.offset + 1 < end.offset
            and domain not in listed
        ]
        return OperatorsPosition(end.era, min(offsets)) if offsets else None

    def is_after(self, end: Evacuation) -> bool:
        """Return whether a record follows the newest one of its domain in the log."""
        latest = self._latest.get(end.failure_domain)
        return latest is not None and end.number.offset > latest.number.offset

    def list(self) -> list[Evacuation]:
        """Return the newest record of each failure domain, including ended ones."""
        return list(self._latest.values())

    def list_all(self) -> Sequence[Evacuation]:
        """Return all known records in the order in which they were written."""
        earlier = [record for records in self._earlier.values() for record in records]
        return sorted([*earlier, *self._latest.values()], key=_get_number)


def _is_same(one: Evacuation, other: Evacuation) -> bool:
    """Return whether two records are one, perhaps read again from a restored store."""
    if one.is_on != other.is_on:
        return False
    return one.number == other.number or one.number.is_copy(other.number)


def _get_number(evacuation: Evacuation) -> OperatorsPosition:
    return evacuation.number
