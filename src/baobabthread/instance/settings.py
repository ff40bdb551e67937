"""What one instance needs to know before it starts."""

from __future__ import annotations

import msgspec

from baobabthread.routing.bounds import RoutingBounds
from baobabthread.routing.mechanisms import NONE_DISABLED, DisabledMechanisms


class InstanceSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the addresses, the name and the bounds of one instance."""

    name: str
    failure_domain: str
    region: str
    ip: str
    callers_address: str
    readiness_address: str
    directory_address: str
    control_address: str
    """Where other instances fetch what this one knows."""
    gossip_port: int
    """UDP port, the same at all instances."""
    seeds: tuple[str, ...]
    """Control addresses of other instances."""
    store_address: str
    memory_mb: int = 300
    bounds: RoutingBounds = RoutingBounds()
    off: DisabledMechanisms = NONE_DISABLED
    """Mechanisms that are switched off, to measure what they are worth."""
    regions: dict[str, str] = {}
    """Areas by failure domain."""

    @property
    def gossip_address(self) -> str:
        """Give the address at which other instances reach this one."""
        return f"{self.ip}:{self.gossip_port}"

    @property
    def has_other_seeds(self) -> bool:
        """Tell whether it was told of any other instance."""
        return any(seed.rpartition(":")[0] != self.ip for seed in self.seeds)

    @property
    def control_port(self) -> int:
        """Give the control port, the same at all instances."""
        return int(self.control_address.rpartition(":")[2])
