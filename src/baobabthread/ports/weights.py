"""The port to the platform's weight store."""

from __future__ import annotations

from typing import Protocol


class Weights(Protocol):
    """Load the weights of versions at the rate that the store allows."""

    async def load(self, version: str) -> None:
        """Load the weights of one version or raise an UnavailableError."""
        ...
