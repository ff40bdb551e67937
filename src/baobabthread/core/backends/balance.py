"""The choice of a backend server for each request."""

from __future__ import annotations

import math
import random
from collections import Counter
from collections.abc import Collection, Container, Iterator, Mapping

from baobabthread.core.backends.backends import (
    BalanceSettings,
    Ejector,
    Health,
    LoadReport,
    RequestCount,
    Server,
)
from baobabthread.core.backends.balancers import BALANCERS, DEFAULT, Balancer, View
from baobabthread.core.backends.exclusions import ContainerUnion
from baobabthread.core.backends.loads import Load
from baobabthread.core.backends.pools import Pool
from baobabthread.core.configuration.configuration import Configuration
from baobabthread.core.limits.limits import Outcome

CANDIDATES = 8
"""Servers whose load is asked for before a pick. Simulated at nine tenths of what
thirty bear, a prompt waits 0.04 s at the best of eight, 0.03 s at the best of all and
1.3 s at one drawn at random."""
NO_LOADS: Mapping[str, Load] = {}
WITNESS_S = 10.0
"""How long an entry tells others of a server that leaves; less than they hold it."""


class BackendTable:
    """Know the backend servers of all services and pick one for each request."""

    __slots__ = (
        "_balancers",
        "_busy",
        "_ejector",
        "_failure_domain",
        "_left_at",
        "_pools",
        "_requests",
        "_rng",
        "_servers",
        "_settings",
        "_usual",
        "_witnessed",
    )

    def __init__(
        self,
        *,
        failure_domain: str,
        rng: random.Random,
        settings: BalanceSettings | None = None,
    ) -> None:
        self._failure_domain = failure_domain
        self._rng = rng
        self._settings = settings or BalanceSettings()
        self._ejector = Ejector(rng=rng, settings=self._settings)
        self._servers: dict[str, Server] = {}
        self._requests: dict[str, RequestCount] = {}
        self._balancers: dict[str, Balancer] = {}
        self._pools: dict[str, dict[str | None, Pool]] = {}
        self._usual: dict[str, float] = {}
        self._left_at: dict[str, float] = {}
        self._witnessed: dict[str, float] = {}
        self._busy: dict[str, float] = {}
        """Until when servers come last that lately rejected requests or are tried."""

    def __iter__(self) -> Iterator[Server]:
        return iter(self._servers.values())

    def rebuild(self, configuration: Configuration, now: float) -> None:
        """Take over a new configuration and keep what is known about each server."""
        servers: dict[str, Server] = {}
        for name, backend in configuration.backends.items():
            server = self._servers.get(name)
            if server is None or server.service != backend.service:
                server = Server(
                    name=name,
                    service=backend.service,
                    capacity=backend.capacity,
                    settings=self._settings,
                    service_requests=self._requests.setdefault(
                        backend.service, RequestCount()
                    ),
                )
                server.versions = frozenset(backend.versions)
            if name in self._left_at:
                server.health = Health.LEAVING
            server.capacity = backend.capacity
            server.far = backend.failure_domain != self._failure_domain
            servers[name] = server
        self._servers = servers
        sizes = Counter(server.service for server in servers.values())
        self._requests = {s: c for s, c in self._requests.items() if s in sizes}
        for service, requests in self._requests.items():
            requests.servers = sizes[service]
        self._left_at = {n: at for n, at in self._left_at.items() if n in servers}
        self._balancers = {
            name: BALANCERS.get(service.balancer)
            for name, service in configuration.services.items()
        }
        self._pools = {}

    def pick(
        self,
        *,
        service: str,
        version: str | None,
        prefix_key: int | None,
        exclude: Container[str] = (),
        now: float,
        may_probe: bool = False,
        shared_s: float = 0.0,
        shared_tokens: int = 0,
        loads: Mapping[str, Load] = NO_LOADS,
        candidates: Collection[str] = (),
    ) -> str | None:
        """Return the server for a request, or nothing when none is left.

        `shared_s` is the work that a cached prefix of `shared_tokens` saves, `loads`
        what keepers say of some of the `candidates`, to which the choice is bound where
        there are any. `may_probe` lets an idempotent request try a server that was
        ejected.
        """
        pool = self._pool(service, version, now)
        if may_probe and pool.probes:
            for server in pool.probes:
                # Failure: a server recovers and all that waits falls upon it. One
                # probe at a time, then a slow start, from each entry.
                if not server.in_flight and server.name not in exclude:
                    return server.name
        # A server that rejects a request holds few and responds at once, so that it
        # looks idle. It comes last, as it may have room again.
        busy = self._find_busy(now)
        exclusions = (ContainerUnion(exclude, busy), exclude) if busy else (exclude,)
        balancer = self._balancers.get(service) or BALANCERS.get(DEFAULT)
        for excluded in exclusions:
            view = View(
                pool=pool,
                prefix_key=prefix_key,
                exclude=excluded,
                now=now,
                rng=self._rng,
                usual=self._usual.get(service, 1.0),
                settings=self._settings,
                shared_s=shared_s,
                shared_tokens=shared_tokens,
                loads=loads,
                candidates=candidates,
            )
            chosen = balancer(view)
            if chosen is not None:
                return chosen.name
        return None

    def list_candidates(
        self,
        *,
        service: str,
        version: str | None,
        prefix_key: int | None,
        exclude: Container[str],
        now: float,
    ) -> list[str]:
        """Return servers to choose among: a prefix's own ones, and some at random."""
        pool = self._pool(service, version, now)
        busy = self._find_busy(now)
        if busy and any(
            s.name not in busy and s.name not in exclude for s in pool.usable
        ):
            exclude = ContainerUnion(exclude, busy)
        kept = pool.preferred(prefix_key) if prefix_key is not None else ()
        home = [server for server in kept if server.name not in exclude]
        others = [
            server
            for server in pool.usable
            if server.name not in exclude and server not in home
        ]
        count = min(len(others), CANDIDATES - len(home))
        found = [*home, *self._rng.sample(others, count)]
        return [server.name for server in found]

    def list_usable(
        self,
        *,
        service: str,
        version: str | None,
        exclude: Container[str],
        now: float,
        may_probe: bool,
    ) -> list[str]:
        """Return the servers that a request may go to; none if one is to be probed.

        Those that lately rejected requests are left out while others are left.
        """
        pool = self._pool(service, version, now)
        if may_probe and pool.probes:
            return []
        names = [s.name for s in pool.usable if s.name not in exclude]
        busy = self._find_busy(now)
        return [name for name in names if name not in busy] or names

    def capacity(self, service: str, version: str | None, now: float) -> int:
        """Return how many requests the usable servers can run at once."""
        return sum(s.capacity for s in self._pool(service, version, now).usable)

    def expected_s(self, service: str, tokens: int) -> float:
        """Return the usual seconds for a request once started; 0 when unknown."""
        return self._usual.get(service, 0.0) * tokens

    def started(self, name: str, tokens: int, now: float) -> None:
        """Count a request that was sent to a server."""
        server = self._servers.get(name)
        if server is not None:
            server.count(1, tokens, now)
            server.service_requests.sent += 1
            # Failure: after a back-off all requests of a moment choose the server, as
            # it looks idle until the first of them is rejected.
            if server.needs_trial(now):
                server.tried_at = now
                self._busy[name] = now + self._settings.rejection_trial_s

    def expect(self, name: str, seconds: float) -> None:
        """Count work that a server has to do before a request's first part."""
        server = self._servers.get(name)
        if server is not None:
            server.pending += seconds

    def began(
        self,
        name: str,
        seconds: float,
        now: float,
        *,
        delay_s: float | None,
        latency_s: float | None = None,
    ) -> None:
        """Take back what `expect` counted; `delay_s` is what a first part waited.

        `latency_s` is the time from sending to the first part, if there is one.
        """
        server = self._servers.get(name)
        if server is None:
            return
        server.pending = max(0.0, server.pending - seconds)
        if latency_s is not None:
            server.record_acceptance(now - latency_s)
            self._end_trial(server, Outcome.OK, now - latency_s, now)
        if delay_s is not None:
            server.observe_delay(delay_s, now)

    def finished(
        self,
        name: str,
        outcome: Outcome,
        latency_s: float,
        tokens: int,
        now: float,
        *,
        expected: int | None = None,
    ) -> None:
        """Count a request that ended at a server and learn from it.

        `expected` are the tokens that `started` was told, if they were others.
        """
        server = self._servers.get(name)
        if server is None:
            return
        server.count(-1, tokens if expected is None else expected, now)
        if outcome is Outcome.BUSY:
            self._busy[name] = server.record_rejection(now)
        elif outcome in (Outcome.OK, Outcome.FAILED):
            server.record_acceptance(now - latency_s)
        if outcome is not Outcome.BUSY:
            self._end_trial(server, outcome, now - latency_s, now)
        usual = self._usual.get(server.service, 0.0)
        if outcome is Outcome.OK:
            server.observe(latency_s, tokens, now)
            usual = self._learn_usual(server.service, latency_s / max(1, tokens))
        if self._ejector.judge(server, outcome, usual=usual, now=now):
            self._pools.pop(server.service, None)

    def report(self, name: str, report: LoadReport, now: float) -> None:
        """Take in a server's own word on its load and versions."""
        server = self._servers.get(name)
        if server is None:
            return
        server.report(report, now)
        versions = frozenset(report.versions)
        if versions != server.versions:
            server.versions = versions
            self._pools.pop(server.service, None)

    def refused_as_leaving(self, name: str, now: float) -> None:
        """Take a server's own word that it leaves, to be told to the other entries."""
        self._witnessed[name] = now
        self.leaving(name, now)

    def witnessed(self, service: str, now: float) -> list[str]:
        """Return the servers of a service that lately told this entry that they leave.

        Only what was seen here: entries that passed on each other's word would hold a
        server out for as long as any two of them live.
        """
        recent = now - WITNESS_S
        self._witnessed = {n: at for n, at in self._witnessed.items() if at > recent}
        return sorted(
            name
            for name in self._witnessed
            if name in self._servers and self._servers[name].service == service
        )

    def leaving(self, name: str, now: float) -> None:
        """Give a server no new work from now on."""
        self._left_at[name] = now
        server = self._servers.get(name)
        if server is not None and server.health is not Health.LEAVING:
            server.health = Health.LEAVING
            server.since = now
            self._pools.pop(server.service, None)

    def returned(self, name: str, now: float) -> bool:
        """Take a server back into use, slowly; return whether that was believed."""
        left_at = self._left_at.get(name)
        if left_at is None:
            return True
        # Failure: a server refuses as leaving, the roster still lists it as live, and
        # work goes back to it. Word of life counts only once the roster's lag is over.
        if now - left_at < self._settings.leaving_hold_s:
            return False
        del self._left_at[name]
        server = self._servers.get(name)
        if server is not None and server.health is Health.LEAVING:
            server.health = Health.STARTING
            server.since = now
            server.ramp_s = self._settings.slow_start_s
            self._pools.pop(server.service, None)
        return True

    def begin_slowly(self, name: str, now: float, ramp_s: float | None = None) -> None:
        """Give a server that is back in use a part of its load that grows.

        `ramp_s` is how long it grows, by default as long as after an ejection.
        """
        server = self._servers.get(name)
        if server is not None and server.health is Health.HEALTHY:
            server.health = Health.STARTING
            server.since = now
            server.ramp_s = ramp_s or self._settings.slow_start_s

    def health(self) -> Mapping[str, Health]:
        """Return the health of each server, for the state dump."""
        return {name: server.health for name, server in self._servers.items()}

    def _pool(self, service: str, version: str | None, now: float) -> Pool:
        pools = self._pools.setdefault(service, {})
        pool = pools.get(version)
        if pool is not None and now < pool.changes_at:
            return pool
        servers = [
            s
            for s in self._servers.values()
            if s.service == service and (version is None or version in s.versions)
        ]
        for server in servers:
            self._advance(server, now)
        pool = Pool(servers=servers, settings=self._settings)
        pools[version] = pool
        return pool

    def _find_busy(self, now: float) -> Mapping[str, float]:
        """Return the servers that lately rejected requests."""
        if self._busy:
            self._busy = {n: until for n, until in self._busy.items() if now < until}
        return self._busy

    def _end_trial(
        self, server: Server, outcome: Outcome, started_at: float, now: float
    ) -> None:
        """Let others follow a request that began or ended, unless it is older."""
        if now < server.busy_until or started_at <= server.rejected_at:
            return
        self._busy.pop(server.name, None)
        if outcome is Outcome.CANCELLED:
            server.tried_at = -math.inf

    def _advance(self, server: Server, now: float) -> None:
        """Move an ejected server on when its time has come."""
        if server.until > now:
            return
        if server.health is Health.EJECTED:
            server.health = Health.PROBING
            server.until = now + self._settings.probe_patience_s
        elif server.health is Health.PROBING:
            # Failure: a service has no idempotent call, so no request may probe, and
            # the server stays out for ever. After a while it starts again, slowly.
            server.health = Health.STARTING
            server.since = now
            server.ramp_s = self._settings.slow_start_s

    def _learn_usual(self, service: str, sample: float) -> float:
        """Follow the median time per token of a service with small steps."""
        usual = self._usual.get(service)
        if usual is None:
            self._usual[service] = sample
            return sample
        # A step of a fixed part, up or down, settles at the median, which a few slow
        # or lying servers can't move as they move a mean.
        usual *= 1.02 if sample > usual else 1.0 / 1.02
        self._usual[service] = usual
        return usual
