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
from baobabthread.routing.coldness import ColdServers
from baobabthread.routing.configuration import (
    BackendRecord,
    Evacuation,
    RolloutOrder,
    RoutingConfiguration,
)
from baobabthread.routing.evacuations import Evacuations
from baobabthread.routing.news import (
    Step,
    StepLog,
    Will,
    apply_change,
    describe_step,
)
from baobabthread.routing.snapshots import BackendChanges, Snapshot
from baobabthread.routing.starts import NewestStarts
from baobabthread.routing.table import RoutingTable

NEVER_S = 1e9
REVOCATION_MARGIN_S = 0.5
"""Time kept from the bound on keys for clocks that drift and reads that are stamped
late."""
RETURN_S = 2.2
"""Time after the store is back in which entries that lapsed meanwhile return."""
UNSTABLE_S = 1.5
"""Gap between two reads of the backend servers' records after which the store counts
as having been away."""


class Knowledge:
    """Hold the newest configuration, orders and backend servers, and their age."""

    __slots__ = (
        "_backends_at",
        "_bounds",
        "_decided_end",
        "_held",
        "_last_told",
        "_log",
        "_starts",
        "_unstable_until",
        "backends",
        "backends_end",
        "changes",
        "cold",
        "evacuations",
        "freshness",
        "on_read",
        "operators_end",
        "orders",
        "steps",
        "table",
    )

    def __init__(self, *, bounds: RoutingBounds) -> None:
        self._bounds = bounds
        age = max(bounds.revocation_s * 0.5, bounds.revocation_s - REVOCATION_MARGIN_S)
        self.freshness = Freshness(settings=FreshnessSettings(bound_s=age))
        self.table: RoutingTable | None = None
        self.orders: dict[str, RolloutOrder] = {}
        self.evacuations = Evacuations()
        self.cold = ColdServers()
        self.backends: dict[str, BackendRecord] = {}
        self.operators_end = 0
        self.steps = StepLog()
        """How the operators' will came to be what it is, step by step."""
        self._last_told = Will(configuration=None, orders={}, evacuations=[])
        self.backends_end = 0
        self._log = ChangeLog()
        self._decided_end = 0
        """Offset up to which it is decided who is gone."""
        self.on_read: Callable[[], None] = lambda: None
        """Called whenever a read or a peer's word was taken in."""
        self.changes = 0
        """Rises whenever anything but ages has changed."""
        self._backends_at = -NEVER_S
        self._held: dict[str, float] = {}
        self._starts = NewestStarts()
        self._unstable_until = 0.0

    # -- operators --

    def take_configuration(self, configuration: RoutingConfiguration) -> bool:
        """Take over a configuration unless it is older; return whether it is newer."""
        # A late answer or a peer that is behind must not bring a dropped route or a
        # key back that was already taken away here.
        if self.table and configuration.version <= self.table.configuration.version:
            return False
        self.table = RoutingTable(configuration=configuration)
        self.changes += 1
        return True

    def take_order(self, order: RolloutOrder) -> bool:
        """Take over an order unless it is older; return whether it is newer."""
        known = self.orders.get(order.service)
        if known is not None and order.number <= known.number:
            return False
        self.orders[order.service] = order
        self.changes += 1
        return True

    def take_evacuation(self, word: Evacuation) -> bool:
        """Take over a word on a failure domain; return whether it changes anything."""
        return self._count(self.evacuations.take(word))

    def complete_evacuations(self, listed: set[str], end: int) -> bool:
        """Take back what a list of all records no longer holds; tell whether any."""
        return self._count(self.evacuations.complete(listed, end))

    def _count(self, has_changed: bool) -> bool:
        self.changes += has_changed
        return has_changed

    def note_operators_read(self, *, end: int, asked_at: float) -> None:
        """Note that everything up to an offset was read by a question sent then."""
        self._move_operators_end(end)
        self.freshness.read_head(head=end, started_at=asked_at)
        self.on_read()

    def take_steps(self, steps: list[Step]) -> None:
        """Take over what operators changed, by a peer's word, as far as it fits."""
        for step in steps:
            if step.since <= self.operators_end < step.end and not self._take(step):
                return

    def _take(self, step: Step) -> bool:
        """Take over one step; return whether that led to its end."""
        change = step.configuration
        table = self.table
        if change is not None:
            if table is None:
                return False
            if table.configuration.version != change.after:
                after = apply_change(table.configuration, change)
                if after is None:
                    return False
                self.take_configuration(after)
        for order in step.orders:
            self.take_order(order)
        self._count(self.evacuations.take_all(step.evacuations))
        self._move_operators_end(step.end)
        self.on_read()
        return True

    def _move_operators_end(self, end: int) -> None:
        """Note that all up to an offset is known, and keep what changed since."""
        if end > self.operators_end:
            before, self._last_told = self._last_told, self._will()
            step = describe_step(
                before, self._last_told, since=self.operators_end, end=end
            )
            self.steps.add(step)
            self.operators_end = end
        self.freshness.fold_to(end)

    def _will(self) -> Will:
        return Will(
            configuration=self.table.configuration if self.table else None,
            orders=dict(self.orders),
            evacuations=self.evacuations.list(),
        )

    # -- backend servers --

    def note_backends_read(self, *, end: int, asked_at: float, now: float) -> None:
        """Note that the backend servers' records were read up to an offset."""
        if asked_at - self._backends_at > UNSTABLE_S:
            self._unstable_until = now + RETURN_S
        self.backends_end = max(self.backends_end, end)
        self._backends_at = max(self._backends_at, asked_at)
        self._note_changes()
        self.on_read()

    def confirm_backends(self, *, end: int, read_at: float) -> None:
        """Note a reader's word that nothing has changed up to an offset."""
        self.backends_end = max(self.backends_end, end)
        self._backends_at = max(self._backends_at, read_at)
        self._note_decided()

    @property
    def backends_changed_at(self) -> int:
        """Give the offset up to which reading last changed anything."""
        return self._log.newest

    @property
    def told_end(self) -> int:
        """Give the offset up to which others may take what they hear for all.

        A server whose record lapsed is kept for a while and dropped later, at an offset
        that was read before. Whoever was told that offset would never hear of the drop
        and send work there for good.
        """
        return self._decided_end if self._has_open else self.backends_end

    @property
    def _has_open(self) -> bool:
        return bool(self._held) or self._log.has_pending

    def _note_decided(self) -> None:
        if not self._has_open:
            self._decided_end = self.backends_end

    def take_backend(self, record: BackendRecord) -> bool:
        """Take over a backend server's record; return whether it changes anything."""
        if record.cold_left_s:
            # Kept apart: it changes with each heartbeat, which is no news to others.
            record = msgspec.structs.replace(record, cold_left_s=0.0)
        self._held.pop(record.id, None)
        known = self.backends.get(record.id)
        if known == record or not self._starts.record_start(record):
            return False
        is_same_start = known is not None and known.started_ms == record.started_ms
        if known is not None and is_same_start and known.leaving and not record.leaving:
            # Records of a peer may be older than what was read here: a start of a
            # backend server that said it leaves never takes that back.
            return False
        self.backends[record.id] = record
        self._count_change(record.id)
        return True

    def note_cold(self, record: BackendRecord, left_s: float, now: float) -> bool:
        """Note that a backend server is cold for so long; return whether it is news."""
        is_known = self.backends.get(record.id)
        if is_known is None or is_known.incarnation != record.incarnation:
            return False
        if not self.cold.note(record.incarnation, left_s, now):
            return False
        self._count_change(record.id)
        return True

    def discard_backend(self, id: str) -> None:
        """Drop a server at once whose newest record names none that could be used."""
        self._held.pop(id, None)
        if self.backends.pop(id, None) is not None:
            self._count_change(id)

    def drop_backend(self, id: str, now: float) -> None:
        """Note that a backend server's record is gone."""
        if id not in self.backends:
            return
        if now < self._unstable_until:
            # Records lapse while the store is away. Dropping them would leave live
            # servers without work, so they get the time to return.
            self._held.setdefault(id, self._unstable_until)
            return
        del self.backends[id]
        self._count_change(id)

    def replace_backends(self, records: list[BackendRecord], now: float) -> None:
        """Take over a full list; what it lacks is gone."""
        listed = {record.id for record in records}
        for id in [id for id in self.backends if id not in listed]:
            self.drop_backend(id, now)
        for record in records:
            self._take_told(record, now)

    def _take_told(self, record: BackendRecord, now: float) -> None:
        self.take_backend(record)
        self.note_cold(record, record.cold_left_s, now)

    def expire(self, now: float) -> None:
        """Drop records that did not return in time."""
        for id in [id for id, until in self._held.items() if now >= until]:
            del self._held[id]
            if self.backends.pop(id, None) is not None:
                self._count_change(id)

    # -- changes told one by one --

    def take_changes(
        self,
        changed: list[BackendRecord],
        gone: list[str],
        *,
        end: int,
        changed_at: int,
        now: float,
    ) -> None:
        """Take over what a peer tells of all changes up to an offset.

        Those after it, up to `changed_at`, are some that it knows beyond.
        """
        for record in changed:
            self._take_told(record, now)
        for id in gone:
            self.drop_backend(id, now)
        self.backends_end = max(self.backends_end, end)
        self._note_changes(max(self.backends_end, changed_at))
        self.on_read()

    def list_changes(
        self, since: int, now: float, *, most: int
    ) -> BackendChanges | None:
        """Return what changed since an offset; nothing if that isn't known or long."""
        ids = self._log.list_since(since, limit=most)
        if ids is None:
            return None
        return BackendChanges(
            changed=[
                self._describe(self.backends[id], now)
                for id in ids
                if id in self.backends
            ],
            gone=[id for id in ids if id not in self.backends],
        )

    def _describe(self, record: BackendRecord, now: float) -> BackendRecord:
        left_s = self.cold.left_s(record.incarnation, now)
        if not left_s:
            return record
        return msgspec.structs.replace(record, cold_left_s=round(left_s, 3))

    def _count_change(self, id: str) -> None:
        self.changes += 1
        self._log.add(id)

    def _note_changes(self, at: int | None = None) -> None:
        """Note that all that changed so far did so up to an offset, the end if none."""
        self._log.record_read(self.backends_end if at is None else at)
        self._note_decided()

    # -- ages --

    def operators_age(self, now: float) -> float:
        """Return the age in seconds of what is known of the operators' will."""
        return self.freshness.head_age(now)

    def backends_age(self, now: float) -> float:
        """Return the age in seconds of the list of backend servers."""
        return now - self._backends_at

    @property
    def is_complete(self) -> bool:
        """Tell whether both the configuration and the backend servers are known."""
        return self.table is not None and self._backends_at > -NEVER_S

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
            backends_end=self.told_end,
            backends_age_s=self.backends_age(now),
            backends=[self._describe(r, now) for r in self.backends.values()],
            evacuations=self.evacuations.list(),
        )

    def merge(self, snapshot: Snapshot, *, asked_at: float, now: float) -> None:
        """Take over what a peer knows better; the question was sent at `asked_at`."""
        has_news = snapshot.configuration is not None
        if snapshot.configuration is not None:
            self.take_configuration(snapshot.configuration)
            for order in snapshot.orders:
                self.take_order(order)
        self._count(self.evacuations.take_all(snapshot.evacuations))
        if has_news or snapshot.operators_end <= self.operators_end:
            self.note_operators_read(
                end=snapshot.operators_end,
                asked_at=asked_at - snapshot.operators_age_s,
            )
        read_at = asked_at - snapshot.backends_age_s
        if snapshot.backends_end < self.backends_end:
            return
        self.replace_backends(snapshot.backends, now)
        self.confirm_backends(end=snapshot.backends_end, read_at=read_at)
        self._note_changes()
        self.on_read()
