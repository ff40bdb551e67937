"""Tests of the lookup of routes and client accounts."""

from __future__ import annotations

import pytest

from baobabthread.routing.configuration import (
    Account,
    RequestKind,
    Route,
    RoutingConfiguration,
    Target,
)
from baobabthread.routing.table import Envelope, PromptPart, RoutingTable


def make_route(host: str, prefix: str, name: str = "") -> Route:
    return Route(
        name=name or prefix,
        host=host,
        path_prefix=prefix,
        kind=RequestKind.IDEMPOTENT,
        targets=(Target(service="s"),),
        timeout_s=1.0,
        objective_s=0.5,
        priority=1,
        max_attempts=2,
    )


def make_table(*routes: Route, accounts: tuple[Account, ...] = ()) -> RoutingTable:
    return RoutingTable(
        configuration=RoutingConfiguration(
            version=1, routes=routes, services=(), accounts=accounts
        )
    )


@pytest.mark.parametrize(
    ("host", "path", "name"),
    [
        ("a.example", "/x/1", "/x/"),
        ("A.Example:8080", "/x/1", "/x/"),
        ("a.example", "/x/y/1", "/x/y/"),
        ("a.example", "/x/y", "/x/"),
        ("a.example", "/x/yz/1", "/x/"),
        ("a.example", "/x", None),
        ("a.example", "/z/1", "/"),
        ("b.example", "/x/1", None),
        ("a.example", "", None),
    ],
)
def test_match_longest_prefix(host: str, path: str, name: str | None) -> None:
    table = make_table(
        make_route("a.example", "/x/"),
        make_route("a.example", "/x/y/"),
        make_route("a.example", "/") if path == "/z/1" else make_route("c", "/"),
    )
    route = table.match(host, path)
    assert (route.name if route else None) == name


def test_authenticate_by_any_key_of_an_account() -> None:
    metro = Account(name="metro", keys=("k1", "k2"))
    table = make_table(accounts=(metro,))
    assert table.needs_keys
    assert table.authenticate("k1") is table.authenticate("k2") is metro
    assert table.authenticate("k3") is None
    assert table.authenticate(None) is None
    assert not make_table().needs_keys


def test_shared_parts_of_a_prompt() -> None:
    parts = tuple(PromptPart(id=i, tokens=t) for i, t in (("a", 5), ("b", 3), ("c", 2)))
    envelope = Envelope(request_id="r", prompt_parts=parts)
    assert (envelope.shared_part, envelope.shared_tokens) == ("b", 8)
    single = Envelope(request_id="r", prompt_parts=parts[:1])
    assert (single.shared_part, single.shared_tokens) == (None, 0)
