"""Cancellation while a response of the store is read."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from baobabthread.platform.store import _read_body
from tests.platform.site import run

STEPS = 12
"""One test case per number of event loop iterations before the cancellation."""
CHUNKS = 1000


class LongResponse:
    """A response whose next chunk is always available."""

    def __init__(self) -> None:
        self.chunks = 0

    async def read_chunk(self) -> bytes:
        """Return a chunk after one iteration of the event loop."""
        await asyncio.sleep(0)
        self.chunks += 1
        return b"x" if self.chunks < CHUNKS else b""


@pytest.mark.parametrize("steps", range(STEPS))
def test_cancel_while_a_chunk_arrives(steps: int) -> None:
    """A reader is cancelled just as a chunk of a response arrives.

    If the cancellation were swallowed with the end of the wait for that chunk, the
    reader would run on, retry the closed store forever, and the process would not exit.
    """

    async def case() -> None:
        response: Any = LongResponse()
        reader = asyncio.ensure_future(_read_body(response))
        for _ in range(steps):
            await asyncio.sleep(0)
        reader.cancel()
        await asyncio.wait({reader})
        assert reader.cancelled()

    run(case())
