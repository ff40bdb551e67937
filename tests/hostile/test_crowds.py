"""Crowds of clients that ignore the limits, against an instance with little room.

Each test checks that the process lives, that memory and descriptors stay within its
settings, and that one ordinary request is answered afterwards.
"""

from __future__ import annotations

import asyncio
import random
from pathlib import Path

import pytest
from soak.hostile import SCRIPTS, HostileClient, open_crowd

from tests.hostile.support import (
    LISTENERS,
    InstanceProcess,
    make_crowd,
    open_instance,
    run,
)

SECONDS = 4.0
"""Time for which a crowd stays."""
FEW = 60
MANY = 400
MANY_CONNECTIONS_FDS = 1_400
MOST = 1_100
RESETTING = 8
DRAWN_SEEDS = range(6)
CROWDS_PER_SEED = 4


@pytest.mark.parametrize("listener", LISTENERS)
def test_bound_heads_at_each_listener(listener: str, tmp_path: Path) -> None:
    """Heads of large fields without end took eight times the memory of the machine."""

    async def case() -> None:
        async with open_instance(tmp_path) as instance:
            crowd = make_crowd(instance, FEW, "large head", listener=listener)
            await instance.meet(crowd, SECONDS)
            await instance.check()

    run(case())


@pytest.mark.parametrize("script", ["medium head", "short fields", "unread requests"])
def test_bound_what_all_connections_hold(script: str, tmp_path: Path) -> None:
    """Each connection held little, and all of them more than the machine has."""

    async def case() -> None:
        async with open_instance(tmp_path, max_fds=MANY_CONNECTIONS_FDS) as instance:
            await instance.meet(make_crowd(instance, MOST, script), SECONDS)
            await instance.check()

    run(case())


@pytest.mark.parametrize("listener", ["front", "directory", "control"])
@pytest.mark.parametrize("script", ["nothing", "trickled head", "one request"])
def test_keep_descriptors_for_others(
    script: str, listener: str, tmp_path: Path
) -> None:
    """Connections that bring no request took every descriptor of the process."""

    async def case() -> None:
        async with open_instance(tmp_path) as instance:
            crowd = make_crowd(instance, MANY, script, listener=listener, pause_s=0.2)
            await instance.meet(crowd, SECONDS)
            await instance.check()

    run(case())


def test_keep_descriptors_from_bodies_that_trickle(tmp_path: Path) -> None:
    """Bodies that never end took every descriptor of the process."""

    async def case() -> None:
        async with open_instance(tmp_path) as instance:
            crowd = make_crowd(instance, MANY, "trickled body", pause_s=0.2)
            await instance.meet(crowd, SECONDS)
            await instance.check()

    run(case())


def test_answer_callers_beside_silent_connections(tmp_path: Path) -> None:
    """Ordinary callers timed out for as long as silent connections stayed."""

    async def case() -> None:
        async with open_instance(tmp_path) as instance:
            crowd = make_crowd(instance, MANY, "nothing")
            async with open_crowd(crowd):
                await asyncio.sleep(SECONDS)
                await instance.check()

    run(case())


def test_serve_after_callers_that_reset(tmp_path: Path) -> None:
    """A service stayed at 503 for good after a few callers had left while waiting."""

    async def case() -> None:
        async with open_instance(tmp_path, max_fds=MANY_CONNECTIONS_FDS) as instance:
            crowd = make_crowd(
                instance,
                RESETTING,
                "one request",
                keeps_s=0.0005,
                reopen_s=0.0,
                resets=True,
            )
            await instance.meet(crowd, SECONDS)
            await instance.check()

    run(case())


@pytest.mark.parametrize(
    "script", ["empty lines", "chunk extension", "random bytes", "connect", "upgrade"]
)
def test_bear_bytes_that_bring_no_request(script: str, tmp_path: Path) -> None:
    """Bytes without end kept the parser at work on connections that nothing closed."""

    async def case() -> None:
        async with open_instance(tmp_path) as instance:
            await instance.meet(make_crowd(instance, 20, script), SECONDS)
            await instance.check()

    run(case())


def draw_crowds(instance: InstanceProcess, rng: random.Random) -> list[HostileClient]:
    """Draw crowds that differ in what, where, how fast and how long they send."""
    clients = []
    for _ in range(CROWDS_PER_SEED):
        clients += make_crowd(
            instance,
            rng.choice((5, 40, 200)),
            rng.choice(list(SCRIPTS)),
            listener=rng.choice((*LISTENERS, "front", "front", "front")),
            pause_s=rng.choice((0.0, 0.0, 0.01, 0.3)),
            keeps_s=rng.choice((None, 0.0, 0.01, 0.5)),
            resets=rng.random() < 0.5,
        )
    return clients


@pytest.mark.parametrize("seed", DRAWN_SEEDS)
def test_bear_drawn_crowds(seed: int, tmp_path: Path) -> None:
    """Any mix of such clients leaves an instance within its bounds, and serving."""

    async def case() -> None:
        async with open_instance(tmp_path) as instance:
            crowd = draw_crowds(instance, random.Random(seed))
            await instance.meet(crowd, SECONDS)
            await instance.check()

    run(case())
