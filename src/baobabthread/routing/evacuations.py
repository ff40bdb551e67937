"""Which failure domains operators evacuate: their backend servers get nothing new."""

from __future__ import annotations

from collections.abc import Collection, Iterable

from baobabthread.routing.configuration import Evacuation


class Evacuations:
    """Hold the operators' newest word on each failure domain."""

    __slots__ = ("_latest", "domains")

    def __init__(self) -> None:
        self._latest: dict[str, Evacuation] = {}
        self.domains: frozenset[str] = frozenset()
        """Failure domains that are evacuated now."""

    def apply(self, evacuation: Evacuation) -> bool:
        """Take over a word unless it is older; return whether it changes anything."""
        # A late answer or a peer that is behind brings an earlier word on the same
        # domain: one that was taken back and given again would be open to requests.
        known = self._latest.get(evacuation.failure_domain)
        if known is not None and evacuation.number <= known.number:
            return False
        self._latest[evacuation.failure_domain] = evacuation
        before = self.domains
        self.domains = frozenset(d for d, w in self._latest.items() if w.is_on)
        return self.domains != before

    def apply_all(self, evacuations: Iterable[Evacuation]) -> bool:
        """Take over what a peer knows; return whether it changes anything."""
        taken = [self.apply(word) for word in evacuations]
        return any(taken)

    def reconcile(self, listed: Collection[str], end: int) -> bool:
        """Take back what a list of all records up to an offset no longer holds.

        The record that took it back is gone with the store's history: without this an
        instance that was cut off meanwhile would leave the domain idle for good.
        """
        return self.apply_all(
            Evacuation(number=end - 1, failure_domain=domain, is_on=False)
            for domain, word in list(self._latest.items())
            if word.is_on and word.number < end - 1 and domain not in listed
        )

    def list(self) -> list[Evacuation]:
        """Return the newest word on each failure domain, those taken back as well."""
        return list(self._latest.values())
