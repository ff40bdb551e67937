"""Clients as PROTOCOL.md describes them."""

from __future__ import annotations

import asyncio
import itertools

HOST = "ficu95.example"
HEAD_END = b"\r\n\r\n"
_numbers = itertools.count(1)


class Answer:
    """What a client got for one attempt."""

    def __init__(self, id: str) -> None:
        self.id = id
        self.status = 0
        """0 until the head of an answer was read."""
        self.fields: dict[str, str] = {}
        self.body = b""
        self.is_whole = False

    def __str__(self) -> str:
        end = "whole" if self.is_whole else "CUT"
        return f"{self.id} status {self.status} {end} {len(self.body)} bytes"


def make_id(name: str) -> str:
    """Return a new id of a client attempt."""
    return f"{name}-{next(_numbers):06x}"


def make_request(
    id: str,
    path: str,
    *,
    method: str = "GET",
    key: str | None = None,
    body: bytes = b"",
    timeout_ms: int = 4000,
    **fields: str,
) -> bytes:
    """Return a request as it is sent."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"X-Attempt-Id: {id}"]
    lines.append(f"X-Timeout-Ms: {timeout_ms}")
    if key is not None:
        lines.append(f"Authorization: Token {key}")
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in fields.items()]
    if method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def read_answer(reader: asyncio.StreamReader, answer: Answer) -> None:
    """Read one answer; it is whole only if its end was read."""
    head = (await reader.readuntil(HEAD_END)).decode()
    line, *fields = head.strip().split("\r\n")
    answer.status = int(line.split(" ")[1])
    pairs = (field.partition(":") for field in fields)
    answer.fields = {name.lower(): value.strip() for name, _, value in pairs}
    if answer.fields.get("transfer-encoding") == "chunked":
        while True:
            size = int(await reader.readuntil(b"\r\n"), 16)
            data = await reader.readexactly(size + 2)
            if not size:
                break
            answer.body += data[:-2]
    else:
        left = int(answer.fields.get("content-length", "0"))
        while left:
            data = await reader.read(min(left, 65536))
            if not data:
                return
            answer.body += data
            left -= len(data)
    answer.is_whole = True


async def ask(address: str, request: bytes, id: str, *, most_s: float = 30) -> Answer:
    """Send a request on a connection of its own and read its answer."""
    answer = Answer(id)
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(most_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(request)
            await read_answer(reader, answer)
    except (OSError, asyncio.IncompleteReadError, TimeoutError, ValueError):
        pass
    finally:
        if writer is not None:
            writer.close()
    return answer


async def get_status(address: str, path: str) -> int:
    """Return the status of a call without a body; 0 if nobody answers."""
    return (await ask(address, make_request("", path), "", most_s=1)).status
