"""Backend servers that crash under a request and restart."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from tests.platform.fakes import CrashMoment, FakeBackend, Framing, ReceivedRequest
from tests.platform.fakestore import BACKENDS
from tests.platform.site import Site

CRASH_MARK = b"crash"
"""Substring of request bodies under which the backend servers crash."""
RESTART_DELAY_S = 0.5
"""Time from a crash until the next process listens on the same address."""
RECORD_EXPIRY_S = 1.0
"""Time from a crash until the record of the crashed process is removed."""


class Crash:
    """The crash of one backend server, and its time."""

    def __init__(self, backend: str, at: float) -> None:
        self.backend = backend
        self.at = at


class RestartingBackends:
    """Restarts backend servers after crashes and records the requests they receive."""

    def __init__(self, site: Site, **settings: Any) -> None:
        self._site = site
        self._settings = settings
        self._tasks: set[asyncio.Task[None]] = set()
        self.arrivals: list[tuple[float, bytes]] = []
        """Arrival time and body of each request that a server executes."""
        self.crashes: list[Crash] = []
        self.crash_on = CRASH_MARK
        self.crash_account = ""
        self.crash_part = ""
        self.crash_moment = CrashMoment.BETWEEN_EVENTS
        self.framing = Framing.CHUNKED
        self.work_s = 0.02
        self.on_start: Callable[[FakeBackend], None] = lambda backend: None
        """Called with each process before it listens."""

    async def add(self, id: str) -> FakeBackend:
        """Start one more backend server."""
        return await self._start(id, 0)

    async def close(self) -> None:
        """Cancel all pending restarts."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def count_arrivals(self, mark: bytes, since: float) -> int:
        """Return how many requests with a mark arrived after a time."""
        return sum(mark in body and at > since for at, body in self.arrivals)

    async def _start(self, id: str, port: int) -> FakeBackend:
        backend = FakeBackend(id, **self._settings)
        backend.crash_on = self.crash_on
        backend.crash_account = self.crash_account
        backend.crash_part = self.crash_part
        backend.crash_moment = self.crash_moment
        backend.framing = self.framing
        backend.pause_s = self.work_s
        self.on_start(backend)
        backend.on_arrival = self._record_arrival
        backend.on_crash = self._handle_crash
        await backend.start(port)
        self._site.backends.append(backend)
        self._site.store.put(BACKENDS, id, backend.record)
        return backend

    def _record_arrival(
        self, backend: FakeBackend, request: ReceivedRequest, executed: bool
    ) -> None:
        if executed:
            self.arrivals.append((_now(), request.body))

    def _handle_crash(self, backend: FakeBackend) -> None:
        self.crashes.append(Crash(backend.id, _now()))
        self._tasks.add(asyncio.ensure_future(self._restart(backend)))

    async def _restart(self, backend: FakeBackend) -> None:
        await asyncio.sleep(RESTART_DELAY_S)
        name, _, number = backend.id.partition("-")
        port = int(backend.address.rpartition(":")[2])
        await self._start(f"{name}-{int(number or 1) + 1}", port)
        await asyncio.sleep(RECORD_EXPIRY_S - RESTART_DELAY_S)
        self._site.store.put(BACKENDS, backend.id, b"")


def _now() -> float:
    return asyncio.get_running_loop().time()
