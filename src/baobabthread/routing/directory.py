"""Which instances callers may connect to, and for how long."""

from __future__ import annotations

from collections.abc import Callable, Sequence

import msgspec

from baobabthread.core.membership.messages import MemberInfo
from baobabthread.core.rendezvous import rank
from baobabthread.routing.homes import Areas

LIFETIME_S = 2.0
"""How long callers keep addresses. Some keep them three times as long, which still
ends before an instance that is told to stop is gone."""
MAX_ADDRESSES = 64
ENOUGH_NAMED = 32
"""Instances that callers of one failure domain are spread over at least. Those of their
own come first; as many others are named as lack, other ones for each domain. With the
first of all names for everybody, 32 of 195 instances got 10 requests a second each and
half of them less than 1.7 (computed over all answers)."""
LEAST_READY_PART = 0.5
"""Part of the instances that must be ready for the others to be left out."""


class Directory(msgspec.Struct, frozen=True, kw_only=True):
    """Answer a caller's question for addresses."""

    addresses: list[str]
    lifetime_s: float


def list_addresses(
    *,
    me: MemberInfo,
    serving: Sequence[MemberInfo],
    i_am_ready: bool,
    is_stale: Callable[[MemberInfo], bool],
    failure_domain: str | None,
    max_lifetime_s: float,
    area: str | None = None,
    homes: frozenset[str] = frozenset(),
    areas: Areas | None = None,
) -> Directory:
    """Return the addresses of the instances that serve, near ones first.

    `is_stale` tells which members said of late that they refuse keys; `area` is the
    caller's and `homes` those in which the bodies of all callers may be read.
    """
    if areas is not None:
        able = [member for member in serving if member.name != me.name]
        if i_am_ready:
            able.append(me)
        serving = _keep_bodies_home(able, area, homes, areas)
        i_am_ready = i_am_ready and me in serving
    others = [member for member in serving if member.name != me.name]
    ready = [member for member in others if not is_stale(member)]
    if len(ready) < LEAST_READY_PART * len(others):
        # The store is away, not they: it comes back for all in the same moment, and
        # callers that know only the few that said so first would overrun those.
        ready = others
    if i_am_ready or not ready:
        # With nobody else known this instance is the only one that may help.
        ready.append(me)
    named = _choose_near(ready, failure_domain, asked=me.name)
    return Directory(
        addresses=[member.address for member in named],
        lifetime_s=min(LIFETIME_S, max_lifetime_s),
    )


def _keep_bodies_home(
    serving: Sequence[MemberInfo],
    area: str | None,
    homes: frozenset[str],
    areas: Areas,
) -> Sequence[MemberInfo]:
    """Leave out the instances that a caller's body must not be sent to.

    Those of the caller's own area may read any; where none is left there, those at home
    may. Without homes any instance is better than none.
    """
    for allowed in (frozenset({area}), homes):
        found = [m for m in serving if areas.find(m.failure_domain) in allowed]
        if found:
            return found
    return serving


def _choose_near(
    ready: Sequence[MemberInfo], failure_domain: str | None, *, asked: str
) -> list[MemberInfo]:
    near = [m for m in ready if m.failure_domain == failure_domain]
    far = [m for m in ready if m.failure_domain != failure_domain]
    if len(near) > MAX_ADDRESSES:
        # Whoever is asked names others, so that none of them is left out by all.
        near = _draw(near, MAX_ADDRESSES, key=asked)
    # The same ones for all callers of a domain: each keeps fewer connections to
    # backend servers open than if all sent everywhere.
    lacking = max(0, ENOUGH_NAMED - len(near))
    return [*_sort(near), *_sort(_draw(far, lacking, key=failure_domain or asked))]


def _draw(members: Sequence[MemberInfo], count: int, *, key: str) -> list[MemberInfo]:
    if count >= len(members):
        return list(members)
    by_name = {member.name: member for member in members}
    return [by_name[name] for name in rank(key, by_name)[:count]]


def _sort(members: Sequence[MemberInfo]) -> list[MemberInfo]:
    return sorted(members, key=lambda member: member.name)
