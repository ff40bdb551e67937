"""What the runs of real processes share."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from pathlib import Path
from typing import Any

import aiohttp
import msgspec
from bench._cluster import HEADERS, Cluster, Entry
from bench._loads import MIXED, Evidence, Timed, TimedLoad, make_settings

from baobabthread.adapters.platform import LogClient
from baobabthread.core.messages import LogRecord, Stream
from baobabthread.load.tool import LoadSettings, Work

LIVENESS_S = 45.0
"""Bound on each wait: it tells a run that hangs from one that is slow."""
STEP_S = 0.05
SHARES = {**MIXED, Work.FREE: 1.0}
SEED = 7


@contextlib.asynccontextmanager
async def open_cluster(
    folder: Path, *, entries: int = 4, **settings: Any
) -> AsyncIterator[Cluster]:
    """Run entries and stand-ins; backend servers are slow enough for work in flight."""
    environment = {"BAOBABTHREAD_ADDRESS_LIFETIME": "1.0"}
    environment |= settings.pop("environment", {})
    cluster = Cluster(
        folder=folder, entries=entries, environment=environment, **settings
    )
    async with cluster:
        await cluster.slow_backends(speed=0.1, delay_ms=200.0)
        yield cluster


async def wait_for(condition: Callable[[], Awaitable[bool]]) -> None:
    """Wait until a condition holds; only a run that hangs reaches the bound."""
    async with asyncio.timeout(LIVENESS_S):
        while True:
            if await condition():
                return
            await asyncio.sleep(STEP_S)


class Running:
    """Hold a load that runs beside what a test does."""

    def __init__(self, *, cluster: Cluster, settings: LoadSettings) -> None:
        self._cluster = cluster
        self._load = TimedLoad(cluster=cluster, settings=settings)
        self._over = asyncio.Event()
        self._task = asyncio.ensure_future(self._load.run(stop=self._over))

    @property
    def answered(self) -> int:
        """Count the answers so far."""
        return self._load.tally.results["answered"]

    async def wait_answers(self, count: int) -> None:
        """Wait for so many further answers."""
        aim = self.answered + count

        async def enough() -> bool:
            assert not self._task.done(), "the load ended before the test"
            return self.answered >= aim

        await wait_for(enough)

    async def finish(self, *, settles: bool = True) -> tuple[Evidence, list[Timed]]:
        """Stop asking, wait for the last answers and, unless told, for their bills."""
        self._over.set()
        await self._task
        if settles:
            await self._cluster.wait_settled(LIVENESS_S)
        evidence = Evidence(
            runs=await self._load.find_runs(), bills=await self._cluster.read_bills()
        )
        return evidence, self._load.tally.list_timed()


@contextlib.asynccontextmanager
async def open_load(
    cluster: Cluster, *, rate_per_s: float = 40.0, deadline_s: float = 8.0
) -> AsyncIterator[Running]:
    """Drive chats, streams, plain calls and warnings until finished."""
    settings = make_settings(
        cluster, SHARES, rate_per_s=rate_per_s, duration_s=300.0, seed=SEED
    )
    settings = msgspec.structs.replace(settings, deadline_s=deadline_s)
    running = Running(cluster=cluster, settings=settings)
    try:
        yield running
    finally:
        running._task.cancel()
        await asyncio.gather(running._task, return_exceptions=True)


class Reply(msgspec.Struct, frozen=True, kw_only=True):
    """Hold an entry's reply to one call."""

    status: int
    body: dict[str, Any]

    @property
    def ran(self) -> str:
        """Give what a problem says of the run."""
        return str(self.body.get("ran", ""))


async def warn(
    cluster: Cluster, entry: Entry, *, own_id: str, key: str, deadline_s: float = 30.0
) -> Reply:
    """Dispatch a warning at an entry under a key."""
    url = f"{entry.url}/v1/services/warnings/dispatch"
    headers = {
        "Authorization": "Bearer KEY-OF-nadia",
        "Idempotency-Key": key,
        "X-Deadline-Ms": str(int(deadline_s * 1000)),
    }
    async with cluster.session.post(
        url, json={"id": own_id}, headers=headers
    ) as response:
        body = await response.json(content_type=None)
        return Reply(status=response.status, body=body)


async def count_warned(cluster: Cluster, own_id: str) -> int:
    """Return how often the backend servers dispatched a warning."""
    total = 0
    for address in cluster.backends.values():
        url = f"http://{address}/control/effects"
        async with cluster.session.post(url, json={"ids": [own_id]}) as response:
            counts = (await response.json(content_type=None))["counts"]
        total += counts.get(own_id, 0)
    return total


async def read_stream(cluster: Cluster, stream: Stream) -> Sequence[LogRecord]:
    """Read a stream of the log from its start."""
    log = LogClient(session=cluster.session, url=cluster.platform_url)
    page = await log.read(stream, after=0, limit=10_000)
    return page.records


async def publish(
    cluster: Cluster, entry: Entry, *, record_id: str, section: str, text: str
) -> Reply:
    """Publish a text under an id of the test's own and return the reply."""
    body = {"id": record_id, "section": section, "text": text}
    async with cluster.session.post(
        f"{entry.url}/admin/publish", json=body, headers=HEADERS
    ) as response:
        answer = await response.json(content_type=None)
        return Reply(status=response.status, body=answer)


async def find_states(cluster: Cluster, entry: Entry) -> dict[str, str]:
    """Return what an entry holds of every other: alive, suspected or dead."""
    members = (await cluster.dump(entry))["members"]
    return {member["name"]: member["state"] for member in members}


GONE = (aiohttp.ClientError, TimeoutError)
"""What a caller sees when its entry dies or stays silent."""
