"""Gossip on which instances reject keys because their replica is too old.

The age in a member's description is as old as the last message from that member, half a
minute with sixty members. Callers would not be sent to an instance for that long after
it has become fresh again or has started. A stale instance therefore publishes its state
repeatedly, and each report is valid for a few seconds.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator

import msgspec

from baobabthread.core.membership.messages import GossipPayload, MemberInfo
from baobabthread.instance.clock import now

TOPIC = "stale"
REPORT_INTERVAL_S = 1.5
"""Interval between reports of an instance that remains stale."""
REPORT_TTL_S = 3.5
"""Time for which a report is valid: slightly more than two intervals, since a report
takes several rounds of gossip to arrive."""

Publish = Callable[[str, msgspec.Struct], None]
Received = Callable[[str], Iterator[GossipPayload]]


class StalenessReport(msgspec.Struct, frozen=True, kw_only=True):
    """Report whether the sender rejects keys."""

    is_stale: bool
    number: int
    """Increases with each report, so that a repeated one counts as new."""


class _ReceivedReport(msgspec.Struct):
    report: StalenessReport
    received_at: float


class StalenessGossip:
    """Publish whether this instance is stale, and track the reports of others."""

    __slots__ = (
        "_number",
        "_publish",
        "_published_at",
        "_received",
        "_reports",
        "_was_stale",
    )

    def __init__(self, *, publish: Publish, received: Received) -> None:
        self._publish = publish
        self._received = received
        self._reports: dict[str, _ReceivedReport] = {}
        self._number = 0
        self._published_at = -1e9
        self._was_stale = False

    def tick(self, *, is_stale: bool) -> None:
        """Publish this instance's state if due, and read the reports of others."""
        now_s = now()
        is_due = is_stale and now_s - self._published_at >= REPORT_INTERVAL_S
        if is_due or is_stale != self._was_stale:
            self._was_stale = is_stale
            self._published_at = now_s
            self._number += 1
            self._publish(
                TOPIC, StalenessReport(is_stale=is_stale, number=self._number)
            )
        for payload in self._received(TOPIC):
            self._handle(payload, now_s)

    def is_stale(self, member: MemberInfo) -> bool:
        """Return whether a member's valid report says that it rejects keys."""
        received = self._reports.get(member.incarnation)
        if received is None or not received.report.is_stale:
            return False
        return now() - received.received_at < REPORT_TTL_S

    def _handle(self, payload: GossipPayload, now_s: float) -> None:
        previous = self._reports.get(payload.origin)
        report = msgspec.json.decode(payload.body, type=StalenessReport)
        if previous is None or report.number > previous.report.number:
            self._reports[payload.origin] = _ReceivedReport(
                report=report, received_at=now_s
            )
