"""Tests of the gossip on conditions of instances."""

from __future__ import annotations

import msgspec
import pytest

from baobabthread.core.membership.messages import GossipPayload, MemberInfo
from baobabthread.instance import conditions
from baobabthread.instance.conditions import (
    REPORT_INTERVAL_S,
    REPORT_TTL_S,
    STALE,
    ConditionGossip,
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
    """A publishing and a receiving instance that share a clock."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.time = 100.0
        self.reports: list[GossipPayload] = []
        monkeypatch.setattr(conditions, "now", lambda: self.time)
        self.publisher = ConditionGossip(
            topic=STALE, publish=self._publish, received=lambda topic: iter(())
        )
        self.receiver = ConditionGossip(
            topic=STALE,
            publish=lambda topic, message: None,
            received=lambda topic: iter(self.reports[-1:]),
        )

    def _publish(self, topic: str, message: msgspec.Struct) -> None:
        self.reports.append(
            GossipPayload(
                topic=topic,
                origin=OTHER.incarnation,
                sequence=len(self.reports),
                body=msgspec.Raw(msgspec.json.encode(message)),
            )
        )

    def run(self, seconds: float, *, is_stale: bool) -> None:
        for _ in range(round(seconds / 0.1)):
            self.time += 0.1
            self.publisher.tick(holds=is_stale)
            self.receiver.tick(holds=False)


def test_publish_nothing_while_fresh(monkeypatch: pytest.MonkeyPatch) -> None:
    pair = Pair(monkeypatch)
    pair.run(5.0, is_stale=False)
    assert not pair.reports
    assert not pair.receiver.holds_at(OTHER)


def test_repeat_reports_while_stale(monkeypatch: pytest.MonkeyPatch) -> None:
    pair = Pair(monkeypatch)
    pair.run(10.0, is_stale=True)
    assert len(pair.reports) == pytest.approx(10.0 / REPORT_INTERVAL_S, abs=1)
    assert pair.receiver.holds_at(OTHER)
    pair.run(0.2, is_stale=False)
    assert not pair.receiver.holds_at(OTHER)


def test_expire_an_old_report(monkeypatch: pytest.MonkeyPatch) -> None:
    """An instance becomes fresh again, and its report of the change is lost.

    If the old report stayed valid, callers would never be sent to the instance again.
    """
    pair = Pair(monkeypatch)
    pair.run(1.0, is_stale=True)
    for _ in range(round(REPORT_TTL_S / 0.1) + 1):
        pair.time += 0.1
        pair.receiver.tick(holds=False)
    assert not pair.receiver.holds_at(OTHER)
