"""The process of one instance, from start to graceful shutdown."""

from __future__ import annotations

import asyncio
import gc
import random
import signal
import uuid
from collections.abc import Callable
from contextlib import AsyncExitStack
from typing import Any, Protocol

import msgspec
from aiohttp import web

from baobabthread.instance.callerlimits import CallerLimits
from baobabthread.instance.callers import CallerServer, create_server, listen
from baobabthread.instance.clock import now
from baobabthread.instance.conditions import PARTITIONED, STALE, ConditionGossip
from baobabthread.instance.crashes import CrashDetector
from baobabthread.instance.forwarder import Forwarder
from baobabthread.instance.gauges import update_gauges
from baobabthread.instance.heldbytes import MemoryBudget, derive_limit
from baobabthread.instance.logoutput import configure_logging, run_log_flusher
from baobabthread.instance.metrics import Metrics
from baobabthread.instance.peers import PeerLink
from baobabthread.instance.peersnapshots import SNAPSHOT_PATH, parse_known_state
from baobabthread.instance.quarantinerecords import QuarantineRecords
from baobabthread.instance.requestlog import RequestLog
from baobabthread.instance.rollouts import RolloutController
from baobabthread.instance.servers.backends import Backends
from baobabthread.instance.servers.paths import Paths
from baobabthread.instance.servers.relay import RelayServer
from baobabthread.instance.servers.restrictions import Restrictions
from baobabthread.instance.services import Services
from baobabthread.instance.settings import InstanceSettings
from baobabthread.instance.store import RecordFormat, Store
from baobabthread.instance.storeeras import CurrentStore, EraTracker
from baobabthread.instance.tasks import Work, keep_running, start_task
from baobabthread.instance.topicreaders import BackendTopicReader, OperatorTopicReader
from baobabthread.instance.wire import WireFormat
from baobabthread.logs import log_event
from baobabthread.routing.configuration import RequestLimits
from baobabthread.routing.directory import AddressList, list_addresses
from baobabthread.routing.regions import Regions
from baobabthread.routing.replica import StateReplica
from baobabthread.routing.stopping import StallDetector, StopPlan, plan_stop
from baobabthread.serving.groups import ConnectionGroup, ConnectionMemory, run_sweeps
from baobabthread.serving.listeners import Listener
from baobabthread.serving.shares import (
    INSTANCE_LISTENERS,
    ListenerName,
    derive_connections,
    derive_memory,
)

TICK_INTERVAL_S = 0.1
PRUNE_INTERVAL_S = 1.0
GC_THRESHOLD = 20_000
"""Net allocations of objects before a garbage collection; requests leave few cycles."""


class Interface(Protocol):
    """Serve the readiness and the directory of instances."""

    async def serve_readiness(self, request: web.BaseRequest) -> web.StreamResponse:
        """Respond whether this instance accepts callers."""

    async def serve_directory(self, request: web.BaseRequest) -> web.StreamResponse:
        """Respond with the addresses that a caller may connect to."""


MakeInterface = Callable[
    [Callable[[], bool], Callable[[str | None, str | None], AddressList]], Interface
]


class Adapters(msgspec.Struct, frozen=True, kw_only=True):
    """Adapters that connect an instance to its platform."""

    store: Any
    """A `Store`."""
    formats: Any
    """A `RecordFormat`."""
    wire: Any
    """A `WireFormat`."""
    make_interface: Any
    """A `MakeInterface`."""
    metrics_address: str | None = None
    metrics_path: str = "/metrics"


class Instance:
    """Compose the parts of one instance and run them."""

    def __init__(self, *, settings: InstanceSettings, adapters: Adapters) -> None:
        self._settings = settings
        self._adapters = adapters
        self._formats: RecordFormat = adapters.formats
        self._wire: WireFormat = adapters.wire
        rng = random.Random()
        self._rng = rng
        self.metrics = Metrics()
        self.store_eras = EraTracker(metrics=self.metrics)
        self._store: Store = CurrentStore(store=adapters.store, eras=self.store_eras)
        self.replica = StateReplica(bounds=settings.bounds)
        self._regions = Regions(by_domain=settings.regions)
        self.peers = PeerLink(
            settings=settings,
            incarnation=uuid.uuid4().hex[:12],
            started_at=round(now(), 3),
            replica=self.replica,
            eras=self.store_eras,
            rng=rng,
            find_plan=lambda name: self.services.get(name).plan,
        )
        self.restrictions = Restrictions(
            me=settings.name,
            replica=self.replica,
            regions=self._regions,
            bounds=settings.bounds,
            limits=self.peers.limits,
            places=self.peers.places,
            rests=self.peers.rests,
        )
        self.paths = Paths(
            me=settings.name,
            ip=settings.ip,
            failure_domain=settings.failure_domain,
            regions=self._regions,
            find_backend=lambda name: self.backends.find_record(name),
            find_obstacle=lambda name: self.backends.find_obstacle(name),
        )
        self.caller_limits = CallerLimits(find_current=self._find_current_limits)
        self.connection_memory = ConnectionMemory(
            limit_bytes=derive_memory(settings.memory_mb)
        )
        self.connections = {
            name: ConnectionGroup(
                name=name,
                max_connections=derive_connections(settings.max_descriptors, name),
                memory=self.connection_memory,
                find_limits=self.caller_limits.find_client_limits,
            )
            for name in INSTANCE_LISTENERS
        }
        self.relay = RelayServer(
            is_member=lambda host: host in self._member_hosts,
            open_connection=self.paths.open_direct,
            group=self.connections[ListenerName.RELAY],
        )
        self.backends = Backends(
            replica=self.replica,
            restrictions=self.restrictions,
            departures=self.peers.departures,
            paths=self.paths,
            failure_domain=settings.failure_domain,
            rng=rng,
        )
        self.services = Services(
            backends=self.backends,
            bounds=settings.bounds,
            is_single=not settings.has_other_seeds,
        )
        self.crashes = CrashDetector(
            backends=self.backends, report=self.peers.quarantine.report_crash
        )
        self.memory = MemoryBudget(limit_bytes=derive_limit(settings.memory_mb))
        self.forwarder = Forwarder(
            replica=self.replica,
            backends=self.backends,
            services=self.services,
            wire=self._wire,
            rng=rng,
            log=RequestLog(replica=self.replica, metrics=self.metrics),
            sessions=self.peers.sessions,
            placement=self.peers.placement,
            limits=self.peers.limits,
            places=self.peers.places,
            dispatch=self.peers.dispatch,
            failure_domain=settings.failure_domain,
            crashes=self.crashes,
            quarantine=self.peers.quarantine,
            disabled=settings.off,
        )
        self._connect_quarantine()
        self.backends.on_groups = self.peers.dispatch.set_groups
        self.paths.on_departure = self.peers.departures.learn
        self.restrictions.list_out_of_reach = self.paths.list_out_of_reach
        self.peers.rests.find_relayed_peers = self._find_relayed_peers
        self.rollouts = RolloutController(
            replica=self.replica,
            backends=self.backends,
            services=self.services,
            peers=self.peers,
            store=self._store,
            formats=self._formats,
        )
        self.store_eras.subscribe(self.rollouts.begin_era)
        self.store_eras.subscribe(self.peers.quarantine.schedule_all_writes)
        self.replica.on_update = self._handle_replica_update
        self.staleness = ConditionGossip(
            topic=STALE, publish=self.peers.publish, received=self.peers.received
        )
        self.partitions = ConditionGossip(
            topic=PARTITIONED, publish=self.peers.publish, received=self.peers.received
        )
        self._member_hosts: frozenset[str] = frozenset()
        self._stop_plan: StopPlan | None = None
        self._caller_listener: Listener | None = None
        self._capacity_inputs: tuple[int, int] | None = None
        self._membership_version = -1
        self._relay_inputs: tuple[int, frozenset[str]] | None = None
        self._stalls = StallDetector(now=now())

    def _connect_quarantine(self) -> None:
        coordinator = self.peers.quarantine
        coordinator.is_canary = self.services.is_canary
        coordinator.on_unproven_crash = self.services.record_crash
        coordinator.find_versions = self.backends.versions
        coordinator.count_backends = self.backends.count_left
        coordinator.watch.find_answered = self.crashes.find_answered
        coordinator.on_quarantined = self.crashes.cancel
        self.crashes.on_answered = coordinator.record_answered

    @property
    def is_leaving(self) -> bool:
        """Whether this instance has been asked to stop."""
        return self._stop_plan is not None

    @property
    def is_ready(self) -> bool:
        """Whether callers may connect to this instance."""
        return (
            not self.is_leaving
            and self.replica.table is not None
            and self.replica.is_fresh(now())
        )

    def find_addresses(
        self, failure_domain: str | None, region: str | None
    ) -> AddressList:
        """Return the addresses of instances that a caller may connect to."""
        membership = self.peers.membership
        table = self.replica.table
        failed = membership.table.list_dark_domains()
        return list_addresses(
            me=membership.me,
            serving=membership.alive(),
            is_ready=self.is_ready,
            # When a whole failure domain fails, its members that have not been probed
            # yet would otherwise be listed for seconds.
            is_stale=lambda member: (
                member.failure_domain in failed or self.staleness.holds_at(member)
            ),
            failure_domain=failure_domain,
            max_lifetime_s=self._settings.bounds.max_lifetime_s,
            region=region,
            allowed_regions=table.common_regions if table is not None else frozenset(),
            regions=self._regions,
        )

    async def serve_peer(self, request: web.BaseRequest) -> web.StreamResponse:
        """Serve a snapshot of the replica to a peer."""
        if request.path != SNAPSHOT_PATH:
            return web.Response(status=404)
        known = parse_known_state(request.query)
        snapshot = self.replica.snapshot(
            now(), known_end=known.end, known_version=known.version
        )
        body = msgspec.json.encode(snapshot)
        return web.Response(body=body, content_type="application/json")

    async def serve_metrics(self, request: web.BaseRequest) -> web.StreamResponse:
        """Serve the metrics as text."""
        if request.path != self._adapters.metrics_path:
            return web.Response(status=404)
        update_gauges(
            self.metrics,
            in_flight=self.forwarder.in_flight,
            replica=self.replica,
            peers=self.peers,
            services=self.services,
            paths=self.paths,
            relay=self.relay,
            connections=self.connections.values(),
            connection_memory=self.connection_memory,
        )
        return web.Response(body=self.metrics.render(), content_type="text/plain")

    async def run(self) -> int:
        """Serve until stopped and all requests have completed; return the exit code."""
        stop_requested = asyncio.Event()
        self._handle_signals(stop_requested)
        async with AsyncExitStack() as stack:
            handler = configure_logging()
            stack.callback(handler.flush)
            start_task(stack, run_log_flusher(handler))
            await self.start(stack)
            _tune_collector()
            await stop_requested.wait()
            await self.leave()
        return 0

    async def start(self, stack: AsyncExitStack) -> None:
        """Open the listeners and start the tasks; closing the stack ends them."""
        stack.callback(self.backends.close)
        stack.callback(self.crashes.close)
        stack.callback(self.paths.close)
        await self._open(stack)
        for work in self._list_tasks():
            start_task(stack, keep_running(work))
        log_event(
            "instance_started",
            name=self._settings.name,
            incarnation=self.peers.incarnation,
            failure_domain=self._settings.failure_domain,
            callers=self._settings.callers_address,
            store=self._settings.store_address,
        )

    async def leave(self) -> None:
        """Keep serving while callers may still use the address, then shut down."""
        signalled_at = self._stalls.find_earliest_signal(now())
        grace_s = self._settings.bounds.grace_s
        plan = plan_stop(grace_s=grace_s, now=now(), signalled_at=signalled_at)
        self._stop_plan = plan
        self.peers.leave()
        self.relay.is_leaving = True
        log_event(
            "instance_leaving",
            in_flight=self.forwarder.in_flight,
            serves_all_ms=round((plan.serves_all_until - plan.began_at) * 1000),
            accepts_ms=round((plan.accepts_until - plan.began_at) * 1000),
            takes_ms=round((plan.takes_until - plan.began_at) * 1000),
            ends_ms=round((plan.ends_at - plan.began_at) * 1000),
        )
        self.forwarder.admission.begin_stop(plan)
        await asyncio.sleep(plan.accepts_until - now())
        if self._caller_listener is not None:
            self._caller_listener.close()
        await self.forwarder.wait_idle(plan.ends_at - now())
        await self.relay.wait_idle(plan.ends_at - now())
        await self.connections[ListenerName.CALLERS].wait_sent(plan.ends_at - now())
        self.peers.sessions.hand_over(state.plan for state in self.services)
        log_event(
            "instance_stopped",
            in_flight=self.forwarder.in_flight,
            relayed=self.relay.open_tunnels,
        )
        await self.forwarder.shut_down()

    async def _open(self, stack: AsyncExitStack) -> None:
        settings = self._settings
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self.peers, local_addr=(settings.ip, settings.gossip_port)
        )
        stack.callback(self.peers.close)
        relay_listener = Listener(
            address=settings.gossip_address,
            group=self.connections[ListenerName.RELAY],
            make_protocol=self.relay.make_protocol,
        )
        stack.callback(self.relay.close)
        stack.callback(relay_listener.close)
        interface = self._adapters.make_interface(
            lambda: self.is_ready, self.find_addresses
        )
        caller_server = CallerServer(
            handle=self.forwarder.handle,
            wire=self._wire,
            is_leaving=lambda: self.is_leaving,
            body_limit=lambda: self.caller_limits.find().max_body_bytes,
            memory=self.memory,
            connection_memory=self.connection_memory,
        )
        self._caller_listener = self._serve(
            stack, ListenerName.CALLERS, caller_server.serve, settings.callers_address
        )
        self._serve(
            stack, ListenerName.CONTROL, self.serve_peer, settings.control_address
        )
        self._serve(
            stack,
            ListenerName.READINESS,
            interface.serve_readiness,
            settings.readiness_address,
        )
        self._serve(
            stack,
            ListenerName.DIRECTORY,
            interface.serve_directory,
            settings.directory_address,
        )
        if self._adapters.metrics_address is not None:
            self._serve(
                stack,
                ListenerName.METRICS,
                self.serve_metrics,
                self._adapters.metrics_address,
            )

    def _serve(
        self, stack: AsyncExitStack, name: ListenerName, serve: Any, address: str
    ) -> Listener:
        listener = listen(create_server(serve), address, self.connections[name])
        stack.callback(listener.close)
        return listener

    def _handle_replica_update(self) -> None:
        self.backends.refresh()
        self.rollouts.apply_orders()
        if self.replica.is_complete:
            self.forwarder.admission.mark_ready()

    def _find_current_limits(self) -> RequestLimits | None:
        table = self.replica.table
        return table.configuration.limits if table is not None else None

    def _list_tasks(self) -> list[Work]:
        common: dict[str, Any] = {
            "store": self._store,
            "formats": self._formats,
            "replica": self.replica,
            "metrics": self.metrics,
            "rng": self._rng,
            "query_peer": self.peers.fetch_if_stale,
            "replica_sync": self.peers.replica_sync,
        }
        return [
            OperatorTopicReader(**common).run,
            BackendTopicReader(**common).run,
            self.peers.run,
            self.paths.run,
            self.relay.run,
            self.rollouts.run,
            self.rollouts.histories.run,
            QuarantineRecords(
                coordinator=self.peers.quarantine,
                replica_sync=self.peers.replica_sync,
                store=self._store,
                formats=self._formats,
            ).run,
            self._tick,
            self._prune,
            self._sweep_connections,
        ]

    async def _tick(self) -> None:
        while True:
            self._stalls.tick(now())
            self.services.arrivals.tick(now())
            for id in self.replica.expire_lapsed(now()):
                log_event("backend_expired", backend=id)
            self._update_members()
            self.backends.refresh()
            inputs = (len(self.peers.membership.alive()), self.replica.revision)
            if inputs != self._capacity_inputs:
                self._capacity_inputs = inputs
                self.services.set_instance_count(inputs[0])
            self.forwarder.scheduler.tick()
            self.staleness.tick(holds=not self.replica.is_fresh(now()))
            self._update_relays()
            await asyncio.sleep(TICK_INTERVAL_S)

    def _update_members(self) -> None:
        membership = self.peers.membership
        if self._membership_version != membership.version:
            self._membership_version = membership.version
            members = membership.members()
            names = [member.name for member in members]
            self.restrictions.update_members(names, now())
            self._member_hosts = frozenset(
                member.peer_address.rpartition(":")[0] for member in members
            )

    def _find_relayed_peers(self, server: str) -> list[str]:
        """Return the members that reach a server over this instance."""
        hosts = self.relay.find_hosts(server)
        return [
            member.name
            for member in self.peers.membership.members()
            if member.peer_address.rpartition(":")[0] in hosts
        ]

    def _update_relays(self) -> None:
        self.partitions.tick(holds=self.paths.table.is_partitioned)
        members = self.peers.membership.alive()
        partitioned = {m.name for m in members if self.partitions.holds_at(m)}
        inputs = (self._membership_version, frozenset(partitioned))
        if inputs != self._relay_inputs:
            self._relay_inputs = inputs
            self.paths.set_members(members, partitioned)

    async def _prune(self) -> None:
        while True:
            await asyncio.sleep(PRUNE_INTERVAL_S)
            self.backends.prune()
            self.crashes.record_survivors()
            self.crashes.prune()

    async def _sweep_connections(self) -> None:
        await run_sweeps(list(self.connections.values()))

    def _handle_signals(self, stop_requested: asyncio.Event) -> None:
        loop = asyncio.get_running_loop()

        def handle(sig: signal.Signals) -> None:
            late_ms = round((now() - self._stalls.find_earliest_signal(now())) * 1000)
            again = stop_requested.is_set()
            log_event("signal_received", signal=sig.name, again=again, late_ms=late_ms)
            stop_requested.set()

        for sig in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(sig, handle, sig)
        # Without a handler, SIGHUP would terminate the process and all its requests.
        loop.add_signal_handler(signal.SIGHUP, self._reload)

    def _reload(self) -> None:
        log_event("settings_changed", effect="read again at the next start")


def _tune_collector() -> None:
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD, 50, 100)
