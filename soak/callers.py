"""Callers that keep their connections and note what becomes of each request."""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
from collections.abc import Sequence

from tests.platform.fakecallers import HOST, read_response

from soak.history import Call, Kind, now
from soak.site import Crashing, CrashingPart, Site

PAUSE_S = 0.04
CRASH_PAUSE_S = 0.4
"""Pause of a caller whose request crashes every server: it asks again, unchanged."""
TIMEOUT_S = 4.0
ADDRESSES_S = 2.0
"""How long addresses are kept; one caller in three keeps them three times as long."""
FIRST_PART = "aa"
"""First part of all prompts, also of those with a part that crashes servers."""
SMALL_BODY = b"{}"
UNANSWERED = (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError)
"""How a connection ends before a whole answer, or with bytes that are none."""
WORDS = {Kind.UNSAFE: "POST", Kind.STREAM: "POST", Kind.ONCE: "POST"}


class Caller:
    """Send one request after the other until told to stop."""

    def __init__(
        self,
        *,
        site: Site,
        number: int,
        seed: int,
        crashing: Crashing | CrashingPart | None = None,
        pause_s: float = PAUSE_S,
        kinds: Sequence[Kind] = tuple(Kind),
    ) -> None:
        self._site = site
        self._number = number
        self._rng = random.Random(f"{seed}/{number}")
        self._addresses: list[str] = []
        self._asked_at = -1e9
        self._count = 0
        self._crashing = crashing
        self._pause_s = pause_s if crashing is None else CRASH_PAUSE_S
        self._kinds = kinds
        self._streams: dict[str, tuple[asyncio.StreamReader, asyncio.StreamWriter]] = {}
        self.stopped = False

    async def run(self) -> None:
        """Ask until stopped."""
        while not self.stopped:
            await self._refresh()
            if self._addresses:
                await self._ask(self._rng.choice(self._addresses))
            await asyncio.sleep(self._pause_s * (0.5 + self._rng.random()))
        for _, writer in self._streams.values():
            writer.close()

    async def _refresh(self) -> None:
        keeps_s = ADDRESSES_S * (3 if self._number % 3 == 0 else 1)
        if now() - self._asked_at < keeps_s and self._addresses:
            return
        for machine in self._rng.sample(self._site.machines, len(self._site.machines)):
            with contextlib.suppress(
                OSError, TimeoutError, asyncio.IncompleteReadError
            ):
                async with asyncio.timeout(1.0):
                    self._addresses = await _resolve(machine.directory)
                self._asked_at = now()
                return

    async def _ask(self, address: str) -> None:
        call = self._make_call(address)
        self._site.history.calls.append(call)
        try:
            async with asyncio.timeout(TIMEOUT_S):
                await self._exchange(address, call)
        except UNANSWERED:
            self._drop(address)
            if call.status == 0:
                self._addresses = [a for a in self._addresses if a != address]
        call.ended_at = now()

    def _make_call(self, address: str) -> Call:
        self._count += 1
        crashing = self._crashing
        part = ""
        if isinstance(crashing, CrashingPart):
            # Nothing but the part is the same in each request.
            part, crashing = crashing.id, None
        machines = self._site.machines
        index = next((m.index for m in machines if m.front == address), -1)
        return Call(
            id=f"c{self._number}-{self._count}",
            kind=crashing.kind if crashing else self._choose_kind(part),
            instance=index,
            key=self._site.find_key(crashing) if crashing else self._choose_key(),
            sent_at=now(),
            mark=crashing.mark if crashing else "",
            part=part,
        )

    def _choose_kind(self, part: str) -> Kind:
        kinds = [kind for kind in self._kinds if kind.is_stream or not part]
        return self._rng.choice(kinds)

    def _choose_key(self) -> str:
        revoked = list(self._site.history.revoked)
        if revoked and self._rng.random() < 0.15:
            # Somebody who lost a key goes on trying it.
            return self._rng.choice(revoked)
        return self._rng.choice(self._site.keys)

    async def _exchange(self, address: str, call: Call) -> None:
        kept = self._streams.get(address)
        call.kept = kept is not None
        if kept is None:
            ip, _, port = address.rpartition(":")
            kept = await asyncio.open_connection(ip, int(port))
            self._streams[address] = kept
        reader, writer = kept
        call.sent_at = now()
        writer.write(self._render(call))
        await writer.drain()
        call.wrote_all = True
        answer = await read_response(reader)
        call.status = answer.status
        call.whole = answer.is_complete
        call.signed = "x-response-signature" in answer.headers
        call.own_id = answer.headers.get("x-attempt-id") == call.id
        call.body = answer.body[:64]
        call.event_ids = answer.event_ids
        if call.kind.is_stream and answer.status == 200:
            call.stray = answer.stray_bytes[:64]
        if (
            not answer.is_complete
            or answer.headers.get("connection", "").lower() == "close"
        ):
            self._drop(address)

    def _render(self, call: Call) -> bytes:
        body = SMALL_BODY if call.kind in WORDS else b""
        body = call.mark.encode() or body
        if call.part:
            body = f"{{{call.id}}}".encode()
        fields = {
            "Host": HOST,
            "X-Attempt-Id": call.id,
            "X-Timeout-Ms": str(int(TIMEOUT_S * 1000)),
            "Authorization": f"Token {call.key}",
            "X-Tenant": "forged",
            "Session": f"s{self._number}-{self._count // 5}",
        }
        if call.kind.is_stream:
            fields["X-Model"] = "*"
            fields["X-Token-Usage"] = "100,20"
            parts = self._draw_parts(call)
            fields["X-Prompt-Prefix"] = ",".join(f"{part}:30" for part in parts)
        if body:
            fields["Content-Length"] = str(len(body))
        lines = [f"{WORDS.get(call.kind, 'GET')} /{call.kind}/x HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in fields.items()]
        return ("\r\n".join(lines) + "\r\n\r\n").encode() + body

    def _draw_parts(self, call: Call) -> list[str]:
        """Return the parts of a prompt; requests that are alike have the same ones."""
        if call.mark:
            return [FIRST_PART, "bb0", call.mark.replace(" ", "")]
        parts = [FIRST_PART, f"bb{self._rng.randrange(9)}"]
        if call.part:
            parts.insert(self._rng.randrange(len(parts) + 1), call.part)
        return [*parts, call.id]

    def _drop(self, address: str) -> None:
        stream = self._streams.pop(address, None)
        if stream is not None:
            stream[1].close()


async def _resolve(directory: str) -> list[str]:
    ip, _, port = directory.rpartition(":")
    reader, writer = await asyncio.open_connection(ip, int(port))
    try:
        request = f"GET /-/resolve?name={HOST}&zone=z0 HTTP/1.1\r\nHost: x\r\n\r\n"
        writer.write(request.encode())
        answer = await read_response(reader)
        return list(json.loads(answer.body)["addresses"])
    finally:
        writer.close()
