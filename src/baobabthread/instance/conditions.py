"""Gossip on conditions of instances that others must know of within seconds.

What a member's description says is as old as the last message from that member, half a
minute with sixty members. Callers would not be sent to an instance that was stale for
that long after it has become fresh again. An instance therefore publishes a condition
repeatedly while it holds, and each report is valid for a few seconds.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator

import msgspec

from baobabthread.core.membership.messages import GossipPayload, MemberInfo
from baobabthread.instance.clock import now

STALE = "stale"
"""The instance rejects keys because its replica is too old."""
PARTITIONED = "partitioned"
"""The instance is cut off from most backend servers."""
REPORT_INTERVAL_S = 1.5
"""Interval between reports of a condition that still holds."""
REPORT_TTL_S = 3.5
"""Time for which a report is valid: slightly more than two intervals, since a report
takes several rounds of gossip to arrive."""

Publish = Callable[[str, msgspec.Struct], None]
Received = Callable[[str], Iterator[GossipPayload]]


class ConditionReport(msgspec.Struct, frozen=True, kw_only=True):
    """Report whether a condition holds at the sender."""

    holds: bool = msgspec.field(name="is_stale")
    number: int
    """Increases with each report, so that a repeated one counts as new."""


class _ReceivedReport(msgspec.Struct):
    report: ConditionReport
    received_at: float


class ConditionGossip:
    """Publish whether a condition holds here, and track the reports of others."""

    __slots__ = (
        "_held",
        "_number",
        "_publish",
        "_published_at",
        "_received",
        "_reports",
        "_topic",
    )

    def __init__(self, *, topic: str, publish: Publish, received: Received) -> None:
        self._topic = topic
        self._publish = publish
        self._received = received
        self._reports: dict[str, _ReceivedReport] = {}
        self._number = 0
        self._published_at = -1e9
        self._held = False

    def tick(self, *, holds: bool) -> None:
        """Publish this instance's state if due, and read the reports of others."""
        now_s = now()
        is_due = holds and now_s - self._published_at >= REPORT_INTERVAL_S
        if is_due or holds != self._held:
            self._held = holds
            self._published_at = now_s
            self._number += 1
            self._publish(
                self._topic, ConditionReport(holds=holds, number=self._number)
            )
        for payload in self._received(self._topic):
            self._handle(payload, now_s)

    def holds_at(self, member: MemberInfo) -> bool:
        """Return whether a member's valid report says that the condition holds."""
        received = self._reports.get(member.incarnation)
        if received is None or not received.report.holds:
            return False
        return now() - received.received_at < REPORT_TTL_S

    def _handle(self, payload: GossipPayload, now_s: float) -> None:
        previous = self._reports.get(payload.origin)
        report = msgspec.json.decode(payload.body, type=ConditionReport)
        if previous is None or report.number > previous.report.number:
            self._reports[payload.origin] = _ReceivedReport(
                report=report, received_at=now_s
            )
