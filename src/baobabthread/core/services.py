"""What one entry keeps for each service: queue, limits, budget and rules."""

from __future__ import annotations

import random

from baobabthread.core.configuration.configuration import Configuration, Service
from baobabthread.core.limits.fairness import FairQueue
from baobabthread.core.limits.limits import AdaptiveLimit, Shedder
from baobabthread.core.limits.retries import RetryBudget
from baobabthread.core.models.cascade import CASCADE_RULES, CascadeRule
from baobabthread.core.requests.attempts import VersionCost

SMOOTHING = 0.1
FIRST_LATENCY_S = 0.5
FIRST_TOKENS = 200


class ServiceState:
    """Hold the live state of one service at this entry."""

    __slots__ = (
        "_latency",
        "_rule_name",
        "_tokens",
        "budget",
        "limit",
        "name",
        "queue",
        "rule",
        "service",
        "shedder",
    )

    def __init__(
        self,
        *,
        name: str,
        service: Service,
        configuration: Configuration,
        rng: random.Random,
    ) -> None:
        self.name = name
        self.service = service
        self.queue = FairQueue()
        self.limit = AdaptiveLimit()
        self.shedder = Shedder()
        self.budget = RetryBudget(rng=rng)
        self._latency: dict[str, float] = {}
        self._tokens: dict[str, float] = {}
        self._rule_name = service.cascade_rule
        self.rule = self._build_rule(service, configuration, rng)

    def reconfigure(
        self, service: Service, configuration: Configuration, rng: random.Random
    ) -> None:
        """Take over a newly accepted text and keep what was learnt."""
        self.service = service
        if service.cascade_rule != self._rule_name:
            self._rule_name = service.cascade_rule
            self.rule = self._build_rule(service, configuration, rng)
            return
        self.rule.reconfigure(
            costs=list_costs(service, configuration), target=service.quality_target
        )

    def expect_latency(self, version: str) -> float:
        """Return the usual seconds of an answer by a version."""
        return self._latency.get(version, FIRST_LATENCY_S)

    def expect_tokens(self, call: str) -> int:
        """Return the usual tokens of an answer to a call."""
        return int(self._tokens.get(call, FIRST_TOKENS))

    def learn(self, *, call: str, version: str, latency_s: float, tokens: int) -> None:
        """Follow latencies and sizes."""
        latency = self._latency.get(version, latency_s)
        self._latency[version] = latency + SMOOTHING * (latency_s - latency)
        size = self._tokens.get(call, float(tokens))
        self._tokens[call] = size + SMOOTHING * (tokens - size)

    def _build_rule(
        self, service: Service, configuration: Configuration, rng: random.Random
    ) -> CascadeRule:
        return CASCADE_RULES.get(service.cascade_rule)(
            costs=list_costs(service, configuration),
            target=service.quality_target,
            random=rng,
        )


class ServiceStates(dict[str, ServiceState]):
    """Hold the state of each service by name, and follow the configuration."""

    __slots__ = ()

    def reconfigure(self, configuration: Configuration, rng: random.Random) -> None:
        """Take over a newly accepted text; what was learnt of a service stays."""
        for name, service in configuration.services.items():
            state = self.get(name)
            if state is not None:
                state.reconfigure(service, configuration, rng)
                continue
            self[name] = ServiceState(
                name=name, service=service, configuration=configuration, rng=rng
            )

    def share_capacity(self, configuration: Configuration, entries: int) -> None:
        """Divide what the backend servers can run among so many entries."""
        backends = configuration.backends.values()
        for name, state in self.items():
            capacity = sum(b.capacity for b in backends if b.service == name)
            state.limit.set_capacity(max(1, capacity), max(1, entries))


def list_costs(service: Service, configuration: Configuration) -> list[VersionCost]:
    """Return the prices of a service's versions, those in its cascade first."""
    others = [
        name
        for name, version in configuration.versions.items()
        if name not in service.cascade
        and configuration.services.get(version.service) is service
    ]
    return [
        VersionCost(name=name, cost=configuration.versions[name].cost)
        for name in [*service.cascade, *others]
    ]
