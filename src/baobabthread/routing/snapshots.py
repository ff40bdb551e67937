"""Messages that carry an instance's replica, in full or as changes."""

from __future__ import annotations

import msgspec

from baobabthread.core.positions import BackendsPosition, OperatorsPosition
from baobabthread.routing.configuration import (
    BackendRecord,
    Evacuation,
    RolloutOrder,
    RoutingConfiguration,
)


class Snapshot(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Full replica of one instance, for a peer that can't read the store."""

    operators_offset: int = msgspec.field(name="operators_end")
    operators_age_s: float
    """Seconds since the request of the last read that found nothing newer."""
    configuration: RoutingConfiguration | None
    """None if the requesting peer has read as far."""
    orders: list[RolloutOrder]
    backends_offset: int = msgspec.field(name="backends_end")
    backends_age_s: float
    backends: list[BackendRecord]
    evacuations: list[Evacuation] = []
    """The newest evacuation record of each failure domain, including ended ones."""
    operators_era: int = 0
    backends_era: int = 0

    @property
    def operators_end(self) -> OperatorsPosition:
        """Position up to which the operators' log was read."""
        return OperatorsPosition(self.operators_era, self.operators_offset)

    @property
    def backends_end(self) -> BackendsPosition:
        """Position up to which the backend servers' records were read."""
        return BackendsPosition(self.backends_era, self.backends_offset)


class BackendChanges(msgspec.Struct, frozen=True, kw_only=True):
    """Backend servers that changed or were removed since a position."""

    changed: list[BackendRecord]
    removed: list[str]
