"""The view of a routing configuration for its review."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping
from typing import TypeVar

import msgspec

from baobabthread.core.configuration.review import view as views
from baobabthread.routing.configuration import (
    Account,
    Route,
    RoutingConfiguration,
    ServiceConfiguration,
)

Row = TypeVar("Row", Route, Account)


def view_routing(
    configuration: RoutingConfiguration,
    *,
    regions: frozenset[str] | None = None,
    memory_bytes: int | None = None,
) -> views.View:
    """Return the view; regions and memory in bytes are those of the installation."""
    routes, accounts = configuration.routes, configuration.accounts
    services = configuration.services
    last = {row.name: index for index, row in enumerate(services)}
    return views.View(
        routes=tuple(
            _view_route(index, name, row)
            for index, (name, row) in enumerate(_name_rows(routes).items())
        ),
        services={
            row.name: _view_service(index, row) for index, row in enumerate(services)
        },
        repeated=tuple(
            (f"services[{index}]", row.name)
            for index, row in enumerate(services)
            if last[row.name] != index
        ),
        versions={},
        accounts=tuple(
            _view_account(index, name, row)
            for index, (name, row) in enumerate(_name_rows(accounts).items())
        ),
        regions=regions,
        max_body_bytes=configuration.limits.max_body_bytes,
        memory_bytes=memory_bytes,
        tables=_list_tables(configuration),
        summary=(
            f"{len(routes)} routes, {len(services)} services, {len(accounts)} accounts"
        ),
    )


def _list_tables(
    configuration: RoutingConfiguration,
) -> dict[str, Mapping[str, msgspec.Struct]]:
    return {
        "routes": _name_rows(configuration.routes),
        "services": {row.name: row for row in configuration.services},
        "accounts": _name_rows(configuration.accounts),
        "limits": {"requests": configuration.limits},
    }


def _name_rows(rows: Iterable[Row]) -> dict[str, Row]:
    """Return rows by name; those that share one are numbered."""
    named: dict[str, Row] = {}
    counts: Counter[str] = Counter()
    for row in rows:
        name = row.name
        while name in named:
            counts[row.name] += 1
            name = f"{row.name}#{counts[row.name] + 1}"
        named[name] = row
    return named


def _view_route(index: int, row: str, route: Route) -> views.Route:
    return views.Route(
        row=("routes", row),
        field=f"routes[{index}]",
        name=route.name,
        targets=tuple(
            views.Target(service=target.service, weight=target.weight)
            for target in route.targets
        ),
        timeout_s=route.timeout_s,
        objective_s=route.objective_s,
        max_event_gap_s=route.max_event_gap_s,
        attempts=route.max_attempts,
        host=route.host,
        prefix=route.path_prefix,
        models=route.models,
        regions=route.allowed_regions,
    )


def _view_service(index: int, service: ServiceConfiguration) -> views.Service:
    return views.Service(
        row=("services", service.name),
        field=f"services[{index}]",
        costs={model.name: model.cost for model in service.models},
        capacity=service.capacity,
        connections=service.max_connections,
        memory_tokens=service.memory_tokens,
    )


def _view_account(index: int, row: str, account: Account) -> views.Account:
    return views.Account(
        row=("accounts", row),
        field=f"accounts[{index}]",
        name=account.name,
        keys=account.keys,
        regions=account.allowed_regions,
    )
