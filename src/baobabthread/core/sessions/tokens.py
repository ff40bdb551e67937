"""Sealed session tokens, which any entry honours without shared state."""

from __future__ import annotations

import base64
import binascii
import hmac

import msgspec

MAX_TOKEN = 2_048
MIN_SECRET = 16
FORMAT = "b1"


class SessionKey(msgspec.Struct, frozen=True, kw_only=True):
    """Hold one sealing key."""

    id: str
    secret: bytes


class Pin(msgspec.Struct, frozen=True, kw_only=True):
    """Hold what a session was given."""

    account: str
    service: str
    version: str
    generation: int
    """Generation of the configuration that decided."""
    expires_at: float
    """End of the session in seconds since the epoch."""


class SessionKeyRing:
    """Seal with the current key; open with the current and previous ones."""

    __slots__ = ("_current", "_keys")

    def __init__(
        self, *, current: SessionKey, previous: tuple[SessionKey, ...] = ()
    ) -> None:
        for key in (current, *previous):
            if len(key.secret) < MIN_SECRET or not key.id or "." in key.id:
                raise ValueError(
                    f"session key {key.id!r} needs an id without dots and a secret"
                    f" of {MIN_SECRET} bytes or more"
                )
        self._current = current
        self._keys = {key.id: key for key in (*previous, current)}

    def seal(self, pin: Pin) -> str:
        """Return a token that carries the pin."""
        payload = _encode(msgspec.json.encode(pin))
        signed = f"{FORMAT}.{self._current.id}.{payload}"
        return f"{signed}.{_sign(self._current, signed)}"

    def open(self, token: str, *, now: float) -> Pin | None:
        """Return the pin, or nothing when the token was not sealed here or is over.

        `now` is in seconds since the epoch, equal among entries to within seconds.
        """
        if len(token) > MAX_TOKEN or not token.isascii():
            return None
        signed, _, signature = token.rpartition(".")
        parts = signed.split(".")
        if len(parts) != 3 or parts[0] != FORMAT:
            return None
        key = self._keys.get(parts[1])
        if key is None or not self._is_sealed(key, signed, signature):
            return None
        pin = _decode(parts[2])
        if pin is None or now >= pin.expires_at:
            return None
        return pin

    def _is_sealed(self, key: SessionKey, signed: str, signature: str) -> bool:
        # A caller that could alter its token would choose a version or account that
        # it is not allowed. Format, key id and payload are all under the signature,
        # and the comparison takes equal time for every wrong one.
        return hmac.compare_digest(_sign(key, signed).encode(), signature.encode())


def _sign(key: SessionKey, text: str) -> str:
    return _encode(hmac.digest(key.secret, text.encode(), "sha256"))


def _encode(data: bytes) -> str:
    return base64.urlsafe_b64encode(data).rstrip(b"=").decode()


def _decode(payload: str) -> Pin | None:
    padded = payload + "=" * (-len(payload) % 4)
    try:
        data = base64.urlsafe_b64decode(padded)
        return msgspec.json.decode(data, type=Pin)
    except (binascii.Error, ValueError, msgspec.DecodeError):
        return None
