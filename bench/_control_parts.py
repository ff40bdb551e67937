"""What an entry pays for each record and list that it reads."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Sequence

import msgspec

from baobabthread.adapters.commits import GroupCommit
from baobabthread.core.claims.fold import ClaimRecord
from baobabthread.core.events import Rated, RatingsRead
from baobabthread.core.messages import (
    Append,
    Appended,
    AppendFailed,
    LogRead,
    LogRecord,
    Stream,
)
from baobabthread.ports.log import LogPage, NewRecord
from baobabthread.ports.roster import Instance, Role
from bench._control_site import Site
from bench._control_texts import CALLS, Size, name_service, name_version

RECORDS = 500
APPEND_S = 0.005
"""How long the log takes for an append."""


def measure_ratings(site: Site) -> tuple[float, float]:
    """Return microseconds and bytes of one rating that an entry reads."""
    ratings = [
        Rated(
            request_id=f"entry-7-1a237f2f000000007.{number:x}",
            service=name_service(0),
            call=CALLS[number % len(CALLS)],
            version=name_version(0),
            good=True,
        )
        for number in range(RECORDS)
    ]
    body = msgspec.json.encode(ratings)
    started = time.process_time()
    decoded = msgspec.json.decode(body, type=list[Rated])
    site.core.handle(RatingsRead(ratings=decoded), site.now)
    spent = time.process_time() - started
    return spent / RECORDS * 1e6, len(body) / RECORDS


def measure_claims(site: Site) -> tuple[float, float]:
    """Return microseconds and bytes of one claim that an entry reads."""
    minted = 1_796_000_000 + int(site.now)
    records = [
        LogRecord(
            offset=1 + number,
            id=f"entry-7-1a237f2f000000007:{number}",
            body=msgspec.Raw(
                msgspec.json.encode(
                    ClaimRecord(
                        account="account-1",
                        key=f"warning-{number}~{minted}",
                        body_hash="0" * 32,
                        owner="entry-7-1a237f2f000000007",
                        minted_s=minted,
                        written_s=float(minted),
                    )
                )
            ),
        )
        for number in range(RECORDS)
    ]
    body = msgspec.json.encode(records)
    started = time.process_time()
    read = LogRead(
        stream=Stream.CLAIMS,
        records=msgspec.json.decode(body, type=list[LogRecord]),
        head=RECORDS,
        first=1,
        started_at=site.now,
    )
    site.core.handle(read, site.now)
    spent = time.process_time() - started
    return spent / RECORDS * 1e6, len(body) / RECORDS


def measure_list(size: Size) -> tuple[float, float]:
    """Return milliseconds and bytes of reading the list of instances once."""
    instances = [
        Instance(
            name=name,
            role=role,
            address="10.200.1.17:7100",
            failure_domain="domain-3",
        )
        for role, prefix, count in (
            (Role.ENTRY, "entry", size.members),
            (Role.BACKEND, "backend", size.backends),
        )
        for name in (f"{prefix}-{number}" for number in range(count))
    ]
    body = msgspec.json.encode(instances)
    started = time.process_time()
    msgspec.json.decode(body, type=list[Instance])
    return (time.process_time() - started) * 1000, float(len(body))


class SilentLog:
    """Take appends and keep nothing."""

    async def append(self, stream: str, records: Sequence[NewRecord]) -> int:
        """Take a batch after the time that a log needs."""
        del stream, records
        await asyncio.sleep(APPEND_S)
        return 1

    async def read(
        self, stream: str, *, after: int, limit: int = 1_000, wait_s: float = 0.0
    ) -> LogPage:
        """Return nothing."""
        del stream, after, limit, wait_s
        return LogPage(records=[], head=0, first=1)


async def count_appends(rate: float, seconds: float) -> float:
    """Return appends a second of one entry that ends so many requests a second."""
    commit = GroupCommit(stream=Stream.BILLS, log=SilentLog(), feed=_ignore)
    loop = asyncio.get_running_loop()
    started = loop.time()
    added = 0
    while (passed := loop.time() - started) < seconds:
        while added < passed * rate:
            added += 1
            commit.add(Append(stream=Stream.BILLS, id=f"bill-{added}", body=b"{}"))
        await asyncio.sleep(0.002)
    await commit.flush(1.0)
    await commit.close()
    return commit.appends / seconds


def _ignore(event: Appended | AppendFailed) -> None:
    del event
