"""Load on a cluster, when each request was due, and what was run and billed of it."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from collections.abc import Sequence

import msgspec

from baobabthread.core.billing.types import BillRecord, name_bill
from baobabthread.core.configuration.configuration import parse_section
from baobabthread.load.caller import Record, Result
from baobabthread.load.effects import compare_runs, count_runs
from baobabthread.load.report import Tally
from baobabthread.load.tool import Load, LoadAccount, LoadReport, LoadSettings, Work
from bench._cluster import Cluster

SECTION = "kalbaishakhi"
MIXED = {Work.CHAT: 2.0, Work.STREAM: 3.0, Work.PLAIN: 2.0, Work.BOUND: 3.0}
FREE = {Work.FREE: 1.0}


class Timed(msgspec.Struct, frozen=True, kw_only=True):
    """Hold a record with when its request was due and when it ended."""

    record: Record
    due: float
    ended: float


class TimedTally(Tally):
    """Note when each record came."""

    __slots__ = ("ends",)

    def __init__(self, *, settings: LoadSettings) -> None:
        super().__init__(settings=settings)
        self.ends: list[float] = []

    def add(self, record: Record) -> None:
        """Count one record."""
        super().add(record)
        self.ends.append(time.monotonic())

    def list_timed(self) -> list[Timed]:
        """Return all records with their times."""
        return [
            Timed(record=record, due=end - record.latency_s, ended=end)
            for record, end in zip(self.records, self.ends, strict=True)
        ]


class Counts(msgspec.Struct, frozen=True, kw_only=True):
    """Count what became of some requests."""

    requests: int
    answered: int
    refused: int
    failed: int
    unknown: int
    cut: int
    wrong: int
    lost: int
    """Silent past the deadline, or answered although nobody ran it."""
    doubled: int
    ran_though_refused: int
    unbilled: int
    """Answered without a bill."""

    def list_violations(self) -> list[str]:
        """Return what must never be, in words."""
        names = ("doubled", "lost", "wrong", "ran_though_refused", "unbilled")
        return [f"{getattr(self, n)} {n}" for n in names if getattr(self, n)]


class Evidence:
    """Hold what backend servers ran and what the log bills."""

    __slots__ = ("_bill_ids", "_request_ids", "bills", "runs")

    def __init__(self, *, runs: Counter[str], bills: Sequence[BillRecord]) -> None:
        """Take how often each request ran, by the callers' own ids."""
        self.runs = runs
        self.bills = bills
        self._request_ids = {_strip(bill.request_id) for bill in bills}
        # The name of a keyed bill ends with a hash of the body.
        self._bill_ids = {bill.bill_id.rpartition("/")[0] for bill in bills}

    def count(self, records: Sequence[Record]) -> Counts:
        """Set records against what was run and billed."""
        effects = compare_runs(records, self.runs)
        results = [record.result for record in records]
        return Counts(
            requests=len(results),
            answered=results.count(Result.ANSWERED),
            refused=results.count(Result.REFUSED),
            failed=results.count(Result.FAILED),
            unknown=results.count(Result.UNKNOWN),
            cut=results.count(Result.CUT),
            wrong=results.count(Result.WRONG),
            lost=results.count(Result.LOST) + effects.never_ran,
            doubled=effects.doubled,
            ran_though_refused=effects.ran_though_refused,
            unbilled=sum(
                not self.is_billed(record)
                for record in records
                if record.result is Result.ANSWERED
            ),
        )

    def is_billed(self, record: Record) -> bool:
        """Tell whether a bill stands for a request."""
        # A repeat that was told the stored answer has an id of its own, while the
        # bill, named by the caller's key, is that of the request that ran.
        if record.key:
            name = name_bill(account=record.account, key=record.key, request_id="")
            if name in self._bill_ids:
                return True
        return record.request_id in self._request_ids

    def count_run_without_bill(self) -> int:
        """Return how many more requests ran than have bills."""
        ran = sum(count > 0 for count in self.runs.values())
        return max(0, ran - len({bill.bill_id for bill in self.bills}))

    def count_billed_twice(self) -> int:
        """Count requests with two bills that the fold can't tell for one."""
        bills = {bill.bill_id: bill.request_id for bill in self.bills}
        requests = [_strip(request_id) for request_id in bills.values()]
        return len(requests) - len(set(requests))


def _strip(request_id: str) -> str:
    """Return the id without the name of the entry that settled in another's place."""
    return request_id.partition("@")[0]


class TimedLoad:
    """Drive one load on a cluster and keep when each request was due."""

    def __init__(self, *, cluster: Cluster, settings: LoadSettings) -> None:
        self._cluster = cluster
        self._settings = settings
        self.tally = TimedTally(settings=settings)
        self.started = 0.0

    async def run(self, *, stop: asyncio.Event | None = None) -> LoadReport:
        """Make all requests and return the figures."""
        async with Load(settings=self._settings) as load:
            load.tally = self.tally
            self.started = time.monotonic()
            return await load.run(stop=stop)

    async def find_runs(self) -> Counter[str]:
        """Ask the backend servers how often each request ran."""
        ids = [record.own_id for record in self.tally.records]
        addresses = self._cluster.backends.values()
        return await count_runs(self._cluster.session, addresses, ids)


def make_settings(
    cluster: Cluster,
    shares: dict[Work, float],
    *,
    rate_per_s: float,
    duration_s: float,
    seed: int,
) -> LoadSettings:
    """Return the settings of a load on a cluster's bulletins and warnings."""
    accounts = parse_section(cluster.texts[SECTION]).accounts
    return LoadSettings(
        entries=[entry.url for entry in cluster.entries.values()],
        accounts=[
            LoadAccount(name=name, key=f"KEY-OF-{name}", weight=account.weight)
            for name, account in accounts.items()
        ],
        model="bulletins",
        plain_service="warnings",
        plain_call="receipts",
        keyed_call="dispatch",
        shares=shares,
        rate_per_s=rate_per_s,
        callers=30,
        duration_s=duration_s,
        deadline_s=8.0,
        standin_answers=True,
        seed=seed,
        progress=False,
    )
