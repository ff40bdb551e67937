"""The seeded workload of the brief: accounts, kinds of requests, arrivals."""

from __future__ import annotations

import random
from collections.abc import Iterator, Sequence

import msgspec

from baobabthread.core.configuration.configuration import Priority
from bench._servers import MODEL, PLAIN

PREFIXES_PER_ACCOUNT = 6
MODEL_SERVERS = 5
PLAIN_SERVERS = 4
EXPECTED_HITS = 0.6
"""Share of prefixes found in a cache, to turn a load into a rate of arrivals."""


class Kind(msgspec.Struct, frozen=True, kw_only=True):
    """Describe one kind of request."""

    name: str
    service: str
    priority: Priority
    share: float
    """Share of its service's requests."""
    output_tokens: float
    prefix_tokens: int
    fresh_tokens: int
    deadline_s: float
    idempotent: bool = True

    def expected_work(self) -> float:
        """Return its mean work in generated tokens."""
        prompt = self.fresh_tokens + self.prefix_tokens * (1.0 - EXPECTED_HITS)
        return self.output_tokens + prompt / MODEL.prefill_ratio


KINDS: Sequence[Kind] = (
    Kind(
        name="draft",
        service="model",
        priority=Priority.INTERACTIVE,
        share=0.4,
        output_tokens=120,
        prefix_tokens=1600,
        fresh_tokens=200,
        deadline_s=20.0,
    ),
    Kind(
        name="translation",
        service="model",
        priority=Priority.INTERACTIVE,
        share=0.4,
        output_tokens=50,
        prefix_tokens=800,
        fresh_tokens=100,
        deadline_s=15.0,
    ),
    Kind(
        name="summary",
        service="model",
        priority=Priority.BATCH,
        share=0.15,
        output_tokens=200,
        prefix_tokens=400,
        fresh_tokens=2000,
        deadline_s=240.0,
    ),
    Kind(
        name="bulletin",
        service="model",
        priority=Priority.URGENT,
        share=0.05,
        output_tokens=60,
        prefix_tokens=800,
        fresh_tokens=100,
        deadline_s=10.0,
    ),
    Kind(
        name="status",
        service="plain",
        priority=Priority.URGENT,
        share=0.3,
        output_tokens=20,
        prefix_tokens=0,
        fresh_tokens=0,
        deadline_s=2.0,
    ),
    Kind(
        name="warning",
        service="plain",
        priority=Priority.URGENT,
        share=0.02,
        output_tokens=60,
        prefix_tokens=0,
        fresh_tokens=0,
        deadline_s=10.0,
        idempotent=False,
    ),
    Kind(
        name="upload",
        service="plain",
        priority=Priority.INTERACTIVE,
        share=0.48,
        output_tokens=120,
        prefix_tokens=0,
        fresh_tokens=0,
        deadline_s=5.0,
    ),
    Kind(
        name="export",
        service="plain",
        priority=Priority.BATCH,
        share=0.2,
        output_tokens=400,
        prefix_tokens=0,
        fresh_tokens=0,
        deadline_s=60.0,
    ),
)

BY_NAME = {kind.name: kind for kind in KINDS}

LARGE = ("large-1", "large-2", "large-3")
SMALL = tuple(f"small-{number}" for number in range(1, 8))


class Traffic(msgspec.Struct, frozen=True, kw_only=True):
    """Describe who sends how much to one service."""

    service: str
    load: float
    """Offered work as a multiple of what the servers can do."""
    shares: dict[str, float]
    """Share of the offered work of each account."""
    only_at: dict[str, int] = {}
    """Accounts all of whose requests come to one entry."""
    urgent: frozenset[str] = frozenset()
    """Accounts that mark all of their work urgent."""


def default_shares(
    large: float = 0.8, accounts: tuple[Sequence[str], Sequence[str]] = (LARGE, SMALL)
) -> dict[str, float]:
    """Return shares in which a few accounts send most of the work."""
    shares = {name: large / len(accounts[0]) for name in accounts[0]}
    return shares | {name: (1 - large) / len(accounts[1]) for name in accounts[1]}


class Arrival(msgspec.Struct, frozen=True, kw_only=True):
    """Hold one request as a caller sends it."""

    request_id: str
    at: float
    entry: int
    account: str
    kind: Kind
    priority: Priority
    prefix_key: int | None
    output_tokens: int
    fresh_tokens: int


def capacity_per_s(service: str) -> float:
    """Return the tokens a second that all servers of a service can do."""
    if service == "model":
        return MODEL_SERVERS * MODEL.tokens_per_s()
    return PLAIN_SERVERS * PLAIN.tokens_per_s()


def generate(
    traffic: Traffic, *, start: float, end: float, entries: int, rng: random.Random
) -> Iterator[Arrival]:
    """Yield the arrivals of one service in the order of time."""
    kinds = [kind for kind in KINDS if kind.service == traffic.service]
    weights = [kind.share for kind in kinds]
    work = sum(k.share * k.expected_work() for k in kinds) / sum(weights)
    rate = traffic.load * capacity_per_s(traffic.service) / work
    names = list(traffic.shares)
    shares = list(traffic.shares.values())
    now = start
    number = 0
    while True:
        now += rng.expovariate(rate)
        if now >= end:
            return
        number += 1
        account = rng.choices(names, shares)[0]
        kind = rng.choices(kinds, weights)[0]
        entry = rng.randrange(entries)
        template = int(PREFIXES_PER_ACCOUNT * rng.random() ** 2)
        yield Arrival(
            request_id=f"{traffic.service}-{start:g}-{number}",
            at=now,
            entry=traffic.only_at.get(account, entry),
            account=account,
            kind=kind,
            priority=Priority.URGENT if account in traffic.urgent else kind.priority,
            prefix_key=_make_prefix_key(account, kind, template),
            output_tokens=_draw(rng, kind.output_tokens),
            fresh_tokens=_draw(rng, kind.fresh_tokens) if kind.fresh_tokens else 0,
        )


def _draw(rng: random.Random, mean: float) -> int:
    """Draw a length around a mean, with a long tail."""
    return max(1, int(mean * rng.lognormvariate(-0.125, 0.5)))


def _make_prefix_key(account: str, kind: Kind, template: int) -> int | None:
    if not kind.prefix_tokens:
        return None
    return random.Random(f"{account}/{kind.name}/{template}").getrandbits(64)
