"""A fake of the platform's store, with selectable faults."""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import struct
import time
from collections import Counter
from collections.abc import Mapping
from typing import Any, NamedTuple

from aiohttp import web

from baobabthread.standins.loopback import LoopbackNetwork, own_network

OPERATORS = "keyed.op"
BACKENDS = "keyed.servers"
STATUS = "keyed.status"
ERA_FIELD = "Store-Era"


class LostRecord(NamedTuple):
    """A record that the store no longer has after it was restored from a copy."""

    topic: str
    key: str
    value: bytes


class FakeStore:
    """Keeps topics in memory and serves the platform store's HTTP interface."""

    def __init__(self, *, network: LoopbackNetwork | None = None) -> None:
        self._network = network or own_network()
        self.topics: dict[str, list[tuple[str, bytes]]] = {}
        self.first_offsets: dict[str, int] = {}
        """First offset that is still available, by topic; 0 for topics not listed."""
        self.fault = ""
        """One of busy, silent, lost, trickle; empty for none."""
        self.pause_s = 0.0
        """Time that it takes before each response."""
        self.silent_reads: Counter[str] = Counter()
        """Number of reads by topic that get no response, from now on."""
        self.reads: Counter[str] = Counter()
        """Number of reads answered by topic."""
        self.calls: list[str] = []
        self.era: int | str | None = 1
        """Value of the field that names the era; None to send none."""
        self._written_at: dict[str, list[float]] = {}
        self._appended = asyncio.Event()
        self._server: asyncio.Server | None = None
        self.address = ""

    async def start(self) -> FakeStore:
        """Listen on a free port."""
        loop = asyncio.get_running_loop()
        host, port = self._network.give_host(1), self._network.give_port()
        self._server = await loop.create_server(web.Server(self._serve), host, port)
        self.address = f"{host}:{port}"
        return self

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    def put(self, topic: str, key: str, value: object) -> int:
        """Append a record as an operator or a backend server would."""
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        records = self.topics.setdefault(topic, [])
        records.append((key, raw))
        self._written_at.setdefault(topic, []).append(time.monotonic())
        self._notify_readers()
        return len(records) - 1

    def _notify_readers(self) -> None:
        self._appended.set()
        self._appended = asyncio.Event()

    def restore(
        self, *, age_s: float = 0.0, lost: Mapping[str, int] | None = None
    ) -> list[LostRecord]:
        """Go on from a copy, in a new era; return the records that it lacks.

        The copy lacks what was written in the last `age_s` seconds or, for the topics
        in `lost`, so many of the newest records.
        """
        since = time.monotonic() - age_s
        dropped = []
        for topic, records in self.topics.items():
            times = self._written_at[topic]
            end = sum(written_at < since for written_at in times)
            if lost is not None:
                end = len(records) - lost.get(topic, 0)
            dropped += [LostRecord(topic, *record) for record in records[end:]]
            del records[end:], times[end:]
            first = self.first_offsets.get(topic, 0)
            self.first_offsets[topic] = min(first, end)
        if isinstance(self.era, int):
            self.era += 1
        self._notify_readers()
        return dropped

    def write_again(self, records: list[LostRecord]) -> None:
        """Write what operators and backend servers wrote and a restore lost."""
        for record in records:
            if record.topic != STATUS:
                self.put(record.topic, record.key, record.value)

    def newest(self, topic: str) -> dict[str, tuple[bytes, int]]:
        """Return the newest value of each key that is not deleted, and its offset."""
        latest: dict[str, tuple[bytes, int]] = {}
        for offset, (key, value) in enumerate(self.topics.get(topic, [])):
            latest[key] = (value, offset)
        return {key: item for key, item in latest.items() if item[0]}

    def status(self, service: str) -> dict[str, Any]:
        """Return the stored status of a service's roll-out; empty if there is none."""
        value, _ = self.newest(STATUS).get(f"rollout/{service}", (b"{}", 0))
        return dict(json.loads(value))

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        self.calls.append(f"{request.method} {request.path}")
        await asyncio.sleep(self.pause_s)
        if self.fault == "silent":
            await asyncio.sleep(30)
        if self.fault == "busy":
            return self._add_era(web.Response(status=503))
        query = request.query
        if request.method == "GET" and self.silent_reads[query["topic"]]:
            self.silent_reads[query["topic"]] -= 1
            await asyncio.sleep(30)
        if request.path == "/-/log-newest":
            response = self._serve_newest(query["topic"])
        elif request.path == "/-/log-read":
            response = await self._serve_read(query)
        else:
            appended = await self._serve_append(query, await request.read())
            return self._add_era(appended)
        self._add_era(response)
        self.reads[query["topic"]] += 1
        if self.fault == "trickle":
            return await self._trickle(request, response)
        return response

    def _add_era(self, response: web.Response) -> web.Response:
        if self.era is not None:
            response.headers[ERA_FIELD] = str(self.era)
        return response

    async def _trickle(
        self, request: web.BaseRequest, response: web.Response
    ) -> web.StreamResponse:
        """Send a response in pieces over 1.2 s in total, as over a slow link."""
        body = response.body
        assert isinstance(body, bytes)
        slow = web.StreamResponse(status=response.status)
        slow.content_length = len(body)
        slow.headers.update(
            {k: v for k, v in response.headers.items() if k == ERA_FIELD}
        )
        await slow.prepare(request)
        size = max(1, len(body) // 12)
        for start in range(0, len(body), size):
            await asyncio.sleep(0.1)
            await slow.write(body[start : start + size])
        return slow

    def _serve_newest(self, topic: str) -> web.Response:
        items = [
            {
                "key": key,
                "value": base64.b64encode(value).decode(),
                "offset": offset,
            }
            for key, (value, offset) in self.newest(topic).items()
        ]
        end = len(self.topics.get(topic, []))
        return web.json_response({"items": items, "has_more": False, "end_offset": end})

    async def _serve_read(self, query: Any) -> web.Response:
        topic, start = query["topic"], int(query["from"])
        if not self._has_offset(topic, start):
            return self._refuse_offset(topic)
        wait_s = int(query.get("wait_ms", 0)) / 1000
        if wait_s and start >= len(self.topics.get(topic, [])):
            appended = self._appended
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(appended.wait(), wait_s)
        records = self.topics.get(topic, [])
        if not self._has_offset(topic, start):
            return self._refuse_offset(topic)
        body = struct.pack(">QQ", len(records), self.first_offsets.get(topic, 0))
        for key, value in records[start:]:
            content = bytes([len(key)]) + key.encode() + value
            body += struct.pack(">I", len(content)) + content
        return web.Response(body=body)

    def _has_offset(self, topic: str, offset: int) -> bool:
        end = len(self.topics.get(topic, []))
        return self.first_offsets.get(topic, 0) <= offset <= end

    def _refuse_offset(self, topic: str) -> web.Response:
        first = self.first_offsets.get(topic, 0)
        return web.json_response({"first_offset": first}, status=410)

    async def _serve_append(self, query: Any, body: bytes) -> web.Response:
        topic = query["topic"]
        end = len(self.topics.get(topic, []))
        if "at" in query and int(query["at"]) != end:
            return web.json_response({"end_offset": end}, status=412)
        (length,) = struct.unpack_from(">I", body)
        content = body[4 : 4 + length]
        key_end = 1 + content[0]
        self.put(topic, content[1:key_end].decode(), content[key_end:])
        if self.fault == "lost":
            await asyncio.sleep(30)
        return web.json_response({"offset": end, "end_offset": end + 1})
