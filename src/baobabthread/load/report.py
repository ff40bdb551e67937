"""The figures of one load run: outcomes, percentiles, cost."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

import msgspec
from hdrh.histogram import HdrHistogram

from baobabthread.load.caller import Record, Result
from baobabthread.load.effects import Effects
from baobabthread.load.settings import LoadSettings

TICKS_PER_S = 100_000
HIGHEST_TICKS = 3_600 * TICKS_PER_S
DIGITS = 3
SHARES = (50.0, 90.0, 95.0, 99.0, 99.9, 100.0)
MAX_ROWS = 40


class Percentiles(msgspec.Struct, frozen=True, kw_only=True):
    """Hold percentiles in milliseconds."""

    count: int
    p50: float
    p90: float
    p95: float
    p99: float
    p999: float
    max: float


class OutcomeRow(msgspec.Struct, frozen=True, kw_only=True):
    """Count requests of one outcome."""

    result: Result
    kind: str
    ran: str
    count: int


class AccountRow(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the figures of one client account."""

    account: str
    requests: int
    answered: int
    tokens: int
    latency: Percentiles


class LoadReport(msgspec.Struct, kw_only=True):
    """Hold the figures of one load run."""

    duration_s: float
    requests: int
    per_s: float
    answered: int
    refused: int
    failed: int
    unknown: int
    lost: int
    cut: int
    wrong: int
    effects: Effects
    not_sent: int
    """Requests of the open loop beyond the bound on those in flight."""
    attempts: int
    tokens: int
    cost: float
    """Price of the delivered answers; attempts that escalated are in the bills."""
    good_share: float | None
    """Share of stand-in answers that were good enough."""
    sessions_moved: int
    by_outcome: list[OutcomeRow]
    by_version: dict[str, int]
    by_account: list[AccountRow]
    by_work: dict[str, Percentiles]
    latency: Percentiles
    first_token: Percentiles

    def list_violations(self) -> list[str]:
        """Return what must never be, in words; empty when all is well."""
        counts = {
            "lost": self.lost,
            "cut": self.cut,
            "wrong": self.wrong,
            "doubled": self.effects.doubled,
            "answered but never run": self.effects.never_ran,
            "run though refused": self.effects.ran_though_refused,
        }
        return [f"{count} {name}" for name, count in counts.items() if count]


class Tally:
    """Count records as they come."""

    __slots__ = (
        "_accounts",
        "_all",
        "_first",
        "_outcomes",
        "_settings",
        "_versions",
        "_works",
        "attempts",
        "chats",
        "cost",
        "flawed",
        "moved",
        "not_sent",
        "records",
        "results",
        "tokens",
    )

    def __init__(self, *, settings: LoadSettings) -> None:
        self._settings = settings
        self._all = make_histogram()
        self._first = make_histogram()
        self._works: dict[str, HdrHistogram] = {}
        self._accounts: dict[str, _AccountTally] = {}
        self._outcomes: Counter[tuple[Result, str, str]] = Counter()
        self._versions: Counter[str] = Counter()
        self.results: Counter[Result] = Counter()
        self.records: list[Record] = []
        self.attempts = 0
        self.chats = 0
        self.cost = 0.0
        self.flawed = 0
        self.moved = 0
        self.not_sent = 0
        self.tokens = 0

    def add(self, record: Record) -> None:
        """Count one record."""
        if self._settings.keep_records:
            self.records.append(record)
        self.results[record.result] += 1
        self._outcomes[record.result, record.kind, record.ran] += 1
        self.attempts += record.attempts
        self.moved += record.moved
        account = self._accounts.setdefault(record.account, _AccountTally())
        account.requests += 1
        if record.result is not Result.ANSWERED:
            return
        self._add_answer(record, account)

    def _add_answer(self, record: Record, account: _AccountTally) -> None:
        account.answered += 1
        account.tokens += record.tokens
        account.latency.record_value(_to_ticks(record.latency_s))
        self._all.record_value(_to_ticks(record.latency_s))
        work = self._works.setdefault(record.work.value, make_histogram())
        work.record_value(_to_ticks(record.latency_s))
        if record.first_token_s is not None:
            self._first.record_value(_to_ticks(record.first_token_s))
        self.tokens += record.tokens
        if record.version:
            self.chats += 1
            self.flawed += record.flawed
            self._versions[record.version] += 1
            price = self._settings.costs.get(record.version, 0.0)
            self.cost += price * record.tokens / 1000

    def describe(self) -> str:
        """Return the figures so far as key=value pairs."""
        latency = read_percentiles(self._all)
        counts = " ".join(f"{name.value}={self.results[name]}" for name in Result)
        return f"{counts} p50_ms={latency.p50:.1f} p99_ms={latency.p99:.1f}"

    def report(self, *, duration_s: float, effects: Effects) -> LoadReport:
        """Return the figures."""
        requests = self.results.total()
        rows = [
            OutcomeRow(result=result, kind=kind, ran=ran, count=count)
            for (result, kind, ran), count in self._outcomes.most_common(MAX_ROWS)
        ]
        checked = self._settings.standin_answers and self.chats
        return LoadReport(
            duration_s=duration_s,
            requests=requests,
            per_s=requests / duration_s if duration_s else 0.0,
            answered=self.results[Result.ANSWERED],
            refused=self.results[Result.REFUSED],
            failed=self.results[Result.FAILED],
            unknown=self.results[Result.UNKNOWN],
            lost=self.results[Result.LOST],
            cut=self.results[Result.CUT],
            wrong=self.results[Result.WRONG],
            effects=effects,
            not_sent=self.not_sent,
            attempts=self.attempts,
            tokens=self.tokens,
            cost=self.cost,
            good_share=1 - self.flawed / self.chats if checked else None,
            sessions_moved=self.moved,
            by_outcome=rows,
            by_version=dict(self._versions),
            by_account=list(self._list_accounts()),
            by_work={name: read_percentiles(h) for name, h in self._works.items()},
            latency=read_percentiles(self._all),
            first_token=read_percentiles(self._first),
        )

    def _list_accounts(self) -> Iterable[AccountRow]:
        for name, account in sorted(self._accounts.items()):
            yield AccountRow(
                account=name,
                requests=account.requests,
                answered=account.answered,
                tokens=account.tokens,
                latency=read_percentiles(account.latency),
            )


class _AccountTally:
    __slots__ = ("answered", "latency", "requests", "tokens")

    def __init__(self) -> None:
        self.requests = 0
        self.answered = 0
        self.tokens = 0
        self.latency = make_histogram()


def make_histogram() -> HdrHistogram:
    """Return a histogram of ticks up to an hour."""
    return HdrHistogram(1, HIGHEST_TICKS, DIGITS)


def read_percentiles(histogram: HdrHistogram) -> Percentiles:
    """Return a histogram's percentiles in milliseconds."""
    # One pass for all of them: each pass walks the buckets in Python, on the loop that
    # the callers run on, and would show up in their own latency.
    ticks = histogram.get_percentile_to_value_dict(SHARES)
    values = [float(ticks.get(share, 0)) * 1000 / TICKS_PER_S for share in SHARES]
    return Percentiles(
        count=histogram.get_total_count(),
        p50=values[0],
        p90=values[1],
        p95=values[2],
        p99=values[3],
        p999=values[4],
        max=values[5],
    )


def _to_ticks(seconds: float) -> int:
    return max(1, min(HIGHEST_TICKS, round(seconds * TICKS_PER_S)))
