"""Values spread in passing, within the room of each message."""

from __future__ import annotations

import msgspec

from baobabthread.core.membership.gossip import MAX_SAVED_BYTES, GossipStore
from baobabthread.core.membership.messages import GossipPayload

ROOM = 800


def make_payload(topic: str, size: int, sequence: int = 1) -> GossipPayload:
    body = msgspec.Raw(msgspec.json.encode("x" * size))
    return GossipPayload(topic=topic, origin="e1", sequence=sequence, body=body)


def test_value_larger_than_one_message_leaves() -> None:
    """Six entries decide on their own sixth of the evidence, for as long as they run.

    Evidence on versions grows past the room that one message has for gossip. Passed
    over for smaller values behind it, it was never sent; others knew only what a
    newcomer is told. Room that a message leaves over is saved for the next one.
    """
    store = GossipStore(max_bytes=1_000_000)
    store.put(make_payload("detection", 3_000))
    sent = []
    for number in range(12):
        store.put(make_payload("usage", 100, sequence=number + 1))
        chosen = store.choose(limit_bytes=ROOM, repeats=3)
        sent += [payload.topic for payload in chosen]
    assert sent.count("detection") >= 1
    assert sent.count("usage") >= 3


def test_room_is_bounded_over_time() -> None:
    store = GossipStore(max_bytes=1_000_000)
    for number in range(40):
        store.put(make_payload(f"t{number}", 1_000))
    spent = 0
    for _ in range(20):
        chosen = store.choose(limit_bytes=ROOM, repeats=3)
        spent += sum(len(memoryview(payload.body)) for payload in chosen)
    assert spent <= 20 * ROOM


def test_value_larger_than_can_be_saved_is_refused() -> None:
    store = GossipStore(max_bytes=1_000_000)
    assert not store.put(make_payload("huge", MAX_SAVED_BYTES + 1))
    assert store.put(make_payload("usage", 100))
    assert store.choose(limit_bytes=ROOM, repeats=1)
