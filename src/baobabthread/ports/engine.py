"""The port to model engines: outcomes of requests, load reports and orders."""

from __future__ import annotations

from collections.abc import AsyncGenerator
from typing import Protocol, TypeAlias

import msgspec


class Usage(msgspec.Struct, frozen=True, kw_only=True, gc=False):
    """Count the tokens of one answer."""

    prompt_tokens: int = 0
    cached_tokens: int = 0
    completion_tokens: int = 0


class Answer(msgspec.Struct, frozen=True, kw_only=True):
    """Hold one whole answer to the request that was asked."""

    request_id: str
    body: bytes
    signal: float
    usage: Usage


class Refused(msgspec.Struct, frozen=True, kw_only=True, gc=False):
    """Report a request that the backend server itself says it did not run."""

    kind: str
    status: int
    retry_after_s: float | None = None


class Broken(msgspec.Struct, frozen=True, kw_only=True, gc=False):
    """Report a request without a whole answer."""

    reason: str
    sent: bool
    """False only when no byte of the request can have reached the server."""
    first_byte: bool = False
    """Tell whether a part of the answer arrived."""


class Crossed(msgspec.Struct, frozen=True, kw_only=True, gc=False):
    """Report an answer that carries another request's id; it is never delivered."""

    expected: str
    found: str


class Chunk(msgspec.Struct, frozen=True, kw_only=True, gc=False):
    """Hold successive tokens of a streamed answer as the bytes of their SSE events."""

    index: int
    """The number of the first token within the whole answer."""
    count: int
    raw: bytes


class End(msgspec.Struct, frozen=True, kw_only=True):
    """Report that a streamed answer is whole."""

    signal: float
    usage: Usage
    raw: bytes
    """The bytes of the last event and of the end mark."""


class LoadReport(msgspec.Struct, frozen=True, kw_only=True):
    """Hold what an engine reported of itself some time ago."""

    running: int
    waiting: int
    capacity: int
    versions: list[str]
    fence: int = 0
    tokens_per_s: float = 0.0


class Order(msgspec.Struct, frozen=True, kw_only=True):
    """Tell an engine which versions it shall have loaded."""

    fence: int
    desired: list[str]
    generation: int
    conductor: str


class OrderDone(msgspec.Struct, frozen=True, kw_only=True):
    """Report an order that the engine follows."""

    loaded: list[str]
    loading: list[str]


class OrderStale(msgspec.Struct, frozen=True, kw_only=True, gc=False):
    """Report an order refused for its old fencing number."""

    fence: int


class CacheEvent(msgspec.Struct, frozen=True, kw_only=True, gc=False):
    """Report that an engine stored or evicted one prompt prefix."""

    sequence: int
    kind: str
    prefix: str


class CacheEvents(msgspec.Struct, frozen=True, kw_only=True):
    """Hold cache events, late and with gaps, and where the next ones start."""

    events: list[CacheEvent]
    next: int


Outcome: TypeAlias = Answer | Refused | Broken | Crossed
StreamItem: TypeAlias = Chunk | End | Refused | Broken | Crossed
OrderOutcome: TypeAlias = OrderDone | OrderStale | Refused | Broken


class Engine(Protocol):
    """Ask model engines and give them orders."""

    async def complete(
        self, address: str, *, request_id: str, body: bytes, timeout_s: float
    ) -> Outcome:
        """Return the whole answer or why there is none."""
        ...

    def stream(
        self,
        address: str,
        *,
        request_id: str,
        body: bytes,
        timeout_s: float,
        resume_from: int = 0,
    ) -> AsyncGenerator[StreamItem, None]:
        """Yield chunks, then exactly one item of another type."""
        ...

    async def load(self, address: str, *, timeout_s: float) -> LoadReport | Broken:
        """Return the engine's load report."""
        ...

    async def order(
        self, address: str, order: Order, *, timeout_s: float
    ) -> OrderOutcome:
        """Give an engine its desired set of versions."""
        ...

    async def cancel(self, address: str, request_id: str) -> bool:
        """Cancel a request and tell whether the engine heard it."""
        ...

    async def cache_events(self, address: str, *, after: int) -> CacheEvents | Broken:
        """Return the engine's cache events behind a sequence number."""
        ...
