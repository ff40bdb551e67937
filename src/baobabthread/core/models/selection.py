"""The choice of candidate versions for one request; on the path of every request."""

from __future__ import annotations

from collections.abc import Collection, Mapping, Sequence

import msgspec

from baobabthread.core.configuration.configuration import VersionState
from baobabthread.core.requests.attempts import draw


class Split(msgspec.Struct, frozen=True, kw_only=True):
    """Send a share of the requests that an old version would get to a new one."""

    rollout: str
    """The roll-out's id: each roll-out draws its own share of the keys."""
    old: str
    new: str
    share: float


class Barred(msgspec.Struct, frozen=True, kw_only=True):
    """Name a quarantined version, for one call or for all."""

    version: str
    call: str | None = None


class Damped(msgspec.Struct, frozen=True, kw_only=True):
    """Name a suspected version that gets only a share of its requests."""

    version: str
    call: str | None = None
    kept: float
    """The share that it still gets while another version can answer."""


class Selection(msgspec.Struct, frozen=True, kw_only=True):
    """Hold what is the same for all requests of a service until a change."""

    cascade: Sequence[str]
    """The service's versions, cheapest first."""
    states: Mapping[str, VersionState]
    """The state of each of the service's versions."""
    splits: Sequence[Split] = ()
    """Roll-outs in the order of their publication."""
    barred: Collection[Barred] = frozenset()
    damped: Sequence[Damped] = ()


def choose_versions(
    selection: Selection,
    *,
    call: str,
    allowed: Collection[str],
    key: str,
    pinned: str | None = None,
) -> list[str]:
    """Return the versions that may answer a request, cheapest first.

    `allowed` are the account's versions, empty for all. `key` is the session's or
    the request's: every entry gives the same key the same side of a roll-out. An
    empty list means that nothing may answer: refuse the request.
    """
    if pinned is not None and _is_usable(selection, pinned, call, allowed, True):
        return [pinned]
    result: list[str] = []
    for version in selection.cascade:
        chosen = _follow_splits(selection, version, call, allowed, key)
        if chosen is not None and chosen not in result:
            result.append(chosen)
    if selection.damped and len(result) > 1:
        result = _damp(selection.damped, result, call, key)
    return result or _fall_back(selection, call, allowed)


def _damp(
    damped: Sequence[Damped], versions: list[str], call: str, key: str
) -> list[str]:
    """Leave suspected versions out of most requests, but never all versions."""
    left_out = {
        each.version
        for each in damped
        if each.call in (None, call) and draw(f"damp/{each.version}", key) >= each.kept
    }
    return [version for version in versions if version not in left_out] or versions


def _follow_splits(
    selection: Selection,
    version: str,
    call: str,
    allowed: Collection[str],
    key: str,
) -> str | None:
    """Return what answers in a version's place; None when nothing may."""
    chosen = version
    usable = version if _is_usable(selection, version, call, allowed, False) else None
    for split in selection.splits:
        if split.old != chosen:
            continue
        new_is_usable = _is_usable(selection, split.new, call, allowed, False)
        if not new_is_usable:
            continue
        # A barred or withdrawn old version leaves its whole share to the new one:
        # refusing those keys would cut callers off while a version is at hand.
        drawn = split.share > 0 and draw(split.rollout, key) < split.share
        if drawn or (usable is None and split.share > 0):
            chosen = usable = split.new
    return usable


def _is_usable(
    selection: Selection,
    version: str,
    call: str,
    allowed: Collection[str],
    is_pinned: bool,
) -> bool:
    state = selection.states.get(version)
    if state is None or state is VersionState.WITHDRAWN:
        return False
    if state is VersionState.DRAINING and not is_pinned:
        return False
    if allowed and version not in allowed:
        return False
    return not selection.barred or not _is_barred(selection.barred, version, call)


def _is_barred(barred: Collection[Barred], version: str, call: str) -> bool:
    return any(
        each.version == version and (each.call is None or each.call == call)
        for each in barred
    )


def _fall_back(selection: Selection, call: str, allowed: Collection[str]) -> list[str]:
    # Quarantines can take every version of the cascade; another version that the
    # account allows still answers. Quarantined ones stay out: their answers harm.
    rolled_out = {split.new for split in selection.splits if split.share <= 0}
    return [
        version
        for version in selection.states
        if version not in rolled_out
        and _is_usable(selection, version, call, allowed, False)
    ][:1]
