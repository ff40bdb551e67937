"""Gauges that are read from the parts of an instance when metrics are served."""

from __future__ import annotations

from collections.abc import Iterable

from baobabthread.instance.clock import now
from baobabthread.instance.metrics import Metrics
from baobabthread.instance.peers import PeerLink
from baobabthread.instance.servers.paths import Paths
from baobabthread.instance.servers.relay import RelayServer
from baobabthread.instance.services import Services
from baobabthread.routing.replica import StateReplica
from baobabthread.serving.groups import ConnectionGroup, ConnectionMemory


def update_gauges(
    metrics: Metrics,
    *,
    in_flight: int,
    replica: StateReplica,
    peers: PeerLink,
    services: Services,
    paths: Paths,
    relay: RelayServer,
    connections: Iterable[ConnectionGroup],
    connection_memory: ConnectionMemory,
) -> None:
    """Set all gauges to the current state."""
    timestamp = now()
    metrics.in_flight.set(in_flight)
    metrics.replica_age.set(replica.operators_age(timestamp))
    metrics.members.set(len(peers.membership.alive()))
    metrics.quarantined.set(len(peers.quarantine.quarantine.quarantined(timestamp)))
    metrics.suspected_parts.set(peers.quarantine.watch.count_parts())
    metrics.resting_backends.set(len(peers.rests.rests.list_resting(timestamp)))
    metrics.rests_asked.set(peers.rests.asked)
    metrics.limited_backends.set(len(peers.limits.limited))
    metrics.lost_paths.set(len(paths.table.lost))
    metrics.open_tunnels.set(relay.open_tunnels)
    metrics.relayed_connections.set(relay.carried)
    metrics.connection_bytes.set(connection_memory.held_bytes)
    for group in connections:
        metrics.connections.labels(listener=group.name).set(len(group.connections))
    for path, number in paths.sent.items():
        metrics.sent_requests.labels(path=path).set(number)
    for outcome, number in peers.limits.outcomes.items():
        metrics.send_permits.labels(outcome=outcome).set(number)
    metrics.brittle_services.set(peers.places.brittle_services)
    for outcome, number in peers.places.outcomes.items():
        metrics.places.labels(outcome=outcome).set(number)
    _update_assignments(metrics, peers)
    for state in services:
        left = metrics.retries_left.labels(service=state.name)
        left.set(state.budget.remaining(timestamp))
        in_transit = metrics.retries_in_transit.labels(service=state.name)
        in_transit.set(state.budget.in_transit)
        exposed = metrics.exposed_requests.labels(service=state.name)
        exposed.set(state.plan.exposure.report().exposed)


def _update_assignments(metrics: Metrics, peers: PeerLink) -> None:
    for outcome, number in peers.dispatch.outcomes.items():
        metrics.assignments.labels(outcome=outcome).set(number)
    metrics.group_waiting.clear()
    metrics.group_unevenness.clear()
    for group, dispatcher in peers.dispatch.list_own().items():
        metrics.group_waiting.labels(group=group).set(dispatcher.waiting)
        metrics.group_unevenness.labels(group=group).set(dispatcher.unevenness)
