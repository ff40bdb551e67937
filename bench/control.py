"""What control costs an entry, by members, backend servers, versions and accounts.

One real core runs in virtual time amid members and a platform that are held in memory;
messages are encoded and decoded as on the wire. Sockets are measured apart, by message.
"""

from __future__ import annotations

import asyncio
import gc
import math
import statistics
import sys
import tracemalloc
import types
from collections.abc import Sequence
from typing import Any

import msgspec

from baobabthread.adapters.pollers import MAX_ASKED
from baobabthread.core.configuration.configuration import ServiceKind
from baobabthread.core.entry import EntryCore
from baobabthread.process import tune_collector
from bench import _control_tokens as _control_tokens
from bench._control_parts import (
    count_appends,
    measure_claims,
    measure_list,
    measure_ratings,
)
from bench._control_site import Site
from bench._control_sockets import SocketCosts, measure_sockets
from bench._control_texts import Size
from bench.experiment import EXPERIMENTS, Options, Report, Table

LETTER = Size(members=400, backends=6_900, versions=37, accounts=1_000)
BUDGET_CPU_PCT = 1.1
BUDGET_KB_S = 14.0
BUDGET_MB = 32.0
CHANGES_PER_S = 33_000 / 86_400
REQUESTS_PER_S = 15_000
RATED_SHARE = 0.1
"""Share of answers that are rated when there are ratings enough."""
RATES = (1.0, 5.0, 37.5, 300.0, 1_875.0)
"""Requests a second of one entry: 37.5 is the letter's 15,000 among 400."""
APPENDS_S = 1.5
CHANGES = 5
QUICK_S, LONG_S = 5.0, 30.0
"""Virtual seconds of each run."""
MB = 1_000_000
TRACED = 1_000
"""Largest number along a dimension at which allocations are traced as well."""
SHARED = (type, types.ModuleType, types.FunctionType, types.BuiltinFunctionType)
"""What a core refers to and doesn't own."""
SWEEPS: dict[str, Sequence[int]] = {
    "members": (6, 12, 25, 50, 100, 200, 400),
    "backends": (9, 100, 1_000, 6_900),
    "versions": (1, 4, 12, 37),
    "accounts": (10, 100, 1_000),
}
MEMORY_SWEEPS: dict[str, Sequence[int]] = {
    "members": (6, 100, 400),
    "backends": (9, 1_000, 6_900),
}


class Cost(msgspec.Struct, frozen=True, kw_only=True):
    """Hold what the core costs at one size."""

    size: Size
    cpu_pct: dict[str, float]
    """Share of one core, by part."""
    kb_s: float
    messages_s: float
    largest_payload: int
    room: float

    @property
    def total_pct(self) -> float:
        """Give the share of one core for all parts."""
        return sum(self.cpu_pct.values())


class Change(msgspec.Struct, frozen=True, kw_only=True):
    """Hold what one change of the configuration costs an entry."""

    cpu_ms: float
    text_bytes: float
    told_bytes: float
    """Of the messages that announce it, sent."""


def measure_core(site: Site, size: Size, options: Options) -> Cost:
    """Return what control costs the core of a site."""
    seconds = QUICK_S if options.quick else LONG_S
    usage = site.run(seconds)
    return Cost(
        size=size,
        cpu_pct={part: spent / seconds * 100 for part, spent in usage.cpu_s.items()},
        kb_s=(usage.sent + usage.received) / seconds / 1000,
        messages_s=usage.messages / seconds,
        largest_payload=site.members.largest_payload,
        room=site.members.room,
    )


def measure_change(site: Site) -> Change:
    """Return what one change of the configuration costs."""
    sent, spent = site.usage.sent, site.usage.cpu_s["change"]
    texts = [site.change(number) for number in range(CHANGES)]
    return Change(
        cpu_ms=(site.usage.cpu_s["change"] - spent) / CHANGES * 1000,
        text_bytes=statistics.mean(texts),
        told_bytes=(site.usage.sent - sent) / CHANGES,
    )


def trace_memory(size: Size, options: Options) -> float:
    """Return the megabytes that belong to the core alone, by tracing allocations."""
    gc.collect()
    tracemalloc.start()
    site = Site(size=size, seed=options.seed)
    gc.collect()
    before = tracemalloc.get_traced_memory()[0]
    del site.core
    gc.collect()
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return (before - after) / MB


def weigh(core: object) -> float:
    """Return the megabytes of all objects that an object holds.

    Tracing the allocations of a large core takes a minute; this takes a second.
    """
    seen = {id(core)}
    waiting: list[object] = [core]
    total = 0
    while waiting:
        found = waiting.pop()
        total += sys.getsizeof(found)
        for each in gc.get_referents(found):
            if id(each) not in seen and not isinstance(each, SHARED):
                seen.add(id(each))
                waiting.append(each)
    return total / MB


def fit(points: Sequence[tuple[float, float]]) -> tuple[float, float]:
    """Return the slope and the constant of the line through points."""
    slope, constant = statistics.linear_regression(
        [x for x, _ in points], [y for _, y in points]
    )
    return slope, constant


def sweep(options: Options, figures: dict[str, Any]) -> list[Table]:
    """Measure the core along each dimension and fit lines."""
    tables = []
    for name, values in SWEEPS.items():
        costs = []
        for value in values:
            size = msgspec.structs.replace(Size(), **{name: value})
            site = Site(size=size, seed=options.seed)
            costs.append((value, measure_core(site, size, options)))
        slope, constant = fit([(value, cost.total_pct) for value, cost in costs])
        figures[f"cpu_pct_per_100_{name}"] = slope * 100
        figures[f"cpu_pct_at_0_{name}"] = constant
        rows = [
            [
                value,
                cost.total_pct,
                cost.cpu_pct.get("tick", 0.0),
                cost.kb_s,
                cost.messages_s,
                cost.largest_payload,
                cost.room,
            ]
            for value, cost in costs
        ]
        columns = [name, "core, %", "of it ticks", "KB/s", "messages/s"]
        columns += ["largest value", "room"]
        title = f"The core by {name}, the rest as today: {slope * 100:.3g} % per 100"
        tables.append(Table(title=title, columns=columns, rows=rows))
    return tables


def weigh_parts(core: EntryCore) -> dict[str, float]:
    """Return the megabytes of the largest parts, which share little."""
    services = core._services.values()
    models = [s.name for s in services if s.service.kind is ServiceKind.MODEL]
    return {
        "detectors": sum(weigh(core.conductors.get_detector(m)) for m in models),
        "cascade rules": sum(weigh(service.rule) for service in services),
        "queues": sum(weigh(service.queue) for service in services),
        "fold of the configuration": weigh(core.control.fold),
        "backend servers": weigh(core.backends),
        "gossip": weigh(core.control.membership.gossip),
    }


def sweep_memory(options: Options, figures: dict[str, Any]) -> Table:
    """Weigh the core along two dimensions, and trace it where that is quick."""
    rows = []
    for name, values in MEMORY_SWEEPS.items():
        points = []
        for value in values:
            size = msgspec.structs.replace(Size(), **{name: value})
            mb = weigh(Site(size=size, seed=options.seed).core)
            points.append((float(value), mb))
            traced = trace_memory(size, options) if value <= TRACED else math.nan
            rows.append([f"{value} {name}", mb, traced])
        figures[f"kb_per_{name[:-1]}"] = fit(points)[0] * 1000
    traced = math.nan if options.quick else trace_memory(LETTER, options)
    rows.append(["the letter's size", figures["mb_at_400"], traced])
    parts = figures["mb_parts_at_400"].items()
    rows += [[f"of it {part}", mb, math.nan] for part, mb in parts]
    return Table(
        title="Memory of the core", columns=["size", "MB", "MB traced"], rows=rows
    )


def sweep_appends(figures: dict[str, Any]) -> Table:
    """Count the appends of bills of one entry by its rate of requests."""
    rows = []
    for rate in RATES:
        appends = asyncio.run(count_appends(rate, APPENDS_S))
        figures[f"appends_s_at_{rate:g}"] = appends
        rows.append([rate, appends, rate / appends if appends else math.nan])
    return Table(
        title="Appends of one entry's bills, the log taking 5 ms",
        columns=["requests/s", "appends/s", "bills in one"],
        rows=rows,
    )


def add_up(
    options: Options, sockets: SocketCosts, figures: dict[str, Any]
) -> list[Table]:
    """Add all parts of control at the letter's size."""
    site = Site(size=LETTER, seed=options.seed)
    cost = measure_core(site, LETTER, options)
    change = measure_change(site)
    rating_us, rating_bytes = measure_ratings(site)
    claim_us, claim_bytes = measure_claims(site)
    list_ms, list_bytes = measure_list(LETTER)
    figures["mb_at_400"] = weigh(site.core)
    figures["mb_parts_at_400"] = weigh_parts(site.core)
    site.conducts = True
    conducting = measure_core(site, LETTER, options)
    rated = REQUESTS_PER_S * RATED_SHARE
    polls = min(LETTER.backends, MAX_ASKED)
    parts = [
        ["ticks", cost.cpu_pct.get("tick", 0.0), 0.0],
        [
            "messages among entries, core and codec",
            cost.cpu_pct.get("messages in", 0.0)
            + cost.cpu_pct.get("messages out", 0.0),
            cost.kb_s,
        ],
        [
            "their sockets, a connection for each",
            cost.messages_s * sockets.fresh_us / 1e4,
            0.0,
        ],
        ["streams of the log, idle", cost.cpu_pct.get("streams", 0.0), 0.0],
        [
            "changes of the configuration, texts",
            CHANGES_PER_S * change.cpu_ms / 10,
            CHANGES_PER_S * change.text_bytes / 1000,
        ],
        [
            "announcing them, sent and received",
            0.0,
            2 * CHANGES_PER_S * change.told_bytes / 1000,
        ],
        ["load reports, core", cost.cpu_pct.get("load reports", 0.0), 0.0],
        [
            "load reports, sockets",
            polls * sockets.poll_us / 1e4,
            polls * sockets.poll_bytes / 1000,
        ],
        [
            "list of instances",
            cost.cpu_pct.get("list of instances", 0.0) + list_ms / 10,
            list_bytes / 1000,
        ],
        ["ratings of all entries", rated * rating_us / 1e4, rated * rating_bytes / 1e3],
    ]
    figures["load_report_age_s"] = LETTER.backends / polls
    figures["cpu_pct_at_400"] = sum(part[1] for part in parts)
    figures["kb_s_at_400"] = sum(part[2] for part in parts)
    figures["cpu_pct_at_400_entries_alone"] = sum(part[1] for part in parts[:3])
    figures["kb_s_at_400_entries_alone"] = sum(part[2] for part in parts[:3])
    figures["cpu_pct_conducting_all"] = conducting.total_pct - cost.total_pct
    figures["change_cpu_ms"] = change.cpu_ms
    figures["change_told_bytes"] = change.told_bytes
    figures["claim_us"] = claim_us
    figures["claim_bytes"] = claim_bytes
    figures["rating_us"] = rating_us
    figures["rating_bytes"] = rating_bytes
    figures["list_kb"] = list_bytes / 1000
    figures["list_ms"] = list_ms
    figures["largest_value_bytes"] = cost.largest_payload
    figures["parts"] = {part[0]: part[1:] for part in parts}
    table = Table(
        title="Control of one entry at the letter's size, by part",
        columns=["part", "core, %", "KB/s"],
        rows=[
            *parts,
            ["all", figures["cpu_pct_at_400"], figures["kb_s_at_400"]],
            ["budget", BUDGET_CPU_PCT, BUDGET_KB_S],
        ],
    )
    return [table]


@EXPERIMENTS.register("control")
def run(options: Options) -> Report:
    """Measure what control costs an entry."""
    figures: dict[str, Any] = {
        "budget_cpu_pct": BUDGET_CPU_PCT,
        "budget_kb_s": BUDGET_KB_S,
        "budget_mb": BUDGET_MB,
        "size": msgspec.to_builtins(LETTER),
    }
    # As in an entry's own process: else whole collections fall on some part.
    tune_collector()
    sockets = asyncio.run(measure_sockets(500 if options.quick else 3_000))
    figures["message_kept_us"] = sockets.kept_us
    figures["message_fresh_us"] = sockets.fresh_us
    figures["load_poll_us"] = sockets.poll_us
    tables = sweep(options, figures)
    tables += add_up(options, sockets, figures)
    tables.append(sweep_appends(figures))
    tables.append(sweep_memory(options, figures))
    return Report(figures=figures, tables=tables)
