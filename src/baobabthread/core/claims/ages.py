"""Whether a key is too old or too new to be taken."""

from __future__ import annotations

from baobabthread.core.claims.keys import ParsedKey
from baobabthread.core.claims.problems import refuse_expired, refuse_malformed
from baobabthread.core.claims.types import ClaimRequest, ClaimSettings, Refuse


def refuse_by_age(
    request: ClaimRequest,
    parsed: ParsedKey,
    *,
    wall_s: float,
    floor_s: float,
    settings: ClaimSettings,
) -> Refuse | None:
    """Return the refusal of a key that is expired or from the future, if it is.

    Keys up to `floor_s`, in unix time, may have been forgotten already.
    """
    if parsed.minted_s is None:
        return refuse_malformed(request) if parsed.incarnation is None else None
    oldest = max(floor_s, wall_s - settings.key_lifetime_s)
    if parsed.minted_s <= oldest:
        return refuse_expired(request)
    if parsed.minted_s > wall_s + settings.clock_skew_s:
        return refuse_malformed(request)
    return None
