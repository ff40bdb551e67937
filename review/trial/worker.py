"""A worker as PROTOCOL.md describes it: one request at a time on a connection."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Awaitable, Callable

HEAD_END = b"\r\n\r\n"
KEEP_ALIVE_S = 15
SIGNATURE = "3e1b.07.5a2.600.0.c9f2a4d1"


class Request:
    """A request as a worker read it."""

    def __init__(self, method: str, target: str, fields: dict[str, str]) -> None:
        self.method = method
        self.target = target
        self.fields = fields
        self.body = b""

    @property
    def id(self) -> str:
        """The id of the client's attempt."""
        return self.fields.get("x-attempt-id", "")


Behave = Callable[["Worker", Request, asyncio.StreamWriter], Awaitable[None]]
Note = Callable[[str, "Worker", Request], None]
_numbers = itertools.count(1)


class Worker:
    """A worker that listens at one address and registers in the store."""

    def __init__(
        self,
        *,
        service: str,
        zone: str,
        behave: Behave,
        note: Note,
        version: str = "v1",
        slots: int = 64,
    ) -> None:
        self.id = f"i-{next(_numbers):04x}"
        self.service = service
        self.zone = zone
        self.version = version
        self.slots = slots
        self.state = "ready"
        self.address = ""
        self.running = 0
        self._behave = behave
        self._note = note
        self._seq = 0
        self._server: asyncio.Server | None = None
        self._open: set[asyncio.StreamWriter] = set()
        self.is_gone = False

    def make_record(self) -> dict[str, object]:
        """Return the worker's entry; `seq` counts its beats."""
        self._seq += 1
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": self.version,
            "slots": self.slots,
            "state": self.state,
            "cold_left_ms": 0,
            "seq": self._seq,
        }

    async def start(self, host: str, port: int) -> Worker:
        """Listen at an address."""
        self._server = await asyncio.start_server(self._serve, host, port)
        self.address = f"{host}:{port}"
        return self

    def stop_listening(self) -> None:
        """Accept no more connections, and serve on on those that are open."""
        if self._server is not None:
            self._server.close()

    def stop(self, *, resets: bool = False) -> None:
        """End: stop listening and end all connections."""
        self.is_gone = True
        self.stop_listening()
        for writer in list(self._open):
            writer.transport.abort() if resets else writer.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._open.add(writer)
        try:
            while True:
                async with asyncio.timeout(KEEP_ALIVE_S):
                    request = await _read_request(reader)
                if request.target == "/health":
                    await answer(self, request, writer, b"")
                    continue
                if not await self._accept(request, writer):
                    continue
                self._note("run", self, request)
                self.running += 1
                work = asyncio.ensure_future(self._behave(self, request, writer))
                work.add_done_callback(_ignore_failure)
                try:
                    while not work.done():
                        await asyncio.wait({work}, timeout=0.01)
                        if reader.at_eof() or reader.exception() is not None:
                            # A worker drops a request when its connection closes.
                            if not work.done():
                                self._note("dropped", self, request)
                                work.cancel()
                            return
                    work.result()
                    self._note("ran", self, request)
                finally:
                    self.running -= 1
        except (asyncio.IncompleteReadError, ConnectionError, TimeoutError):
            return
        finally:
            self._open.discard(writer)
            writer.close()

    async def _accept(self, request: Request, writer: asyncio.StreamWriter) -> bool:
        status = 0
        if request.fields.get("x-target-instance", self.id) != self.id:
            status = 421
        elif self.running >= self.slots + 30:
            status = 503
        if not status:
            return True
        self._note(f"rejected {status}", self, request)
        head = make_head(request, status, {"X-Not-Executed": "1", "Content-Length": "0"})
        writer.write(head)
        await writer.drain()
        return False


def _ignore_failure(work: asyncio.Future[None]) -> None:
    """Take note of how a request ended whose connection had gone."""
    if not work.cancelled():
        work.exception()


async def _read_request(reader: asyncio.StreamReader) -> Request:
    head = (await reader.readuntil(HEAD_END)).decode()
    line, *fields = head.strip().split("\r\n")
    method, target, _ = line.split(" ")
    pairs = (field.partition(":") for field in fields)
    request = Request(method, target, {n.lower(): v.strip() for n, _, v in pairs})
    length = int(request.fields.get("content-length", "0"))
    request.body = await reader.readexactly(length)
    return request


def make_head(request: Request, status: int, fields: dict[str, str]) -> bytes:
    """Return the head of an answer."""
    lines = [f"HTTP/1.1 {status} X", f"X-Attempt-Id: {request.id}"]
    lines.append(f"X-Response-Signature: {SIGNATURE}")
    lines.append(f"Keep-Alive: timeout={KEEP_ALIVE_S}")
    lines += [f"{name}: {value}" for name, value in fields.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


async def answer(
    worker: Worker,
    request: Request,
    writer: asyncio.StreamWriter,
    body: bytes,
    status: int = 200,
) -> None:
    """Send a whole answer."""
    fields = {"Content-Length": str(len(body)), "X-Instance-Id": worker.id}
    writer.write(make_head(request, status, fields) + body)
    await writer.drain()


def encode_event(request: Request, number: int) -> bytes:
    """Return one event of a stream, as a chunk."""
    event = f"id: {number}\ndata: {request.id} {number}\n\n".encode()
    return f"{len(event):x}\r\n".encode() + event + b"\r\n"


async def stream(
    worker: Worker,
    request: Request,
    writer: asyncio.StreamWriter,
    *,
    events: int,
    pause_s: float,
    confidence: int = 100,
) -> None:
    """Send a whole stream, from the event after `Last-Event-Id` on."""
    fields = {
        "Content-Type": "text/event-stream",
        "Transfer-Encoding": "chunked",
        "X-Confidence": str(confidence),
        "X-Weight-Versions": worker.version.lstrip("v") or "1",
    }
    await asyncio.sleep(pause_s)
    writer.write(make_head(request, 200, fields))
    first = int(request.fields.get("last-event-id", "0")) + 1
    for number in range(first, events + 1):
        writer.write(encode_event(request, number))
        await writer.drain()
        await asyncio.sleep(pause_s)
    writer.write(b"0\r\n\r\n")
    await writer.drain()
