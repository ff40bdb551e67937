"""One seeded run: callers ask all the while, faults come in series and overlap."""

from __future__ import annotations

import asyncio
import shutil
import tempfile
from collections import Counter
from pathlib import Path

import msgspec

from soak.callers import Caller
from soak.crowds import CROWDED, LEAST_INSTANCES, SAFEGUARD
from soak.faults import FAULTS
from soak.history import History, now
from soak.pressing import PRESSES, Pressed, count_decided
from soak.promises import Breach, check_all
from soak.site import Site
from soak.weakened import WATCH, WEAKEN

RECOVER_S = 4.0
"""Time after the last fault in which everything is well again."""
CALM_S = 2.0
"""Time after that in which callers still ask."""
MOST_AT_ONCE = 3
NOT_PRESSED = "pressed"
"""Names the breach of a run in which nothing needed the safeguard."""


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
    press: str | None = None
    """A safeguard that is pressed and counted; one that is taken out always is."""
    keep_logs: bool = True


class Outcome(msgspec.Struct, frozen=True, kw_only=True):
    """Hold what a run showed."""

    plan: Plan
    breaches: list[Breach]
    calls: int
    served: int
    statuses: dict[int, int]
    faults: list[str]
    decided: int
    """How often the pressed safeguard decided, by the instances' own word."""
    pressed: Pressed | None
    logs: str | None
    """Folder with the instances' logs, kept where a promise was broken."""


async def play(plan: Plan) -> Outcome:
    """Play one run and check every promise."""
    folder = Path(tempfile.mkdtemp(prefix=f"soak-{plan.seed}-"))
    safeguard = plan.weaken or plan.press
    instances = plan.instances
    if CROWDED in (plan.faults or FAULTS) or safeguard == SAFEGUARD:
        instances = max(instances, LEAST_INSTANCES)
    site = Site(seed=plan.seed, instances=instances, folder=folder)
    site.has_own_paths = "partition" in (plan.faults or FAULTS) or (
        safeguard == "keep to own paths"
    )
    if safeguard is not None:
        site.counted = (WEAKEN if plan.weaken else WATCH, safeguard)
    callers = [
        Caller(site=site, number=number, seed=plan.seed)
        for number in range(plan.callers)
    ]
    try:
        await site.start()
        asking = [asyncio.ensure_future(caller.run()) for caller in callers]
        await _inject(site, plan)
        pressed = await PRESSES.get(safeguard)(site) if safeguard else None
        site.history.calm_from = now() + RECOVER_S
        await asyncio.sleep(RECOVER_S + CALM_S)
        for caller in callers:
            caller.stopped = True
        await asyncio.gather(*asking)
    finally:
        await site.close()
    return _conclude(plan, site.history, folder, pressed)


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


def _conclude(
    plan: Plan, history: History, folder: Path, pressed: Pressed | None
) -> Outcome:
    breaches = check_all(history)
    decided = count_decided(folder)
    if pressed is not None:
        breaches += _check_pressed(pressed, decided)
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
        decided=decided,
        pressed=pressed,
        logs=str(folder) if keeps else None,
    )


def _check_pressed(pressed: Pressed, decided: int) -> list[Breach]:
    """Tell a safeguard that nothing asked from one that a check didn't see."""
    if pressed.is_enough and decided:
        return []
    detail = f"{pressed.count} of {pressed.enough} requests, decided {decided} times"
    return [Breach(promise=NOT_PRESSED, detail=detail)]
