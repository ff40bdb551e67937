"""Servers that say in responses that they leave or want rest: promises and presses."""

from __future__ import annotations

import asyncio
import contextlib
import math
from collections.abc import AsyncIterator, Iterator

from tests.platform.fakestore import BACKENDS

from soak.history import Call, History, Kind, Run, now
from soak.pressing import PRESSES, Pressed, open_crowd, wait_until
from soak.promises import PROMISES
from soak.site import PLAIN, Backend, Site

DEPARTURE = "configuration: departure told"
REST = "rest asked"
"""Names of the faults."""
LEAVING = (("Server-Leaving", "1"),)
DRAIN_S = 2.0
"""Time after an instance passed on such a response in which requests may still go."""
REST_MARGIN_S = 0.5
"""Time after a rejection in which its instance may still send requests."""
MAX_IN_REST = 2
RESTARTED = ("term", "kill", "pause")
"""Faults after which an instance may not know what a server told it."""
CUT = ("backend link", "partition")
"""Faults that may keep a response from its instance."""
RESTS_S = (0.5, 1.0, 2.0, 3.0)
SETTLE_S = 0.8
WORKS_ON_S = 3.5
"""Time for which a server that leaves works on."""
PLAIN_KINDS = (Kind.SAFE, Kind.UNSAFE, Kind.OPEN)
"""Kinds of requests that plain servers run."""
PRESSED_REST_S = 3.0
ENOUGH_BESIDE = 60
"""Requests of which a third would go to a server that is to get none."""


@PROMISES.register("departures told")
def check_departures(history: History) -> Iterator[str]:
    """Find requests at a server that had told their instance that it leaves."""
    calls = {call.id: call for call in history.calls}
    told: dict[tuple[int, str], float] = {}
    for call, run in _list_told(history, calls):
        key = (call.instance, run.backend)
        told[key] = min(call.ended_at, told.get(key, call.ended_at))
    for run in history.runs:
        sent = calls.get(run.id)
        told_at = told.get((sent.instance, run.backend)) if sent else None
        if sent is None or told_at is None or sent.sent_at <= told_at + DRAIN_S:
            continue
        if not _has(history, sent.instance, told_at, run.at, RESTARTED):
            yield f"{run.id}: reached {run.backend} {run.at - told_at:.1f} s after"


def _list_told(history: History, calls: dict[str, Call]) -> Iterator[tuple[Call, Run]]:
    """Return the responses that were passed on and said that their server leaves."""
    for id, runs in history.runs_by_id().items():
        call = calls.get(id)
        if call is not None and call.signed and call.whole and runs[-1].leaving:
            yield call, runs[-1]


@PROMISES.register("rests")
def check_rests(history: History) -> Iterator[str]:
    """Find servers that got more than a few requests in the rest they asked for."""
    instances = {call.id: call.instance for call in history.calls}
    by_sender: dict[tuple[int, str], list[Run]] = {}
    for run in history.runs:
        if run.id in instances:
            by_sender.setdefault((instances[run.id], run.backend), []).append(run)
    for (instance, server), runs in by_sender.items():
        for told in runs:
            if told.rest_s is None:
                continue
            start, end = told.at + REST_MARGIN_S, told.at + told.rest_s
            late = [run for run in runs if start < run.at < end]
            if len(late) > MAX_IN_REST and not _has(
                history, instance, told.at, late[-1].at, (*RESTARTED, *CUT)
            ):
                yield f"{server}: {len(late)} from i{instance} in {told.rest_s:g} s"
                break


def _has(
    history: History, instance: int, start: float, end: float, names: tuple[str, ...]
) -> bool:
    return any(n.startswith(names) for n in history.disturbed(instance, start, end))


# -- faults --


@contextlib.asynccontextmanager
async def tell_departure(site: Site, backend: Backend) -> AsyncIterator[None]:
    """Let a server say in its responses that it leaves; it is gone after the block."""
    with site.note(DEPARTURE):
        await site.add_backend(backend.fake.service)
        backend.fake.notices = LEAVING
        yield
        with site.note("backend gone"):
            backend.troubles += 1
            site.remove_backend(backend)
            await asyncio.sleep(SETTLE_S)


async def let_record_lapse(site: Site, backend: Backend) -> None:
    """Take a server's record away, and write it again as it was."""
    site.store.put(BACKENDS, backend.fake.id, b"")
    await asyncio.sleep(SETTLE_S)
    site.publish_backend(backend, seq=3)


async def keep_store_away(site: Site) -> None:
    """Let the store refuse everybody while a server tells that it leaves."""
    with site.note("store busy"):
        site.store.fault = "busy"
        await asyncio.sleep(site.rng.uniform(DRAIN_S, 2 * DRAIN_S))
        site.store.fault = ""


async def ask_for_rest(site: Site, backend: Backend, seconds: float) -> None:
    """Let a server reject all requests for a while and ask for rest."""
    with site.note(REST):
        backend.troubles += 1
        backend.fake.notices = (("Retry-After", f"{site.rng.choice(RESTS_S):g}"),)
        backend.fake.behaviour = "shed"
        await asyncio.sleep(seconds)
        backend.fake.notices = ()
        backend.fake.behaviour = "answer"
        backend.troubles -= 1


# -- presses --


@PRESSES.register("learn departures from records")
async def press_departures(site: Site) -> Pressed:
    """Let a server say that it leaves, whose record doesn't, and go on asking."""
    backend = next(b for b in site.backends.values() if b.fake.service == PLAIN)
    async with (
        tell_departure(site, backend),
        open_crowd(site, kinds=PLAIN_KINDS),
    ):
        return await wait_until(lambda: _count_after(site, backend), ENOUGH_BESIDE)


def _count_after(site: Site, backend: Backend) -> int:
    """Return how many requests for it instances got that a server had told before."""
    calls = {call.id: call for call in site.history.calls}
    late_from: dict[int, float] = {}
    for call, run in _list_told(site.history, calls):
        if run.backend == backend.fake.id:
            from_s = call.ended_at + DRAIN_S
            late_from[call.instance] = min(from_s, late_from.get(call.instance, from_s))
    return sum(
        call.kind in PLAIN_KINDS
        and call.sent_at > late_from.get(call.instance, math.inf)
        and call.ended_at > 0
        for call in calls.values()
    )


@PRESSES.register("forget rests")
async def press_rests(site: Site) -> Pressed:
    """Let a server ask for rest, and go on asking the others."""
    backend = next(b for b in site.backends.values() if b.fake.service == PLAIN)
    backend.fake.notices = (("Retry-After", f"{PRESSED_REST_S:g}"),)
    backend.troubles += 1
    backend.fake.behaviour = "shed"
    with site.note(REST):
        since = now() + REST_MARGIN_S
        await asyncio.sleep(2 * PRESSED_REST_S)
        count = sum(
            call.sent_at > since and call.ended_at > 0 for call in site.history.calls
        )
        backend.fake.notices, backend.fake.behaviour = (), "answer"
        backend.troubles -= 1
    return Pressed(count=count, enough=ENOUGH_BESIDE)
