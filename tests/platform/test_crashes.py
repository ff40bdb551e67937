"""A request under which backend servers crash, at several instances."""

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

CONTACT_S = 3.0
"""Time after the third crash from which on every instance must know."""
MOST_LATER = 3
"""Times that such a request may still reach a server after that."""
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
    """Open several instances before places whose servers come back after a crash."""
    async with open_site() as site:
        site.configure(2, tenants=TENANTS)
        places = RestartingBackends(site, service=service)
        places.crash_account = crash_account
        try:
            for number in range(servers):
                await places.add(f"{service[0]}{number}")
            for number in range(2, instances + 1):
                await site.add_instance(f"i{number}", ip=f"127.0.0.{number}")
            for index in range(instances):
                await site.wait_ready(index)
            yield site, places
        finally:
            await places.close()


async def ask(
    site: Site, path: str, body: bytes, *, index: int = 0, key: str | None = KEY
) -> CallerResponse | None:
    """Send a request; return nothing where its connection ends without an answer."""
    fields: dict[str, str] = {}
    if path.startswith(("/stream", "/once")):
        fields = ENGINE_FIELDS
    address = site.settings[index].callers_address
    with contextlib.suppress(OSError, asyncio.IncompleteReadError):
        return await call(address, path, method="POST", body=body, key=key, **fields)
    return None


async def ask_often(
    site: Site, path: str, *, rounds: int = ROUNDS, at_once: int = 1, **more: Any
) -> list[CallerResponse | None]:
    """Send the same request again and again, each time to another instance."""
    answers: list[CallerResponse | None] = []
    for number in range(rounds):
        began = time.monotonic()
        index = number % len(site.instances)
        answers += await asyncio.gather(
            *(ask(site, path, CRASH_MARK, index=index, **more) for _ in range(at_once))
        )
        await asyncio.sleep(max(0.0, ROUND_S - (time.monotonic() - began)))
    return answers


def check_stopped(places: RestartingBackends) -> None:
    """Check that the request reached hardly any server once it was known."""
    assert len(places.crashes) >= 3
    third = places.crashes[2].at
    assert places.count_arrivals(CRASH_MARK, third + CONTACT_S) <= MOST_LATER


async def keep_asking(
    site: Site, path: str, answers: list[CallerResponse | None]
) -> None:
    """Send good requests of the same account until cancelled."""
    number = 0
    while True:
        number += 1
        index = number % len(site.instances)
        answers.append(await ask(site, path, b"good %d" % number, index=index))
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
    """One request ends server after server, and each caller's next try as many again.

    A backend server crashes as it begins to run it, and is back soon. An instance
    offers it to three and forgets it; it comes again, at another instance, which knows
    nothing of the servers before. All servers were down for half of the time, and all
    other requests with them, as long as somebody asked.
    """

    async def case() -> None:
        async with open_restarting_backends(service=service) as (site, places):
            good: list[CallerResponse | None] = []
            others = asyncio.ensure_future(keep_asking(site, path, good))
            await asyncio.sleep(0.3)
            await ask_often(site, path, at_once=at_once)
            others.cancel()
            check_stopped(places)
            later = good[-60:]
            served = sum(a is not None and a.status == 200 for a in later)
            assert served >= 0.9 * len(later)

    run(case())


async def bring_about(site: Site, path: str = "/safe/x") -> None:
    """Send the request until all instances hold it back."""
    await ask_often(site, path, rounds=4)
    await wait_for(lambda: all(holds(site, n) for n in range(len(site.instances))))


async def forget_crashed(site: Site) -> None:
    """Wait until all instances know the servers that are up, and no others.

    A late record of one that crashed names an address that another start has by now. A
    request that goes there is refused and costs a repeat, of which few are left here.
    """
    up = {backend.id for backend in site.backends if not backend.is_down}
    await wait_for(lambda: all(set(i.replica.backends) == up for i in site.instances))


def holds(site: Site, index: int) -> bool:
    return site.instances[index].peers.quarantine.has_entries


def read_kind(answer: CallerResponse | None) -> str:
    if answer is None or not answer.body.startswith(b"{"):
        return ""
    return str(json.loads(answer.body).get("kind", ""))


def test_tell_the_caller_what_is_and_what_to_do() -> None:
    """A request is held back; its caller hears so at once, as it was not run.

    A refusal without a reason or a time makes the caller ask again at once, for ever.
    """

    async def case() -> None:
        async with open_restarting_backends(service="plain") as (site, places):
            await bring_about(site)
            for index in range(3):
                arrived = len(places.arrivals)
                began = time.monotonic()
                answer = await ask(site, "/safe/x", CRASH_MARK, index=index)
                assert time.monotonic() - began < 0.3
                assert answer is not None
                assert (answer.status, read_kind(answer)) == (503, "quarantined")
                assert 500 < float(answer.headers["retry-after"]) <= 600
                detail = json.loads(answer.body)["detail"]
                assert "has not been run" in detail
                assert "Do not send it again unchanged" in detail
                assert len(places.arrivals) == arrived

    run(case())


def test_serve_what_is_not_that_request() -> None:
    """Servers crash under one account's request; others send the same path and body.

    Held by path and body alone, one caller could shut out every other one. The same
    caller's other requests are served as well.
    """

    async def case() -> None:
        async with open_restarting_backends(service="plain", crash_account="metro") as (
            site,
            _,
        ):
            await bring_about(site)
            await forget_crashed(site)
            for index in range(3):
                other = await ask(
                    site, "/safe/x", CRASH_MARK, index=index, key=OTHER_KEY
                )
                assert other is not None
                assert (other.status, read_kind(other)) == (200, "")
                for path, body in (("/safe/x", b"else"), ("/safe/x?y", b"good")):
                    answer = await ask(site, path, body, index=index)
                    assert answer is not None
                    assert (answer.status, read_kind(answer)) == (200, "")

    run(case())


def test_remember_when_all_instances_were_lost() -> None:
    """All instances are killed in the same moment and know nothing when they start.

    The request would crash three servers more. What the store keeps holds it back.
    """

    async def case() -> None:
        async with open_restarting_backends(service="plain") as (site, places):
            await bring_about(site)
            await wait_for(
                lambda: any(
                    k.startswith("quarantine/") for k in site.store.newest(STATUS)
                )
            )
            for stack in site.stacks:
                await stack.aclose()
            # The sockets close in the next turns of the loop.
            await asyncio.sleep(0.1)
            site.stacks.clear()
            site.instances.clear()
            site.settings.clear()
            for number in (1, 2, 3):
                await site.add_instance(f"i{number}", ip=f"127.0.0.{number}")
            await wait_for(lambda: all(holds(site, n) for n in range(3)), CONTACT_S)
            arrived = len(places.arrivals)
            for index in range(3):
                answer = await ask(site, "/safe/x", CRASH_MARK, index=index)
                assert read_kind(answer) == "quarantined"
            assert len(places.arrivals) == arrived

    run(case())


def test_know_soon_after_a_start_without_the_store() -> None:
    """An instance starts while the store refuses all calls; a peer tells it."""

    async def case() -> None:
        async with open_restarting_backends(service="plain", instances=2) as (site, _):
            await bring_about(site)
            site.store.fault = "busy"
            index = await site.add_instance("i9", ip="127.0.0.9")
            await wait_for(lambda: holds(site, index), CONTACT_S)

    run(case())


def test_know_soon_after_a_cut() -> None:
    """An instance hears no other one while three servers crash, then it does again."""

    async def case() -> None:
        async with open_restarting_backends(service="plain") as (site, _):
            link = site.instances[2].peers
            hear = link.datagram_received
            link.datagram_received = lambda data, addr: None  # type: ignore[method-assign]
            for number in range(4):
                await ask(site, "/safe/x", CRASH_MARK, index=number % 2)
                await asyncio.sleep(ROUND_S)
            assert holds(site, 0)
            assert not holds(site, 2)
            link.datagram_received = hear  # type: ignore[method-assign]
            await wait_for(lambda: holds(site, 2), CONTACT_S)

    run(case())


def test_judge_without_the_first_judge() -> None:
    """The instance that would judge the crashes stands still; the next one does."""

    async def case() -> None:
        async with open_restarting_backends(service="plain") as (site, places):
            await wait_for(
                lambda: all(
                    len(i.peers.membership.alive()) == 3 for i in site.instances
                )
            )
            judges = site.instances[0].peers.quarantine._find_owners("plain")
            still = [
                i for i in site.instances if i.peers.membership.me.name == judges[0]
            ]
            for instance in still:
                instance.peers.quarantine.tick = lambda: None  # type: ignore[method-assign]
            await ask_often(site, "/safe/x")
            check_stopped(places)

    run(case())


async def roll_out_crashing(site: Site) -> RestartingBackends:
    """Order a version that crashes under every good request; return its places."""
    bad = RestartingBackends(site, service="plain", version="v2")
    bad.crash_on = b"good"
    for number in range(4):
        await bad.add(f"n{number}")
    order = {"service": "plain", "target": "v2", "deadline_s": 8}
    site.store.put(OPERATORS, "rollout/plain", order)
    return bad


def test_hold_nothing_for_a_version_that_crashes_under_everything() -> None:
    """A new version is rolled out and crashes under whatever it is given.

    Requests are tried three times on it. Held for that, good requests would be refused
    for ten minutes after the version was taken back.
    """

    async def case() -> None:
        async with open_restarting_backends(service="plain") as (site, _):
            bad = await roll_out_crashing(site)
            answers: list[CallerResponse | None] = []
            others = asyncio.ensure_future(keep_asking(site, "/safe/x", answers))
            await wait_for(lambda: len(bad.crashes) >= 2, 20.0)
            await wait_for(
                lambda: site.store.status("plain").get("state") == "reverted", 12.0
            )
            await asyncio.sleep(0.5)
            others.cancel()
            await bad.close()
            kinds = {read_kind(answer) for answer in answers}
            assert "quarantined" not in kinds
            assert not any(holds(site, index) for index in range(3))

    run(case())


def test_take_back_a_version_that_crashes_under_everything() -> None:
    """A new version crashes under whatever it is given, so that it never answers.

    Its trial saw no bad answer and ended well: all requests went to it, the old version
    was stopped, and nothing was served any more.
    """

    async def case() -> None:
        async with open_restarting_backends(service="plain") as (site, _):
            bad = await roll_out_crashing(site)
            answers: list[CallerResponse | None] = []
            others = asyncio.ensure_future(keep_asking(site, "/safe/x", answers))
            await wait_for(
                lambda: site.store.status("plain").get("state", "running") != "running",
                12.0,
            )
            assert site.store.status("plain")["state"] == "reverted"
            await asyncio.sleep(1.5)
            others.cancel()
            await bad.close()
            served = [a is not None and a.status == 200 for a in answers[-20:]]
            assert all(served)

    run(case())


def test_hold_nothing_for_connections_that_break() -> None:
    """Servers cut answers and live on; the same request meets that again and again."""

    async def case() -> None:
        async with open_site("p1", "p2", "p3", "p4") as site:
            for backend in site.backends:
                backend.behaviour = "cut"
            for _ in range(6):
                answer = await ask(site, "/safe/x", b"good")
                assert answer is not None
                assert answer.status == 502
            await asyncio.sleep(0.5)
            assert not holds(site, 0)

    run(case())
