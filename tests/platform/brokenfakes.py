"""Behaviours of backend servers that stop within a response and close."""

from __future__ import annotations

import asyncio

from tests.platform.fakes import (
    FakeBackend,
    ReceivedRequest,
    register_behaviour,
    render_response_head,
)

CUTS = {
    "status line": b"HTTP/1.1 200",
    "field": b"Content-Le",
    "length": b"Content-Length: 1",
    "line": b"\r\nContent-Length: 12",
    "empty line": b"Content-Length: 12\r\n\r",
}
"""Where a server stops: before, or at the end of, these bytes of the head."""


def _cut_head(where: str) -> None:
    @register_behaviour(f"cut in the {where}")
    async def stop(
        backend: FakeBackend, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        """Execute the request, send a part of the head and close."""
        head = render_response_head(request, 200, Content_Length="12")
        end = head.index(CUTS[where]) + len(CUTS[where])
        writer.write(head[:end])
        await writer.drain()
        writer.close()


for _where in CUTS:
    _cut_head(_where)


@register_behaviour("cut chunk size")
async def cut_chunk_size(
    backend: FakeBackend, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Send a chunk and half of the next one's size, and close."""
    head = render_response_head(request, 200, Transfer_Encoding="chunked")
    writer.write(head + b"6\r\nanswer\r\n1")
    await writer.drain()
    writer.close()


@register_behaviour("cut last chunk")
async def cut_last_chunk(
    backend: FakeBackend, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Send all but the end of the last chunk, and close."""
    head = render_response_head(request, 200, Transfer_Encoding="chunked")
    writer.write(head + b"6\r\nanswer\r\n0\r\n")
    await writer.drain()
    writer.close()


BROKEN = [f"cut in the {where}" for where in CUTS] + [
    "cut chunk size",
    "cut last chunk",
]
