"""Tests of metrics against a UDP socket."""

from __future__ import annotations

import asyncio
import socket

from baobabthread.adapters.metrics import open_metrics
from baobabthread.settings import Address

LIMIT_S = 10.0


def test_metrics_are_sent_without_a_stop() -> None:
    async def case() -> bytes:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sink:
            sink.bind(("127.0.0.1", 0))
            sink.setblocking(False)
            metrics = open_metrics(Address("127.0.0.1", sink.getsockname()[1]))
            metrics.count("answered.200", 2)
            metrics.time("request", 0.25)
            metrics.gauge("open", 3)
            async with asyncio.timeout(LIMIT_S):
                loop = asyncio.get_running_loop()
                packet = await loop.sock_recv(sink, 4096)
            metrics.close()
            return packet

    lines = asyncio.run(case()).decode().splitlines()
    assert sorted(lines) == [
        "baobabthread.answered.200:2|c",
        "baobabthread.open:3|g",
        "baobabthread.request:250.000000|ms",
    ]


def test_nothing_is_sent_without_an_address() -> None:
    metrics = open_metrics(None)
    metrics.count("answered.200")
    metrics.time("request", 0.25)
    metrics.gauge("open", 3)
    metrics.close()
