"""The stand-in of the rating service."""

from __future__ import annotations

import itertools
from collections import deque
from typing import Any, ClassVar

import msgspec
from aiohttp import web

from baobabthread.ports.ratings import RatedAnswer, Rating
from baobabthread.standins.answers import FLAWED_WORD, draw_fraction
from baobabthread.standins.server import FAULTS, Server, read_body, refuse, reply_json

MAX_RATINGS = 100_000
MAX_PENDING = 100_000
MAX_PAGE = 1_000


@FAULTS.register("ratings")
class RatingFaults(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Hold the settings that a test may switch at the rating service."""

    delay_s: float = 0.5
    missing: float = 0.0
    """Probability that an answer is never rated."""
    outage: bool = False


class AnswersBody(msgspec.Struct, frozen=True, kw_only=True):
    """Hold answers to be rated."""

    answers: list[RatedAnswer]


class RatingServer(Server):
    """Rate an answer good unless it contains the word that marks a flawed one."""

    __slots__ = ("_pending", "_sequence", "ratings", "received")

    kind: ClassVar[str] = "ratings"

    def __init__(self, *, name: str = "ratings", **settings: Any) -> None:
        super().__init__(name=name, **settings)
        self.received = 0
        self.ratings: deque[Rating] = deque(maxlen=MAX_RATINGS)
        self._pending: deque[tuple[float, RatedAnswer]] = deque(maxlen=MAX_PENDING)
        self._sequence = 0

    def add_routes(self, router: web.UrlDispatcher) -> None:
        """Add the routes of answers and ratings."""
        router.add_post("/v1/answers", self._post)
        router.add_get("/v1/ratings", self._get)

    def describe(self) -> dict[str, object]:
        """Return what the control page shows."""
        return {
            **super().describe(),
            "received": self.received,
            "rated": self._sequence,
            "pending": len(self._pending),
        }

    async def _post(self, request: web.Request) -> web.Response:
        body = await read_body(request, AnswersBody)
        if self.faults.outage:
            return refuse("outage", status=503, retry_after_s=1)
        for answer in body.answers:
            self.received += 1
            # Missing is drawn by the answer's id, so that order doesn't change it.
            drawn = draw_fraction(self.seed, "missing", answer.request_id)
            if drawn >= self.faults.missing:
                self._pending.append((self.now(), answer))
        return reply_json({}, status=202)

    async def _get(self, request: web.Request) -> web.Response:
        if self.faults.outage:
            return refuse("outage", status=503, retry_after_s=1)
        try:
            after = int(request.query.get("after", "0"))
        except ValueError:
            return refuse("bad_request", status=400)
        self._rate()
        first = self._sequence - len(self.ratings) + 1
        start = max(0, after + 1 - first)
        page = list(itertools.islice(self.ratings, start, start + MAX_PAGE))
        following = page[-1].sequence if page else after
        return reply_json({"ratings": page, "next": following})

    def _rate(self) -> None:
        horizon = self.now() - self.faults.delay_s
        while self._pending and self._pending[0][0] <= horizon:
            answer = self._pending.popleft()[1]
            self._sequence += 1
            self.ratings.append(
                Rating(
                    sequence=self._sequence,
                    request_id=answer.request_id,
                    service=answer.service,
                    call=answer.call,
                    version=answer.version,
                    good=FLAWED_WORD not in answer.answer.split(),
                )
            )
