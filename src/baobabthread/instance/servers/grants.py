"""Grants of requests to the limited servers that this instance owns."""

from __future__ import annotations

import math

import msgspec

from baobabthread.instance.clock import now
from baobabthread.instance.servers.limitmessages import (
    GrantReply,
    GrantRequest,
    SendEnded,
)
from baobabthread.instance.servers.limittable import LimitTable
from baobabthread.routing.bounds import RoutingBounds
from baobabthread.routing.servers.serverlimits import Denial, SendLedger, StatedLimit
from baobabthread.routing.transit import Transit


class _Granted(msgspec.Struct):
    transit: Transit
    sent_at: float
    ends_at: float


class GrantIssuer:
    """Grant or deny requests to owned servers, and track them until they end."""

    __slots__ = ("_bounds", "_granted", "_ledgers", "_limits", "_owned_since")

    def __init__(self, *, bounds: RoutingBounds, limits: LimitTable) -> None:
        self._bounds = bounds
        self._limits = limits
        self._ledgers: dict[str, SendLedger] = {}
        self._granted: dict[tuple[str, int], _Granted] = {}
        """Requests by the instance that sends them and its sequence number."""
        self._owned_since = now()

    def change_owned(self, servers: set[str]) -> None:
        """Keep only the ledgers of these servers after a change of the members."""
        self._owned_since = now()
        self.retain(servers)

    @property
    def servers(self) -> list[str]:
        """Return the servers for which requests were granted."""
        return list(self._ledgers)

    def retain(self, servers: set[str]) -> None:
        """Drop all servers except for these."""
        self._ledgers = {n: each for n, each in self._ledgers.items() if n in servers}

    def settle_overdue(self) -> None:
        """Settle requests whose end was not reported: the message may be lost."""
        timestamp = now()
        overdue = [k for k, each in self._granted.items() if each.ends_at < timestamp]
        for key in overdue:
            self._granted.pop(key).transit.settle(timestamp)

    def decide(self, sender: str, request: GrantRequest) -> GrantReply:
        """Return the reply to an instance that asks for a grant."""
        server = request.server
        timestamp = now()
        age_s = request.told_age_s
        told_at = -math.inf if age_s is None else timestamp - age_s
        self._limits.learn(server, request.per_s, sender, told_at=told_at)
        per_s = self._limits.find(server)
        if per_s is None:
            return GrantReply(sequence=request.sequence)
        decision = self._find_ledger(server).request(
            per_s,
            asker=sender,
            priority=request.priority,
            patience_s=request.patience_s,
            now=timestamp,
        )
        if isinstance(decision, Denial):
            return GrantReply(
                sequence=request.sequence,
                per_s=per_s,
                wait_s=round(decision.retry_after_s, 3),
            )
        self._granted[sender, request.sequence] = _Granted(
            transit=decision.transit,
            sent_at=timestamp + decision.wait_s,
            ends_at=timestamp + request.lasts_s,
        )
        return GrantReply(
            sequence=request.sequence,
            per_s=per_s,
            is_granted=True,
            wait_s=round(decision.wait_s, 4),
        )

    def handle_ended(self, sender: str, message: SendEnded) -> None:
        """Settle a granted request, and record the limit that its response states."""
        granted = self._granted.pop((sender, message.sequence), None)
        if granted is None:
            return
        granted.transit.settle(now())
        if message.has_response:
            limit = None if message.per_s is None else StatedLimit(per_s=message.per_s)
            self._limits.record(message.server, limit, granted.sent_at)

    def _find_ledger(self, server: str) -> SendLedger:
        ledger = self._ledgers.get(server)
        if ledger is None:
            ledger = SendLedger(
                bounds=self._bounds, owned_since=self._owned_since, now=now()
            )
            self._ledgers[server] = ledger
        return ledger
