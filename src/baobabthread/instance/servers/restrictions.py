"""Backend servers excluded by evacuation, regions, warm-up or their own word."""

from __future__ import annotations

from collections.abc import Callable, Collection

from baobabthread.instance.servers.limits import LimitCoordinator
from baobabthread.instance.servers.places import PlaceCoordinator
from baobabthread.instance.servers.rests import RestCoordinator
from baobabthread.logs import log_event
from baobabthread.routing.bounds import RoutingBounds
from baobabthread.routing.configuration import BackendRecord, ServiceConfiguration
from baobabthread.routing.regions import AllowedRegions, Regions
from baobabthread.routing.replica import StateReplica
from baobabthread.routing.servers.warmup import (
    SenderCount,
    SendWindows,
    compute_interval_s,
)

NO_BACKENDS: frozenset[str] = frozenset()


ListOutOfReach = Callable[[AllowedRegions], frozenset[str]]
"""Return the servers that only peers outside the regions of a request reach."""


class Restrictions:
    """Determine which backend servers an attempt must not use, and why."""

    __slots__ = (
        "_bounds",
        "_checked_version",
        "_cold",
        "_evacuated",
        "_outside_regions",
        "_regions",
        "_replica",
        "_senders",
        "_windows",
        "limits",
        "list_out_of_reach",
        "places",
        "rests",
    )

    def __init__(
        self,
        *,
        me: str,
        replica: StateReplica,
        regions: Regions,
        bounds: RoutingBounds,
        limits: LimitCoordinator,
        places: PlaceCoordinator,
        rests: RestCoordinator,
    ) -> None:
        self.limits = limits
        self.places = places
        self.rests = rests
        self._replica = replica
        self._regions = regions
        self._bounds = bounds
        self._senders = SenderCount()
        self._windows = SendWindows(me=me)
        self._outside_regions: dict[frozenset[str], frozenset[str]] = {}
        self.list_out_of_reach: ListOutOfReach = lambda allowed_regions: NO_BACKENDS
        self._cold: dict[str, ServiceConfiguration] = {}
        """Incarnations of cold servers, with the service that limits their rate."""
        self._evacuated: frozenset[str] = NO_BACKENDS
        self._checked_version = -1
        """Version of the configuration whose allowed regions were checked."""

    def update_members(self, names: list[str], now: float) -> None:
        """Update the known instances, whatever their state."""
        self._senders.record(names, now)
        self.limits.update_senders(names)
        self.places.update_senders(names)

    def refresh(self, now: float) -> None:
        """Apply the current evacuations, allowed regions and cold servers."""
        self._outside_regions.clear()
        self._check_allowed_regions()
        self._apply_evacuations(now)
        services = self._list_warmup_services()
        self._cold = {
            record.incarnation: services[record.service]
            for record in self._replica.backends.values()
            if self._replica.cold_servers.left_s(record.incarnation, now)
            and record.service in services
        }

    def drop_warm(self, now: float) -> list[str]:
        """Drop and return the servers that have become warm."""
        warm = self._replica.cold_servers.drop_warm(now)
        for name in warm:
            self._cold.pop(name, None)
            self._windows.forget(name)
        return warm

    def is_evacuated(self, record: BackendRecord) -> bool:
        """Return whether a server's failure domain is evacuated."""
        return record.failure_domain in self._evacuated

    def is_cold(self, record: BackendRecord) -> bool:
        """Return whether a server is cold and gets a limited rate of requests."""
        return record.incarnation in self._cold

    def list_restricted(
        self, allowed_regions: AllowedRegions, now: float, *, may_wait: bool = False
    ) -> frozenset[str]:
        """Return incarnations that must not get a request with these regions now.

        `may_wait` leaves out limited servers, which may get it later.
        """
        closed = [name for name in self._cold if not self._is_window_open(name, now)]
        closed.extend(self.rests.rests.list_resting(now))
        if not may_wait:
            closed.extend(self.limits.list_closed(now))
            closed.extend(self.places.list_closed(now))
        if not closed:
            return self._list_outside_regions(allowed_regions)
        return self._list_outside_regions(allowed_regions).union(closed)

    def is_resting(self, name: str, now: float) -> bool:
        """Return whether a server asked this instance for rest."""
        return self.rests.rests.left_s(name, now) > 0.0

    def has_resting(self, now: float) -> bool:
        """Return whether any server asked this instance for rest."""
        return bool(self.rests.rests.list_resting(now))

    def drop_rested(self, now: float) -> list[str]:
        """Drop and return the servers whose rest has ended."""
        return self.rests.rests.drop_ended(now)

    def find_rest_left(
        self, names: Collection[str], allowed_regions: AllowedRegions, now: float
    ) -> float | None:
        """Return the time until one of these servers may be used if all of them rest.

        Servers outside the allowed regions don't count. None if one does not rest.
        """
        rests = self.rests.rests
        outside = self._list_outside_regions(allowed_regions)
        left = [rests.left_s(name, now) for name in names if name not in outside]
        return min(left) if left and all(left) else None

    def record_sent(self, name: str, now: float) -> None:
        """Record that an attempt is sent to a server."""
        if name in self._cold:
            self._windows.mark_used(name, self._send_interval_s(name, now), now)

    def explain_unavailable(self, service: str, allowed_regions: AllowedRegions) -> str:
        """Return the reason why no server of a service is available for a request."""
        listed = [r for r in self._replica.backends.values() if r.service == service]
        records = [record for record in listed if not record.leaving]
        if listed and not records:
            return "backends_leaving"
        available = [record for record in records if not self.is_evacuated(record)]
        if records and not available:
            return "backends_evacuated"
        allowed = [
            r
            for r in available
            if self._regions.may_serve(allowed_regions, r.failure_domain)
        ]
        if available and not allowed:
            return "no_backend_at_home"
        if allowed and all(record.incarnation in self._cold for record in allowed):
            return "backends_cold"
        return "no_backend"

    def _list_warmup_services(self) -> dict[str, ServiceConfiguration]:
        table = self._replica.table
        services = table.services if table is not None else {}
        return {
            name: service
            for name, service in services.items()
            if service.warmup_rate > 0.0
        }

    def _is_window_open(self, name: str, now: float) -> bool:
        return self._windows.is_open(name, self._send_interval_s(name, now), now)

    def _send_interval_s(self, name: str, now: float) -> float:
        bounds = self._bounds
        max_per_s = (
            self._cold[name].warmup_rate * bounds.cold_factor + bounds.cold_extra
        )
        return compute_interval_s(
            max_requests=max_per_s, members=self._senders.count(now)
        )

    def _list_outside_regions(self, allowed_regions: AllowedRegions) -> frozenset[str]:
        if allowed_regions is None:
            return NO_BACKENDS
        outside = self._outside_regions.get(allowed_regions)
        if outside is None:
            outside = self._outside_regions[allowed_regions] = frozenset(
                record.incarnation
                for record in self._replica.backends.values()
                if not self._regions.may_serve(allowed_regions, record.failure_domain)
            )
        out_of_reach = self.list_out_of_reach(allowed_regions)
        return outside | out_of_reach if out_of_reach else outside

    def _apply_evacuations(self, now: float) -> None:
        evacuated = self._replica.evacuations.domains
        if evacuated == self._evacuated:
            return
        ended = self._evacuated - evacuated
        self._evacuated = evacuated
        log_event(
            "evacuations_in_force",
            failure_domains=",".join(sorted(evacuated)),
            unknown=",".join(self._regions.list_unknown_domains(evacuated)),
        )
        # The evacuation may end before the records show that servers were restarted
        # meanwhile. Being idle, cold servers would get all requests.
        services = self._list_warmup_services()
        for record in self._replica.backends.values():
            service = services.get(record.service)
            if record.failure_domain in ended and service is not None:
                self._replica.cold_servers.record(
                    record.incarnation, service.warmup_s, now
                )

    def _check_allowed_regions(self) -> None:
        table = self._replica.table
        if table is None or table.configuration.version == self._checked_version:
            return
        self._checked_version = table.configuration.version
        unknown = self._regions.list_unknown_regions(table.configuration)
        if unknown:
            log_event(
                "homes_unknown",
                level="warning",
                areas=",".join(unknown),
                version=self._checked_version,
            )
