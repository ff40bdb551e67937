"""Pressing each safeguard until callers or servers must see whether it is there.

What faults happen to bring leans on the moment and the machine: a safeguard that is
missing passes unseen where nothing asks it. Each press here goes on until enough has
happened that only the safeguard can have kept harmless, and says so where it hasn't.
"""

from __future__ import annotations

import asyncio
import bisect
import contextlib
import re
from collections.abc import AsyncIterator, Callable, Coroutine, Sequence
from pathlib import Path
from typing import Any

import msgspec
from tests.platform.fakestore import OPERATORS

from baobabthread.core.registry import Registry
from soak.callers import Caller
from soak.history import Kind, now
from soak.partitions import Cut
from soak.promises import (
    CONTACT_S,
    ENOUGH_CRASHES,
    LIMIT_EXTRA,
    LIMIT_FACTOR,
    LIMIT_WINDOW_S,
    MOST_LATER,
)
from soak.restores import CHANGES, change_often, restore_store
from soak.site import COLD_S, ENGINE, PLAIN, Site
from soak.weakened import DECIDED_EVENT

MOST_S = 20.0
"""Longest time for which a safeguard is pressed."""
LOOK_S = 0.05
REFUSED = (401,)
JUDGED = (200, *REFUSED)
"""Statuses from instances that know which keys count, rightly or not."""
ERA_ROUNDS = 3
"""Times that the store loses configurations."""
SLACK_S = 0.3
"""Time after a bound from which on nothing excuses any more what comes."""
HELD_KIND = b"quarantined"
ENOUGH = 12
"""Requests that meet a safeguard, each of which shows it missing."""
ENOUGH_FAILED = 60
"""Requests whose second try shows a safeguard missing: few repeats are left for them,
as all requests share these."""
ENOUGH_EVACUATED = 60
"""Requests while a failure domain is evacuated, of which a third would go there."""
ENOUGH_PARTITIONED = 40
"""Requests at a partitioned instance: of fewer than ten that fail nobody is told."""
CROWD = 12
"""Callers that come on top to a cold server."""
BRITTLE_CROWD = 24
"""Callers that come on top to brittle servers, where many of them wait for a place."""
CROWD_FACTOR = 3.0
"""Times what a cold server bears that its callers ask for in a second."""
LIMIT_PER_S = 0.5
"""Limit that the servers of a service name while it is pressed."""
BRITTLE_S = 4.0
"""Shortest time for which brittle servers are crowded."""
LEAVES_S = 1.0
"""Time in which servers that leave are still there."""
DECIDED = re.compile(rf"event={DECIDED_EVENT} .*\bdecided=(\d+)")
FIRST_NUMBER = 2000
"""Number of the first caller that a press adds."""


class Pressed(msgspec.Struct, frozen=True, kw_only=True):
    """Hold how often a safeguard was needed, and how often that must have been."""

    count: int
    enough: int

    @property
    def is_enough(self) -> bool:
        """Tell whether its absence must have been seen."""
        return self.count >= self.enough


Press = Callable[[Site], Coroutine[Any, Any, Pressed]]
PRESSES: Registry[Press] = Registry(what="press")


async def wait_until(count: Callable[[], int], enough: int) -> Pressed:
    """Wait until something was counted often enough, or for the longest time."""
    for _ in range(int(MOST_S / LOOK_S)):
        if count() >= enough:
            break
        await asyncio.sleep(LOOK_S)
    return Pressed(count=count(), enough=enough)


def count_decided(folder: Path) -> int:
    """Return about how often a safeguard decided, over all lives of all instances."""
    return sum(_count_decided(log) for log in folder.glob("i*.log"))


def _count_decided(log: Path) -> int:
    total = last = 0
    for line in log.read_text(errors="replace").splitlines():
        found = DECIDED.search(line)
        if found is None:
            continue
        decided = int(found.group(1))
        if decided <= last:
            total += last
        last = decided
    return total + last


@contextlib.asynccontextmanager
async def _harm_all(site: Site, service: str, behaviour: str) -> AsyncIterator[None]:
    """Let all backend servers of a service answer in a bad way."""
    backends = [b for b in site.backends.values() if b.fake.service == service]
    with site.note(f"backend {behaviour}"):
        for backend in backends:
            backend.troubles += 1
            backend.fake.behaviour = behaviour
        try:
            yield
            # What was sent meanwhile is answered so as well.
            await asyncio.sleep(SLACK_S)
        finally:
            for backend in backends:
                backend.fake.behaviour = "answer"
                backend.troubles -= 1
        await asyncio.sleep(SLACK_S)


async def _press_answers(
    site: Site,
    behaviour: str,
    *kinds: Kind,
    service: str = PLAIN,
    enough: int = ENOUGH,
) -> Pressed:
    """Let servers answer badly until enough requests of these kinds ran there."""
    since = now()

    def count_runs() -> int:
        kind_of = {call.id: call.kind for call in site.history.calls}
        return sum(
            run.at > since and run.executed and kind_of.get(run.id) in kinds
            for run in site.history.runs
        )

    async with _harm_all(site, service, behaviour):
        return await wait_until(count_runs, enough)


@PRESSES.register("take any answer")
async def press_signatures(site: Site) -> Pressed:
    """Answer everything without a signature."""
    return await _press_answers(site, "unsigned", Kind.SAFE, Kind.UNSAFE, Kind.OPEN)


@PRESSES.register("refuse what ran")
async def press_true_refusals(site: Site) -> Pressed:
    """Run what must not be repeated, and break its answer off."""
    return await _press_answers(site, "cut", Kind.UNSAFE)


@PRESSES.register("repeat everything")
async def press_repeats(site: Site) -> Pressed:
    """Fail what must not be repeated, on a route whose own bound would allow it."""
    return await _press_answers(
        site, "fail", Kind.ONCE, service=ENGINE, enough=ENOUGH_FAILED
    )


@PRESSES.register("pass parts of events")
async def press_events(site: Site) -> Pressed:
    """Break all streams off within an event."""
    return await _press_answers(
        site, "stream_cut", Kind.STREAM, service=ENGINE, enough=ENOUGH_FAILED
    )


@PRESSES.register("pass the key on")
async def press_headers(site: Site) -> Pressed:
    """Wait for requests: each one carries a key and a forged account."""
    before = len(site.history.runs)
    return await wait_until(lambda: len(site.history.runs) - before, ENOUGH)


@PRESSES.register("serve on stale knowledge")
async def press_freshness(site: Site) -> Pressed:
    """Take a key away while the store answers nobody, and go on using it."""
    await _wait_served(site)
    with site.note("store silent"):
        site.store.fault = "silent"
        # A read that the store holds already would still bring the news.
        await asyncio.sleep(0.8)
        site.revoke_key()
        key = list(site.history.revoked)[-1]
        late_from = site.history.revoked[key] + site.history.revocation_s + SLACK_S

        pressed = await wait_until(lambda: _count_late(site, key, late_from), ENOUGH)
        site.store.fault = ""
        await asyncio.sleep(1.0)
    return pressed


@PRESSES.register("ignore eras")
async def press_eras(site: Site) -> Pressed:
    """Lose many configurations, take a key away right after, and go on using it.

    Instances that read the store themselves just then, as its readers are slow, learn
    of the key without eras; not again and again.
    """
    await _wait_served(site)
    least = Pressed(count=ENOUGH, enough=ENOUGH)
    for _ in range(ERA_ROUNDS):
        least = min(least, await _lose_changes(site), key=_find_excess)
    return least


async def _lose_changes(site: Site) -> Pressed:
    """Lose configurations and take a key away until all instances have judged it."""
    await change_often(site)
    with site.note("store restored"):
        site.store.restore(lost={OPERATORS: CHANGES})
        await asyncio.sleep(0.3)
        site.revoke_key()
        key = list(site.history.revoked)[-1]
        late_from = site.history.revoked[key] + site.history.revocation_s + SLACK_S
        judged = await _wait_judged(site, key, late_from, JUDGED)
        pressed = await wait_until(lambda: _count_late(site, key, late_from), ENOUGH)
        return min(judged, pressed, key=_find_excess)


@PRESSES.register("ask no peer at the start")
async def press_starts(site: Site) -> Pressed:
    """Take a key away, lose that, and restart instances one after the other."""
    await _wait_served(site)
    with site.note("store restored"):
        site.revoke_key()
        key = list(site.history.revoked)[-1]
        late_from = site.history.revoked[key] + site.history.revocation_s + SLACK_S
        known = await _wait_judged(site, key, now(), REFUSED)
        # A copy of some age may hold the new configuration on a busy machine.
        await restore_store(site, lost={OPERATORS: 1})
        await asyncio.sleep(site.history.revocation_s)
        least = known
        decided = count_decided(site.folder)
        ends_at = now() + MOST_S
        # One that hears of its peers before it has read the store needs no safeguard.
        while count_decided(site.folder) == decided and now() < ends_at:
            least = min(least, await _restart_in_turn(site, key), key=_find_excess)
        needed = Pressed(count=count_decided(site.folder) - decided, enough=1)
        late_from = max(late_from, now())
        pressed = await wait_until(lambda: _count_late(site, key, late_from), ENOUGH)
        site.configure()
        return min(least, needed, pressed, key=_find_excess)


async def _restart_in_turn(site: Site, key: str) -> Pressed:
    """Kill each instance once the one before judges a lost key again."""
    least = Pressed(count=1, enough=1)
    for machine in site.machines:
        with site.note("kill", machine.index):
            await machine.kill()
        back = await _wait_judged(site, key, now(), JUDGED, machine.index)
        least = min(least, back, key=_find_excess)
    return least


def _find_excess(pressed: Pressed) -> int:
    return pressed.count - pressed.enough


async def _wait_judged(
    site: Site, key: str, since: float, statuses: Sequence[int], *indexes: int
) -> Pressed:
    """Wait until instances, by default all, have answered so to a lost key."""
    awaited = set(indexes or (machine.index for machine in site.machines))

    def count_judging() -> int:
        answered = {
            call.instance
            for call in site.history.calls
            if call.key == key
            and call.kind is not Kind.OPEN
            and call.sent_at > since
            and call.status in statuses
        }
        return len(answered & awaited)

    return await wait_until(count_judging, len(awaited))


async def _wait_served(site: Site) -> None:
    """Wait until each instance has served a caller, and so has read the store."""

    def count_serving() -> int:
        return len({call.instance for call in site.history.calls if call.status == 200})

    await wait_until(count_serving, len(site.machines))


def _count_late(site: Site, key: str, late_from: float) -> int:
    """Return how many requests with a key that was taken away have ended."""
    return sum(
        call.key == key and call.kind is not Kind.OPEN and bool(call.ended_at)
        for call in site.history.calls
        if call.sent_at > late_from
    )


@PRESSES.register("forget evacuations")
async def press_evacuations(site: Site) -> Pressed:
    """Evacuate the failure domain with most backend servers until callers asked on."""
    domains = [backend.fake.zone for backend in site.backends.values()]
    domain = max(sorted(set(domains)), key=domains.count)
    with site.note("configuration: evacuation"), site.evacuate(domain):
        late_from = now() + site.history.evacuation_s + SLACK_S
        return await wait_until(
            lambda: _count_answered(site, late_from), ENOUGH_EVACUATED
        )


def _count_answered(site: Site, since: float, *kinds: Kind) -> int:
    """Return how many requests that were sent after a moment have ended."""
    return sum(
        call.sent_at > since and call.ended_at > 0 and (not kinds or call.kind in kinds)
        for call in site.history.calls
    )


@PRESSES.register("forget homes")
async def press_homes(site: Site) -> Pressed:
    """Bind one kind of requests to one area, then to the other, for long."""
    least = Pressed(count=ENOUGH, enough=ENOUGH)
    with site.note("configuration: homes"):
        for area in ("south", "north"):
            site.change_homes(area)
            late_from = now() + site.history.apply_s + SLACK_S
            pressed = await wait_until(
                lambda since=late_from: _count_answered(site, since, Kind.SAFE),  # type: ignore[misc]
                ENOUGH,
            )
            least = min(least, pressed, key=lambda each: each.count)
        site.change_homes()
        await asyncio.sleep(site.history.apply_s)
    return least


@PRESSES.register("forget the cold")
async def press_coldness(site: Site) -> Pressed:
    """Leave a service one server, which has just started, and send a crowd there."""
    enough = int(CROWD_FACTOR * site.history.most_cold)
    count = 0
    ends_at = now() + MOST_S
    with site.note("configuration: cold backend"):
        async with open_crowd(site):
            while count < enough and now() < ends_at:
                since = now()
                await _leave_one_cold(site)
                count = max(count, _find_most_sent(site, since, now()))
        await site.add_backend(PLAIN)
        await site.add_backend(PLAIN)
        await asyncio.sleep(0.5)
    return Pressed(count=count, enough=enough)


async def _leave_one_cold(site: Site) -> None:
    """Replace all plain servers by a cold one, and wait until it is warm."""
    plain = [b for b in site.backends.values() if b.fake.service == PLAIN]
    await site.add_backend(PLAIN, cold_s=LEAVES_S + COLD_S)
    for backend in plain:
        site.publish_backend(backend, state="draining", seq=2)
    await asyncio.sleep(LEAVES_S)
    for backend in plain:
        site.remove_backend(backend)
    await asyncio.sleep(COLD_S + SLACK_S)


@contextlib.asynccontextmanager
async def open_crowd(
    site: Site, size: int = CROWD, kinds: Sequence[Kind] = tuple(Kind)
) -> AsyncIterator[None]:
    """Let more callers ask while the block runs, without a pause."""
    crowd = [
        Caller(
            site=site,
            number=FIRST_NUMBER + n,
            seed=site.history.seed,
            pause_s=0.01,
            kinds=kinds,
        )
        for n in range(size)
    ]
    asking = [asyncio.ensure_future(caller.run()) for caller in crowd]
    try:
        yield
    finally:
        for caller in crowd:
            caller.stopped = True
        await asyncio.gather(*asking)


def _find_most_sent(site: Site, start: float, end: float, window_s: float = 1.0) -> int:
    """Return the most requests for the plain service that ended within a window."""
    plain = (Kind.SAFE, Kind.UNSAFE, Kind.OPEN)
    times = sorted(
        call.ended_at
        for call in site.history.calls
        if call.kind in plain and start < call.sent_at and call.ended_at < end
    )
    return max(
        (bisect.bisect_left(times, t + window_s) - n for n, t in enumerate(times)),
        default=0,
    )


@PRESSES.register("forget limits")
async def press_limits(site: Site) -> Pressed:
    """Let all plain servers name a small limit, and send a crowd there."""
    plain = [b for b in site.backends.values() if b.fake.service == PLAIN]
    allowed = LIMIT_FACTOR * LIMIT_WINDOW_S * LIMIT_PER_S + LIMIT_EXTRA
    with site.note("limited backend"):
        for backend in plain:
            backend.fake.limits = (str(LIMIT_PER_S),)
        async with open_crowd(site):
            await asyncio.sleep(CONTACT_S + SLACK_S)
            since = now()
            await asyncio.sleep(LIMIT_WINDOW_S + SLACK_S)
            count = _find_most_sent(site, since, now(), LIMIT_WINDOW_S)
        for backend in plain:
            backend.fake.limits = ()
    enough = int(CROWD_FACTOR * allowed * len(plain))
    return Pressed(count=count, enough=enough)


@PRESSES.register("forget brittleness")
async def press_brittleness(site: Site) -> Pressed:
    """Let the plain servers be brittle, and send a crowd there."""
    with site.note("brittle backends"):
        async with open_crowd(site, BRITTLE_CROWD), site.make_brittle(PLAIN):
            since = now()
            await asyncio.sleep(BRITTLE_S)
            return await wait_until(
                lambda: _find_most_sent(site, since, now()), ENOUGH_FAILED
            )


@PRESSES.register("keep to own paths")
async def press_paths(site: Site) -> Pressed:
    """Cut one instance off from all backend servers, and go on asking it."""
    index = site.rng.choice(list(site.paths))
    async with site.partition(Cut.RESET, index):
        late_from = now() + CONTACT_S + SLACK_S

        def count_there() -> int:
            return sum(
                call.instance == index and call.sent_at > late_from
                for call in site.history.calls
            )

        return await wait_until(count_there, ENOUGH_PARTITIONED)


@PRESSES.register("forget crashes")
async def press_crashes(site: Site) -> Pressed:
    """Ask for what crashes every server, well beyond the time in which all know it."""
    crashing = site.make_crashing()
    callers = [
        Caller(
            site=site,
            number=FIRST_NUMBER + CROWD + n,
            seed=site.history.seed,
            crashing=crashing,
        )
        for n in range(4)
    ]
    with site.note("crashing request"):
        asking = [asyncio.ensure_future(caller.run()) for caller in callers]
        pressed = await wait_until(
            lambda: _count_known(site, crashing.mark), 3 * MOST_LATER
        )
        for caller in callers:
            caller.stopped = True
        await asyncio.gather(*asking)
        await asyncio.sleep(1.5)
    return pressed


def _count_known(site: Site, mark: str) -> int:
    """Return how many requests were held, or ran, though all must know of them."""
    calls = [call for call in site.history.calls if call.mark == mark]
    ids = {call.id for call in calls}
    crashed: dict[str, float] = {}
    for run in site.history.runs:
        if run.id in ids and run.executed:
            crashed.setdefault(run.backend, run.at)
    times = sorted(crashed.values())
    if len(times) < ENOUGH_CRASHES:
        return 0
    known_at = times[ENOUGH_CRASHES - 1] + CONTACT_S
    ran = {run.id for run in site.history.runs if run.executed and run.at > known_at}
    late = [call for call in calls if call.sent_at > known_at and call.ended_at > 0]
    return sum(call.id in ran or HELD_KIND in call.body for call in late)
