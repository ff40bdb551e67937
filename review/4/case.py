"""A new version makes half of its answers six times slower; it is promoted."""

from __future__ import annotations

import asyncio
import random
from pathlib import Path

from trial.rollouts import ENGINES, NEW, Rollout, play_rollout
from trial.site import IS_TROUBLED, Site, run_case
from trial.worker import Request, Worker, encode_event, make_head

EVENTS = 6
FIRST_S = 0.1
GAP_S = 0.2
SLOW_X = 6
BAD_SHARE = 0.5


def make(site: Site) -> Rollout:
    """Return a roll-out of a version that generates slowly."""

    async def generate(
        worker: Worker, request: Request, writer: asyncio.StreamWriter
    ) -> None:
        drawn = random.Random(f"{worker.version}/{request.id}").random()
        is_bad = IS_TROUBLED and worker.version == NEW and drawn < BAD_SHARE
        gap_s = GAP_S * (SLOW_X if is_bad else 1)
        await asyncio.sleep(FIRST_S)
        fields = {
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
            "X-Weight-Versions": worker.version.lstrip("v"),
        }
        writer.write(make_head(request, 200, fields))
        first = int(request.fields.get("last-event-id", "0")) + 1
        for number in range(first, EVENTS + 1):
            if number > first:
                await asyncio.sleep(gap_s)
            writer.write(encode_event(request, number))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        if is_bad:
            rollout.note_bad(request)

    rollout = Rollout(site, service=ENGINES, behave=generate)
    return rollout


run_case(lambda folder: play_rollout(folder, make), Path(__file__).resolve().parent)
