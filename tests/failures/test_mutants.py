"""Show that every proof fails when its safeguard is removed.

A proof that stays green without the safeguard proves nothing: callers would see the
failure while the matrix says that it can't happen. Each mutant removes one safeguard,
runs its check, and the check must find a violation.
"""

from __future__ import annotations

import pytest

from tests.failures.mutants import MUTANTS, is_killed, load_all

load_all()


@pytest.mark.parametrize("name", sorted(MUTANTS))
def test_mutant_is_killed(name: str) -> None:
    assert is_killed(MUTANTS.get(name)), f"no check noticed: {name}"
