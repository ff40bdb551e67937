"""Counts of how often a backend server ran each request."""

from __future__ import annotations

import msgspec
from aiohttp import web

from baobabthread.standins.server import read_body, reply_json

MAX_REQUESTS = 500_000


class Ids(msgspec.Struct, frozen=True):
    """Ask for the runs of callers' own ids."""

    ids: list[str]


class RunCounts:
    """Count runs by request id, bounded by dropping the oldest ids."""

    __slots__ = ("_counts", "repeated", "total")

    def __init__(self) -> None:
        self._counts: dict[str, int] = {}
        self.total = 0
        self.repeated = 0

    def add(self, request_id: str) -> None:
        """Count one more run of a request."""
        self.total += 1
        count = self._counts.get(request_id, 0) + 1
        self._counts[request_id] = count
        if count == 2:
            self.repeated += 1
        if len(self._counts) > MAX_REQUESTS:
            del self._counts[next(iter(self._counts))]

    def get(self, request_id: str) -> int:
        """Return how often a request ran."""
        return self._counts.get(request_id, 0)

    async def show_many(self, request: web.Request) -> web.Response:
        """Answer how often each of many requests ran."""
        ids = (await read_body(request, Ids)).ids
        counts = {name: self.get(name) for name in ids if self.get(name)}
        return reply_json({"counts": counts})

    def describe(self) -> dict[str, object]:
        """Return the totals for the control page."""
        return {"runs": self.total, "ran_twice": self.repeated}
