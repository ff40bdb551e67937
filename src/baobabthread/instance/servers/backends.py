"""Connections to the backend servers and the choice among them."""

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
from baobabthread.core.backends.earliest import SPEED_HALF_LIFE_REQUESTS
from baobabthread.core.backends.exclusions import ContainerUnion
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
from baobabthread.instance.servers.connections import (
    Connection,
    ConnectionPool,
    Obstacle,
)
from baobabthread.instance.servers.departures import DepartureGossip
from baobabthread.instance.servers.paths import Paths
from baobabthread.instance.servers.restrictions import Restrictions
from baobabthread.logs import log_event
from baobabthread.routing.configuration import BackendRecord
from baobabthread.routing.regions import AllowedRegions
from baobabthread.routing.replica import StateReplica
from baobabthread.routing.servers.groups import divide
from baobabthread.routing.servers.occupancy import GroupServer
from baobabthread.routing.servers.places import StatedBrittleness
from baobabthread.routing.servers.serverlimits import StatedLimit

OVERTAKING_RESPONSES = 4
"""Responses to later requests after which an earlier response counts as lost."""
SUSPECT_DURATION_S = 2.0
"""Time for which an unresponsive backend server gets no new requests while others have
free capacity."""
SILENT_S = 0.3
"""Time without bytes from a server after which the path to it may be lost."""
REPLACED_DURATION_S = 6.0
"""Time for which a server gets no requests after another one was found at its address:
its record lapses after three heartbeats, about four seconds, and the list of records is
read within two."""
SURVIVAL_S = 0.3
"""Time in which a process that ends closes all its connections, also if the packet that
tells so is lost once."""
REST_RAMP_S = 1.0
"""Time in which a server that has rested gets its whole share again."""
BALANCER = earliest.NAME
NO_SLOWNESS_EJECTION = 1e6
"""Disables ejection for slowness. Under load, latency says more about the queue than
about the server, and ejecting busy servers would load the others even more. The
balancer already sends fewer requests to slow servers."""
BALANCE_SETTINGS = BalanceSettings(
    eject_slowness=NO_SLOWNESS_EJECTION,
    speed_half_life_requests=SPEED_HALF_LIFE_REQUESTS,
)


class BackendLink:
    """One backend server: its record, its connections and its responsiveness."""

    __slots__ = (
        "_answered_sent_at",
        "_paths",
        "find_obstacle",
        "in_flight",
        "is_replaced",
        "pool",
        "received_at",
        "record",
        "record_brittleness",
        "record_cold",
        "record_leaving",
        "record_limit",
        "record_no_room",
        "record_rest",
        "suspect_until",
    )

    def __init__(
        self,
        *,
        record: BackendRecord,
        paths: Paths,
        record_cold: Callable[[float], object],
        record_limit: Callable[[StatedLimit | None, float], object],
        record_brittleness: Callable[[StatedBrittleness | None, float], object],
        record_no_room: Callable[[int], object],
        record_leaving: Callable[[], object],
        record_rest: Callable[[float, str], object],
        find_obstacle: Callable[[], Obstacle | None],
    ) -> None:
        self._paths = paths
        self.record = record
        self.record_cold = record_cold
        """Called with the seconds for which the server says it will still be cold."""
        self.record_limit = record_limit
        """Called with the limit that a response states and when it was requested."""
        self.record_brittleness = record_brittleness
        """Called with what a response states of it and when it was requested."""
        self.record_no_room = record_no_room
        """Called with its capacity when it is brittle and lacks room for a request."""
        self.record_leaving = record_leaving
        """Called when a response says that the server leaves."""
        self.record_rest = record_rest
        """Called with the seconds for which a response asks for no requests, and the
        peer that relayed it, if any."""
        self.find_obstacle = find_obstacle
        """Return why the server must get no new request, None if it may."""
        self.in_flight: set[Connection] = set()
        """Connections that carry an attempt."""
        self.received_at = -1e9
        self.suspect_until = -1e9
        self.is_replaced = False
        """Whether another server was found at its address."""
        self._answered_sent_at: deque[float] = deque(maxlen=OVERTAKING_RESPONSES)
        self.pool = ConnectionPool(
            connector=paths.make_connector(record), on_bytes=self._record_bytes
        )

    @property
    def name(self) -> str:
        """Incarnation of the server, which identifies one start of it."""
        return self.record.incarnation

    def mark_suspect(self) -> None:
        """Mark the server as unresponsive for `SUSPECT_DURATION_S`."""
        self.suspect_until = now() + SUSPECT_DURATION_S

    def check_path(self, connection: Connection | None) -> None:
        """Check the path that a connection uses, which has been silent for a while."""
        if connection is not None and connection.relay:
            self._paths.avoid_relay(connection.relay, self.name)
        else:
            self._paths.check(self.name, self.pool.probe)

    def count_sent(self, connection: Connection) -> None:
        """Count a request by the path of its connection."""
        self._paths.count_sent(connection)

    def mark_replaced(self) -> None:
        """Record that another server answers at the address of this one.

        The record of a crashed server still lists it as ready when a new incarnation,
        which rejects its requests, already uses the address. Until the record lapses,
        each request sent there would use up a retry of the budget.
        """
        self.is_replaced = True
        self.suspect_until = now() + REPLACED_DURATION_S

    @property
    def is_departing(self) -> bool:
        """Whether the server has said that it leaves, or its record is gone."""
        return self.find_obstacle() in (Obstacle.LEAVING, Obstacle.GONE)

    def has_outlived(self, ended: Connection | None, ended_at: float) -> bool:
        """Return whether the server's process runs on after a connection has ended.

        A process that ends closes all its connections at once.
        """
        if now() - ended_at < SURVIVAL_S:
            return False
        others = (other for other in self.list_connections() if other is not ended)
        return any(other.is_connected() for other in others)

    def list_connections(self) -> list[Connection]:
        """Return the connections to the server, of which some may have ended."""
        return [*self.in_flight, *self.pool.idle]

    def record_response(self, sent_at: float) -> None:
        """Record the response to a request that was sent at a time."""
        self._answered_sent_at.append(sent_at)

    def was_overtaken(self, sent_at: float) -> bool:
        """Return whether all recent responses belong to requests sent later."""
        answered = self._answered_sent_at
        return len(answered) == OVERTAKING_RESPONSES and min(answered) > sent_at

    def _record_bytes(self) -> None:
        self.received_at = now()
        self.suspect_until = -1e9


class Backends:
    """Choose among the known backend servers and hold their connections."""

    __slots__ = (
        "_applied_revision",
        "_departures",
        "_groups",
        "_links",
        "_paths",
        "_replica",
        "_restrictions",
        "on_groups",
        "table",
    )

    def __init__(
        self,
        *,
        replica: StateReplica,
        restrictions: Restrictions,
        departures: DepartureGossip,
        paths: Paths,
        failure_domain: str,
        rng: random.Random,
    ) -> None:
        self._departures = departures
        self._groups: dict[str, Mapping[str, frozenset[str]]] = {}
        """Usable servers by group, by service."""
        self.on_groups: Callable[[Mapping[str, Mapping[str, GroupServer]]], None]
        self.on_groups = lambda groups: None
        """Called with the servers of all groups when they have changed."""
        self._paths = paths
        paths.on_first_lost = self._check_silent_paths
        self._replica = replica
        self._restrictions = restrictions
        self._links: dict[str, BackendLink] = {}
        self._applied_revision = -1
        self.table = BackendTable(
            failure_domain=failure_domain,
            rng=rng,
            settings=BALANCE_SETTINGS,
        )

    def refresh(self) -> None:
        """Apply changes of the records to links and balancer."""
        for name in self._restrictions.drop_warm(now()):
            self.table.begin_slowly(name, now())
        for name in self._restrictions.drop_rested(now()):
            self.table.begin_slowly(name, now(), REST_RAMP_S)
        if self._applied_revision == self._replica.revision:
            return
        self._applied_revision = self._replica.revision
        self._restrictions.refresh(now())
        # Keyed by incarnation: connections, load, delays and ejection do not carry over
        # to a restarted server.
        records = {r.incarnation: r for r in self._replica.backends.values()}
        self._paths.retain(records.values())
        for name in [name for name in self._links if name not in records]:
            self._links.pop(name).pool.close()
        for name, record in records.items():
            link = self._links.get(name)
            if link is None:
                self._links[name] = BackendLink(
                    record=record,
                    paths=self._paths,
                    record_cold=functools.partial(self._record_cold, record),
                    record_limit=functools.partial(
                        self._restrictions.limits.record_response, name
                    ),
                    record_brittleness=functools.partial(
                        self._restrictions.places.record_response, record.service
                    ),
                    record_no_room=functools.partial(
                        self._restrictions.places.record_rejection,
                        name,
                        record.service,
                    ),
                    record_leaving=functools.partial(self._record_leaving, record),
                    record_rest=functools.partial(
                        self._restrictions.rests.record_response, name
                    ),
                    find_obstacle=functools.partial(self.find_obstacle, name),
                )
            else:
                link.record = record
        self._restrictions.limits.retain(set(records))
        self._restrictions.places.retain(set(records))
        usable = {n: r for n, r in records.items() if self._is_usable(r)}
        self.table.rebuild(_build_balancer_configuration(usable), now())
        self._group(usable)

    def _group(self, usable: Mapping[str, BackendRecord]) -> None:
        """Divide the usable servers of each service into groups."""
        by_service: dict[str, list[str]] = {}
        for name, record in usable.items():
            by_service.setdefault(record.service, []).append(name)
        self._groups = {
            service: divide(service, names) for service, names in by_service.items()
        }
        memory = self._list_memory_tokens()
        self.on_groups(
            {
                group: {
                    name: _make_group_server(usable[name], memory) for name in names
                }
                for groups in self._groups.values()
                for group, names in groups.items()
            }
        )

    def _list_memory_tokens(self) -> dict[str, int]:
        table = self._replica.table
        services = table.services if table is not None else {}
        return {name: service.memory_tokens for name, service in services.items()}

    def _record_cold(self, record: BackendRecord, left_s: float) -> None:
        if self._replica.record_warmup(record, left_s, now()):
            log_event("backend_cold", backend=record.id, left_s=round(left_s, 3))
            # Without a refresh the server would get all requests until the next tick, a
            # tenth of a second later: more than a cold server can run in a second.
            self.refresh()

    def _record_leaving(self, record: BackendRecord) -> None:
        self._departures.record_response(record.incarnation)
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
        may_wait: bool = False,
    ) -> BackendLink | None:
        """Return the backend server for an attempt, or None if none is available.

        `may_wait` includes limited servers that take no request at present.
        """
        timestamp = now()
        suspects = {
            name for name, link in self._links.items() if timestamp < link.suspect_until
        }
        restricted = self._restrictions.list_restricted(
            allowed_regions, timestamp, may_wait=may_wait
        )
        excluded = ContainerUnion(exclude, restricted) if restricted else exclude
        for exclusions in (ContainerUnion(excluded, suspects), excluded):
            name = self.table.pick(
                service=service,
                version=version,
                prefix_key=prefix_key,
                exclude=exclusions,
                now=timestamp,
                may_probe=may_probe,
                shared_s=shared_s,
                shared_tokens=shared_tokens,
                loads=loads,
                candidates=candidates,
            )
            # The table falls back to an excluded server when no other is left.
            if name is not None and name not in exclusions:
                return self._links.get(name)
        return None

    def list_assignable(
        self,
        service: str,
        *,
        version: str | None,
        exclude: Container[str],
        allowed_regions: AllowedRegions,
        may_probe: bool,
    ) -> frozenset[str]:
        """Return the servers that an attempt may be assigned to.

        Empty if one is to be probed, which this instance chooses by itself.
        """
        timestamp = now()
        restricted = self._restrictions.list_restricted(allowed_regions, timestamp)
        excluded = ContainerUnion(exclude, restricted) if restricted else exclude
        names = self.table.list_usable(
            service=service,
            version=version,
            exclude=excluded,
            now=timestamp,
            may_probe=may_probe,
        )
        responsive = [n for n in names if timestamp >= self._links[n].suspect_until]
        return frozenset(responsive or names)

    def count_usable(self, service: str) -> int:
        """Return the number of a service's usable servers."""
        return sum(len(names) for names in self.find_groups(service).values())

    def find_groups(self, service: str) -> Mapping[str, frozenset[str]]:
        """Return the usable servers of a service by group."""
        return self._groups.get(service, {})

    def find_group(self, service: str, server: str) -> str | None:
        """Return the group of a server, if it is usable."""
        groups = self.find_groups(service)
        return next((g for g, names in groups.items() if server in names), None)

    def find_link(self, name: str) -> BackendLink | None:
        """Return the link to a listed server by its incarnation."""
        return self._links.get(name)

    def list_candidates(
        self,
        service: str,
        *,
        version: str | None,
        prefix_key: int | None,
        exclude: Container[str],
        allowed_regions: AllowedRegions,
    ) -> list[str]:
        """Return the backend servers whose load should be queried."""
        timestamp = now()
        restricted = self._restrictions.list_restricted(allowed_regions, timestamp)
        return self.table.list_candidates(
            service=service,
            version=version,
            prefix_key=prefix_key,
            exclude=ContainerUnion(exclude, restricted) if restricted else exclude,
            now=timestamp,
        )

    def explain_unavailable(self, service: str, allowed_regions: AllowedRegions) -> str:
        """Return the reason why no backend server is available for a request."""
        return self._restrictions.explain_unavailable(service, allowed_regions)

    def find_rest_left(
        self,
        service: str,
        *,
        version: str | None,
        exclude: Container[str],
        allowed_regions: AllowedRegions,
    ) -> float | None:
        """Return the time until a server may be used if all of them rest, else None."""
        if not self._restrictions.has_resting(now()):
            return None
        names = [
            record.incarnation
            for record in self._replica.backends.values()
            if record.service == service
            and version in (None, record.version)
            and self._is_usable(record)
            and record.incarnation not in exclude
        ]
        return self._restrictions.find_rest_left(names, allowed_regions, now())

    def versions(self, service: str) -> dict[str, int]:
        """Return the number of a service's backend servers per version."""
        return self._count_versions(service, lambda record: not record.leaving)

    def count_left(self, service: str, crashed: Collection[str]) -> int:
        """Return the number of a service's servers, except for those that crashed."""
        return sum(
            self._count_versions(
                service,
                lambda record: not record.leaving and record.incarnation not in crashed,
            ).values()
        )

    def usable_versions(self, service: str) -> dict[str, int]:
        """Return the number per version of servers that may get new requests."""
        return self._count_versions(service, self._is_usable)

    def warm_versions(self, service: str) -> dict[str, int]:
        """Return the number per version of usable servers that are not cold."""
        return self._count_versions(service, self._is_warm)

    def _count_versions(
        self, service: str, is_counted: Callable[[BackendRecord], bool]
    ) -> dict[str, int]:
        numbers: dict[str, int] = {}
        for record in self._replica.backends.values():
            if record.service == service and is_counted(record):
                numbers[record.version] = numbers.get(record.version, 0) + 1
        return numbers

    def list_non_canaries(
        self, service: str, version: str, canaries: int
    ) -> frozenset[str]:
        """Return the usable servers of a version except for its canaries.

        All instances choose the same canaries.
        """
        names = [
            record.incarnation
            for record in self._replica.backends.values()
            if record.service == service
            and record.version == version
            and self._is_usable(record)
        ]
        return frozenset(rank(f"{service}/{version}", names)[canaries:])

    def find_obstacle(self, name: str) -> Obstacle | None:
        """Return why a server must get no new request, None if it may."""
        if not self._replica.is_listed(name):
            return Obstacle.GONE
        if self._replica.is_departing(name):
            return Obstacle.LEAVING
        return Obstacle.RESTING if self._restrictions.is_resting(name, now()) else None

    def is_listed(self, link: BackendLink) -> bool:
        """Return whether a link's server still has a record."""
        return self._links.get(link.name) is link

    def capacity(self, service: str) -> int:
        """Return how many requests a service's usable servers can run concurrently."""
        return self.table.capacity(service, None, now())

    def occupy(self, link: BackendLink, *, work_ms: int, first_s: float) -> Occupancy:
        """Record an attempt that starts.

        `first_s` is the time to the first part of its response on an idle server.
        """
        self._restrictions.record_sent(link.name, now())
        return Occupancy(
            table=self.table, name=link.name, work=work_ms, first_s=first_s
        )

    def find_record(self, name: str) -> BackendRecord | None:
        """Return the record of a listed server by its incarnation."""
        link = self._links.get(name)
        return link.record if link is not None else None

    def _check_silent_paths(self) -> None:
        """Check the paths of all servers with connections from which nothing arrives.

        Whatever cut one path may have cut others. A request that is sent on an open
        connection of such a path may have run, so it can't be sent again.
        """
        silent_since = now() - SILENT_S
        for link in self._links.values():
            if link.pool.has_idle and link.received_at < silent_since:
                link.check_path(None)

    def prune(self) -> None:
        """Close connections that have been idle for too long."""
        for link in self._links.values():
            link.pool.prune()

    def close(self) -> None:
        """Close all idle connections."""
        for link in self._links.values():
            link.pool.close()

    def opened(self) -> int:
        """Return the number of connections opened so far."""
        return sum(link.pool.opened for link in self._links.values())


class Occupancy:
    """The share of a backend server's capacity that one attempt occupies."""

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
        """Record the latency of the first part of the response, in seconds."""
        delay_s = latency_s - self._first_s if self._first_s else None
        self._record_begin(delay_s, latency_s)

    def end(self, outcome: Outcome, latency_s: float) -> None:
        """Record the outcome and the duration of the attempt."""
        if not self._has_begun:
            self._record_begin(None, None)
        self._table.finished(self._name, outcome, latency_s, self._work, now())

    def _record_begin(self, delay_s: float | None, latency_s: float | None) -> None:
        self._has_begun = True
        self._table.began(
            self._name, self._first_s, now(), delay_s=delay_s, latency_s=latency_s
        )


def hash_prefix(part: str) -> int:
    """Return the hash that assigns a prompt prefix to a backend server."""
    return xxhash.xxh3_64_intdigest(part.encode(errors="surrogatepass"))


def _make_group_server(
    record: BackendRecord, memory_tokens: Mapping[str, int]
) -> GroupServer:
    return GroupServer(
        capacity=record.capacity,
        version=record.version,
        failure_domain=record.failure_domain,
        memory_tokens=memory_tokens.get(record.service, 0),
    )


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
