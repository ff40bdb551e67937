"""The encoding of messages among instances."""

from __future__ import annotations

import zlib
from types import GenericAlias
from typing import Any

import msgspec

LEAST_BYTES = 300
"""Length from which a message is compressed: below it the time is worth more."""
MOST_BYTES = 4_000_000
"""Longest text that a compressed message may hold."""
LEVEL = 1
USUAL_TEXT = (
    b'{"known":0,"epoch":0,"loads":[{"wait_s":0.0,"kept_tokens":0}],"engines":["i-0"],'
    b'"parts":[[0,0]],"engine":"i-0","placed":{"number":0,"reading_s":0.0,"lasts_s":0.0,'
    b'"memory_tokens":0},"end":"begun","type":"loads.ask","type":"loads.placed",'
    b'"type":"knowledge.ask","operators_end":0,"type":"knowledge.is","operators_age_s":0.0'
    b',"backends_end":0,"backends_changed_at":0,"backends_age_s":0.0,"since":0,"gone":[],'
    b'"steps":[],"changed":[{"id":"i-0","service":"","address":"10.","failure_domain":"",'
    b'"version":"v1","capacity":16,"leaving":false,"started_ms":0,"cold_left_s":0.0},'
    b'"type":"membership.acknowledge","subject":"front-","type":"membership.probe",'
    b'"sequence":0,"digest":[["front-","alive"]],"updates":[],"gossip":[]'
    b'{"sender":"front-","messages":[{"type":"'
)
"""What messages hold over and over: even short ones are then told in little. Instances
that are replaced one after the other must share it, so it never changes."""
MARK = b"\x78"
"""First byte of a compressed message; a plain one begins with a brace."""


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
        text = self._encoder.encode({"sender": sender, "messages": messages})
        return compress(text) if len(text) >= LEAST_BYTES else text

    def decode(self, body: bytes) -> tuple[str, list[msgspec.Struct]]:
        """Decode one batch or raise msgspec.DecodeError."""
        try:
            batch: Any = self._decoder.decode(expand(body))
        except RecursionError as error:
            raise msgspec.DecodeError("message is nested too deeply") from error
        return batch.sender, batch.messages


def compress(text: bytes) -> bytes:
    """Return a text in fewer bytes."""
    packer = zlib.compressobj(level=LEVEL, zdict=USUAL_TEXT)
    return packer.compress(text) + packer.flush()


def expand(body: bytes) -> bytes:
    """Return the text of a body, compressed or not.

    Raises `msgspec.DecodeError` where it is neither, or too long.
    """
    if not body.startswith(MARK):
        return body
    unpacker = zlib.decompressobj(zdict=USUAL_TEXT)
    try:
        text = unpacker.decompress(body, MOST_BYTES)
    except zlib.error as error:
        raise msgspec.DecodeError(str(error)) from error
    if not unpacker.eof:
        raise msgspec.DecodeError("message is cut or too long")
    return text
