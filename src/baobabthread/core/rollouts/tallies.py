"""Grow-only counts of good and bad outcomes, shared by the entries through gossip."""

from __future__ import annotations

import enum
from collections.abc import Iterator

import msgspec

MAX_KEYS = 5000
MAX_ORIGINS = 1000


class Concern(enum.StrEnum):
    """Name what can turn bad about a version."""

    QUALITY = "quality"
    ERRORS = "errors"
    LATENCY = "latency"


class TallyKey(msgspec.Struct, frozen=True, array_like=True):
    """Name the outcomes that are counted together."""

    version: str
    call: str
    after: str
    """The version turned down just before; its requests are harder than others."""
    concern: Concern


class Tally(msgspec.Struct, frozen=True, array_like=True):
    """Hold how many outcomes an entry saw, and how many of them were bad."""

    key: TallyKey
    seen: int
    bad: int


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(list[Tally])


class Tallies:
    """Keep this entry's counts and the highest heard of each other one's."""

    def __init__(self) -> None:
        self._own: dict[TallyKey, Tally] = {}
        self._heard: dict[str, dict[TallyKey, Tally]] = {}

    def count(self, key: TallyKey, *, bad: int, seen: int = 1) -> Tally | None:
        """Count outcomes and return them; None when there are too many keys."""
        known = self._own.get(key)
        if known is None:
            if len(self._own) >= MAX_KEYS:
                return None
            known = Tally(key, 0, 0)
        self._own[key] = Tally(key, known.seen + seen, known.bad + bad)
        return Tally(key, seen, bad)

    def pack(self) -> bytes:
        """Return this entry's counts for its peers."""
        return _ENCODER.encode(list(self._own.values()))

    def merge(self, *, origin: str, evidence: bytes) -> Iterator[Tally]:
        """Take in a peer's counts and yield what is new in them.

        Raises `msgspec.DecodeError` for bytes that are no counts.
        """
        received = _DECODER.decode(evidence)
        if origin not in self._heard and len(self._heard) >= MAX_ORIGINS:
            return
        heard = self._heard.setdefault(origin, {})
        for tally in received[:MAX_KEYS]:
            known = heard.get(tally.key) or Tally(tally.key, 0, 0)
            # Gossip is repeated and overtaken. Counts only grow within one origin, so
            # taking what exceeds the highest seen counts every outcome once.
            seen = tally.seen - known.seen
            if seen <= 0:
                continue
            heard[tally.key] = tally
            bad = min(seen, max(0, tally.bad - known.bad))
            yield Tally(tally.key, seen, bad)

    def forget_origin(self, origin: str) -> None:
        """Drop the counts of an entry that is gone."""
        self._heard.pop(origin, None)
