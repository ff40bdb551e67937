"""Messages that carry an instance's replica, in full or as changes."""

from __future__ import annotations

import msgspec

from baobabthread.routing.configuration import (
    BackendRecord,
    Evacuation,
    RolloutOrder,
    RoutingConfiguration,
)


class Snapshot(msgspec.Struct, frozen=True, kw_only=True):
    """Full replica of one instance, for a peer that can't read the store."""

    operators_end: int
    """Offset up to which the operators' log was read."""
    operators_age_s: float
    """Seconds since the request of the last read that found nothing newer."""
    configuration: RoutingConfiguration | None
    """None if the requesting peer has read as far."""
    orders: list[RolloutOrder]
    backends_end: int
    backends_age_s: float
    backends: list[BackendRecord]
    evacuations: list[Evacuation] = []
    """The newest evacuation record of each failure domain, including ended ones."""


class BackendChanges(msgspec.Struct, frozen=True, kw_only=True):
    """Backend servers that changed or were removed since an offset."""

    changed: list[BackendRecord]
    removed: list[str]
