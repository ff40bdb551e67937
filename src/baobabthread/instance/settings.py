"""Start-up settings of an instance."""

from __future__ import annotations

import msgspec

from baobabthread.routing.bounds import RoutingBounds
from baobabthread.routing.mechanisms import NONE_DISABLED, DisabledMechanisms


class InstanceSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Addresses, name and bounds of one instance."""

    name: str
    failure_domain: str
    region: str
    ip: str
    callers_address: str
    readiness_address: str
    directory_address: str
    control_address: str
    """Address at which other instances fetch this one's replica."""
    gossip_port: int
    """UDP port, the same on all instances."""
    seeds: tuple[str, ...]
    """Control addresses of other instances."""
    store_address: str
    memory_mb: int = 300
    max_descriptors: int = 4096
    bounds: RoutingBounds = RoutingBounds()
    off: DisabledMechanisms = NONE_DISABLED
    """Mechanisms that are disabled, to measure their benefit."""
    regions: dict[str, str] = {}
    """Region by failure domain."""

    @property
    def gossip_address(self) -> str:
        """The address at which other instances reach this one."""
        return f"{self.ip}:{self.gossip_port}"

    @property
    def has_other_seeds(self) -> bool:
        """Whether the seeds name any other instance."""
        return any(seed.rpartition(":")[0] != self.ip for seed in self.seeds)

    @property
    def control_port(self) -> int:
        """The control port, the same on all instances."""
        return int(self.control_address.rpartition(":")[2])
