"""Failure domains that are evacuated: their backend servers get no new requests."""

from __future__ import annotations

from collections.abc import Collection, Iterable

from baobabthread.core.positions import OperatorsPosition
from baobabthread.routing.configuration import Evacuation


class Evacuations:
    """Newest evacuation record of each failure domain."""

    __slots__ = ("_latest", "domains")

    def __init__(self) -> None:
        self._latest: dict[str, Evacuation] = {}
        self.domains: frozenset[str] = frozenset()
        """Failure domains that are currently evacuated."""

    def apply(self, evacuation: Evacuation) -> bool:
        """Apply a record if it is newer; return whether the set of domains changed."""
        # A late response or a peer that is behind may bring an older record: a domain
        # whose evacuation was ended and started again would get requests.
        current = self._latest.get(evacuation.failure_domain)
        if current is not None and evacuation.number <= current.number:
            return False
        self._latest[evacuation.failure_domain] = evacuation
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
        again. Those of an earlier era stay: the store may have lost their records.
        """
        last = OperatorsPosition(end.era, end.offset - 1)
        return self.apply_all(
            Evacuation(
                offset=last.offset, era=last.era, failure_domain=domain, is_on=False
            )
            for domain, latest in list(self._latest.items())
            if latest.is_on
            and latest.number.era == end.era
            and latest.number < last
            and domain not in listed
        )

    def list(self) -> list[Evacuation]:
        """Return the newest record of each failure domain, including ended ones."""
        return list(self._latest.values())
