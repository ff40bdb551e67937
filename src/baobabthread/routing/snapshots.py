"""What one instance tells another one of all that it knows, or of what changed."""

from __future__ import annotations

import msgspec

from baobabthread.routing.configuration import (
    BackendRecord,
    Evacuation,
    RolloutOrder,
    RoutingConfiguration,
)


class Snapshot(msgspec.Struct, frozen=True, kw_only=True):
    """Hold all that one instance knows, for another one that can't read the store."""

    operators_end: int
    """Where the operators' log was read to."""
    operators_age_s: float
    """Time since the read that showed nothing newer was sent."""
    configuration: RoutingConfiguration | None
    """Left out where the one who asks has read as far."""
    orders: list[RolloutOrder]
    backends_end: int
    backends_age_s: float
    backends: list[BackendRecord]
    evacuations: list[Evacuation] = []
    """The operators' newest word on each failure domain, those taken back as well."""


class BackendChanges(msgspec.Struct, frozen=True, kw_only=True):
    """Hold what became of the backend servers that changed since an offset."""

    changed: list[BackendRecord]
    removed: list[str]
