"""The stand-in of a plain service."""

from __future__ import annotations

import asyncio
from typing import Any, ClassVar

import msgspec
from aiohttp import web

from baobabthread.standins.runs import RunCounts
from baobabthread.standins.server import (
    FAULTS,
    Server,
    drop_connection,
    refuse,
    reply_json,
)

RETRY_AFTER_S = 0.2


@FAULTS.register("plain")
class PlainFaults(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Hold the settings that a test may switch at a plain service."""

    delay_ms: float = 0.0
    lose_replies: float = 0.0
    """Probability that the call runs and its reply is lost."""
    cut_body: float = 0.0
    """Probability that the body ends before its length."""
    crossed: float = 0.0
    """Probability that the answer carries another request's id."""
    refuse: bool = False
    freeze: bool = False
    leaving: bool = False


class PlainServer(Server):
    """Answer calls and count how often each request ran."""

    __slots__ = ("_last_id", "_thawed", "capacity", "effects", "running_calls", "runs")

    kind: ClassVar[str] = "plain"

    def __init__(self, *, capacity: int = 64, **settings: Any) -> None:
        super().__init__(**settings)
        self.capacity = capacity
        self.running_calls = 0
        self.runs = RunCounts()
        self.effects = RunCounts()
        """Runs by the caller's own id, which is the same under any request id."""
        self._last_id = "none"
        self._thawed = asyncio.Event()
        self._thawed.set()

    def add_routes(self, router: web.UrlDispatcher) -> None:
        """Add the routes of calls and run counts."""
        router.add_post("/calls/{call}", self._call)
        router.add_get("/runs/{request_id}", self._show_runs)
        router.add_post("/control/effects", self.effects.show_many)

    def describe(self) -> dict[str, object]:
        """Return what the control page shows."""
        return {
            **super().describe(),
            "capacity": self.capacity,
            "running": self.running_calls,
            **self.runs.describe(),
        }

    def on_faults(self) -> None:
        """Wake the calls that a freeze holds when it ends."""
        if self.faults.freeze:
            self._thawed.clear()
        else:
            self._thawed.set()

    async def _call(self, request: web.Request) -> web.StreamResponse:
        body = await request.read()
        request_id = request.headers.get("X-Request-Id", "")
        if self.faults.leaving:
            return refuse("leaving", status=503)
        if self.faults.refuse:
            return refuse("refused", status=503)
        if self.running_calls >= self.capacity:
            return refuse("busy", status=429, retry_after_s=RETRY_AFTER_S)
        own_id = _read_own_id(body)
        if not request_id or own_id is None:
            return refuse("bad_request", status=400)
        self.running_calls += 1
        try:
            self.runs.add(request_id)
            if own_id:
                self.effects.add(own_id)
            return await self._run(request, request_id, body)
        finally:
            self.running_calls -= 1

    async def _run(
        self, request: web.Request, request_id: str, body: bytes
    ) -> web.StreamResponse:
        if self.faults.delay_ms:
            await asyncio.sleep(self.faults.delay_ms / 1000)
        await self._thawed.wait()
        if self.roll(self.faults.lose_replies):
            return drop_connection(request)
        answered_id = request_id
        if self.roll(self.faults.crossed):
            answered_id = f"not-{self._last_id}"
        self._last_id = request_id
        result = {"call": request.match_info["call"], "echo": msgspec.Raw(body)}
        answer = {"request_id": answered_id, "result": result}
        if self.roll(self.faults.cut_body):
            return await cut_body(request, msgspec.json.encode(answer))
        return reply_json(answer)

    async def _show_runs(self, request: web.Request) -> web.Response:
        request_id = request.match_info["request_id"]
        return reply_json({"runs": self.runs.get(request_id)})


async def cut_body(request: web.Request, body: bytes) -> web.StreamResponse:
    """Announce the whole length, send half of the body and cut the connection."""
    response = web.StreamResponse()
    response.content_type = "application/json"
    response.content_length = len(body)
    await response.prepare(request)
    await response.write(body[: len(body) // 2])
    # Let the half leave before the cut: an abort drops what is still buffered.
    await asyncio.sleep(0)
    if request.transport is not None:
        request.transport.close()
    return response


def _read_own_id(body: bytes) -> str | None:
    """Return the caller's own id, empty if there is none; None if it isn't JSON."""
    try:
        value = msgspec.json.decode(body)
    except msgspec.MsgspecError:
        return None
    return str(value.get("id", "")) if isinstance(value, dict) else ""
