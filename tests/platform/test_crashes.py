"""Quarantine of a request that crashes backend servers, across several instances."""

from __future__ import annotations

import asyncio
import contextlib
import json
import time
from collections.abc import AsyncIterator
from typing import Any

import pytest

from tests.platform.crashes import CRASH_MARK, RestartingBackends
from tests.platform.fakecallers import KEY, CallerResponse, call
from tests.platform.fakestore import OPERATORS, STATUS
from tests.platform.site import Site, open_site, run, wait_for

PROPAGATION_S = 3.0
"""Time after the third crash by which every instance must quarantine the request."""
MAX_LATE_ARRIVALS = 3
"""Number of times that the request may still reach a server after that."""
ROUNDS = 14
ROUND_S = 0.6
OTHER_KEY = "key-of-malls"
TENANTS = [
    {"name": "metro", "api_keys": [KEY], "priority": None},
    {"name": "malls", "api_keys": [OTHER_KEY], "priority": None},
]
ENGINE_FIELDS = {
    "X_Model": "*",
    "X_Token_Usage": "100,20",
    "X_Prompt_Prefix": "aa:50,bb:30,cc:20",
    "X_Length_Hint": "10",
}


@contextlib.asynccontextmanager
async def open_restarting_backends(
    *, service: str, servers: int = 4, instances: int = 3, crash_account: str = ""
) -> AsyncIterator[tuple[Site, RestartingBackends]]:
    """Open several instances with backend servers that restart after a crash."""
    async with open_site() as site:
        site.configure(2, tenants=TENANTS)
        backends = RestartingBackends(site, service=service)
        backends.crash_account = crash_account
        try:
            for number in range(servers):
                await backends.add(f"{service[0]}{number}")
            await site.add_instances(instances)
            yield site, backends
        finally:
            await backends.close()


async def send(
    site: Site, path: str, body: bytes, *, index: int = 0, key: str | None = KEY
) -> CallerResponse | None:
    """Send a request; return None if its connection closes without a response."""
    fields: dict[str, str] = {}
    if path.startswith(("/stream", "/once")):
        fields = ENGINE_FIELDS
    address = site.settings[index].callers_address
    with contextlib.suppress(OSError, asyncio.IncompleteReadError):
        return await call(address, path, method="POST", body=body, key=key, **fields)
    return None


async def send_repeatedly(
    site: Site, path: str, *, rounds: int = ROUNDS, at_once: int = 1, **more: Any
) -> list[CallerResponse | None]:
    """Send the crashing request in rounds, each round to another instance."""
    responses: list[CallerResponse | None] = []
    for number in range(rounds):
        started_at = time.monotonic()
        index = number % len(site.instances)
        responses += await asyncio.gather(
            *(send(site, path, CRASH_MARK, index=index, **more) for _ in range(at_once))
        )
        await asyncio.sleep(max(0.0, ROUND_S - (time.monotonic() - started_at)))
    return responses


def check_stopped(backends: RestartingBackends) -> None:
    """Check that the request hardly reached any server once it was quarantined."""
    assert len(backends.crashes) >= 3
    third = backends.crashes[2].at
    assert (
        backends.count_arrivals(CRASH_MARK, third + PROPAGATION_S) <= MAX_LATE_ARRIVALS
    )


async def send_good(
    site: Site, path: str, responses: list[CallerResponse | None]
) -> None:
    """Send harmless requests of the same account until cancelled."""
    number = 0
    while True:
        number += 1
        index = number % len(site.instances)
        responses.append(await send(site, path, b"good %d" % number, index=index))
        await asyncio.sleep(0.03)


@pytest.mark.parametrize(
    ("path", "service", "at_once"),
    [
        ("/safe/x", "plain", 1),
        ("/unsafe/x", "plain", 1),
        ("/open/x", "plain", 1),
        ("/safe/x", "plain", 8),
        ("/stream/x", "engine", 1),
        ("/once/x", "engine", 1),
        ("/stream/x", "engine", 8),
    ],
)
def test_stop_a_request_that_crashes_servers(
    path: str, service: str, at_once: int
) -> None:
    """Callers retry a request that crashes each backend server that starts it.

    The servers restart soon. If an instance tried three servers and kept no record,
    the next retry would crash three more through another instance: all servers would
    be down for half of the time, and other requests would fail with them.
    """

    async def case() -> None:
        async with open_restarting_backends(service=service) as (site, backends):
            good: list[CallerResponse | None] = []
            sending = asyncio.ensure_future(send_good(site, path, good))
            await asyncio.sleep(0.3)
            await send_repeatedly(site, path, at_once=at_once)
            sending.cancel()
            check_stopped(backends)
            latest = good[-60:]
            served = sum(
                response is not None and response.status == 200 for response in latest
            )
            assert served >= 0.9 * len(latest)

    run(case())


async def wait_quarantined(site: Site, path: str = "/safe/x") -> None:
    """Send the crashing request until all instances quarantine it."""
    await send_repeatedly(site, path, rounds=4)
    await wait_for(
        lambda: all(has_quarantined(site, n) for n in range(len(site.instances)))
    )


async def wait_crashed_removed(site: Site) -> None:
    """Wait until all instances know exactly the servers that are up.

    The address in the record of a crashed process belongs to the next process by then.
    It would reject a request for the crashed one, which costs a retry, and few retries
    are left at this point.
    """
    up = {backend.id for backend in site.backends if not backend.is_down}
    await wait_for(lambda: all(set(i.replica.backends) == up for i in site.instances))


def has_quarantined(site: Site, index: int) -> bool:
    return site.instances[index].peers.quarantine.has_entries


def read_kind(response: CallerResponse | None) -> str:
    if response is None or not response.body.startswith(b"{"):
        return ""
    return str(json.loads(response.body).get("kind", ""))


def test_explain_the_rejection_to_the_caller() -> None:
    """A quarantined request is rejected at once, with a reason and a retry time.

    Without them the caller would retry immediately, again and again.
    """

    async def case() -> None:
        async with open_restarting_backends(service="plain") as (site, backends):
            await wait_quarantined(site)
            for index in range(3):
                arrived = len(backends.arrivals)
                sent_at = time.monotonic()
                response = await send(site, "/safe/x", CRASH_MARK, index=index)
                assert time.monotonic() - sent_at < 0.3
                assert response is not None
                assert (response.status, read_kind(response)) == (503, "quarantined")
                assert 500 < float(response.headers["retry-after"]) <= 600
                detail = json.loads(response.body)["detail"]
                assert "has not been run" in detail
                assert "Do not send it again unchanged" in detail
                assert len(backends.arrivals) == arrived

    run(case())


def test_serve_other_requests() -> None:
    """Servers crash under one account's request; others send the same path and body.

    If requests were quarantined by path and body alone, one caller could block all
    others. The same caller's other requests are served as well.
    """

    async def case() -> None:
        async with open_restarting_backends(service="plain", crash_account="metro") as (
            site,
            _,
        ):
            await wait_quarantined(site)
            await wait_crashed_removed(site)
            for index in range(3):
                other = await send(
                    site, "/safe/x", CRASH_MARK, index=index, key=OTHER_KEY
                )
                assert other is not None
                assert (other.status, read_kind(other)) == (200, "")
                for path, body in (("/safe/x", b"else"), ("/safe/x?y", b"good")):
                    response = await send(site, path, body, index=index)
                    assert response is not None
                    assert (response.status, read_kind(response)) == (200, "")

    run(case())


def test_restore_the_quarantine_from_the_store() -> None:
    """All instances are killed at the same time and restart without any state.

    The request would crash three more servers if the store did not keep the quarantine.
    """

    async def case() -> None:
        async with open_restarting_backends(service="plain") as (site, backends):
            await wait_quarantined(site)
            await wait_for(
                lambda: any(
                    key.startswith("quarantine/") for key in site.store.newest(STATUS)
                )
            )
            for stack in site.stacks:
                await stack.aclose()
            # The sockets close in the next iterations of the event loop.
            await asyncio.sleep(0.1)
            site.stacks.clear()
            site.instances.clear()
            site.settings.clear()
            for number in (1, 2, 3):
                await site.add_instance(f"i{number}", ip=f"127.0.0.{number}")
            await wait_for(
                lambda: all(has_quarantined(site, n) for n in range(3)), PROPAGATION_S
            )
            arrived = len(backends.arrivals)
            for index in range(3):
                response = await send(site, "/safe/x", CRASH_MARK, index=index)
                assert read_kind(response) == "quarantined"
            assert len(backends.arrivals) == arrived

    run(case())


def test_learn_the_quarantine_from_a_peer_without_the_store() -> None:
    """An instance starts while the store rejects all calls and asks a peer instead."""

    async def case() -> None:
        async with open_restarting_backends(service="plain", instances=2) as (site, _):
            await wait_quarantined(site)
            site.store.fault = "busy"
            index = await site.add_instance("i9", ip="127.0.0.9")
            await wait_for(lambda: has_quarantined(site, index), PROPAGATION_S)

    run(case())


def test_learn_the_quarantine_after_a_network_partition() -> None:
    """An instance receives no peer messages while servers crash, then reconnects."""

    async def case() -> None:
        async with open_restarting_backends(service="plain") as (site, _):
            link = site.instances[2].peers
            datagram_received = link.datagram_received
            link.datagram_received = lambda data, addr: None  # type: ignore[method-assign]
            for number in range(4):
                await send(site, "/safe/x", CRASH_MARK, index=number % 2)
                await asyncio.sleep(ROUND_S)
            assert has_quarantined(site, 0)
            assert not has_quarantined(site, 2)
            link.datagram_received = datagram_received  # type: ignore[method-assign]
            await wait_for(lambda: has_quarantined(site, 2), PROPAGATION_S)

    run(case())


def test_quarantine_without_the_first_owner() -> None:
    """The first owner of the service's crashes is stalled; the next one steps in."""

    async def case() -> None:
        async with open_restarting_backends(service="plain") as (site, backends):
            await wait_for(
                lambda: all(
                    len(i.peers.membership.alive()) == 3 for i in site.instances
                )
            )
            owners = site.instances[0].peers.quarantine._find_owners("plain")
            stalled = [
                instance
                for instance in site.instances
                if instance.peers.membership.me.name == owners[0]
            ]
            for instance in stalled:
                instance.peers.quarantine.tick = lambda: None  # type: ignore[method-assign]
            await send_repeatedly(site, "/safe/x")
            check_stopped(backends)

    run(case())


async def roll_out_crashing(site: Site) -> RestartingBackends:
    """Roll out a version that crashes under every request; return its servers."""
    bad = RestartingBackends(site, service="plain", version="v2")
    bad.crash_on = b"good"
    for number in range(4):
        await bad.add(f"n{number}")
    order = {"service": "plain", "target": "v2", "deadline_s": 8}
    site.store.put(OPERATORS, "rollout/plain", order)
    return bad


def test_quarantine_nothing_for_a_version_that_always_crashes() -> None:
    """A new version that crashes under every request is rolled out.

    Requests are tried on it three times. If they were quarantined for that, harmless
    requests would be rejected for ten minutes after the version is rolled back.
    """

    async def case() -> None:
        async with open_restarting_backends(service="plain") as (site, _):
            bad = await roll_out_crashing(site)
            responses: list[CallerResponse | None] = []
            sending = asyncio.ensure_future(send_good(site, "/safe/x", responses))
            await wait_for(lambda: len(bad.crashes) >= 2, 20.0)
            await wait_for(
                lambda: site.store.status("plain").get("state") == "reverted", 12.0
            )
            await asyncio.sleep(0.5)
            sending.cancel()
            await bad.close()
            kinds = {read_kind(response) for response in responses}
            assert "quarantined" not in kinds
            assert not any(has_quarantined(site, index) for index in range(3))

    run(case())


def test_roll_back_a_version_that_always_crashes() -> None:
    """A new version crashes under every request, so it never responds.

    If the canary analysis counted only responses, it would find no bad one and promote
    the version; with the old version stopped, no request would be served any more.
    """

    async def case() -> None:
        async with open_restarting_backends(service="plain") as (site, _):
            bad = await roll_out_crashing(site)
            responses: list[CallerResponse | None] = []
            sending = asyncio.ensure_future(send_good(site, "/safe/x", responses))
            await wait_for(
                lambda: site.store.status("plain").get("state", "running") != "running",
                12.0,
            )
            assert site.store.status("plain")["state"] == "reverted"
            await asyncio.sleep(1.5)
            sending.cancel()
            await bad.close()
            served = [
                response is not None and response.status == 200
                for response in responses[-20:]
            ]
            assert all(served)

    run(case())


def test_quarantine_nothing_for_broken_connections() -> None:
    """Servers break off the responses to a request repeatedly but do not crash."""

    async def case() -> None:
        async with open_site("p1", "p2", "p3", "p4") as site:
            for backend in site.backends:
                backend.behaviour = "cut"
            for _ in range(6):
                response = await send(site, "/safe/x", b"good")
                assert response is not None
                assert response.status == 502
            await asyncio.sleep(0.5)
            assert not has_quarantined(site, 0)

    run(case())


SERVED_AGAIN_S = 5.0
"""Time after a loss of servers from which all requests must be served again."""


async def send_alike(site: Site, path: str, until: float) -> None:
    """Send one request again and again at an instance, a few at a time."""
    index = 0
    while time.monotonic() < until:
        index = (index + 1) % len(site.instances)
        await asyncio.gather(*(send(site, path, b"hot", index=index) for _ in range(6)))


@pytest.mark.parametrize(
    ("path", "service"),
    [("/safe/x", "plain"), ("/unsafe/x", "plain"), ("/stream/x", "engine")],
)
def test_hold_no_popular_request_for_servers_lost_at_once(
    path: str, service: str
) -> None:
    """A failure domain loses its power while many callers send the same request."""

    async def case() -> None:
        async with open_restarting_backends(service=service, servers=10) as (
            site,
            backends,
        ):
            for backend in site.backends:
                backend.pause_s = 0.5
            until = time.monotonic() + 1.0 + SERVED_AGAIN_S
            callers = [
                asyncio.ensure_future(send_alike(site, path, until)) for _ in range(4)
            ]
            await asyncio.sleep(1.0)
            for backend in site.backends[:5]:
                backend.crash()
            await asyncio.gather(*callers)
            assert len(backends.crashes) == 5
            responses = [await send(site, path, b"hot", index=n % 3) for n in range(12)]
            assert {r.status for r in responses if r is not None} == {200}
            assert None not in responses

    run(case())
