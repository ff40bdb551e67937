"""One seeded run: callers ask all the while, faults come in series and overlap."""

from __future__ import annotations

import asyncio
import shutil
import tempfile
from collections import Counter
from pathlib import Path

import msgspec

from soak.callers import Caller
from soak.faults import FAULTS
from soak.history import History, now
from soak.promises import Breach, check_all
from soak.site import Site

RECOVER_S = 4.0
"""Time after the last fault in which everything is well again."""
CALM_S = 2.0
"""Time after that in which callers still ask."""
MOST_AT_ONCE = 3


class Plan(msgspec.Struct, frozen=True, kw_only=True):
    """Hold what to play."""

    seed: int
    seconds: float = 12.0
    """How long faults begin."""
    instances: int = 3
    callers: int = 12
    faults: tuple[str, ...] = ()
    """Names to draw from; all of them where empty."""
    weaken: str | None = None
    """A safeguard that is taken out, to see that a check finds it."""
    keep_logs: bool = True


class Outcome(msgspec.Struct, frozen=True, kw_only=True):
    """Hold what a run showed."""

    plan: Plan
    breaches: list[Breach]
    calls: int
    served: int
    statuses: dict[int, int]
    faults: list[str]
    logs: str | None
    """Folder with the instances' logs, kept where a promise was broken."""


async def play(plan: Plan) -> Outcome:
    """Play one run and check every promise."""
    folder = Path(tempfile.mkdtemp(prefix=f"soak-{plan.seed}-"))
    site = Site(seed=plan.seed, instances=plan.instances, folder=folder)
    site.weaken = plan.weaken
    callers = [
        Caller(site=site, number=number, seed=plan.seed)
        for number in range(plan.callers)
    ]
    try:
        await site.start()
        asking = [asyncio.ensure_future(caller.run()) for caller in callers]
        await _inject(site, plan)
        site.history.calm_from = now() + RECOVER_S
        await asyncio.sleep(RECOVER_S + CALM_S)
        for caller in callers:
            caller.stopped = True
        await asyncio.gather(*asking)
    finally:
        await site.close()
    return _conclude(plan, site.history, folder)


async def _inject(site: Site, plan: Plan) -> None:
    names = list(plan.faults or FAULTS)
    ends_at = now() + plan.seconds
    running: set[asyncio.Task[None]] = set()
    while now() < ends_at:
        if len(running) < MOST_AT_ONCE:
            inject = FAULTS.get(site.rng.choice(names))
            running.add(asyncio.create_task(inject(site)))
        await asyncio.sleep(site.rng.uniform(0.1, 1.2))
        running = {task for task in running if not task.done()}
    await asyncio.gather(*running)


def _conclude(plan: Plan, history: History, folder: Path) -> Outcome:
    breaches = check_all(history)
    keeps = bool(breaches) and plan.keep_logs
    if keeps:
        (folder / "history.json").write_bytes(msgspec.json.encode(history))
    else:
        shutil.rmtree(folder)
    return Outcome(
        plan=plan,
        breaches=breaches,
        calls=len(history.calls),
        served=sum(call.status == 200 and call.whole for call in history.calls),
        statuses=dict(Counter(call.status for call in history.calls)),
        faults=[fault.name for fault in history.faults],
        logs=str(folder) if keeps else None,
    )
