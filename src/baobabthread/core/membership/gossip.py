"""Epidemic spread of small values within a bound of bytes per message."""

from __future__ import annotations

import msgspec

from baobabthread.core.membership.messages import GossipPayload

OVERHEAD_BYTES = 60
"""Bytes of a payload's field names and punctuation in JSON."""
MAX_SAVED_BYTES = 16_000
"""Room that messages without enough to say leave to later ones."""


class GossipKey(msgspec.Struct, frozen=True, kw_only=True):
    """Name one value: only its newest sequence counts."""

    topic: str
    origin: str


class GossipStore:
    """Keep the newest value of each key and choose what a message carries."""

    __slots__ = ("_bytes", "_max_bytes", "_payloads", "_saved", "_spread", "_topics")

    def __init__(self, *, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._bytes = 0
        self._saved = 0
        self._payloads: dict[GossipKey, GossipPayload] = {}
        self._topics: dict[str, dict[str, GossipPayload]] = {}
        self._spread: dict[int, dict[GossipKey, None]] = {}
        """Keys by how often they were sent; those sent often enough are in none."""

    def __len__(self) -> int:
        return len(self._payloads)

    def put(self, payload: GossipPayload) -> bool:
        """Keep a payload when it is newer than the one held; return whether it is."""
        key = GossipKey(topic=payload.topic, origin=payload.origin)
        held = self._payloads.get(key)
        if held is not None and not self._is_newer(payload, held):
            return False
        if measure(payload) > min(self._max_bytes, MAX_SAVED_BYTES):
            return False
        self.drop(key)
        self._payloads[key] = payload
        self._topics.setdefault(key.topic, {})[key.origin] = payload
        self._spread.setdefault(0, {})[key] = None
        self._bytes += measure(payload)
        while self._bytes > self._max_bytes:
            self.drop(next(iter(self._payloads)))
        return True

    def drop(self, key: GossipKey) -> None:
        """Forget the value of a key."""
        held = self._payloads.pop(key, None)
        if held is None:
            return
        self._bytes -= measure(held)
        del self._topics[key.topic][key.origin]
        for keys in self._spread.values():
            keys.pop(key, None)

    def topic(self, topic: str) -> list[GossipPayload]:
        """Return the newest values of one topic."""
        return list(self._topics.get(topic, {}).values())

    def choose(self, *, limit_bytes: int, repeats: int) -> list[GossipPayload]:
        """Return the least spread values that fit and count them as sent once."""
        chosen: list[GossipKey] = []
        room = min(MAX_SAVED_BYTES, self._saved + limit_bytes)
        # Passing over a value that doesn't fit for smaller ones behind it would let
        # those take all room for ever: evidence larger than the room of one message
        # would never leave. What a message leaves over is saved for the next one.
        for times in sorted(self._spread):
            for key in self._spread[times]:
                size = measure(self._payloads[key])
                if size > room:
                    break
                room -= size
                chosen.append(key)
            else:
                continue
            break
        self._saved = room
        payloads = [self._payloads[key] for key in chosen]
        self._note_sent(chosen, repeats)
        return payloads

    def _note_sent(self, keys: list[GossipKey], repeats: int) -> None:
        sent = set(keys)
        for times in sorted(self._spread, reverse=True):
            waiting = self._spread[times]
            moved = [key for key in keys if key in waiting and key in sent]
            for key in moved:
                del waiting[key]
                sent.discard(key)
                if times + 1 < repeats:
                    self._spread.setdefault(times + 1, {})[key] = None
            if not waiting:
                del self._spread[times]

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
