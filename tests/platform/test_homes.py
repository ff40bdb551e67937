"""Areas that requests must not leave, and instances that read their bodies."""

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

KEYS = {"name": "metro", "api_keys": [KEY], "priority": None}


def bind(*homes: str, account: tuple[str, ...] = ()) -> dict[str, object]:
    """Return what a configuration says of the homes of a route and its account."""
    return {
        "routes": [route("/safe/", "idempotent", allowed_regions=list(homes))],
        "tenants": [KEYS | {"allowed_regions": list(account)}],
    }


def seen(site: Site) -> set[str]:
    return {backend.id for backend in site.backends if backend.seen}


async def ask(site: Site) -> list[int]:
    return [(await site.call("/safe/x")).status for _ in range(12)]


def test_serve_only_at_home() -> None:
    """A request's server fails and the next one that is near lies in another area."""

    async def case() -> None:
        bound = bind("south", "east")
        async with open_site("p1", "p2@b", "p3@c", "p4@d", **bound) as site:
            site.backends[2].behaviour = "fail"
            assert set(await ask(site)) <= {200, 500}
            assert seen(site) == {"p3", "p4"}

    run(case())


def test_let_route_and_account_bind_both() -> None:
    async def case() -> None:
        bound = bind("south", "east", account=("north", "east"))
        async with open_site("p1", "p3@c", "p4@d", **bound) as site:
            assert set(await ask(site)) == {200}
            assert seen(site) == {"p4"}

    run(case())


def test_refuse_what_has_nothing_left_at_home() -> None:
    """All servers at home are gone; going abroad is no way out."""

    async def case() -> None:
        async with open_site("p1", "p2@b", **bind("east")) as site:
            answer = await site.call("/safe/x")
            assert answer.status == 503
            assert json.loads(answer.body)["kind"] == "no_backend_at_home"
            assert not seen(site)

    run(case())


def test_refuse_what_no_area_may_serve() -> None:
    """Homes that name no area, or none that route and account share."""

    async def case() -> None:
        async with open_site("p1", **bind("nowhere")) as site:
            assert set(await ask(site)) == {503}
            site.configure(2, **bind("north", account=("south",)))
            knowledge = site.instances[0].replica
            await wait_for(
                lambda: knowledge.table and knowledge.table.configuration.version == 2
            )
            assert set(await ask(site)) == {503}
            assert not seen(site)

    run(case())


def test_follow_a_change_of_the_homes() -> None:
    async def case() -> None:
        async with open_site("p1", "p3@c", **bind("north")) as site:
            assert set(await ask(site)) == {200}
            assert seen(site) == {"p1"}
            site.configure(2, **bind("south"))
            knowledge = site.instances[0].replica
            await wait_for(
                lambda: knowledge.table and knowledge.table.configuration.version == 2
            )
            site.backends[0].seen.clear()
            assert set(await ask(site)) == {200}
            assert seen(site) == {"p3"}
            site.configure(3)
            assert make_configuration(3)["version"] == 3

    run(case())


def test_name_instances_that_may_read_the_body() -> None:
    """Callers of two areas ask an instance which ones they may connect to.

    One in a third area would read a body that may not leave its home.
    """

    async def case() -> None:
        async with open_site("p1", **bind("north")) as site:
            await site.add_instance("i2", ip="127.0.0.2", zone="c")
            await site.add_instance("i3", ip="127.0.0.3", zone="d")
            for index in (1, 2):
                await site.wait_ready(index)
            members = site.instances[0].peers.membership
            await wait_for(lambda: len(members.alive()) == 3)
            addresses = [s.callers_address for s in site.settings]

            async def resolve(area: str) -> list[str]:
                target = f"/-/resolve?name=api.example&zone=x&region={area}"
                answer = await call(site.settings[0].directory_address, target)
                return list(json.loads(answer.body)["addresses"])

            assert await resolve("north") == addresses[:1]
            assert await resolve("south") == addresses[1:2]
            assert await resolve("west") == addresses[:1]

    run(case())
