"""Connections to the backend servers, and which of them fell silent."""

from __future__ import annotations

import functools
import random
from collections import deque
from collections.abc import Callable, Collection, Container, Mapping

import msgspec
import xxhash

from baobabthread.core.backends import earliest
from baobabthread.core.backends.backends import BalanceSettings
from baobabthread.core.backends.balance import BackendTable
from baobabthread.core.backends.loads import Load
from baobabthread.core.configuration.configuration import (
    EMPTY,
    Backend,
    Configuration,
    Service,
    ServiceKind,
)
from baobabthread.core.limits.limits import Outcome
from baobabthread.core.rendezvous import rank
from baobabthread.instance.clock import now
from baobabthread.instance.connections import ConnectionPool
from baobabthread.instance.restrictions import Restrictions
from baobabthread.logs import log_event
from baobabthread.routing.configuration import BackendRecord
from baobabthread.routing.regions import AllowedRegions
from baobabthread.routing.replica import StateReplica

CONNECT_TIMEOUT_S = 0.4
"""Longest time for a connection: a few milliseconds are usual, and a lost first packet
is sent again after a second, which another backend server can do without."""
OVERTAKING_RESPONSES = 4
"""Answers to later requests after which an earlier one's answer counts as lost."""
SUSPECT_DURATION_S = 2.0
"""Time for which a backend server that gave no sign of life gets no new work while
others have room."""
REPLACED_DURATION_S = 6.0
"""Time for which a server whose address another one has gets no work: its record lapses
after three heartbeats, some four seconds, and the list of them is read within two."""
BALANCER = earliest.NAME
NO_SLOWNESS_EJECTION = 1e6
"""Slowness never ejects a server: under load the time of an answer says more of those
before it than of the server, and ejecting the busy ones loads the others more. The
balancer sends a slow one less."""


class BackendLink:
    """Hold one backend server's record, connections and last sign of life."""

    __slots__ = (
        "_answered_sent_at",
        "is_replaced",
        "pool",
        "received_at",
        "record",
        "record_cold",
        "suspect_until",
    )

    def __init__(
        self, *, record: BackendRecord, record_cold: Callable[[float], object]
    ) -> None:
        self.record = record
        self.record_cold = record_cold
        """Take in a word of it that it is cold for so many seconds."""
        self.received_at = -1e9
        self.suspect_until = -1e9
        self.is_replaced = False
        """Whether another server was met at its address."""
        self._answered_sent_at: deque[float] = deque(maxlen=OVERTAKING_RESPONSES)
        self.pool = ConnectionPool(
            address=record.address,
            connect_s=CONNECT_TIMEOUT_S,
            on_bytes=self._record_bytes,
        )

    @property
    def name(self) -> str:
        """Give the name of this start of it."""
        return self.record.incarnation

    def mark_suspect(self) -> None:
        """Note that it gave no sign of life when it should have."""
        self.suspect_until = now() + SUSPECT_DURATION_S

    def mark_replaced(self) -> None:
        """Note that another server answers at its address.

        A late record of a server that crashed names it as ready though its address
        has another start by now, which refuses. Each request that goes there takes a
        repeat out of the budget until the record lapses.
        """
        self.is_replaced = True
        self.suspect_until = now() + REPLACED_DURATION_S

    def record_response(self, sent_at: float) -> None:
        """Note that a request that was sent then is answered."""
        self._answered_sent_at.append(sent_at)

    def was_overtaken(self, sent_at: float) -> bool:
        """Tell whether only requests that were sent later were answered of late."""
        answered = self._answered_sent_at
        return len(answered) == OVERTAKING_RESPONSES and min(answered) > sent_at

    def _record_bytes(self) -> None:
        self.received_at = now()
        self.suspect_until = -1e9


class Backends:
    """Choose among the backend servers that are known and reach them."""

    __slots__ = ("_applied_changes", "_links", "_replica", "_restrictions", "table")

    def __init__(
        self,
        *,
        replica: StateReplica,
        restrictions: Restrictions,
        failure_domain: str,
        rng: random.Random,
    ) -> None:
        self._replica = replica
        self._restrictions = restrictions
        self._links: dict[str, BackendLink] = {}
        self._applied_changes = -1
        self.table = BackendTable(
            failure_domain=failure_domain,
            rng=rng,
            settings=BalanceSettings(eject_slowness=NO_SLOWNESS_EJECTION),
        )

    def refresh(self) -> None:
        """Take over the records that changed."""
        for name in self._restrictions.drop_warm(now()):
            self.table.begin_slowly(name, now())
        if self._applied_changes == self._replica.revision:
            return
        self._applied_changes = self._replica.revision
        self._restrictions.refresh(now())
        # By incarnation: connections, load, delays and ejection belong to one start.
        records = {r.incarnation: r for r in self._replica.backends.values()}
        for name in [name for name in self._links if name not in records]:
            self._links.pop(name).pool.close()
        for name, record in records.items():
            link = self._links.get(name)
            if link is None:
                self._links[name] = BackendLink(
                    record=record,
                    record_cold=functools.partial(self._record_cold, record),
                )
            else:
                link.record = record
        usable = {n: r for n, r in records.items() if self._is_usable(r)}
        self.table.rebuild(_build_balancer_configuration(usable), now())

    def _record_cold(self, record: BackendRecord, left_s: float) -> None:
        if self._replica.record_warmup(record, left_s, now()):
            log_event("backend_cold", backend=record.id, left_s=round(left_s, 3))
            # Failure: until the next tick it would get all that comes in a tenth of a
            # second, more than a cold server bears in a whole one.
            self.refresh()

    def _is_warm(self, record: BackendRecord) -> bool:
        return self._is_usable(record) and not self._restrictions.is_cold(record)

    def _is_usable(self, record: BackendRecord) -> bool:
        return not record.leaving and not self._restrictions.is_evacuated(record)

    def pick(
        self,
        service: str,
        *,
        version: str | None,
        prefix_key: int | None,
        exclude: Container[str],
        allowed_regions: AllowedRegions,
        may_probe: bool,
        shared_s: float,
        shared_tokens: int,
        loads: Mapping[str, Load],
        candidates: Collection[str],
    ) -> BackendLink | None:
        """Return the backend server for an attempt, or nothing when none is left."""
        moment = now()
        suspects = {
            name for name, link in self._links.items() if moment < link.suspect_until
        }
        barred = self._restrictions.list_restricted(allowed_regions, moment)
        never = _Union(exclude, barred) if barred else exclude
        for out in (_Union(never, suspects), never):
            name = self.table.pick(
                service=service,
                version=version,
                prefix_key=prefix_key,
                exclude=out,
                now=moment,
                may_probe=may_probe,
                shared_s=shared_s,
                shared_tokens=shared_tokens,
                loads=loads,
                candidates=candidates,
            )
            # The table returns an excluded one when it has nothing else.
            if name is not None and name not in out:
                return self._links.get(name)
        return None

    def list_candidates(
        self,
        service: str,
        *,
        version: str | None,
        prefix_key: int | None,
        exclude: Container[str],
        allowed_regions: AllowedRegions,
    ) -> list[str]:
        """Return the backend servers whose load is worth asking for."""
        moment = now()
        barred = self._restrictions.list_restricted(allowed_regions, moment)
        return self.table.list_candidates(
            service=service,
            version=version,
            prefix_key=prefix_key,
            exclude=_Union(exclude, barred) if barred else exclude,
            now=moment,
        )

    def explain_unavailable(self, service: str, allowed_regions: AllowedRegions) -> str:
        """Return why no backend server is left for a request."""
        return self._restrictions.explain_unavailable(service, allowed_regions)

    def versions(self, service: str) -> dict[str, int]:
        """Return how many backend servers of a service run each version."""
        return self._count_versions(service, lambda record: not record.leaving)

    def usable_versions(self, service: str) -> dict[str, int]:
        """Return the same of those that may get new work."""
        return self._count_versions(service, self._is_usable)

    def warm_versions(self, service: str) -> dict[str, int]:
        """Return the same without the servers that are cold."""
        return self._count_versions(service, self._is_warm)

    def _count_versions(
        self, service: str, counts: Callable[[BackendRecord], bool]
    ) -> dict[str, int]:
        found: dict[str, int] = {}
        for record in self._replica.backends.values():
            if record.service == service and counts(record):
                found[record.version] = found.get(record.version, 0) + 1
        return found

    def list_non_canaries(
        self, service: str, version: str, canaries: int
    ) -> frozenset[str]:
        """Return the usable servers of a version but for so many, the same anywhere."""
        names = [
            record.incarnation
            for record in self._replica.backends.values()
            if record.service == service
            and record.version == version
            and self._is_usable(record)
        ]
        return frozenset(rank(f"{service}/{version}", names)[canaries:])

    def is_listed(self, link: BackendLink) -> bool:
        """Tell whether a link's server still has its record."""
        return self._links.get(link.name) is link

    def capacity(self, service: str) -> int:
        """Return how many requests the usable servers of a service run at once."""
        return self.table.capacity(service, None, now())

    def occupy(self, link: BackendLink, *, work_ms: int, first_s: float) -> Occupancy:
        """Count an attempt that starts; its first part takes so long by itself."""
        self._restrictions.record_sent(link.name, now())
        return Occupancy(
            table=self.table, name=link.name, work=work_ms, first_s=first_s
        )

    def prune(self) -> None:
        """Close connections that were idle for too long."""
        for link in self._links.values():
            link.pool.prune()

    def close(self) -> None:
        """Close all idle connections."""
        for link in self._links.values():
            link.pool.close()

    def opened(self) -> int:
        """Return how many connections were opened so far."""
        return sum(link.pool.opened for link in self._links.values())


class Occupancy:
    """Hold what one attempt takes of a backend server until it ends."""

    __slots__ = ("_first_s", "_has_begun", "_name", "_table", "_work")

    def __init__(
        self, *, table: BackendTable, name: str, work: int, first_s: float
    ) -> None:
        self._table = table
        self._name = name
        self._work = work
        self._first_s = first_s
        self._has_begun = False
        table.started(name, work, now())
        table.expect(name, first_s)

    def begin(self, latency_s: float) -> None:
        """Note that the first part came after so long."""
        delay_s = latency_s - self._first_s if self._first_s else None
        self._record_begin(delay_s)

    def end(self, outcome: Outcome, latency_s: float) -> None:
        """Note how the attempt ended, and learn from it."""
        if not self._has_begun:
            self._record_begin(None)
        self._table.finished(self._name, outcome, latency_s, self._work, now())

    def _record_begin(self, delay_s: float | None) -> None:
        self._has_begun = True
        self._table.began(self._name, self._first_s, now(), delay_s=delay_s)


class _Union:
    __slots__ = ("_one", "_other")

    def __init__(self, one: Container[str], other: Container[str]) -> None:
        self._one = one
        self._other = other

    def __contains__(self, name: object) -> bool:
        return name in self._one or name in self._other


def hash_prefix(part: str) -> int:
    """Return the number by which a prompt's part is kept at one backend server."""
    return xxhash.xxh3_64_intdigest(part.encode(errors="surrogatepass"))


def _build_balancer_configuration(records: dict[str, BackendRecord]) -> Configuration:
    return msgspec.structs.replace(
        EMPTY,
        services={
            record.service: Service(kind=ServiceKind.MODEL, balancer=BALANCER)
            for record in records.values()
        },
        backends={
            name: Backend(
                service=record.service,
                address=record.address,
                failure_domain=record.failure_domain,
                capacity=record.capacity,
                versions=[record.version],
            )
            for name, record in records.items()
        },
    )
