"""What instances tell each other of a roll-out."""

from __future__ import annotations

import msgspec

from baobabthread.routing.configuration import RolloutState
from baobabthread.routing.exposure import Exposure


class Progress(msgspec.Struct, frozen=True, kw_only=True):
    """Tell the other instances how far a roll-out has come at this one."""

    service: str
    number: int
    elapsed_s: float
    share: float
    old_running: int
    """Requests that still run on the old version."""
    alarm: str | None = None
    is_suspicious: bool = False
    """Whether the sender's bets against the version are ahead of what is usual."""
    is_final: bool = False
    """Whether the new version takes over all requests."""
    base: str | None = None
    """The version that was in force before the order, as far as the sender knows."""
    has_target_servers: bool = msgspec.field(default=True, name="has_begun")
    """Whether the sender knows servers of the new version that may take work."""
    total: Exposure = Exposure()
    """What all have sent, as far as the sender knows."""
    admits: bool = True
    """Whether further sessions may begin on the new version, by the leader's sums."""
    final_quota: float | None = msgspec.field(default=None, name="end_part")
    """Requests that each instance may decide to send there once it takes over."""
    state: RolloutState = RolloutState.RUNNING
