"""Names of the mechanisms that can be switched off, to measure what each is worth."""

from __future__ import annotations

import enum


class Mechanism(enum.StrEnum):
    """Name a mechanism of the decisions; all are in use unless switched off."""

    STAGED_MODELS = "staged-models"
    """Begin with the smallest model; without it the largest one answers."""
    LOAD_QUERIES = "loads"
    """Ask the keepers of engines what waits there."""
    MODEL_COST = "price"
    """Ask larger models for less the longer prompts wait."""
    ATTEMPT_TIMEOUT = "patience"
    """Give up an attempt that is silent and try another backend server."""
    PROMPT_AFFINITY = "homes"
    """Keep prompts with a common part at one engine."""


DisabledMechanisms = frozenset[Mechanism]
"""The mechanisms that are switched off."""
NONE_DISABLED: DisabledMechanisms = frozenset()
