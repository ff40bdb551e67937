"""What callers get of single attempts, as evidence on the version of their server."""

from __future__ import annotations

import asyncio

from baobabthread.instance.clock import now
from baobabthread.instance.servers.backends import BackendLink
from baobabthread.instance.servers.connections import Listening
from baobabthread.routing.canary import CanaryAnalysis, SentAttempt
from baobabthread.routing.streampace import StreamPace

BREAK_INTERVAL_S = 0.25
"""Time in which several broken responses count once: a lost link or a reset breaks all
that run, whatever their versions."""


class AttemptObservation:
    """Report one attempt to the analysis of a canary version."""

    __slots__ = ("_analysis", "_has_answered", "_pace", "_sent", "_ticket")

    def __init__(self, *, analysis: CanaryAnalysis, sent: SentAttempt) -> None:
        self._analysis = analysis
        self._sent = sent
        self._ticket = analysis.start_attempt(sent)
        self._has_answered = False
        self._pace: StreamPace | None = None

    def record_answer(self, *, failed: bool | None) -> None:
        """Count a whole response or the first event of a stream, the first time only.

        `failed` is None if the attempt was given up without a response.
        """
        if not self._has_answered:
            self._has_answered = True
            self._analysis.finish_attempt(self._ticket, failed=failed, now=now())

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


class BreakChecks:
    """Tell responses that servers broke off from those that ended with their server."""

    __slots__ = ("_counted_at", "_tasks")

    def __init__(self) -> None:
        self._counted_at = -1e9
        self._tasks: set[asyncio.Task[None]] = set()

    def start(
        self, observation: AttemptObservation, link: BackendLink, *, in_stream: bool
    ) -> None:
        """Count a broken response if its server is found to live on."""
        if now() - self._counted_at < BREAK_INTERVAL_S:
            return
        self._counted_at = now()
        check = self._check(observation, link, in_stream=in_stream)
        task = asyncio.ensure_future(check)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _check(
        self, observation: AttemptObservation, link: BackendLink, *, in_stream: bool
    ) -> None:
        listening = await link.pool.probe()
        is_replaced = link.is_replaced or link.find_obstacle() is not None
        if listening is Listening.YES and not is_replaced:
            observation.record_break(in_stream=in_stream)

    def close(self) -> None:
        """Cancel all checks."""
        for task in self._tasks:
            task.cancel()
