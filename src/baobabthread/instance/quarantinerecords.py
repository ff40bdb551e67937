"""The list of held requests in the store, for the time when no instance is left."""

from __future__ import annotations

import asyncio
import time

import msgspec

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
"""Pause after a call to the store that failed."""
STORE_TIMEOUT_S = 0.8
"""Longest time for a call to the store."""


class QuarantineRecords:
    """Read the stored list at a start, and write what is missing there."""

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
        """Follow what is due until cancelled."""
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
        moment = now()
        for fingerprint, due in list(coordinator.unwritten.items()):
            if moment >= due:
                await self._write(fingerprint)

    async def _load(self) -> tuple[dict[str, QuarantineEntry], int]:
        """Take over what is stored; return it, and where the topic ends."""
        page = await self._store.newest(self._formats.status_topic, STORE_TIMEOUT_S)
        stored = self._decode(page)
        self._coordinator.apply_entries(list(stored.values()), source="store")
        self._coordinator.has_complete_list = True
        return stored, page.end

    async def _write(self, fingerprint: str) -> None:
        stored, end = await self._load()
        before = stored.get(fingerprint)
        held = self._coordinator.quarantine.get(fingerprint, now())
        append: Append | None = None
        if held is None and before is not None:
            append = self._formats.encode_release(fingerprint, end)
        elif held is not None and (
            before is None or before.precedence < held.precedence
        ):
            append = self._formats.encode_quarantined(held, end, unix_now=time.time())
        if append is not None:
            if isinstance(await self._store.append(append, STORE_TIMEOUT_S), Conflict):
                # Somebody else wrote meanwhile: read again at the next step.
                return
            log_event("held_stored", fingerprint=fingerprint, is_over=held is None)
        self._coordinator.unwritten.pop(fingerprint, None)

    def _decode(self, page: Page) -> dict[str, QuarantineEntry]:
        found = {}
        # Clocks of machines may jump; an hour more or less holds nothing for ever.
        unix_now = time.time()
        for record in page.records:
            try:
                held = self._formats.decode_quarantined(record, unix_now=unix_now)
            except (msgspec.MsgspecError, BaobabthreadError) as error:
                log_event("status_unreadable", key=record.key, error=str(error))
                continue
            if held is not None:
                found[held.fingerprint] = held
        return found
