"""Places at brittle backend servers, granted for all instances together."""

from __future__ import annotations

import asyncio
from collections import deque

import msgspec

from baobabthread.core.configuration.configuration import Priority
from baobabthread.instance.clock import now
from baobabthread.instance.servers.owners import Owners, SendMessage
from baobabthread.instance.servers.placemessages import (
    PlaceCheck,
    PlaceEnded,
    PlaceHeld,
    PlaceRejected,
    PlaceReply,
    PlaceRequest,
)
from baobabthread.logs import log_event
from baobabthread.routing.servers.places import (
    BrittleServices,
    PlaceLedger,
    StatedBrittleness,
    WaitingRequest,
    compute_unowned_rate,
)
from baobabthread.routing.servers.warmup import SenderCount, SendWindows

REPLY_TIMEOUT_S = 0.06
"""Time for an owner's reply. Without it hardly a request is sent, so that an owner that
is held up for a moment is waited for."""
OWNER_BACKOFF_S = 0.2
PLACE_PATIENCE_S = 0.1
"""Time for which a denied request waits for a place of the same server."""
REPEATED_ENDS = 4
"""Ends that each report of an end repeats: places of lost ones stay taken for long."""
REJECTED_CLOSE_S = 0.05
"""Time for which a server gets no request after a rejection, or without an owner."""


class Place:
    """A place at a brittle server, until its request has ended."""

    __slots__ = ("_coordinator", "_ended", "is_owned", "request")

    def __init__(
        self, *, request: PlaceRequest, coordinator: PlaceCoordinator, is_owned: bool
    ) -> None:
        self.request = request
        self.is_owned = is_owned
        """Whether the server's owner granted it."""
        self._coordinator = coordinator
        self._ended = False

    def end(self) -> None:
        """Free the place; later calls change nothing."""
        if not self._ended:
            self._ended = True
            self._coordinator.end(self)


class _HeldPlace(msgspec.Struct):
    place: Place
    ends_at: float


class PlaceCoordinator:
    """Ask for places at brittle servers, and grant those of the servers owned."""

    __slots__ = (
        "_brittle",
        "_closed_until",
        "_ended",
        "_held",
        "_incarnation",
        "_incarnations",
        "_ledgers",
        "_me",
        "_owned_since",
        "_owners",
        "_reachable",
        "_send",
        "_senders",
        "_unowned",
        "_windows",
        "outcomes",
    )

    def __init__(self, *, me: str, incarnation: str, send: SendMessage) -> None:
        self._me = me
        self._incarnation = incarnation
        self._send = send
        self._brittle = BrittleServices()
        self._owners: Owners[PlaceRequest, PlaceReply] = Owners(
            me=me,
            prefix="places",
            timeout_s=REPLY_TIMEOUT_S,
            backoff_s=OWNER_BACKOFF_S,
            log_silence=lambda owner, server: log_event(
                "place_owner_silent", owner=owner, backend=server
            ),
            send=send,
            decide=self._decide,
        )
        self._incarnations: dict[str, str] = {}
        """Incarnation in the last reply of each owner."""
        self._ledgers: dict[str, PlaceLedger] = {}
        self._owned_since = now()
        self._reachable = 1
        """Instances that are believed to serve."""
        self._held: dict[int, _HeldPlace] = {}
        """Places that requests of this instance hold, by number."""
        self._ended: dict[str, deque[int]] = {}
        """Places that ended most recently, by server."""
        self._closed_until: dict[str, float] = {}
        """Until when a server has no place."""
        self._windows = SendWindows(me=me)
        self._senders = SenderCount()
        self._unowned: set[str] = set()
        """Servers to which a request was sent without a place of their owner."""
        self.outcomes = dict.fromkeys(("granted", "denied", "unanswered"), 0)
        """Number of places asked for, by outcome."""

    def set_members(self, names: list[str]) -> None:
        """Set the instances that serve, including this one."""
        before = {
            place.request.server: self._owners.find(place.request.server)
            for place in self._list_held()
        }
        self._owners.set_members(names)
        self._owned_since = now()
        self._reachable = len(names)
        for server in [s for s in self._ledgers if not self._owners.is_own(s)]:
            del self._ledgers[server]
        for ledger in self._ledgers.values():
            # They were denied by another part of the capacity.
            ledger.forget_waiting()
        for place in self._list_held():
            owner = self._owners.find(place.request.server)
            if owner != before[place.request.server]:
                self._report_held(owner, place)

    def update_senders(self, names: list[str]) -> None:
        """Update the known instances, whatever their state."""
        self._senders.record(names, now())

    def retain(self, servers: set[str]) -> None:
        """Drop the state of all servers except for these incarnations."""
        self._owners.retain(servers)
        self._unowned &= servers
        for known in (self._ledgers, self._closed_until, self._ended):
            for name in [name for name in known if name not in servers]:
                del known[name]
                self._windows.forget(name)

    def find_owner(self, server: str) -> str:
        """Return the instance that grants the places at a server, as seen from here."""
        return self._owners.find(server)

    # -- brittle services --

    def is_brittle(self, service: str) -> bool:
        """Return whether the servers of a service state that they are brittle."""
        return self._brittle.find(service) is not None

    @property
    def brittle_services(self) -> int:
        """Number of services whose servers state that they are brittle."""
        return len(self._brittle)

    def record_response(
        self, service: str, stated: StatedBrittleness | None, sent_at: float
    ) -> None:
        """Record what a response states to a request that was sent at a time."""
        if not self._brittle.record(service, stated, sent_at=sent_at, now=now()):
            return
        rejections = self._brittle.find(service)
        if rejections is None:
            self._closed_until.clear()
            log_event("service_brittle_ended", service=service)
        else:
            log_event("service_brittle", service=service, rejections=rejections)

    def record_rejection(self, server: str, service: str, capacity: int) -> None:
        """Record that a brittle server rejected a request for lack of room."""
        borne = self._brittle.find(service) or 0.0
        self._closed_until[server] = now() + REJECTED_CLOSE_S
        owner = self._owners.find(server)
        if owner == self._me:
            self._find_ledger(server).record_rejection(capacity, borne, now())
        else:
            message = PlaceRejected(server=server, capacity=capacity, borne=borne)
            self._send(owner, message)

    # -- places --

    def list_closed(self, timestamp: float) -> list[str]:
        """Return the servers that have no place."""
        return [name for name, at in self._closed_until.items() if timestamp < at]

    async def acquire(
        self,
        server: str,
        *,
        service: str,
        capacity: int,
        priority: Priority,
        lasts_s: float,
        patience_s: float = PLACE_PATIENCE_S,
    ) -> Place | None:
        """Return a place at a server of a brittle service, if there is one.

        `lasts_s` is the time after which the request has certainly ended, `patience_s`
        for how long it waits at this server if none is free.
        """
        request = PlaceRequest(
            sequence=self._owners.next_sequence(),
            server=server,
            capacity=capacity,
            priority=priority,
            lasts_s=lasts_s,
            patience_s=patience_s,
        )
        try:
            reply = await self._owners.ask(request)
        except asyncio.CancelledError:
            # The owner may have granted it all the same.
            self._report_ended(request)
            raise
        if reply is None:
            # A lost reply may have granted a place.
            self._report_ended(request)
            return self._use_window(service, request)
        if not reply.is_granted:
            self._closed_until[server] = now() + reply.wait_s
            granted = await self._wait(request) if reply.is_waiting else None
            if granted is None:
                self.outcomes["denied"] += 1
                return None
            reply = granted
        self.outcomes["granted"] += 1
        self._check_incarnation(self._owners.find(server), reply.incarnation)
        place = Place(request=request, coordinator=self, is_owned=True)
        self._held[request.sequence] = _HeldPlace(place=place, ends_at=now() + lasts_s)
        return place

    async def _wait(self, request: PlaceRequest) -> PlaceReply | None:
        """Return the grant of a place that has become free, if there is one in time."""
        try:
            return await self._owners.wait(request.sequence, request.patience_s)
        except asyncio.CancelledError:
            self._report_ended(request)
            raise

    def end(self, place: Place) -> None:
        """Free a place that a request of this instance held."""
        request = place.request
        if not place.is_owned:
            self._unowned.discard(request.server)
            return
        self._held.pop(request.sequence, None)
        self._report_ended(request)

    def _report_ended(self, request: PlaceRequest) -> None:
        server = request.server
        earlier = self._ended.setdefault(server, deque(maxlen=REPEATED_ENDS))
        message = PlaceEnded(
            sequence=request.sequence, server=server, earlier=tuple(earlier)
        )
        earlier.append(request.sequence)
        self._report(self._owners.find(server), message)

    def _use_window(self, service: str, request: PlaceRequest) -> Place | None:
        """Return a place without an owner, in this instance's own windows."""
        self.outcomes["unanswered"] += 1
        timestamp = now()
        server = request.server
        rate = compute_unowned_rate(self._brittle.find(service) or 0.0)
        interval_s = self._senders.count(timestamp) / rate
        is_open = self._windows.is_open(server, interval_s, timestamp)
        is_owner_there = self._owners.is_one_lost(server)
        if is_owner_there or server in self._unowned or not is_open:
            self.outcomes["denied"] += 1
            self._closed_until[server] = timestamp + REJECTED_CLOSE_S
            return None
        self._windows.mark_used(server, interval_s, timestamp)
        self._unowned.add(server)
        return Place(request=request, coordinator=self, is_owned=False)

    def _check_incarnation(self, owner: str, incarnation: str) -> None:
        """Tell an owner that has restarted of the places that it granted before."""
        previous = self._incarnations.get(owner, incarnation)
        self._incarnations[owner] = incarnation
        if previous == incarnation:
            return
        for place in self._list_held():
            if self._owners.find(place.request.server) == owner:
                self._report_held(owner, place)

    def _report_held(self, owner: str, place: Place) -> None:
        request = place.request
        message = PlaceHeld(
            sequence=request.sequence,
            server=request.server,
            lasts_s=max(0.0, self._held[request.sequence].ends_at - now()),
        )
        if owner == self._me:
            self._hold(self._me, message)
        else:
            self._send(owner, message)

    def _list_held(self) -> list[Place]:
        return [held.place for held in self._held.values()]

    # -- owned servers --

    def _find_ledger(self, server: str) -> PlaceLedger:
        ledger = self._ledgers.get(server)
        if ledger is None:
            ledger = PlaceLedger(owned_since=self._owned_since)
            self._ledgers[server] = ledger
        return ledger

    def _decide(self, sender: str, request: PlaceRequest) -> PlaceReply:
        ledger = self._find_ledger(request.server)
        capacity = self._find_share(request.capacity)
        ends_at = now() + request.lasts_s
        wait_s = ledger.request(
            sender,
            request.sequence,
            capacity=capacity,
            priority=request.priority,
            ends_at=ends_at,
            now=now(),
        )
        if wait_s is None:
            return self._grant(request.server, request.sequence)
        waiting = WaitingRequest(
            holder=sender,
            number=request.sequence,
            capacity=capacity,
            priority=request.priority,
            ends_at=ends_at,
            until=now() + request.patience_s,
        )
        self._check_overdue(request.server, ledger)
        return PlaceReply(
            sequence=request.sequence,
            is_waiting=request.patience_s > 0 and ledger.wait(waiting, now()),
            wait_s=round(wait_s, 3),
            incarnation=self._incarnation,
        )

    def _grant(self, server: str, sequence: int) -> PlaceReply:
        return PlaceReply(
            sequence=sequence,
            server=server,
            is_granted=True,
            incarnation=self._incarnation,
        )

    def _check_overdue(self, server: str, ledger: PlaceLedger) -> None:
        """Ask the holders of places whose end may be lost."""
        by_holder: dict[str, list[int]] = {}
        for holder, number in ledger.list_overdue(now()):
            by_holder.setdefault(holder, []).append(number)
        for holder, numbers in by_holder.items():
            # No report of this instance to itself is lost.
            if holder != self._me:
                self._send(holder, PlaceCheck(server=server, numbers=numbers))

    def _find_share(self, capacity: int) -> int:
        """Return the part of a server's capacity that this side of a partition has.

        Instances that are not reached may be down, or grant places of their own.
        """
        known = max(self._reachable, self._senders.seen)
        return max(1, capacity * self._reachable // known)

    def _end_owned(self, sender: str, message: PlaceEnded) -> None:
        ledger = self._ledgers.get(message.server)
        if ledger is None:
            return
        for sequence in (message.sequence, *message.earlier):
            ledger.end(sender, sequence, now())
        for request in ledger.grant_waiting(now()):
            reply = self._grant(message.server, request.number)
            if request.holder == self._me:
                self._handle_reply(self._me, reply)
            else:
                self._send(request.holder, reply)

    def _hold(self, sender: str, message: PlaceHeld) -> None:
        ledger = self._find_ledger(message.server)
        ledger.hold(sender, message.sequence, now() + message.lasts_s, now())

    # -- messages --

    def handle(self, sender: str, message: msgspec.Struct) -> None:
        """Process a message of another instance."""
        match message:
            case PlaceRequest():
                self._send(sender, self._reply(sender, message))
            case PlaceReply():
                self._handle_reply(sender, message)
            case PlaceEnded():
                self._end_owned(sender, message)
            case PlaceHeld():
                self._hold(sender, message)
            case PlaceRejected():
                ledger = self._find_ledger(message.server)
                ledger.record_rejection(message.capacity, message.borne, now())
            case PlaceCheck():
                self._handle_check(sender, message)

    def _handle_reply(self, sender: str, reply: PlaceReply) -> None:
        if self._owners.handle_reply(reply) or not reply.is_granted:
            return
        if self._owners.is_awaited(reply.sequence):
            # The reply that let the request wait is only just being read.
            loop = asyncio.get_running_loop()
            loop.call_soon(self._handle_reply, sender, reply)
        elif reply.sequence not in self._held:
            message = PlaceEnded(sequence=reply.sequence, server=reply.server)
            self._report(sender, message)

    def _report(self, owner: str, message: PlaceEnded) -> None:
        if owner == self._me:
            self._end_owned(self._me, message)
        else:
            self._send(owner, message)

    def _handle_check(self, sender: str, check: PlaceCheck) -> None:
        """Report the places again that have ended."""
        ended = [
            number
            for number in check.numbers
            if number not in self._held and not self._owners.is_awaited(number)
        ]
        if ended:
            message = PlaceEnded(
                sequence=ended[0], server=check.server, earlier=tuple(ended[1:])
            )
            self._send(sender, message)

    def _reply(self, sender: str, request: PlaceRequest) -> PlaceReply:
        if not self._owners.is_own(request.server):
            return PlaceReply(sequence=request.sequence, is_owner=False)
        return self._decide(sender, request)
