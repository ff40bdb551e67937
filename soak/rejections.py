"""Servers that reject all requests and name no time: what is promised, and a press."""

from __future__ import annotations

import asyncio
import contextlib
import math
from collections.abc import AsyncIterator, Iterable, Iterator

from soak.history import History, Rejecting, Run, now
from soak.pressing import PRESSES, Pressed, wait_until
from soak.promises import PROMISES
from soak.site import PLAIN, Backend, Site

REJECTS = "backend rejects"
"""Name of the fault."""
QUIET = (REJECTS, "configuration")
"""Faults that leave the other servers as they are."""
MAX_TRIES = 9
"""Requests that an instance may send to a server that rejects them all: as many as fit
into the longest time if the wait doubles from a fortieth of a second."""
REJECTED_FRACTION = 0.02
"""Part of the instance's requests for the service that it may send there besides."""
UNDER_WAY_S = 0.1
"""Time within which requests are one try, as they were sent before the rejection."""
SETTLE_S = 1.0
"""Time after which a request would usually go to the server if nobody backed off."""
LONGEST_S = 5.0
"""Longest time for which a server rejects."""
ENOUGH_BESIDE = 60
"""Requests of which most would go to the server that rejects them."""


@PROMISES.register("rejecting servers")
def check_rejecting(history: History) -> Iterator[str]:
    """Find instances that did not back off from a server that rejects."""
    instances = {call.id: call.instance for call in history.calls}
    for each in history.rejecting:
        if each.to_s == math.inf or _is_disturbed(history, each):
            continue
        by_instance: dict[int, list[Run]] = {}
        for run in history.runs:
            is_meanwhile = each.from_s < run.at < each.to_s
            if is_meanwhile and run.service == each.service and run.id in instances:
                by_instance.setdefault(instances[run.id], []).append(run)
        for instance, runs in by_instance.items():
            tries = _count_tries(run.at for run in runs if run.backend == each.backend)
            if tries > MAX_TRIES + REJECTED_FRACTION * len(runs):
                yield f"{each.backend}: tried {tries} times by i{instance}"


def _count_tries(times: Iterable[float]) -> int:
    tries, last = 0, -math.inf
    for at in sorted(times):
        if at > last + UNDER_WAY_S:
            tries, last = tries + 1, at
    return tries


def _is_disturbed(history: History, each: Rejecting) -> bool:
    """Return whether another fault makes instances forget, or lack other servers."""
    return any(
        not fault.name.startswith(QUIET)
        and fault.began_at <= each.to_s
        and (fault.ended_at or each.to_s) >= each.from_s
        for fault in history.faults
    )


@contextlib.asynccontextmanager
async def reject_all(site: Site, backend: Backend) -> AsyncIterator[Rejecting]:
    """Let a server reject all requests while the block runs."""
    fake = backend.fake
    rejecting = Rejecting(backend=fake.id, service=fake.service, from_s=now())
    site.history.rejecting.append(rejecting)
    with site.note(REJECTS):
        backend.troubles += 1
        fake.behaviour = "shed"
        try:
            yield rejecting
        finally:
            rejecting.to_s = now()
            fake.behaviour = "answer"
            backend.troubles -= 1


@PRESSES.register("forget rejections")
async def press_rejections(site: Site) -> Pressed:
    """Let a server reject all requests, and go on asking the others."""
    backend = next(b for b in site.backends.values() if b.fake.service == PLAIN)
    async with reject_all(site, backend) as rejecting:
        late_from = rejecting.from_s + SETTLE_S

        def count_beside() -> int:
            return sum(
                run.service == PLAIN and run.executed and run.at > late_from
                for run in site.history.runs
            )

        await asyncio.sleep(LONGEST_S)
        return await wait_until(count_beside, ENOUGH_BESIDE)
