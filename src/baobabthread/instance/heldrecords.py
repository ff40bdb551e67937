"""The list of held requests in the store, for the time when no instance is left."""

from __future__ import annotations

import asyncio
import time

import msgspec

from baobabthread.errors import BaobabthreadError
from baobabthread.instance.clock import now
from baobabthread.instance.quarantine import QuarantineDesk
from baobabthread.instance.relaying import Relay
from baobabthread.instance.store import (
    Append,
    Conflict,
    HeldRecord,
    Page,
    RecordFormat,
    Store,
    StoreError,
)
from baobabthread.logs import log_event
from baobabthread.routing.quarantine import Held

LOOK_S = 0.25
PAUSE_S = 0.5
"""Pause after a call to the store that failed."""
CALL_S = 0.8
"""Longest time for a call to the store."""


class HeldRecords:
    """Read the stored list at a start, and write what is missing there."""

    def __init__(
        self,
        *,
        desk: QuarantineDesk,
        relay: Relay,
        store: Store,
        formats: RecordFormat,
    ) -> None:
        self._desk = desk
        self._relay = relay
        self._store = store
        self._formats = formats

    async def run(self) -> None:
        """Follow what is due until cancelled."""
        while True:
            try:
                await self._step()
            except StoreError as error:
                log_event("held_not_stored", level="warning", error=str(error))
                await asyncio.sleep(PAUSE_S)
            await asyncio.sleep(LOOK_S)

    async def _step(self) -> None:
        desk = self._desk
        if not desk.knows_all and (self._relay.is_reader or desk.must_read):
            await self._load()
        moment = now()
        for fingerprint, due in list(desk.unwritten.items()):
            if moment >= due:
                await self._write(fingerprint)

    async def _load(self) -> Page:
        page = await self._store.newest(self._formats.status_topic, CALL_S)
        self._desk.learn(
            [_to_held(r) for r in self._decode(page).values()], source="store"
        )
        self._desk.knows_all = True
        return page

    async def _write(self, fingerprint: str) -> None:
        page = await self._load()
        stored = self._decode(page).get(fingerprint)
        held = self._find(fingerprint)
        if _is_same(stored, held):
            self._desk.unwritten.pop(fingerprint, None)
            return
        append = self._encode(fingerprint, held, page.end)
        if isinstance(await self._store.append(append, CALL_S), Conflict):
            return
        log_event("held_stored", fingerprint=fingerprint, is_over=held is None)
        self._desk.unwritten.pop(fingerprint, None)

    def _find(self, fingerprint: str) -> Held | None:
        entries = self._desk.quarantine.list(now())
        return next((e for e in entries if e.fingerprint == fingerprint), None)

    def _encode(self, fingerprint: str, held: Held | None, end: int) -> Append:
        record = None if held is None else _to_record(held)
        return self._formats.encode_held(fingerprint, record, end)

    def _decode(self, page: Page) -> dict[str, HeldRecord]:
        found = {}
        for record in page.records:
            try:
                held = self._formats.decode_held(record)
            except (msgspec.MsgspecError, BaobabthreadError) as error:
                log_event("status_unreadable", key=record.key, error=str(error))
                continue
            if held is not None:
                found[held.fingerprint] = held
        return found


def _is_same(stored: HeldRecord | None, held: Held | None) -> bool:
    if stored is None or held is None:
        return stored is None and held is None
    return (stored.times, stored.is_cleared) >= held.number


def _to_record(held: Held) -> HeldRecord:
    # The machines' clocks may jump; an hour more or less holds nothing for ever.
    return HeldRecord(
        fingerprint=held.fingerprint,
        service=held.service,
        times=held.times,
        until_unix_s=time.time() + held.left_s,
        is_cleared=held.is_cleared,
        versions=held.versions,
    )


def _to_held(record: HeldRecord) -> Held:
    return Held(
        fingerprint=record.fingerprint,
        service=record.service,
        times=record.times,
        left_s=record.until_unix_s - time.time(),
        is_cleared=record.is_cleared,
        versions=record.versions,
    )
