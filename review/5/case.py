"""A second roll-out after one that succeeded moves sessions that are in use."""

from __future__ import annotations

import asyncio
import random
from pathlib import Path

from trial.client import make_id, make_request
from trial.rollouts import BULLETIN, ENGINES, Rollout
from trial.site import IS_TROUBLED, Site, run_case
from trial.worker import Request, Worker, stream

EVENTS = 6
GAP_S = 0.06
CLIENTS = 64
SESSIONS = 4
"""Sessions of each client, which sends to them in turn."""
PAUSE_S = 0.55
SESSION_S = 5.0
WARM_S = 5.0
FIRST_DEADLINE_S = 16.0
BETWEEN_S = 6.0
SECOND_DEADLINE_S = 24.0
ALLOWED = 3
SLOTS = 128


class Turn:
    """A request of a session, and where it ran."""

    def __init__(self, *, id: str, session: str, sent_at: float) -> None:
        self.id = id
        self.session = session
        self.sent_at = sent_at
        self.ended_at = 0.0


class Successive(Rollout):
    """Plays two good roll-outs one after the other."""

    def __init__(self, site: Site) -> None:
        super().__init__(site, service=ENGINES, behave=self._generate)
        self.turns: list[Turn] = []
        self.first_at = self.second_at = float("inf")

    async def _generate(
        self, worker: Worker, request: Request, writer: asyncio.StreamWriter
    ) -> None:
        await stream(worker, request, writer, events=EVENTS, pause_s=GAP_S)

    async def play(self) -> None:  # type: ignore[override]
        """Play both roll-outs; without trouble the first one only."""
        site = self.site
        site.configure(**self._make_tables())
        await self._add_workers("v1")
        await site.start()
        clients = [asyncio.ensure_future(self._converse(n)) for n in range(CLIENTS)]
        await asyncio.sleep(WARM_S)
        await self._add_workers("v2")
        self.first_at = site.record.now()
        self._order("v2", FIRST_DEADLINE_S)
        await self._wait_for_success("v2", old="v1", most_s=FIRST_DEADLINE_S + 3)
        await asyncio.sleep(BETWEEN_S)
        self.second_at = site.record.now()
        if IS_TROUBLED:
            await self._add_workers("v3")
            self._order("v3", SECOND_DEADLINE_S)
        await asyncio.sleep(SECOND_DEADLINE_S / 2)
        self._is_over = True
        await asyncio.gather(*clients)

    async def _add_workers(self, version: str) -> None:
        for zone in range(4):
            await self.site.add_worker(
                ENGINES, self._generate, zone=zone, version=version, slots=SLOTS
            )

    def _order(self, version: str, deadline_s: float) -> None:
        order = {"service": ENGINES, "target": version, "deadline_s": deadline_s}
        self.site.store.put("keyed.op", f"rollout/{ENGINES}", order)
        self.site.record.write(f"operator orders {version}, deadline {deadline_s} s")

    async def _wait_for_success(self, version: str, *, old: str, most_s: float) -> None:
        site = self.site
        until = site.record.now() + most_s
        while site.record.now() < until:
            status = site.store.read_json("keyed.status", f"rollout/{ENGINES}")
            if status.get("target") == version and status["state"] == "succeeded":
                site.record.write(f"status {version} succeeded")
                for worker in [w for w in site.workers if w.version == old]:
                    worker.stop(resets=True)
                    site.store.put("keyed.servers", worker.id, b"")
                return
            await asyncio.sleep(0.02)
        raise TimeoutError(f"{version} did not succeed")

    async def _converse(self, number: int) -> None:
        rng = random.Random(number)
        addresses: list[str] = []
        asked_at = -9.0
        count = 0
        await asyncio.sleep(rng.random() * PAUSE_S)
        while not self._is_over:
            now = self.site.record.now()
            if not addresses or now - asked_at > 2:
                addresses, asked_at = await self._resolve(number, rng), now
            if addresses:
                count += 1
                session = f"{number}-{count % SESSIONS}"
                await self._send_turn(rng.choice(addresses), session)
            await asyncio.sleep(rng.uniform(0.9, 1.1) * PAUSE_S)

    async def _send_turn(self, address: str, session: str) -> None:
        id = make_id("c")
        request = make_request(
            id,
            f"{BULLETIN}2f",
            method="POST",
            body=b"p" * 1400,
            timeout_ms=25000,
            X_Model="m1",
            X_Token_Usage="543,30",
            X_Prompt_Prefix=f"5c1e07a2:103,{number_of(session):08x}:440",
            X_Length_Hint="30",
            Session=session,
        )
        turn = Turn(id=id, session=session, sent_at=self.site.record.now())
        self.turns.append(turn)
        await self._exchange(address, id, request)
        turn.ended_at = self.site.record.now()

    def check(self) -> list[str]:
        """Return how the rule PINNED was broken."""
        whole = sum(s.answer.status == 200 for s in self.sent.values())
        print(f"{whole} of {len(self.sent)} requests answered with 200")
        rollouts = [
            ("v1", "v2", self.first_at, FIRST_DEADLINE_S),
            ("v2", "v3", self.second_at, SECOND_DEADLINE_S),
        ]
        return [line for each in rollouts for line in self._check_rollout(*each)]

    def _check_rollout(
        self, old: str, new: str, ordered_at: float, deadline_s: float
    ) -> list[str]:
        version_of = {run.id: run.version for run in self.runs}
        half_at = ordered_at + deadline_s / 2
        last: dict[str, Turn] = {}
        moved = []
        for turn in sorted(self.turns, key=lambda each: each.sent_at):
            before, last[turn.session] = last.get(turn.session), turn
            if before is None or turn.sent_at - before.ended_at >= SESSION_S:
                continue
            versions = (version_of.get(before.id), version_of.get(turn.id))
            if ordered_at <= turn.sent_at < half_at and versions == (old, new):
                moved.append(turn)
                self.site.record.write(
                    f"session {turn.session}: {before.id} on {old}, {turn.id} on "
                    f"{new}, {turn.sent_at - before.ended_at:.2f} s later"
                )
        print(f"first half of the roll-out of {new}: {len(moved)} requests ran on it")
        print(f"though the one before in their session ran on {old}, {ALLOWED} allowed")
        if len(moved) > ALLOWED:
            return [f"PINNED: {len(moved)} requests moved in the first half"]
        return []


def number_of(session: str) -> int:
    """Return a number of its own for each session."""
    client, _, turn = session.partition("-")
    return int(client) * 16 + int(turn) + 1


async def play(folder: Path) -> list[str]:
    """Play the case and return how the rule was broken."""
    site = Site(folder=folder, machines=6)
    try:
        case = Successive(site)
        await case.play()
        return case.check()
    finally:
        await site.close()


run_case(play, Path(__file__).resolve().parent)
