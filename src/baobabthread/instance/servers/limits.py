"""Limits of backend servers, kept by all instances together.

Rendezvous hashing assigns each limited server to one instance, its owner. The other
instances ask the owner before each request to the server.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator

import msgspec

from baobabthread.core.configuration.configuration import Priority
from baobabthread.core.membership.messages import GossipPayload
from baobabthread.instance.clock import now
from baobabthread.instance.servers.grants import GrantIssuer
from baobabthread.instance.servers.limitmessages import (
    GrantReply,
    GrantRequest,
    LimitReport,
    LimitStated,
    SendEnded,
)
from baobabthread.instance.servers.limittable import LimitTable
from baobabthread.instance.servers.owners import Owners, SendMessage
from baobabthread.instance.servers.sendpermits import SendPermit
from baobabthread.logs import log_event
from baobabthread.routing.bounds import RoutingBounds
from baobabthread.routing.servers.serverlimits import (
    MIN_RETRY_S,
    StatedLimit,
    compute_unowned_bound,
)
from baobabthread.routing.servers.warmup import (
    SenderCount,
    SendWindows,
    compute_interval_s,
)
from baobabthread.routing.transit import TransitWindow

TOPIC = "limits"
REPLY_TIMEOUT_S = 0.02
"""Time for an owner's reply: several round trips between failure domains."""
OWNER_BACKOFF_S = 1.0
REPORT_INTERVAL_S = 1.5
"""Interval between reports of an owner, for instances that started meanwhile."""
MIN_REPORT_INTERVAL_S = 0.2
"""The same for reports of a change."""
MIN_CALLER_RETRY_S = 0.2
MAX_CALLER_RETRY_S = 5.0
"""Bounds of the time after which callers may send a denied request again."""

Publish = Callable[[str, msgspec.Struct], None]
Received = Callable[[str], Iterator[GossipPayload]]


class _ReceivedReport(msgspec.Struct, frozen=True, kw_only=True):
    sequence: int
    servers: frozenset[str]


class LimitCoordinator:
    """Ask for permission to send to limited servers, and give it for those owned."""

    __slots__ = (
        "_bounds",
        "_closed_until",
        "_full_until",
        "_issuer",
        "_limits",
        "_me",
        "_number",
        "_owners",
        "_publish",
        "_received",
        "_reported",
        "_reported_at",
        "_reports",
        "_send",
        "_senders",
        "_unowned",
        "_windows",
        "outcomes",
    )

    def __init__(
        self,
        *,
        me: str,
        bounds: RoutingBounds,
        send: SendMessage,
        publish: Publish,
        received: Received,
    ) -> None:
        self._me = me
        self._bounds = bounds
        self._send = send
        self._publish = publish
        self._received = received
        self._limits = LimitTable()
        self._limits.on_end = self._reopen
        self._issuer = GrantIssuer(bounds=bounds, limits=self._limits)
        self._owners: Owners[GrantRequest, GrantReply] = Owners(
            me=me,
            prefix="limits",
            timeout_s=REPLY_TIMEOUT_S,
            backoff_s=OWNER_BACKOFF_S,
            log_silence=lambda owner, server: log_event(
                "limit_owner_silent", owner=owner, backend=server
            ),
            send=send,
            decide=self._issuer.decide,
        )
        self._closed_until: dict[str, float] = {}
        """Until when a server has no capacity at once."""
        self._full_until: dict[tuple[str, Priority], float] = {}
        """Until when a request of a priority would wait too long for a server."""
        self._windows = SendWindows(me=me)
        self._senders = SenderCount()
        self._unowned: dict[str, TransitWindow] = {}
        """Requests that were sent without asking an owner."""
        self._reports: dict[str, _ReceivedReport] = {}
        """Newest report of each origin."""
        self._number = 0
        self._reported_at = -1e9
        self._reported: dict[str, float] = {}
        """Limits in the last report of this instance."""
        self.outcomes = dict.fromkeys(("granted", "denied", "unanswered"), 0)
        """Number of permissions asked for, by outcome."""

    def set_members(self, names: list[str]) -> None:
        """Set the instances that serve, including this one."""
        self._owners.set_members(names)
        owned = {s for s in self._issuer.servers if self._owners.is_own(s)}
        self._issuer.change_owned(owned)

    def update_senders(self, names: list[str]) -> None:
        """Update the known instances, whatever their state."""
        self._senders.record(names, now())

    def retain(self, servers: set[str]) -> None:
        """Drop the state of all servers except for these incarnations."""
        self._limits.retain(servers)
        self._issuer.retain(servers)
        self._owners.retain(servers)
        for known in (self._closed_until, self._unowned):
            for name in [name for name in known if name not in servers]:
                del known[name]
                self._windows.forget(name)
        full_until = self._full_until
        self._full_until = {k: at for k, at in full_until.items() if k[0] in servers}

    def tick(self) -> None:
        """Settle overdue grants, publish owned limits and learn those of others."""
        self._issuer.settle_overdue()
        self._publish_report()
        for payload in self._received(TOPIC):
            self._learn_report(payload)

    # -- limits --

    def stated(self, server: str) -> float | None:
        """Return a server's limit in requests per second, if it states one."""
        return self._limits.find(server)

    @property
    def limited(self) -> dict[str, float]:
        """Return the limits in force by server."""
        return self._limits.all

    def record_response(
        self, server: str, limit: StatedLimit | None, sent_at: float
    ) -> None:
        """Record what the response to a request that was sent at a time states."""
        if not self._limits.record(server, limit, sent_at):
            return
        per_s = self._limits.find(server)
        owner = self.find_owner(server)
        if owner != self._me and per_s is not None:
            self._send(owner, LimitStated(server=server, per_s=per_s))

    def _reopen(self, server: str) -> None:
        self._closed_until.pop(server, None)
        for priority in Priority:
            self._full_until.pop((server, priority), None)

    # -- permissions --

    def list_closed(self, timestamp: float) -> list[str]:
        """Return the servers that have no capacity at once."""
        return [name for name, at in self._closed_until.items() if timestamp < at]

    def pause(self) -> None:
        """Treat all limited servers as without capacity for a moment."""
        until = now() + MIN_RETRY_S
        for server in self._limits.all:
            self._closed_until[server] = max(
                until, self._closed_until.get(server, until)
            )

    def find_retry_after(self, server: str, priority: Priority) -> float:
        """Return the time in seconds after which a denied request may be sent again."""
        left_s = self._full_until.get((server, priority), 0.0) - now()
        return min(MAX_CALLER_RETRY_S, max(MIN_CALLER_RETRY_S, left_s))

    async def acquire(
        self, server: str, *, priority: Priority, patience_s: float, lasts_s: float
    ) -> SendPermit | None:
        """Return permission to send a request to a limited server, if it is given.

        `patience_s` is how long an urgent request could wait before it is sent, and
        `lasts_s` after how long it has certainly ended.
        """
        per_s = self._limits.find(server)
        assert per_s is not None
        if patience_s > 0.0 and now() < self._full_until.get((server, priority), 0.0):
            return None
        request = GrantRequest(
            sequence=self._owners.next_sequence(),
            server=server,
            per_s=per_s,
            told_age_s=self._limits.told_age(server),
            priority=priority,
            patience_s=patience_s,
            lasts_s=lasts_s,
        )
        owner = self.find_owner(server)
        try:
            reply = await self._owners.ask(request)
        except asyncio.CancelledError:
            # The owner may have granted it all the same.
            self._report_ended(owner, request, None, responded=False)
            raise
        if reply is None:
            return self._use_window(server, per_s)
        self._limits.adopt(server, reply.per_s)
        if reply.per_s is None:
            return SendPermit(wait_s=0.0, on_end=lambda limit, responded: None)
        if not reply.is_granted:
            self._close(server, reply.wait_s)
            if patience_s > 0.0:
                self._full_until[server, priority] = now() + reply.wait_s
            return None
        self.outcomes["granted"] += 1
        return SendPermit(
            wait_s=reply.wait_s,
            on_end=lambda limit, responded: self._report_ended(
                owner, request, limit, responded=responded
            ),
        )

    def _use_window(self, server: str, per_s: float) -> SendPermit | None:
        """Return permission without an owner, in this instance's own windows."""
        self.outcomes["unanswered"] += 1
        timestamp = now()
        period_s = self._bounds.limit_window_s
        interval_s = compute_interval_s(
            max_requests=compute_unowned_bound(per_s, self._bounds),
            members=self._senders.count(timestamp),
            period_s=period_s,
        )
        sent = self._unowned.setdefault(server, TransitWindow(length_s=period_s))
        if sent.in_transit or not self._windows.is_open(server, interval_s, timestamp):
            self._close(server, MIN_RETRY_S)
            return None
        self._windows.mark_used(server, interval_s, timestamp)
        transit = sent.start()
        return SendPermit(
            wait_s=0.0, on_end=lambda limit, responded: transit.settle(now())
        )

    def _close(self, server: str, retry_after_s: float) -> None:
        self.outcomes["denied"] += 1
        self._closed_until[server] = now() + retry_after_s

    def _report_ended(
        self,
        owner: str,
        request: GrantRequest,
        limit: StatedLimit | None,
        *,
        responded: bool,
    ) -> None:
        is_unreadable = limit is not None and limit.per_s is None
        message = SendEnded(
            sequence=request.sequence,
            server=request.server,
            has_response=responded and not is_unreadable,
            per_s=None if limit is None else limit.per_s,
        )
        if owner == self._me:
            self._issuer.handle_ended(self._me, message)
        else:
            self._send(owner, message)

    # -- messages --

    def handle(self, sender: str, message: msgspec.Struct) -> None:
        """Process a message of another instance."""
        match message:
            case GrantRequest():
                self._send(sender, self._reply(sender, message))
            case GrantReply():
                self._owners.handle_reply(message)
            case SendEnded():
                self._issuer.handle_ended(sender, message)
            case LimitStated():
                self._limits.learn(message.server, message.per_s, sender, told_at=now())

    def _reply(self, sender: str, request: GrantRequest) -> GrantReply:
        if not self._owners.is_own(request.server):
            return GrantReply(sequence=request.sequence, is_owner=False)
        return self._issuer.decide(sender, request)

    def find_owner(self, server: str) -> str:
        """Return the instance that grants requests to a server, as seen from here."""
        return self._owners.find(server)

    # -- reports --

    def _publish_report(self) -> None:
        timestamp = now()
        if timestamp - self._reported_at < MIN_REPORT_INTERVAL_S:
            return
        owned = {
            name: per_s
            for name, per_s in self._limits.all.items()
            if self._owners.is_own(name)
        }
        is_due = timestamp - self._reported_at >= REPORT_INTERVAL_S
        if owned != self._reported or (owned and is_due):
            self._reported = owned
            self._reported_at = timestamp
            self._number += 1
            self._publish(TOPIC, LimitReport(limits=owned, number=self._number))

    def _learn_report(self, payload: GossipPayload) -> None:
        previous = self._reports.get(payload.origin)
        if previous is not None and payload.sequence <= previous.sequence:
            return
        report = msgspec.json.decode(payload.body, type=LimitReport)
        self._reports[payload.origin] = _ReceivedReport(
            sequence=payload.sequence, servers=frozenset(report.limits)
        )
        if previous is not None:
            # The limit may have ended, which the owner tells when it is asked.
            for server in previous.servers - report.limits.keys():
                self._reopen(server)
        told_at = now() - REPORT_INTERVAL_S
        for server, per_s in report.limits.items():
            self._limits.learn(server, per_s, payload.origin, told_at=told_at)
