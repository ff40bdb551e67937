"""What an instance knows of the operators' will and of the backend servers.

Knowledge has an age. It comes from the store or from a peer, never goes back, and
requests with a key are refused once it is too old to rule out that the key was taken
away.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from baobabthread.core.configuration.freshness import Freshness, FreshnessSettings
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
from baobabthread.routing.evacuations import Evacuations
from baobabthread.routing.snapshots import BackendChanges, Snapshot
from baobabthread.routing.starts import NewestStarts
from baobabthread.routing.table import RoutingTable
from baobabthread.routing.warmup import ColdServers

NEVER_S = 1e9
REVOCATION_MARGIN_S = 0.5
"""Time kept from the bound on keys for clocks that drift and reads that are stamped
late."""
LAPSED_RECORD_GRACE_S = 2.2
"""Time after the store is back in which entries that lapsed meanwhile return."""
STORE_OUTAGE_GAP_S = 1.5
"""Gap between two reads of the backend servers' records after which the store counts
as having been away."""


class StateReplica:
    """Hold the newest configuration, orders and backend servers, and their age."""

    __slots__ = (
        "_backends_read_at",
        "_bounds",
        "_change_log",
        "_grace_until",
        "_lapsed_until",
        "_last_settled_end",
        "_last_state",
        "_starts",
        "backends",
        "backends_end",
        "cold_servers",
        "deltas",
        "evacuations",
        "freshness",
        "on_update",
        "operators_end",
        "orders",
        "revision",
        "table",
    )

    def __init__(self, *, bounds: RoutingBounds) -> None:
        self._bounds = bounds
        age = max(bounds.revocation_s * 0.5, bounds.revocation_s - REVOCATION_MARGIN_S)
        self.freshness = Freshness(settings=FreshnessSettings(bound_s=age))
        self.table: RoutingTable | None = None
        self.orders: dict[str, RolloutOrder] = {}
        self.evacuations = Evacuations()
        self.cold_servers = ColdServers()
        self.backends: dict[str, BackendRecord] = {}
        self.operators_end = 0
        self.deltas = DeltaLog()
        """How the operators' will came to be what it is, step by step."""
        self._last_state = OperatorState(configuration=None, orders={}, evacuations=[])
        self.backends_end = 0
        self._change_log = ChangeLog()
        self._last_settled_end = 0
        """Offset up to which it is decided who is gone."""
        self.on_update: Callable[[], None] = lambda: None
        """Called whenever a read or a peer's word was taken in."""
        self.revision = 0
        """Rises whenever anything but ages has changed."""
        self._backends_read_at = -NEVER_S
        self._lapsed_until: dict[str, float] = {}
        self._starts = NewestStarts()
        self._grace_until = 0.0

    # -- operators --

    def apply_configuration(self, configuration: RoutingConfiguration) -> bool:
        """Take over a configuration unless it is older; return whether it is newer."""
        # A late answer or a peer that is behind must not bring a dropped route or a
        # key back that was already taken away here.
        if self.table and configuration.version <= self.table.configuration.version:
            return False
        self.table = RoutingTable(configuration=configuration)
        self.revision += 1
        return True

    def apply_order(self, order: RolloutOrder) -> bool:
        """Take over an order unless it is older; return whether it is newer."""
        known = self.orders.get(order.service)
        if known is not None and order.number <= known.number:
            return False
        self.orders[order.service] = order
        self.revision += 1
        return True

    def apply_evacuation(self, evacuation: Evacuation) -> bool:
        """Take over a word on a failure domain; return whether it changes anything."""
        return self._record_change(self.evacuations.apply(evacuation))

    def reconcile_evacuations(self, listed: set[str], end: int) -> bool:
        """Take back what a list of all records no longer holds; tell whether any."""
        return self._record_change(self.evacuations.reconcile(listed, end))

    def _record_change(self, has_changed: bool) -> bool:
        self.revision += has_changed
        return has_changed

    def record_operators_read(self, *, end: int, requested_at: float) -> None:
        """Note that everything up to an offset was read by a question sent then."""
        self._advance_operators_end(end)
        self.freshness.read_head(head=end, started_at=requested_at)
        self.on_update()

    def apply_deltas(self, deltas: list[OperatorDelta]) -> None:
        """Take over what operators changed, by a peer's word, as far as it fits."""
        for step in deltas:
            if step.since <= self.operators_end < step.end and not self._apply_delta(
                step
            ):
                return

    def _apply_delta(self, delta: OperatorDelta) -> bool:
        """Take over one step; return whether that led to its end."""
        change = delta.configuration
        table = self.table
        if change is not None:
            if table is None:
                return False
            if table.configuration.version != change.after:
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

    def _advance_operators_end(self, end: int) -> None:
        """Note that all up to an offset is known, and keep what changed since."""
        if end > self.operators_end:
            before, self._last_state = self._last_state, self._operator_state()
            step = make_operator_delta(
                before, self._last_state, since=self.operators_end, end=end
            )
            self.deltas.add(step)
            self.operators_end = end
        self.freshness.fold_to(end)

    def _operator_state(self) -> OperatorState:
        return OperatorState(
            configuration=self.table.configuration if self.table else None,
            orders=dict(self.orders),
            evacuations=self.evacuations.list(),
        )

    # -- backend servers --

    def record_backends_read(
        self, *, end: int, requested_at: float, now: float
    ) -> None:
        """Note that the backend servers' records were read up to an offset."""
        if requested_at - self._backends_read_at > STORE_OUTAGE_GAP_S:
            self._grace_until = now + LAPSED_RECORD_GRACE_S
        self.backends_end = max(self.backends_end, end)
        self._backends_read_at = max(self._backends_read_at, requested_at)
        self._stamp_changes()
        self.on_update()

    def confirm_backends(self, *, end: int, read_at: float) -> None:
        """Note a reader's word that nothing has changed up to an offset."""
        self.backends_end = max(self.backends_end, end)
        self._backends_read_at = max(self._backends_read_at, read_at)
        self._update_settled_end()

    @property
    def backends_changed_at(self) -> int:
        """Give the offset up to which reading last changed anything."""
        return self._change_log.newest

    @property
    def settled_end(self) -> int:
        """Give the offset up to which others may take what they hear for all.

        A server whose record lapsed is kept for a while and dropped later, at an offset
        that was read before. Whoever was told that offset would never hear of the drop
        and send work there for good.
        """
        return self._last_settled_end if self._has_pending else self.backends_end

    @property
    def _has_pending(self) -> bool:
        return bool(self._lapsed_until) or self._change_log.has_pending

    def _update_settled_end(self) -> None:
        if not self._has_pending:
            self._last_settled_end = self.backends_end

    def apply_backend(self, record: BackendRecord) -> bool:
        """Take over a backend server's record; return whether it changes anything."""
        if record.warmup_left_s:
            # Kept apart: it changes with each heartbeat, which is no news to others.
            record = msgspec.structs.replace(record, warmup_left_s=0.0)
        self._lapsed_until.pop(record.id, None)
        known = self.backends.get(record.id)
        if known == record or not self._starts.record_start(record):
            return False
        is_same_start = known is not None and known.started_ms == record.started_ms
        if known is not None and is_same_start and known.leaving and not record.leaving:
            # Records of a peer may be older than what was read here: a start of a
            # backend server that said it leaves never takes that back.
            return False
        self.backends[record.id] = record
        self._record_backend_change(record.id)
        return True

    def record_warmup(self, record: BackendRecord, left_s: float, now: float) -> bool:
        """Note that a backend server is cold for so long; return whether it is news."""
        is_known = self.backends.get(record.id)
        if is_known is None or is_known.incarnation != record.incarnation:
            return False
        if not self.cold_servers.record(record.incarnation, left_s, now):
            return False
        self._record_backend_change(record.id)
        return True

    def discard_backend(self, id: str) -> None:
        """Drop a server at once whose newest record names none that could be used."""
        self._lapsed_until.pop(id, None)
        if self.backends.pop(id, None) is not None:
            self._record_backend_change(id)

    def remove_backend(self, id: str, now: float) -> None:
        """Note that a backend server's record is gone."""
        if id not in self.backends:
            return
        if now < self._grace_until:
            # Records lapse while the store is away. Dropping them would leave live
            # servers without work, so they get the time to return.
            self._lapsed_until.setdefault(id, self._grace_until)
            return
        del self.backends[id]
        self._record_backend_change(id)

    def replace_backends(self, records: list[BackendRecord], now: float) -> None:
        """Take over a full list; what it lacks is gone."""
        listed = {record.id for record in records}
        for id in [id for id in self.backends if id not in listed]:
            self.remove_backend(id, now)
        for record in records:
            self._apply_peer_record(record, now)

    def _apply_peer_record(self, record: BackendRecord, now: float) -> None:
        self.apply_backend(record)
        self.record_warmup(record, record.warmup_left_s, now)

    def expire_lapsed(self, now: float) -> None:
        """Drop records that did not return in time."""
        for id in [id for id, until in self._lapsed_until.items() if now >= until]:
            del self._lapsed_until[id]
            if self.backends.pop(id, None) is not None:
                self._record_backend_change(id)

    # -- changes told one by one --

    def apply_backend_changes(
        self,
        changed: list[BackendRecord],
        removed: list[str],
        *,
        end: int,
        changed_at: int,
        now: float,
    ) -> None:
        """Take over what a peer tells of all changes up to an offset.

        Those after it, up to `changed_at`, are some that it knows beyond.
        """
        for record in changed:
            self._apply_peer_record(record, now)
        for id in removed:
            self.remove_backend(id, now)
        self.backends_end = max(self.backends_end, end)
        self._stamp_changes(max(self.backends_end, changed_at))
        self.on_update()

    def list_backend_changes(
        self, since: int, now: float, *, limit: int
    ) -> BackendChanges | None:
        """Return what changed since an offset; nothing if that isn't known or long."""
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

    def _stamp_changes(self, at: int | None = None) -> None:
        """Note that all that changed so far did so up to an offset, the end if none."""
        self._change_log.record_read(self.backends_end if at is None else at)
        self._update_settled_end()

    # -- ages --

    def operators_age(self, now: float) -> float:
        """Return the age in seconds of what is known of the operators' will."""
        return self.freshness.head_age(now)

    def backends_age(self, now: float) -> float:
        """Return the age in seconds of the list of backend servers."""
        return now - self._backends_read_at

    @property
    def is_complete(self) -> bool:
        """Tell whether both the configuration and the backend servers are known."""
        return self.table is not None and self._backends_read_at > -NEVER_S

    def is_fresh(self, now: float) -> bool:
        """Tell whether a key that is known now can't have been taken away too long."""
        return self.operators_age(now) <= self.freshness.bound_s

    def snapshot(self, now: float, *, known_end: int = 0) -> Snapshot:
        """Return everything for a peer that has read so far itself."""
        table = self.table
        news = table is not None and known_end < self.operators_end
        return Snapshot(
            operators_end=self.operators_end,
            operators_age_s=self.operators_age(now),
            configuration=table.configuration if table and news else None,
            orders=list(self.orders.values()) if news else [],
            backends_end=self.settled_end,
            backends_age_s=self.backends_age(now),
            backends=[self._with_warmup(r, now) for r in self.backends.values()],
            evacuations=self.evacuations.list(),
        )

    def merge(self, snapshot: Snapshot, *, requested_at: float, now: float) -> None:
        """Take over what a peer knows better; the question was sent at `asked_at`."""
        has_news = snapshot.configuration is not None
        if snapshot.configuration is not None:
            self.apply_configuration(snapshot.configuration)
            for order in snapshot.orders:
                self.apply_order(order)
        self._record_change(self.evacuations.apply_all(snapshot.evacuations))
        if has_news or snapshot.operators_end <= self.operators_end:
            self.record_operators_read(
                end=snapshot.operators_end,
                requested_at=requested_at - snapshot.operators_age_s,
            )
        read_at = requested_at - snapshot.backends_age_s
        if snapshot.backends_end < self.backends_end:
            return
        self.replace_backends(snapshot.backends, now)
        self.confirm_backends(end=snapshot.backends_end, read_at=read_at)
        self._stamp_changes()
        self.on_update()
