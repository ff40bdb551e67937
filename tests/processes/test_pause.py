"""The conductor of a service is paused past its lease and wakes."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path
from typing import Any

from bench._cluster import Cluster, Entry

from baobabthread.core.messages import Stream
from baobabthread.core.rollouts.leasefold import LeaseFold
from tests.processes.support import (
    count_warned,
    find_states,
    open_cluster,
    open_load,
    publish,
    read_stream,
    wait_for,
    warn,
)

SECTION = "kalbaishakhi"
SERVICE = "bulletins"
WITHDRAWN = "bulletin-s-2"
ADDED = "bulletin-s-3"
NEW_VERSION = f"""
[versions.{ADDED}]
service = "bulletins"
model = "bulletin-small"
cost = 1.0
"""


def test_paused_conductor_gives_no_old_orders(tmp_path: Path) -> None:
    """Stop the conductor's process past its lease, then let it go on.

    A volunteer's warning reaches the conductor in the pause. Meanwhile a version is
    withdrawn; a successor waits out the lease, claims it with a higher fencing number
    and orders the engines to unload. The old conductor wakes, cut from the log, and
    hears a new text from its peers only: it takes itself for the conductor, yet no
    engine, checking or not, takes an order from it. The warning runs once.
    """

    async def run() -> None:
        async with (
            open_cluster(tmp_path, has_wires=True) as cluster,
            open_load(cluster, rate_per_s=25.0, deadline_s=60.0) as load,
        ):
            await load.wait_answers(20)

            async def is_conducted() -> bool:
                return bool((await _fold_lease(cluster)).holder)

            await wait_for(is_conducted)
            lease = await _fold_lease(cluster)
            paused, others = await _part(cluster, lease.holder)
            key = f"{lease.holder}/warning-1"
            paused.process.send(signal.SIGSTOP)
            warning = asyncio.ensure_future(
                warn(cluster, paused, own_id="warning-1", key=key, deadline_s=60.0)
            )
            text = cluster.texts[SECTION].replace(
                f"[versions.{WITHDRAWN}]",
                f'[versions.{WITHDRAWN}]\nstate = "withdrawn"',
            )
            taken = await publish(
                cluster, others[0], record_id="p1", section=SECTION, text=text
            )
            assert taken.status == 200, taken

            async def is_succeeded() -> bool:
                return (await _fold_lease(cluster)).holder != lease.holder

            await wait_for(is_succeeded)
            await wait_for(lambda: _is_unloaded(cluster))
            repeat = await warn(cluster, others[0], own_id="warning-1", key=key)
            assert repeat.ran == "unknown"
            before = await _list_orders(cluster)

            cluster.wires[paused.name].cut()
            paused.process.send(signal.SIGCONT)
            answer = await warning
            # What it knows is out of date, so it may refuse before it has caught up.
            assert answer.status == 200 or answer.ran == "no", answer
            await wait_for(lambda: _is_back(cluster, paused, others))
            text = text.replace(f'"{WITHDRAWN}"]', f'"{WITHDRAWN}", "{ADDED}"]')
            text += NEW_VERSION
            again = await publish(
                cluster, others[0], record_id="p2", section=SECTION, text=text
            )
            assert again.status == 200, again

            async def is_in_force() -> bool:
                generation = (await cluster.dump(paused))["generation"]
                return bool(generation >= again.body["generation"])

            await wait_for(is_in_force)
            await wait_for(lambda: _is_ordered(cluster))
            answer = await warn(cluster, paused, own_id="warning-1", key=key)
            assert answer.status == 200, answer
            await load.wait_answers(40)
            cluster.wires[paused.name].heal()
            await load.wait_answers(40)
            evidence, timed = await load.finish(settles=False)
            _check_orders(before, await _list_orders(cluster), lease.holder)
            assert await count_warned(cluster, "warning-1") == 1
            counts = evidence.count([each.record for each in timed])
            assert (counts.doubled, counts.lost, counts.wrong) == (0, 0, 0)
            assert (counts.cut, counts.ran_though_refused) == (0, 0)

    asyncio.run(run())


def _check_orders(
    before: dict[str, list[Any]], after: dict[str, list[Any]], holder: str
) -> None:
    """Check that orders come by rising numbers, and none from the old conductor."""
    for backend, orders in after.items():
        fences = [order["fence"] for order in orders]
        assert fences == sorted(fences), backend
        given = orders[len(before[backend]) :]
        assert holder not in {order["conductor"] for order in given}, backend


async def _fold_lease(cluster: Cluster) -> LeaseFold:
    """Return who conducts the service, as every reader of the log sees it."""
    lease = LeaseFold(service=SERVICE)
    for record in await read_stream(cluster, Stream.ROLLOUTS):
        lease.apply(record)
    return lease


async def _part(cluster: Cluster, incarnation: str) -> tuple[Entry, list[Entry]]:
    """Return the entry of an incarnation, and all others."""
    entries = list(cluster.entries.values())
    incarnations = [(await cluster.dump(entry))["incarnation"] for entry in entries]
    paused = entries[incarnations.index(incarnation)]
    return paused, [entry for entry in entries if entry is not paused]


async def _read_engines(cluster: Cluster) -> dict[str, Any]:
    pages = {}
    for name, address in cluster.backends.items():
        if not name.startswith(SERVICE):
            continue
        async with cluster.session.get(f"http://{address}/control") as response:
            pages[name] = await response.json(content_type=None)
    return pages


async def _list_orders(cluster: Cluster) -> dict[str, list[Any]]:
    pages = await _read_engines(cluster)
    return {name: page["orders"] for name, page in pages.items()}


async def _is_unloaded(cluster: Cluster) -> bool:
    orders = await _list_orders(cluster)
    return all(
        given and WITHDRAWN not in given[-1]["desired"] for given in orders.values()
    )


async def _is_ordered(cluster: Cluster) -> bool:
    """Tell whether some engine was ordered to load the added version."""
    orders = await _list_orders(cluster)
    return any(given and ADDED in given[-1]["desired"] for given in orders.values())


async def _is_back(cluster: Cluster, paused: Entry, others: list[Entry]) -> bool:
    states = [await find_states(cluster, entry) for entry in others]
    return all(each.get(paused.name) == "alive" for each in states)
