"""Behaviours of backend servers that stop within a response and close."""

from __future__ import annotations

import asyncio

from tests.platform.fakes import (
    BEHAVIOURS,
    FakeBackend,
    ReceivedRequest,
    register_behaviour,
    render_response_head,
)

LENGTH = {"Content_Length": "12"}
CHUNKS = {"Transfer_Encoding": "chunked"}
BROKEN = {
    "cut in the status line": (LENGTH, b"", b"HTTP/1.1 200"),
    "cut in the field": (LENGTH, b"", b"Content-Le"),
    "cut in the length": (LENGTH, b"", b"Content-Length: 1"),
    "cut in the line": (LENGTH, b"", b"\r\nContent-Length: 12"),
    "cut in the empty line": (LENGTH, b"", b"Content-Length: 12\r\n\r"),
    "cut chunk size": (CHUNKS, b"6\r\nanswer\r\n1", b"answer\r\n1"),
    "cut last chunk": (CHUNKS, b"6\r\nanswer\r\n0\r\n", b"answer\r\n0\r\n"),
}
"""Fields and body of a response by behaviour, and the last bytes that are sent."""


def _register(name: str, fields: dict[str, str], body: bytes, last: bytes) -> None:
    @register_behaviour(name)
    async def stop(
        backend: FakeBackend, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        """Execute the request, send a part of the response and close."""
        response = render_response_head(request, 200, **fields) + body
        writer.write(response[: response.index(last) + len(last)])
        await writer.drain()
        writer.close()


for _name, _parts in BROKEN.items():
    _register(_name, *_parts)


@register_behaviour("cut every third")
async def cut_every_third(
    backend: FakeBackend, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Break off one response in three."""
    is_cut = len(backend.seen) % 3 == 0
    behaviour = "answer"
    if is_cut:
        behaviour = "stream_cut" if "x-model" in request.headers else "cut"
    backend.cut_count += is_cut
    await BEHAVIOURS[behaviour](backend, request, writer)
