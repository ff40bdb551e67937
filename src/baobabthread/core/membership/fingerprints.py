"""Fingerprints of members, by which two tables are compared at little cost."""

from __future__ import annotations

import functools
from collections.abc import Iterable

import xxhash

from baobabthread.core.membership.messages import MemberInfo

PRINT_BYTES = 6
"""Bytes of a fingerprint: among 400 members two share one once in three billion
comparisons, and whoever is missed then is still heard of by probes."""


def list_prints(members: Iterable[MemberInfo]) -> dict[int, MemberInfo]:
    """Return members by their fingerprints."""
    return {find_print(member): member for member in members}


def find_print(member: MemberInfo) -> int:
    """Return a number that a newer description of the same member doesn't share."""
    return _hash(member.name, member.started_at, member.counter, member.state)


@functools.lru_cache(maxsize=8192)
def _hash(name: str, started_at: float, counter: int, state: str) -> int:
    text = f"{name}/{started_at}/{counter}/{state}"
    return xxhash.xxh64_intdigest(text.encode()) >> (64 - 8 * PRINT_BYTES)


def pack_prints(prints: Iterable[int]) -> bytes:
    """Return fingerprints in a row of bytes."""
    return b"".join(number.to_bytes(PRINT_BYTES) for number in prints)


def unpack_prints(packed: bytes) -> set[int]:
    """Return the fingerprints in a row of bytes; what is left over is passed over."""
    whole = len(packed) - len(packed) % PRINT_BYTES
    return {
        int.from_bytes(packed[start : start + PRINT_BYTES])
        for start in range(0, whole, PRINT_BYTES)
    }
