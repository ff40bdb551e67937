"""Counters, timers and gauges over statsd; silent without an address."""

from __future__ import annotations

from typing import Protocol

import statsd

from baobabthread.settings import Address

PREFIX = "baobabthread"


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
    """Send metrics in batches over UDP."""

    __slots__ = ("_client", "_pipe")

    def __init__(self, *, address: Address) -> None:
        self._client = statsd.StatsClient(
            host=address.host, port=address.port, prefix=PREFIX
        )
        self._pipe = self._client.pipeline()

    def count(self, name: str, value: int = 1) -> None:
        """Add to a counter."""
        self._pipe.incr(name, value)

    def time(self, name: str, seconds: float) -> None:
        """Report one duration."""
        self._pipe.timing(name, seconds * 1000)

    def gauge(self, name: str, value: float) -> None:
        """Report a level."""
        self._pipe.gauge(name, value)

    def flush(self) -> None:
        """Send what waits."""
        self._pipe.send()

    def close(self) -> None:
        """Send what waits and close the socket."""
        self._pipe.send()
        self._client.close()


def open_metrics(address: Address | None) -> NoMetrics | StatsdMetrics:
    """Open the adapter that fits the settings."""
    if address is None:
        return NoMetrics()
    return StatsdMetrics(address=address)
