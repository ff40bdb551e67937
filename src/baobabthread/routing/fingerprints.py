"""What makes two requests the same one, at whichever instance they arrive."""

from __future__ import annotations

import base64
import hashlib

DIGEST_BYTES = 12
"""Length of a fingerprint, 16 characters on the wire. It is a cryptographic digest that
begins with the account: no caller can make a request that passes for another one's."""
LENGTH_BYTES = 8


def fingerprint(
    *, account: str, method: str, host: str, target: str, body: bytes
) -> str:
    """Return the same text for requests of one account that ask for the same thing."""
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for text in (account, method, host.lower(), target):
        part = text.encode(errors="surrogatepass")
        digest.update(len(part).to_bytes(LENGTH_BYTES, "big"))
        digest.update(part)
    digest.update(body)
    return base64.urlsafe_b64encode(digest.digest()).decode()
