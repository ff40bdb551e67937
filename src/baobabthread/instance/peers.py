"""The link to other instances: membership, replica snapshots and gossiped values."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Iterator
from typing import Any, cast

import msgspec

from baobabthread.adapters.codec import PeerCodec
from baobabthread.core.membership.membership import Membership
from baobabthread.core.membership.messages import (
    MEMBERSHIP_MESSAGES,
    FetchRecords,
    GossipPayload,
    MemberInfo,
    MembershipSettings,
)
from baobabthread.core.messages import Effects, Send
from baobabthread.instance.canaries import (
    CANARY_MESSAGES,
    CanaryCoordinator,
    CanaryPermit,
    CanaryReport,
    CanaryVerdict,
)
from baobabthread.instance.clock import now
from baobabthread.instance.peerchanges import log_backend_changes
from baobabthread.instance.peersnapshots import KnownState, request_snapshot
from baobabthread.instance.quarantine import (
    QUARANTINE_MESSAGES,
    QuarantineCoordinator,
    QuarantineDigest,
    QuarantineEntries,
)
from baobabthread.instance.replicasync import (
    REPLICA_MESSAGES,
    ReplicaQuery,
    ReplicaReply,
    ReplicaSync,
)
from baobabthread.instance.servers.connections import (
    ConnectionPool,
    DirectConnector,
    IncompleteResponseError,
    NotSentError,
)
from baobabthread.instance.servers.departures import (
    DEPARTURE_MESSAGES,
    DepartureGossip,
    DepartureReport,
)
from baobabthread.instance.servers.dispatch import DispatchCoordinator
from baobabthread.instance.servers.dispatchmessages import (
    DISPATCH_MESSAGES,
    DispatchAsk,
    DispatchCheck,
    DispatchHeld,
    DispatchReply,
    DispatchReport,
    DispatchStatus,
)
from baobabthread.instance.servers.limitmessages import (
    LIMIT_MESSAGES,
    GrantReply,
    GrantRequest,
    LimitStated,
    SendEnded,
)
from baobabthread.instance.servers.limits import LimitCoordinator
from baobabthread.instance.servers.placement import (
    LOAD_MESSAGES,
    LoadsReply,
    LoadsRequest,
    Placement,
    PromptEnded,
    PromptPlaced,
)
from baobabthread.instance.servers.placemessages import (
    PLACE_MESSAGES,
    PlaceCheck,
    PlaceEnded,
    PlaceHeld,
    PlaceRejected,
    PlaceReply,
    PlaceRequest,
)
from baobabthread.instance.servers.places import PlaceCoordinator
from baobabthread.instance.servers.rests import (
    REST_MESSAGES,
    RestAsked,
    RestCoordinator,
)
from baobabthread.instance.sessions import (
    SESSION_MESSAGES,
    FindPlan,
    SessionCoordinator,
)
from baobabthread.instance.settings import InstanceSettings
from baobabthread.instance.storeeras import EraTracker
from baobabthread.instance.suspicion import FeaturesAnswered, SuspectsQuery
from baobabthread.instance.timeouts import limit_silence
from baobabthread.logs import log_event
from baobabthread.routing.crashes import Crash
from baobabthread.routing.replica import StateReplica
from baobabthread.routing.snapshots import Snapshot

TICK_INTERVAL_S = 0.05
MAX_DATAGRAM_BYTES = 60_000
CONNECT_TIMEOUT_S = 0.4
"""Timeout for connecting to a peer; a later fetch may choose another one."""
FETCH_TIMEOUT_S = 2.0
"""Timeout of a peer's response: a large configuration takes half a second or more over
the slowest links."""
MIN_FETCH_INTERVAL_S = 0.3
"""Shortest time between two fetches when the store fails."""
STALE_FRACTION = 0.8
"""Fraction of the largest permitted age at which a peer's snapshot is fetched; by then
the store has not responded for longer than one read takes."""
MEMBERSHIP_SETTINGS = MembershipSettings(
    small_period_s=0.2,
    suspicion_factor=0.5,
    gossip_bytes=8_000,
    forget_s=60.0,
    fetch_after_s=0.0,
)
"""With six members, each one is probed about once a second. A failed one leaves the
address list within about a second, before most callers have tried it twice."""


class PeerLink(asyncio.DatagramProtocol):
    """Exchange datagrams with other instances, and fetch their snapshots."""

    def __init__(
        self,
        *,
        settings: InstanceSettings,
        incarnation: str,
        started_at: float,
        replica: StateReplica,
        eras: EraTracker,
        rng: random.Random,
        find_plan: FindPlan,
    ) -> None:
        self._settings = settings
        self._replica = replica
        self._eras = eras
        self._rng = rng
        self._codec = PeerCodec(
            types=(
                *MEMBERSHIP_MESSAGES,
                *REPLICA_MESSAGES,
                *SESSION_MESSAGES,
                *LOAD_MESSAGES,
                *CANARY_MESSAGES,
                *QUARANTINE_MESSAGES,
                *LIMIT_MESSAGES,
                *PLACE_MESSAGES,
                *DISPATCH_MESSAGES,
                *REST_MESSAGES,
                *DEPARTURE_MESSAGES,
            )
        )
        self.limits = LimitCoordinator(
            me=settings.name,
            bounds=settings.bounds,
            send=self._send,
            publish=self.publish,
            received=self.received,
        )
        self.places = PlaceCoordinator(
            me=settings.name, incarnation=incarnation, send=self._send
        )
        self.dispatch = DispatchCoordinator(
            me=settings.name,
            incarnation=incarnation,
            send=self._send,
            rng=random.Random(f"{settings.name}/{incarnation}"),
        )
        self.rests = RestCoordinator(send=self._send, rng=rng)
        self.departures = DepartureGossip(
            me=settings.name,
            replica=replica,
            send=self._send,
            publish=self.publish,
            received=self.received,
        )
        self.quarantine = QuarantineCoordinator(me=settings.name, send=self._send)
        self.placement = Placement(me=settings.name, send=self._send)
        self.canaries = CanaryCoordinator(me=settings.name, send=self._send)
        self.sessions = SessionCoordinator(
            me=settings.name, send=self._send, find_plan=find_plan
        )
        self.replica_sync = ReplicaSync(
            me=settings.name,
            replica=replica,
            send=self._send,
            fetch=self.fetch,
            eras=eras,
            bounds=settings.bounds,
            has_seeds=settings.has_other_seeds,
        )
        self._transport: asyncio.DatagramTransport | None = None
        self._pools: dict[str, ConnectionPool] = {}
        self._fetching: asyncio.Task[None] | None = None
        self._fetched_at = -1e9
        self._membership_version = -1
        self._sequence = 0
        self._published: dict[str, bytes] = {}
        self.incarnation = incarnation
        self.membership = Membership(
            me=MemberInfo(
                name=settings.name,
                address=settings.callers_address,
                peer_address=settings.gossip_address,
                failure_domain=settings.failure_domain,
                incarnation=incarnation,
                started_at=started_at,
            ),
            seeds=tuple(self._list_seeds()),
            rng=rng,
            freshness=replica.freshness,
            settings=MEMBERSHIP_SETTINGS,
        )

    # -- datagrams --

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport of the datagram socket."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Decode a datagram and dispatch its messages."""
        try:
            sender, messages = self._codec.decode(data)
        except msgspec.MsgspecError as error:
            log_event("datagram_unreadable", peer=addr[0], error=str(error))
            return
        for message in messages:
            self._dispatch(sender, message)

    def _dispatch(self, sender: str, message: Any) -> None:
        match message:
            case ReplicaQuery():
                self.replica_sync.handle_query(sender, message)
            case ReplicaReply():
                self.replica_sync.handle_reply(sender, message)
            case _ if isinstance(message, SESSION_MESSAGES):
                self.sessions.handle(sender, message)
            case LoadsRequest():
                self.placement.handle_request(sender, message)
            case LoadsReply():
                self.placement.handle_reply(message)
            case PromptPlaced():
                self.placement.handle_placed(sender, message)
            case PromptEnded():
                self.placement.handle_ended(sender, message)
            case CanaryReport() | CanaryPermit() | CanaryVerdict():
                self.canaries.handle(sender, message)
            case GrantRequest() | GrantReply() | SendEnded() | LimitStated():
                self.limits.handle(sender, message)
            case (
                PlaceRequest()
                | PlaceReply()
                | PlaceEnded()
                | PlaceHeld()
                | PlaceRejected()
                | PlaceCheck()
            ):
                self.places.handle(sender, message)
            case (
                DispatchAsk()
                | DispatchReply()
                | DispatchReport()
                | DispatchHeld()
                | DispatchCheck()
                | DispatchStatus()
            ):
                self.dispatch.handle(sender, message)
            case DepartureReport():
                self.departures.handle(sender, message)
            case RestAsked():
                self.rests.handle(sender, message)
            case Crash():
                self.quarantine.handle_crash(message)
            case QuarantineDigest():
                self.quarantine.handle_digest(sender, message)
            case QuarantineEntries():
                self.quarantine.handle_entries(sender, message)
            case SuspectsQuery():
                self.quarantine.watch.handle_query(message)
            case FeaturesAnswered():
                self.quarantine.handle_answered(message)
            case _:
                self._apply_effects(self.membership.handle(sender, message, now()))
                self._compare_version(message.digest.sender)

    def error_received(self, exc: Exception) -> None:
        """Ignore errors such as an unreachable port; probes detect failed members."""

    async def run(self) -> None:
        """Probe members and send due messages until cancelled."""
        while True:
            self._step()
            await asyncio.sleep(TICK_INTERVAL_S)

    def _step(self) -> None:
        replica = self._replica
        self.membership.report(
            generation=replica.version, read_position=replica.operators_end
        )
        self._apply_effects(self.membership.tick(now()))
        self._update_members()
        if not self._replica.is_compared:
            for member in self.membership.alive():
                self._compare_version(member)
        self.replica_sync.tick()
        self.sessions.tick()
        self.placement.tick()
        self.limits.tick()
        self.dispatch.tick()
        self.departures.tick()
        self.canaries.tick()
        self.quarantine.tick()

    def _compare_version(self, member: MemberInfo) -> None:
        if member.generation > self._replica.version:
            self.replica_sync.compare_version(
                member.name, member.generation, member.read_position
            )

    def leave(self) -> None:
        """Announce that this instance accepts no new callers."""
        self._apply_effects(self.membership.leave(now()))

    def close(self) -> None:
        """Close the socket and all idle connections."""
        if self._transport is not None:
            self._transport.close()
        for pool in self._pools.values():
            pool.close()

    def _apply_effects(self, effects: Effects) -> None:
        for effect in effects:
            if isinstance(effect, Send):
                self._send_datagram(effect)
            elif isinstance(effect, FetchRecords):
                member = self.membership.table.get(effect.peer)
                if member is not None:
                    self.replica_sync.record_operators_end(member.read_position)

    def _send(self, to: str, message: msgspec.Struct) -> None:
        self._send_datagram(Send(to=to, message=message))

    def _send_datagram(self, effect: Send) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        data = self._codec.encode(self.membership.me.name, [effect.message])
        if len(data) > MAX_DATAGRAM_BYTES:
            log_event("datagram_too_large", level="error", bytes=len(data))
            return
        host, _, port = self.membership.peer_address(effect.to).rpartition(":")
        if not port.isdigit():
            # A member sent a query before the member list here contained it. It will
            # query again and be known by then.
            log_event(
                "peer_unknown", peer=effect.to, kind=type(effect.message).__name__
            )
            return
        self._transport.sendto(data, (host, int(port)))

    def _list_seeds(self) -> Iterator[str]:
        for seed in self._settings.seeds:
            yield f"{seed.rpartition(':')[0]}:{self._settings.gossip_port}"

    def _update_members(self) -> None:
        if self._membership_version == self.membership.version:
            return
        self._membership_version = self.membership.version
        names = [member.name for member in self.membership.alive()]
        self.replica_sync.set_members(names)
        self.sessions.set_members(names)
        self.placement.set_members(names)
        self.limits.set_members(names)
        self.departures.set_members(names)
        self.places.set_members(names)
        self.dispatch.set_members(names, self.membership.left())
        self.canaries.set_members(names)
        self.quarantine.set_members(names)
        log_event(
            "members_changed",
            serving=",".join(sorted(m.name for m in self.membership.alive())),
            known=len(self.membership.members()),
        )

    # -- snapshots of peers --

    async def fetch_if_stale(self) -> None:
        """Fetch a random peer's snapshot if the replica is almost too old or behind."""
        now_s = now()
        age_s = max(
            self._replica.operators_age(now_s), self._replica.backends_age(now_s)
        )
        limit_s = STALE_FRACTION * self.replica_sync.limits.operators_s
        if age_s < limit_s and not self.replica_sync.is_behind:
            return
        if now_s - self._fetched_at < MIN_FETCH_INTERVAL_S:
            return
        me = self.membership.me.name
        peers = [m.name for m in self.membership.alive() if m.name != me]
        if not peers:
            peers = [
                seed for seed in self._list_seeds() if not self._is_own_address(seed)
            ]
        if peers:
            self.fetch(self._rng.choice(peers))

    def fetch(self, peer: str) -> None:
        """Start to fetch a peer's snapshot, unless a fetch is already running."""
        if self._fetching is not None and not self._fetching.done():
            return
        self._fetched_at = now()
        self._fetching = asyncio.ensure_future(self._fetch(peer))

    async def _fetch(self, peer: str) -> None:
        host = self.membership.peer_address(peer).rpartition(":")[0]
        address = f"{host}:{self._settings.control_port}"
        pool = self._pools.get(address)
        if pool is None:
            pool = ConnectionPool(
                connector=DirectConnector(address=address, connect_s=CONNECT_TIMEOUT_S)
            )
            self._pools[address] = pool
        requested_at = now()
        try:
            async with limit_silence(FETCH_TIMEOUT_S):
                body = await request_snapshot(
                    pool,
                    address,
                    KnownState(
                        end=self._replica.operators_end, version=self._replica.version
                    ),
                )
            snapshot = msgspec.json.decode(body, type=Snapshot)
        except (
            NotSentError,
            IncompleteResponseError,
            TimeoutError,
            msgspec.MsgspecError,
            RecursionError,
        ) as error:
            log_event("peer_unreachable", peer=peer, error=str(error) or "timeout")
            return
        self._eras.observe(snapshot.operators_end.era, source=peer)
        revision = self._replica.revision
        with log_backend_changes(self._replica, peer):
            self._replica.merge(snapshot, requested_at=requested_at, now=now())
        log_event(
            "peer_asked",
            peer=peer,
            news=self._replica.revision != revision,
            operators_age_ms=round(min(snapshot.operators_age_s, 1e6) * 1000),
            backends_age_ms=round(min(snapshot.backends_age_s, 1e6) * 1000),
        )

    def _is_own_address(self, address: str) -> bool:
        return address == self._settings.gossip_address

    # -- gossiped values --

    def publish(self, topic: str, value: msgspec.Struct) -> None:
        """Publish a value by gossip, unless it equals the last one of its topic."""
        body = msgspec.json.encode(value)
        if self._published.get(topic) == body:
            return
        self._published[topic] = body
        self._sequence += 1
        self.membership.publish(
            GossipPayload(
                topic=topic,
                origin=self.incarnation,
                sequence=self._sequence,
                body=msgspec.Raw(body),
            )
        )

    def received(self, topic: str) -> Iterator[GossipPayload]:
        """Return the newest value of each other instance for a topic."""
        for payload in self.membership.gossip.topic(topic):
            if payload.origin != self.incarnation:
                yield payload
