"""Readers of the store's topics: operators' records and backend servers' records."""

from __future__ import annotations

import abc
import asyncio
import math
import random
from collections.abc import Awaitable, Callable
from typing import Generic, TypeVar

import msgspec

from baobabthread.core.positions import BackendsPosition, OperatorsPosition, Position
from baobabthread.errors import BaobabthreadError
from baobabthread.instance.clock import now
from baobabthread.instance.metrics import Metrics
from baobabthread.instance.replicasync import ReplicaSync
from baobabthread.instance.store import (
    Page,
    Record,
    RecordFormat,
    Store,
    StoreError,
    Trimmed,
)
from baobabthread.instance.storeeras import FROM_STORE
from baobabthread.logs import log_event
from baobabthread.routing.configuration import (
    BackendRecord,
    Evacuation,
    RolloutOrder,
    RoutingConfiguration,
)
from baobabthread.routing.replica import StateReplica
from baobabthread.routing.servers.warmup import MAX_WARMUP_S
from baobabthread.routing.storeoutages import FailedCall

RESPONSE_TIMEOUT_S = 0.8
"""Response timeout, in addition to the time that the store may hold a long poll."""
RETRY_RESPONSE_TIMEOUT_S = 0.5
"""Response timeout after a failed call, when a response is urgent."""
POLL_INTERVAL_S = 0.1
"""Interval between checks whether the reports of peers still suffice."""
MIN_BACKOFF_S = 0.1
MAX_BACKOFF_S = 0.5
"""Bounds of the back-off between failed calls: many instances must not overload a store
that has just recovered, and no reader may be late by more than the upper bound."""
BACKOFF_PER_MEMBER_S = 1 / 30
"""Back-off per member for instances that aren't readers: together they send 30 calls a
second to an unavailable store, regardless of their number. Readers detect that the
store has recovered, and the others learn it from them."""
FIRST_BACKOFF_FRACTION = 0.25
"""Smallest back-off as a fraction of the longest, for instances without an urgent read.
A back-off that starts at a tenth of a second causes about six calls per instance at the
start of every outage."""
COPY_DOUBT_S = 2.5
"""Time for which a restored store's record of a removed server is ignored. By then a
server that runs has written it again, and that of another one has lapsed."""
MAX_LOGGED_AGE_S = 1e6
MIN_RELOAD_LAG = 2
"""Number of records behind from which only the newest record of each key is read: of
several large configurations only the last one matters, and reading all of them would
occupy a slow link."""

P = TypeVar("P", bound=Position)
QueryPeer = Callable[[], Awaitable[None]]


class TopicReader(abc.ABC, Generic[P]):
    """Repeatedly read one topic of the store to its end."""

    _position_type: type[P]

    def __init__(
        self,
        *,
        topic: str,
        store: Store,
        replica: StateReplica,
        metrics: Metrics,
        rng: random.Random,
        query_peer: QueryPeer,
        replica_sync: ReplicaSync,
    ) -> None:
        self._topic = topic
        self._store = store
        self._replica = replica
        self._metrics = metrics
        self._rng = rng
        self._query_peer = query_peer
        self._replica_sync = replica_sync
        self._copied_until: P | None = None
        """End of the copy that the store was restored from, as far as known."""
        self._next: P | None = None
        """Position to read from; None if the newest records have to be read first."""
        self._failures = 0

    async def run(self) -> None:
        """Follow the topic until cancelled."""
        while True:
            if not self._must_read:
                await asyncio.sleep(POLL_INTERVAL_S)
                continue
            started_at = now()
            try:
                await self._step()
                self._record_success()
                await self._wait()
            except StoreError as error:
                self._record_failure(error, started_at)
                await self._query_peer()
                await asyncio.sleep(self._choose_backoff())

    async def _step(self) -> None:
        if self._next is None:
            await self._read_newest()
            return
        # A peer may have sent the records since this instance's last read.
        start = max(self._next, self._known_end)
        lag = self._reported_end.count_since(start)
        if lag is not None and lag >= MIN_RELOAD_LAG:
            await self._read_newest()
        else:
            await self._read_tail(start)

    async def _read_newest(self) -> None:
        requested_at = now()
        known_end = self._known_end
        page = await self._store.newest(self._topic, self._response_timeout_s)
        end = self._position_type.at(page.end)
        if (end.count_since(known_end) or 0) < 0:
            # What else the store lost can't be told.
            raise StoreError(f"{self._topic} ended at {known_end}, and ends at {end}")
        self._begin_read(end, requested_at)
        if self._copied_until is None or self._copied_until.era != end.era:
            self._begin_copy(end)
        self._apply_page(page)
        self._next = end
        self._record_read(end, requested_at)

    async def _read_tail(self, start: P) -> None:
        requested_at = now()
        wait_s = 0.0 if self._failures else self._wait_s
        tail = await self._store.read(
            self._topic,
            start,
            wait_s=wait_s,
            timeout_s=wait_s + self._response_timeout_s,
        )
        if isinstance(tail, Trimmed):
            log_event(
                "store_history_gone",
                topic=self._topic,
                start=start.offset,
                era=start.era,
            )
            self._next = None
            # The next read may be rejected for the same reason.
            await asyncio.sleep(self._choose_backoff())
            await self._read_newest()
            return
        self._begin_read(self._position_type.at(tail.end), requested_at)
        for record in tail.records:
            self._apply_or_skip(record)
        self._next = self._position_type.at(tail.next)
        if tail.next >= tail.end:
            self._record_read(self._position_type.at(tail.end), requested_at)

    def _begin_read(self, end: P, requested_at: float) -> None:
        """Prepare for the records up to `end`, of a read sent at `requested_at`."""

    def _begin_copy(self, end: P) -> None:
        """Treat records before `end` as ones of the copy that began this era."""
        self._copied_until = end

    def _apply_page(self, page: Page) -> None:
        for record in page.records:
            self._apply_or_skip(record)

    def _apply_or_skip(self, record: Record) -> None:
        try:
            self._apply(record)
        except (msgspec.MsgspecError, BaobabthreadError, RecursionError) as error:
            # One unreadable record must not block the records after it; the previous
            # state stays in force.
            log_event(
                "record_unreadable",
                level="error",
                topic=self._topic,
                key=record.key,
                offset=record.position.offset,
                era=record.position.era,
                error=str(error),
            )
            self._skip(record)

    @abc.abstractmethod
    def _skip(self, record: Record) -> None:
        """Skip a record that can't be decoded."""

    @property
    @abc.abstractmethod
    def _must_read(self) -> bool:
        """Whether the reports of peers don't suffice and the store has to be read."""

    @property
    @abc.abstractmethod
    def _known_end(self) -> P:
        """Position up to which the topic is known, from the store or from peers."""

    @property
    def _reported_end(self) -> P:
        """End of the topic as reported by peers; the first if they don't report it."""
        return self._position_type()

    @abc.abstractmethod
    def _apply(self, record: Record) -> None:
        """Apply one record to the replica."""

    @abc.abstractmethod
    def _record_read(self, end: P, requested_at: float) -> None:
        """Record that the topic was read to its end."""

    @abc.abstractmethod
    async def _wait(self) -> None:
        """Wait before the next read."""

    @property
    def _wait_s(self) -> float:
        return 0.0

    @property
    def _response_timeout_s(self) -> float:
        return RETRY_RESPONSE_TIMEOUT_S if self._failures else RESPONSE_TIMEOUT_S

    def _record_success(self) -> None:
        self._metrics.store_calls.labels(topic=self._topic, outcome="ok").inc()
        if self._failures:
            log_event("store_regained", topic=self._topic, failures=self._failures)
        self._failures = 0

    def _record_failure(self, error: StoreError, started_at: float) -> None:
        self._replica.outages.record_failure(
            FailedCall(
                topic=self._topic, requested_at=started_at, is_refused=error.is_refused
            )
        )
        self._metrics.store_calls.labels(topic=self._topic, outcome="failed").inc()
        if not self._failures:
            log_event(
                "store_lost", level="warning", topic=self._topic, error=str(error)
            )
        self._failures += 1

    @property
    def _is_urgent(self) -> bool:
        """Whether this instance can't wait for others to read the topic.

        A new configuration, or the first one after a start, must not wait for peers.
        """
        sync = self._replica_sync
        return sync.is_reader or sync.is_behind or self._replica.table is None

    def _choose_backoff(self) -> float:
        min_s, max_s = MIN_BACKOFF_S, MAX_BACKOFF_S
        if not self._replica_sync.is_reader:
            max_s = max(max_s, BACKOFF_PER_MEMBER_S * self._replica_sync.members)
        if not self._is_urgent:
            min_s = max(min_s, FIRST_BACKOFF_FRACTION * max_s)
        limit_s = min(max_s, min_s * 2.0 ** min(8, self._failures))
        return limit_s * (0.5 + 0.5 * self._rng.random())


class OperatorTopicReader(TopicReader[OperatorsPosition]):
    """Follow configurations, roll-out orders and evacuations."""

    _position_type = OperatorsPosition

    def __init__(self, *, formats: RecordFormat, **common: object) -> None:
        super().__init__(topic=formats.operators_topic, **common)  # type: ignore[arg-type]
        self._formats = formats
        self._evacuated: set[str] = set()
        """Failure domains that the current page lists as evacuated."""
        self._search_from: OperatorsPosition | None = None
        """Position from which ends of evacuations are looked for that no page lists."""

    @property
    def _must_read(self) -> bool:
        return self._next is None or self._replica_sync.must_read_operators()

    @property
    def _known_end(self) -> OperatorsPosition:
        return self._replica.operators_end

    @property
    def _reported_end(self) -> OperatorsPosition:
        return self._replica_sync.reported_end

    @property
    def _wait_s(self) -> float:
        # An instance that reads only for one change or to renew the age needs the
        # response immediately.
        return (
            self._replica_sync.limits.long_poll_s
            if self._replica_sync.is_reader
            else 0.0
        )

    async def _wait(self) -> None:
        """Return at once: the store holds a read that finds no new records."""

    async def _step(self) -> None:
        await super()._step()
        if self._search_from is not None:
            await self._find_ends(self._search_from)
            self._search_from = None

    async def _find_ends(self, start: OperatorsPosition) -> None:
        """Apply the ends of evacuations that no listing of this era shows."""
        tail = await self._store.read(
            self._topic, start, wait_s=0.0, timeout_s=self._response_timeout_s
        )
        if isinstance(tail, Trimmed):
            return
        evacuations = self._replica.evacuations
        for record in tail.records:
            if record.value:
                continue
            found = self._formats.decode_operator_record(record)
            if isinstance(found, Evacuation) and evacuations.is_after(found):
                self._apply_evacuation(found)

    def _apply_page(self, page: Page) -> None:
        self._evacuated.clear()
        super()._apply_page(page)
        end = OperatorsPosition.at(page.end)
        evacuations = self._replica.evacuations
        self._search_from = evacuations.find_unlisted(self._evacuated, end)
        self._replica.reconcile_evacuations(self._evacuated, end)

    def _apply(self, record: Record) -> None:
        match self._formats.decode_operator_record(record):
            case RoutingConfiguration() as found:
                self._apply_configuration(found, record.position)
            case RolloutOrder() as found if self._replica.apply_order(found):
                log_event(
                    "rollout_ordered",
                    service=found.service,
                    target=found.target,
                    number=found.number.offset,
                    era=found.number.era,
                    limit_s=found.time_limit_s,
                )
            case Evacuation() as found:
                self._apply_evacuation(found)

    def _apply_evacuation(self, evacuation: Evacuation) -> None:
        if evacuation.is_on:
            self._evacuated.add(evacuation.failure_domain)
        if self._replica.apply_evacuation(evacuation):
            log_event(
                "evacuation_read",
                failure_domain=evacuation.failure_domain,
                on=evacuation.is_on,
                offset=evacuation.number.offset,
                era=evacuation.number.era,
            )

    def _apply_configuration(
        self, configuration: RoutingConfiguration, position: Position
    ) -> None:
        is_new = self._replica.apply_configuration(configuration)
        log_event(
            "configuration_read",
            version=configuration.version,
            offset=position.offset,
            era=position.era,
            news=is_new,
            source="store",
        )

    def _skip(self, record: Record) -> None:
        """Change nothing: the last state that could be decoded stays in force."""

    def _record_read(self, end: OperatorsPosition, requested_at: float) -> None:
        self._replica.record_operators_read(end=end, requested_at=requested_at)


class BackendTopicReader(TopicReader[BackendsPosition]):
    """Follow which backend servers are running, leaving or removed."""

    _position_type = BackendsPosition

    def __init__(self, *, formats: RecordFormat, **common: object) -> None:
        super().__init__(topic=formats.backends_topic, **common)  # type: ignore[arg-type]
        self._formats = formats
        self._reload_at = math.inf
        """When ignored records are read again, and no longer ignored."""

    @property
    def _must_read(self) -> bool:
        if self._next is None or self._replica_sync.must_read_backends():
            return True
        return self._must_list

    @property
    def _must_list(self) -> bool:
        """Whether the newest record of each server has to be read."""
        now_s = now() - self._replica_sync.read_delay_s
        return now_s >= self._reload_at or self._replica.must_list_backends(now_s)

    @property
    def _known_end(self) -> BackendsPosition:
        return self._replica.backends_end

    async def _step(self) -> None:
        if self._must_list:
            self._next = None
        await super()._step()

    async def _wait(self) -> None:
        poll_s = self._replica_sync.limits.poll_interval_s
        await asyncio.sleep(poll_s * (0.8 + 0.4 * self._rng.random()))

    def _begin_copy(self, end: BackendsPosition) -> None:
        super()._begin_copy(end)
        self._reload_at = math.inf

    def _apply_page(self, page: Page) -> None:
        if now() >= self._reload_at:
            self._begin_copy(BackendsPosition(page.end.era))
        self._replica.list_backends_at = math.inf
        listed = {record.key for record in page.records if record.value}
        missing = [id for id in self._replica.backends if id not in listed]
        removed = sum(self._replica.record_missing(id, now()) for id in missing)
        if missing:
            log_event(
                "backends_missing",
                count=len(missing),
                removed=removed,
                offset=page.end.offset,
                era=page.end.era,
            )
        super()._apply_page(page)

    def _apply(self, record: Record) -> None:
        if not record.value:
            is_removed = self._replica.record_missing(record.key, now())
            log_event(
                "backend_gone",
                backend=record.key,
                removed=is_removed,
                offset=record.position.offset,
                era=record.position.era,
                source=FROM_STORE,
            )
            return
        backend = self._formats.decode_backend(record)
        if self._is_copied(record) and self._replica.was_removed(backend):
            # The store lost the removal.
            log_event("backend_copy_ignored", backend=backend.id)
            self._reload_at = min(self._reload_at, now() + COPY_DOUBT_S)
            return
        if self._replica.apply_backend(backend):
            log_event(
                "backend_changed",
                backend=backend.id,
                service=backend.service,
                version=backend.version,
                leaving=backend.leaving,
                offset=record.position.offset,
                era=record.position.era,
            )
        self._apply_warmup(backend)

    def _begin_read(self, end: BackendsPosition, requested_at: float) -> None:
        age_s = self._replica.backends_age(requested_at)
        if self._replica.begin_backends_read(
            end=end, requested_at=requested_at, now=now()
        ):
            log_event(
                "backends_in_doubt",
                age_ms=round(min(age_s, MAX_LOGGED_AGE_S) * 1000),
                known=len(self._replica.backends),
                offset=end.offset,
                era=end.era,
            )

    def _is_copied(self, record: Record) -> bool:
        """Return whether a record may be older than the store's last restore."""
        until = self._copied_until
        if until is None or until.era != record.position.era:
            return False
        return BackendsPosition.at(record.position) < until

    def _apply_warmup(self, backend: BackendRecord) -> None:
        left_s = backend.warmup_left_s
        if not 0.0 <= left_s <= MAX_WARMUP_S:
            log_event(
                "cold_time_implausible",
                level="warning",
                backend=backend.id,
                left_s=left_s,
                most_s=MAX_WARMUP_S,
            )
        if self._replica.record_warmup(backend, left_s, now()):
            log_event("backend_cold", backend=backend.id, left_s=round(left_s, 3))

    def _skip(self, record: Record) -> None:
        # The server of the previous record may have terminated and its address may
        # belong to another server by now. A live server writes again within a
        # heartbeat.
        self._replica.discard_backend(record.key)

    def _record_read(self, end: BackendsPosition, requested_at: float) -> None:
        self._replica.record_backends_read(
            end=end, requested_at=requested_at, now=now()
        )
