"""A store as PROTOCOL.md describes it: topics of records, kept in memory.

Only the calls that the system makes are answered: log-newest, log-read, log-append.
"""

from __future__ import annotations

import asyncio
import base64
import json
import struct
from collections.abc import Callable
from urllib.parse import parse_qsl, urlsplit

APPEND_S = 0.004
PAGE = 500
HEAD_END = b"\r\n\r\n"


class Store:
    """Keeps topics, and answers each machine at an address of its own."""

    def __init__(self) -> None:
        self.topics: dict[str, list[tuple[str, bytes]]] = {}
        self.faults: dict[str, str] = {}
        """Fault by machine: busy, silent, or lost (done, but the answer is lost)."""
        self.calls: list[tuple[str, str]] = []
        self.on_append: Callable[[str, str, bytes], None] = lambda *_: None
        """Called with machine, topic and body once an append is done, before its
        answer is sent."""
        self._grown = asyncio.Event()
        self._servers: list[asyncio.Server] = []

    async def listen(self, host: str, port: int, machine: str) -> None:
        """Accept the calls of one machine."""

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await self._serve(machine, reader, writer)

        self._servers.append(await asyncio.start_server(serve, host, port))

    def close(self) -> None:
        """Stop listening."""
        for server in self._servers:
            server.close()

    def put(self, topic: str, key: str, value: object) -> int:
        """Append a record; return its offset."""
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        records = self.topics.setdefault(topic, [])
        records.append((key, raw))
        self._grown.set()
        self._grown = asyncio.Event()
        return len(records) - 1

    def newest(self, topic: str) -> dict[str, tuple[bytes, int]]:
        """Return the newest value of each key, and its offset."""
        latest: dict[str, tuple[bytes, int]] = {}
        for offset, (key, value) in enumerate(self.topics.get(topic, [])):
            latest[key] = (value, offset)
        return {key: found for key, found in latest.items() if found[0]}

    def read_json(self, topic: str, key: str) -> dict[str, object]:
        """Return the newest value of a key; empty if there is none."""
        value, _ = self.newest(topic).get(key, (b"{}", 0))
        return dict(json.loads(value))

    async def _serve(
        self, machine: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                head = (await reader.readuntil(HEAD_END)).decode()
                line, *fields = head.strip().split("\r\n")
                method, target, _ = line.split(" ")
                lengths = [
                    int(field.partition(":")[2])
                    for field in fields
                    if field.lower().startswith("content-length:")
                ]
                body = await reader.readexactly(lengths[0] if lengths else 0)
                url = urlsplit(target)
                self.calls.append((machine, url.path))
                fault = self.faults.get(machine, "")
                if fault == "silent":
                    await asyncio.sleep(60)
                if fault == "busy":
                    status, answer = 503, b"{}"
                else:
                    query = dict(parse_qsl(url.query))
                    status, answer = await self._answer(url.path, query, body)
                    if url.path == "/-/log-append" and status == 200:
                        self.on_append(machine, query["topic"], body)
                if fault == "lost":
                    await asyncio.sleep(60)
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Length: {len(answer)}\r\n"
                    "Content-Type: application/json\r\n\r\n".encode()
                    + answer
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            return
        finally:
            writer.close()

    async def _answer(
        self, path: str, query: dict[str, str], body: bytes
    ) -> tuple[int, bytes]:
        match path:
            case "/-/log-newest":
                return 200, self._list_newest(query)
            case "/-/log-read":
                return await self._read(query)
            case "/-/log-append":
                return await self._append(query, body)
        return 404, b"{}"

    def _list_newest(self, query: dict[str, str]) -> bytes:
        topic = query["topic"]
        found = sorted(self.newest(topic).items())
        if "after" in query:
            found = [each for each in found if each[0] > query["after"]]
        items = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            for key, (value, offset) in found[:PAGE]
        ]
        end = len(self.topics.get(topic, []))
        page = {"items": items, "has_more": len(found) > PAGE, "end_offset": end}
        return json.dumps(page).encode()

    async def _read(self, query: dict[str, str]) -> tuple[int, bytes]:
        topic, start = query["topic"], int(query["from"])
        wait_s = int(query.get("wait_ms", 0)) / 1000
        loop = asyncio.get_running_loop()
        until = loop.time() + wait_s
        while start >= len(self.topics.get(topic, [])) and loop.time() < until:
            try:
                async with asyncio.timeout(until - loop.time()):
                    await self._grown.wait()
            except TimeoutError:
                break
        records = self.topics.get(topic, [])
        answer = struct.pack(">QQ", len(records), 0)
        most = int(query.get("max_kb", 1024)) * 1024
        for key, value in records[start:]:
            content = bytes([len(key)]) + key.encode() + value
            if len(answer) > 16 and len(answer) + len(content) > most:
                break
            answer += struct.pack(">I", len(content)) + content
        return 200, answer

    async def _append(self, query: dict[str, str], body: bytes) -> tuple[int, bytes]:
        await asyncio.sleep(APPEND_S)
        topic = query["topic"]
        if topic in ("keyed.op", "keyed.servers"):
            return 403, b"{}"
        end = len(self.topics.get(topic, []))
        if "at" in query and int(query["at"]) != end:
            return 412, json.dumps({"end_offset": end}).encode()
        while body:
            (length,) = struct.unpack_from(">I", body)
            content, body = body[4 : 4 + length], body[4 + length :]
            size = content[0]
            self.put(topic, content[1 : 1 + size].decode(), content[1 + size :])
        done = {"offset": end, "end_offset": len(self.topics[topic])}
        return 200, json.dumps(done).encode()
