"""Quarantine records in the store, which persist when no instance is running."""

from __future__ import annotations

import asyncio
import time

import msgspec

from baobabthread.core.positions import Position
from baobabthread.errors import BaobabthreadError
from baobabthread.instance.clock import now
from baobabthread.instance.quarantine import QuarantineCoordinator
from baobabthread.instance.replicasync import ReplicaSync
from baobabthread.instance.store import (
    Append,
    Conflict,
    Page,
    RecordFormat,
    Store,
    StoreError,
)
from baobabthread.logs import log_event
from baobabthread.routing.quarantine import QuarantineEntry

POLL_INTERVAL_S = 0.25
RETRY_DELAY_S = 0.5
"""Delay after a failed call to the store."""
STORE_TIMEOUT_S = 0.8
"""Timeout of a call to the store."""


class QuarantineRecords:
    """Read the stored quarantine at start-up, and write entries that are missing."""

    def __init__(
        self,
        *,
        coordinator: QuarantineCoordinator,
        replica_sync: ReplicaSync,
        store: Store,
        formats: RecordFormat,
    ) -> None:
        self._coordinator = coordinator
        self._replica_sync = replica_sync
        self._store = store
        self._formats = formats

    async def run(self) -> None:
        """Read and write records as due until cancelled."""
        while True:
            try:
                await self._step()
            except StoreError as error:
                log_event("held_not_stored", level="warning", error=str(error))
                await asyncio.sleep(RETRY_DELAY_S)
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _step(self) -> None:
        coordinator = self._coordinator
        if not coordinator.has_complete_list and (
            self._replica_sync.is_reader or coordinator.must_read_store
        ):
            await self._load()
        now_s = now()
        for fingerprint, due_at in list(coordinator.unwritten.items()):
            if now_s >= due_at:
                await self._write(fingerprint)

    async def _load(self) -> tuple[dict[str, QuarantineEntry], Position]:
        """Apply the stored entries; return them with the end of the topic."""
        page = await self._store.newest(self._formats.status_topic, STORE_TIMEOUT_S)
        stored = self._decode(page)
        self._coordinator.apply_entries(list(stored.values()), source="store")
        self._coordinator.has_complete_list = True
        return stored, page.end

    async def _write(self, fingerprint: str) -> None:
        stored, end = await self._load()
        stored_entry = stored.get(fingerprint)
        entry = self._coordinator.quarantine.get(fingerprint, now())
        append: Append | None = None
        if entry is None and stored_entry is not None:
            append = self._formats.encode_release(fingerprint, end)
        elif entry is not None and (
            stored_entry is None or stored_entry.precedence < entry.precedence
        ):
            append = self._formats.encode_quarantined(entry, end, unix_now=time.time())
        if append is not None:
            if isinstance(await self._store.append(append, STORE_TIMEOUT_S), Conflict):
                # Another instance wrote in the meantime: read again at the next step.
                return
            log_event("held_stored", fingerprint=fingerprint, is_over=entry is None)
        self._coordinator.unwritten.pop(fingerprint, None)

    def _decode(self, page: Page) -> dict[str, QuarantineEntry]:
        entries = {}
        # Stored entries end at a wall-clock time. Machine clocks may jump, but an error
        # of an hour only shifts that end; it quarantines no request forever.
        unix_now = time.time()
        for record in page.records:
            try:
                entry = self._formats.decode_quarantined(record, unix_now=unix_now)
            except (msgspec.MsgspecError, BaobabthreadError) as error:
                log_event("status_unreadable", key=record.key, error=str(error))
                continue
            if entry is not None:
                entries[entry.fingerprint] = entry
        return entries
