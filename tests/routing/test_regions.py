"""Tests of where a request may be served and which instances may read its body."""

from __future__ import annotations

from baobabthread.core.membership.messages import MemberInfo
from baobabthread.routing.configuration import (
    Account,
    RequestKind,
    Route,
    RoutingConfiguration,
)
from baobabthread.routing.directory import list_addresses
from baobabthread.routing.regions import (
    Regions,
    find_allowed_regions,
    find_common_regions,
)

AREAS = Regions(by_domain={"a": "north", "b": "north", "c": "south", "d": "east"})


def make_route(*homes: str) -> Route:
    return Route(
        name="r",
        host="h",
        path_prefix="/",
        kind=RequestKind.IDEMPOTENT,
        targets=(),
        timeout_s=1.0,
        objective_s=1.0,
        priority=1,
        max_attempts=1,
        allowed_regions=homes,
    )


def make_account(*homes: str) -> Account:
    return Account(name="metro", keys=(), allowed_regions=homes)


def test_bind_by_route_and_account() -> None:
    assert find_allowed_regions(make_route(), None) is None
    assert find_allowed_regions(make_route(), make_account()) is None
    assert find_allowed_regions(make_route("north"), make_account()) == {"north"}
    assert find_allowed_regions(make_route(), make_account("south")) == {"south"}
    both = find_allowed_regions(
        make_route("north", "east"), make_account("east", "south")
    )
    assert both == {"east"}
    assert (
        find_allowed_regions(make_route("north"), make_account("south")) == frozenset()
    )


def test_serve_in_no_domain_of_which_nothing_is_known() -> None:
    assert AREAS.may_serve(None, "z")
    assert AREAS.may_serve(frozenset({"north"}), "b")
    assert not AREAS.may_serve(frozenset({"north"}), "c")
    assert not AREAS.may_serve(frozenset({"north"}), "z")
    assert not AREAS.may_serve(frozenset(), "a")


def test_tell_what_names_nothing() -> None:
    found = RoutingConfiguration(
        version=1, routes=(make_route("north", "nrth"),), services=()
    )
    assert AREAS.list_unknown_regions(found) == ["nrth"]
    assert Regions(by_domain={}).list_unknown_regions(found) == []
    assert AREAS.list_unknown_domains(frozenset({"a", "z"})) == ["z"]


def test_find_where_all_bodies_may_be_read() -> None:
    def common(*homes: tuple[str, ...]) -> frozenset[str]:
        routes = tuple(make_route(*each) for each in homes)
        configuration = RoutingConfiguration(version=1, routes=routes, services=())
        return find_common_regions(configuration)

    assert common((), ()) == frozenset()
    assert common((), ("north", "east"), ("north",)) == {"north"}
    assert common(("south",), ("north",)) == {"north", "south"}


def name_for(area: str, domains: str, *, me: str = "a", is_ready: bool = True) -> str:
    """Return the domains of the instances that callers of an area are told."""
    members = [
        MemberInfo(
            name=f"{n}-{domain}",
            address=domain,
            peer_address=domain,
            failure_domain=domain,
            incarnation=domain,
            started_at=0.0,
        )
        for n, domain in enumerate(domains)
    ]
    found = list_addresses(
        me=next(member for member in members if member.failure_domain == me),
        serving=members,
        is_ready=is_ready,
        is_stale=lambda member: False,
        failure_domain="x",
        max_lifetime_s=5.0,
        region=area,
        allowed_regions=frozenset({"south"}),
        regions=AREAS,
    )
    return "".join(sorted(found.addresses))


def test_name_instances_of_the_callers_area() -> None:
    """An instance in a third area would read a body that may not leave its home."""
    assert name_for("north", "abcd") == "ab"
    assert name_for("south", "abcd") == "c"
    assert name_for("south", "abcd", me="c") == "c"
    assert name_for("west", "abcd") == "c"
    assert name_for("west", "abd") == "abd"


def test_name_home_where_the_only_near_instance_stops() -> None:
    """The last instance of an area was told to stop and is asked for addresses.

    It named itself, and callers connected to one that ends a moment later.
    """
    assert name_for("north", "acd", is_ready=False) == "c"
    assert name_for("north", "abcd", is_ready=False) == "b"
