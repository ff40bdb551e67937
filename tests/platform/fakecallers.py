"""Callers on real sockets, and the answers that they see."""

from __future__ import annotations

import asyncio
import contextlib
import re
from collections.abc import AsyncIterator, Awaitable, Callable

EVENT = re.compile(rb"id: (\d+)\ndata: [^\n]+\n\n")
HOST = "api.example"
KEY = "key-of-metro"


class CallerResponse:
    """Hold an answer as a caller saw it."""

    def __init__(self, status: int, headers: dict[str, str], body: bytes) -> None:
        self.status = status
        self.headers = headers
        self.body = body
        self.is_complete = True

    @property
    def event_ids(self) -> list[int]:
        """Give the ids of the whole events."""
        return [int(found.group(1)) for found in EVENT.finditer(self.body)]

    @property
    def stray_bytes(self) -> bytes:
        """Give what belongs to no whole event; also a cut answer ends with one."""
        at = 0
        for found in EVENT.finditer(self.body):
            if found.start() > at:
                break
            at = found.end()
        return self.body[at:]


async def call(
    address: str,
    path: str,
    *,
    method: str = "GET",
    body: bytes = b"",
    host: str = HOST,
    key: str | None = KEY,
    **fields: str,
) -> CallerResponse:
    """Send one request on a connection of its own and read the answer."""
    ip, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(ip, int(port))
    writer.write(
        render_request(path, method=method, body=body, host=host, key=key, **fields)
    )
    try:
        return await read_response(reader)
    finally:
        writer.close()


MODEL_FIELDS = {
    "X_Model": "*",
    "X_Token_Usage": "100,20",
    "X_Prompt_Prefix": "aa:50,bb:30,cc:20",
    "X_Length_Hint": "10",
}
"""What a caller states of a request that a model answers with events."""
SendRequest = Callable[..., Awaitable[CallerResponse]]


@contextlib.asynccontextmanager
async def open_connection(address: str) -> AsyncIterator[SendRequest]:
    """Open a connection that is kept; give what asks a model over it."""
    ip, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(ip, int(port))

    async def ask(path: str, **more: str) -> CallerResponse:
        fields = MODEL_FIELDS | more
        writer.write(render_request(path, method="POST", body=b"{}", **fields))
        return await read_response(reader)

    try:
        yield ask
    finally:
        writer.close()


def render_request(
    path: str,
    *,
    method: str = "GET",
    body: bytes = b"",
    host: str = HOST,
    key: str | None = KEY,
    **fields: str,
) -> bytes:
    """Return a request as it goes on the wire."""
    headers = {"Host": host, "X-Attempt-Id": "a1", "X-Timeout-Ms": "5000"}
    if key is not None:
        headers["Authorization"] = f"Token {key}"
    headers |= {name.replace("_", "-"): value for name, value in fields.items()}
    if body:
        headers["Content-Length"] = str(len(body))
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def read_response(reader: asyncio.StreamReader) -> CallerResponse:
    """Read one answer; `whole` tells whether it came to its end."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    line, *rows = head.strip().split("\r\n")
    headers = {
        name.lower(): value.strip()
        for name, _, value in (row.partition(":") for row in rows)
    }
    found = CallerResponse(int(line.split(" ")[1]), headers, b"")
    try:
        if headers.get("transfer-encoding") == "chunked":
            await _read_chunks(reader, found)
        else:
            length = int(headers.get("content-length", "0"))
            found.body = await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ConnectionError):
        found.is_complete = False
    return found


async def _read_chunks(reader: asyncio.StreamReader, found: CallerResponse) -> None:
    while True:
        size = int((await reader.readuntil(b"\r\n")).strip(), 16)
        data = await reader.readexactly(size + 2)
        if not size:
            return
        found.body += data[:-2]
