"""Header fields of the platform's requests and responses."""

from __future__ import annotations

import email.utils
import re
import time
from collections.abc import Mapping

from multidict import MultiMapping

from baobabthread.instance.wire import BackendCall, RawHeaders, ResponseMetadata
from baobabthread.routing.servers.places import StatedBrittleness
from baobabthread.routing.servers.serverlimits import StatedLimit
from baobabthread.routing.table import Envelope, PromptPart

REQUEST_ID = "X-Attempt-Id"
SIGNATURE = "X-Response-Signature"
TIMEOUT_MS = "X-Timeout-Ms"
NOT_EXECUTED = "X-Not-Executed"
MODEL = "X-Model"
TOKEN_USAGE = "X-Token-Usage"
LENGTH_HINT = "X-Length-Hint"
PROMPT_PREFIX = "X-Prompt-Prefix"
ACCOUNT = "X-Tenant"
TARGET_BACKEND = "X-Target-Instance"
PRIORITY = "X-Request-Priority"
CONFIDENCE = "X-Confidence"
COLD_MS = "X-Cold-Ms"
LEAVING = "Server-Leaving"
LEAVING_VALUE = "1"
RETRY_AFTER = "Retry-After"
DATE = "Date"
MAX_DATE_CHARS = 64
LIMIT = "Server-Limit"
BRITTLE = "Server-Brittle"
LAST_EVENT = "Last-Event-Id"
SESSION = "Session"
AUTHORIZATION = "Authorization"
AUTHORIZATION_SCHEME = "token "
MISDIRECTED_STATUS = 421
UNAVAILABLE_STATUS = 503
LOWEST_PRIORITY = 9
MS_PER_S = 1000.0

_HOP_BY_HOP_HEADERS = {
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
_RESERVED_HEADERS = {
    # Only the instance may set these. If callers' values were passed on, a backend
    # server would charge another client account, reserve memory or continue from
    # another request's state.
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
MAX_NUMBER = 1e12
"""Limit of numbers in header fields."""
_DECIMAL_NUMBER = re.compile(r"\d+(\.\d*)?([eE][+-]?\d{1,4})?", re.ASCII)
_TOKEN_COUNTS = re.compile(r"\s*(\d{1,12})\s*,\s*(\d{1,12})\s*\Z", re.ASCII)
_TOKENS = re.compile(r"\d{1,12}", re.ASCII)


class PlatformWireFormat:
    """The platform's `WireFormat`."""

    __slots__ = ()

    def decode_envelope(self, headers: Mapping[str, str]) -> Envelope:
        """Decode the headers of a caller's request; invalid fields count as absent."""
        prompt, output = _parse_token_counts(headers.get(TOKEN_USAGE))
        return Envelope(
            request_id=headers.get(REQUEST_ID, ""),
            key=_parse_key(headers.get(AUTHORIZATION)),
            time_left_s=_parse_ms(headers.get(TIMEOUT_MS)),
            model=headers.get(MODEL),
            prompt_tokens=prompt,
            output_tokens=output,
            expected_tokens=int(_parse_number(headers.get(LENGTH_HINT)) or 0),
            prompt_parts=_parse_prompt_parts(headers.get(PROMPT_PREFIX)),
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
        """Return the head of the request to a backend server."""
        dropped = (
            _HOP_BY_HOP_HEADERS | _RESERVED_HEADERS | _list_connection_options(headers)
        )
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
        for name, value in _make_reserved_headers(call):
            lines.append(f"{name}: {value}".encode("utf-8", "surrogateescape"))
        if body_bytes or method not in ("GET", "HEAD", "DELETE"):
            lines.append(f"Content-Length: {body_bytes}".encode())
        return b"\r\n".join(lines) + b"\r\n\r\n"

    def decode_response(
        self, status: int, headers: MultiMapping[str]
    ) -> ResponseMetadata:
        """Decode the head of a backend server's response."""
        confidence = _parse_number(headers.get(CONFIDENCE))
        return ResponseMetadata(
            signed=SIGNATURE in headers,
            request_id=headers.get(REQUEST_ID),
            not_run=NOT_EXECUTED in headers or status == MISDIRECTED_STATUS,
            is_other_server=status == MISDIRECTED_STATUS,
            confidence=None if confidence is None else confidence / 100.0,
            encoded=headers.get("Content-Encoding", "identity").lower() != "identity",
            leaving=LEAVING_VALUE in _split_values(headers, LEAVING),
            rest_s=_parse_rest(status, headers),
            cold_left_s=_parse_ms(headers.get(COLD_MS)) or 0.0,
            limit=_parse_limit(headers),
            brittleness=_parse_brittleness(headers),
        )

    def filter_response_headers(
        self, status: int, headers: RawHeaders
    ) -> list[tuple[str, str]]:
        """Return the response headers that are passed on to the caller."""
        dropped = _HOP_BY_HOP_HEADERS | _list_connection_options(headers)
        if status == UNAVAILABLE_STATUS:
            # It is meant for this instance; callers would keep away from all servers.
            dropped.add(b"retry-after")
        return [
            (
                name.decode("utf-8", "surrogateescape"),
                value.decode("utf-8", "surrogateescape"),
            )
            for name, value in headers
            if name.lower() not in dropped
        ]


def _make_reserved_headers(call: BackendCall) -> list[tuple[str, str]]:
    fields = [
        (TIMEOUT_MS, str(max(1, int(call.time_left_s * MS_PER_S)))),
        (TARGET_BACKEND, call.backend),
        (PRIORITY, str(min(LOWEST_PRIORITY, max(0, call.priority)))),
    ]
    if call.account is not None:
        fields.append((ACCOUNT, call.account))
    if call.model is not None:
        fields.append((MODEL, call.model))
    if call.last_event is not None:
        fields.append((LAST_EVENT, call.last_event))
    return fields


def _list_connection_options(headers: RawHeaders) -> set[bytes]:
    return {
        token.strip().lower()
        for name, value in headers
        if name.lower() == b"connection"
        for token in value.split(b",")
    }


def _parse_key(value: str | None) -> str | None:
    if value is None or not value.lower().startswith(AUTHORIZATION_SCHEME):
        return None
    return value[len(AUTHORIZATION_SCHEME) :].strip()


def _parse_ms(value: str | None) -> float | None:
    number = _parse_number(value)
    return None if number is None else number / MS_PER_S


def _parse_number(value: str | None) -> float | None:
    try:
        number = None if value is None else float(value)
    except ValueError:
        return None
    return number if number is not None and abs(number) <= MAX_NUMBER else None


def _parse_rest(status: int, headers: MultiMapping[str]) -> float | None:
    """Return the longest rest that a rejection asks for, None if it asks for none."""
    if status != UNAVAILABLE_STATUS:
        return None
    rests = [
        _parse_delay(value.strip(), headers.get(DATE))
        for value in headers.getall(RETRY_AFTER, ())
    ]
    return max((rest for rest in rests if rest), default=None)


def _parse_delay(value: str, sent: str | None) -> float | None:
    """Return a delay in seconds, which may be given as a date; None if unreadable."""
    if _DECIMAL_NUMBER.fullmatch(value):
        return float(value)
    until = _parse_date(value)
    if until is None:
        return None
    # The server's clock may differ from the one here.
    since = _parse_date(sent or "")
    return max(0.0, until - (time.time() if since is None else since))


def _parse_date(value: str) -> float | None:
    """Return the Unix time of an HTTP date in seconds; None if it is none."""
    if len(value) > MAX_DATE_CHARS:
        return None
    try:
        return email.utils.parsedate_to_datetime(value).timestamp()
    except (ValueError, OverflowError):
        return None


def _parse_limit(headers: MultiMapping[str]) -> StatedLimit | None:
    """Return the smallest limit that is given, None if there is no such field."""
    values = _split_values(headers, LIMIT)
    return StatedLimit(per_s=_find_smallest(values)) if values else None


def _parse_brittleness(headers: MultiMapping[str]) -> StatedBrittleness | None:
    """Return the smallest number that is given, None if there is no such field."""
    values = _split_values(headers, BRITTLE)
    if not values:
        return None
    return StatedBrittleness(rejections=_find_smallest(values))


def _split_values(headers: MultiMapping[str], name: str) -> list[str]:
    fields = headers.getall(name, ())
    return [value.strip() for field in fields for value in field.split(",")]


def _find_smallest(values: list[str]) -> float | None:
    """Return the smallest of decimal numbers; None if any of them is none."""
    if not all(_DECIMAL_NUMBER.fullmatch(value) for value in values):
        return None
    return min(MAX_NUMBER, *(float(value) for value in values))


def _parse_token_counts(value: str | None) -> tuple[int, int]:
    match = _TOKEN_COUNTS.match(value or "")
    return (int(match.group(1)), int(match.group(2))) if match else (0, 0)


def _parse_prompt_parts(value: str | None) -> tuple[PromptPart, ...]:
    if not value:
        return ()
    parts = []
    for item in value.split(","):
        id, colon, tokens = item.strip().partition(":")
        if not colon or not _TOKENS.fullmatch(tokens):
            return ()
        parts.append(PromptPart(id=id, tokens=int(tokens)))
    return tuple(parts)
