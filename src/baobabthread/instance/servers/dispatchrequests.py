"""Requests of this instance that wait for an owner's reply or hold a server."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import msgspec

from baobabthread.instance.servers.dispatchmessages import (
    Answer,
    DispatchAsk,
    DispatchReply,
)
from baobabthread.instance.timeouts import limit_silence
from baobabthread.routing.servers.occupancy import Ending

ReportEnding = Callable[["Assignment", Ending], None]
_UNDECIDED = (Answer.QUEUED, Answer.NOT_OWNER)


class Refusal(msgspec.Struct, frozen=True, kw_only=True):
    """An owner's word that no server can serve a request in time."""

    retry_after_s: float


class Assignment:
    """A server for one request, until the request has ended there."""

    __slots__ = (
        "_has_ended",
        "_report",
        "group",
        "has_begun",
        "kept_tokens",
        "number",
        "server",
        "wait_s",
    )

    def __init__(
        self,
        *,
        report: ReportEnding,
        group: str,
        number: int,
        server: str,
        kept_tokens: int = 0,
        wait_s: float = 0.0,
    ) -> None:
        self._report = report
        self.has_begun = False
        self._has_ended = False
        self.group = group
        self.number = number
        self.server = server
        """Incarnation of the server."""
        self.kept_tokens = kept_tokens
        self.wait_s = wait_s

    def begin(self) -> None:
        """Report that the first part of the response has arrived."""
        if not self.has_begun and not self._has_ended:
            self.has_begun = True
            self._report(self, Ending.BEGUN)

    def end(self, ending: Ending) -> None:
        """Report how the request ended; later calls change nothing."""
        if not self._has_ended:
            self._has_ended = True
            self._report(self, ending)

    def drop(self) -> None:
        """Report that the request is not sent to the server."""
        self.end(Ending.DROPPED)


class HeldAssignment(msgspec.Struct):
    """An assignment with the ask that it answers, for a new owner."""

    assignment: Assignment
    message: DispatchAsk
    ends_at: float


class ReplyInbox:
    """Replies to one request; a decision is not replaced by what came before it."""

    __slots__ = ("_has_news", "_reply", "group")

    def __init__(self, *, group: str) -> None:
        self.group = group
        self._reply: DispatchReply | None = None
        self._has_news = asyncio.Event()

    def put(self, reply: DispatchReply) -> None:
        """Take in a reply."""
        if self._reply is None or self._reply.state in _UNDECIDED:
            self._reply = reply
            self._has_news.set()

    def wake(self) -> None:
        """Let the request ask again at once."""
        self._has_news.set()

    async def take(self, timeout_s: float) -> DispatchReply | None:
        """Return the next reply, or None after a while or when woken."""
        try:
            async with limit_silence(timeout_s):
                await self._has_news.wait()
        except TimeoutError:
            return None
        self._has_news.clear()
        reply, self._reply = self._reply, None
        return reply
