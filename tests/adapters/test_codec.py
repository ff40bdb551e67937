"""Tests of how messages among instances are written."""

from __future__ import annotations

import zlib

import msgspec
import pytest

from baobabthread.adapters.codec import (
    MOST_BYTES,
    USUAL_TEXT,
    PeerCodec,
    compress,
    expand,
)
from baobabthread.instance.replicasync import (
    REPLICA_MESSAGES,
    ReplicaQuery,
    ReplicaReply,
)
from baobabthread.routing.configuration import BackendRecord

CODEC = PeerCodec(types=REPLICA_MESSAGES)


def tell(count: int) -> ReplicaReply:
    return ReplicaReply(
        sequence=0,
        operators_offset=3,
        operators_age_s=0.5,
        backends_offset=90,
        changed_offset=90,
        backends_age_s=0.5,
        since_offset=10,
        changed=[
            BackendRecord(
                id=f"i-{n * 7919:010x}",
                service="vode54a",
                address=f"10.{n}.64.{n + 3}:8347",
                failure_domain="didube",
                version="v2",
                capacity=16,
            )
            for n in range(count)
        ],
    )


@pytest.mark.parametrize("count", [0, 1, 45, 100])
def test_decode_what_was_encoded(count: int) -> None:
    body = CODEC.encode("front-1", [tell(count)])
    assert CODEC.decode(body) == ("front-1", [tell(count)])


def test_tell_many_servers_in_little() -> None:
    """A new version starts 45 servers, and a reader tells 58 instances of them.

    Written out they were 11 KB each, more than its link bears at once: the datagrams
    were lost, and everybody read the store.
    """
    assert len(CODEC.encode("front-1", [tell(45)])) < 2_500


def test_leave_short_messages_as_they_are() -> None:
    body = CODEC.encode("front-1", [ReplicaQuery(sequence=1)])
    assert body.startswith(b'{"sender"')


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"\x78",
        b"\x78\x01garbage",
        b"\xff\x00",
        compress(b"x" * 900)[:-3],
        zlib.compress(b"{}" * 400),
        compress(b" " * (MOST_BYTES + 1)),
    ],
)
def test_say_what_is_no_message(body: bytes) -> None:
    with pytest.raises(msgspec.DecodeError):
        CODEC.decode(body)


def test_keep_the_usual_text() -> None:
    """Instances of two versions talk to each other while they are replaced.

    Another text would let neither read what the other one says.
    """
    assert zlib.crc32(USUAL_TEXT) == 2464787668
    assert expand(compress(b"a" * 1000)) == b"a" * 1000


@pytest.mark.parametrize("body", [b"[" * 100_000, b'{"x":' * 10_000])
def test_reject_a_message_that_is_nested_too_deeply(body: bytes) -> None:
    """Only the error of the format is caught where datagrams arrive."""
    with pytest.raises(msgspec.DecodeError):
        CODEC.decode(body)
