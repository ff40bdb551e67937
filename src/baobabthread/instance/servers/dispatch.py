"""Assignment of requests to servers by the owners of their groups."""

from __future__ import annotations

import asyncio
import random
from collections import deque
from collections.abc import Collection, Iterator, Mapping
from contextlib import contextmanager

import msgspec

from baobabthread.core.configuration.configuration import Priority
from baobabthread.core.limits.flows import CLASS
from baobabthread.core.rendezvous import rank
from baobabthread.instance.clock import now
from baobabthread.instance.servers.dispatchmessages import (
    Answer,
    DispatchAsk,
    DispatchCheck,
    DispatchHeld,
    DispatchReply,
    DispatchReport,
    DispatchStatus,
    HeldRequest,
    make_ask,
)
from baobabthread.instance.servers.dispatchrequests import (
    Assignment,
    HeldAssignment,
    Refusal,
    ReplyInbox,
)
from baobabthread.instance.servers.ownedgroups import OwnedGroups
from baobabthread.instance.servers.owners import SendMessage
from baobabthread.logs import log_event
from baobabthread.routing.servers.dispatch import GroupDispatcher
from baobabthread.routing.servers.lines import MIN_RETRY_S
from baobabthread.routing.servers.lineuse import LineUses
from baobabthread.routing.servers.occupancy import Ending, GroupServer
from baobabthread.routing.servers.roompart import ReachedInstances
from baobabthread.routing.servers.turns import REPEAT_PART

REPLY_TIMEOUT_S = 0.02
"""Time for an owner's reply: several round trips between failure domains. Without one
the instance chooses by itself."""
OWNER_BACKOFF_S = 1.0
"""Time for which an owner that did not reply isn't asked: it is paused or down."""
QUEUE_POLL_S = 0.25
"""Interval at which a request that waits for its turn asks again: the grant may be
lost, or the owner be gone."""
MAX_SILENCES = 3
"""Consecutive asks without a reply after which an owner is paused or down rather than a
datagram lost."""
PART_SMOOTHING = 0.2
"""Weight of each ask in the part of them that got a server."""
URGENT_ASKS = 2
"""Times that an urgent request is asked for at once: less urgent ones of others pass it
while its instance waits for the reply to an ask that is lost."""
REPEATED_ENDS = 4
"""Ends that each report of an end repeats, as reports may be lost."""


class DispatchCoordinator:
    """Ask the owners of groups for servers, and assign those of the groups owned."""

    __slots__ = (
        "_assigned_parts",
        "_backoff_until",
        "_ended",
        "_groups",
        "_held",
        "_incarnations",
        "_me",
        "_owned",
        "_owners",
        "_pending",
        "_reached",
        "_rng",
        "_send",
        "_sequence",
        "_silences",
        "_uses",
        "outcomes",
    )

    def __init__(
        self, *, me: str, incarnation: str, send: SendMessage, rng: random.Random
    ) -> None:
        self._me = me
        self._send = send
        self._rng = rng
        self._reached = ReachedInstances(names=[me])
        self._owners: dict[str, str] = {}
        self._groups: Mapping[str, Mapping[str, GroupServer]] = {}
        self._owned = OwnedGroups(
            incarnation=incarnation[:4], deliver=self._deliver, rng=rng
        )
        # Another incarnation's requests may still be under way under their numbers.
        self._sequence = rng.getrandbits(40)
        self._pending: dict[int, ReplyInbox] = {}
        """Requests that wait for replies, by number."""
        self._held: dict[int, HeldAssignment] = {}
        """Requests of this instance that are under way, by number."""
        self._ended: dict[str, deque[int]] = {}
        """Requests that ended most recently, by group."""
        self._assigned_parts: dict[str, float] = {}
        """Part of the latest asks that got a server, by group."""
        self._uses: dict[str, LineUses] = {}
        """What the requests of this instance asked for and got, by group."""
        self._backoff_until: dict[str, float] = {}
        self._silences: dict[str, int] = {}
        self._incarnations: dict[str, str] = {}
        """Incarnation in the last reply of each owner."""
        self.outcomes = dict.fromkeys(
            ("assigned", "waited", "refused", "unanswered", "none", "estimated"), 0
        )
        """Number of asks, by outcome."""

    @property
    def instance_count(self) -> int:
        """Number of instances that are believed to serve."""
        return len(self._reached.names)

    # -- membership and servers --

    def set_members(self, names: list[str], left: Collection[str] = ()) -> None:
        """Set the instances that serve, including this one.

        Those that are neither among them nor among `left` may still serve others.
        """
        before = dict(self._owners)
        gone = self._reached.replace(names or [self._me], left, now())
        self._owners.clear()
        self._backoff_until = {
            n: t for n, t in self._backoff_until.items() if n in self._reached.names
        }
        for group in [g for g in self._owned.dispatchers if not self.is_own(g)]:
            self._owned.hand_over(group)
        self._tell_reached()
        self._owned.suspect(gone)
        for group, owner in before.items():
            if self.find_owner(group) != owner:
                self._report_held(group)
                self._wake(group)

    def _tell_reached(self) -> None:
        part = self._reached.compute_part(now())
        self._owned.set_reached(self.instance_count, part)

    def _wake(self, group: str) -> None:
        """Let the requests that wait for a group's owner ask the new one."""
        for inbox in self._pending.values():
            if inbox.group == group:
                inbox.wake()

    def set_groups(self, groups: Mapping[str, Mapping[str, GroupServer]]) -> None:
        """Set the servers of all groups, by the group's name."""
        self._groups = groups
        self._owned.set_groups(groups)
        self._assigned_parts = {
            g: part for g, part in self._assigned_parts.items() if g in groups
        }
        self._uses = {g: uses for g, uses in self._uses.items() if g in groups}

    def find_owner(self, group: str) -> str:
        """Return the instance that assigns a group's requests, as seen from here."""
        owner = self._owners.get(group)
        if owner is None:
            owner = self._owners[group] = rank(
                f"dispatch/{group}", self._reached.names
            )[0]
        return owner

    def is_own(self, group: str) -> bool:
        """Return whether this instance assigns a group's requests."""
        return self.find_owner(group) == self._me

    def list_own(self) -> Mapping[str, GroupDispatcher]:
        """Return what this instance keeps of the groups that it owns."""
        return self._owned.dispatchers

    # -- asks --

    def next_number(self) -> int:
        """Return the number of the next request."""
        self._sequence += 1
        return self._sequence

    async def acquire(
        self, ask: DispatchAsk, *, patience_s: float
    ) -> Assignment | Refusal | None:
        """Return a server for a request, or None if its owner gives no answer.

        The request waits for its turn for `patience_s` at most.
        """
        until = now() + patience_s
        try:
            with self._expect(ask) as inbox:
                reply = await self._ask(_limit(ask, until), inbox)
                if reply is None:
                    # One of two messages is lost far more often than an owner.
                    reply = await self._ask(_limit(ask, until), inbox)
                waited = reply is not None and reply.state is Answer.QUEUED
                if reply is not None and waited:
                    reply = await self._wait_for_turn(ask, until, inbox, reply)
        except asyncio.CancelledError:
            self._report(ask.group, ask.number, Ending.DROPPED)
            raise
        return self._conclude(ask, reply, waited=waited)

    async def estimate(self, ask: DispatchAsk) -> DispatchReply | None:
        """Return what a request would meet now; None if its owner gives no answer."""
        with self._expect(ask) as inbox:
            reply = await self._ask(ask, inbox)
        if reply is not None:
            self.outcomes["estimated"] += 1
        return reply

    def _conclude(
        self, ask: DispatchAsk, reply: DispatchReply | None, *, waited: bool
    ) -> Assignment | Refusal | None:
        if reply is None or reply.state is Answer.NOT_OWNER:
            # A lost reply may have assigned a server.
            self._report(ask.group, ask.number, Ending.DROPPED)
            return self._do_without(ask)
        is_assigned = reply.state is Answer.ASSIGNED
        self._learn_part(ask.group, is_assigned=is_assigned)
        self._record_use(ask, is_assigned=is_assigned, waited=waited)
        if reply.state is Answer.QUEUED:
            self._report(ask.group, ask.number, Ending.DROPPED)
            self.outcomes["refused"] += 1
            return Refusal(retry_after_s=max(MIN_RETRY_S, reply.wait_s))
        if reply.state is Answer.REFUSED:
            self.outcomes["refused"] += 1
            return Refusal(retry_after_s=reply.retry_after_s)
        if not reply.server:
            self.outcomes["none"] += 1
            return None
        self.outcomes["waited" if waited else "assigned"] += 1
        return self._hold(ask, reply.server, reply.kept_tokens, reply.wait_s)

    def _do_without(self, ask: DispatchAsk) -> Refusal | None:
        """Refuse what the owner would have, by the part that it refused lately.

        All that it held back would otherwise overrun the servers when it is lost.
        """
        part = self._assigned_parts.get(ask.group, 1.0)
        if _is_urgent(ask) or self._rng.random() < part:
            self.outcomes["unanswered"] += 1
            return None
        self.outcomes["refused"] += 1
        return Refusal(retry_after_s=OWNER_BACKOFF_S * self._rng.uniform(1.0, 2.0))

    def _learn_part(self, group: str, *, is_assigned: bool) -> None:
        part = self._assigned_parts.get(group, 1.0)
        self._assigned_parts[group] = part + PART_SMOOTHING * (is_assigned - part)

    def _record_use(self, ask: DispatchAsk, *, is_assigned: bool, waited: bool) -> None:
        if ask.group not in self._groups:
            return
        tokens = make_ask(ask).tokens
        uses = self._uses.setdefault(ask.group, LineUses())
        uses.record(
            (ask.account, CLASS[list(Priority)[ask.priority]]),
            asked=tokens * (1.0 if is_assigned else REPEAT_PART),
            taken=tokens if is_assigned and waited else 0.0,
            now=now(),
        )

    def report_chosen(self, ask: DispatchAsk, server: str) -> Assignment:
        """Report a server that this instance has chosen by itself."""
        assignment = self._hold(ask, server, 0, 0.0)
        held = DispatchHeld(group=ask.group, held=[_describe_held(ask, server)])
        self._deliver(self.find_owner(ask.group), held)
        return assignment

    def _hold(
        self, ask: DispatchAsk, server: str, kept_tokens: int, wait_s: float
    ) -> Assignment:
        assignment = Assignment(
            report=self.report,
            group=ask.group,
            number=ask.number,
            server=server,
            kept_tokens=kept_tokens,
            wait_s=wait_s,
        )
        self._held[ask.number] = HeldAssignment(
            assignment=assignment, message=ask, ends_at=now() + ask.lasts_s
        )
        return assignment

    async def _ask(self, ask: DispatchAsk, inbox: ReplyInbox) -> DispatchReply | None:
        owner = self.find_owner(ask.group)
        if owner == self._me:
            return self._decide(self._me, ask)
        if now() < self._backoff_until.get(owner, 0.0):
            return None
        for _ in range(URGENT_ASKS if _is_urgent(ask) else 1):
            self._send(owner, ask)
        reply = await inbox.take(REPLY_TIMEOUT_S)
        if reply is None:
            self._record_silence(owner, ask.group)
            return None
        self._silences.pop(owner, None)
        self._check_incarnation(owner, reply.incarnation)
        return reply

    async def _wait_for_turn(
        self, ask: DispatchAsk, until: float, inbox: ReplyInbox, queued: DispatchReply
    ) -> DispatchReply | None:
        """Return the decision on a request that waits, or its state at the end."""
        misses = 0
        while (left_s := until - now()) > 0.0:
            reply = await inbox.take(min(left_s, QUEUE_POLL_S))
            if reply is None and now() < until:
                reply = await self._ask(_limit(ask, until), inbox)
            if reply is not None and reply.state is Answer.QUEUED:
                misses, queued = 0, reply
            elif reply is not None and reply.state is not Answer.NOT_OWNER:
                return reply
            elif (misses := misses + 1) > MAX_SILENCES:
                return None
        return queued

    @contextmanager
    def _expect(self, ask: DispatchAsk) -> Iterator[ReplyInbox]:
        """Collect the replies to a request."""
        inbox = self._pending[ask.number] = ReplyInbox(group=ask.group)
        try:
            yield inbox
        finally:
            del self._pending[ask.number]

    def _record_silence(self, owner: str, group: str) -> None:
        silences = self._silences[owner] = self._silences.get(owner, 0) + 1
        if silences >= MAX_SILENCES:
            del self._silences[owner]
            self._backoff_until[owner] = now() + OWNER_BACKOFF_S
            log_event("dispatch_owner_silent", owner=owner, group=group)

    def _check_incarnation(self, owner: str, incarnation: str) -> None:
        """Tell an owner that has restarted of the requests that it assigned before."""
        if not incarnation:
            return
        previous = self._incarnations.get(owner, incarnation)
        self._incarnations[owner] = incarnation
        if previous == incarnation:
            return
        for group in {held.message.group for held in self._held.values()}:
            if self.find_owner(group) == owner:
                self._report_held(group)

    # -- reports --

    def report(self, assignment: Assignment, ending: Ending) -> None:
        """Report to a group's owner what became of a request."""
        if ending is not Ending.BEGUN:
            self._held.pop(assignment.number, None)
        self._report(assignment.group, assignment.number, ending)

    def _report(self, group: str, number: int, ending: Ending) -> None:
        earlier = self._ended.setdefault(group, deque(maxlen=REPEATED_ENDS))
        message = DispatchReport(
            group=group,
            number=number,
            state=ending,
            earlier=tuple(earlier) if ending is not Ending.BEGUN else (),
        )
        if ending is not Ending.BEGUN:
            earlier.append(number)
        self._deliver(self.find_owner(group), message)

    def _report_held(self, group: str) -> None:
        """Tell a group's new owner of the requests under way, and of accounts."""
        timestamp = now()
        held = [
            _describe_held(
                each.message,
                each.assignment.server,
                each.ends_at,
                has_begun=each.assignment.has_begun,
            )
            for each in self._held.values()
            if each.message.group == group and each.ends_at > timestamp
        ]
        uses = self._uses[group].list_uses() if group in self._uses else []
        if not held and not uses:
            return
        message = DispatchHeld(group=group, held=held, uses=uses)
        self._deliver(self.find_owner(group), message)

    def tick(self) -> None:
        """Forget requests that have certainly ended, and tend to the owned groups."""
        timestamp = now()
        for number in [n for n, h in self._held.items() if h.ends_at < timestamp]:
            del self._held[number]
        self._tell_reached()
        self._owned.tick()

    # -- messages --

    def handle(self, sender: str, message: msgspec.Struct) -> None:
        """Process a message of another instance, or of this one."""
        match message:
            case DispatchAsk():
                self._deliver(sender, self._decide(sender, message))
            case DispatchReply():
                self._handle_reply(message)
            case DispatchReport():
                self._owned.handle_report(sender, message)
            case DispatchHeld():
                if self.is_own(message.group):
                    self._owned.handle_held(sender, message)
            case DispatchCheck():
                self._deliver(sender, self._describe_status(message))
            case DispatchStatus():
                self._owned.handle_status(sender, message)

    def _deliver(self, name: str, message: msgspec.Struct) -> None:
        if name == self._me:
            self.handle(self._me, message)
        else:
            self._send(name, message)

    def _decide(self, sender: str, message: DispatchAsk) -> DispatchReply:
        if self.is_own(message.group):
            return self._owned.decide(sender, message)
        return DispatchReply(number=message.number, state=Answer.NOT_OWNER)

    def _handle_reply(self, reply: DispatchReply) -> None:
        inbox = self._pending.get(reply.number)
        if inbox is not None:
            inbox.put(reply)

    def _describe_status(self, check: DispatchCheck) -> DispatchStatus:
        held = [number for number in check.numbers if number in self._held]
        return DispatchStatus(group=check.group, numbers=check.numbers, held=held)


def _is_urgent(ask: DispatchAsk) -> bool:
    return list(Priority)[ask.priority] is Priority.URGENT


def _limit(ask: DispatchAsk, until: float) -> DispatchAsk:
    """Return an ask whose patience ends at a time."""
    left_s = max(0.0, until - now())
    return msgspec.structs.replace(ask, patience_s=round(left_s, 3))


def _describe_held(
    ask: DispatchAsk,
    server: str,
    ends_at: float | None = None,
    *,
    has_begun: bool = False,
) -> HeldRequest:
    lasts_s = ask.lasts_s if ends_at is None else max(0.0, ends_at - now())
    return HeldRequest(
        number=ask.number,
        server=server,
        work_s=ask.work_s,
        lasts_s=round(lasts_s, 2),
        reading_s=ask.reading_s,
        prompt_tokens=ask.prompt_tokens,
        memory_tokens=ask.memory_tokens,
        parts=ask.parts,
        failure_domain=ask.failure_domain,
        has_begun=has_begun,
    )
