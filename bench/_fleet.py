"""Many instances' links to each other and to the store, held in memory."""

from __future__ import annotations

import asyncio
import logging
import random
import re
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

import msgspec

from baobabthread.adapters.codec import expand
from baobabthread.instance.clock import now
from baobabthread.instance.metrics import Metrics
from baobabthread.instance.peers import PeerLink
from baobabthread.instance.quarantinerecords import QuarantineRecords
from baobabthread.instance.settings import InstanceSettings
from baobabthread.instance.storeeras import CurrentStore, EraTracker
from baobabthread.instance.topicreaders import BackendTopicReader, OperatorTopicReader
from baobabthread.routing.bounds import RoutingBounds
from baobabthread.routing.replica import StateReplica
from baobabthread.routing.versions import VersionPlan
from bench._fleet_store import Formats, MemoryStore, StoreLink

NEAR_S = 0.0002
FAR_S = 0.0005
"""One way within a failure domain, and between two."""
LOSS = 0.001
"""Part of the datagrams that get lost."""
START_SPREAD_S = 0.3
"""Time within which all instances of an installation start."""
LOAD_S = 0.8
"""Time from an instance's start until its interpreter has loaded everything."""
SEEDS = 3
GOSSIP_PORT = 7340
KIND = re.compile(rb'"messages":\[\{"type":"([a-z._]+)"')


class Link(PeerLink):
    """Reach other instances through memory instead of sockets."""

    fleet: Fleet

    async def _fetch(self, peer: str) -> None:
        asked_at = now()
        known_end, known_version = self._replica.operators_end, self._replica.version
        await asyncio.sleep(2 * FAR_S)
        other = self.fleet.members.get(peer)
        if other is None or not other.is_up or other.is_cut:
            return
        if self.fleet.members[self.membership.me.name].is_cut:
            return
        snapshot = other.knowledge.snapshot(
            now(), known_end=known_end, known_version=known_version
        )
        size = len(msgspec.json.encode(snapshot))
        self.fleet.count(other, self._settings.failure_domain, "fetch", size)
        await asyncio.sleep(FAR_S)
        self._replica.merge(snapshot, requested_at=asked_at, now=now())


class Member:
    """Hold what one instance knows, and its work."""

    def __init__(self, *, fleet: Fleet, number: int) -> None:
        self.domain = f"domain{number % fleet.domains}"
        self.name = f"front-{self.domain}-{number}"
        self._ip = find_host(number)
        self.address = f"{self._ip}:{GOSSIP_PORT}"
        self.is_up = False
        self._is_cut = False
        self._fleet = fleet
        self._number = number
        self._tasks: list[asyncio.Task[None]] = []
        self.store = StoreLink(store=fleet.store)
        self.eras = EraTracker(metrics=fleet.metrics)
        self.knowledge = StateReplica(bounds=fleet.bounds)
        self.link = self._make_link()

    @property
    def is_cut(self) -> bool:
        """Whether it reaches neither the store nor other instances."""
        return self._is_cut

    @is_cut.setter
    def is_cut(self, is_cut: bool) -> None:
        self._is_cut = is_cut
        self.store.is_refused = is_cut

    def _make_link(self) -> Link:
        fleet = self._fleet
        settings = InstanceSettings(
            name=self.name,
            failure_domain=self.domain,
            region="r",
            ip=self._ip,
            callers_address=f"{self._ip}:8227",
            readiness_address=f"{self._ip}:8220",
            directory_address=f"{self._ip}:8224",
            control_address=f"{self._ip}:8229",
            gossip_port=GOSSIP_PORT,
            seeds=tuple(f"{find_host(number)}:8229" for number in range(SEEDS)),
            store_address="10.200.1.7:8223",
            bounds=fleet.bounds,
        )
        link = Link(
            settings=settings,
            incarnation=f"{fleet.rng.getrandbits(48):012x}",
            started_at=round(now(), 3),
            replica=self.knowledge,
            eras=self.eras,
            rng=random.Random(fleet.rng.random()),
            find_plan=self._find_plan,
        )
        link.fleet = fleet
        transport: Any = _Transport(fleet=fleet, member=self)
        link.connection_made(transport)
        return link

    def _find_plan(self, service: str) -> VersionPlan:
        return VersionPlan(service=service, bounds=self._fleet.bounds)

    def start(self) -> None:
        """Begin to follow the store and the others."""
        self.is_up = True
        store = CurrentStore(store=self.store, eras=self.eras)
        common: dict[str, Any] = {
            "store": store,
            "formats": Formats(),
            "replica": self.knowledge,
            "metrics": self._fleet.metrics,
            "rng": random.Random(self._number),
            "query_peer": self.link.fetch_if_stale,
            "replica_sync": self.link.replica_sync,
        }
        works = (
            OperatorTopicReader(**common).run(),
            BackendTopicReader(**common).run(),
            self.link.run(),
            QuarantineRecords(
                coordinator=self.link.quarantine,
                replica_sync=self.link.replica_sync,
                store=store,
                formats=Formats(),
            ).run(),
        )
        self._tasks = [asyncio.ensure_future(work) for work in works]

    def stop(self) -> None:
        """Fall silent, as when power is lost."""
        self.is_up = False
        for task in self._tasks:
            task.cancel()

    def restart(self) -> None:
        """Start again knowing nothing."""
        self.eras = EraTracker(metrics=self._fleet.metrics)
        self.knowledge = StateReplica(bounds=self._fleet.bounds)
        self.link = self._make_link()
        self.start()


class _Transport:
    def __init__(self, *, fleet: Fleet, member: Member) -> None:
        self._fleet = fleet
        self._member = member

    def is_closing(self) -> bool:
        return False

    def close(self) -> None:
        """Nothing is open."""

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        self._fleet.deliver(self._member, data, address)


class Fleet:
    """Run instances in memory and count what they send and read."""

    def __init__(
        self,
        *,
        count: int,
        seed: int = 1,
        domains: int = 6,
        bounds: RoutingBounds | None = None,
        loss: float = LOSS,
    ) -> None:
        self.rng = random.Random(seed)
        self.loss = loss
        """Part of the datagrams that get lost."""
        self.older = 0
        """Times at which a member relied on an older configuration than before."""
        self.bounds = bounds or RoutingBounds()
        self.domains = domains
        self.store = MemoryStore()
        self.metrics = Metrics()
        self.sent: Counter[str] = Counter()
        """Bytes by kind of message."""
        self.sent_by: Counter[tuple[str, str]] = Counter()
        """Bytes by sender and kind of message."""
        self.messages: Counter[str] = Counter()
        self.far_bytes = 0
        """Bytes between failure domains."""
        members = [Member(fleet=self, number=number) for number in range(count)]
        self.members = {member.name: member for member in members}
        self._by_address = {member.address: member for member in members}

    def count(self, sender: Member, domain: str, kind: str, size: int) -> None:
        """Count bytes that one member sends to a failure domain."""
        self.sent[kind] += size
        self.sent_by[sender.name, kind] += size
        self.messages[kind] += 1
        if sender.domain != domain:
            self.far_bytes += size

    def deliver(self, sender: Member, data: bytes, address: tuple[str, int]) -> None:
        """Carry a datagram to whoever has the address."""
        to = self._by_address.get(f"{address[0]}:{address[1]}")
        if to is None:
            return
        found = KIND.search(expand(data))
        kind = found.group(1).decode() if found else "other"
        self.count(sender, to.domain, kind, len(data))
        if not to.is_up or to.is_cut or sender.is_cut:
            return
        if self.rng.random() < self.loss:
            return
        delay_s = NEAR_S if to.domain == sender.domain else FAR_S
        loop = asyncio.get_running_loop()
        loop.call_later(delay_s, to.link.datagram_received, data, ("peer", 0))

    def reset_counts(self) -> None:
        """Begin to count anew."""
        self.sent.clear()
        self.sent_by.clear()
        self.messages.clear()
        self.store.calls.clear()
        self.far_bytes = 0

    async def start(self) -> None:
        """Start all members within a moment; return when the last one runs."""
        loop = asyncio.get_running_loop()
        for member in self.members.values():
            delay_s = LOAD_S + START_SPREAD_S * self.rng.random()
            loop.call_later(delay_s, member.start)
        await asyncio.sleep(LOAD_S + START_SPREAD_S)

    @property
    def calls(self) -> int:
        """Give the calls to the store since the counts began."""
        return sum(self.store.calls.values())

    @property
    def bytes_sent(self) -> int:
        """Give the bytes that all sent since the counts began."""
        return sum(self.sent.values())

    @property
    def readers(self) -> int:
        """Give how many members take themselves for readers."""
        return sum(m.link.replica_sync.is_reader for m in self.up())

    @property
    def least_known(self) -> int:
        """Give how many serving members the one that knows fewest knows."""
        return min(len(m.link.membership.alive()) for m in self.up())

    @property
    def most_known(self) -> int:
        """Give how many serving members the one that knows most knows."""
        return max(len(m.link.membership.alive()) for m in self.up())

    @property
    def oldest_s(self) -> float:
        """Give the age of the oldest knowledge of the operators' will."""
        return max(m.knowledge.operators_age(now()) for m in self.up())

    def up(self) -> Iterator[Member]:
        """Return the members that run."""
        return (m for m in self.members.values() if m.is_up)


def find_host(number: int) -> str:
    """Return the IP number of a member."""
    return f"10.{1 + number // 200}.{number % 200}.9"


@contextmanager
def quiet_logs() -> Iterator[None]:
    """Keep the log lines of many instances off the screen."""
    before = logging.root.manager.disable
    logging.disable(logging.CRITICAL)
    try:
        yield
    finally:
        logging.disable(before)
