"""The leader dies as its `succeeded` is stored; the next order confuses all others."""

from __future__ import annotations

import asyncio
import os
import random
import signal
from pathlib import Path

from trial.rollouts import (
    BAD_ANSWERS,
    ENGINES,
    EXPOSE_SHARE,
    EXPOSE_SLACK,
    ROLLBACK_S,
    Rollout,
)
from trial.site import IS_TROUBLED, Machine, Site, run_case
from trial.worker import Request, Worker, answer, stream

EVENTS = 6
GAP_S = 0.06
WARM_S = 5.0
FIRST_DEADLINE_S = 16.0
SECOND_AFTER_S = float(os.environ.get("SECOND_AFTER_S", "0.2"))
"""Time from the first success to the second order."""
SECOND_DEADLINE_S = 24.0
AFTER_S = 12.0
DOWN_S = 3.5
CONTACT_S = 3.0
BAD_SHARE = 0.33
SLOTS = 128


class Successive(Rollout):
    """Plays a good roll-out and, right after it, a bad one."""

    def __init__(self, site: Site) -> None:
        super().__init__(site, service=ENGINES, behave=self._generate)
        self.second_at = float("inf")
        self.killed: Machine | None = None
        self.killed_at = float("inf")
        self._succeeded = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []
        site.store.on_append = self._see_append

    async def _generate(
        self, worker: Worker, request: Request, writer: asyncio.StreamWriter
    ) -> None:
        rng = random.Random(f"{worker.version}/{request.id}")
        if worker.version == "v3" and rng.random() < BAD_SHARE:
            await asyncio.sleep(GAP_S)
            await answer(worker, request, writer, b"failed", 500)
            self.note_bad(request)
            return
        await stream(worker, request, writer, events=EVENTS, pause_s=GAP_S)

    def _see_append(self, machine: str, topic: str, body: bytes) -> None:
        if topic != "keyed.status" or b'"succeeded"' not in body:
            return
        if self._succeeded.is_set() or b'"v2"' not in body:
            return
        self.site.record.write(f"status v2 succeeded, stored by {machine}")
        self._succeeded.set()
        if IS_TROUBLED:
            self.killed = next(m for m in self.site.machines if m.name == machine)
            self.killed_at = self.site.record.now()
            self.killed.send(signal.SIGKILL)
            self.site.record.write(f"{machine} killed")

    async def play(self) -> None:  # type: ignore[override]
        """Play both roll-outs."""
        site = self.site
        site.configure(**self._make_tables())
        await self._add_workers("v1")
        await site.start()
        clients = [asyncio.ensure_future(self._ask(n)) for n in range(65)]
        await asyncio.sleep(WARM_S)
        await self._add_workers("v2")
        self._order("v2", FIRST_DEADLINE_S)
        async with asyncio.timeout(FIRST_DEADLINE_S + 3):
            await self._succeeded.wait()
        self._stop_workers("v1")
        if self.killed is not None:
            self._tasks.append(asyncio.ensure_future(self._bring_back(self.killed)))
        await asyncio.sleep(SECOND_AFTER_S)
        await self._add_workers("v3")
        self.second_at = site.record.now()
        self._order("v3", SECOND_DEADLINE_S)
        self._tasks.append(asyncio.ensure_future(self._follow_second()))
        await asyncio.sleep(SECOND_DEADLINE_S + AFTER_S)
        self._is_over = True
        await asyncio.gather(*clients)
        for task in self._tasks:
            task.cancel()

    async def _add_workers(self, version: str) -> None:
        for zone in range(4):
            await self.site.add_worker(
                ENGINES, self._generate, zone=zone, version=version, slots=SLOTS
            )

    def _stop_workers(self, version: str) -> None:
        for worker in [w for w in self.site.workers if w.version == version]:
            worker.stop(resets=True)
            self.site.store.put("keyed.servers", worker.id, b"")

    def _order(self, version: str, deadline_s: float) -> None:
        order = {"service": ENGINES, "target": version, "deadline_s": deadline_s}
        self.site.store.put("keyed.op", f"rollout/{ENGINES}", order)
        self.site.record.write(f"operator orders {version}, deadline {deadline_s} s")

    async def _bring_back(self, machine: Machine) -> None:
        assert machine.process is not None
        await machine.process.wait()
        await asyncio.sleep(DOWN_S)
        await self.site.start_machine(machine)

    async def _follow_second(self) -> None:
        site = self.site
        while True:
            await asyncio.sleep(0.02)
            status = site.store.read_json("keyed.status", f"rollout/{ENGINES}")
            state = str(status.get("state", ""))
            if status.get("target") != "v3" or state == self.state:
                continue
            self.state = state
            site.record.write(f"status v3 {state}")
            if state == "succeeded":
                self._stop_workers("v2")
                return
            if state == "reverted":
                await asyncio.sleep(4)
                for worker in [w for w in site.workers if w.version == "v3"]:
                    worker.state = "draining"
                    site.publish(worker)
                return

    def _is_in_touch(self, address: str, at: float) -> bool:
        machine = self.killed
        if machine is None or address != machine.front:
            return True
        return at < self.killed_at

    def check(self) -> list[str]:
        """Return how the rule EXPOSURE was broken by machines in touch."""
        until = self.second_at + SECOND_DEADLINE_S
        runs = [
            r for r in self.runs if self._is_in_touch(self.sent[r.id].address, r.at)
        ]
        reached = {r.id for r in self.runs if self.second_at <= r.at <= until}
        exposed = {
            r.id for r in runs if self.second_at <= r.at <= until and r.version == "v3"
        }
        allowed = EXPOSE_SHARE * len(reached) + EXPOSE_SLACK
        print(f"status of v3: {self.state}; {len(exposed)} of {len(reached)} requests")
        print(f"ran on it from its order to its time limit, {allowed:.0f} allowed")
        late = [s for s in self.sent.values() if s.at > until]
        served = sum(s.answer.status == 200 and s.answer.is_whole for s in late)
        print(f"{served} of {len(late)} requests after its time limit answered with 200")
        broken = []
        if len(exposed) > allowed:
            broken.append(f"EXPOSURE: {len(exposed)} requests, {allowed:.0f} allowed")
        if len(self.bad_at) >= BAD_ANSWERS:
            since = self.bad_at[BAD_ANSWERS - 1] + ROLLBACK_S
            after = [
                r for r in runs if r.version == "v3" and self.sent[r.id].at > since
            ]
            if after:
                broken.append(
                    f"EXPOSURE: {len(after)} requests that were sent over "
                    f"{ROLLBACK_S:g} s after the {BAD_ANSWERS}th bad answer ran on v3"
                )
        return broken


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
