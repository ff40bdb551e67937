"""The stand-in of the rate-limited weight store."""

from __future__ import annotations

import asyncio
from typing import Any, ClassVar

import msgspec
from aiohttp import web

from baobabthread.standins.server import FAULTS, Server, refuse, reply_json

RETRY_AFTER_S = 0.2


@FAULTS.register("weights")
class WeightFaults(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Hold the settings that a test may switch at the weight store."""

    rate: float = 4.0
    """Loads a second that all clients share; 0 sets no bound."""
    max_loading: int = 4
    outage: bool = False


class WeightServer(Server):
    """Hand out weights one after another at a bounded rate."""

    __slots__ = ("_free_at", "loading", "loads")

    kind: ClassVar[str] = "weights"

    def __init__(self, *, name: str = "weights", **settings: Any) -> None:
        super().__init__(name=name, **settings)
        self.loading = 0
        self.loads = 0
        self._free_at = float("-inf")

    def add_routes(self, router: web.UrlDispatcher) -> None:
        """Add the route of one version's weights."""
        router.add_get("/v1/weights/{version}", self._get)

    def describe(self) -> dict[str, object]:
        """Return what the control page shows."""
        return {**super().describe(), "loading": self.loading, "loads": self.loads}

    async def _get(self, request: web.Request) -> web.Response:
        if self.faults.outage:
            return refuse("outage", status=503, retry_after_s=1)
        if self.loading >= self.faults.max_loading:
            return refuse("busy", status=429, retry_after_s=RETRY_AFTER_S)
        self.loading += 1
        try:
            await asyncio.sleep(self._reserve())
        finally:
            self.loading -= 1
        self.loads += 1
        return reply_json({"version": request.match_info["version"]})

    def _reserve(self) -> float:
        """Take the next place at the store's rate and return the wait for it."""
        if not self.faults.rate:
            return 0.0
        now = self.now()
        self._free_at = max(now, self._free_at) + 1 / self.faults.rate
        return self._free_at - now
