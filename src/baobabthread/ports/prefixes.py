"""The names that engines give to prompt prefixes in their cache events."""

from __future__ import annotations

import xxhash

BLOCK_WORDS = 16
MAX_BLOCKS = 256


def hash_prefixes(version: str, prompt: str) -> list[str]:
    """Return the names of the prompt's prefixes in whole blocks, shortest first."""
    words = prompt.split()
    digest = xxhash.xxh3_64(version.encode())
    names = []
    for block in range(min(MAX_BLOCKS, len(words) // BLOCK_WORDS)):
        part = words[block * BLOCK_WORDS : (block + 1) * BLOCK_WORDS]
        digest.update(("\n" + " ".join(part)).encode())
        names.append(digest.hexdigest())
    return names
