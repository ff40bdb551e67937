"""Areas that requests must not leave, and which failure domains lie in them."""

from __future__ import annotations

from collections.abc import Mapping

from baobabthread.routing.configuration import Account, Route, RoutingConfiguration

Homes = frozenset[str] | None
"""Areas in which a request may be served; None where any will do."""


class Areas:
    """Know the area of each failure domain."""

    __slots__ = ("_areas",)

    def __init__(self, *, areas: Mapping[str, str]) -> None:
        self._areas = dict(areas)

    def find(self, failure_domain: str) -> str | None:
        """Return the area of a failure domain; nothing where nobody told."""
        return self._areas.get(failure_domain)

    def may_serve(self, homes: Homes, failure_domain: str) -> bool:
        """Tell whether a failure domain lies in one of the homes."""
        # One whose area is unknown may be abroad: a body that was sent there can't be
        # taken back.
        return homes is None or self.find(failure_domain) in homes

    def list_unknown_domains(self, failure_domains: frozenset[str]) -> list[str]:
        """Return those that the settings don't name, where they name any."""
        known = self._areas
        return sorted(d for d in failure_domains if d not in known) if known else []

    def list_unknown_homes(self, configuration: RoutingConfiguration) -> list[str]:
        """Return the homes of a configuration that are no area, where any is known."""
        known = set(self._areas.values())
        named = {home for homes in _list_homes(configuration) for home in homes}
        return sorted(named - known) if known else []


def find_common_homes(configuration: RoutingConfiguration) -> frozenset[str]:
    """Return the areas that are a home of whatever has any; of some where none is."""
    bound = [frozenset(homes) for homes in _list_homes(configuration)]
    if not bound:
        return frozenset()
    return frozenset.intersection(*bound) or frozenset.union(*bound)


def find_homes(route: Route, account: Account | None) -> Homes:
    """Return where a request may be served; both its route and its account bind."""
    bounds = [route.homes, account.homes if account is not None else ()]
    found: Homes = None
    for homes in bounds:
        if homes:
            found = frozenset(homes) if found is None else found & frozenset(homes)
    return found


def _list_homes(configuration: RoutingConfiguration) -> list[tuple[str, ...]]:
    found = [route.homes for route in configuration.routes]
    found += [account.homes for account in configuration.accounts]
    return [homes for homes in found if homes]
