"""Rendezvous hashing: choices that move as little as possible."""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping

import xxhash

_SCALE = float(1 << 64)


def rank(key: str, names: Iterable[str]) -> list[str]:
    """Return names in the key's own order; a removed name moves only its keys."""
    return sorted(names, key=lambda name: (_draw(key, name), name), reverse=True)


def outranks(key: str, name: str, other: str) -> bool:
    """Tell whether a name stands before another one in the key's order."""
    return (_draw(key, name), name) > (_draw(key, other), other)


def choose(key: str, weights: Mapping[str, float]) -> str | None:
    """Return a name with the chance of its weight; a raised weight only attracts."""
    best: str | None = None
    best_score = -math.inf
    for name in sorted(weights):
        weight = weights[name]
        if weight <= 0:
            continue
        score = weight / -math.log((_draw(key, name) + 0.5) / _SCALE)
        if score > best_score:
            best, best_score = name, score
    return best


def _draw(key: str, name: str) -> int:
    """Return 64 bits that depend on both texts and on nothing else."""
    joined = f"{len(key)}:{key}{name}"
    # Text from a header may hold stray surrogates, which a plain encode refuses.
    return xxhash.xxh64_intdigest(joined.encode(errors="surrogatepass"))
