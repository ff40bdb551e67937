"""The port to how requests and answers are marked on the wire."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Protocol, TypeAlias

import msgspec

from baobabthread.routing.table import Envelope

RawHeaders: TypeAlias = Sequence[tuple[bytes, bytes]]


class BackendCall(msgspec.Struct, frozen=True, kw_only=True):
    """Hold what this side tells a backend server about one attempt."""

    backend: str
    """Id of the start that shall run it; another one refuses."""
    time_left_s: float
    account: str | None
    priority: int
    model: str | None
    """The model chosen here; None leaves what the caller sent."""
    last_event: str | None
    """The last event that the caller already has."""


class ResponseMetadata(msgspec.Struct, frozen=True, kw_only=True):
    """Hold what the head of an answer says about it."""

    signed: bool
    request_id: str | None
    not_run: bool
    """Whether the backend server states that it did not run the request."""
    is_other_server: bool
    """Whether it comes from another start than the one that was asked for."""
    confidence: float | None
    """The model's own opinion of its answer, 0 to 1."""
    encoded: bool
    """Whether the body isn't the one that the backend server signed."""
    retry_after_s: float | None = None
    cold_left_s: float = 0.0
    """How much longer the backend server says that it is cold."""


class WireFormat(Protocol):
    """Translate between header fields and what they mean."""

    def decode_envelope(self, headers: Mapping[str, str]) -> Envelope:
        """Decode what a caller's headers say."""

    def encode_request(
        self,
        method: str,
        target: str,
        headers: RawHeaders,
        call: BackendCall,
        body_bytes: int,
    ) -> bytes:
        """Return the head of the request for a backend server."""

    def decode_response(
        self, status: int, headers: Mapping[str, str]
    ) -> ResponseMetadata:
        """Decode what the head of an answer says."""

    def filter_response_headers(self, headers: RawHeaders) -> list[tuple[str, str]]:
        """Return the fields of an answer that are the caller's."""
