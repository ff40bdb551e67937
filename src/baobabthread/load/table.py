"""The load report as a table for people."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from baobabthread.load.report import LoadReport, Percentiles

LATENCY_HEAD = ("latency, ms", "count", "p50", "p90", "p95", "p99", "p99.9", "max")


def render_report(report: LoadReport) -> str:
    """Return the whole report as text."""
    parts = [
        render_rows([("outcome", "requests"), *_list_totals(report)]),
        render_rows([("result", "kind", "ran", "count"), *_list_outcomes(report)]),
        render_rows([LATENCY_HEAD, *_list_latencies(report)]),
        render_rows([("account", "requests", "answered", "p95"), *_accounts(report)]),
    ]
    return "\n\n".join(parts)


def render_rows(rows: Sequence[Sequence[str]]) -> str:
    """Return rows as aligned text: the first column left, the others right."""
    widths = [max(len(row[place]) for row in rows) for place in range(len(rows[0]))]
    lines = []
    for row in rows:
        cells = [row[0].ljust(widths[0])]
        cells += [
            cell.rjust(width) for cell, width in zip(row[1:], widths[1:], strict=True)
        ]
        lines.append("  ".join(cells).rstrip())
    return "\n".join(lines)


def _list_totals(report: LoadReport) -> Iterable[tuple[str, str]]:
    effects = report.effects
    yield "answered", str(report.answered)
    yield "refused, not run", str(report.refused)
    yield "failed, run", str(report.failed)
    yield "unknown", str(report.unknown)
    yield "lost", str(report.lost)
    yield "cut", str(report.cut)
    yield "wrong", str(report.wrong)
    if effects.checked:
        yield "doubled", str(effects.doubled)
        yield "answered, never run", str(effects.never_ran)
        yield "refused, yet run", str(effects.ran_though_refused)
    if report.not_sent:
        yield "not sent", str(report.not_sent)
    yield "sessions moved", str(report.sessions_moved)
    yield "per second", f"{report.per_s:.1f}"
    yield "tokens", str(report.tokens)
    yield "cost", f"{report.cost:.4f}"
    if report.good_share is not None:
        yield "good enough", f"{report.good_share:.3f}"
    for version, count in sorted(report.by_version.items()):
        yield f"by {version}", str(count)


def _list_outcomes(report: LoadReport) -> Iterable[tuple[str, ...]]:
    for row in report.by_outcome:
        yield row.result.value, row.kind or "-", row.ran or "-", str(row.count)


def _list_latencies(report: LoadReport) -> Iterable[tuple[str, ...]]:
    yield _list_percentiles("all", report.latency)
    yield _list_percentiles("first token", report.first_token)
    for name, percentiles in sorted(report.by_work.items()):
        yield _list_percentiles(name, percentiles)


def _list_percentiles(name: str, row: Percentiles) -> tuple[str, ...]:
    values = (row.p50, row.p90, row.p95, row.p99, row.p999, row.max)
    return (name, str(row.count), *(f"{value:.1f}" for value in values))


def _accounts(report: LoadReport) -> Iterable[tuple[str, ...]]:
    for row in report.by_account:
        p95 = f"{row.latency.p95:.1f}"
        yield row.account, str(row.requests), str(row.answered), p95
