"""Which instances callers may connect to, and for how long."""

from __future__ import annotations

from collections.abc import Callable, Sequence

import msgspec

from baobabthread.core.membership.messages import MemberInfo

LIFETIME_S = 2.0
"""How long callers keep addresses. Some keep them three times as long, which still
ends before an instance that is told to stop is gone."""
MAX_ADDRESSES = 64
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
) -> Directory:
    """Return the addresses of the instances that serve, near ones first.

    `is_stale` tells which members said of late that they refuse keys.
    """
    others = [member for member in serving if member.name != me.name]
    ready = [member for member in others if not is_stale(member)]
    if len(ready) < LEAST_READY_PART * len(others):
        # The store is away, not they: it comes back for all in the same moment, and
        # callers that know only the few that said so first would overrun those.
        ready = others
    if i_am_ready or not ready:
        # With nobody else known this instance is the only one that may help.
        ready.append(me)
    ready.sort(key=lambda m: (m.failure_domain != failure_domain, m.name))
    return Directory(
        addresses=[member.address for member in ready[:MAX_ADDRESSES]],
        lifetime_s=min(LIFETIME_S, max_lifetime_s),
    )
