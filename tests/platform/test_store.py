"""Responses of the store: eras, and cancellation while one is read."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from baobabthread.instance.store import StoreError
from baobabthread.platform.store import PlatformStore, _read_body
from tests.platform.fakestore import OPERATORS, FakeStore
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


@pytest.mark.parametrize(
    ("value", "era"),
    [(1, 1), ("7", 7), (None, 0), ("", 0), ("-1", 0), ("1.5", 0), ("9" * 40, 0)],
)
def test_read_the_era_of_each_response(value: int | str | None, era: int) -> None:
    async def case() -> None:
        fake = await FakeStore().start()
        store = PlatformStore(address=fake.address, connect_s=0.3)
        eras: list[int] = []
        store.on_era = eras.append
        fake.era = value
        await store.newest(OPERATORS, 0.5)
        fake.fault = "busy"
        with pytest.raises(StoreError):
            await store.newest(OPERATORS, 0.5)
        assert eras == [era, era]
        store.close()
        fake.close()

    run(case())


def test_name_the_reason_of_a_call_that_timed_out() -> None:
    """The error of a call without a response named its path and nothing else."""

    async def case() -> None:
        fake = await FakeStore().start()
        store = PlatformStore(address=fake.address, connect_s=0.3)
        fake.fault = "silent"
        with pytest.raises(StoreError, match="/-/log-newest: response timed out"):
            await store.newest(OPERATORS, 0.1)
        store.close()
        fake.close()

    run(case())
