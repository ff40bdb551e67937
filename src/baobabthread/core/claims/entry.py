"""Hold what an incarnation knows of a key that it may dispatch."""

from __future__ import annotations

import enum

from baobabthread.core.claims.keys import ClaimKey
from baobabthread.core.claims.types import ClaimRequest


class State(enum.Enum):
    """Order the life of a key at its owner."""

    CLAIMING = 1
    DISPATCHED = 2
    FINISHED = 3


class Entry:
    """Hold what this incarnation knows of a key that it may dispatch."""

    __slots__ = (
        "body_hash",
        "claim_id",
        "claimed_at",
        "key",
        "minted_s",
        "request",
        "state",
        "waiting",
    )

    def __init__(
        self, *, key: ClaimKey, request: ClaimRequest, minted_s: int | None
    ) -> None:
        self.key = key
        self.request = request
        self.body_hash = request.body_hash
        self.minted_s = minted_s
        self.state = State.CLAIMING
        self.claim_id: str | None = None
        self.claimed_at = 0.0
        self.waiting: list[str] = []
