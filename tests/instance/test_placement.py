"""Tests of asking the keepers of engines, without a network."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import msgspec
import pytest

from baobabthread.core.backends.loads import Part, ReadingEnd
from baobabthread.instance.clock import now
from baobabthread.instance.placement import (
    REPLY_TIMEOUT_S,
    LoadsReply,
    LoadsRequest,
    Placement,
    PromptEnded,
    PromptPlaced,
)

ENGINES = [f"e{number}" for number in range(12)]
PART = Part(key=5, tokens=300)


class Net:
    """Deliver messages among placements at once, but for those of dead instances."""

    def __init__(self, *names: str) -> None:
        self.dead: set[str] = set()
        self.sent = 0
        self.members = {
            name: Placement(me=name, send=self._make_tell(name)) for name in names
        }
        for member in self.members.values():
            member.set_members(list(names))

    def _make_tell(self, sender: str) -> Callable[[str, msgspec.Struct], None]:
        def tell(to: str, message: msgspec.Struct) -> None:
            self.sent += 1
            if to not in self.dead:
                loop = asyncio.get_running_loop()
                loop.call_soon(self._deliver, sender, to, message)

        return tell

    def _deliver(self, sender: str, to: str, message: msgspec.Struct) -> None:
        member = self.members[to]
        match message:
            case LoadsRequest():
                member.handle_request(sender, message)
            case LoadsReply():
                member.handle_reply(message)
            case PromptPlaced():
                member.handle_placed(sender, message)
            case PromptEnded():
                member.handle_ended(sender, message)


def test_know_what_another_instance_has_placed() -> None:
    async def case() -> None:
        net = Net("a", "b", "c")
        prompt = net.members["a"].place("e1", reading_s=0.4, lasts_s=9.0, parts=(PART,))
        await asyncio.sleep(0)
        loads = await net.members["b"].query_loads(ENGINES, (PART,))
        assert set(loads) == set(ENGINES)
        assert loads["e1"].wait_s == pytest.approx(0.4, abs=0.05)
        assert loads["e1"].kept_tokens == 300
        assert loads["e2"].wait_s == 0.0
        prompt.end(ReadingEnd.BEGUN)
        prompt.end(ReadingEnd.SILENT)
        await asyncio.sleep(0)
        loads = await net.members["c"].query_loads(["e1"], (PART,))
        assert loads["e1"].wait_s == 0.0

    asyncio.run(case())


def test_go_on_without_a_keeper_that_is_gone() -> None:
    """A keeper is paused: its engines' loads are unknown, those of others are not.

    It costs one short wait; for a while nobody waits for it again.
    """

    async def case() -> None:
        net = Net("a", "b", "c")
        net.dead = {"b"}
        began = now()
        loads = await net.members["a"].query_loads(ENGINES, ())
        assert 0 < len(loads) < len(ENGINES)
        assert now() - began >= REPLY_TIMEOUT_S * 0.9
        sent = net.sent
        again = await net.members["a"].query_loads(ENGINES, ())
        assert set(again) == set(loads)
        # One question and one answer, to and from the keeper that lives.
        assert net.sent - sent == 2

    asyncio.run(case())


def test_find_loads_again_when_the_keepers_change() -> None:
    """A keeper ends, and another one takes its engines over.

    It starts with nothing and knows within a placement or two what waits there.
    """

    async def case() -> None:
        net = Net("a", "b", "c")
        for member in net.members.values():
            member.set_members(["a", "c"])
        for engine in ENGINES:
            net.members["a"].place(engine, reading_s=0.3, lasts_s=9.0, parts=())
        await asyncio.sleep(0)
        loads = await net.members["c"].query_loads(ENGINES, ())
        assert min(load.wait_s for load in loads.values()) > 0.2

    asyncio.run(case())


def test_ask_each_keeper_once() -> None:
    async def case() -> None:
        net = Net("a", "b", "c")
        await net.members["a"].query_loads(ENGINES, (PART,))
        assert net.sent <= 4

    asyncio.run(case())
