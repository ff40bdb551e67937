"""What callers get of single attempts, as evidence on the version of their server."""

from __future__ import annotations

import asyncio
from collections import deque

from baobabthread.instance.clock import now
from baobabthread.instance.servers.backends import BackendLink
from baobabthread.instance.servers.connections import Listening
from baobabthread.routing.canary import CanaryAnalysis, SentAttempt
from baobabthread.routing.streampace import StreamPace

MOMENT_S = 0.05
"""Time within which one event ends all the responses that it breaks off."""
MAX_RECENT = 256
"""Broken responses that are compared with each other."""


class AttemptObservation:
    """Report one attempt to the analysis of a canary version."""

    __slots__ = ("_analysis", "_has_answered", "_pace", "_sent", "_ticket")

    def __init__(self, *, analysis: CanaryAnalysis, sent: SentAttempt) -> None:
        self._analysis = analysis
        self._sent = sent
        self._ticket = analysis.start_attempt(sent)
        self._has_answered = False
        self._pace: StreamPace | None = None

    @property
    def is_canary(self) -> bool:
        """Whether the attempt went to a canary version."""
        return self._sent.is_canary

    def record_answer(self, *, failed: bool | None, refused: bool = False) -> None:
        """Count a whole response or the first event of a stream, the first time only.

        `failed` is None if the attempt was given up without a response, and `refused`
        tells that the server found fault with the request.
        """
        if self._has_answered:
            return
        self._has_answered = True
        self._analysis.finish_attempt(self._ticket, failed=failed, now=now())
        if failed is False:
            self._analysis.observe_refusal(self._sent, is_refused=refused)

    def begin_stream(self) -> None:
        """Record the first event of a stream."""
        self.record_answer(failed=False)
        self._pace = self._analysis.watch_stream(self._ticket, self._sent, now())

    def begin_wait(self) -> None:
        """Record that the next event is awaited."""
        if self._pace is not None:
            self._pace.begin_wait(now())

    def record_event(self) -> None:
        """Record that an event has arrived."""
        if self._pace is None:
            return
        self._pace.end_wait(now())
        if self._pace.is_decided:
            self._pace = None
            self._analysis.judge_pace(self._ticket, now(), is_over=True)

    def end_stream(self) -> None:
        """Count a stream that has ended whole."""
        self._analysis.judge_pace(self._ticket, now(), is_over=True)
        self._analysis.observe_ending(self._sent, is_whole=True)

    def record_break(self, *, in_stream: bool) -> None:
        """Count a response that its server broke off."""
        if in_stream:
            self._analysis.observe_ending(self._sent, is_whole=False)
        elif not self._has_answered:
            self._analysis.observe_break(self._sent)

    def close(self) -> None:
        """Discard what tells nothing, such as an attempt that was cancelled."""
        self._pace = None
        self._analysis.cancel_attempt(self._ticket)


class BrokenResponse:
    """Response that a server broke off."""

    __slots__ = ("at", "in_stream", "link", "observation", "others", "sent_at")

    def __init__(
        self,
        *,
        observation: AttemptObservation,
        link: BackendLink,
        sent_at: float,
        in_stream: bool,
    ) -> None:
        self.observation = observation
        self.link = link
        self.sent_at = sent_at
        self.in_stream = in_stream
        self.at = now()
        self.others = link.list_connections()
        """Connections to the server that were open at that moment."""

    @property
    def is_single(self) -> bool:
        """Whether another connection to the server has outlived the broken one."""
        return any(other.is_connected() for other in self.others)

    def meets(self, other: BrokenResponse) -> bool:
        """Return whether responses of both versions broke off at one moment."""
        is_same_version = self.observation.is_canary is other.observation.is_canary
        return not is_same_version and abs(self.at - other.at) <= MOMENT_S


class BreakChecks:
    """Tell responses that servers broke off from those that one event ended.

    A lost link, a reset or the end of a server breaks off all that run at that moment,
    whatever their versions; together they count once.
    """

    __slots__ = ("_event_at", "_recent", "_tasks")

    def __init__(self) -> None:
        self._event_at = -1e9
        """Time of the last event that was counted once."""
        self._recent: deque[BrokenResponse] = deque(maxlen=MAX_RECENT)
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self, broken: BrokenResponse) -> None:
        """Count a broken response if its server is found to live on."""
        self._recent.append(broken)
        task = asyncio.ensure_future(self._check(broken))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _check(self, broken: BrokenResponse) -> None:
        await asyncio.sleep(MOMENT_S)
        is_shared = any(broken.meets(other) for other in self._recent)
        if (is_shared or not broken.is_single) and not await self._is_new(broken):
            return
        if broken.link.is_replaced or broken.link.find_obstacle() is not None:
            return
        broken.observation.record_break(in_stream=broken.in_stream)

    async def _is_new(self, broken: BrokenResponse) -> bool:
        """Return whether a response was not ended by an event that was counted."""
        if broken.sent_at <= self._event_at:
            return False
        if await broken.link.pool.probe() is not Listening.YES:
            return False
        if broken.sent_at <= self._event_at:
            return False
        self._event_at = broken.at
        return True

    def close(self) -> None:
        """Cancel all checks."""
        for task in self._tasks:
            task.cancel()
