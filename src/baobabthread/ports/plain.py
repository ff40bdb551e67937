"""The port to plain services."""

from __future__ import annotations

from typing import Protocol, TypeAlias

import msgspec

from baobabthread.ports.engine import Broken, Crossed, Refused


class PlainAnswer(msgspec.Struct, frozen=True, kw_only=True, gc=False):
    """Hold one whole answer to the call that was made."""

    request_id: str
    body: bytes


PlainOutcome: TypeAlias = PlainAnswer | Refused | Broken | Crossed


class Plain(Protocol):
    """Call plain services."""

    async def call(
        self,
        address: str,
        call: str,
        *,
        request_id: str,
        body: bytes,
        timeout_s: float,
    ) -> PlainOutcome:
        """Return the whole answer or why there is none."""
        ...
