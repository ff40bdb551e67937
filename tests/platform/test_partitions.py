"""Instances that are partitioned from backend servers which others reach."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator

import pytest
from soak.partitions import Cut

from tests.platform.site import Site, open_site, run, wait_for

CONTACT_S = 3.0
"""Time after the start of a partition from which callers must be served."""
SERVED_FRACTION = 0.9
CALLS = ("/safe/x", "/unsafe/x", "/stream/x", "/once/x")
BACKENDS = ("p1", "p2", "e1", "e2")


async def serve(site: Site, path: str, index: int) -> bool:
    """Return whether a request succeeds at the first attempt."""
    if path.startswith(("/stream", "/once")):
        return (await site.call_model(path, index=index)).status == 200
    return (await site.call(path, index=index)).status == 200


async def serve_all(
    site: Site, index: int, rounds: int, *, concurrent: int = 3
) -> float:
    """Return the fraction of requests of all kinds that succeed at the first attempt.

    As many of each kind as are `concurrent` need new connections.
    """
    served = []
    for _ in range(rounds):
        callers = [serve(site, path, index) for path in CALLS * concurrent]
        served += await asyncio.gather(*callers)
    return sum(served) / len(served)


@contextlib.asynccontextmanager
async def open_partitionable(instances: int) -> AsyncIterator[Site]:
    """Open an installation in which each instance has its own paths."""
    async with open_site(*BACKENDS, has_own_paths=True) as site:
        for number in range(2, instances + 1):
            await site.add_instance(
                f"i{number}", ip=f"127.0.0.{number}", has_own_paths=True
            )
        for index in range(instances):
            await site.wait_ready(index)
        await wait_for(
            lambda: all(
                len(i.peers.membership.alive()) == instances for i in site.instances
            )
        )
        yield site


async def wait_contact(site: Site, index: int) -> None:
    """Keep requests coming until the rules count again after a change of paths."""
    loop = asyncio.get_running_loop()
    until = loop.time() + CONTACT_S
    callers: list[asyncio.Task[bool]] = []
    while loop.time() < until:
        path = CALLS[len(callers) % len(CALLS)]
        callers.append(asyncio.ensure_future(serve(site, path, index)))
        await asyncio.sleep(0.1)
    await asyncio.gather(*callers)


@pytest.mark.parametrize("cut", list(Cut))
def test_serve_while_partitioned_from_all_backends(cut: Cut) -> None:
    """An instance rejects what servers beyond its reach would answer through others."""

    async def case() -> None:
        async with open_partitionable(3) as site:
            await serve_all(site, 0, 2, concurrent=1)
            site.cut_paths(0, cut)
            await wait_contact(site, 0)
            assert await serve_all(site, 0, 10) >= SERVED_FRACTION
            assert await serve_all(site, 1, 2) >= SERVED_FRACTION

    run(case())
