"""Local replica of the operators' state and of the backend server records.

The replica is updated from the store or from a peer and never reverts to an older
state. Its age is tracked: requests with a key are rejected once the replica is too old
to rule out that the key has been revoked.
"""

from __future__ import annotations

import math
from collections.abc import Callable

import msgspec
import xxhash

from baobabthread.core.configuration.freshness import Freshness, FreshnessSettings
from baobabthread.core.positions import BackendsPosition, OperatorsPosition
from baobabthread.routing.bounds import RoutingBounds
from baobabthread.routing.changelog import ChangeLog
from baobabthread.routing.configuration import (
    BackendRecord,
    Evacuation,
    RolloutOrder,
    RoutingConfiguration,
)
from baobabthread.routing.deltas import (
    DeltaLog,
    OperatorDelta,
    OperatorState,
    apply_configuration_delta,
    make_operator_delta,
)
from baobabthread.routing.orders import Orders
from baobabthread.routing.servers.departures import Departures
from baobabthread.routing.servers.evacuations import Evacuations
from baobabthread.routing.servers.starts import NewestStarts
from baobabthread.routing.servers.warmup import ColdServers
from baobabthread.routing.snapshots import BackendChanges, Snapshot
from baobabthread.routing.storeoutages import StoreOutages
from baobabthread.routing.table import RoutingTable

NEVER_S = 1e9
EMPTY_DIGEST = 1
"""Digest of no backend servers; 0 stands for one that isn't given."""
START = OperatorsPosition()
DIGEST_SHIFT = 16
"""Bits of the hash that digests leave out: 48 fit into any JSON number."""
REVOCATION_MARGIN_S = 0.5
"""Safety margin below the revocation bound, for clock drift and reads that are
timestamped late."""
LAPSED_RECORD_GRACE_S = 2.2
"""Time after an outage of the store within which records that lapsed during the outage
are expected to reappear."""
MIN_OUTAGE_S = 1.5
"""Age of the backend server records from which on an outage of the store since then may
have let some of them lapse."""


class StateReplica:
    """Replica of the configuration, orders, evacuations and backend servers."""

    __slots__ = (
        "_backends_digest",
        "_backends_read_at",
        "_bounds",
        "_change_log",
        "_departures",
        "_digest",
        "_grace_until",
        "_incarnations",
        "_lapsed_until",
        "_last_settled_end",
        "_last_state",
        "_missing_until",
        "_orders",
        "_starts",
        "backends",
        "backends_end",
        "cold_servers",
        "deltas",
        "distrusted_from",
        "evacuations",
        "freshness",
        "is_compared",
        "list_backends_at",
        "on_update",
        "operators_end",
        "outages",
        "revision",
        "table",
    )

    def __init__(self, *, bounds: RoutingBounds) -> None:
        self._bounds = bounds
        age = max(bounds.revocation_s * 0.5, bounds.revocation_s - REVOCATION_MARGIN_S)
        self.freshness = Freshness(settings=FreshnessSettings(bound_s=age))
        self.table: RoutingTable | None = None
        self._orders = Orders()
        self.evacuations = Evacuations()
        self.cold_servers = ColdServers()
        self.backends: dict[str, BackendRecord] = {}
        self._incarnations: set[str] = set()
        """Incarnations of the servers in use."""
        self._backends_digest = EMPTY_DIGEST
        self.list_backends_at = math.inf
        """When to list the store's backend servers, as a peer knows other ones."""
        self.operators_end = OperatorsPosition()
        self.deltas = DeltaLog()
        """Recent changes of the operators' state, for peers that are behind."""
        self._last_state = OperatorState(configuration=None, orders={}, evacuations=[])
        self.backends_end = BackendsPosition()
        self._change_log = ChangeLog()
        self._last_settled_end = BackendsPosition()
        """End of the backend records when last no removal was pending."""
        self.on_update: Callable[[], None] = lambda: None
        """Called after each update from the store or from a peer."""
        self.revision = 0
        """Incremented on each change of content; ages don't count."""
        self._backends_read_at = -NEVER_S
        self._lapsed_until: dict[str, float] = {}
        """Servers that a peer removed, and until when they are kept."""
        self._missing_until: dict[str, float] = {}
        """Servers that this instance found missing, kept until a later listing."""
        self._starts = NewestStarts()
        self._departures = Departures()
        self._grace_until = 0.0
        self.outages = StoreOutages()
        """Failures of this instance's calls to the store."""
        self.is_compared = True
        """Whether the peers that serve are known to have no newer configuration."""
        self._digest: tuple[int, int] | None = None
        """Revision of the operators' state, and its digest."""
        self.distrusted_from = math.inf
        """Time from which a peer is taken to have a configuration that the store lost.

        A replica that has read the store to its end may still be behind.
        """

    # -- operators --

    def apply_configuration(self, configuration: RoutingConfiguration) -> bool:
        """Apply a configuration if it is newer; return whether it was."""
        # A late response or a peer that is behind must not restore a route that was
        # removed or a key that was revoked.
        if self.table and configuration.version <= self.table.configuration.version:
            return False
        self.table = RoutingTable(configuration=configuration)
        self.revision += 1
        return True

    @property
    def orders(self) -> dict[str, RolloutOrder]:
        """Newest order of each service."""
        return self._orders.current

    def apply_order(self, order: RolloutOrder) -> bool:
        """Apply a roll-out order; return whether anything changed."""
        return self._record_change(self._orders.apply(order))

    def apply_evacuation(self, evacuation: Evacuation) -> bool:
        """Apply an evacuation record; return whether anything changed."""
        return self._record_change(self.evacuations.apply(evacuation))

    def reconcile_evacuations(self, listed: set[str], end: OperatorsPosition) -> bool:
        """End evacuations missing from a full listing; return whether any ended."""
        return self._record_change(self.evacuations.reconcile(listed, end))

    def _record_change(self, has_changed: bool) -> bool:
        self.revision += has_changed
        return has_changed

    def digest_operators(self) -> int:
        """Return a digest of the operators' state, equal where nothing differs."""
        if self._digest is None or self._digest[0] != self.revision:
            state = (
                self.version,
                sorted((o.number, o.written_at) for o in self.orders.values()),
                sorted(self.evacuations.domains),
            )
            encoded = msgspec.json.encode(state)
            digest = xxhash.xxh3_64_intdigest(encoded) >> DIGEST_SHIFT
            self._digest = (self.revision, digest)
        return self._digest[1]

    def record_operators_read(
        self, *, end: OperatorsPosition, requested_at: float
    ) -> None:
        """Record a read of the operators' log up to `end`, sent at `requested_at`."""
        self._advance_operators_end(end)
        self.freshness.read_head(head=end, started_at=requested_at)
        self.on_update()

    def apply_deltas(self, deltas: list[OperatorDelta]) -> None:
        """Apply a peer's deltas in order, up to the first one that doesn't fit."""
        for delta in deltas:
            if delta.since <= self.operators_end < delta.end and not self._apply(delta):
                return

    def _apply(self, delta: OperatorDelta) -> bool:
        """Apply one delta; return whether its end was reached."""
        change = delta.configuration
        table = self.table
        if change is not None:
            if table is None:
                return False
            if table.configuration.version < change.after:
                after = apply_configuration_delta(table.configuration, change)
                if after is None:
                    return False
                self.apply_configuration(after)
        for order in delta.orders:
            self.apply_order(order)
        self._record_change(self.evacuations.apply_all(delta.evacuations))
        self._advance_operators_end(delta.end)
        self.on_update()
        return True

    def _advance_operators_end(self, end: OperatorsPosition) -> None:
        """Advance the operators' end and log the delta from the previous one."""
        if end > self.operators_end:
            before, self._last_state = self._last_state, self._operator_state()
            delta = make_operator_delta(
                before, self._last_state, since=self.operators_end, end=end
            )
            self.deltas.add(delta)
            self.operators_end = end
        self.freshness.fold_to(end)

    def _operator_state(self) -> OperatorState:
        return OperatorState(
            configuration=self.table.configuration if self.table else None,
            orders=dict(self.orders),
            evacuations=self.evacuations.list(),
        )

    # -- backend servers --

    def begin_era(self, now: float) -> None:
        """Keep servers whose records are missing from a restored store for a while.

        The first era that an instance learns of at its start restores nothing.
        """
        if self._has_read_backends:
            self._begin_grace(now)

    def begin_backends_read(
        self, *, end: BackendsPosition, requested_at: float, now: float
    ) -> bool:
        """Keep servers whose records lapsed while the store was unavailable.

        Return whether records may have lapsed.
        """
        is_restored = self._has_read_backends and end.era != self.backends_end.era
        if is_restored:
            self._begin_grace(now)
        return self._check_outage(requested_at, now) or is_restored

    def _check_outage(self, read_at: float, now: float) -> bool:
        """Keep servers for a while if the store was away until a read at `read_at`.

        The read may be a peer's, which is then in doubt itself: what it withholds is
        read from the store later, when the age tells nothing any more.
        """
        known_at = self._backends_read_at
        is_outage = read_at - known_at > MIN_OUTAGE_S and (
            self.outages.has_outage_between(known_at, read_at)
        )
        if is_outage:
            self._begin_grace(now)
        return is_outage

    @property
    def _has_read_backends(self) -> bool:
        return self._backends_read_at > -NEVER_S / 2

    def _begin_grace(self, now: float) -> None:
        """Keep servers without a record, also those that were missing before."""
        self._grace_until = until = now + LAPSED_RECORD_GRACE_S
        self._lapsed_until = dict.fromkeys(self._lapsed_until, until)
        self._missing_until = dict.fromkeys(self._missing_until, until)

    def record_backends_read(
        self, *, end: BackendsPosition, requested_at: float, now: float
    ) -> None:
        """Record a read of the backend records up to `end`, sent at `requested_at`."""
        self.begin_backends_read(end=end, requested_at=requested_at, now=now)
        self.backends_end = max(self.backends_end, end)
        self._backends_read_at = max(self._backends_read_at, requested_at)
        self._stamp_changes()
        self.on_update()

    def confirm_backends(
        self, *, end: BackendsPosition, read_at: float, now: float
    ) -> None:
        """Record a reader's confirmation that nothing changed up to `end`."""
        self._check_outage(read_at, now)
        self.backends_end = max(self.backends_end, end)
        self._backends_read_at = max(self._backends_read_at, read_at)
        if self._change_log.has_pending:
            # Without a read of its own, this instance would never settle them.
            self._stamp_changes()
        else:
            self._update_settled_end()

    @property
    def backends_changed_at(self) -> BackendsPosition:
        """Position of the last read that changed any backend server."""
        return self._change_log.newest

    @property
    def settled_end(self) -> BackendsPosition:
        """Position up to which peers may treat the published state as complete.

        A server whose record lapsed is kept for a grace period and removed later, at an
        position that has already been read. A peer that was given it would miss
        the removal and keep sending requests to the server.
        """
        return self._last_settled_end if self._has_pending else self.backends_end

    @property
    def _has_pending(self) -> bool:
        is_kept = bool(self._lapsed_until or self._missing_until)
        return is_kept or self._change_log.has_pending

    def _update_settled_end(self) -> None:
        if not self._has_pending:
            self._last_settled_end = self.backends_end

    def apply_backend(self, record: BackendRecord) -> bool:
        """Apply a backend server's record; return whether anything changed."""
        if record.warmup_left_s:
            # Stored separately: it changes with each heartbeat, and peers don't need
            # each of these changes.
            record = msgspec.structs.replace(record, warmup_left_s=0.0)
        if record.leaving:
            self._departures.add(record.incarnation)
        elif record.incarnation in self._departures:
            record = msgspec.structs.replace(record, leaving=True)
        self._settle(record.id)
        if self.backends.get(record.id) == record:
            return False
        if not self._starts.record_start(record):
            return False
        current = self.backends.get(record.id)
        if current is not None:
            self._incarnations.discard(current.incarnation)
        self._toggle_in_digest(current)
        self.backends[record.id] = record
        self._incarnations.add(record.incarnation)
        self._toggle_in_digest(record)
        self._record_backend_change(record.id)
        return True

    def _pop_backend(self, id: str) -> BackendRecord | None:
        record = self.backends.pop(id, None)
        self._toggle_in_digest(record)
        if record is not None:
            self._incarnations.discard(record.incarnation)
        return record

    def _toggle_in_digest(self, record: BackendRecord | None) -> None:
        if record is not None:
            self._backends_digest ^= _digest_start(record)

    def digest_backends(self) -> int:
        """Return a digest of the backend servers' starts; 0 while some are in doubt."""
        return 0 if self._has_pending else self._backends_digest

    def record_warmup(self, record: BackendRecord, left_s: float, now: float) -> bool:
        """Record a cold server's warm-up time; return whether to notify peers."""
        current = self.backends.get(record.id)
        if current is None or current.incarnation != record.incarnation:
            return False
        if not self.cold_servers.record(record.incarnation, left_s, now):
            return False
        self._record_backend_change(record.id)
        return True

    def record_departure(self, name: str) -> bool:
        """Record that a server leaves, by its incarnation; return whether it is new."""
        if not self._departures.add(name):
            return False
        for record in self.backends.values():
            if record.incarnation == name and not record.leaving:
                leaving = msgspec.structs.replace(record, leaving=True)
                self.backends[record.id] = leaving
                self._record_backend_change(record.id)
                break
        return True

    def is_listed(self, name: str) -> bool:
        """Return whether a server is in use, by its incarnation."""
        return name in self._incarnations

    def is_departing(self, name: str) -> bool:
        """Return whether a server is known to leave, by its incarnation."""
        return name in self._departures

    def discard_backend(self, id: str) -> None:
        """Remove a server immediately, as its newest record is unusable."""
        self._settle(id)
        if self._pop_backend(id) is not None:
            self._record_backend_change(id)

    def remove_backend(self, id: str, now: float) -> None:
        """Remove a server that a peer removed, after a grace period if in doubt."""
        # Records lapse while the store is unavailable. Removing them at once would
        # leave live servers without requests, so they get time to reappear.
        if now < self._grace_until:
            if id in self.backends and id not in self._missing_until:
                self._lapsed_until.setdefault(id, self._grace_until)
            return
        self._remove(id)

    def record_missing(self, id: str, now: float) -> bool:
        """Remove a server that the store doesn't list; return whether it is gone.

        In doubt it is kept until `must_list_backends` asks for another listing.
        """
        if id not in self.backends:
            return False
        if now < self._grace_until:
            self._lapsed_until.pop(id, None)
            self._missing_until.setdefault(id, self._grace_until)
            return False
        self._remove(id)
        return True

    def must_list_backends(self, now: float) -> bool:
        """Return whether only a listing of the store can settle which servers run.

        A peer that saw a record return before it missed it has no change to pass on.
        """
        is_overdue = any(until <= now for until in self._missing_until.values())
        return is_overdue or now >= self.list_backends_at

    def _settle(self, id: str) -> None:
        self._lapsed_until.pop(id, None)
        self._missing_until.pop(id, None)

    def _remove(self, id: str) -> None:
        self._settle(id)
        record = self._pop_backend(id)
        if record is not None:
            self._starts.record_removal(record)
            self._record_backend_change(id)

    def was_removed(self, record: BackendRecord) -> bool:
        """Return whether the record of this start of a server was removed before."""
        return self._starts.was_removed(record)

    def replace_backends(self, records: list[BackendRecord], now: float) -> None:
        """Apply a full list of records; servers not listed are removed."""
        listed = {record.id for record in records}
        for id in [id for id in self.backends if id not in listed]:
            self.remove_backend(id, now)
        for record in records:
            self._apply_peer_record(record, now)

    def _apply_peer_record(self, record: BackendRecord, now: float) -> None:
        self.apply_backend(record)
        self.record_warmup(record, record.warmup_left_s, now)

    def expire_lapsed(self, now: float) -> list[str]:
        """Remove servers that a peer removed and that did not reappear in time."""
        expired = [id for id, until in self._lapsed_until.items() if now >= until]
        for id in expired:
            self._remove(id)
        return expired

    # -- incremental changes --

    def apply_backend_changes(
        self,
        changed: list[BackendRecord],
        removed: list[str],
        *,
        end: BackendsPosition,
        changed_at: BackendsPosition,
        now: float,
    ) -> None:
        """Apply a peer's complete list of changes up to `end`.

        Changes after `end`, up to `changed_at`, are included but may be incomplete.
        """
        for record in changed:
            self._apply_peer_record(record, now)
        for id in removed:
            self.remove_backend(id, now)
        self.backends_end = max(self.backends_end, end)
        self._stamp_changes(max(self.backends_end, changed_at))
        self.on_update()

    def list_backend_changes(
        self, since: BackendsPosition, now: float, *, limit: int
    ) -> BackendChanges | None:
        """Return the changes since a position; None if unknown or above `limit`."""
        ids = self._change_log.list_since(since, limit=limit)
        if ids is None:
            return None
        return BackendChanges(
            changed=[
                self._with_warmup(self.backends[id], now)
                for id in ids
                if id in self.backends
            ],
            removed=[id for id in ids if id not in self.backends],
        )

    def _with_warmup(self, record: BackendRecord, now: float) -> BackendRecord:
        left_s = self.cold_servers.left_s(record.incarnation, now)
        if not left_s:
            return record
        return msgspec.structs.replace(record, warmup_left_s=round(left_s, 3))

    def _record_backend_change(self, id: str) -> None:
        self.revision += 1
        self._change_log.add(id)

    def _stamp_changes(self, at: BackendsPosition | None = None) -> None:
        """Assign pending changes to a position; by default, to the backends' end."""
        self._change_log.record_read(self.backends_end if at is None else at)
        self._update_settled_end()

    # -- ages --

    def operators_age(self, now: float) -> float:
        """Return the age of the operators' state in seconds."""
        return self.freshness.head_age(now)

    def backends_age(self, now: float) -> float:
        """Return the age of the list of backend servers in seconds."""
        return now - self._backends_read_at

    @property
    def is_complete(self) -> bool:
        """Whether both the configuration and the backend servers are known."""
        has_read = self.table is not None and self._has_read_backends
        return has_read and self.is_compared

    def is_fresh(self, now: float) -> bool:
        """Return whether the replica is recent enough to accept its keys."""
        if not self.is_compared or now >= self.distrusted_from:
            return False
        return self.operators_age(now) <= self.freshness.bound_s

    @property
    def version(self) -> int:
        """Version of the configuration in force; 0 if there is none."""
        return 0 if self.table is None else self.table.configuration.version

    def snapshot(
        self,
        now: float,
        *,
        known_end: OperatorsPosition = START,
        known_version: int = 0,
    ) -> Snapshot:
        """Return the state for a peer.

        The configuration is left out if the peer has read as far and has this version,
        which the store may have lost.
        """
        table = self.table
        is_newer = table is not None and (
            known_end < self.operators_end or known_version < self.version
        )
        return Snapshot(
            operators_offset=self.operators_end.offset,
            operators_era=self.operators_end.era,
            operators_age_s=self.operators_age(now),
            configuration=table.configuration if table and is_newer else None,
            orders=self._orders.list_all(),
            backends_offset=self.settled_end.offset,
            backends_era=self.settled_end.era,
            backends_age_s=self.backends_age(now),
            backends=[self._with_warmup(r, now) for r in self.backends.values()],
            evacuations=list(self.evacuations.list_all()),
        )

    def merge(self, snapshot: Snapshot, *, requested_at: float, now: float) -> None:
        """Merge a peer's newer state; `requested_at` is when it was requested."""
        has_configuration = snapshot.configuration is not None
        revision = self.revision
        if snapshot.configuration is not None:
            self.apply_configuration(snapshot.configuration)
        if has_configuration or snapshot.operators_end <= self.operators_end:
            for order in snapshot.orders:
                self.apply_order(order)
        self._record_change(self.evacuations.apply_all(snapshot.evacuations))
        if has_configuration or snapshot.operators_end <= self.operators_end:
            self.record_operators_read(
                end=snapshot.operators_end,
                requested_at=requested_at - snapshot.operators_age_s,
            )
        if self.revision != revision and snapshot.operators_end <= self.operators_end:
            # What the store lost came from the peer: the next delta begins from here.
            self._last_state = self._operator_state()
        read_at = requested_at - snapshot.backends_age_s
        if snapshot.backends_end < self.backends_end:
            for record in snapshot.backends:
                if record.leaving:
                    self.record_departure(record.incarnation)
            return
        self._check_outage(read_at, now)
        self.replace_backends(snapshot.backends, now)
        self.confirm_backends(end=snapshot.backends_end, read_at=read_at, now=now)
        self._stamp_changes()
        self.on_update()


def _digest_start(record: BackendRecord) -> int:
    # Which servers leave is told by other means, and at other times.
    start = f"{record.id} {record.incarnation}".encode()
    return xxhash.xxh3_64_intdigest(start) >> DIGEST_SHIFT
