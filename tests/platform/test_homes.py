"""Allowed regions of requests, and of the instances that read their bodies."""

from __future__ import annotations

import json

from tests.platform.fakecallers import KEY, call
from tests.platform.site import (
    Site,
    make_configuration,
    open_site,
    route,
    run,
    wait_for,
)

TENANT = {"name": "metro", "api_keys": [KEY], "priority": None}


def restrict(*regions: str, account: tuple[str, ...] = ()) -> dict[str, object]:
    """Return the configuration with the allowed regions of a route and an account."""
    return {
        "routes": [route("/safe/", "idempotent", allowed_regions=list(regions))],
        "tenants": [TENANT | {"allowed_regions": list(account)}],
    }


def list_used(site: Site) -> set[str]:
    return {backend.id for backend in site.backends if backend.seen}


async def call_repeatedly(site: Site) -> list[int]:
    return [(await site.call("/safe/x")).status for _ in range(12)]


def test_serve_only_in_allowed_regions() -> None:
    """A server fails, and the nearest other one is outside the allowed regions."""

    async def case() -> None:
        restricted = restrict("south", "east")
        async with open_site("p1", "p2@b", "p3@c", "p4@d", **restricted) as site:
            site.backends[2].behaviour = "fail"
            assert set(await call_repeatedly(site)) <= {200, 500}
            assert list_used(site) == {"p3", "p4"}

    run(case())


def test_apply_the_regions_of_both_route_and_account() -> None:
    async def case() -> None:
        restricted = restrict("south", "east", account=("north", "east"))
        async with open_site("p1", "p3@c", "p4@d", **restricted) as site:
            assert set(await call_repeatedly(site)) == {200}
            assert list_used(site) == {"p4"}

    run(case())


def test_reject_without_a_server_in_the_allowed_regions() -> None:
    """No server is in the allowed regions; servers of other regions are not used."""

    async def case() -> None:
        async with open_site("p1", "p2@b", **restrict("east")) as site:
            response = await site.call("/safe/x")
            assert response.status == 503
            assert json.loads(response.body)["kind"] == "no_backend_at_home"
            assert not list_used(site)

    run(case())


def test_reject_what_no_region_may_serve() -> None:
    """The allowed regions are unknown, or route and account have none in common."""

    async def case() -> None:
        async with open_site("p1", **restrict("nowhere")) as site:
            assert set(await call_repeatedly(site)) == {503}
            site.configure(2, **restrict("north", account=("south",)))
            replica = site.instances[0].replica
            await wait_for(
                lambda: replica.table and replica.table.configuration.version == 2
            )
            assert set(await call_repeatedly(site)) == {503}
            assert not list_used(site)

    run(case())


def test_follow_a_change_of_the_homes() -> None:
    async def case() -> None:
        async with open_site("p1", "p3@c", **restrict("north")) as site:
            assert set(await call_repeatedly(site)) == {200}
            assert list_used(site) == {"p1"}
            site.configure(2, **restrict("south"))
            replica = site.instances[0].replica
            await wait_for(
                lambda: replica.table and replica.table.configuration.version == 2
            )
            site.backends[0].seen.clear()
            assert set(await call_repeatedly(site)) == {200}
            assert list_used(site) == {"p3"}
            site.configure(3)
            assert make_configuration(3)["version"] == 3

    run(case())


def test_resolve_to_instances_that_may_read_the_body() -> None:
    """Callers of two regions look up the instances that they may connect to.

    An instance of a third region would read bodies that must stay in their region.
    """

    async def case() -> None:
        async with open_site("p1", **restrict("north")) as site:
            await site.add_instance("i2", ip="127.0.0.2", zone="c")
            await site.add_instance("i3", ip="127.0.0.3", zone="d")
            for index in (1, 2):
                await site.wait_ready(index)
            members = site.instances[0].peers.membership
            await wait_for(lambda: len(members.alive()) == 3)
            addresses = [s.callers_address for s in site.settings]

            async def resolve(region: str) -> list[str]:
                target = f"/-/resolve?name=api.example&zone=x&region={region}"
                response = await call(site.settings[0].directory_address, target)
                return list(json.loads(response.body)["addresses"])

            assert await resolve("north") == addresses[:1]
            assert await resolve("south") == addresses[1:2]
            assert await resolve("west") == addresses[:1]

    run(case())
