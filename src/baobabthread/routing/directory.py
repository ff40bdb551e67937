"""Directory of the instances that callers may connect to."""

from __future__ import annotations

from collections.abc import Callable, Sequence

import msgspec

from baobabthread.core.membership.messages import MemberInfo
from baobabthread.core.rendezvous import rank
from baobabthread.routing.regions import Regions

ADDRESS_LIFETIME_S = 2.0
"""Lifetime of addresses at callers. Some callers keep them three times as long, which
still ends before a stopping instance terminates."""
MAX_ADDRESSES = 64
MIN_ADDRESSES = 32
"""Number of instances over which the callers of a failure domain are spread at least.
Instances of their own domain come first; missing ones are filled up with others, a
different choice for each domain. Filled up with the first by name for all domains, 32
of 195 instances got 10 requests a second each and half of them less than 1.7."""
MIN_READY_FRACTION = 0.5
"""Fraction of the instances that must be ready for the others to be left out."""


class AddressList(msgspec.Struct, frozen=True, kw_only=True):
    """Addresses of instances for a caller, and for how long it may keep them."""

    addresses: list[str]
    lifetime_s: float


def list_addresses(
    *,
    me: MemberInfo,
    serving: Sequence[MemberInfo],
    is_ready: bool,
    is_stale: Callable[[MemberInfo], bool],
    failure_domain: str | None,
    max_lifetime_s: float,
    region: str | None = None,
    allowed_regions: frozenset[str] = frozenset(),
    regions: Regions | None = None,
) -> AddressList:
    """Return the addresses of serving instances, those of the caller's domain first.

    `is_stale` returns whether a member recently reported that it rejects keys. `region`
    is the caller's, `allowed_regions` are those in which all bodies may be read.
    """
    if regions is not None:
        candidates = [member for member in serving if member.name != me.name]
        if is_ready:
            candidates.append(me)
        serving = _filter_by_region(candidates, region, allowed_regions, regions)
        is_ready = is_ready and me in serving
    others = [member for member in serving if member.name != me.name]
    ready = [member for member in others if not is_stale(member)]
    if len(ready) < MIN_READY_FRACTION * len(others):
        # The store is unavailable rather than these instances. It returns for all at
        # once, and the few that report it first would be overloaded.
        ready = others
    if is_ready or not ready:
        # If no other instance is known, this one is the only choice.
        ready.append(me)
    chosen = _choose_members(ready, failure_domain, responder=me.name)
    return AddressList(
        addresses=[member.address for member in chosen],
        lifetime_s=min(ADDRESS_LIFETIME_S, max_lifetime_s),
    )


def _filter_by_region(
    serving: Sequence[MemberInfo],
    region: str | None,
    allowed_regions: frozenset[str],
    regions: Regions,
) -> Sequence[MemberInfo]:
    """Leave out the instances that a caller's bodies must not be sent to.

    Instances in the caller's own region may read any body; if there are none, those in
    the allowed regions may. Failing both, any instance is better than none.
    """
    for allowed in (frozenset({region}), allowed_regions):
        matching = [m for m in serving if regions.find(m.failure_domain) in allowed]
        if matching:
            return matching
    return serving


def _choose_members(
    ready: Sequence[MemberInfo], failure_domain: str | None, *, responder: str
) -> list[MemberInfo]:
    near = [m for m in ready if m.failure_domain == failure_domain]
    far = [m for m in ready if m.failure_domain != failure_domain]
    if len(near) > MAX_ADDRESSES:
        # The choice depends on the responder, so that no instance is left out by all.
        near = _sample(near, MAX_ADDRESSES, key=responder)
    # All callers of a domain get the same remote instances, so that each instance keeps
    # fewer connections to backend servers open.
    missing = max(0, MIN_ADDRESSES - len(near))
    return [
        *_sort(near),
        *_sort(_sample(far, missing, key=failure_domain or responder)),
    ]


def _sample(members: Sequence[MemberInfo], count: int, *, key: str) -> list[MemberInfo]:
    if count >= len(members):
        return list(members)
    by_name = {member.name: member for member in members}
    return [by_name[name] for name in rank(key, by_name)[:count]]


def _sort(members: Sequence[MemberInfo]) -> list[MemberInfo]:
    return sorted(members, key=lambda member: member.name)
