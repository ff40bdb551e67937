"""Fingerprints that identify equal requests across instances."""

from __future__ import annotations

import base64
import hashlib

DIGEST_BYTES = 12
"""Size of a fingerprint in bytes, 16 characters on the wire. It is a cryptographic
digest that covers the account, so that no caller can forge another one's requests."""
LENGTH_BYTES = 8


def fingerprint(
    *, account: str, method: str, host: str, target: str, body: bytes
) -> str:
    """Return a fingerprint that is the same for equal requests of one account."""
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for text in (account, method, host.lower(), target):
        part = text.encode(errors="surrogatepass")
        digest.update(len(part).to_bytes(LENGTH_BYTES, "big"))
        digest.update(part)
    digest.update(body)
    return base64.urlsafe_b64encode(digest.digest()).decode()
