"""Areas that requests must not leave, and which failure domains lie in them."""

from __future__ import annotations

from collections.abc import Mapping

from baobabthread.routing.configuration import Account, Route, RoutingConfiguration

AllowedRegions = frozenset[str] | None
"""Areas in which a request may be served; None where any will do."""


class Regions:
    """Know the area of each failure domain."""

    __slots__ = ("_by_domain",)

    def __init__(self, *, by_domain: Mapping[str, str]) -> None:
        self._by_domain = dict(by_domain)

    def find(self, failure_domain: str) -> str | None:
        """Return the area of a failure domain; nothing where nobody told."""
        return self._by_domain.get(failure_domain)

    def may_serve(self, allowed: AllowedRegions, failure_domain: str) -> bool:
        """Tell whether a failure domain lies in one of the homes."""
        # One whose area is unknown may be abroad: a body that was sent there can't be
        # taken back.
        return allowed is None or self.find(failure_domain) in allowed

    def list_unknown_domains(self, failure_domains: frozenset[str]) -> list[str]:
        """Return those that the settings don't name, where they name any."""
        known = self._by_domain
        return sorted(d for d in failure_domains if d not in known) if known else []

    def list_unknown_regions(self, configuration: RoutingConfiguration) -> list[str]:
        """Return the homes of a configuration that are no area, where any is known."""
        known = set(self._by_domain.values())
        named = {
            home for homes in _list_allowed_regions(configuration) for home in homes
        }
        return sorted(named - known) if known else []


def find_common_regions(configuration: RoutingConfiguration) -> frozenset[str]:
    """Return the areas that are a home of whatever has any; of some where none is."""
    bound = [frozenset(homes) for homes in _list_allowed_regions(configuration)]
    if not bound:
        return frozenset()
    return frozenset.intersection(*bound) or frozenset.union(*bound)


def find_allowed_regions(route: Route, account: Account | None) -> AllowedRegions:
    """Return where a request may be served; both its route and its account bind."""
    bounds = [
        route.allowed_regions,
        account.allowed_regions if account is not None else (),
    ]
    found: AllowedRegions = None
    for homes in bounds:
        if homes:
            found = frozenset(homes) if found is None else found & frozenset(homes)
    return found


def _list_allowed_regions(configuration: RoutingConfiguration) -> list[tuple[str, ...]]:
    found = [route.allowed_regions for route in configuration.routes]
    found += [account.allowed_regions for account in configuration.accounts]
    return [homes for homes in found if homes]
