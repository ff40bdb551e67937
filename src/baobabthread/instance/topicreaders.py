"""Following the store: operators' records and backend servers' records."""

from __future__ import annotations

import abc
import asyncio
import random
from collections.abc import Awaitable, Callable

import msgspec

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
from baobabthread.logs import log_event
from baobabthread.routing.configuration import (
    BackendRecord,
    Evacuation,
    RolloutOrder,
    RoutingConfiguration,
)
from baobabthread.routing.replica import StateReplica
from baobabthread.routing.warmup import MAX_WARMUP_S

RESPONSE_TIMEOUT_S = 0.8
"""Time for an answer beside the time that the store was told to wait."""
RETRY_RESPONSE_TIMEOUT_S = 0.5
"""The same after a call that failed, when an answer is urgent."""
POLL_INTERVAL_S = 0.1
"""Pause between looks at whether a peer's word still suffices."""
MIN_BACKOFF_S = 0.1
MAX_BACKOFF_S = 0.5
"""Pause between calls that fail: many instances that ask a store that is just back
must not take it down again, and no reader may be late by more than this."""
BACKOFF_PER_MEMBER_S = 1 / 30
"""Pause for each member at an instance that isn't a reader: all together they ask a
store that is away 30 times a second, however many they are. Readers find out that it is
back, and the others hear it from them."""
FIRST_BACKOFF_FRACTION = 0.25
"""Part of that pause after the first failure. Pauses that begin at a tenth of a second
make half a dozen calls of each instance at the begin of every outage."""
MIN_RELOAD_LAG = 2
"""Records behind from which the newest of each key are read: of a row of large
configurations only the last one counts, and a slow link would carry them all."""

QueryPeer = Callable[[], Awaitable[None]]


class TopicReader(abc.ABC):
    """Read one topic to its end again and again."""

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
        self._next_offset: int | None = None
        self._failures = 0

    async def run(self) -> None:
        """Follow the topic until cancelled."""
        while True:
            if not self._must_read:
                await asyncio.sleep(POLL_INTERVAL_S)
                continue
            try:
                await self._step()
                self._record_success()
                await self._wait()
            except StoreError as error:
                self._record_failure(error)
                await self._query_peer()
                await asyncio.sleep(self._choose_backoff())

    async def _step(self) -> None:
        if self._next_offset is None:
            await self._read_newest()
            return
        # A peer may have told what came since the last own read.
        start = max(self._next_offset, self._known_end)
        if self._reported_end - start >= MIN_RELOAD_LAG:
            await self._read_newest()
        else:
            await self._read_tail(start)

    async def _read_newest(self) -> None:
        asked_at = now()
        page = await self._store.newest(self._topic, self._response_timeout_s)
        self._apply_page(page)
        self._next_offset = page.end
        self._record_read(page.end, asked_at)

    async def _read_tail(self, start: int) -> None:
        asked_at = now()
        wait_s = 0.0 if self._failures else self._wait_s
        tail = await self._store.read(
            self._topic,
            start,
            wait_s=wait_s,
            timeout_s=wait_s + self._response_timeout_s,
        )
        if isinstance(tail, Trimmed):
            log_event("store_history_gone", topic=self._topic, start=start)
            self._next_offset = None
            await self._read_newest()
            return
        for record in tail.records:
            self._apply_or_skip(record)
        self._next_offset = tail.next
        if tail.next >= tail.end:
            self._record_read(tail.end, asked_at)

    def _apply_page(self, page: Page) -> None:
        for record in page.records:
            self._apply_or_skip(record)

    def _apply_or_skip(self, record: Record) -> None:
        try:
            self._apply(record)
        except (msgspec.MsgspecError, BaobabthreadError, RecursionError) as error:
            # One record that can't be understood must not stop those behind it; what
            # was known before stays in force.
            log_event(
                "record_unreadable",
                level="error",
                topic=self._topic,
                key=record.key,
                offset=record.offset,
                error=str(error),
            )
            self._skip(record)

    @abc.abstractmethod
    def _skip(self, record: Record) -> None:
        """Go on without a record that can't be understood."""

    @property
    @abc.abstractmethod
    def _must_read(self) -> bool:
        """Tell whether peers don't suffice."""

    @property
    @abc.abstractmethod
    def _known_end(self) -> int:
        """Return how far the topic is known, by whomever."""

    @property
    def _reported_end(self) -> int:
        """Return how far the topic goes by a peer's word; 0 where nobody tells."""
        return 0

    @abc.abstractmethod
    def _apply(self, record: Record) -> None:
        """Take over one record."""

    @abc.abstractmethod
    def _record_read(self, end: int, asked_at: float) -> None:
        """Note that the topic was read to its end."""

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

    def _record_failure(self, error: StoreError) -> None:
        self._metrics.store_calls.labels(topic=self._topic, outcome="failed").inc()
        if not self._failures:
            log_event(
                "store_lost", level="warning", topic=self._topic, error=str(error)
            )
        self._failures += 1

    @property
    def _is_urgent(self) -> bool:
        """Tell whether nobody else reads this for the instance.

        A new configuration, or the first one after a start, must not wait for others.
        """
        relay = self._replica_sync
        return relay.is_reader or relay.is_behind or self._replica.table is None

    def _choose_backoff(self) -> float:
        least, most = MIN_BACKOFF_S, MAX_BACKOFF_S
        if not self._replica_sync.is_reader:
            most = max(most, BACKOFF_PER_MEMBER_S * self._replica_sync.members)
        if not self._is_urgent:
            least = max(least, FIRST_BACKOFF_FRACTION * most)
        ceiling = min(most, least * 2.0 ** min(8, self._failures))
        return ceiling * (0.5 + 0.5 * self._rng.random())


class OperatorTopicReader(TopicReader):
    """Follow configurations and orders."""

    def __init__(self, *, formats: RecordFormat, **common: object) -> None:
        super().__init__(topic=formats.operators_topic, **common)  # type: ignore[arg-type]
        self._formats = formats
        self._evacuated: set[str] = set()
        """Failure domains whose evacuation the page that is read now holds."""

    @property
    def _must_read(self) -> bool:
        return self._next_offset is None or self._replica_sync.must_read_operators()

    @property
    def _known_end(self) -> int:
        return self._replica.operators_end

    @property
    def _reported_end(self) -> int:
        return self._replica_sync.reported_end

    @property
    def _wait_s(self) -> float:
        # An instance that reads once, for a change or an age, needs the answer now.
        return (
            self._replica_sync.limits.long_poll_s
            if self._replica_sync.is_reader
            else 0.0
        )

    async def _wait(self) -> None:
        """Read on at once: the store itself holds a read that finds nothing."""

    def _apply_page(self, page: Page) -> None:
        self._evacuated.clear()
        super()._apply_page(page)
        self._replica.reconcile_evacuations(self._evacuated, page.end)

    def _apply(self, record: Record) -> None:
        match self._formats.decode_operator_record(record):
            case RoutingConfiguration() as found:
                self._apply_configuration(found, record.offset)
            case RolloutOrder() as found if self._replica.apply_order(found):
                log_event(
                    "rollout_ordered",
                    service=found.service,
                    target=found.target,
                    number=found.number,
                    limit_s=found.time_limit_s,
                )
            case Evacuation() as found:
                self._apply_evacuation(found)

    def _apply_evacuation(self, found: Evacuation) -> None:
        if found.is_on:
            self._evacuated.add(found.failure_domain)
        if self._replica.apply_evacuation(found):
            log_event(
                "evacuation_read",
                failure_domain=found.failure_domain,
                on=found.is_on,
                offset=found.number,
            )

    def _apply_configuration(self, found: RoutingConfiguration, offset: int) -> None:
        news = self._replica.apply_configuration(found)
        log_event(
            "configuration_read",
            version=found.version,
            offset=offset,
            news=news,
            source="store",
        )

    def _skip(self, record: Record) -> None:
        """Keep what is in force: it is the operators' last word that can be read."""

    def _record_read(self, end: int, asked_at: float) -> None:
        self._replica.record_operators_read(end=end, requested_at=asked_at)


class BackendTopicReader(TopicReader):
    """Follow which backend servers live, leave and are gone."""

    def __init__(self, *, formats: RecordFormat, **common: object) -> None:
        super().__init__(topic=formats.backends_topic, **common)  # type: ignore[arg-type]
        self._formats = formats

    @property
    def _must_read(self) -> bool:
        return self._next_offset is None or self._replica_sync.must_read_backends()

    @property
    def _known_end(self) -> int:
        return self._replica.backends_end

    async def _wait(self) -> None:
        poll_s = self._replica_sync.limits.poll_interval_s
        await asyncio.sleep(poll_s * (0.8 + 0.4 * self._rng.random()))

    def _apply_page(self, page: Page) -> None:
        listed = {record.key for record in page.records if record.value}
        for id in [id for id in self._replica.backends if id not in listed]:
            self._replica.remove_backend(id, now())
        super()._apply_page(page)

    def _apply(self, record: Record) -> None:
        if not record.value:
            self._replica.remove_backend(record.key, now())
            log_event("backend_gone", backend=record.key, offset=record.offset)
            return
        backend = self._formats.decode_backend(record)
        if self._replica.apply_backend(backend):
            log_event(
                "backend_changed",
                backend=backend.id,
                service=backend.service,
                version=backend.version,
                leaving=backend.leaving,
                offset=record.offset,
            )
        self._apply_warm_up(backend)

    def _apply_warm_up(self, backend: BackendRecord) -> None:
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
        # Its newest record is somebody else's: what stood there before may be gone, and
        # its address another server's. A live one writes again within a heartbeat.
        self._replica.discard_backend(record.key)

    def _record_read(self, end: int, asked_at: float) -> None:
        self._replica.record_backends_read(end=end, requested_at=asked_at, now=now())
