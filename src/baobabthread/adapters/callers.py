"""The callers' HTTP interface: parse requests, render answers and problems."""

from __future__ import annotations

import asyncio
import hashlib
import re
from collections.abc import Awaitable, Callable

import msgspec
from aiohttp import web

from baobabthread.core.configuration.configuration import Priority
from baobabthread.core.events import RequestArrived
from baobabthread.errors import Kind, Problem, Ran, RequestError
from baobabthread.loglimits import LineRateLimiter
from baobabthread.logs import log_event

CHAT_PATH = "/v1/chat/completions"
SERVICES_PREFIX = "/v1/services/"
BODY_TIMEOUT_S = 20.0
MAX_KEY_LENGTH = 200
MAX_NAME_LENGTH = 200
MAX_TOKEN_LENGTH = 2_048
MAX_DEADLINE_S = 86_400.0
MAX_MESSAGES = 2_000
REFUSAL_LINES_PER_S = 20.0
"""Log lines per second for requests that callers must mend, as many as at instances."""
FAULTS_OF_CALLERS = {
    Kind.BAD_REQUEST,
    Kind.UNAUTHENTICATED,
    Kind.FORBIDDEN,
    Kind.UNKNOWN_SERVICE,
    Kind.UNKNOWN_CALL,
    Kind.UNKNOWN_MODEL,
    Kind.NOT_FOUND,
    Kind.TOO_LARGE,
    Kind.KEY_REUSED,
    Kind.KEY_EXPIRED,
    Kind.NO_VERSION,
}
"""What callers must mend; refusals for load or faults here show in the metrics."""
KEY = re.compile(r"[\x21-\x7e]{1,200}")

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]

_encoder = msgspec.json.Encoder()


class ChatMessage(msgspec.Struct):
    """Hold the part of a chat message that routing looks at."""

    role: str
    content: str | list[msgspec.Raw] | None = None


class ChatBody(msgspec.Struct):
    """Hold the fields of a chat request that the router checks."""

    model: str
    messages: list[ChatMessage]
    stream: bool = False
    max_tokens: int = 0
    user: str | None = None


_decode_chat = msgspec.json.Decoder(ChatBody).decode
_decode_object = msgspec.json.Decoder(dict[str, msgspec.Raw]).decode


def refuse(
    kind: Kind, detail: str, remedy: str, *, retry_after_s: float | None = None
) -> RequestError:
    """Build the error for a request that was not run."""
    return RequestError(
        Problem(
            kind=kind,
            detail=detail,
            remedy=remedy,
            ran=Ran.NO,
            retry_after_s=retry_after_s,
        )
    )


_refusal_lines = LineRateLimiter(per_s=REFUSAL_LINES_PER_S)


def _log_refusal(problem: Problem) -> None:
    if not _refusal_lines.try_acquire():
        return
    suppressed, _refusal_lines.suppressed = _refusal_lines.suppressed, 0
    log_event(
        "request_refused",
        kind=problem.kind,
        request=problem.request_id,
        detail=problem.detail,
        suppressed=suppressed,
    )


def render_problem(problem: Problem) -> web.Response:
    """Turn a problem into an HTTP response."""
    if problem.kind in FAULTS_OF_CALLERS:
        _log_refusal(problem)
    headers = {}
    if problem.retry_after_s is not None:
        headers["Retry-After"] = str(max(1, round(problem.retry_after_s)))
    if problem.request_id is not None:
        headers["X-Request-Id"] = problem.request_id
    return web.Response(
        status=problem.status,
        body=_encoder.encode(problem),
        content_type="application/problem+json",
        headers=headers,
    )


def render_error_event(problem: Problem) -> bytes:
    """Turn a problem into the typed event that ends a broken stream."""
    return b"event: error\ndata: " + _encoder.encode(problem) + b"\n\n"


async def read_body(
    request: web.BaseRequest, *, limit: int, timeout_s: float = BODY_TIMEOUT_S
) -> bytes:
    """Read a body of bounded size within a bounded time."""
    length = request.content_length
    if length is not None and length > limit:
        raise refuse(
            Kind.TOO_LARGE, f"the body is over {limit} bytes", "send a smaller body"
        )
    if request.headers.get("Expect", "").lower() == "100-continue":
        await _invite_body(request)
    try:
        # A caller that sends a byte a minute would hold its connection and buffer for
        # ever; the whole body has one bound, so that trickling does not renew it.
        async with asyncio.timeout(timeout_s):
            body = bytearray()
            async for chunk in request.content.iter_any():
                body += chunk
                if len(body) > limit:
                    raise refuse(
                        Kind.TOO_LARGE,
                        f"the body is over {limit} bytes",
                        "send a smaller body",
                    )
    except web.RequestPayloadError as error:
        raise refuse(
            Kind.BAD_REQUEST,
            f"the body can't be read ({type(error).__name__})",
            "send the body whole, and compressed as Content-Encoding says",
        ) from None
    except TimeoutError:
        raise refuse(
            Kind.BAD_REQUEST,
            f"the body did not arrive within {timeout_s:g} s",
            "send the body without pauses",
        ) from None
    return bytes(body)


async def _invite_body(request: web.BaseRequest) -> None:
    """Tell a caller that asked beforehand to send its body."""
    await request.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
    # Counted as output, the line would pass for the beginning of an answer.
    request.writer.output_size = 0


def hash_bearer(request: web.BaseRequest) -> str:
    """Return the SHA-256 of the bearer key or raise a 401."""
    header = request.headers.get("Authorization", "")
    scheme, _, key = header.partition(" ")
    if scheme.lower() != "bearer" or not key:
        raise refuse(
            Kind.UNAUTHENTICATED,
            "no bearer key",
            "send the client account's key as 'Authorization: Bearer KEY'",
        )
    return hashlib.sha256(key.strip().encode(errors="surrogateescape")).hexdigest()


def parse_chat(
    request: web.BaseRequest, body: bytes, *, request_id: str
) -> RequestArrived:
    """Check a chat request and turn it into an event."""
    try:
        chat = _decode_chat(body)
    except (msgspec.DecodeError, RecursionError) as error:
        raise refuse(
            Kind.BAD_REQUEST,
            f"not a chat request: {error}",
            "send JSON with 'model' and 'messages'",
        ) from None
    if not chat.messages or len(chat.messages) > MAX_MESSAGES:
        raise refuse(
            Kind.BAD_REQUEST,
            f"{len(chat.messages)} messages",
            f"send from 1 to {MAX_MESSAGES} messages",
        )
    if chat.max_tokens < 0:
        raise refuse(
            Kind.BAD_REQUEST, "max_tokens is below 0", "send 0 or more, or leave it out"
        )
    last = chat.messages[-1].content
    arrived = _arrival(request, body, request_id=request_id)
    arrived.service = chat.model
    arrived.call = _parse_name(request, "Baobab-Call") or ""
    arrived.is_model = True
    arrived.stream = chat.stream
    arrived.max_tokens = chat.max_tokens
    arrived.prompt = last if isinstance(last, str) else ""
    first = chat.messages[0].content
    arrived.prefix = first if isinstance(first, str) else ""
    return arrived


def parse_plain(
    request: web.BaseRequest, body: bytes, *, request_id: str
) -> RequestArrived:
    """Check a call of a plain service and turn it into an event."""
    service, _, call = request.path.removeprefix(SERVICES_PREFIX).partition("/")
    if not service or not call or "/" in call:
        raise refuse(
            Kind.NOT_FOUND,
            "no such path",
            f"call POST {SERVICES_PREFIX}SERVICE/CALL",
        )
    try:
        if body:
            _decode_object(body)
    except (msgspec.DecodeError, RecursionError) as error:
        raise refuse(
            Kind.BAD_REQUEST, f"not a JSON object: {error}", "send a JSON object"
        ) from None
    arrived = _arrival(request, body or b"{}", request_id=request_id)
    arrived.service = service
    arrived.call = call
    return arrived


def _arrival(
    request: web.BaseRequest, body: bytes, *, request_id: str
) -> RequestArrived:
    headers = request.headers
    return RequestArrived(
        request_id=request_id,
        service="",
        call="",
        is_model=False,
        key_sha256=hash_bearer(request),
        body=body,
        deadline_s=_parse_deadline(headers.get("X-Deadline-Ms")),
        priority=_parse_priority(headers.get("Baobab-Priority")),
        idempotency_key=_parse_key(headers.get("Idempotency-Key")),
        session=_parse_token(headers.get("Baobab-Session")),
        session_name=_parse_name(request, "Baobab-Session-Name"),
    )


def _parse_deadline(text: str | None) -> float | None:
    if text is None:
        return None
    try:
        seconds = int(text) / 1000
    except ValueError:
        seconds = -1.0
    if not 0 < seconds <= MAX_DEADLINE_S:
        raise refuse(
            Kind.BAD_REQUEST,
            "X-Deadline-Ms is not a time left in milliseconds",
            f"send a whole number from 1 to {int(MAX_DEADLINE_S * 1000)}",
        )
    return seconds


def _parse_priority(text: str | None) -> Priority | None:
    if text is None:
        return None
    try:
        return Priority(text)
    except ValueError:
        raise refuse(
            Kind.BAD_REQUEST,
            "Baobab-Priority is not a class",
            f"send one of: {', '.join(Priority)}",
        ) from None


def _parse_key(text: str | None) -> str | None:
    if text is not None and not KEY.fullmatch(text):
        raise refuse(
            Kind.BAD_REQUEST,
            "Idempotency-Key is not a key",
            f"send from 1 to {MAX_KEY_LENGTH} visible ASCII characters",
        )
    return text


def _parse_name(request: web.BaseRequest, header: str) -> str | None:
    # Bytes that aren't UTF-8 arrive as surrogates, which no message to a peer and no
    # answer can carry: refused here, they can't break either.
    text = request.headers.get(header)
    if text and (len(text) > MAX_NAME_LENGTH or not text.isprintable()):
        raise refuse(
            Kind.BAD_REQUEST,
            f"{header} is not a name",
            f"send from 1 to {MAX_NAME_LENGTH} printable characters in UTF-8",
        )
    return text


def _parse_token(text: str | None) -> str | None:
    if text and (len(text) > MAX_TOKEN_LENGTH or not text.isascii()):
        raise refuse(
            Kind.BAD_REQUEST,
            "Baobab-Session is not a session token",
            "send the token as an earlier answer gave it, or leave it out",
        )
    return text


def build_chat_body(
    body: bytes, *, version: str, priority: int, resume_from: int
) -> bytes:
    """Rewrite a chat request for a version, keeping the caller's other fields."""
    fields = _decode_object(body)
    fields["model"] = msgspec.Raw(_encoder.encode(version))
    fields["priority"] = msgspec.Raw(b"%d" % priority)
    # Only the entry resumes: a caller's own field would have the engine leave out the
    # beginning, and the rest would pass for the whole answer.
    fields.pop("resume_from", None)
    if resume_from:
        fields["resume_from"] = msgspec.Raw(b"%d" % resume_from)
    return _encoder.encode(fields)
