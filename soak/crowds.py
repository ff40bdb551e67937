"""Services with fewer servers than half of the instances: load, faults, a promise."""

from __future__ import annotations

import asyncio
import contextlib
import math
from collections.abc import AsyncIterator, Iterator

from baobabthread.core.rendezvous import rank
from baobabthread.routing.servers.groups import MIN_CROWD
from soak.history import Crowded, History, Kind, Run, now
from soak.instances import Machine
from soak.pressing import PRESSES, Pressed, open_crowd, wait_until
from soak.promises import CONTACT_S, PROMISES
from soak.site import PLAIN, Site

CROWDED = "crowded service"
"""Name of the fault."""
SAFEGUARD = "forget assignments"
SERVERS = 2
LEAST_SERVING = math.ceil(MIN_CROWD * SERVERS)
"""Instances from which on owners assign the requests to so few servers."""
LEAST_INSTANCES = LEAST_SERVING + 1
"""Instances of a run, so that one may be down."""
QUIET = (CROWDED, "configuration")
"""Faults that leave instances, servers and the connections between them as they are."""
OVERCOMMIT = 1
"""Requests that a server may get beyond those that it runs."""
MAX_OVERRUN = 0.5
"""Part of the requests that may meet more: an instance whose owner's reply comes late,
as on a machine that is busy with other work, chooses by itself for a second."""
MIN_COMPARED = 60
CALLERS = 20
KINDS = (Kind.SAFE, Kind.UNSAFE, Kind.OPEN)
"""Requests for the plain service."""
KNOWN_S = 2.0
"""Time in which all instances learn what the servers run at once."""
DRAIN_S = 2.5
UNDISTURBED_S = 2.5
"""Time for which an owner assigns before an instance is disrupted, and after that."""


@PROMISES.register("crowded servers")
def check_crowded(history: History) -> Iterator[str]:
    """Find services whose servers are overrun while owners assign the requests."""
    for each in history.crowded:
        runs = [
            run
            for run in history.runs
            if run.service == each.service
            and each.from_s <= run.at < each.to_s
            and not _is_disturbed(history, run)
        ]
        if len({run.backend for run in runs}) > SERVERS:
            # With more servers instances may choose by themselves.
            continue
        overrun = sum(run.running > each.slots + OVERCOMMIT for run in runs)
        if len(runs) >= MIN_COMPARED and overrun > MAX_OVERRUN * len(runs):
            yield f"{each.service}: {overrun} of {len(runs)} requests at full servers"


def _is_disturbed(history: History, run: Run) -> bool:
    """Return whether faults touch the service, or too few instances serve."""
    # On a busy machine instances need long for a start.
    return len(_find_serving(history, run.at)) < LEAST_SERVING or any(
        fault.name not in QUIET
        and fault.began_at <= run.at
        and (fault.ended_at or run.at) + CONTACT_S >= run.at
        for fault in history.faults
    )


def _find_serving(history: History, at: float) -> set[int]:
    """Return the instances that answered requests of the last seconds."""
    return {
        call.instance
        for call in history.calls
        if call.status and at - CONTACT_S <= call.sent_at <= at
    }


@contextlib.asynccontextmanager
async def crowd_service(site: Site) -> AsyncIterator[Crowded]:
    """Leave the plain service few narrow servers and send a crowd there."""
    with site.note(CROWDED), site.make_narrow(PLAIN) as slots:
        retired = await _retire_surplus(site)
        await asyncio.sleep(KNOWN_S)
        async with open_crowd(site, CALLERS, KINDS):
            await asyncio.sleep(CONTACT_S)
            await wait_until(
                lambda: len(_find_serving(site.history, now())), LEAST_SERVING
            )
            crowded = Crowded(service=PLAIN, slots=slots, from_s=now())
            site.history.crowded.append(crowded)
            try:
                yield crowded
            finally:
                crowded.to_s = now()
        for _ in range(retired):
            await site.add_backend(PLAIN)


async def _retire_surplus(site: Site) -> int:
    plain = [b for b in site.backends.values() if b.fake.service == PLAIN]
    surplus = sorted(plain, key=lambda backend: backend.is_sound)[:-SERVERS]
    for backend in surplus:
        site.publish_backend(backend, state="draining", seq=2)
    await asyncio.sleep(DRAIN_S)
    with site.note("backend gone"):
        for backend in surplus:
            site.remove_backend(backend)
    return len(surplus)


def find_owner(site: Site) -> Machine:
    """Return the instance that assigns the requests to the plain servers."""
    machines = {f"i{machine.index}": machine for machine in site.machines}
    return machines[rank(f"dispatch/{PLAIN}/0", list(machines))[0]]


async def disrupt_instance(site: Site) -> None:
    """Stop, kill or pause the owner, or another instance, within a burst."""
    machine = site.rng.choice([find_owner(site), site.rng.choice(site.machines)])
    way = site.rng.choice(("term", "kill", "pause"))
    with site.note(way, machine.index):
        if way == "term":
            await machine.terminate()
        elif way == "kill":
            await machine.kill()
        else:
            await machine.pause(site.rng.uniform(0.4, 3.0))
        await asyncio.sleep(0.8)


@PRESSES.register(SAFEGUARD)
async def press_assignments(site: Site) -> Pressed:
    """Send a crowd to few servers."""
    async with crowd_service(site) as crowded:

        def count_runs() -> int:
            return sum(
                run.service == PLAIN and run.at > crowded.from_s
                for run in site.history.runs
            )

        return await wait_until(count_runs, 2 * MIN_COMPARED)
