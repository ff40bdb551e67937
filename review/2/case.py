"""Workers that leave finish their streams; the last of them are cut for clients."""

from __future__ import annotations

import asyncio
import json
import random
from pathlib import Path

from trial.client import HOST, Answer, ask, make_id, make_request, read_answer
from trial.site import (
    IS_TROUBLED,
    REGION,
    ZONES,
    Site,
    make_route,
    make_tables,
    run_case,
)
from trial.worker import Request, Worker, make_head

ENGINES = "baobab-lm"
ROUTE = "/sms-bulletin/"
EVENTS = 40
GAP_S = 0.15
WORKERS = 9
RELEASED = 4
"""Workers that are replaced: a share of 0.45, as in the site's troubles."""
CLIENTS = 65
PAUSE_S = 0.3
WARM_S = 14.0
DRAIN_S = 2.0
"""The bound `drain_ms`: a worker that leaves serves on for that long."""
LONGER_S = 0.5
RELEASE_GAP_S = 1.0
AFTER_S = 8.0
ALLOWED = 3
SLOTS = 128


class Attempt:
    """A client attempt, on a connection that the client keeps."""

    def __init__(self, *, id: str, is_kept: bool) -> None:
        self.answer = Answer(id)
        self.is_kept = is_kept
        """Whether the connection had carried a request before."""
        self.ended = ""


class Release:
    """Plays a release: some workers are replaced, one after the other."""

    def __init__(self, site: Site) -> None:
        self.site = site
        self.attempts: dict[str, Attempt] = {}
        self.finished: set[str] = set()
        """Requests whose whole answer a worker has written and closed properly."""
        self._is_over = False

    async def _generate(
        self, worker: Worker, request: Request, writer: asyncio.StreamWriter
    ) -> None:
        """Send a stream that has no length and ends with its connection."""
        fields = {"Content-Type": "text/event-stream", "Connection": "close"}
        await asyncio.sleep(GAP_S)
        writer.write(make_head(request, 200, fields))
        for number in range(1, EVENTS + 1):
            writer.write(f"id: {number}\ndata: {request.id}\n\n".encode())
            await writer.drain()
            await asyncio.sleep(GAP_S)
        writer.close()
        self.finished.add(request.id)

    async def play(self) -> None:
        """Play traffic and, with trouble, a release."""
        site = self.site
        route = make_route(
            ROUTE,
            "streaming",
            ENGINES,
            timeout_ms=25000,
            slo_ms=1000,
            gap_target_ms=1000,
            sticky=True,
        )
        tables = make_tables([route], ENGINES)
        site.configure(**tables)
        old = [
            await site.add_worker(ENGINES, self._generate, zone=n, slots=SLOTS)
            for n in range(WORKERS)
        ]
        await site.start()
        clients = [asyncio.ensure_future(self._ask(n)) for n in range(CLIENTS)]
        await asyncio.sleep(WARM_S)
        leaving = []
        for number, worker in enumerate(old[:RELEASED] if IS_TROUBLED else ()):
            await site.add_worker(ENGINES, self._generate, zone=number, slots=SLOTS)
            leaving.append(asyncio.ensure_future(self._leave(worker)))
            await asyncio.sleep(RELEASE_GAP_S)
        await asyncio.gather(*leaving)
        await asyncio.sleep(AFTER_S)
        self._is_over = True
        await asyncio.gather(*clients)

    async def _leave(self, worker: Worker) -> None:
        """Drain, stop listening, finish what runs, and exit."""
        site = self.site
        worker.state = "draining"
        site.publish(worker)
        site.record.write(f"worker {worker.id} is draining")
        await asyncio.sleep(DRAIN_S + LONGER_S)
        worker.stop_listening()
        site.record.write(f"worker {worker.id} listens no more")
        while worker.running:
            await asyncio.sleep(0.01)
        worker.stop()
        site.store.put("keyed.servers", worker.id, b"")
        site.record.write(f"worker {worker.id} has ended")

    async def _ask(self, number: int) -> None:
        rng = random.Random(number)
        kept: dict[str, tuple[asyncio.StreamReader, asyncio.StreamWriter]] = {}
        addresses: list[str] = []
        asked_at = -9.0
        await asyncio.sleep(rng.random() * 3)
        while not self._is_over:
            now = self.site.record.now()
            if not addresses or now - asked_at > 2:
                addresses, asked_at = await self._resolve(number, rng), now
            if addresses:
                # Clients stop using connections to addresses that are gone.
                for gone in kept.keys() - set(addresses):
                    kept.pop(gone)[1].close()
                address = rng.choice(sorted(kept) or addresses)
                connection = kept.pop(address, None)
                connection = await self._exchange(address, connection, number)
                if connection is not None:
                    kept[address] = connection
            await asyncio.sleep(rng.uniform(0.5, 1.5) * PAUSE_S)
        for _, writer in kept.values():
            writer.close()

    async def _resolve(self, number: int, rng: random.Random) -> list[str]:
        zone = ZONES[number % len(ZONES)]
        path = f"/-/resolve?name={HOST}&region={REGION}&zone={zone}"
        for machine in rng.sample(self.site.machines, len(self.site.machines)):
            answer = await ask(machine.directory, make_request("", path), "", most_s=1)
            if answer.status == 200 and answer.is_whole:
                return list(json.loads(answer.body)["addresses"])
        return []

    async def _exchange(
        self,
        address: str,
        connection: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None,
        number: int,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter] | None:
        """Send a request; return its connection if it may carry another one."""
        id = make_id("c")
        attempt = Attempt(id=id, is_kept=connection is not None)
        self.attempts[id] = attempt
        request = make_request(
            id,
            f"{ROUTE}2f",
            method="POST",
            body=b"p" * 1400,
            timeout_ms=25000,
            X_Model="m1",
            X_Token_Usage="543,280",
            X_Prompt_Prefix=f"5c1e07a2:103,{number + 1:08x}:440",
        )
        try:
            async with asyncio.timeout(26):
                if connection is None:
                    host, _, port = address.rpartition(":")
                    connection = await asyncio.open_connection(host, int(port))
                connection[1].write(request)
                await read_answer(connection[0], attempt.answer)
        except (OSError, asyncio.IncompleteReadError, TimeoutError, ValueError) as error:
            attempt.ended = type(error).__name__
        kept = "kept" if attempt.is_kept else "new"
        self.site.record.write(
            f"client got {attempt.answer} on a {kept} connection {attempt.ended}"
        )
        is_open = attempt.answer.is_whole and (
            attempt.answer.fields.get("connection") != "close"
        )
        if not is_open and connection is not None:
            connection[1].close()
        return connection if is_open else None

    def check(self) -> list[str]:
        """Return how the rule LOST was broken."""
        cut = [
            each
            for each in self.attempts.values()
            if not each.answer.is_whole and each.answer.id in self.finished
        ]
        kept = [each for each in cut if each.is_kept]
        all_events = sum(each.answer.body.count(b"\n\n") == EVENTS for each in cut)
        print(f"{len(self.attempts)} requests, {len(self.finished)} finished by workers")
        print(f"{len(cut)} of these were cut for their client, {all_events} of them")
        print(f"after the last event, {len(kept)} on a kept connection, {ALLOWED} allowed")
        if len(kept) > ALLOWED:
            return [f"LOST: {len(kept)} requests that a sound worker had answered"]
        return []


async def play(folder: Path) -> list[str]:
    """Play the case and return how the rule was broken."""
    site = Site(folder=folder, machines=6)
    try:
        case = Release(site)
        await case.play()
        return case.check()
    finally:
        await site.close()


run_case(play, Path(__file__).resolve().parent)
