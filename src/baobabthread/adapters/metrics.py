"""Counters, timers and gauges over statsd; silent without an address."""

from __future__ import annotations

import asyncio
from typing import Protocol

import statsd

from baobabthread.settings import Address

PREFIX = "baobabthread"
FLUSH_S = 0.5


class Metrics(Protocol):
    """Take metrics."""

    def count(self, name: str, value: int = 1) -> None:
        """Add to a counter."""
        ...

    def time(self, name: str, seconds: float) -> None:
        """Report one duration."""
        ...

    def gauge(self, name: str, value: float) -> None:
        """Report a level."""
        ...

    def close(self) -> None:
        """Send what waits."""
        ...


class NoMetrics:
    """Drop metrics."""

    __slots__ = ()

    def count(self, name: str, value: int = 1) -> None:
        """Drop a count."""

    def time(self, name: str, seconds: float) -> None:
        """Drop a duration."""

    def gauge(self, name: str, value: float) -> None:
        """Drop a level."""

    def close(self) -> None:
        """Do nothing."""


class StatsdMetrics:
    """Send metrics in batches over UDP, soon after the first of a batch."""

    __slots__ = ("_client", "_pipe", "_timer")

    def __init__(self, *, address: Address) -> None:
        self._client = statsd.StatsClient(
            host=address.host, port=address.port, prefix=PREFIX
        )
        self._pipe = self._client.pipeline()
        self._timer: asyncio.TimerHandle | None = None

    def count(self, name: str, value: int = 1) -> None:
        """Add to a counter."""
        self._pipe.incr(name, value)
        self._flush_soon()

    def time(self, name: str, seconds: float) -> None:
        """Report one duration."""
        self._pipe.timing(name, seconds * 1000)
        self._flush_soon()

    def gauge(self, name: str, value: float) -> None:
        """Report a level."""
        self._pipe.gauge(name, value)
        self._flush_soon()

    def _flush_soon(self) -> None:
        # The client's batch holds all that isn't sent: without a flush of its own it
        # would grow until memory is gone, and nothing would be seen before the stop.
        if self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(FLUSH_S, self.flush)

    def flush(self) -> None:
        """Send what waits."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._pipe.send()

    def close(self) -> None:
        """Send what waits and close the socket."""
        self.flush()
        self._client.close()


def open_metrics(address: Address | None) -> NoMetrics | StatsdMetrics:
    """Open the adapter that fits the settings."""
    if address is None:
        return NoMetrics()
    return StatsdMetrics(address=address)
