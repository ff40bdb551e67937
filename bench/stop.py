"""Six entries replaced one by one under load: half killed, half stopped gracefully."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import tempfile
import time
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import msgspec

from baobabthread.core.billing.types import BillOutcome
from baobabthread.load.caller import Result
from baobabthread.load.tool import Record, Work
from bench._cluster import Cluster, Entry
from bench._loads import MIXED, Counts, Evidence, Timed, TimedLoad, make_settings
from bench.experiment import EXPERIMENTS, Options, Report, Table

RATE_PER_S = 60.0
SPEED, DELAY_MS = 0.1, 250.0
"""Slow backend servers keep requests in flight at each end of an entry."""
MAX_S = 90.0
PAUSE_S = 1.0
STOP_LIMIT_S = 30.0
NOTICE_S = 0.5
"""Longest time in which a caller may still send to an entry that is dead."""
FLIGHT_S = 1.0
"""Longest time from an answer to its bill in the log while all is well."""
QUICK_SETTLE_S = 5.0
SETTLE_S = 50.0
"""Time in which a dead entry is noticed (5 s) and its peers settle (30 s) and more."""
SHARES = {**MIXED, Work.FREE: 1.0}
SHOWN = 5
BROKEN = (Result.UNKNOWN, Result.CUT, Result.LOST)


class Ended(msgspec.Struct, frozen=True, kw_only=True):
    """Hold how one entry was ended."""

    name: str
    incarnation: str
    at: float
    took_s: float
    exit_code: int

    @property
    def was_killed(self) -> bool:
        """Tell a kill from a graceful stop."""
        return self.exit_code == -signal.SIGKILL


class Outcome(msgspec.Struct, frozen=True, kw_only=True):
    """Hold what the run saw."""

    counts: Counts
    ended: list[Ended]
    broken: list[Timed]
    """Requests that ended without a whole answer or a word that they were not run."""
    unbilled: list[Timed]
    settled_by_peers: int
    run_without_bill: int
    """How many more requests ran than have bills, those without an answer included."""
    billed_twice: int
    unsettled: dict[str, int]


class Replacing:
    """End one entry after the other and start a new one in its place."""

    def __init__(self, *, cluster: Cluster) -> None:
        self._cluster = cluster
        self.ended: list[Ended] = []

    async def replace_all(self) -> None:
        """Kill the first, stop the second, and so on."""
        for place, entry in enumerate(list(self._cluster.entries.values())):
            number = signal.SIGKILL if place % 2 == 0 else signal.SIGTERM
            await self._end(entry, number)
            del self._cluster.entries[entry.name]
            new = await self._cluster.start_entry(self._cluster.next_name())
            await self._cluster.wait_ready(new)
            await asyncio.sleep(PAUSE_S)

    async def _end(self, entry: Entry, number: signal.Signals) -> None:
        incarnation = (await self._cluster.dump(entry))["incarnation"]
        at = time.monotonic()
        entry.process.send(number)
        code = await entry.process.wait(STOP_LIMIT_S)
        self.ended.append(
            Ended(
                name=entry.name,
                incarnation=incarnation,
                at=at,
                took_s=time.monotonic() - at,
                exit_code=code,
            )
        )


def find_incarnation(record: Record) -> str:
    """Return which incarnation took a request, empty if the record doesn't tell."""
    if record.work is Work.BOUND:
        return record.key.partition("/")[0]
    if record.work is Work.FREE:
        # The id is that of the last repeat, which another entry answered.
        return ""
    return record.request_id.partition(".")[0]


def is_explained(timed: Timed, ended: Sequence[Ended]) -> bool:
    """Tell whether a kill broke a request.

    The key or the id names the entry that took it; where there is neither, it was open
    at a kill, or sent over a connection that the caller did not yet know was broken.
    """
    killed = [each for each in ended if each.was_killed]
    incarnation = find_incarnation(timed.record)
    if incarnation:
        return incarnation in {each.incarnation for each in killed}
    return any(timed.due - NOTICE_S <= each.at <= timed.ended for each in killed)


async def watch_stops(*, seed: int, settle_s: float) -> Outcome:
    """Replace all entries under load and set the records against runs and bills."""
    environment = {"BAOBABTHREAD_ADDRESS_LIFETIME": "1.0"}
    async with contextlib.AsyncExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        cluster = await stack.enter_async_context(
            Cluster(folder=folder, environment=environment)
        )
        await cluster.slow_backends(speed=SPEED, delay_ms=DELAY_MS)
        settings = make_settings(
            cluster, SHARES, rate_per_s=RATE_PER_S, duration_s=MAX_S, seed=seed
        )
        load = TimedLoad(cluster=cluster, settings=settings)
        over = asyncio.Event()
        running = asyncio.ensure_future(load.run(stop=over))
        await asyncio.sleep(PAUSE_S)
        replacing = Replacing(cluster=cluster)
        await replacing.replace_all()
        over.set()
        await running
        unsettled = await cluster.wait_settled(settle_s)
        evidence = Evidence(
            runs=await load.find_runs(), bills=await cluster.read_bills()
        )
        timed = load.tally.list_timed()
        return Outcome(
            counts=evidence.count(load.tally.records),
            ended=replacing.ended,
            broken=[each for each in timed if each.record.result in BROKEN],
            unbilled=[
                each
                for each in timed
                if each.record.result is Result.ANSWERED
                and not evidence.is_billed(each.record)
            ],
            settled_by_peers=sum(
                bill.outcome is BillOutcome.UNKNOWN for bill in evidence.bills
            ),
            run_without_bill=evidence.count_run_without_bill(),
            billed_twice=evidence.count_billed_twice(),
            unsettled=unsettled,
        )


def report(outcome: Outcome, *, is_quick: bool) -> Report:
    """Return the figures and what did not hold."""
    counts, ended = outcome.counts, outcome.ended
    stopped = [each for each in ended if not each.was_killed]
    unexplained = [each for each in outcome.broken if not is_explained(each, ended)]
    waiting = [each for each in outcome.unbilled if _just_before_kill(each, ended)]
    figures: dict[str, Any] = {
        "requests": counts.requests,
        "answered": counts.answered,
        "refused": counts.refused,
        "failed": counts.failed,
        "unknown": counts.unknown,
        "cut": counts.cut,
        "wrong": counts.wrong,
        "lost": counts.lost,
        "doubled": counts.doubled,
        "ran_though_refused": counts.ran_though_refused,
        "cut_by_graceful_stop": len(unexplained),
        "unknown_not_from_killed": sum(
            each.record.result is Result.UNKNOWN for each in unexplained
        ),
        "stopped_not_cleanly": sum(each.exit_code != 0 for each in stopped),
        "unbilled": len(outcome.unbilled),
        "unbilled_waiting_at_peers": len(waiting) if is_quick else 0,
        "run_without_bill": outcome.run_without_bill,
        "settled_by_peers": outcome.settled_by_peers,
        "billed_twice": outcome.billed_twice,
        "bills_unsettled": sum(outcome.unsettled.values()),
    }
    # A killed entry's bills stand in the log 30 s after its death is noticed; the
    # quick run ends before and counts those of its last second apart.
    late = len(outcome.unbilled) - figures["unbilled_waiting_at_peers"]
    failures = [f"{late} unbilled"] if late else []
    for name in (
        *("lost", "doubled", "wrong", "ran_though_refused", "billed_twice"),
        *("cut_by_graceful_stop", "stopped_not_cleanly"),
    ):
        if figures[name]:
            failures.append(f"{figures[name]} {name}")
    failures += [f"not from a kill: {each.record}" for each in unexplained[:SHOWN]]
    failures += [_describe(each, ended) for each in outcome.unbilled[:SHOWN] if late]
    if not is_quick and figures["bills_unsettled"]:
        failures.append(f"bills still open: {outcome.unsettled}")
    ends = Table(
        title="Entries replaced one by one",
        columns=("entry", "how", "took, s", "exit code"),
        rows=[
            (e.name, "kill" if e.was_killed else "stop", e.took_s, e.exit_code)
            for e in ended
        ],
    )
    table = Table(
        title="What callers were told, and what was run and billed",
        columns=("figure", "count"),
        rows=list(figures.items()),
    )
    return Report(figures=figures, tables=[ends, table], failures=failures)


def _describe(timed: Timed, ended: Sequence[Ended]) -> str:
    """Return whose answer was not billed, and when, set against the ends of entries."""
    ends = [f"{each.name} {timed.ended - each.at:+.3f} s" for each in ended]
    record = timed.record
    return f"unbilled: {record.work} {record.request_id}, ended {', '.join(ends)}"


def _just_before_kill(timed: Timed, ended: Sequence[Ended]) -> bool:
    return any(
        each.at - FLIGHT_S <= timed.ended <= each.at + FLIGHT_S
        for each in ended
        if each.was_killed
    )


@EXPERIMENTS.register("stop")
def run(options: Options) -> Report:
    """Count what replacing every entry does to callers."""
    settle_s = QUICK_SETTLE_S if options.quick else SETTLE_S
    outcome = asyncio.run(watch_stops(seed=options.seed, settle_s=settle_s))
    return report(outcome, is_quick=options.quick)
