"""The encoding of messages among instances."""

from __future__ import annotations

from types import GenericAlias
from typing import Any

import msgspec


class PeerCodec:
    """Encode and decode batches of the tagged messages that the core defines."""

    __slots__ = ("_decoder", "_encoder")

    def __init__(self, *, types: tuple[type[msgspec.Struct], ...]) -> None:
        messages: Any = types[0]
        for other in types[1:]:
            messages = messages | other
        batch = msgspec.defstruct(
            "Batch", [("sender", str), ("messages", GenericAlias(list, (messages,)))]
        )
        self._decoder = msgspec.json.Decoder(batch)
        self._encoder = msgspec.json.Encoder()

    def encode(self, sender: str, messages: list[msgspec.Struct]) -> bytes:
        """Encode one batch."""
        return self._encoder.encode({"sender": sender, "messages": messages})

    def decode(self, body: bytes) -> tuple[str, list[msgspec.Struct]]:
        """Decode one batch or raise msgspec.DecodeError."""
        batch: Any = self._decoder.decode(body)
        return batch.sender, batch.messages
