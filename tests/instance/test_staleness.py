"""Tests of who is believed to refuse keys."""

from __future__ import annotations

import msgspec
import pytest

from baobabthread.core.membership.messages import GossipPayload, MemberInfo
from baobabthread.instance import staleness
from baobabthread.instance.staleness import (
    REPORT_INTERVAL_S,
    REPORT_TTL_S,
    StalenessGossip,
)

OTHER = MemberInfo(
    name="i2",
    address="-",
    peer_address="-",
    failure_domain="a",
    incarnation="one",
    started_at=0.0,
)


class Pair:
    """Let one instance speak and another one listen, on one clock."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.time = 100.0
        self.words: list[GossipPayload] = []
        monkeypatch.setattr(staleness, "now", lambda: self.time)
        self.speaker = StalenessGossip(
            publish=self._publish, received=lambda topic: iter(())
        )
        self.listener = StalenessGossip(
            publish=lambda topic, word: None,
            received=lambda topic: iter(self.words[-1:]),
        )

    def _publish(self, topic: str, word: msgspec.Struct) -> None:
        self.words.append(
            GossipPayload(
                topic=topic,
                origin=OTHER.incarnation,
                sequence=len(self.words),
                body=msgspec.Raw(msgspec.json.encode(word)),
            )
        )

    def run(self, seconds: float, *, is_stale: bool) -> None:
        for _ in range(round(seconds / 0.1)):
            self.time += 0.1
            self.speaker.tick(is_stale=is_stale)
            self.listener.tick(is_stale=False)


def test_say_nothing_while_fresh(monkeypatch: pytest.MonkeyPatch) -> None:
    pair = Pair(monkeypatch)
    pair.run(5.0, is_stale=False)
    assert not pair.words
    assert not pair.listener.is_stale(OTHER)


def test_believe_who_says_again_that_it_is_stale(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    pair = Pair(monkeypatch)
    pair.run(10.0, is_stale=True)
    assert len(pair.words) == pytest.approx(10.0 / REPORT_INTERVAL_S, abs=1)
    assert pair.listener.is_stale(OTHER)
    pair.run(0.2, is_stale=False)
    assert not pair.listener.is_stale(OTHER)


def test_forget_an_old_word(monkeypatch: pytest.MonkeyPatch) -> None:
    """An instance is fresh again, and the word of it is lost on the way.

    Left out of the addresses for good, it would serve nobody for the rest of the day.
    """
    pair = Pair(monkeypatch)
    pair.run(1.0, is_stale=True)
    for _ in range(round(REPORT_TTL_S / 0.1) + 1):
        pair.time += 0.1
        pair.listener.tick(is_stale=False)
    assert not pair.listener.is_stale(OTHER)
