"""Port to the header fields of requests and responses."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Protocol, TypeAlias

import msgspec
from multidict import MultiMapping

from baobabthread.routing.servers.places import StatedBrittleness
from baobabthread.routing.servers.serverlimits import StatedLimit
from baobabthread.routing.table import Envelope

RawHeaders: TypeAlias = Sequence[tuple[bytes, bytes]]


class BackendCall(msgspec.Struct, frozen=True, kw_only=True):
    """Fields that the instance adds to the request of one attempt."""

    backend: str
    """Id of the process that is to run the request; any other process rejects it."""
    time_left_s: float
    account: str | None
    priority: int
    model: str | None
    """The model chosen by this instance; None keeps the caller's field."""
    last_event: str | None
    """Id of the last event that the caller has received."""


class ResponseMetadata(msgspec.Struct, frozen=True, kw_only=True):
    """Metadata from the head of a backend server's response."""

    signed: bool
    request_id: str | None
    not_run: bool
    """Whether the backend server states that it did not run the request."""
    is_other_server: bool
    """Whether another process responded than the one the request names."""
    confidence: float | None
    """The model's confidence in its response, 0 to 1."""
    encoded: bool
    """Whether a content coding changed the body that the backend server signed."""
    leaving: bool = False
    """Whether the backend server says that it leaves."""
    rest_s: float | None = None
    """Time for which the backend server asks this instance to send it nothing, in
    seconds; None if it doesn't."""
    cold_left_s: float = 0.0
    """Remaining warm-up time that the backend server reports, in seconds."""
    limit: StatedLimit | None = None
    """Limit on the requests that the backend server can take; None if it has none."""
    brittleness: StatedBrittleness | None = None
    """What the backend server bears to reject; None if it states nothing."""


class WireFormat(Protocol):
    """Encode and decode the header fields of requests and responses."""

    def decode_envelope(self, headers: Mapping[str, str]) -> Envelope:
        """Decode the headers of a caller's request."""

    def encode_request(
        self,
        method: str,
        target: str,
        headers: RawHeaders,
        call: BackendCall,
        body_bytes: int,
    ) -> bytes:
        """Return the head of the request to a backend server."""

    def decode_response(
        self, status: int, headers: MultiMapping[str]
    ) -> ResponseMetadata:
        """Decode the head of a backend server's response."""

    def filter_response_headers(
        self, status: int, headers: RawHeaders
    ) -> list[tuple[str, str]]:
        """Return the response headers that are passed on to the caller."""
