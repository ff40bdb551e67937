"""Requests that must not leave their regions, at an instance that needs a relay."""

from __future__ import annotations

import asyncio
import contextlib
from collections import Counter
from collections.abc import AsyncIterator

import pytest
from soak.partitions import Cut

from baobabthread.instance.clock import now
from baobabthread.instance.servers.connections import Connection
from baobabthread.instance.servers.paths import Paths
from tests.platform.fakecallers import KEY
from tests.platform.site import Site, open_site, route, run, wait_for

LEARNT_S = 4.0
"""Time after a cut within which an instance knows who reaches the servers."""

RESTRICTED = {
    "routes": [
        route("/safe/", "idempotent", allowed_regions=["north"]),
        route("/open/", "idempotent", public=True),
    ],
    "tenants": [{"name": "metro", "api_keys": [KEY], "priority": None}],
}


@contextlib.asynccontextmanager
async def open_regions(*zones: str) -> AsyncIterator[Site]:
    """Open an installation with an instance in `a` and one in each of `zones`."""
    async with open_site("p1", "p2", has_own_paths=True, **RESTRICTED) as site:
        for number, zone in enumerate(zones, 2):
            await site.add_instance(
                f"i{number}", ip=f"127.0.0.{number}", zone=zone, has_own_paths=True
            )
        count = len(zones) + 1
        for index in range(count):
            await site.wait_ready(index)
            members = site.instances[index].peers.membership
            await wait_for(lambda m=members: len(m.alive()) == count)
        yield site


class SentRequests:
    """Counts the requests sent by the peer that carried them; empty for none."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.relays: Counter[str] = Counter()
        count_sent = Paths.count_sent

        def count(paths: Paths, connection: Connection) -> None:
            self.relays[connection.relay] += 1
            count_sent(paths, connection)

        monkeypatch.setattr(Paths, "count_sent", count)


async def call_for(site: Site, path: str, seconds: float) -> list[int]:
    """Return the statuses of requests sent one after the other to the first."""
    loop = asyncio.get_running_loop()
    until = loop.time() + seconds
    statuses = []
    while loop.time() < until:
        statuses.append((await site.call(path)).status)
        await asyncio.sleep(0.02)
    return statuses


@pytest.mark.parametrize("cut", list(Cut))
def test_relay_no_body_through_another_region(
    monkeypatch: pytest.MonkeyPatch, cut: Cut
) -> None:
    """The only peer that reaches the servers lies outside the regions of the route."""

    async def case() -> None:
        async with open_regions("c") as site:
            site.cut_paths(0, cut)
            sent = SentRequests(monkeypatch)
            await call_for(site, "/safe/x", LEARNT_S)
            assert not sent.relays["i2"]

    run(case())


@pytest.mark.parametrize("cut", list(Cut))
def test_relay_bodies_within_their_regions(
    monkeypatch: pytest.MonkeyPatch, cut: Cut
) -> None:
    """Peers in and outside the regions of the route reach the servers."""

    async def case() -> None:
        async with open_regions("c", "b", "c") as site:
            site.cut_paths(0, cut)
            sent = SentRequests(monkeypatch)
            await call_for(site, "/safe/x", LEARNT_S)
            assert set(await call_for(site, "/safe/x", 0.5)) == {200}
            assert sent.relays["i3"]
            assert not sent.relays["i2"] + sent.relays["i4"]

    run(case())


@pytest.mark.parametrize("cut", list(Cut))
def test_relay_other_requests_beside_restricted_ones(
    monkeypatch: pytest.MonkeyPatch, cut: Cut
) -> None:
    """Requests that may leave keep the servers that restricted ones can't reach."""

    async def case() -> None:
        async with open_regions("c") as site:
            site.cut_paths(0, cut)
            sent = SentRequests(monkeypatch)
            restricted = asyncio.ensure_future(call_for(site, "/safe/x", 2 * LEARNT_S))
            await call_for(site, "/open/x", LEARNT_S)
            before = sent.relays["i2"]
            served = await call_for(site, "/open/x", LEARNT_S - 1.0)
            assert set(served) == {200}
            assert sent.relays["i2"] - before == len(served)
            assert set((await restricted)[-20:]) == {503}

    run(case())


def test_take_a_server_for_unreachable_where_all_peers_were_asked() -> None:
    """All peers lie in the regions of the route, and none reaches the servers."""

    async def case() -> None:
        async with open_regions("b") as site:
            for index in range(2):
                site.cut_paths(index, Cut.HANGING)
            assert (await site.call("/safe/x")).status == 503
            table = site.instances[0].paths.table
            assert any(table.is_unreachable(name, now()) for name in table._paths)

    run(case())


@pytest.mark.parametrize("cut", list(Cut))
def test_reject_at_once_what_no_permitted_peer_carries(cut: Cut) -> None:
    """A request that can't be served must not wait for paths that are lost."""

    async def case() -> None:
        async with open_regions("c") as site:
            site.cut_paths(0, cut)
            await call_for(site, "/safe/x", LEARNT_S)
            begun = asyncio.get_running_loop().time()
            statuses = [(await site.call("/safe/x")).status for _ in range(20)]
            assert set(statuses) == {503}
            assert asyncio.get_running_loop().time() - begun < 20 * 0.1
            assert not any(path.table.lost for path in [site.instances[1].paths])
            await site.heal_paths(0)
            await wait_for(lambda: not site.instances[0].paths.table.lost, 5.0)
            assert set(await call_for(site, "/safe/x", 0.3)) == {200}

    run(case())
