"""Places whose backend servers crash under a request and start again."""

from __future__ import annotations

import asyncio
from typing import Any

from tests.platform.fakes import FakeBackend, ReceivedRequest
from tests.platform.fakestore import BACKENDS
from tests.platform.site import Site

CRASH_MARK = b"crash"
"""Part of the bodies under which backend servers crash."""
RESTART_DELAY_S = 0.5
"""Time after which the next start listens at the same address."""
RECORD_EXPIRY_S = 1.0
"""Time after which the record of the start that crashed is gone."""


class Crash:
    """Hold one crash: when it came, and which bodies were there to begin."""

    def __init__(self, backend: str, at: float) -> None:
        self.backend = backend
        self.at = at


class RestartingBackends:
    """Keep a number of backend servers up, and note what reaches them."""

    def __init__(self, site: Site, **settings: Any) -> None:
        self._site = site
        self._settings = settings
        self._tasks: set[asyncio.Task[None]] = set()
        self.arrivals: list[tuple[float, bytes]] = []
        """When a request reached a server that would run it, and its body."""
        self.crashes: list[Crash] = []
        self.crash_on = CRASH_MARK
        self.crash_account = ""
        self.work_s = 0.02

    async def add(self, id: str) -> FakeBackend:
        """Open one place more."""
        return await self._start(id, 0)

    async def close(self) -> None:
        """Bring no server back any more."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def count_arrivals(self, mark: bytes, since: float) -> int:
        """Return how many requests with a mark arrived after a moment."""
        return sum(mark in body and at > since for at, body in self.arrivals)

    async def _start(self, id: str, port: int) -> FakeBackend:
        backend = FakeBackend(id, **self._settings)
        backend.crash_on = self.crash_on
        backend.crash_account = self.crash_account
        backend.pause_s = self.work_s
        backend.on_arrival = self._note
        backend.on_crash = self._take_crash
        await backend.start(port)
        self._site.backends.append(backend)
        self._site.store.put(BACKENDS, id, backend.record)
        return backend

    def _note(
        self, backend: FakeBackend, seen: ReceivedRequest, executed: bool
    ) -> None:
        if executed:
            self.arrivals.append((_now(), seen.body))

    def _take_crash(self, backend: FakeBackend) -> None:
        self.crashes.append(Crash(backend.id, _now()))
        self._tasks.add(asyncio.ensure_future(self._bring_back(backend)))

    async def _bring_back(self, backend: FakeBackend) -> None:
        await asyncio.sleep(RESTART_DELAY_S)
        place, _, number = backend.id.partition("-")
        port = int(backend.address.rpartition(":")[2])
        await self._start(f"{place}-{int(number or 1) + 1}", port)
        await asyncio.sleep(RECORD_EXPIRY_S - RESTART_DELAY_S)
        self._site.store.put(BACKENDS, backend.id, b"")


def _now() -> float:
    return asyncio.get_running_loop().time()
