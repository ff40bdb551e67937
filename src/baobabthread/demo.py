"""The main job in one process: stand-ins, six entries, load, a withdrawal, a stop."""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import importlib.resources
import re
import secrets
from collections import Counter

import msgspec

from baobabthread.adapters.operators import PublishBody
from baobabthread.core.billing.types import BillRecord
from baobabthread.core.configuration.configuration import parse_section
from baobabthread.core.messages import Stream
from baobabthread.entry import Entry
from baobabthread.errors import BaobabthreadError
from baobabthread.load.caller import Record, Result
from baobabthread.load.table import render_rows
from baobabthread.load.tool import Load, LoadAccount, LoadReport, LoadSettings, Work
from baobabthread.settings import Address, EntrySettings
from baobabthread.standins.fleet import Fleet

SECTIONS = ("association", "kalbaishakhi")
DOMAINS = ("didube", "saburtalo", "vake", "isani")
ENTRIES = 6
OPERATOR_KEY = "demo-operator-key"
ADDRESS_LIFETIME_S = 1.0
READY_LIMIT_S = 15.0
SETTLE_LIMIT_S = 10.0
STEP_S = 0.05
WITHDRAWN = "bulletin-s-1"
STOPPED = 5
"""Which entry is stopped under load."""
LARGE_ACCOUNT_SHARE = 4.0


class DemoSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Bound the demo."""

    duration_s: float = 12.0
    rate_per_s: float = 40.0
    """Requests a second of each of the two organisations."""
    seed: int = 1


class BillCheck(msgspec.Struct, frozen=True, kw_only=True):
    """Hold how the bills compare with what callers were told."""

    bills: int
    unbilled: int
    """Answered requests without a bill."""
    billed_twice: int
    billed_though_not_run: int


class DemoReport(msgspec.Struct, frozen=True, kw_only=True):
    """Hold what the demo saw."""

    loads: dict[str, LoadReport]
    bills: BillCheck
    withdrawal_s: float
    """Seconds from the publish of the withdrawal until it was in force everywhere."""
    stop_was_graceful: bool

    def list_violations(self) -> list[str]:
        """Return what must never be, in words; empty when all is well."""
        found = [
            f"{name}: {violation}"
            for name, load in self.loads.items()
            for violation in load.list_violations()
        ]
        counts = {
            "answered requests without a bill": self.bills.unbilled,
            "requests billed twice": self.bills.billed_twice,
            "requests billed though not run": self.bills.billed_though_not_run,
        }
        found += [f"{count} {what}" for what, count in counts.items() if count]
        if not self.stop_was_graceful:
            found.append("the stopped entry was not drained")
        return found


def read_example(name: str) -> str:
    """Return the text of a packaged example."""
    files = importlib.resources.files("baobabthread")
    return files.joinpath(f"examples/{name}.toml").read_text(encoding="utf-8")


def move_addresses(text: str, fleet: Fleet) -> str:
    """Return a text whose backend servers are where the stand-ins listen."""
    for name, backend in parse_section(text).backends.items():
        at = re.escape(backend.address)
        text = re.sub(rf'"{at}"', f'"{fleet.backends[name].address}"', text)
    return text


class Demo:
    """Own all parts of one demo run."""

    def __init__(self, *, settings: DemoSettings) -> None:
        self._settings = settings
        self._stack = contextlib.AsyncExitStack()
        self._texts = {name: read_example(name) for name in SECTIONS}
        self._fleet = Fleet(
            texts=self._texts.values(), keep_ports=False, seed=settings.seed
        )
        self.entries: list[Entry] = []

    async def __aenter__(self) -> Demo:
        await self._stack.enter_async_context(self._fleet)
        self._texts = {
            name: move_addresses(text, self._fleet)
            for name, text in self._texts.items()
        }
        for number in range(ENTRIES):
            await self._start_entry(number)
        for name, text in self._texts.items():
            await self.publish(name, text)
        return self

    async def __aexit__(self, *_: object) -> None:
        await self._stack.aclose()

    async def _start_entry(self, number: int) -> None:
        anywhere = Address("127.0.0.1", 0)
        seeds = tuple(
            Address(*_split(entry.peer_address)) for entry in self.entries[:3]
        )
        entry = Entry(
            settings=EntrySettings(
                name=f"e{number + 1}",
                listen=anywhere,
                peer_listen=anywhere,
                failure_domain=DOMAINS[number % len(DOMAINS)],
                platform=self._fleet.url,
                peers=seeds,
                peer_secret=secrets.token_hex(16),
                session_keys=(("demo", b"demo-session-key-0000"),),
                operator_key_sha256=hashlib.sha256(OPERATOR_KEY.encode()).hexdigest(),
                address_lifetime_s=ADDRESS_LIFETIME_S,
            )
            if not self.entries
            else msgspec.structs.replace(
                self.entries[0].settings,
                name=f"e{number + 1}",
                failure_domain=DOMAINS[number % len(DOMAINS)],
                peers=seeds,
            )
        )
        self._stack.push_async_callback(entry.stop)
        await entry.start()
        self.entries.append(entry)

    async def publish(self, section: str, text: str) -> float:
        """Publish a text, wait until all entries have it, return the seconds."""
        loop = asyncio.get_running_loop()
        started = loop.time()
        body = PublishBody(id=secrets.token_hex(8), section=section, text=text)
        ended = await self.entries[0].administration.publish(body, "demo")
        if ended.problem is not None:
            raise BaobabthreadError(ended.problem.detail, remedy=ended.problem.remedy)
        while any(
            entry.core.control.fold.generation < ended.generation
            for entry in self.entries
        ):
            if loop.time() - started > READY_LIMIT_S:
                raise BaobabthreadError(
                    f"generation {ended.generation} is not in force everywhere",
                    remedy="run the demo on a machine with less load",
                )
            await asyncio.sleep(STEP_S)
        return loop.time() - started

    async def withdraw(self) -> float:
        """Publish the withdrawal of a version under load."""
        text = self._texts["kalbaishakhi"]
        text = text.replace(
            f"[versions.{WITHDRAWN}]", f'[versions.{WITHDRAWN}]\nstate = "withdrawn"'
        )
        return await self.publish("kalbaishakhi", text)

    async def stop_one(self) -> bool:
        """Stop an entry gracefully and tell whether it was drained."""
        entry = self.entries.pop(STOPPED)
        await entry.leave()
        drained = entry.open_requests == 0 and entry.core.ledger.is_settled
        await entry.stop()
        return drained

    async def run(self) -> DemoReport:
        """Drive load, withdraw and stop meanwhile, and compare the bills."""
        pause_s = self._settings.duration_s / 4
        loads = {
            name: await self._stack.enter_async_context(Load(settings=settings))
            for name, settings in self._build_loads().items()
        }
        running = {
            name: asyncio.ensure_future(load.run()) for name, load in loads.items()
        }
        await asyncio.sleep(pause_s)
        withdrawal_s = await self.withdraw()
        await asyncio.sleep(pause_s)
        graceful = await self.stop_one()
        reports = {name: await load for name, load in running.items()}
        await self._settle()
        records = [record for load in loads.values() for record in load.tally.records]
        bills = compare_bills(records, await self._read_bills())
        return DemoReport(
            loads=reports,
            bills=bills,
            withdrawal_s=withdrawal_s,
            stop_was_graceful=graceful,
        )

    def _build_loads(self) -> dict[str, LoadSettings]:
        shared = LoadSettings(
            entries=[f"http://{entry.address}" for entry in self.entries[:3]],
            accounts=[],
            rate_per_s=self._settings.rate_per_s,
            duration_s=self._settings.duration_s,
            callers=12,
            deadline_s=20.0,
            backends=[server.address for server in self._fleet.backends.values()],
            standin_answers=True,
            seed=self._settings.seed,
            progress=False,
        )
        association = msgspec.structs.replace(
            shared,
            accounts=self._list_accounts("association"),
            model="content",
            plain_service="screens",
            plain_call="status",
            keyed_call="reboot",
            shares={
                Work.CHAT: 3.0,
                Work.STREAM: 3.0,
                Work.PLAIN: 3.0,
                Work.BOUND: 0.5,
                Work.FREE: 0.5,
            },
        )
        kalbaishakhi = msgspec.structs.replace(
            shared,
            accounts=self._list_accounts("kalbaishakhi"),
            model="bulletins",
            plain_service="warnings",
            plain_call="receipts",
            keyed_call="dispatch",
            shares={
                Work.CHAT: 2.0,
                Work.STREAM: 4.0,
                Work.PLAIN: 1.0,
                Work.BOUND: 2.0,
                Work.FREE: 1.0,
            },
        )
        return {"association": association, "kalbaishakhi": kalbaishakhi}

    def _list_accounts(self, section: str) -> list[LoadAccount]:
        accounts = parse_section(self._texts[section]).accounts
        return [
            LoadAccount(name=name, key=f"KEY-OF-{name}", weight=account.weight)
            for name, account in accounts.items()
        ]

    async def _settle(self) -> None:
        """Wait until every bill stands in the log."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + SETTLE_LIMIT_S
        while loop.time() < deadline:
            if all(entry.core.ledger.is_settled for entry in self.entries):
                return
            await asyncio.sleep(STEP_S)

    async def _read_bills(self) -> list[BillRecord]:
        bills: list[BillRecord] = []
        after = 0
        while True:
            page = await self.entries[0].log.read(
                Stream.BILLS, after=after, limit=1000, wait_s=0.0
            )
            if not page.records:
                return bills
            bills += [
                msgspec.json.decode(record.body, type=BillRecord)
                for record in page.records
            ]
            after = page.records[-1].offset


def compare_bills(records: list[Record], appended: list[BillRecord]) -> BillCheck:
    """Set the folded bills against what the callers were told."""
    bills = {bill.bill_id: bill for bill in reversed(appended)}
    billed = Counter(bill.request_id.partition("@")[0] for bill in bills.values())
    answered = [record for record in records if record.result is Result.ANSWERED]
    refused = [record for record in records if record.result is Result.REFUSED]
    return BillCheck(
        bills=len(bills),
        unbilled=sum(not billed[record.request_id] for record in answered),
        billed_twice=sum(count > 1 for count in billed.values()),
        billed_though_not_run=sum(
            bool(record.request_id and billed[record.request_id]) for record in refused
        ),
    )


def _split(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)


def render_demo(report: DemoReport) -> str:
    """Return the demo's table."""
    names = list(report.loads)
    head = ("", *names)
    rows: list[tuple[str, ...]] = [head]
    for title, field in (
        ("requests", "requests"),
        ("answered", "answered"),
        ("refused, not run", "refused"),
        ("failed, run", "failed"),
        ("unknown", "unknown"),
        ("lost", "lost"),
        ("cut", "cut"),
        ("wrong", "wrong"),
    ):
        cells = [str(getattr(report.loads[name], field)) for name in names]
        rows.append((title, *cells))
    rows.append(("doubled", *(str(report.loads[n].effects.doubled) for n in names)))
    p50 = [f"{report.loads[name].latency.p50:.0f}" for name in names]
    rows.append(("p50, ms", *p50))
    bills = report.bills
    totals = [
        ("bills", str(bills.bills)),
        ("answered without a bill", str(bills.unbilled)),
        ("billed twice", str(bills.billed_twice)),
        ("billed though not run", str(bills.billed_though_not_run)),
        ("withdrawal in force everywhere, s", f"{report.withdrawal_s:.2f}"),
        ("graceful stop drained", "yes" if report.stop_was_graceful else "no"),
    ]
    return f"{render_rows(rows)}\n\n{render_rows(totals)}"


async def run_demo(settings: DemoSettings) -> DemoReport:
    """Run the demo and return what it saw."""
    async with Demo(settings=settings) as demo:
        return await demo.run()
