"""Versions under traffic: one turns bad, one is rolled out, at running entries."""

from __future__ import annotations

import asyncio
from collections import Counter

from baobabthread.core.models.selection import Barred
from baobabthread.core.rollouts.rollout import Phase
from tests.shell import Shell, run_case

MOST = 4_000
BATCH = 20
ROLLOUT = """
[rollouts.spring]
service = "bulletins"
old = "small-1"
new = "small-2"
steps = [0.5, 1.0]
hold_s = 0.1
"""


async def ask_many(shell: Shell, count: int, tag: str) -> Counter[str]:
    """Ask in batches over all entries and count the versions that answered."""
    versions: Counter[str] = Counter()

    async def ask(number: int) -> None:
        answer = await shell.chat(
            content=f"{tag} {number} difficulty=0.01",
            entry=number % len(shell.entries),
        )
        assert answer.status == 200, answer.body
        versions[answer.headers["Baobab-Version"]] += 1

    for start in range(0, count, BATCH):
        await asyncio.gather(*(ask(start + number) for number in range(BATCH)))
    return versions


def test_version_that_turns_bad_is_left_everywhere() -> None:
    """Callers meet wrong bulletins that look like good ones, until the version is left.

    The small version turns bad on all servers: it answers as fast and as sure of
    itself as before. Only sampled, late ratings tell. Each of two entries sees half
    of the traffic; one alarm bars the version at both, and callers get the large one.
    """

    async def case(shell: Shell) -> None:
        assert (await ask_many(shell, 800, "before"))["small-1"] > 700
        for name in ("b1", "b2"):
            shell.fleet.engine(name).set_faults({"bad_versions": {"small-1": 1.0}})
        asked = 0
        while asked < MOST and not all(
            entry.core.conductors.list_barred() for entry in shell.entries
        ):
            await ask_many(shell, 100, f"bad {asked}")
            asked += 100
            await asyncio.sleep(0.05)
        for entry in shell.entries:
            barred = {each.version for each in entry.core.conductors.list_barred()}
            assert barred == {"small-1"}
        after = await ask_many(shell, 40, "after")
        assert after == {"large-1": 40}
        await shell.wait_until(
            lambda: all(
                entry.core.conductors.fold.quarantined() for entry in shell.entries
            )
        )
        recorded = shell.entries[0].core.conductors.fold.quarantined()
        assert isinstance(next(iter(recorded)), Barred)

    run_case(case, entries=2)


def test_rollout_goes_through_its_steps() -> None:
    async def case(shell: Shell) -> None:
        await shell.publish(shell.text + ROLLOUT)
        (planned,) = shell.entries[0].core.conductors.fold.planned("bulletins")
        asked = 0
        total: Counter[str] = Counter()
        while asked < MOST and not all(
            _phase(shell, number, planned.id) is Phase.DONE
            for number in range(len(shell.entries))
        ):
            total += await ask_many(shell, 100, f"roll {asked}")
            asked += 100
            await asyncio.sleep(0.05)
        assert [_phase(shell, n, planned.id) for n in (0, 1)] == [Phase.DONE] * 2
        assert total["small-1"]
        assert await ask_many(shell, 40, "after") == {"small-2": 40}

    run_case(case, entries=2)


def _phase(shell: Shell, number: int, rollout: str) -> Phase | None:
    life = shell.entries[number].core.conductors.fold.life(rollout)
    return life.phase if life is not None else None
