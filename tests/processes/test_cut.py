"""An entry is cut from all other entries under load, not from the log."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

from bench._cluster import Cluster, Entry

from baobabthread.load.caller import Result
from tests.processes.cut_entry import CUTS_VARIABLE
from tests.processes.support import (
    count_warned,
    find_states,
    open_cluster,
    open_load,
    publish,
    wait_for,
    warn,
)

SECTION = "kalbaishakhi"


def test_cut_entry_doubles_nothing(tmp_path: Path) -> None:
    """Cut one entry from its peers, warn at both sides, and heal the cut.

    Each side holds the other dead, and both still reach the log. A volunteer repeats a
    warning across the cut: with a bound key the other side can't ask its owner and says
    that it may have run; with a free key both sides claim and the log lets one win. A
    publish at one side reaches the other by the log. After the cut has healed all are
    members again, every warning ran at most once, and each answer has one bill.
    """
    cuts = tmp_path / "cuts"
    cuts.write_text("")

    async def run() -> None:
        async with (
            open_cluster(
                tmp_path,
                module="tests.processes.cut_entry",
                environment={CUTS_VARIABLE: str(cuts)},
            ) as cluster,
            open_load(cluster) as load,
        ):
            *others, cut = cluster.entries.values()
            await load.wait_answers(20)
            cuts.write_text("\n".join(f"{cut.peer_port}-{e.peer_port}" for e in others))
            incarnation = (await cluster.dump(cut))["incarnation"]
            key = f"{incarnation}/bound-1"
            answer = await warn(cluster, cut, own_id="bound-1", key=key)
            assert answer.status == 200
            repeat = await warn(cluster, others[0], own_id="bound-1", key=key)
            assert repeat.ran == "unknown"

            await wait_for(lambda: _is_parted(cluster, cut, others))
            await _claim_at_both_sides(cluster, cut, others[0])
            text = cluster.texts[SECTION].replace("weight = 4", "weight = 6", 1)
            taken = await publish(
                cluster, others[0], record_id="p1", section=SECTION, text=text
            )
            assert taken.status == 200, taken

            async def is_in_force() -> bool:
                generation = (await cluster.dump(cut))["generation"]
                return bool(generation >= taken.body["generation"])

            await wait_for(is_in_force)
            await load.wait_answers(20)
            cuts.write_text("")
            await wait_for(lambda: _is_whole(cluster))
            again = await warn(cluster, others[0], own_id="bound-1", key=key)
            assert (again.status, again.body) == (200, answer.body)
            assert await count_warned(cluster, "bound-1") == 1
            await load.wait_answers(20)
            evidence, timed = await load.finish()
            counts = evidence.count([each.record for each in timed])
            assert counts.list_violations() == []
            assert evidence.count_billed_twice() == 0
            assert counts.cut == 0
            answered = [t for t in timed if t.record.result is Result.ANSWERED]
            assert len(answered) >= 60

    asyncio.run(run())


async def _claim_at_both_sides(cluster: Cluster, one: Entry, other: Entry) -> None:
    """Send ten warnings under free keys to both sides at once."""
    ids = [f"free-{number}" for number in range(10)]
    keys = [f"{own_id}~{int(time.time())}" for own_id in ids]
    replies = await asyncio.gather(
        *(
            warn(cluster, entry, own_id=own_id, key=key)
            for own_id, key in zip(ids, keys, strict=True)
            for entry in (one, other)
        )
    )
    for place, own_id in enumerate(ids):
        both = replies[2 * place : 2 * place + 2]
        assert [reply.status for reply in both].count(200) == 1, both
        assert {reply.ran for reply in both} == {"", "unknown"}, both
        assert await count_warned(cluster, own_id) == 1


async def _is_parted(cluster: Cluster, cut: Entry, others: list[Entry]) -> bool:
    there = await find_states(cluster, cut)
    here = await find_states(cluster, others[0])
    parted = all(there.get(other.name, "dead") == "dead" for other in others)
    return parted and here.get(cut.name, "dead") == "dead"


async def _is_whole(cluster: Cluster) -> bool:
    for entry in cluster.entries.values():
        states = await find_states(cluster, entry)
        if any(states.get(name) != "alive" for name in cluster.entries):
            return False
    return True
