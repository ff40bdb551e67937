"""Which backend servers must get nothing now: evacuated, abroad, or cold."""

from __future__ import annotations

from collections.abc import Iterable

from baobabthread.logs import log_event
from baobabthread.routing.bounds import RoutingBounds
from baobabthread.routing.coldness import (
    Population,
    SendWindows,
    choose_gap_s,
)
from baobabthread.routing.configuration import BackendRecord, ServicePlan
from baobabthread.routing.homes import Areas, Homes
from baobabthread.routing.knowledge import Knowledge

NONE: frozenset[str] = frozenset()


class Restrictions:
    """Tell which backend servers an attempt must not go to, and why."""

    __slots__ = (
        "_abroad",
        "_areas",
        "_bounds",
        "_checked",
        "_cold",
        "_evacuated",
        "_knowledge",
        "_population",
        "_windows",
    )

    def __init__(
        self, *, me: str, knowledge: Knowledge, areas: Areas, bounds: RoutingBounds
    ) -> None:
        self._knowledge = knowledge
        self._areas = areas
        self._bounds = bounds
        self._population = Population()
        self._windows = SendWindows(me=me)
        self._abroad: dict[frozenset[str], frozenset[str]] = {}
        self._cold: dict[str, ServicePlan] = {}
        """Cold starts, with the service that bounds what they get."""
        self._evacuated: frozenset[str] = NONE
        self._checked = -1
        """Version of the configuration whose homes were checked."""

    def note_members(self, names: Iterable[str], now: float) -> None:
        """Note which instances are known, in any state."""
        self._population.note(names, now)

    def refresh(self, now: float) -> None:
        """Take over what is known of evacuations, homes and cold servers."""
        self._abroad.clear()
        self._check_homes()
        self._take_evacuations(now)
        plans = self._plans()
        self._cold = {
            record.incarnation: plans[record.service]
            for record in self._knowledge.backends.values()
            if self._knowledge.cold.left_s(record.incarnation, now)
            and record.service in plans
        }

    def drop_warm(self, now: float) -> list[str]:
        """Forget the servers that are warm by now and return them."""
        warm = self._knowledge.cold.drop_warm(now)
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

    def list_barred(self, homes: Homes, now: float) -> frozenset[str]:
        """Return the starts that must not get a request with such homes now."""
        if not self._cold:
            return self._list_abroad(homes)
        closed = [name for name in self._cold if not self._is_open(name, now)]
        return self._list_abroad(homes).union(closed)

    def note_sent(self, name: str, now: float) -> None:
        """Count an attempt that goes to a server."""
        if name in self._cold:
            self._windows.use(name, self._gap_s(name, now), now)

    def explain(self, service: str, homes: Homes) -> str:
        """Return why no server of a service is left for a request."""
        records = [
            record
            for record in self._knowledge.backends.values()
            if record.service == service and not record.leaving
        ]
        open_ones = [record for record in records if not self.is_evacuated(record)]
        if records and not open_ones:
            return "backends_evacuated"
        near = [r for r in open_ones if self._areas.may_serve(homes, r.failure_domain)]
        if open_ones and not near:
            return "no_backend_at_home"
        if near and all(record.incarnation in self._cold for record in near):
            return "backends_cold"
        return "no_backend"

    def _plans(self) -> dict[str, ServicePlan]:
        table = self._knowledge.table
        plans = table.services if table is not None else {}
        return {name: plan for name, plan in plans.items() if plan.cold_rate > 0.0}

    def _is_open(self, name: str, now: float) -> bool:
        return self._windows.is_open(name, self._gap_s(name, now), now)

    def _gap_s(self, name: str, now: float) -> float:
        bounds = self._bounds
        most = self._cold[name].cold_rate * bounds.cold_factor + bounds.cold_extra
        return choose_gap_s(most=most, members=self._population.count(now))

    def _list_abroad(self, homes: Homes) -> frozenset[str]:
        if homes is None:
            return NONE
        found = self._abroad.get(homes)
        if found is None:
            found = self._abroad[homes] = frozenset(
                record.incarnation
                for record in self._knowledge.backends.values()
                if not self._areas.may_serve(homes, record.failure_domain)
            )
        return found

    def _take_evacuations(self, now: float) -> None:
        evacuated = self._knowledge.evacuations.domains
        if evacuated == self._evacuated:
            return
        ended = self._evacuated - evacuated
        self._evacuated = evacuated
        log_event(
            "evacuations_in_force",
            failure_domains=",".join(sorted(evacuated)),
            unknown=",".join(self._areas.list_unknown_domains(evacuated)),
        )
        # Failure: a domain is open again before its servers' records say that they
        # were started anew meanwhile. Idle as they are, they would get all that comes.
        plans = self._plans()
        for record in self._knowledge.backends.values():
            plan = plans.get(record.service)
            if record.failure_domain in ended and plan is not None:
                self._knowledge.cold.note(record.incarnation, plan.cold_s, now)

    def _check_homes(self) -> None:
        table = self._knowledge.table
        if table is None or table.configuration.version == self._checked:
            return
        self._checked = table.configuration.version
        unknown = self._areas.list_unknown_homes(table.configuration)
        if unknown:
            log_event(
                "homes_unknown",
                level="warning",
                areas=",".join(unknown),
                version=self._checked,
            )
