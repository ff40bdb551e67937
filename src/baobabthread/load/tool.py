"""The load tool: callers in an open or closed loop, and the figures of what came."""

from __future__ import annotations

import asyncio
import contextlib
import ssl
import sys
import time
from collections.abc import AsyncIterator, Awaitable
from random import Random

import aiohttp

from baobabthread.errors import UsageError
from baobabthread.load.caller import Caller, Record
from baobabthread.load.effects import Effects, compare_runs, count_runs
from baobabthread.load.report import LoadReport, Tally
from baobabthread.load.settings import LoadAccount, LoadSettings, Work, parse_account
from baobabthread.load.table import render_report
from baobabthread.load.work import WorkSource

__all__ = [
    "Load",
    "LoadAccount",
    "LoadReport",
    "LoadSettings",
    "Record",
    "Work",
    "parse_account",
    "render_report",
    "run_load",
]

PROGRESS_S = 1.0


async def run_load(
    settings: LoadSettings, *, stop: asyncio.Event | None = None
) -> LoadReport:
    """Drive callers until the time or the requests run out, and return the figures."""
    async with Load(settings=settings) as load:
        return await load.run(stop=stop)


class Load:
    """Own the callers and the figures of one run."""

    __slots__ = (
        "_callers",
        "_left",
        "_rng",
        "_session",
        "_settings",
        "_source",
        "_stack",
        "_started",
        "_stop",
        "tally",
    )

    def __init__(self, *, settings: LoadSettings) -> None:
        settings.check()
        self._settings = settings
        self._rng = Random(f"{settings.seed}:load")
        self._source = WorkSource(settings=settings)
        self._stack = contextlib.AsyncExitStack()
        self._callers: list[Caller] = []
        self._left = settings.max_requests
        self._started = 0.0
        self._stop = asyncio.Event()
        self.tally = Tally(settings=settings)

    async def __aenter__(self) -> Load:
        connector = aiohttp.TCPConnector(limit=0, ssl=_make_tls(self._settings))
        session = aiohttp.ClientSession(
            connector=connector, cookie_jar=aiohttp.DummyCookieJar()
        )
        self._session = await self._stack.enter_async_context(session)
        self._callers = [self._make_caller(n) for n in range(self._settings.callers)]
        return self

    async def __aexit__(self, *_: object) -> None:
        await self._stack.aclose()

    async def run(self, *, stop: asyncio.Event | None = None) -> LoadReport:
        """Make all requests and return the figures."""
        self._stop = stop or self._stop
        self._started = time.monotonic()
        async with _cancelled_at_end(self._show_progress()):
            if self._settings.rate_per_s:
                await self._run_open()
            else:
                await self._run_closed()
        duration_s = time.monotonic() - self._started
        effects = await self._compare()
        return self.tally.report(duration_s=duration_s, effects=effects)

    def _make_caller(self, place: int) -> Caller:
        accounts = self._settings.accounts
        # The first callers cover every account, the others go by weight.
        account = accounts[place] if place < len(accounts) else self._pick_account()
        return Caller(
            session=self._session,
            settings=self._settings,
            account=account,
            name=f"{account.name}-{place}",
            rng=Random(f"{self._settings.seed}:caller:{place}"),
        )

    def _pick_account(self) -> LoadAccount:
        accounts = self._settings.accounts
        return self._rng.choices(accounts, [a.weight for a in accounts])[0]

    def _goes_on(self) -> bool:
        over = time.monotonic() - self._started >= self._settings.duration_s
        return self._left > 0 and not over and not self._stop.is_set()

    async def _run_closed(self) -> None:
        async with asyncio.TaskGroup() as group:
            for caller in self._callers:
                group.create_task(self._loop(caller))

    async def _loop(self, caller: Caller) -> None:
        while self._goes_on():
            self._left -= 1
            await self._ask(caller, time.monotonic())

    async def _run_open(self) -> None:
        by_account: dict[str, list[Caller]] = {}
        for caller in self._callers:
            by_account.setdefault(caller.account.name, []).append(caller)
        due = time.monotonic()
        in_flight: set[asyncio.Task[None]] = set()
        async with asyncio.TaskGroup() as group:
            while self._goes_on():
                due += self._rng.expovariate(self._settings.rate_per_s)
                await asyncio.sleep(max(0.0, due - time.monotonic()))
                self._left -= 1
                callers = by_account.get(self._pick_account().name, self._callers)
                caller = self._rng.choice(callers)
                if len(in_flight) >= self._settings.max_in_flight:
                    self.tally.not_sent += 1
                    continue
                # Time counts from when the request was due: counting from the actual
                # start would hide the wait that a slow system causes.
                task = group.create_task(self._ask(caller, due))
                in_flight.add(task)
                task.add_done_callback(in_flight.discard)

    async def _ask(self, caller: Caller, due: float) -> None:
        request = self._source.make(caller.account)
        self.tally.add(await caller.run(request, due=due))

    async def _compare(self) -> Effects:
        settings, records = self._settings, self.tally.records
        if not settings.backends or not settings.keep_records:
            return Effects()
        ids = [record.own_id for record in records]
        runs = await count_runs(self._session, settings.backends, ids)
        return compare_runs(records, runs)

    async def _show_progress(self) -> None:
        while self._settings.progress:
            await asyncio.sleep(PROGRESS_S)
            passed = time.monotonic() - self._started
            line = f"event=load_progress t_s={passed:.0f} {self.tally.describe()}"
            print(line, file=sys.stderr, flush=True)


@contextlib.asynccontextmanager
async def _cancelled_at_end(work: Awaitable[None]) -> AsyncIterator[None]:
    task = asyncio.ensure_future(work)
    try:
        yield
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


def _make_tls(settings: LoadSettings) -> ssl.SSLContext | bool:
    if not settings.ca_file:
        return True
    try:
        return ssl.create_default_context(cafile=settings.ca_file)
    except (OSError, ssl.SSLError) as error:
        raise UsageError(
            f"the certificate authority {settings.ca_file} can't be read ({error})",
            remedy="give a PEM file",
        ) from error
