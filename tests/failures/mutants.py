"""Register the proofs of each promise and the mutants that must turn them red.

A proof runs a matrix or a set of histories and counts. A mutant removes one
safeguard; its check must then find a violation, or the check proves nothing.
Test modules in this folder register both; `load_all` imports them.
"""

from __future__ import annotations

import enum
import importlib
import pkgutil
from collections.abc import Callable

import msgspec
import pytest

import tests.failures
import tests.histories
from baobabthread.core.registry import Registry


class Promise(enum.StrEnum):
    """Name the ten promises in the order of the brief, and what stands behind them."""

    ALLOWED = "runs only on an allowed model and version"
    WITHDRAWN = "a withdrawn version receives no new request"
    SESSION = "a session keeps its version"
    BILLED = "each request is billed exactly once"
    WHOLE = "each caller receives the whole answer to its own request"
    NOT_RUN = "refused and said not run means not run"
    ONCE = "a non-idempotent request runs at most once"
    LEAVING = "a leaving backend server receives no new work"
    GRACEFUL = "a planned stop cuts no request"
    CONFIGURATION = "an accepted configuration is in force and never reverts"
    ORDERS = "(behind them: one conductor at a time orders the engines)"


class ProofResult(msgspec.Struct, kw_only=True):
    """Count what a proof ran and list what did not hold."""

    cells: int = 0
    histories: int = 0
    violations: list[str] = []


class Proof(msgspec.Struct, frozen=True, kw_only=True):
    """Hold one proof and the promises that it is about."""

    name: str
    promises: tuple[Promise, ...]
    run: Callable[[], ProofResult]


class Mutant(msgspec.Struct, frozen=True, kw_only=True):
    """Hold one removed safeguard and the check that must notice."""

    name: str
    promise: Promise
    remove: Callable[[pytest.MonkeyPatch], None]
    check: Callable[[], list[str]]


PROOFS: Registry[Proof] = Registry(what="proof")
MUTANTS: Registry[Mutant] = Registry(what="mutant")


def proof(
    name: str, *promises: Promise
) -> Callable[[Callable[[], ProofResult]], Callable[[], ProofResult]]:
    """Return a decorator that registers a function as a proof."""

    def enter(run: Callable[[], ProofResult]) -> Callable[[], ProofResult]:
        PROOFS.register(name)(Proof(name=name, promises=promises, run=run))
        return run

    return enter


def mutant(
    name: str, *, promise: Promise, check: Callable[[], list[str]]
) -> Callable[
    [Callable[[pytest.MonkeyPatch], None]], Callable[[pytest.MonkeyPatch], None]
]:
    """Return a decorator that registers a function that removes a safeguard."""

    def enter(
        remove: Callable[[pytest.MonkeyPatch], None],
    ) -> Callable[[pytest.MonkeyPatch], None]:
        entry = Mutant(name=name, promise=promise, remove=remove, check=check)
        MUTANTS.register(name)(entry)
        return remove

    return enter


def is_killed(entry: Mutant) -> bool:
    """Tell whether the check goes red without the safeguard."""
    with pytest.MonkeyPatch.context() as patch:
        entry.remove(patch)
        return bool(entry.check())


def load_all() -> None:
    """Import every test module that may register proofs and mutants."""
    for package in (tests.failures, tests.histories):
        for module in pkgutil.iter_modules(package.__path__):
            if module.name.startswith("test_") and module.name != "test_mutants":
                importlib.import_module(f"{package.__name__}.{module.name}")
