"""What the backend stand-ins say they ran, set against what callers were told."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Sequence

import aiohttp
import msgspec

from baobabthread.errors import UnavailableError
from baobabthread.load.caller import Record, Result
from baobabthread.load.settings import Work

BATCH = 5_000
TIMEOUT_S = 10.0


class Effects(msgspec.Struct, kw_only=True):
    """Count requests whose runs don't fit what their callers were told."""

    checked: bool = False
    doubled: int = 0
    """Non-idempotent requests that ran more than once."""
    never_ran: int = 0
    """Requests that were answered although no backend server ran them."""
    ran_though_refused: int = 0
    """Requests that ran although their callers heard that they did not."""


class _Ids(msgspec.Struct, frozen=True):
    ids: list[str]


class _Counts(msgspec.Struct, frozen=True):
    counts: dict[str, int]


async def count_runs(
    session: aiohttp.ClientSession, backends: Iterable[str], ids: Sequence[str]
) -> Counter[str]:
    """Return how often all backend stand-ins together ran each request."""
    total: Counter[str] = Counter()
    for address in backends:
        url = f"http://{address}/control/effects"
        for start in range(0, len(ids), BATCH):
            body = _Ids(ids=list(ids[start : start + BATCH]))
            total.update(await _ask(session, url, body))
    return total


async def _ask(session: aiohttp.ClientSession, url: str, body: _Ids) -> dict[str, int]:
    try:
        async with session.post(
            url,
            data=msgspec.json.encode(body),
            timeout=aiohttp.ClientTimeout(total=TIMEOUT_S),
        ) as response:
            raw = await response.read()
        return msgspec.json.decode(raw, type=_Counts).counts
    except (aiohttp.ClientError, OSError, msgspec.MsgspecError) as error:
        raise UnavailableError(
            f"{url} doesn't tell what ran ({type(error).__name__})",
            remedy="give addresses of backend stand-ins only, or none",
        ) from error


def compare_runs(records: Iterable[Record], runs: Counter[str]) -> Effects:
    """Set the runs against the records, and mark answers without a run as lost."""
    effects = Effects(checked=True)
    for record in records:
        count = runs[record.own_id]
        if record.work in (Work.BOUND, Work.FREE) and count > 1:
            effects.doubled += 1
        if record.result is Result.ANSWERED and count == 0:
            effects.never_ran += 1
        if record.result is Result.REFUSED and record.ran == "no" and count:
            effects.ran_though_refused += 1
    return effects
