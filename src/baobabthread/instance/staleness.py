"""Word among instances of who refuses keys because its knowledge is too old.

What a member's description says of its age is as old as the last message from it,
half a minute among sixty members: callers would not be sent to an instance that is
fresh again, or that has just started, for as long. So whoever is stale says so itself,
again and again, and is believed for a few seconds.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator

import msgspec

from baobabthread.core.membership.messages import GossipPayload, MemberInfo
from baobabthread.instance.clock import now

TOPIC = "stale"
REPORT_INTERVAL_S = 1.5
"""Time between two words of an instance that stays stale."""
REPORT_TTL_S = 3.5
"""How long such a word counts: twice the time between two of them and a bit, as it
takes some rounds of gossip to arrive."""

Publish = Callable[[str, msgspec.Struct], None]
Received = Callable[[str], Iterator[GossipPayload]]


class StalenessReport(msgspec.Struct, frozen=True, kw_only=True):
    """Say whether the sender refuses keys."""

    is_stale: bool
    number: int
    """Rises with each word, so that one that is repeated is news."""


class _ReceivedReport(msgspec.Struct):
    report: StalenessReport
    received_at: float


class StalenessGossip:
    """Say when this instance is stale, and remember who else said so of late."""

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
        """Say what is due, and take in what others said."""
        moment = now()
        repeats = is_stale and moment - self._published_at >= REPORT_INTERVAL_S
        if repeats or is_stale != self._was_stale:
            self._was_stale = is_stale
            self._published_at = moment
            self._number += 1
            self._publish(
                TOPIC, StalenessReport(is_stale=is_stale, number=self._number)
            )
        for payload in self._received(TOPIC):
            self._handle(payload, moment)

    def is_stale(self, member: MemberInfo) -> bool:
        """Tell whether a member said of late that it refuses keys."""
        heard = self._reports.get(member.incarnation)
        if heard is None or not heard.report.is_stale:
            return False
        return now() - heard.received_at < REPORT_TTL_S

    def _handle(self, payload: GossipPayload, moment: float) -> None:
        known = self._reports.get(payload.origin)
        word = msgspec.json.decode(payload.body, type=StalenessReport)
        if known is None or word.number > known.report.number:
            self._reports[payload.origin] = _ReceivedReport(
                report=word, received_at=moment
            )
