"""Header fields of requests and answers, and what they mean."""

from __future__ import annotations

import re
from collections.abc import Mapping

from baobabthread.instance.wire import AnswerMarks, BackendCall, RawHeaders
from baobabthread.routing.table import Envelope, PromptPart

REQUEST_ID = "X-Attempt-Id"
SIGNATURE = "X-Response-Signature"
TIME_LEFT = "X-Timeout-Ms"
NOT_RUN = "X-Not-Executed"
MODEL = "X-Model"
TOKENS = "X-Token-Usage"
LENGTH_HINT = "X-Length-Hint"
PROMPT_PARTS = "X-Prompt-Prefix"
ACCOUNT = "X-Tenant"
BACKEND = "X-Target-Instance"
PRIORITY = "X-Request-Priority"
CONFIDENCE = "X-Confidence"
COLD_LEFT = "X-Cold-Ms"
LAST_EVENT = "Last-Event-Id"
SESSION = "Session"
KEY = "Authorization"
KEY_SCHEME = "token "
MISDIRECTED = 421
LOWEST_PRIORITY = 9
MS = 1000.0

_ONE_CONNECTION = {
    b"connection",
    b"keep-alive",
    b"proxy-connection",
    b"proxy-authorization",
    b"te",
    b"trailer",
    b"transfer-encoding",
    b"upgrade",
    b"content-length",
    b"expect",
}
_OURS = {
    # Callers forge these: a backend server would then charge another client account,
    # reserve memory or continue from somebody else's.
    b"authorization",
    b"x-tenant",
    b"x-target-instance",
    b"x-request-priority",
    b"x-expected-version",
    b"x-timeout-ms",
    b"x-hold",
    b"x-pin-ms",
    b"x-kv-backup",
    b"kv-from",
    b"kv-fetch",
}
_NUMBERS = re.compile(r"\s*(\d+)\s*,\s*(\d+)\s*$")


class PlatformWire:
    """Translate between the platform's header fields and what they mean."""

    __slots__ = ()

    def read_envelope(self, headers: Mapping[str, str]) -> Envelope:
        """Decode what a caller's headers say; what can't be read counts as absent."""
        prompt, output = _read_pair(headers.get(TOKENS))
        return Envelope(
            request_id=headers.get(REQUEST_ID, ""),
            key=_read_key(headers.get(KEY)),
            time_left_s=_read_ms(headers.get(TIME_LEFT)),
            model=headers.get(MODEL),
            prompt_tokens=prompt,
            output_tokens=output,
            expected_tokens=int(_read_number(headers.get(LENGTH_HINT)) or 0),
            prompt_parts=_read_parts(headers.get(PROMPT_PARTS)),
            last_event=headers.get(LAST_EVENT),
            session=headers.get(SESSION),
        )

    def encode_request(
        self,
        method: str,
        target: str,
        headers: RawHeaders,
        call: BackendCall,
        body_bytes: int,
    ) -> bytes:
        """Return the head of the request for a backend server."""
        dropped = _ONE_CONNECTION | _OURS | _named_by_connection(headers)
        if call.model is not None:
            dropped.add(b"x-model")
        if call.last_event is not None:
            dropped.add(b"last-event-id")
        lines = [f"{method} {target} HTTP/1.1".encode("utf-8", "surrogateescape")]
        lines.extend(
            name + b": " + value
            for name, value in headers
            if name.lower() not in dropped
        )
        for name, value in _list_ours(call):
            lines.append(f"{name}: {value}".encode("utf-8", "surrogateescape"))
        if body_bytes or method not in ("GET", "HEAD", "DELETE"):
            lines.append(f"Content-Length: {body_bytes}".encode())
        return b"\r\n".join(lines) + b"\r\n\r\n"

    def read_marks(self, status: int, headers: Mapping[str, str]) -> AnswerMarks:
        """Decode what the head of an answer says."""
        confidence = _read_number(headers.get(CONFIDENCE))
        return AnswerMarks(
            signed=SIGNATURE in headers,
            request_id=headers.get(REQUEST_ID),
            not_run=NOT_RUN in headers or status == MISDIRECTED,
            is_other_server=status == MISDIRECTED,
            confidence=None if confidence is None else confidence / 100.0,
            encoded=headers.get("Content-Encoding", "identity").lower() != "identity",
            retry_after_s=_read_number(headers.get("Retry-After")),
            cold_left_s=_read_ms(headers.get(COLD_LEFT)) or 0.0,
        )

    def pass_headers(self, headers: RawHeaders) -> list[tuple[str, str]]:
        """Return the fields of an answer that are the caller's."""
        dropped = _ONE_CONNECTION | _named_by_connection(headers)
        return [
            (
                name.decode("utf-8", "surrogateescape"),
                value.decode("utf-8", "surrogateescape"),
            )
            for name, value in headers
            if name.lower() not in dropped
        ]


def _list_ours(call: BackendCall) -> list[tuple[str, str]]:
    fields = [
        (TIME_LEFT, str(max(1, int(call.time_left_s * MS)))),
        (BACKEND, call.backend),
        (PRIORITY, str(min(LOWEST_PRIORITY, max(0, call.priority)))),
    ]
    if call.account is not None:
        fields.append((ACCOUNT, call.account))
    if call.model is not None:
        fields.append((MODEL, call.model))
    if call.last_event is not None:
        fields.append((LAST_EVENT, call.last_event))
    return fields


def _named_by_connection(headers: RawHeaders) -> set[bytes]:
    return {
        token.strip().lower()
        for name, value in headers
        if name.lower() == b"connection"
        for token in value.split(b",")
    }


def _read_key(value: str | None) -> str | None:
    if value is None or not value.lower().startswith(KEY_SCHEME):
        return None
    return value[len(KEY_SCHEME) :].strip()


def _read_ms(value: str | None) -> float | None:
    number = _read_number(value)
    return None if number is None else number / MS


def _read_number(value: str | None) -> float | None:
    try:
        return None if value is None else float(value)
    except ValueError:
        return None


def _read_pair(value: str | None) -> tuple[int, int]:
    found = _NUMBERS.match(value or "")
    return (int(found.group(1)), int(found.group(2))) if found else (0, 0)


def _read_parts(value: str | None) -> tuple[PromptPart, ...]:
    if not value:
        return ()
    parts = []
    for item in value.split(","):
        id, colon, tokens = item.strip().partition(":")
        if not colon or not tokens.isdigit():
            return ()
        parts.append(PromptPart(id=id, tokens=int(tokens)))
    return tuple(parts)
