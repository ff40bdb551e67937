"""A roll-out of a language model service: clients, workers, operator and the check."""

from __future__ import annotations

import asyncio
import json
import random
import zlib
from collections import Counter
from collections.abc import Callable
from pathlib import Path

from trial.client import HOST, Answer, ask, make_id, make_request, read_answer
from trial.site import (
    REGION,
    ZONES,
    Site,
    make_route,
    make_tables,
)
from trial.worker import Behave, Request, Worker

ENGINES = "baobab-lm"
PLAIN = "alert-gate"
BULLETIN = "/sms-bulletin/"
SIREN = "/siren-call/"
STRIKE = "/strike-push/"
WARM_S = 10.0
"""Traffic before the order, in which the old version shows what is usual."""
DEADLINE_S = 24.0
AFTER_S = 14.0
CLIENTS = 65
PAUSE_S = {ENGINES: 0.6, PLAIN: 2.8}
UNSAFE_SHARE = 0.7
ROLLBACK_S = 5.0
EXPOSE_SHARE = 0.15
EXPOSE_SLACK = 30
BAD_ANSWERS = 50
OLD, NEW = "v1", "v2"


class Sent:
    """A client attempt."""

    def __init__(self, *, id: str, at: float, address: str, answer: Answer) -> None:
        self.id = id
        self.at = at
        self.address = address
        self.answer = answer


class Run:
    """A run of an attempt at a worker."""

    def __init__(self, *, id: str, version: str, at: float) -> None:
        self.id = id
        self.version = version
        self.at = at


class Rollout:
    """Plays one roll-out and checks the rule EXPOSURE on it."""

    def __init__(self, site: Site, *, service: str, behave: Behave) -> None:
        self.site = site
        self.service = service
        self.sent: dict[str, Sent] = {}
        self.runs: list[Run] = []
        self.bad_at: list[float] = []
        """When each bad answer of the new version ended."""
        self.ordered_at = 0.0
        self.state = ""
        self._behave = behave
        self._is_over = False
        note = site.record.note_worker

        def note_run(what: str, worker: Worker, request: Request) -> None:
            note(what, worker, request)
            if what == "run":
                self.runs.append(
                    Run(id=request.id, version=worker.version, at=site.record.now())
                )

        site.record.note_worker = note_run  # type: ignore[method-assign]

    def note_bad(self, request: Request) -> None:
        """Note that the new version has given a bad answer."""
        self.bad_at.append(self.site.record.now())
        self.site.record.write(f"bad answer {len(self.bad_at)} {request.id}")

    async def play(self, trouble: Callable[[], None] = lambda: None) -> None:
        """Play traffic, the order and what the platform does on its status."""
        site = self.site
        site.configure(**self._make_tables())
        slots = 128 if self.service == ENGINES else 6
        for zone in range(4):
            await site.add_worker(
                self.service, self._behave, zone=zone, version=OLD, slots=slots
            )
        await site.start()
        clients = [asyncio.ensure_future(self._ask(n)) for n in range(CLIENTS)]
        await asyncio.sleep(WARM_S)
        for zone in range(4):
            await site.add_worker(
                self.service, self._behave, zone=zone, version=NEW, slots=slots
            )
        order = {"service": self.service, "target": NEW, "deadline_s": DEADLINE_S}
        site.store.put("keyed.op", f"rollout/{self.service}", order)
        self.ordered_at = site.record.now()
        site.record.write(f"operator orders {NEW}, deadline {DEADLINE_S} s")
        trouble()
        platform = asyncio.ensure_future(self._follow())
        await asyncio.sleep(DEADLINE_S + AFTER_S)
        self._is_over = True
        await asyncio.gather(*clients)
        platform.cancel()

    def _make_tables(self) -> dict[str, object]:
        if self.service == PLAIN:
            limits = {"timeout_ms": 600, "slo_ms": 100}
            routes = [
                make_route(SIREN, "non_idempotent", PLAIN, **limits),
                make_route(STRIKE, "idempotent", PLAIN, max_attempts=2, **limits),
            ]
            return make_tables(routes, PLAIN)
        route = make_route(
            BULLETIN,
            "streaming",
            ENGINES,
            timeout_ms=25000,
            slo_ms=1000,
            gap_target_ms=1000,
            max_attempts=3,
            resumable=True,
            sticky=True,
        )
        tables = make_tables([route], ENGINES)
        tables["services"][0] |= {  # type: ignore[index]
            "max_conns": 610,
            "engine": {"slots": 128, "kv_capacity_tokens": 997468},
        }
        return tables

    async def _follow(self) -> None:
        """Do as the pages say when the status changes."""
        site = self.site
        old = [w for w in site.workers if w.version == OLD]
        new = [w for w in site.workers if w.version == NEW]
        while True:
            await asyncio.sleep(0.02)
            status = site.store.read_json("keyed.status", f"rollout/{self.service}")
            state = str(status.get("state", ""))
            if status.get("target") != NEW or state == self.state:
                continue
            self.state = state
            site.record.write(f"status {NEW} {state}")
            if state == "succeeded":
                for worker in old:
                    worker.stop(resets=True)
                    site.store.put("keyed.servers", worker.id, b"")
                return
            if state == "reverted":
                await asyncio.sleep(3)
                for worker in new:
                    worker.state = "draining"
                    site.publish(worker)
                return

    async def _ask(self, number: int) -> None:
        rng = random.Random(number)
        addresses: list[str] = []
        asked_at = -9.0
        session, left = 0, 0
        pause_s = PAUSE_S[self.service]
        await asyncio.sleep(rng.random() * pause_s)
        while not self._is_over:
            now = self.site.record.now()
            if not addresses or now - asked_at > 2:
                addresses, asked_at = await self._resolve(number, rng), now
                if not addresses:
                    await asyncio.sleep(0.3)
                    continue
            if not left:
                session, left = session + 1, rng.randint(2, 6)
            left -= 1
            if self.service == PLAIN:
                path = SIREN if rng.random() < UNSAFE_SHARE else STRIKE
                await self._send_call(rng.choice(addresses), path)
            else:
                await self._send_prompt(rng.choice(addresses), f"{number}-{session}")
            await asyncio.sleep(rng.uniform(0.5, 1.5) * pause_s)

    async def _resolve(self, number: int, rng: random.Random) -> list[str]:
        zone = ZONES[number % len(ZONES)]
        path = f"/-/resolve?name={HOST}&region={REGION}&zone={zone}"
        for machine in rng.sample(self.site.machines, len(self.site.machines)):
            request = make_request("", path)
            answer = await ask(machine.directory, request, "", most_s=1)
            if answer.status == 200 and answer.is_whole:
                return list(json.loads(answer.body)["addresses"])
        return []

    async def _send_call(self, address: str, path: str) -> None:
        """Send a call; one that may be repeated is sent once more after a failure."""
        method, body = ("POST", b"s" * 600) if path == SIREN else ("GET", b"")
        for _ in range(1 if path == SIREN else 2):
            id = make_id("c")
            request = make_request(
                id, f"{path}2f", method=method, body=body, timeout_ms=600
            )
            answer = await self._exchange(address, id, request)
            if 200 <= answer.status < 300 and answer.is_whole:
                return

    async def _send_prompt(self, address: str, session: str) -> None:
        id = make_id("c")
        own = f"{zlib.crc32(session.encode()):08x}"
        request = make_request(
            id,
            f"{BULLETIN}2f",
            method="POST",
            body=b"p" * 1400,
            timeout_ms=25000,
            X_Model="m1",
            X_Token_Usage="543,280",
            X_Prompt_Prefix=f"5c1e07a2:103,{own}:440",
            X_Length_Hint="280",
            Session=session,
        )
        await self._exchange(address, id, request)

    async def _exchange(self, address: str, id: str, request: bytes) -> Answer:
        at = self.site.record.now()
        answer = Answer(id)
        self.sent[id] = Sent(id=id, at=at, address=address, answer=answer)
        host, _, port = address.rpartition(":")
        writer = None
        try:
            async with asyncio.timeout(26):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(request)
                await read_answer(reader, answer)
        except (OSError, asyncio.IncompleteReadError, TimeoutError, ValueError):
            pass
        finally:
            if writer is not None:
                writer.close()
        self.site.record.write(f"client sent {at:.3f} to {address} got {answer}")
        return answer

    def check(self) -> list[str]:
        """Return how the rule EXPOSURE was broken."""
        broken = []
        ends_at = self.ordered_at + DEADLINE_S
        reached = {r.id for r in self.runs if self.ordered_at <= r.at <= ends_at}
        exposed = {
            r.id
            for r in self.runs
            if self.ordered_at <= r.at <= ends_at and r.version == NEW
        }
        allowed = EXPOSE_SHARE * len(reached) + EXPOSE_SLACK
        print(f"status: {self.state}; {len(exposed)} of {len(reached)} requests ran")
        print(f"on {NEW} from the order to its time limit, {allowed:.0f} allowed")
        print(f"{len(self.bad_at)} bad answers of {NEW}")
        statuses = Counter(
            (s.answer.status, s.answer.is_whole) for s in self.sent.values()
        )
        print(f"answers by status and whether whole: {dict(statuses)}")
        if self.bad_at and len(exposed) > allowed:
            broken.append(f"EXPOSURE: {len(exposed)} requests, {allowed:.0f} allowed")
        if len(self.bad_at) >= BAD_ANSWERS:
            since = self.bad_at[BAD_ANSWERS - 1] + ROLLBACK_S
            late = [
                r for r in self.runs if r.version == NEW and self.sent[r.id].at > since
            ]
            if late:
                broken.append(
                    f"EXPOSURE: {len(late)} requests that were sent over "
                    f"{ROLLBACK_S:g} s after the {BAD_ANSWERS}th bad answer ran on {NEW}"
                )
        return broken


async def play_rollout(
    folder: Path, make: Callable[[Site], Rollout], *, machines: int = 6
) -> list[str]:
    """Play a roll-out and return how the rule was broken."""
    site = Site(folder=folder, machines=machines)
    try:
        rollout = make(site)
        await rollout.play()
        return rollout.check()
    finally:
        await site.close()
