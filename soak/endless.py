"""Servers that send without end: what is promised, and how it is pressed."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Iterator

import tests.platform.endlessfakes  # noqa: F401 (registers its behaviours)

from soak.history import EndlessResponse, History
from soak.pressing import ENOUGH, PRESSES, Pressed, wait_until
from soak.promises import PROMISES
from soak.site import PLAIN, Backend, Site

ENDLESS = "endless responses"
"""Name of the fault."""
FRAMING = "endless_extension"
BEHAVIOURS = ("endless_head", "endless_body", "endless_informational", FRAMING)
MAX_BODY_BYTES = 8_000_000
MAX_FRAMING_BYTES = 65_536
BUFFERED_BYTES = 16_000_000
"""Bytes that systems and proxies on the way take before a server notices the reset."""
MAX_LONGER = 2
"""Responses that may send more, as a busy machine passes on a reset late."""
MEMORY_MB = 300
"""Memory that an instance has by its settings."""
ENDED_S = 2.5
"""Time after which each request has ended by its limit."""


@PROMISES.register("endless responses")
def check_endless(history: History) -> Iterator[str]:
    """Find responses without end that were read on, and instances that kept them."""
    longer = [each for each in history.endless if each.sent_bytes > _allow(each)]
    if len(longer) > MAX_LONGER:
        most = max(longer, key=lambda each: each.sent_bytes)
        yield f"{len(longer)} read on, {most.behaviour} for {most.sent_bytes} bytes"
    for instance, peak_mb in history.peak_mb.items():
        if peak_mb > MEMORY_MB:
            yield f"i{instance}: took {peak_mb:.0f} MB"


def _allow(response: EndlessResponse) -> int:
    has_body = response.behaviour == "endless_body"
    return BUFFERED_BYTES + (MAX_BODY_BYTES if has_body else MAX_FRAMING_BYTES)


@contextlib.asynccontextmanager
async def send_without_end(
    site: Site, backend: Backend, behaviour: str
) -> AsyncIterator[None]:
    """Let a server send responses without end while the block runs."""
    first = len(backend.fake.seen)
    with site.note(ENDLESS):
        backend.troubles += 1
        backend.fake.behaviour = behaviour
        try:
            yield
        finally:
            backend.fake.behaviour = "answer"
            await asyncio.sleep(ENDED_S)
            backend.troubles -= 1
            _note(site, backend, behaviour, first)


def _note(site: Site, backend: Backend, behaviour: str, first: int) -> None:
    history = site.history
    history.endless += [
        EndlessResponse(
            backend=backend.fake.id, behaviour=behaviour, sent_bytes=seen.sent_bytes
        )
        for seen in backend.fake.seen[first:]
        if seen.sent_bytes
    ]
    record_peaks(site)


def record_peaks(site: Site) -> None:
    """Record the most memory that each instance has taken."""
    peaks = site.history.peak_mb
    for machine in site.machines:
        peaks[machine.index] = max(
            peaks.get(machine.index, 0.0), machine.read_peak_mb()
        )


@PRESSES.register("forget framing")
async def press_framing(site: Site) -> Pressed:
    """Let servers send sizes of chunks without end, one after the other."""
    count = 0
    plain = [b for b in site.backends.values() if b.fake.service == PLAIN]
    for backend in plain:
        first = len(backend.fake.seen)
        async with send_without_end(site, backend, FRAMING):
            pressed = await wait_until(
                lambda fake=backend.fake, since=first: len(fake.seen) - since,  # type: ignore[misc]
                ENOUGH // len(plain),
            )
        count += pressed.count
    return Pressed(count=count, enough=ENOUGH)
