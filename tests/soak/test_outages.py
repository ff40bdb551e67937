"""Faults of the store write what operators and backend servers would."""

from __future__ import annotations

import asyncio
import contextlib
from types import SimpleNamespace
from typing import Any

import pytest

from soak import outages
from tests.platform.fakestore import BACKENDS, FakeStore


def test_write_no_older_record_over_a_newer_one(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Servers that had told a new state took it back, and those removed returned."""
    for name in ("AWAY_S", "SEEN_S"):
        monkeypatch.setattr(outages, name, 0.0)
    monkeypatch.setattr(outages, "WRITTEN_AGAIN_S", 0.1)

    async def case() -> None:
        store = FakeStore()
        for slots in (8, 4):
            store.put(BACKENDS, "kept", {"slots": slots})
            store.put(BACKENDS, "changed", {"slots": slots})
            store.put(BACKENDS, "removed", {"slots": slots})
        site: Any = SimpleNamespace(
            store=store, note=lambda name: contextlib.nullcontext()
        )
        losing = asyncio.ensure_future(outages.lose_servers(site))
        await asyncio.sleep(0.05)
        assert not store.newest(BACKENDS)
        store.put(BACKENDS, "changed", {"slots": 2})
        store.put(BACKENDS, "removed", b"")
        await losing
        newest = {key: value for key, (value, _) in store.newest(BACKENDS).items()}
        assert newest == {"kept": b'{"slots": 4}', "changed": b'{"slots": 2}'}

    asyncio.run(case())
