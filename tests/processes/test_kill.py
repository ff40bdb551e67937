"""An entry is killed under load."""

from __future__ import annotations

import asyncio
import contextlib
import signal
from pathlib import Path

from bench.stop import BROKEN, Ended, is_explained

from baobabthread.load.caller import Result
from tests.processes.support import (
    GONE,
    count_warned,
    open_cluster,
    open_load,
    wait_for,
    warn,
)


def test_killed_entry_doubles_and_loses_nothing(tmp_path: Path) -> None:
    """Kill an entry while warnings run through it.

    A volunteer's warning is being dispatched when its entry dies, so the connection
    breaks. The volunteer repeats the key at other entries, before and after they hold
    the first one dead: both say at once that it may have run, and neither dispatches
    it. The other callers go on; of theirs only what was open at the kill is unknown.
    """

    async def run() -> None:
        async with open_cluster(tmp_path) as cluster, open_load(cluster) as load:
            first, second, third, *_ = cluster.entries.values()
            await load.wait_answers(40)
            incarnation = (await cluster.dump(first))["incarnation"]
            key = f"{incarnation}/lightning-1"
            warning = asyncio.ensure_future(
                warn(cluster, first, own_id="lightning-1", key=key)
            )

            async def was_dispatched() -> bool:
                return await count_warned(cluster, "lightning-1") == 1

            await wait_for(was_dispatched)
            at = asyncio.get_running_loop().time()
            first.process.send(signal.SIGKILL)
            assert await first.process.wait() == -signal.SIGKILL
            del cluster.entries[first.name]
            with contextlib.suppress(*GONE):
                raise AssertionError(f"answered by the dead: {await warning}")

            early = await warn(cluster, second, own_id="lightning-1", key=key)
            assert (early.ran, early.body["kind"]) == ("unknown", "owner_gone")

            async def is_held_dead() -> bool:
                members = (await cluster.dump(third))["members"]
                states = {member["incarnation"]: member["state"] for member in members}
                return states.get(incarnation, "dead") == "dead"

            await wait_for(is_held_dead)
            late = await warn(cluster, third, own_id="lightning-1", key=key)
            assert (late.ran, late.body["kind"]) == ("unknown", "owner_gone")
            await load.wait_answers(40)
            evidence, timed = await load.finish(settles=False)
            assert await count_warned(cluster, "lightning-1") == 1

            counts = evidence.count([each.record for each in timed])
            assert (counts.doubled, counts.lost, counts.wrong) == (0, 0, 0)
            assert counts.ran_though_refused == 0
            kill = Ended(
                name=first.name,
                incarnation=incarnation,
                at=at,
                took_s=0.0,
                exit_code=-signal.SIGKILL,
            )
            broken = [each for each in timed if each.record.result in BROKEN]
            assert [each for each in broken if not is_explained(each, [kill])] == []
            answered = [t for t in timed if t.record.result is Result.ANSWERED]
            assert len(answered) >= 80

    asyncio.run(run())
