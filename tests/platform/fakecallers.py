"""Callers on real sockets, and the responses that they receive."""

from __future__ import annotations

import asyncio
import contextlib
import re
from collections.abc import AsyncIterator, Awaitable, Callable

EVENT = re.compile(rb"id: (\d+)\ndata: [^\n]+\n\n")
HOST = "api.example"
KEY = "key-of-metro"


class CallerResponse:
    """A response as a caller received it."""

    def __init__(self, status: int, headers: dict[str, str], body: bytes) -> None:
        self.status = status
        self.headers = headers
        self.body = body
        self.is_complete = True

    @property
    def event_ids(self) -> list[int]:
        """The ids of the complete events."""
        return [int(match.group(1)) for match in EVENT.finditer(self.body)]

    @property
    def stray_bytes(self) -> bytes:
        """Bytes after the leading complete events; even a cut response has none."""
        end = 0
        for match in EVENT.finditer(self.body):
            if match.start() > end:
                break
            end = match.end()
        return self.body[end:]


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
    """Send one request on a connection of its own and read the response."""
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
"""Header fields of a request that a model answers with an event stream."""
SendRequest = Callable[..., Awaitable[CallerResponse]]


@contextlib.asynccontextmanager
async def open_connection(address: str) -> AsyncIterator[SendRequest]:
    """Open a persistent connection; yield a function that sends model requests."""
    ip, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(ip, int(port))

    async def send_request(path: str, **more: str) -> CallerResponse:
        fields = MODEL_FIELDS | more
        writer.write(render_request(path, method="POST", body=b"{}", **fields))
        return await read_response(reader)

    try:
        yield send_request
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
    """Return a request encoded for the wire."""
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
    """Read one response; `is_complete` tells whether it was received to its end."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    line, *fields = head.strip().split("\r\n")
    headers = {
        name.lower(): value.strip()
        for name, _, value in (field.partition(":") for field in fields)
    }
    response = CallerResponse(int(line.split(" ")[1]), headers, b"")
    try:
        if headers.get("transfer-encoding") == "chunked":
            await _read_chunks(reader, response)
        else:
            length = int(headers.get("content-length", "0"))
            response.body = await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ConnectionError):
        response.is_complete = False
    return response


async def _read_chunks(reader: asyncio.StreamReader, response: CallerResponse) -> None:
    while True:
        size = int((await reader.readuntil(b"\r\n")).strip(), 16)
        data = await reader.readexactly(size + 2)
        if not size:
            return
        response.body += data[:-2]
