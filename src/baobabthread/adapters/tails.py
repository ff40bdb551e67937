"""Follow one stream of the log and feed what it holds to the core."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from baobabthread.core.messages import LogRead, Stream
from baobabthread.logs import log_event
from baobabthread.ports.log import Log, LogError

LIMIT = 500
WAIT_S = 1.0
MIN_PAUSE_S = 0.1
MAX_PAUSE_S = 1.0


class Tail:
    """Read a stream onwards for as long as it runs."""

    __slots__ = ("_after", "_feed", "_log", "_now", "_report", "_stream", "reachable")

    def __init__(
        self,
        *,
        stream: Stream,
        log: Log,
        feed: Callable[[LogRead], None],
        after: Callable[[], int],
        report: Callable[[bool], None],
        now: Callable[[], float],
    ) -> None:
        self._stream = stream
        self._log = log
        self._feed = feed
        self._after = after
        self._report = report
        self._now = now
        self.reachable = False

    async def run(self) -> None:
        """Read until cancelled."""
        pause = MIN_PAUSE_S
        wait_s = 0.0
        while True:
            started_at = self._now()
            try:
                page = await self._log.read(
                    self._stream, after=self._after(), limit=LIMIT, wait_s=wait_s
                )
            except LogError as error:
                self._note(False, error.message)
                await asyncio.sleep(pause)
                pause = min(pause * 2, MAX_PAUSE_S)
                continue
            pause = MIN_PAUSE_S
            wait_s = WAIT_S
            self._note(True, "")
            self._feed(
                LogRead(
                    stream=self._stream,
                    records=page.records,
                    head=page.head,
                    first=page.first,
                    started_at=started_at,
                )
            )

    def _note(self, reachable: bool, reason: str) -> None:
        self._report(reachable)
        if reachable == self.reachable:
            return
        self.reachable = reachable
        if reachable:
            log_event("log_reached", stream=self._stream)
        else:
            log_event("log_lost", level="warning", stream=self._stream, reason=reason)
