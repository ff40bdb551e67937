"""Fingerprints that identify equal requests and prompt parts across instances."""

from __future__ import annotations

import base64
import functools
import hashlib
from collections.abc import Iterable, Sequence

from baobabthread.routing.table import PromptPart

DIGEST_BYTES = 12
"""Size of a fingerprint in bytes, 16 characters on the wire. It is a cryptographic
digest that covers the account, so that no caller can forge another one's requests."""
LENGTH_BYTES = 8
PART_PREFIX = "p."
"""Start of the fingerprints of prompt parts; those of requests have no dot."""
FEATURE_SEPARATOR = "+"
MAX_PARTS = 32
"""Parts of one prompt that are considered, from its start: a prompt may list any number
of them."""
MAX_CACHED_PARTS = 4096


def fingerprint(
    *,
    account: str,
    method: str,
    host: str,
    target: str,
    body: bytes,
    prompt: Sequence[PromptPart] = (),
) -> str:
    """Return a fingerprint that is the same for equal requests of one account."""
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for text in (account, method, host.lower(), target):
        part = text.encode(errors="surrogatepass")
        digest.update(len(part).to_bytes(LENGTH_BYTES, "big"))
        digest.update(part)
    digest.update(body)
    # The parts of a prompt are not in the body, and requests may differ in them alone.
    for each in prompt:
        id = each.id.encode(errors="surrogatepass")
        digest.update(len(id).to_bytes(LENGTH_BYTES, "big"))
        digest.update(id)
    return base64.urlsafe_b64encode(digest.digest()).decode()


def fingerprint_parts(parts: Sequence[PromptPart]) -> tuple[str, ...]:
    """Return the fingerprints of the parts of a prompt that other requests may share.

    The last part belongs to the request itself.
    """
    shared = parts[:-1][:MAX_PARTS]
    return tuple(dict.fromkeys(_fingerprint_part(part.id) for part in shared))


@functools.lru_cache(maxsize=MAX_CACHED_PARTS)
def _fingerprint_part(id: str) -> str:
    digest = hashlib.blake2b(
        id.encode(errors="surrogatepass"), digest_size=DIGEST_BYTES
    )
    return PART_PREFIX + base64.urlsafe_b64encode(digest.digest()).decode()


def is_part(feature: str) -> bool:
    """Return whether a fingerprint is that of a prompt part."""
    return feature.startswith(PART_PREFIX)


def join_features(features: Iterable[str]) -> str:
    """Return the name of a set of fingerprints."""
    return FEATURE_SEPARATOR.join(sorted(features))


def split_features(name: str) -> frozenset[str]:
    """Return the fingerprints that a name stands for."""
    return frozenset(name.split(FEATURE_SEPARATOR))
