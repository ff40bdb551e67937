"""The platform's stand-in: log, roster, ratings and weights on one address."""

from __future__ import annotations

import contextlib
from collections.abc import Iterable
from typing import Any, ClassVar

import msgspec
from aiohttp import web

from baobabthread.ports.roster import Instance
from baobabthread.standins.log import LogServer
from baobabthread.standins.ratings import RatingServer
from baobabthread.standins.roster import RosterServer
from baobabthread.standins.server import FAULTS, Server
from baobabthread.standins.weights import WeightServer


@FAULTS.register("platform")
class PlatformFaults(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Hold the faults of the parts, each under the part's name."""

    log: dict[str, Any] = {}
    roster: dict[str, Any] = {}
    ratings: dict[str, Any] = {}
    weights: dict[str, Any] = {}


class PlatformServer(Server):
    """Serve the four parts of the platform under one base URL.

    `PUT /control/faults` takes the faults of all parts by name; each part also has its
    own page under `/control/PART`.
    """

    __slots__ = ("log", "ratings", "roster", "weights")

    kind: ClassVar[str] = "platform"

    def __init__(
        self,
        *,
        name: str = "platform",
        instances: Iterable[Instance] = (),
        **settings: Any,
    ) -> None:
        super().__init__(name=name, **settings)
        seed = self.seed
        self.log = LogServer(seed=seed)
        self.roster = RosterServer(seed=seed, instances=list(instances))
        self.ratings = RatingServer(seed=seed)
        self.weights = WeightServer(seed=seed)

    @property
    def parts(self) -> tuple[Server, ...]:
        """Return the parts."""
        return (self.log, self.roster, self.ratings, self.weights)

    async def open(self, stack: contextlib.AsyncExitStack) -> None:
        """Open what the parts must close."""
        for part in self.parts:
            await part.open(stack)

    def add_routes(self, router: web.UrlDispatcher) -> None:
        """Add the routes of all parts."""
        for part in self.parts:
            part.add_routes(router)
            part.add_control(router, prefix=f"/control/{part.name}")

    def describe(self) -> dict[str, object]:
        """Return what the control page shows."""
        parts = {part.name: part.describe() for part in self.parts}
        return {"name": self.name, "kind": self.kind, **parts}

    def set_faults(self, values: dict[str, Any]) -> None:
        """Replace the faults of every part; those not named are cleared."""
        checked = msgspec.convert(values, PlatformFaults)
        for part in self.parts:
            part.check_faults(getattr(checked, part.name))
        for part in self.parts:
            part.set_faults(getattr(checked, part.name))
        self.faults = checked
