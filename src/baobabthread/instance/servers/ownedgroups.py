"""Groups of servers whose requests this instance assigns, for all instances."""

from __future__ import annotations

import random
from collections.abc import Iterable, Mapping

import msgspec

from baobabthread.instance.clock import now
from baobabthread.instance.servers.dispatchmessages import (
    Answer,
    DispatchAsk,
    DispatchCheck,
    DispatchHeld,
    DispatchReply,
    DispatchReport,
    DispatchStatus,
    make_ask,
    make_demand,
)
from baobabthread.instance.servers.owners import SendMessage
from baobabthread.logs import log_event
from baobabthread.routing.servers.dispatch import (
    Assigned,
    Decision,
    GroupDispatcher,
    Queued,
    Refused,
)
from baobabthread.routing.servers.occupancy import Ending, GroupServer, Key

GRANTS = 2
"""Times that a grant is sent: its place stays empty while it is lost, until the request
asks again."""


class OwnedGroups:
    """Decide on the requests that instances ask for, and follow them to their ends."""

    __slots__ = (
        "_deliver",
        "_dispatchers",
        "_incarnation",
        "_instances",
        "_part",
        "_rng",
        "_servers",
    )

    def __init__(
        self, *, incarnation: str, deliver: SendMessage, rng: random.Random
    ) -> None:
        self._incarnation = incarnation
        self._deliver = deliver
        self._rng = rng
        self._instances = 1
        """Number of instances that are reached."""
        self._part = 1.0
        """Part of the room for them."""
        self._servers: Mapping[str, Mapping[str, GroupServer]] = {}
        self._dispatchers: dict[str, GroupDispatcher] = {}

    @property
    def dispatchers(self) -> Mapping[str, GroupDispatcher]:
        """What is kept of each group."""
        return self._dispatchers

    def set_groups(self, groups: Mapping[str, Mapping[str, GroupServer]]) -> None:
        """Set the servers of all groups, owned or not, by the group's name."""
        self._servers = groups
        for group in [g for g in self._dispatchers if g not in groups]:
            del self._dispatchers[group]
        for group, dispatcher in self._dispatchers.items():
            dispatcher.set_servers(groups[group])

    def hand_over(self, group: str) -> None:
        """Leave a group and its waiting requests to the owner that they ask next."""
        waiting = self._dispatchers.pop(group).waiting
        if waiting:
            log_event("dispatch_handed_over", group=group, waiting=waiting)

    def suspect(self, holders: Iterable[str]) -> None:
        """Check at once on the requests of instances that may be gone."""
        for dispatcher in self._dispatchers.values():
            dispatcher.suspect(holders)

    def set_reached(self, instances: int, part: float) -> None:
        """Set how many instances are reached, and the part that they are of all."""
        self._instances = instances
        self._part = part
        for dispatcher in self._dispatchers.values():
            dispatcher.set_part(part)

    def tick(self) -> None:
        """Decide on requests that wait, and ask for those that are overdue."""
        timestamp = now()
        for group, dispatcher in self._dispatchers.items():
            dispatcher.tick(timestamp)
            self._answer_granted(dispatcher)
            self._check(group, dispatcher.list_checks(timestamp))

    def _check(self, group: str, keys: list[Key]) -> None:
        by_holder: dict[str, list[int]] = {}
        for holder, number in keys:
            by_holder.setdefault(holder, []).append(number)
        for holder, numbers in by_holder.items():
            self._deliver(holder, DispatchCheck(group=group, numbers=numbers))

    # -- messages --

    def decide(self, sender: str, message: DispatchAsk) -> DispatchReply:
        """Return the decision on a request of an instance."""
        dispatcher = self._find_dispatcher(message.group)
        if dispatcher is None:
            return DispatchReply(number=message.number, state=Answer.NOT_OWNER)
        ask = make_ask(message)
        if message.is_estimate:
            return self._make_reply(message.number, dispatcher.estimate(ask, now()))
        key = (sender, message.number)
        reply = self._make_reply(message.number, dispatcher.ask(key, ask, now()))
        self._answer_granted(dispatcher)
        return reply

    def handle_report(self, sender: str, message: DispatchReport) -> None:
        """Process a report of what became of a request."""
        dispatcher = self._dispatchers.get(message.group)
        if dispatcher is None:
            return
        timestamp = now()
        key = (sender, message.number)
        if message.state is Ending.BEGUN:
            dispatcher.begin(key, timestamp)
        else:
            for number in message.earlier:
                dispatcher.drop((sender, number), timestamp)
            dispatcher.end(key, message.state, timestamp)
        self._answer_granted(dispatcher)

    def handle_held(self, sender: str, message: DispatchHeld) -> None:
        """Count requests of an instance that were not assigned here."""
        dispatcher = self._find_dispatcher(message.group)
        if dispatcher is None:
            return
        for held in message.held:
            dispatcher.hold(
                (sender, held.number),
                held.server,
                make_demand(held),
                lasts_s=held.lasts_s,
                now=now(),
                has_begun=held.has_begun,
            )
        if message.uses:
            dispatcher.learn(sender, message.uses, self._instances, now())

    def handle_status(self, sender: str, status: DispatchStatus) -> None:
        """Process an instance's word on requests that it was asked for."""
        dispatcher = self._dispatchers.get(status.group)
        if dispatcher is None:
            return
        held = set(status.held)
        for number in status.numbers:
            if number in held:
                dispatcher.confirm((sender, number), now())
            else:
                dispatcher.drop((sender, number), now())
        self._answer_granted(dispatcher)

    def _find_dispatcher(self, group: str) -> GroupDispatcher | None:
        if group not in self._servers:
            return None
        dispatcher = self._dispatchers.get(group)
        if dispatcher is None:
            dispatcher = self._dispatchers[group] = GroupDispatcher(rng=self._rng)
            dispatcher.set_servers(self._servers[group])
            dispatcher.set_part(self._part)
        return dispatcher

    def _answer_granted(self, dispatcher: GroupDispatcher) -> None:
        """Send the decisions on requests that have waited."""
        for granted in dispatcher.take_granted():
            holder, number = granted.key
            reply = self._make_reply(number, granted.decision)
            copies = GRANTS if isinstance(granted.decision, Assigned) else 1
            for _ in range(copies):
                self._deliver(holder, reply)

    def _make_reply(self, number: int, decision: Decision) -> DispatchReply:
        reply = DispatchReply(
            number=number, state=Answer.ASSIGNED, incarnation=self._incarnation
        )
        match decision:
            case Assigned():
                changed = {
                    "server": decision.server,
                    "kept_tokens": decision.kept_tokens,
                    "wait_s": decision.wait_s,
                }
            case Queued():
                changed = {"state": Answer.QUEUED, "wait_s": decision.wait_s}
            case Refused():
                changed = {
                    "state": Answer.REFUSED,
                    "retry_after_s": round(decision.retry_after_s, 3),
                }
        return msgspec.structs.replace(reply, **changed)
