"""Fake backend servers with selectable faults."""

from __future__ import annotations

import asyncio
import enum
import struct
import time
from collections.abc import Awaitable, Callable

from baobabthread.standins.loopback import LoopbackNetwork, own_network

SIGNATURE = "signed-by-the-backend"


class ReceivedRequest:
    """A request as a fake backend server received it."""

    def __init__(self, method: str, target: str, headers: dict[str, str]) -> None:
        self.method = method
        self.target = target
        self.headers = headers
        self.body = b""
        self.sent_bytes = 0
        """Bytes of a response without end that were handed to the system."""
        self.was_aborted = False
        """Whether the client closed its connection before the response was complete."""
        self.cold_left_s = 0.0
        """Remaining warm-up time that the response reports, in seconds."""
        self.limits: tuple[str, ...] = ()
        """Values of the limit that the response states."""
        self.brittle: int | None = None
        """Rejections within a second that the response says the server bears."""
        self.notices: tuple[tuple[str, str], ...] = ()
        """Header fields that the response carries besides."""

    @property
    def shared_parts(self) -> list[str]:
        """The parts of the prompt except for the last one."""
        prefix = self.headers.get("x-prompt-prefix", "")
        return [part.partition(":")[0] for part in prefix.split(",")[:-1]]


class CrashMoment(enum.StrEnum):
    """How far the response to a request gets that crashes the server."""

    BEFORE_HEAD = "before the head"
    AFTER_HEAD = "after the head"
    BETWEEN_EVENTS = "between events"
    INSIDE_EVENT = "inside an event"


class Framing(enum.StrEnum):
    """How the end of a stream is marked."""

    CHUNKED = "chunked"
    CLOSE = "by the end of the connection"


Behaviour = Callable[
    ["FakeBackend", ReceivedRequest, asyncio.StreamWriter], Awaitable[None]
]
OnCrash = Callable[["FakeBackend"], None]
OnArrival = Callable[["FakeBackend", ReceivedRequest, bool], None]
"""Called with each request on arrival, and whether it is executed."""
SLOTS = 8
"""Requests that each server runs at the same time, by its record."""
NOT_EXECUTED = ("shed", "misdirected")
BEHAVIOURS: dict[str, Behaviour] = {}


def register_behaviour(name: str) -> Callable[[Behaviour], Behaviour]:
    """Register a behaviour under a name."""

    def register(behaviour: Behaviour) -> Behaviour:
        BEHAVIOURS[name] = behaviour
        return behaviour

    return register


class FakeBackend:
    """Backend server on real sockets that responds according to its `behaviour`."""

    def __init__(
        self,
        id: str,
        *,
        service: str = "plain",
        version: str = "v1",
        zone: str = "a",
        cold_s: float = 0.0,
        network: LoopbackNetwork | None = None,
    ) -> None:
        self.id = id
        self._network = network or own_network()
        self.service = service
        self.version = version
        self.zone = zone
        self.cold_until = time.monotonic() + cold_s
        self.cold_arrivals: list[float] = []
        """Arrival times of requests that arrived while it was cold."""
        self.reports_cold = False
        """Whether its responses report the remaining warm-up time."""
        self.limits: tuple[str, ...] = ()
        """Values of the limit that its responses state, in requests per second."""
        self.brittle: int | None = None
        """Rejections within a second under which it falls; None if it never does."""
        self.notices: tuple[tuple[str, str], ...] = ()
        """Header fields that its responses carry besides."""
        self.room = SLOTS
        """Requests that it lets in at the same time while it is brittle."""
        self.running = 0
        self.peak_running = 0
        self.rejected_at: list[float] = []
        """When it rejected requests for lack of room."""
        self.falls = 0
        self.awake = asyncio.Event()
        """Cleared while it falls silent though it is sound."""
        self.awake.set()
        self.arrivals: list[float] = []
        """Arrival times of all requests."""
        self.behaviour = "answer"
        self.busy_status = 503
        """Status of its responses while its behaviour is `unstated`."""
        self.large_bytes = 7_900_000
        """Size of the bodies of its responses while its behaviour is `large`."""
        self.confidence: dict[str, int] = {}
        """Confidence of responses by model; 100 for models not listed."""
        self.events = 3
        self.pause_s = 0.0
        self.cut_count = 0
        """Responses broken off one by one, while others end whole."""
        self.seen: list[ReceivedRequest] = []
        self.on_arrival: OnArrival = lambda backend, request, executed: None
        self.crash_on = b""
        """Substring of request bodies that crash the server; empty for none."""
        self.crash_account = ""
        """Only requests of this account crash the server; empty for all accounts."""
        self.crash_s = 0.03
        """Delay from the start of such a request to the crash."""
        self.crash_part = ""
        """Start of the parts of prompts, except for the last one, that crash the server
        as well; empty for none."""
        self.crash_moment = CrashMoment.BETWEEN_EVENTS
        """How far the response to such a request gets, if it is a stream."""
        self.framing = Framing.CHUNKED
        """How the ends of streams are marked."""
        self.is_down = False
        self.on_crash: OnCrash = lambda backend: None
        self.address = ""
        self._server: asyncio.Server | None = None
        self._open: set[asyncio.StreamWriter] = set()

    @property
    def record(self) -> dict[str, object]:
        """The server's record in the store."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": self.version,
            "slots": SLOTS,
            "state": "ready",
            "cold_left_ms": round(self.cold_left_s * 1000),
            "seq": 1,
        }

    @property
    def cold_left_s(self) -> float:
        """The remaining warm-up time in seconds."""
        return max(0.0, self.cold_until - time.monotonic())

    def become_cold(self, seconds: float) -> None:
        """Make the server cold, as after a start."""
        self.cold_until = time.monotonic() + seconds

    def count_peak_cold_arrivals(self) -> int:
        """Return the highest number of requests within any second of its warm-up."""
        times = sorted(self.cold_arrivals)
        return max((sum(t <= u < t + 1.0 for u in times) for t in times), default=0)

    def count_peak_arrivals(self, since: float, window_s: float) -> int:
        """Return the highest number of requests in a window from a time on."""
        times = [at for at in self.arrivals if at >= since]
        return max(
            (sum(t <= u < t + window_s for u in times) for t in times), default=0
        )

    async def start(self, port: int = 0) -> FakeBackend:
        """Listen on a port; 0 picks a free one."""
        host, port = self._network.give_host(1), port or self._network.give_port()
        self._server = await asyncio.start_server(self._serve, host, port)
        self.address = f"{host}:{port}"
        return self

    def close(self) -> None:
        """Stop listening."""
        assert self._server is not None
        self._server.close()

    def crash(self) -> None:
        """Stop listening and reset every connection, as when the process dies."""
        if self.is_down:
            return
        self.is_down = True
        self.close()
        self.end_connections()
        self.on_crash(self)

    def end_connections(self) -> None:
        """End every connection at once."""
        for writer in list(self._open):
            writer.transport.abort()

    def crashes_under(self, request: ReceivedRequest) -> bool:
        """Return whether a request crashes the server."""
        if self.crash_part and any(
            part.startswith(self.crash_part) for part in request.shared_parts
        ):
            return True
        if self.crash_account not in ("", request.headers.get("x-tenant")):
            return False
        return bool(self.crash_on) and self.crash_on in request.body

    def _choose_behaviour(self, request: ReceivedRequest) -> str:
        target = request.headers.get("x-target-instance", self.id)
        if target != self.id:
            return "misdirected"
        if self.brittle is not None and self.running >= self.room:
            return self._reject(self.brittle)
        return "crash" if self.crashes_under(request) else self.behaviour

    async def _run(
        self, behaviour: str, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        self.running += 1
        self.peak_running = max(self.peak_running, self.running)
        try:
            await self.awake.wait()
            await BEHAVIOURS[behaviour](self, request, writer)
        finally:
            self.running -= 1

    async def fall_silent(self, seconds: float) -> None:
        """Send nothing for a while, and go on."""
        self.awake.clear()
        await asyncio.sleep(seconds)
        self.awake.set()

    def _reject(self, borne: int) -> str:
        """Reject for lack of room, or fall if that is once too often."""
        at = time.monotonic()
        self.rejected_at.append(at)
        if sum(at - each < 1.0 for each in self.rejected_at) <= borne:
            return "shed"
        self.falls += 1
        return "crash"

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._open.add(writer)
        try:
            while True:
                request = await _read_request(reader)
                self.seen.append(request)
                self.arrivals.append(time.monotonic())
                request.limits = self.limits
                request.brittle = self.brittle
                request.notices = self.notices
                behaviour = self._choose_behaviour(request)
                if self.cold_left_s and behaviour != "misdirected":
                    self.cold_arrivals.append(time.monotonic())
                request.cold_left_s = self.cold_left_s if self.reports_cold else 0.0
                self.on_arrival(self, request, behaviour not in NOT_EXECUTED)
                work = asyncio.ensure_future(self._run(behaviour, request, writer))
                while not work.done():
                    await asyncio.wait({work}, timeout=0.02)
                    is_gone = reader.at_eof() or reader.exception() is not None
                    if is_gone and not work.done():
                        request.was_aborted = True
                        work.cancel()
                        return
                work.result()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            return
        finally:
            self._open.discard(writer)
            writer.close()


async def _read_request(reader: asyncio.StreamReader) -> ReceivedRequest:
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    line, *fields = head.strip().split("\r\n")
    method, target, _ = line.split(" ")
    headers = {
        name.lower(): value.strip()
        for name, _, value in (field.partition(":") for field in fields)
    }
    request = ReceivedRequest(method, target, headers)
    request.body = await reader.readexactly(int(headers.get("content-length", "0")))
    return request


def render_response_head(request: ReceivedRequest, status: int, **more: str) -> bytes:
    """Return the head of the response to a request."""
    fields = {"X-Attempt-Id": request.headers.get("x-attempt-id", "")}
    if status < 300 or status >= 500:
        fields["X-Response-Signature"] = SIGNATURE
    if request.cold_left_s:
        fields["X-Cold-Ms"] = str(round(request.cold_left_s * 1000))
    lines = [f"Server-Limit: {limit}" for limit in request.limits]
    if request.brittle is not None:
        lines.append(f"Server-Brittle: {request.brittle}")
    lines += [f"{name}: {value}" for name, value in request.notices]
    fields |= {name.replace("_", "-"): value for name, value in more.items()}
    lines.insert(0, f"HTTP/1.1 {status} X")
    lines += [f"{name}: {value}" for name, value in fields.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


@register_behaviour("answer")
async def respond(
    backend: FakeBackend, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Send a complete response; an event stream if the request names a model."""
    await asyncio.sleep(backend.pause_s)
    if "x-model" in request.headers:
        await stream(backend, request, writer)
        return
    body = f"answer of {backend.id}".encode()
    writer.write(
        render_response_head(request, 200, Content_Length=str(len(body))) + body
    )


async def stream(
    backend: FakeBackend,
    request: ReceivedRequest,
    writer: asyncio.StreamWriter,
    *,
    cut: int = -1,
) -> None:
    """Send the events after the last received one; reset within event `cut`."""
    model = request.headers["x-model"]
    confidence = str(backend.confidence.get(model, 100))
    encode = _write_stream_head(backend, request, writer, X_Confidence=confidence)
    start = int(request.headers.get("last-event-id", "0"))
    for number in range(start + 1, backend.events + 1):
        event = f"id: {number}\ndata: {model} piece {number}\n\n".encode()
        if number == cut:
            writer.write(encode(event[:10]))
            await writer.drain()
            await asyncio.sleep(0.02)
            writer.transport.abort()
            return
        await backend.awake.wait()
        writer.write(encode(event))
        await writer.drain()
        await asyncio.sleep(backend.pause_s)
    if backend.framing is Framing.CHUNKED:
        writer.write(b"0\r\n\r\n")
    else:
        writer.close()


def _write_stream_head(
    backend: FakeBackend,
    request: ReceivedRequest,
    writer: asyncio.StreamWriter,
    **more: str,
) -> Callable[[bytes], bytes]:
    """Begin a stream and return the function that encodes its events."""
    fields = {"Content_Type": "text/event-stream", **more}
    if backend.framing is Framing.CHUNKED:
        fields["Transfer_Encoding"] = "chunked"
    writer.write(render_response_head(request, 200, **fields))
    return _chunk if backend.framing is Framing.CHUNKED else bytes


def _chunk(data: bytes) -> bytes:
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


@register_behaviour("stream_cut")
async def cut_stream(
    backend: FakeBackend, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Reset the connection within the second event."""
    await stream(backend, request, writer, cut=2)


@register_behaviour("fail")
async def fail(
    backend: FakeBackend, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Execute the request and respond with a failure."""
    body = b"own failure"
    writer.write(
        render_response_head(request, 500, Content_Length=str(len(body))) + body
    )


@register_behaviour("refuse")
async def refuse(
    backend: FakeBackend, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Execute the request and find fault with it."""
    writer.write(render_response_head(request, 400, Content_Length="0"))


@register_behaviour("large")
async def send_large_body(
    backend: FakeBackend, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Execute the request and respond with a large body."""
    body = bytes(backend.large_bytes)
    writer.write(
        render_response_head(request, 200, Content_Length=str(len(body))) + body
    )
    await writer.drain()


@register_behaviour("unstated")
async def reject_after_running(
    backend: FakeBackend, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Execute the request and respond as busy, without stating that it did not run."""
    writer.write(render_response_head(request, backend.busy_status, Content_Length="0"))


@register_behaviour("shed")
async def shed(
    backend: FakeBackend, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Reject the request without executing it."""
    writer.write(
        render_response_head(request, 503, X_Not_Executed="1", Content_Length="0")
    )


@register_behaviour("shed_tenth")
async def shed_tenth(
    backend: FakeBackend, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Reject every tenth request without executing it."""
    is_rejected = len(backend.seen) % 10 == 0
    await BEHAVIOURS["shed" if is_rejected else "answer"](backend, request, writer)


@register_behaviour("shed_late")
async def shed_late(
    backend: FakeBackend, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Reject the request after a pause."""
    await asyncio.sleep(backend.pause_s)
    await shed(backend, request, writer)


@register_behaviour("fail_503")
async def fail_unavailable(
    backend: FakeBackend, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Execute the request and respond that the server is unavailable."""
    body = b"own failure"
    writer.write(
        render_response_head(request, 503, Content_Length=str(len(body))) + body
    )


@register_behaviour("misdirected")
async def misdirect(
    backend: FakeBackend, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Reject a request for another backend server that had this address before."""
    writer.write(render_response_head(request, 421, Content_Length="0"))


@register_behaviour("mute")
async def never_respond(
    backend: FakeBackend, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Execute the request and never respond."""
    await asyncio.sleep(30)


@register_behaviour("cut")
async def cut(
    backend: FakeBackend, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Reset the connection in the middle of the body."""
    writer.write(render_response_head(request, 200, Content_Length="100") + b"half")
    await writer.drain()
    writer.transport.abort()


@register_behaviour("unframed_reset")
async def reset_unframed(
    backend: FakeBackend, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Send a body without a length and reset the connection instead of closing it."""
    writer.write(render_response_head(request, 200) + b"half of a body")
    await writer.drain()
    await asyncio.sleep(0.02)
    sock = writer.get_extra_info("socket")
    sock.setsockopt(1, 13, struct.pack("ii", 1, 0))  # SO_LINGER: close resets
    writer.transport.abort()


@register_behaviour("unframed")
async def respond_unframed(
    backend: FakeBackend, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Send a complete body without a length that ends as the connection closes."""
    writer.write(render_response_head(request, 200) + b"whole body")
    await writer.drain()
    writer.close()


@register_behaviour("unframed_crash")
async def crash_in_unframed(
    backend: FakeBackend, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Send a part of a body without a length and crash without a reset."""
    writer.write(render_response_head(request, 200) + b"half of a body")
    await writer.drain()
    await asyncio.sleep(backend.crash_s)
    backend.crash()


@register_behaviour("extra")
async def respond_twice(
    backend: FakeBackend, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Send a second response after a complete one."""
    await respond(backend, request, writer)
    writer.write(render_response_head(request, 200, Content_Length="5") + b"stray")


@register_behaviour("other_id")
async def respond_to_other(
    backend: FakeBackend, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Send the response to another request."""
    other = ReceivedRequest("GET", "/", {"x-attempt-id": "of-somebody-else"})
    other.notices = request.notices
    writer.write(render_response_head(other, 200, Content_Length="5") + b"other")


@register_behaviour("unsigned")
async def respond_unsigned(
    backend: FakeBackend, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Respond with success but without a signature."""
    id = request.headers["x-attempt-id"]
    writer.write(
        f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nContent-Length: 2\r\n\r\nok".encode()
    )


@register_behaviour("crash")
async def crash_under(
    backend: FakeBackend, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Start the request, send as much of a stream as is set, and crash."""
    moment = backend.crash_moment
    if "x-model" in request.headers and moment is not CrashMoment.BEFORE_HEAD:
        encode = _write_stream_head(backend, request, writer, X_Confidence="100")
        number = int(request.headers.get("last-event-id", "0")) + 1
        event = f"id: {number}\ndata: first\n\n".encode()
        if moment is not CrashMoment.AFTER_HEAD:
            writer.write(encode(event))
        if moment is CrashMoment.INSIDE_EVENT:
            writer.write(encode(f"id: {number + 1}\nda".encode()))
    await asyncio.sleep(backend.crash_s)
    backend.crash()
