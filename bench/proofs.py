"""Run the proofs of the promises, and the mutants that show they can fail."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bench.experiment import EXPERIMENTS, Options, Report, Table

if TYPE_CHECKING:
    from tests.failures.mutants import Mutant, Promise, ProofResult

MAX_SHOWN = 20


class PromiseCounts:
    """Add up what was run for one promise."""

    __slots__ = ("cells", "histories", "killed", "mutants", "violations")

    def __init__(self) -> None:
        self.cells = 0
        self.histories = 0
        self.killed = 0
        self.mutants = 0
        self.violations = 0

    def add_proof(self, result: ProofResult) -> None:
        """Add the counts of one proof."""
        self.cells += result.cells
        self.histories += result.histories
        self.violations += len(result.violations)

    def add_mutant(self, killed: bool) -> None:
        """Add one mutant."""
        self.mutants += 1
        self.killed += killed


@EXPERIMENTS.register("proofs")
def run_proofs(options: Options) -> Report:
    """Print a line for each of the ten promises; 0 where nothing was run."""
    # The proofs live with the tests, which are no part of the installed package.
    from tests.failures.mutants import MUTANTS, PROOFS, Promise, load_all

    del options
    load_all()
    counts = {promise: PromiseCounts() for promise in Promise}
    failures: list[str] = []
    total = 0
    for name in PROOFS:
        proof = PROOFS.get(name)
        result = proof.run()
        total += result.cells
        failures += [f"{name}: {text}" for text in result.violations[:MAX_SHOWN]]
        for promise in proof.promises:
            counts[promise].add_proof(result)
    survivors = [name for name in MUTANTS if not _count(MUTANTS.get(name), counts)]
    failures += [f"mutant survived: {name}" for name in survivors]
    return _report(counts, failures, total)


def _count(entry: Mutant, counts: dict[Promise, PromiseCounts]) -> bool:
    from tests.failures.mutants import is_killed

    killed = is_killed(entry)
    counts[entry.promise].add_mutant(killed)
    return killed


def _report(
    counts: dict[Promise, PromiseCounts], failures: list[str], total: int
) -> Report:
    rows = [
        (
            str(promise),
            count.cells,
            count.histories,
            f"{count.killed}/{count.mutants}",
            count.violations,
        )
        for promise, count in counts.items()
    ]
    table = Table(
        title=f"Proofs of the ten promises ({total} different cells in all)",
        columns=("promise", "cells", "histories", "mutants killed", "violations"),
        rows=rows,
    )
    figures = {
        promise.name.lower(): {
            "cells": count.cells,
            "histories": count.histories,
            "mutants": count.mutants,
            "killed": count.killed,
            "violations": count.violations,
        }
        for promise, count in counts.items()
    }
    figures["all_cells"] = {"cells": total}
    return Report(figures=figures, tables=(table,), failures=failures)
