"""Reading the store's answers while the instance is told to stop."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from baobabthread.platform.store import _read_body
from tests.platform.site import run

STEPS = 12
"""Turns of the loop after which the reader is cancelled, one case for each."""
PARTS = 1000


class LongAnswer:
    """Have the next part of an answer ready at any time."""

    def __init__(self) -> None:
        self.parts = 0

    async def read_chunk(self) -> bytes:
        """Return a part after one turn of the loop."""
        await asyncio.sleep(0)
        self.parts += 1
        return b"x" if self.parts < PARTS else b""


@pytest.mark.parametrize("steps", range(STEPS))
def test_end_when_a_cancellation_meets_an_answer(steps: int) -> None:
    """An instance is told to stop in the moment in which a part of an answer comes.

    The cancellation was taken for that answer's end of waiting and lost: the reader
    went on, met a store that was closed, and asked it for ever; the process stayed.
    """

    async def case() -> None:
        answer: Any = LongAnswer()
        reader = asyncio.ensure_future(_read_body(answer))
        for _ in range(steps):
            await asyncio.sleep(0)
        reader.cancel()
        await asyncio.wait({reader})
        assert reader.cancelled()

    run(case())
