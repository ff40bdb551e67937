"""Word between instances of backend servers that say that they leave.

A server may say so in its responses while the store can't take in its record. The
instance that was told tells all others directly, as gossip takes seconds among hundreds
of them. Gossip reaches those that missed it, and those that start later.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator

import msgspec

from baobabthread.core.membership.messages import GossipPayload
from baobabthread.instance.clock import now
from baobabthread.instance.servers.owners import SendMessage
from baobabthread.logs import log_event
from baobabthread.routing.replica import StateReplica

TOPIC = "departures"
MAX_REPORTED = 16
"""Servers in one report, the latest ones: their records tell of the others by then."""
SEND_DELAYS_S = (0.0, 0.15, 0.4)
"""When other instances are told directly; some messages are lost."""
FROM_RESPONSE = "response"
"""Source of what a server itself said."""

Publish = Callable[[str, msgspec.Struct], None]
Received = Callable[[str], Iterator[GossipPayload]]


class DepartureReport(msgspec.Struct, frozen=True, kw_only=True, tag="departures.told"):
    """Report the servers that told the sender that they leave."""

    servers: list[str]
    """Their incarnations."""


DEPARTURE_MESSAGES = (DepartureReport,)


class DepartureGossip:
    """Tell other instances of servers that leave, and learn of them from others."""

    __slots__ = (
        "_me",
        "_others",
        "_publish",
        "_received",
        "_replica",
        "_send",
        "_sequences",
        "_told",
        "_unsent",
    )

    def __init__(
        self,
        *,
        me: str,
        replica: StateReplica,
        send: SendMessage,
        publish: Publish,
        received: Received,
    ) -> None:
        self._me = me
        self._replica = replica
        self._send = send
        self._publish = publish
        self._received = received
        self._told: list[str] = []
        """Incarnations that told this instance before anybody else did."""
        self._sequences: dict[str, int] = {}
        """Sequence of the newest report of each origin."""
        self._others: list[str] = []
        self._unsent: list[tuple[float, str]] = []
        """When to tell the others of a server."""

    def set_members(self, names: list[str]) -> None:
        """Set the instances that serve, including this one."""
        self._others = [name for name in names if name != self._me]

    def record_response(self, name: str) -> None:
        """Record that a response of a server says that it leaves."""
        if self.learn(name, FROM_RESPONSE):
            self._told = [*self._told, name][-MAX_REPORTED:]
            self._publish(TOPIC, DepartureReport(servers=self._told))
            self._unsent += [(now() + delay_s, name) for delay_s in SEND_DELAYS_S]

    def learn(self, name: str, source: str) -> bool:
        """Record that a server leaves; return whether that was not known."""
        if not self._replica.record_departure(name):
            return False
        log_event("backend_leaving", backend=name, source=source)
        return True

    def handle(self, sender: str, message: DepartureReport) -> None:
        """Process what another instance tells directly."""
        for name in message.servers:
            self.learn(name, sender)

    def tick(self) -> None:
        """Tell other instances of departures and learn from their reports."""
        self._send_due()
        sequences = {}
        for payload in self._received(TOPIC):
            sequences[payload.origin] = payload.sequence
            if payload.sequence == self._sequences.get(payload.origin):
                continue
            report = msgspec.json.decode(payload.body, type=DepartureReport)
            for name in report.servers:
                self.learn(name, payload.origin)
        self._sequences = sequences

    def _send_due(self) -> None:
        timestamp = now()
        due = [name for at, name in self._unsent if at <= timestamp]
        if not due:
            return
        self._unsent = [each for each in self._unsent if each[0] > timestamp]
        for name in self._others:
            self._send(name, DepartureReport(servers=due))
