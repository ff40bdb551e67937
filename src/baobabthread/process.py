"""The process of one entry: its signals, its collector, its exit code."""

from __future__ import annotations

import asyncio
import gc
import signal

from baobabthread.entry import Entry
from baobabthread.settings import EntrySettings

COLLECT_AFTER = 20_000
COLLECT_OLDER = 50
COLLECT_OLDEST = 100


def tune_collector() -> None:
    """Let the cycle collector run seldom: requests leave few cycles behind.

    At its defaults it walks all live objects many times a second under load.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(COLLECT_AFTER, COLLECT_OLDER, COLLECT_OLDEST)


async def run_entry(settings: EntrySettings) -> int:
    """Run an entry until it is told to stop; return the exit code."""
    entry = Entry(settings=settings)
    tune_collector()
    told = asyncio.Event()
    at_once = asyncio.Event()

    def stop() -> None:
        (at_once if told.is_set() else told).set()

    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop)
    try:
        await entry.start()
        await told.wait()
        leaving = asyncio.ensure_future(entry.leave())
        hurried = asyncio.ensure_future(at_once.wait())
        await asyncio.wait([leaving, hurried], return_when=asyncio.FIRST_COMPLETED)
        graceful = leaving.done()
        leaving.cancel()
        hurried.cancel()
        return 0 if graceful else 1
    finally:
        await entry.stop()
