"""Epidemic spread of small values within a bound of bytes per message."""

from __future__ import annotations

import msgspec

from baobabthread.core.membership_messages import GossipPayload

OVERHEAD_BYTES = 60
"""Bytes of a payload's field names and punctuation in JSON."""


class GossipKey(msgspec.Struct, frozen=True, kw_only=True):
    """Name one value: only its newest sequence counts."""

    topic: str
    origin: str


class GossipStore:
    """Keep the newest value of each key and choose what a message carries."""

    __slots__ = ("_bytes", "_max_bytes", "_payloads", "_sent")

    def __init__(self, *, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._bytes = 0
        self._payloads: dict[GossipKey, GossipPayload] = {}
        self._sent: dict[GossipKey, int] = {}

    def __len__(self) -> int:
        return len(self._payloads)

    def put(self, payload: GossipPayload) -> bool:
        """Keep a payload when it is newer than the one held; return whether it is."""
        key = GossipKey(topic=payload.topic, origin=payload.origin)
        held = self._payloads.get(key)
        if held is not None and not self._is_newer(payload, held):
            return False
        if measure(payload) > self._max_bytes:
            return False
        self.drop(key)
        self._payloads[key] = payload
        self._sent[key] = 0
        self._bytes += measure(payload)
        while self._bytes > self._max_bytes:
            self.drop(next(iter(self._payloads)))
        return True

    def drop(self, key: GossipKey) -> None:
        """Forget the value of a key."""
        held = self._payloads.pop(key, None)
        if held is not None:
            self._bytes -= measure(held)
            self._sent.pop(key, None)

    def topic(self, topic: str) -> list[GossipPayload]:
        """Return the newest values of one topic."""
        return [p for key, p in self._payloads.items() if key.topic == topic]

    def choose(self, *, limit_bytes: int, repeats: int) -> list[GossipPayload]:
        """Return the least spread values that fit and count them as sent once."""
        chosen: list[GossipPayload] = []
        room = limit_bytes
        for key in sorted(self._sent, key=lambda key: self._sent[key]):
            payload = self._payloads[key]
            size = measure(payload)
            if size > room:
                continue
            room -= size
            chosen.append(payload)
            self._sent[key] += 1
            if self._sent[key] >= repeats:
                del self._sent[key]
        return chosen

    def sample(self, *, limit_bytes: int) -> list[GossipPayload]:
        """Return the most recent values that fit, for an entry that just joined."""
        chosen: list[GossipPayload] = []
        room = limit_bytes
        for payload in reversed(self._payloads.values()):
            room -= measure(payload)
            if room < 0:
                break
            chosen.append(payload)
        return chosen

    def _is_newer(self, payload: GossipPayload, held: GossipPayload) -> bool:
        # A late or duplicated message would set a counter back, so that evidence
        # against a bad version got lost again.
        return payload.sequence > held.sequence


def measure(payload: GossipPayload) -> int:
    """Return about how many bytes a payload takes on the wire."""
    size = len(payload.topic) + len(payload.origin) + len(memoryview(payload.body))
    return size + OVERHEAD_BYTES
