"""Mechanisms that can be disabled, to measure the effect of each one."""

from __future__ import annotations

import enum
from collections.abc import Iterable


class Mechanism(enum.StrEnum):
    """Mechanism of the routing decisions; most are in use unless disabled."""

    STAGED_MODELS = "staged-models"
    """Begin with the smallest model; without this, the largest one answers."""
    LOAD_QUERIES = "loads"
    """Query the owners of engines for their queued work."""
    MODEL_COST = "price"
    """Use larger models for fewer requests as the waiting time of prompts grows."""
    ATTEMPT_TIMEOUT = "patience"
    """Abort an attempt that is silent and retry at another backend server."""
    PROMPT_AFFINITY = "homes"
    """Send prompts that share a part to the same engine."""
    ASSIGNMENTS = "assignments"
    """Let the owner of a group of servers assign requests where many choose."""
    ENGINE_ASSIGNMENTS = "engine-assignments"
    """Assign requests to engines as well, not only to plain servers."""


OPTIONAL = frozenset({Mechanism.ENGINE_ASSIGNMENTS})
"""Mechanisms that are in use only where the command line asks for them."""
DisabledMechanisms = frozenset[Mechanism]
"""The mechanisms that are disabled."""
NONE_DISABLED: DisabledMechanisms = frozenset()


def find_disabled(
    without: Iterable[Mechanism], optional: Iterable[Mechanism]
) -> DisabledMechanisms:
    """Return the mechanisms that are not in use, by what the command line asks for."""
    return frozenset(without) | (OPTIONAL - frozenset(optional))
