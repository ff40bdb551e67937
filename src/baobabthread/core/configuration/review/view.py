"""What the rules of the review read: one small form of every kind of text."""

from __future__ import annotations

from collections.abc import Mapping

import msgspec


class Target(msgspec.Struct, frozen=True, kw_only=True):
    """Service that serves a route, with its share of the requests."""

    service: str
    weight: float = 1.0


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """What callers may ask for, and its limits in seconds."""

    row: tuple[str, str]
    """Table and name of the row that it stands in."""
    field: str
    """Where it stands in the text."""
    name: str
    targets: tuple[Target, ...]
    timeout_s: float
    objective_s: float | None = None
    """Time within which a response has its full value; None if not stated."""
    max_event_gap_s: float = 0.0
    attempts: int = 1
    host: str | None = None
    """None if requests are not matched by host and path."""
    prefix: str = ""
    models: tuple[str, ...] = ()
    regions: tuple[str, ...] = ()


class Service(msgspec.Struct, frozen=True, kw_only=True):
    """Service with the models in the order in which they are tried."""

    row: tuple[str, str]
    field: str
    cascade: tuple[str, ...] = ()
    """Versions in the order in which they are tried."""
    costs: Mapping[str, float] = {}
    """Cost of 1,000 generated tokens by version or model."""
    capacity: int = 0
    """Requests that one server runs concurrently; 0 if not stated."""
    connections: int = 0
    """Connections that one server accepts; 0 if not stated."""
    memory_tokens: int = 0
    """Tokens that one server holds; 0 if not stated."""
    servers: int | None = None
    """Number of its servers; None if the text names no servers."""


class Version(msgspec.Struct, frozen=True, kw_only=True):
    """Version of a model service."""

    row: tuple[str, str]
    field: str
    service: str
    cost: float
    is_offered: bool = True
    is_withdrawn: bool = False
    servers: int | None = None
    """Number of servers that have it loaded; None if the text names no servers."""


class Account(msgspec.Struct, frozen=True, kw_only=True):
    """Client account, with its keys or their hashes."""

    row: tuple[str, str]
    field: str
    name: str
    keys: tuple[str, ...]
    services: tuple[str, ...] | None = None
    """Services that it may use; None for all."""
    versions: tuple[str, ...] = ()
    regions: tuple[str, ...] = ()


class Rollout(msgspec.Struct, frozen=True, kw_only=True):
    """Move of traffic from a version to another."""

    row: tuple[str, str]
    field: str
    service: str
    old: str
    new: str


class View(msgspec.Struct, frozen=True, kw_only=True):
    """One configuration, whatever text it came from."""

    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    versions: Mapping[str, Version]
    accounts: tuple[Account, ...]
    rollouts: tuple[Rollout, ...] = ()
    repeated: tuple[tuple[str, str], ...] = ()
    """Fields and names of services that a later one of the same name replaces."""
    regions: frozenset[str] | None = None
    """Regions that have servers; None if unknown."""
    max_body_bytes: int = 0
    memory_bytes: int | None = None
    """Memory of one instance; None if unknown."""
    tables: Mapping[str, Mapping[str, msgspec.Struct]]
    """All rows as they were parsed, for the comparison."""
    summary: str
    """What is in it, in a few words."""


def index_costs(view: View) -> dict[str, dict[str, float]]:
    """Return the cost of each model at each service that has it."""
    index: dict[str, dict[str, float]] = {}
    for name, service in view.services.items():
        for model, cost in service.costs.items():
            index.setdefault(model, {})[name] = cost
    return index
