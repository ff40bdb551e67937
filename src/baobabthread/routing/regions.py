"""Regions that requests must not leave, and the failure domains in them."""

from __future__ import annotations

from collections.abc import Mapping

from baobabthread.routing.configuration import Account, Route, RoutingConfiguration

AllowedRegions = frozenset[str] | None
"""Regions in which a request may be served; None for any."""


class Regions:
    """Regions by failure domain."""

    __slots__ = ("_by_domain",)

    def __init__(self, *, by_domain: Mapping[str, str]) -> None:
        self._by_domain = dict(by_domain)

    def find(self, failure_domain: str) -> str | None:
        """Return the region of a failure domain, None if unknown."""
        return self._by_domain.get(failure_domain)

    def may_serve(self, allowed: AllowedRegions, failure_domain: str) -> bool:
        """Return whether a failure domain lies in one of the allowed regions."""
        # A domain of unknown region may lie outside, and a body can't be recalled.
        return allowed is None or self.find(failure_domain) in allowed

    def list_unknown_domains(self, failure_domains: frozenset[str]) -> list[str]:
        """Return the domains without a region; empty if no regions are configured."""
        known = self._by_domain
        return sorted(d for d in failure_domains if d not in known) if known else []

    def list_unknown_regions(self, configuration: RoutingConfiguration) -> list[str]:
        """Return unknown allowed regions; empty if no regions are configured."""
        known = set(self._by_domain.values())
        named = {
            region
            for allowed in _list_allowed_regions(configuration)
            for region in allowed
        }
        return sorted(named - known) if known else []


def find_common_regions(configuration: RoutingConfiguration) -> frozenset[str]:
    """Return the regions allowed by all restrictions, or by any if none is common."""
    restrictions = [frozenset(r) for r in _list_allowed_regions(configuration)]
    if not restrictions:
        return frozenset()
    return frozenset.intersection(*restrictions) or frozenset.union(*restrictions)


def find_allowed_regions(route: Route, account: Account | None) -> AllowedRegions:
    """Return the regions allowed by both the route and the account of a request."""
    restrictions = [
        route.allowed_regions,
        account.allowed_regions if account is not None else (),
    ]
    allowed: AllowedRegions = None
    for regions in restrictions:
        if regions:
            allowed = (
                frozenset(regions) if allowed is None else allowed & frozenset(regions)
            )
    return allowed


def _list_allowed_regions(configuration: RoutingConfiguration) -> list[tuple[str, ...]]:
    found = [route.allowed_regions for route in configuration.routes]
    found += [account.allowed_regions for account in configuration.accounts]
    return [regions for regions in found if regions]
