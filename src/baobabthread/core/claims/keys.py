"""Parse the idempotency keys of callers.

A bound key is `INCARNATION/callers-own-id`, any other key is free. Both may end in
`~<unix seconds>`, the time at which the caller minted the key; a free key must.
"""

from __future__ import annotations

import re

import msgspec

MAX_KEY_CHARACTERS = 255
_KEY = re.compile(
    r"(?:(?P<incarnation>[A-Za-z0-9._:-]{1,64})/)?"
    r"(?P<own>[!-/0-}]{1,180}?)"
    r"(?:~(?P<minted>[0-9]{1,12}))?"
)


class ClaimKey(msgspec.Struct, frozen=True, kw_only=True):
    """Scope a caller's key by its client account."""

    account: str
    text: str


class ParsedKey(msgspec.Struct, frozen=True, kw_only=True):
    """Hold what a key says of itself."""

    incarnation: str | None
    """The only incarnation that may dispatch it; none for a free key."""
    minted_s: int | None
    """When the caller minted it, in unix seconds."""


def parse_key(text: str) -> ParsedKey | None:
    """Parse a key; return none if it is malformed."""
    if len(text) > MAX_KEY_CHARACTERS:
        return None
    match = _KEY.fullmatch(text)
    if match is None:
        return None
    minted = match["minted"]
    return ParsedKey(
        incarnation=match["incarnation"],
        minted_s=None if minted is None else int(minted),
    )


def bind_key(*, incarnation: str, own: str) -> str:
    """Return the bound key of a caller's own id."""
    return f"{incarnation}/{own}"
