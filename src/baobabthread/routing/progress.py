"""Roll-out progress that instances report to each other."""

from __future__ import annotations

import msgspec

from baobabthread.core.positions import OperatorsPosition
from baobabthread.routing.configuration import RolloutState
from baobabthread.routing.exposure import Exposure


class Progress(msgspec.Struct, frozen=True, kw_only=True):
    """Progress of a roll-out at one instance."""

    service: str
    offset: int = msgspec.field(name="number")
    elapsed_s: float
    share: float
    old_running: int
    """Requests still running on the old version."""
    alarm: str | None = None
    is_suspicious: bool = False
    """Whether the sender's bets against the version exceed their usual level."""
    is_final: bool = False
    """Whether the final phase, in which all requests move, has begun."""
    base: str | None = None
    """Version in force before the order, if known to the sender."""
    has_target_servers: bool = msgspec.field(default=True, name="has_begun")
    """Whether the sender knows servers of the new version that accept work."""
    total: Exposure = Exposure()
    """Requests sent by all instances, as far as known to the sender."""
    admits: bool = True
    """Whether the leader admits further sessions to the new version."""
    final_quota: float | None = msgspec.field(default=None, name="end_part")
    """Requests that each instance may admit in the final phase."""
    state: RolloutState = RolloutState.RUNNING
    era: int | msgspec.UnsetType = msgspec.UNSET
    """Era of the order; left out if the store names none."""
    base_order: OperatorsPosition | msgspec.UnsetType = msgspec.UNSET
    """Newest order that `base` takes account of; left out if there is none."""

    @property
    def number(self) -> OperatorsPosition:
        """Position of the order in the operators' log."""
        return OperatorsPosition(self.era or 0, self.offset)
