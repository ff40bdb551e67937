"""Requests without a key are answered whatever happens to the store."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Iterator

from tests.platform.fakestore import BACKENDS

from soak.history import Call, History, Kind, now
from soak.pressing import ENOUGH, PRESSES, Pressed, wait_until
from soak.promises import PROMISES
from soak.restores import list_newest, write_missing
from soak.site import Site

LOST_SERVERS = "store lost servers"
SETTLED_S = 8.0
"""Time after another fault, or the start, from which on only the store excuses."""
STORE = ("store", "configuration")
"""Faults that leave a running instance all that it needs for such requests."""
AWAY_S = 1.6
"""Time for which the store is away, long enough that all instances read it anew."""
WRITTEN_AGAIN_S = 1.2
"""Time until backend servers have written their records again."""
SEEN_S = 3.0
"""Time after that in which a running server may turn out to have been removed."""


@PROMISES.register("store alone")
def check_store_alone(history: History) -> Iterator[str]:
    """Find requests without a key that a fault of the store alone left unanswered."""
    began_at = min((call.sent_at for call in history.calls), default=0.0)
    failed = Counter(
        call.instance
        for call in history.calls
        if call.kind is Kind.OPEN
        and not (call.status == 200 and call.whole)
        and not call.mark
        and call.sent_at > began_at + SETTLED_S
        and _is_store_alone(history, call)
    )
    for instance, count in sorted(failed.items()):
        yield f"{count} requests without a key unanswered at i{instance}"


def _is_store_alone(history: History, call: Call) -> bool:
    start = call.sent_at - SETTLED_S
    faults = history.disturbed(call.instance, start, call.ended_at)
    return bool(faults) and all(name.startswith(STORE) for name in faults)


async def lose_servers(site: Site) -> None:
    """Restore the store from a copy without servers, which then write again."""
    with site.note(LOST_SERVERS):
        site.store.fault = "busy"
        await asyncio.sleep(AWAY_S)
        lost = site.store.restore(lost={BACKENDS: len(site.store.topics[BACKENDS])})
        site.store.fault = ""
        ends = {BACKENDS: len(site.store.topics[BACKENDS])}
        await asyncio.sleep(WRITTEN_AGAIN_S)
        write_missing(site.store, list_newest(lost), ends)
        await asyncio.sleep(SEEN_S)


@PRESSES.register("settle missing servers by time")
async def press_missing(site: Site) -> Pressed:
    """Let all instances find the servers missing, and one of them find them back."""
    await asyncio.sleep(SETTLED_S)
    await lose_servers(site)
    since = now()

    def count_open() -> int:
        least = Counter({machine.index: 0 for machine in site.machines})
        calls = (c for c in site.history.calls if c.kind is Kind.OPEN and c.ended_at)
        least.update(call.instance for call in calls if call.sent_at > since)
        return min(least.values())

    with site.note(LOST_SERVERS):
        return await wait_until(count_open, ENOUGH)
