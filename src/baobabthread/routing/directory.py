"""Which instances callers may connect to, and for how long."""

from __future__ import annotations

from collections.abc import Callable, Sequence

import msgspec

from baobabthread.core.membership.messages import MemberInfo
from baobabthread.core.rendezvous import rank
from baobabthread.routing.regions import Regions

ADDRESS_LIFETIME_S = 2.0
"""How long callers keep addresses. Some keep them three times as long, which still
ends before an instance that is told to stop is gone."""
MAX_ADDRESSES = 64
MIN_ADDRESSES = 32
"""Instances that callers of one failure domain are spread over at least. Those of their
own come first; as many others are named as lack, other ones for each domain. With the
first of all names for everybody, 32 of 195 instances got 10 requests a second each and
half of them less than 1.7 (computed over all answers)."""
MIN_READY_FRACTION = 0.5
"""Part of the instances that must be ready for the others to be left out."""


class AddressList(msgspec.Struct, frozen=True, kw_only=True):
    """Answer a caller's question for addresses."""

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
    """Return the addresses of the instances that serve, near ones first.

    `is_stale` tells which members said of late that they refuse keys; `area` is the
    caller's and `homes` those in which the bodies of all callers may be read.
    """
    if regions is not None:
        able = [member for member in serving if member.name != me.name]
        if is_ready:
            able.append(me)
        serving = _filter_by_region(able, region, allowed_regions, regions)
        is_ready = is_ready and me in serving
    others = [member for member in serving if member.name != me.name]
    ready = [member for member in others if not is_stale(member)]
    if len(ready) < MIN_READY_FRACTION * len(others):
        # The store is away, not they: it comes back for all in the same moment, and
        # callers that know only the few that said so first would overrun those.
        ready = others
    if is_ready or not ready:
        # With nobody else known this instance is the only one that may help.
        ready.append(me)
    named = _choose_members(ready, failure_domain, responder=me.name)
    return AddressList(
        addresses=[member.address for member in named],
        lifetime_s=min(ADDRESS_LIFETIME_S, max_lifetime_s),
    )


def _filter_by_region(
    serving: Sequence[MemberInfo],
    region: str | None,
    allowed_regions: frozenset[str],
    regions: Regions,
) -> Sequence[MemberInfo]:
    """Leave out the instances that a caller's body must not be sent to.

    Those of the caller's own area may read any; where none is left there, those at home
    may. Without homes any instance is better than none.
    """
    for allowed in (frozenset({region}), allowed_regions):
        found = [m for m in serving if regions.find(m.failure_domain) in allowed]
        if found:
            return found
    return serving


def _choose_members(
    ready: Sequence[MemberInfo], failure_domain: str | None, *, responder: str
) -> list[MemberInfo]:
    near = [m for m in ready if m.failure_domain == failure_domain]
    far = [m for m in ready if m.failure_domain != failure_domain]
    if len(near) > MAX_ADDRESSES:
        # Whoever is asked names others, so that none of them is left out by all.
        near = _sample(near, MAX_ADDRESSES, key=responder)
    # The same ones for all callers of a domain: each keeps fewer connections to
    # backend servers open than if all sent everywhere.
    lacking = max(0, MIN_ADDRESSES - len(near))
    return [
        *_sort(near),
        *_sort(_sample(far, lacking, key=failure_domain or responder)),
    ]


def _sample(members: Sequence[MemberInfo], count: int, *, key: str) -> list[MemberInfo]:
    if count >= len(members):
        return list(members)
    by_name = {member.name: member for member in members}
    return [by_name[name] for name in rank(key, by_name)[:count]]


def _sort(members: Sequence[MemberInfo]) -> list[MemberInfo]:
    return sorted(members, key=lambda member: member.name)
