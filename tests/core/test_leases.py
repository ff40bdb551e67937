"""Test the lease of one service and the fold that decides who holds it."""

from __future__ import annotations

import random

import msgspec

from baobabthread.core.messages import Append, LogRead, LogRecord, Stream
from baobabthread.core.rollouts.leases import Lease, LeaseSettings

SETTINGS = LeaseSettings()
WAIT_S = SETTINGS.lease_s + SETTINGS.longest_order_s + SETTINGS.margin_s


class Log:
    """Append records and bring them to readers."""

    def __init__(self) -> None:
        self.records: list[LogRecord] = []
        self.first = 1

    def append(self, *appends: Append) -> None:
        for append in appends:
            body = msgspec.Raw(append.body)
            offset = len(self.records) + 1
            self.records.append(LogRecord(offset=offset, id=append.id, body=body))

    def read(self, lease: Lease, now: float, after: int = 0) -> None:
        records = [r for r in self.records if r.offset > after]
        records = [r for r in records if r.offset >= self.first]
        event = LogRead(
            stream=Stream.ROLLOUTS,
            records=records,
            head=len(self.records),
            first=self.first,
        )
        lease.on_log_read(event, now)


def make_lease(holder: str) -> Lease:
    return Lease(holder=holder, service="content", random_source=random.Random(1))


def hold(log: Log, lease: Lease, now: float) -> None:
    log.read(lease, now - SETTINGS.spread_s, after=len(log.records))
    log.append(*lease.tick(now))
    log.read(lease, now, after=len(log.records) - 1)


def test_offset_of_the_claim_is_the_fence() -> None:
    log, lease = Log(), make_lease("e1")
    hold(log, lease, 5.0)
    assert lease.is_held(5.0)
    assert (lease.holder, lease.fence) == ("e1", 1)


def test_lease_counts_from_before_the_append() -> None:
    log, lease = Log(), make_lease("e1")
    log.read(lease, 0.0)
    log.append(*lease.tick(5.0))
    log.read(lease, 12.0)
    assert lease.may_order(12.0, 2.0)
    assert not lease.may_order(13.5, 2.0)
    assert not lease.is_held(5.0 + SETTINGS.lease_s)


def test_order_longer_than_the_longest_is_not_allowed() -> None:
    log, lease = Log(), make_lease("e1")
    hold(log, lease, 5.0)
    assert not lease.may_order(5.0, SETTINGS.longest_order_s + 0.1)


def test_successor_waits_from_its_read() -> None:
    log, lease, other = Log(), make_lease("e1"), make_lease("e2")
    hold(log, lease, 5.0)
    log.read(other, 20.0)
    assert other.tick(20.0 + WAIT_S - 0.1) == []
    log.append(*other.tick(20.0 + WAIT_S + SETTINGS.spread_s))
    log.read(other, 40.0, after=1)
    assert (other.holder, other.fence) == ("e2", 2)


def test_claim_that_missed_a_renewal_is_void() -> None:
    log, lease, other = Log(), make_lease("e1"), make_lease("e2")
    hold(log, lease, 5.0)
    log.read(other, 5.0)
    claim = other.tick(60.0)
    log.append(*lease.tick(9.0), *claim)
    log.read(other, 60.0, after=1)
    log.read(lease, 9.1, after=1)
    assert other.holder == lease.holder == "e1"
    assert lease.is_held(9.1)


def test_released_lease_may_be_claimed_at_once() -> None:
    log, lease, other = Log(), make_lease("e1"), make_lease("e2")
    hold(log, lease, 5.0)
    log.append(*lease.release(6.0))
    assert not lease.may_order(6.0, 1.0)
    log.read(other, 6.1)
    log.append(*other.tick(6.1 + SETTINGS.spread_s))
    log.read(other, 7.2, after=2)
    assert other.is_held(7.2)
    assert other.fence == 3


def test_lease_is_found_after_the_log_dropped_its_claim() -> None:
    log, lease, other = Log(), make_lease("e1"), make_lease("e2")
    hold(log, lease, 5.0)
    log.append(*lease.tick(9.0))
    log.first = 2
    log.read(other, 9.0)
    assert (other.holder, other.fence) == ("e1", 1)
    claim = other.tick(9.0 + WAIT_S + SETTINGS.spread_s)
    log.append(*claim)
    log.read(other, 40.0, after=2)
    log.read(lease, 40.0, after=1)
    assert other.fence == lease.fence == 3


def test_lease_can_be_claimed_after_the_log_dropped_everything() -> None:
    log, lease, other = Log(), make_lease("e1"), make_lease("e2")
    hold(log, lease, 5.0)
    log.first = 2
    log.read(other, 50.0)
    log.append(*other.tick(52.0))
    log.read(other, 52.0, after=1)
    log.read(lease, 52.0, after=1)
    assert other.holder == lease.holder == "e2"
    assert other.fence == lease.fence == 2
