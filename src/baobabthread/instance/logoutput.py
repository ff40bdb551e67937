"""Non-blocking, bounded log output on standard output."""

from __future__ import annotations

import asyncio
import logging
import os
import sys
from collections import deque

from absl import flags
from absl import logging as absl_logging

from baobabthread.logs import LineFormatter, log_event

MAX_BUFFERED_LINES = 2000
"""Lines kept while standard output would block; later ones are dropped."""
FLUSH_INTERVAL_S = 0.25
MAX_WRITE_BYTES = 65_536


class BufferedHandler(logging.Handler):
    """Buffer lines and write what the descriptor accepts without blocking."""

    def __init__(self, *, descriptor: int) -> None:
        super().__init__()
        self._descriptor = descriptor
        self._lines: deque[bytes] = deque()
        self._partial = b""
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Buffer a line, or count it as dropped if the buffer is full."""
        if len(self._lines) >= MAX_BUFFERED_LINES:
            self.dropped += 1
            return
        self._lines.append(self.format(record).encode("utf-8", "replace") + b"\n")

    def flush(self) -> None:
        """Write as much of the buffer as is possible without blocking."""
        # A log reader that stalls must not stall the requests: lines stay buffered up
        # to the limit, and further ones are dropped and counted.
        while self._lines or self._partial:
            data = self._partial
            while self._lines and len(data) < MAX_WRITE_BYTES:
                data += self._lines.popleft()
            try:
                written = os.write(self._descriptor, data)
            except BlockingIOError:
                self._partial = data
                return
            except OSError:
                self._partial = b""
                self._lines.clear()
                return
            self._partial = data[written:]


async def run_log_flusher(handler: BufferedHandler) -> None:
    """Flush the buffer periodically and log how many lines were dropped."""
    while True:
        await asyncio.sleep(FLUSH_INTERVAL_S)
        handler.flush()
        if handler.dropped:
            dropped, handler.dropped = handler.dropped, 0
            log_event("log_lines_dropped", level="warning", count=dropped)


def configure_logging() -> BufferedHandler:
    """Route all log events to standard output through a buffer."""
    if not flags.FLAGS.is_parsed():
        flags.FLAGS.mark_as_parsed()
    absl_logging.set_verbosity(absl_logging.INFO)
    handler = BufferedHandler(descriptor=sys.stdout.fileno())
    handler.setFormatter(LineFormatter())
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(logging.INFO)
    logger = absl_logging.get_absl_logger()
    logger.handlers[:] = []
    logger.propagate = True
    logging.getLogger("aiohttp").setLevel(logging.ERROR)
    return handler
