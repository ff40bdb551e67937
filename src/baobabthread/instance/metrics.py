"""Counters and latency histograms in the Prometheus text format."""

from __future__ import annotations

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

LATENCY_BUCKETS_S = (0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0, 12.0, 25.0)


class Metrics:
    """Metrics of one instance."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry(auto_describe=False)
        self._responses = Counter(
            "baobabthread_answers",
            "Answers of backend servers that were passed on",
            ["route", "status"],
            registry=self.registry,
        )
        self.rejected = Counter(
            "baobabthread_turned_away",
            "Requests that ended without an answer of a backend server",
            ["kind"],
            registry=self.registry,
        )
        self.retries = Counter(
            "baobabthread_repeats",
            "Attempts beyond the first of a request",
            registry=self.registry,
        )
        self.store_calls = Counter(
            "baobabthread_store_calls",
            "Calls to the store",
            ["topic", "outcome"],
            registry=self.registry,
        )
        self.store_eras = Counter(
            "baobabthread_store_eras",
            "Eras of the store that were learned, the first one included",
            registry=self.registry,
        )
        self.in_flight = Gauge(
            "baobabthread_in_flight",
            "Requests that are being handled",
            registry=self.registry,
        )
        self.replica_age = Gauge(
            "baobabthread_knowledge_age_seconds",
            "Age of what is known of the operators' configuration",
            registry=self.registry,
        )
        self.members = Gauge(
            "baobabthread_members",
            "Instances that are believed to serve, this one included",
            registry=self.registry,
        )
        self.quarantined = Gauge(
            "baobabthread_held_requests",
            "Requests that are held back as backend servers crash under them",
            registry=self.registry,
        )
        self.suspected_parts = Gauge(
            "baobabthread_suspected_parts",
            "Prompt parts that were present at several crashes and not answered since",
            registry=self.registry,
        )
        self.retries_left = Gauge(
            "baobabthread_repeats_left",
            "Repeats that this instance may still send in the present window",
            ["service"],
            registry=self.registry,
        )
        self.retries_in_transit = Gauge(
            "baobabthread_repeats_in_transit",
            "Repeats that were sent and may still reach their backend server",
            ["service"],
            registry=self.registry,
        )
        self.exposed_requests = Gauge(
            "baobabthread_exposed_requests",
            "Attempts at the version on trial since the newest order",
            ["service"],
            registry=self.registry,
        )
        self.resting_backends = Gauge(
            "baobabthread_resting_backends",
            "Backend servers that asked this instance for rest",
            registry=self.registry,
        )
        self.rests_asked = Gauge(
            "baobabthread_rests_asked",
            "Rests that backend servers asked this instance for since its start",
            registry=self.registry,
        )
        self.limited_backends = Gauge(
            "baobabthread_limited_backends",
            "Backend servers that state a limit on their requests",
            registry=self.registry,
        )
        self.send_permits = Gauge(
            "baobabthread_send_permits",
            "Permissions to send to limited backend servers since the start",
            ["outcome"],
            registry=self.registry,
        )
        self.brittle_services = Gauge(
            "baobabthread_brittle_services",
            "Services whose backend servers state that they are brittle",
            registry=self.registry,
        )
        self.places = Gauge(
            "baobabthread_places",
            "Places at brittle backend servers asked for since the start",
            ["outcome"],
            registry=self.registry,
        )
        self.assignments = Gauge(
            "baobabthread_assignments",
            "Servers that owners of groups were asked for since the start",
            ["outcome"],
            registry=self.registry,
        )
        self.group_waiting = Gauge(
            "baobabthread_group_waiting",
            "Requests of all instances that wait for a server of an owned group",
            ["group"],
            registry=self.registry,
        )
        self.group_unevenness = Gauge(
            "baobabthread_group_unevenness",
            "Busiest server's use over the mean use of an owned group's servers",
            ["group"],
            registry=self.registry,
        )
        self.lost_paths = Gauge(
            "baobabthread_lost_paths",
            "Backend servers that only other instances reach",
            registry=self.registry,
        )
        self.sent_requests = Gauge(
            "baobabthread_sent_requests",
            "Attempts sent since the start, directly or through another instance",
            ["path"],
            registry=self.registry,
        )
        self.connections = Gauge(
            "baobabthread_connections",
            "Open connections",
            ["listener"],
            registry=self.registry,
        )
        self.connection_bytes = Gauge(
            "baobabthread_connection_bytes",
            "Bytes that clients make the connections of all listeners hold",
            registry=self.registry,
        )
        self.open_tunnels = Gauge(
            "baobabthread_open_tunnels",
            "Connections that are carried for other instances",
            registry=self.registry,
        )
        self.relayed_connections = Gauge(
            "baobabthread_relayed_connections",
            "Connections carried for other instances since the start",
            registry=self.registry,
        )
        self.version_choices = Counter(
            "baobabthread_version_choices",
            "Choices of a version for a request of a session while a roll-out runs",
            ["service", "reason"],
            registry=self.registry,
        )
        self.latency = Histogram(
            "baobabthread_answer_seconds",
            "Time from a request's arrival to the end of its answer",
            ["route"],
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )

    def record_response(self, route: str, status: int, elapsed_s: float) -> None:
        """Count a response and its latency."""
        self._responses.labels(route=route, status=str(status)).inc()
        self.latency.labels(route=route).observe(elapsed_s)

    def render(self) -> bytes:
        """Return all metrics in the text exposition format."""
        return bytes(generate_latest(self.registry))
