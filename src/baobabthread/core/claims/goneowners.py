"""Answer for incarnations that are gone, from the tables that they gave away."""

from __future__ import annotations

from collections import OrderedDict

from baobabthread.core.claims.handover import HandedTables, HandOver
from baobabthread.core.claims.keys import ClaimKey, parse_key
from baobabthread.core.claims.problems import (
    problem_slow_claim,
    refuse_expired,
    refuse_gone,
    refuse_reused,
)
from baobabthread.core.claims.types import ClaimRequest, Refuse, Replay
from baobabthread.errors import Ran

MAX_GONE = 10_000


class GoneOwners:
    """Know which incarnations are gone and what they dispatched."""

    __slots__ = ("_gone", "_handed")

    def __init__(self) -> None:
        self._handed = HandedTables()
        self._gone: OrderedDict[str, None] = OrderedDict()

    def mark(self, incarnation: str) -> None:
        """Note that an incarnation is dead or has stopped."""
        self._gone[incarnation] = None
        if len(self._gone) > MAX_GONE:
            self._gone.popitem(last=False)

    def unmark(self, incarnation: str) -> None:
        """Note that an incarnation held dead has answered again."""
        self._gone.pop(incarnation, None)

    def take(self, message: HandOver) -> None:
        """Take a part of a stopped incarnation's table."""
        self._handed.take(message)

    def is_known(self, incarnation: str) -> bool:
        """Tell whether an incarnation is known to be gone."""
        return incarnation in self._gone or self._handed.is_whole(incarnation)

    def answer(
        self, key: ClaimKey, request: ClaimRequest, owner: str
    ) -> Replay | Refuse:
        """Answer a request whose key only a gone incarnation may dispatch."""
        if not self._handed.is_whole(owner):
            return refuse_gone(request, Ran.UNKNOWN)
        parsed = parse_key(request.key)
        minted_s = parsed.minted_s if parsed else None
        if minted_s is not None and minted_s <= self._handed.get_floor(owner):
            return refuse_expired(request)
        handed = self._handed.get_key(owner, key)
        if handed is None and parsed is not None and parsed.incarnation is None:
            # A free key that the owner gave up is free again once its release is
            # in the log, so another entry may run it: the same key must be repeated.
            problem = problem_slow_claim()
            return Refuse(request_id=request.request_id, problem=problem)
        if handed is None:
            # The incarnation closed before it gave the whole table away, so what
            # is not in the table was not dispatched and never will be.
            return refuse_gone(request, Ran.NO)
        if handed.body_hash != request.body_hash:
            return refuse_reused(request)
        if handed.outcome is None:
            return refuse_gone(request, Ran.UNKNOWN)
        return Replay(request_id=request.request_id, outcome=handed.outcome)

    def has_never_run(self, key: ClaimKey, owner: str, minted_s: int | None) -> bool:
        """Tell whether a gone owner surely never dispatched a key."""
        if not self._handed.is_whole(owner):
            return False
        if minted_s is not None and minted_s <= self._handed.get_floor(owner):
            return False
        return self._handed.get_key(owner, key) is None
