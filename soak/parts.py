"""Parts of prompts that crash servers: what is promised, and how it is pressed."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Iterator

from tests.platform.fakes import CrashMoment, Framing

from soak.callers import Caller
from soak.history import Call, History, now
from soak.pressing import PRESSES, Pressed, wait_until
from soak.promises import CONTACT_S, GENTLE, PROMISES, is_out_of_touch
from soak.site import CRASH_PART, CrashingPart, Site

CRASHING_PART = "crashing part"
"""Name of the fault."""
ENOUGH_CRASHES = 5
MAX_LATE = 3
"""Requests with the part that may reach servers once all instances know it."""
ENOUGH_LATE = 12 * MAX_LATE
"""Requests that end once all know the part: most find no server if it isn't held."""
MIN_BEGUN = 0.5
"""Part of the usual share of sound requests that begin beside it."""
MIN_COMPARED = 20
CALLERS = 4
FIRST_NUMBER = 4000
SOUND_S = 1.5
"""Time in which a part is sound before servers begin to crash under it."""
REST_S = 2.0
"""Time until the last servers are back."""


@PROMISES.register("crashing parts")
def check_late(history: History) -> Iterator[str]:
    """Find parts of prompts that still reach servers long after they crashed five."""
    for part in sorted({call.part for call in history.calls if call.part}):
        known_at = _find_known_at(history, part)
        if known_at is None:
            continue
        calls = {call.id: call for call in history.calls if call.part == part}
        late = [
            run.id
            for run in history.runs
            if run.id in calls
            and run.executed
            and run.at > known_at
            and not is_out_of_touch(history, calls[run.id], run.at)
        ]
        if len(late) > MAX_LATE:
            yield f"{part}: reached servers later: {late}"


@PROMISES.register("beside crashing parts")
def check_beside(history: History) -> Iterator[str]:
    """Find sound requests that hardly begin while a part crashes servers."""
    for part in sorted({call.part for call in history.calls if call.part}):
        known_at = _find_known_at(history, part)
        if known_at is None:
            continue
        since = known_at + CONTACT_S
        until = max(call.sent_at for call in history.calls if call.part == part)
        beside = _list_sound(history, since, until, CRASHING_PART)
        usual = _list_sound(history, 0.0, history.calm_from)
        if min(len(beside), len(usual)) < MIN_COMPARED:
            continue
        if _share_begun(beside) < MIN_BEGUN * _share_begun(usual):
            yield (
                f"{part}: {_share_begun(beside):.2f} of {len(beside)} began beside it, "
                f"{_share_begun(usual):.2f} of {len(usual)} else"
            )


def _find_known_at(history: History, part: str) -> float | None:
    """Return when all instances in touch know of a part; None without five crashes."""
    ids = {call.id for call in history.calls if call.part == part}
    crashed: dict[str, float] = {}
    for run in history.runs:
        if run.id in ids and run.crashes:
            crashed.setdefault(run.backend, run.at)
    times = sorted(crashed.values())
    if len(times) < ENOUGH_CRASHES:
        return None
    return times[ENOUGH_CRASHES - 1] + CONTACT_S


def _list_sound(
    history: History, since: float, until: float, *excused: str
) -> list[Call]:
    """Return sound streams of that time that no other fault may have touched."""
    return [
        call
        for call in history.calls
        if since < call.sent_at < until
        and call.kind.is_stream
        and not (call.mark or call.part or call.key in history.revoked)
        and not any(
            not name.startswith((*GENTLE, *excused)) or name.startswith("term")
            for name in history.disturbed(
                call.instance, call.sent_at - CONTACT_S, call.ended_at
            )
        )
    ]


def _share_begun(calls: list[Call]) -> float:
    return sum(call.status == 200 for call in calls) / len(calls)


@contextlib.asynccontextmanager
async def crash_by_part(site: Site, part: CrashingPart) -> AsyncIterator[None]:
    """Let callers send requests with a part that crashes servers."""
    first = FIRST_NUMBER + CALLERS * site.rng.randrange(10**6)
    callers = [
        Caller(site=site, number=first + n, seed=site.history.seed, crashing=part)
        for n in range(CALLERS)
    ]
    with site.note(CRASHING_PART):
        asking = [asyncio.ensure_future(caller.run()) for caller in callers]
        try:
            yield
        finally:
            for caller in callers:
                caller.stopped = True
            await asyncio.gather(*asking)
            await asyncio.sleep(REST_S)


async def _press(site: Site, *, sound_s: float = 0.0) -> Pressed:
    part = site.make_crashing_part()
    site.set_crash_part("" if sound_s else CRASH_PART)
    async with crash_by_part(site, part):
        await asyncio.sleep(sound_s)
        site.set_crash_part(CRASH_PART)
        return await wait_until(lambda: _count_known(site, part), ENOUGH_LATE)


def _count_known(site: Site, part: CrashingPart) -> int:
    """Return how many requests with a part ended though all must know of it."""
    history = site.history
    known_at = _find_known_at(history, part.id)
    calls = [call for call in history.calls if call.part == part.id and call.ended_at]
    if known_at is not None:
        return sum(call.sent_at > known_at for call in calls)
    # Quarantined before the fifth crash.
    crashed_at = [run.at for run in history.runs if run.crashes]
    if not crashed_at or now() - max(crashed_at) < CONTACT_S:
        return 0
    return sum(call.sent_at > max(crashed_at) + CONTACT_S for call in calls)


@PRESSES.register("know crashes by the body")
async def press_parts(site: Site) -> Pressed:
    """Send requests that share nothing but a part, well beyond what all must know."""
    return await _press(site)


@PRESSES.register("clear by any end")
async def press_ends(site: Site) -> Pressed:
    """Let servers crash where the end of a stream may be, which has no framing."""
    for backend in site.backends.values():
        backend.fake.framing = Framing.CLOSE
        backend.fake.crash_moment = CrashMoment.BETWEEN_EVENTS
    site.framings = (Framing.CLOSE,)
    site.crash_moments = (CrashMoment.BETWEEN_EVENTS,)
    return await _press(site)


@PRESSES.register("clear by earlier answers")
async def press_earlier_answers(site: Site) -> Pressed:
    """Let a part be sound, and then crash servers."""
    return await _press(site, sound_s=SOUND_S)
