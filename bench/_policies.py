"""What an experiment chooses, its baselines, and what became of each request."""

from __future__ import annotations

import math
from collections import OrderedDict

import msgspec

from baobabthread.core.backends.backends import BalanceSettings
from baobabthread.core.configuration.configuration import (
    Backend,
    Configuration,
    Service,
    ServiceKind,
)
from baobabthread.core.limits.fairness import FairnessSettings, Waiting
from baobabthread.core.limits.limits import LimitSettings
from baobabthread.core.limits.retries import RetrySettings
from bench._servers import MODEL, PLAIN, Job, ServerSpec
from bench._workload import MODEL_SERVERS, PLAIN_SERVERS, Arrival

DOMAINS = 4
DELAY_S = 0.0005
"""One way between failure domains; the Association's figure."""
SPECS: dict[str, ServerSpec] = {"model": MODEL, "plain": PLAIN}
SERVERS = {"model": MODEL_SERVERS, "plain": PLAIN_SERVERS}
NO_BUDGET = RetrySettings(ratio=100.0, max_balance=1e9, floor_per_s=1e6)


class Policy(msgspec.Struct, frozen=True, kw_only=True):
    """Choose the variants of the decisions that an experiment compares."""

    fair: bool = True
    gossip: bool = True
    limited: bool = True
    shedding: bool = True
    budget: bool = True
    first_come_most: int = 1 << 30
    """Requests that wait at one entry when the queue is first come, first served."""
    balancer: str = "affine"
    caller_retries: int = 0
    delay_s: float = DELAY_S
    fairness: FairnessSettings = FairnessSettings()
    limit: LimitSettings = LimitSettings()
    balance: BalanceSettings = BalanceSettings()


class Result:
    """Hold what became of one request."""

    __slots__ = (
        "arrival",
        "arrived_at",
        "attempts",
        "began_at",
        "cached_tokens",
        "deadline",
        "ended_at",
        "entry",
        "estimate_s",
        "excluded",
        "first_at",
        "job",
        "outcome",
        "retry_after_s",
        "sent_at",
        "server",
        "started_at",
        "tries",
    )

    def __init__(self, *, arrival: Arrival, now: float, tries: int) -> None:
        self.arrival = arrival
        self.arrived_at = now
        self.first_at = arrival.at
        self.deadline = now + arrival.kind.deadline_s
        self.tries = tries
        """How often the caller sent it before."""
        self.attempts = 0
        self.excluded: list[str] = []
        """Servers that failed it."""
        self.cached_tokens = 0
        self.estimate_s = 0.0
        self.started_at = math.nan
        self.sent_at = math.nan
        self.began_at = math.nan
        self.ended_at = math.nan
        self.outcome = "open"
        self.retry_after_s = 0.0
        self.job: Job | None = None
        self.server: str | None = None
        self.entry = 0

    @property
    def request_id(self) -> str:
        """Give the id of this try."""
        return f"{self.arrival.request_id}/{self.tries}"

    @property
    def wait_s(self) -> float:
        """Give the seconds before a server began it; unserved, its whole deadline."""
        if self.outcome != "ok":
            return self.arrival.kind.deadline_s
        return self.began_at - self.arrived_at

    @property
    def full_work(self) -> float:
        """Give its work in generated tokens as if no prefix were cached."""
        kind = self.arrival.kind
        prompt = kind.prefix_tokens + self.arrival.fresh_tokens
        return self.arrival.output_tokens + prompt / MODEL.prefill_ratio

    @property
    def work(self) -> float:
        """Give its work in generated tokens, less what a cache saved."""
        return self.full_work - self.cached_tokens / MODEL.prefill_ratio


class FirstComeQueue:
    """Serve in the order of arrival: the baseline of fair queueing."""

    __slots__ = ("_most", "_waiting")

    def __init__(self, *, most: int) -> None:
        self._most = most
        self._waiting: OrderedDict[str, Waiting] = OrderedDict()

    def push(self, waiting: Waiting, now: float) -> Waiting | None:
        """Queue a request, or return it when the queue is full."""
        if len(self._waiting) >= self._most:
            return waiting
        self._waiting[waiting.request_id] = waiting
        return None

    def pop(self, now: float) -> Waiting | None:
        """Take the oldest request."""
        return self._waiting.popitem(last=False)[1] if self._waiting else None

    def remove(self, request_id: str) -> Waiting | None:
        """Take out a request."""
        return self._waiting.pop(request_id, None)

    def expire(self, now: float) -> list[Waiting]:
        """Drop nothing before its deadline."""
        return []

    def finished(self, request_id: str, tokens: int, now: float) -> None:
        """Take no notice."""

    def estimate_wait(self, waiting: Waiting) -> float:
        """Know nothing about the wait."""
        return 0.0

    def retry_after(self, now: float, account: str | None = None) -> float:
        """Return a fixed time."""
        return 1.0


def configure(balancer: str) -> Configuration:
    """Return a configuration with both services and their servers."""
    backends: dict[str, Backend] = {}
    for service, count in SERVERS.items():
        for number in range(count):
            backends[f"{service}-{number}"] = Backend(
                service=service,
                address=f"127.0.0.1:{9001 + len(backends)}",
                failure_domain=f"d{number % DOMAINS}",
                capacity=SPECS[service].capacity,
                versions=["v"],
            )
    services = {
        name: Service(kind=ServiceKind(name), cascade=["v"], balancer=balancer)
        for name in SPECS
    }
    return Configuration(
        generation=1,
        services=services,
        versions={},
        accounts={},
        backends=backends,
        rollouts={},
        operators={},
    )
