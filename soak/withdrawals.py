"""Servers whose records say that they leave, or are removed, and that serve on."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator

from soak.history import Call, History, Run, Withdrawal
from soak.notices import DRAIN_S
from soak.promises import CONTACT_S, PROMISES
from soak.site import Backend, Site

WITHDRAWN = "record withdrawn"
SERVES_ON_S = 6.0
"""Time for which a server serves on without a record."""
SETTLE_S = 0.8
STORE = "store"
OUT_OF_TOUCH = ("term", "kill", "pause", "cut", "hup")
"""Faults after which an instance is held to nothing for a while."""


@PROMISES.register("withdrawn records")
def check_withdrawals(history: History) -> Iterator[str]:
    """Find requests at a server well after a sound store had withdrawn its record."""
    calls = {call.id: call for call in history.calls}
    withdrawn = {each.backend: each for each in reversed(history.withdrawals)}
    for run in history.runs:
        call = calls.get(run.id)
        word = withdrawn.get(run.backend)
        if call is None or word is None or run.at <= word.at + DRAIN_S:
            continue
        if not _is_excused(history, word, call, run):
            late_s = run.at - word.at
            yield f"{run.id}: i{call.instance} to {run.backend} {late_s:.2f} s after"


def _is_excused(history: History, word: Withdrawal, call: Call, run: Run) -> bool:
    """Return whether the store was not stable or the instance out of touch."""
    store = history.disturbed(call.instance, word.at - CONTACT_S, run.at)
    if any(name.startswith(STORE) for name in store):
        return True
    own = history.disturbed(call.instance, run.at - CONTACT_S, run.at)
    return any(name.startswith(OUT_OF_TOUCH) for name in own)


async def withdraw_record(site: Site, backend: Backend) -> None:
    """Replace a server whose record is removed without a word; it serves on."""
    with site.note(f"configuration: {WITHDRAWN}"):
        await site.add_backend(backend.fake.service)
        site.withdraw_record(backend)
        await asyncio.sleep(SERVES_ON_S)
        with site.note("backend gone"):
            backend.troubles += 1
            site.remove_backend(backend)
            await asyncio.sleep(SETTLE_S)
