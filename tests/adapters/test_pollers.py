"""Loops that ask outside systems."""

from __future__ import annotations

import asyncio
from typing import Any

from baobabthread.adapters.pollers import MAX_ASKED, LoadPoller
from baobabthread.core.events import LoadReported
from baobabthread.ports.engine import Broken, LoadReport


class Engines:
    """Count who was asked; one of them is away."""

    def __init__(self) -> None:
        self.asked: list[str] = []

    async def load(self, address: str, *, timeout_s: float) -> LoadReport | Broken:
        self.asked.append(address)
        if address == "a0":
            return Broken(reason="away", sent=False)
        return LoadReport(running=1, waiting=0, capacity=8, versions=["v"])


def poll_times(times: int, count: int) -> tuple[Engines, list[Any]]:
    engines = Engines()
    events: list[Any] = []
    poller = LoadPoller(
        engine=engines,  # type: ignore[arg-type]
        feed=events.append,
        addresses=lambda: [(f"e{n}", f"a{n}") for n in range(count)],
    )

    async def run() -> None:
        for _ in range(times):
            await poller.poll()

    asyncio.run(run())
    return engines, events


def test_few_engines_are_all_asked() -> None:
    engines, events = poll_times(2, 3)
    assert sorted(engines.asked) == ["a0", "a0", "a1", "a1", "a2", "a2"]
    assert {event.backend for event in events} == {"e1", "e2"}
    assert all(isinstance(event, LoadReported) for event in events)


def test_many_engines_are_asked_in_turn() -> None:
    count = 2 * MAX_ASKED + 3
    engines, _ = poll_times(3, count)
    assert len(engines.asked) == 3 * MAX_ASKED
    assert set(engines.asked) == {f"a{n}" for n in range(count)}
