"""The port to the platform's list of live and leaving instances."""

from __future__ import annotations

import enum
from typing import Protocol

import msgspec


class Role(enum.StrEnum):
    """Tell an entry from a backend server."""

    ENTRY = "entry"
    BACKEND = "backend"


class State(enum.StrEnum):
    """Tell a live instance from a leaving one."""

    LIVE = "live"
    LEAVING = "leaving"


class Instance(msgspec.Struct, frozen=True, kw_only=True):
    """Describe one instance in the list."""

    name: str
    role: Role
    address: str
    failure_domain: str
    state: State = State.LIVE


class Roster(Protocol):
    """Read the list and keep the own entry in it."""

    async def list_instances(self) -> list[Instance]:
        """Return the instances that the platform lists, late as it is."""
        ...

    async def put(self, instance: Instance) -> None:
        """Enter or replace one instance."""
        ...

    async def remove(self, name: str) -> None:
        """Take one instance out of the list."""
        ...
