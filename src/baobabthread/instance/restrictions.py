"""Which backend servers must get nothing now: evacuated, abroad, or cold."""

from __future__ import annotations

from collections.abc import Iterable

from baobabthread.logs import log_event
from baobabthread.routing.bounds import RoutingBounds
from baobabthread.routing.configuration import BackendRecord, ServiceConfiguration
from baobabthread.routing.regions import AllowedRegions, Regions
from baobabthread.routing.replica import StateReplica
from baobabthread.routing.warmup import (
    SenderCount,
    SendWindows,
    compute_interval_s,
)

NO_BACKENDS: frozenset[str] = frozenset()


class Restrictions:
    """Tell which backend servers an attempt must not go to, and why."""

    __slots__ = (
        "_bounds",
        "_checked_version",
        "_cold",
        "_evacuated",
        "_outside_regions",
        "_population",
        "_regions",
        "_replica",
        "_windows",
    )

    def __init__(
        self, *, me: str, replica: StateReplica, regions: Regions, bounds: RoutingBounds
    ) -> None:
        self._replica = replica
        self._regions = regions
        self._bounds = bounds
        self._population = SenderCount()
        self._windows = SendWindows(me=me)
        self._outside_regions: dict[frozenset[str], frozenset[str]] = {}
        self._cold: dict[str, ServiceConfiguration] = {}
        """Cold starts, with the service that bounds what they get."""
        self._evacuated: frozenset[str] = NO_BACKENDS
        self._checked_version = -1
        """Version of the configuration whose homes were checked."""

    def update_members(self, names: Iterable[str], now: float) -> None:
        """Note which instances are known, in any state."""
        self._population.record(names, now)

    def refresh(self, now: float) -> None:
        """Take over what is known of evacuations, homes and cold servers."""
        self._outside_regions.clear()
        self._check_allowed_regions()
        self._apply_evacuations(now)
        plans = self._warm_up_plans()
        self._cold = {
            record.incarnation: plans[record.service]
            for record in self._replica.backends.values()
            if self._replica.cold_servers.left_s(record.incarnation, now)
            and record.service in plans
        }

    def drop_warm(self, now: float) -> list[str]:
        """Forget the servers that are warm by now and return them."""
        warm = self._replica.cold_servers.drop_warm(now)
        for name in warm:
            self._cold.pop(name, None)
            self._windows.forget(name)
        return warm

    def is_evacuated(self, record: BackendRecord) -> bool:
        """Tell whether a server's failure domain is evacuated."""
        return record.failure_domain in self._evacuated

    def is_cold(self, record: BackendRecord) -> bool:
        """Tell whether a server bears only few requests now."""
        return record.incarnation in self._cold

    def list_restricted(
        self, allowed_regions: AllowedRegions, now: float
    ) -> frozenset[str]:
        """Return the starts that must not get a request with such homes now."""
        if not self._cold:
            return self._list_outside_regions(allowed_regions)
        closed = [name for name in self._cold if not self._is_window_open(name, now)]
        return self._list_outside_regions(allowed_regions).union(closed)

    def record_sent(self, name: str, now: float) -> None:
        """Count an attempt that goes to a server."""
        if name in self._cold:
            self._windows.mark_used(name, self._send_interval_s(name, now), now)

    def explain_unavailable(self, service: str, allowed_regions: AllowedRegions) -> str:
        """Return why no server of a service is left for a request."""
        records = [
            record
            for record in self._replica.backends.values()
            if record.service == service and not record.leaving
        ]
        open_ones = [record for record in records if not self.is_evacuated(record)]
        if records and not open_ones:
            return "backends_evacuated"
        near = [
            r
            for r in open_ones
            if self._regions.may_serve(allowed_regions, r.failure_domain)
        ]
        if open_ones and not near:
            return "no_backend_at_home"
        if near and all(record.incarnation in self._cold for record in near):
            return "backends_cold"
        return "no_backend"

    def _warm_up_plans(self) -> dict[str, ServiceConfiguration]:
        table = self._replica.table
        plans = table.services if table is not None else {}
        return {name: plan for name, plan in plans.items() if plan.warmup_rate > 0.0}

    def _is_window_open(self, name: str, now: float) -> bool:
        return self._windows.is_open(name, self._send_interval_s(name, now), now)

    def _send_interval_s(self, name: str, now: float) -> float:
        bounds = self._bounds
        most = self._cold[name].warmup_rate * bounds.cold_factor + bounds.cold_extra
        return compute_interval_s(max_per_s=most, members=self._population.count(now))

    def _list_outside_regions(self, allowed_regions: AllowedRegions) -> frozenset[str]:
        if allowed_regions is None:
            return NO_BACKENDS
        found = self._outside_regions.get(allowed_regions)
        if found is None:
            found = self._outside_regions[allowed_regions] = frozenset(
                record.incarnation
                for record in self._replica.backends.values()
                if not self._regions.may_serve(allowed_regions, record.failure_domain)
            )
        return found

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
        # Failure: a domain is open again before its servers' records say that they
        # were started anew meanwhile. Idle as they are, they would get all that comes.
        plans = self._warm_up_plans()
        for record in self._replica.backends.values():
            plan = plans.get(record.service)
            if record.failure_domain in ended and plan is not None:
                self._replica.cold_servers.record(
                    record.incarnation, plan.warmup_s, now
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
