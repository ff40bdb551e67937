"""Which instances callers may connect to, and for how long."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from baobabthread.core.membership.messages import MemberInfo

LIFETIME_S = 2.0
"""How long callers keep addresses. Some keep them three times as long, which still
ends before an instance that is told to stop is gone."""
MAX_ADDRESSES = 64
FRESH_BEFORE_S = 3.0
"""Age of a member's knowledge from which callers are no longer sent to it."""


class Directory(msgspec.Struct, frozen=True, kw_only=True):
    """Answer a caller's question for addresses."""

    addresses: list[str]
    lifetime_s: float


def list_addresses(
    *,
    me: MemberInfo,
    serving: Sequence[MemberInfo],
    i_am_ready: bool,
    failure_domain: str | None,
    max_lifetime_s: float,
) -> Directory:
    """Return the addresses of the instances that serve, near ones first."""
    ready = [
        member for member in serving if member.name != me.name and _knows_enough(member)
    ]
    if i_am_ready or not ready:
        # With nobody else known this instance is the only one that may help.
        ready.append(me)
    ready.sort(key=lambda m: (m.failure_domain != failure_domain, m.name))
    return Directory(
        addresses=[member.address for member in ready[:MAX_ADDRESSES]],
        lifetime_s=min(LIFETIME_S, max_lifetime_s),
    )


def _knows_enough(member: MemberInfo) -> bool:
    return member.generation > 0 and member.head_age_s < FRESH_BEFORE_S
