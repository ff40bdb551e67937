"""Records of another writer beside those of the backend servers."""

from __future__ import annotations

import asyncio

from tests.platform.fakestore import BACKENDS

from soak.site import PLAIN, Site

ODD = "odd records"
LASTS_S = 3.0
SOUND = {
    "service": PLAIN,
    "address": "127.0.0.1:9",
    "zone": "a",
    "version": "v1",
    "slots": 6,
    "state": "ready",
    "cold_left_ms": 0,
}
VALUES: tuple[object, ...] = (
    SOUND | {"slots": 10**400},
    SOUND | {"slots": 10**30},
    SOUND | {"born": 10**400},
    SOUND | {"address": "127.0.0.1:70000"},
    SOUND | {"address": "fe80::1%x\r\nX-Evil: 1:80"},
    SOUND | {"service": "s" * 100_000},
    b"[" * 100_000,
    b"\xff",
)


async def write_odd_records(site: Site) -> None:
    """Write records that no server could write, and remove them later.

    Nothing is excused by them.
    """
    with site.note(ODD):
        for number, value in enumerate(VALUES):
            site.store.put(BACKENDS, f"odd{number}", value)
        await asyncio.sleep(LASTS_S)
        for number in range(len(VALUES)):
            site.store.put(BACKENDS, f"odd{number}", b"")
