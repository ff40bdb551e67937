"""The stand-in of the platform's list of live and leaving instances."""

from __future__ import annotations

from collections import deque
from typing import Any, ClassVar

import msgspec
from aiohttp import web

from baobabthread.ports.roster import Instance, Role, State
from baobabthread.standins.server import FAULTS, Server, read_body, refuse, reply_json

MAX_SNAPSHOTS = 10_000


@FAULTS.register("roster")
class RosterFaults(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Hold the settings that a test may switch at the roster."""

    lag_s: float = 1.0
    """How long a change stays invisible."""
    outage: bool = False


class InstanceBody(msgspec.Struct, frozen=True, kw_only=True):
    """Hold what an instance reports of itself; its name is in the path."""

    role: Role
    address: str
    failure_domain: str
    state: State = State.LIVE


class InstancesBody(msgspec.Struct, frozen=True, kw_only=True):
    """Hold a whole list."""

    instances: list[Instance]


class RosterServer(Server):
    """Serve the list of instances as it was some time ago."""

    __slots__ = ("_snapshots", "instances")

    kind: ClassVar[str] = "roster"

    def __init__(
        self,
        *,
        name: str = "roster",
        instances: list[Instance] | None = None,
        **settings: Any,
    ) -> None:
        super().__init__(name=name, **settings)
        self.instances: dict[str, Instance] = {}
        self._snapshots: deque[tuple[float, list[Instance]]] = deque(
            maxlen=MAX_SNAPSHOTS
        )
        self.begin(instances or [])

    def add_routes(self, router: web.UrlDispatcher) -> None:
        """Add the routes of the list and of the instances' own entries."""
        router.add_get("/v1/instances", self._list)
        router.add_put("/v1/instances/{name}", self._put)
        router.add_delete("/v1/instances/{name}", self._delete)
        router.add_put("/control/instances", self._replace)

    def describe(self) -> dict[str, object]:
        """Return what the control page shows."""
        return {**super().describe(), "instances": list(self.instances.values())}

    def begin(self, instances: list[Instance]) -> None:
        """Set the list that shows from the start, without a lag."""
        self.instances = {item.name: item for item in instances}
        self._snapshots.clear()
        self._snapshots.append((float("-inf"), instances))

    def put(self, instance: Instance) -> None:
        """Enter or replace one instance."""
        self.instances[instance.name] = instance
        self._record()

    def replace(self, instances: list[Instance]) -> None:
        """Replace the whole list."""
        self.instances = {item.name: item for item in instances}
        self._record()

    def visible(self) -> list[Instance]:
        """Return the list as it was before the lag."""
        horizon = self.now() - self.faults.lag_s
        while len(self._snapshots) > 1 and self._snapshots[1][0] <= horizon:
            self._snapshots.popleft()
        return self._snapshots[0][1]

    def _record(self) -> None:
        self._snapshots.append((self.now(), list(self.instances.values())))

    async def _list(self, request: web.Request) -> web.Response:
        if self.faults.outage:
            return refuse("outage", status=503, retry_after_s=1)
        return reply_json({"instances": self.visible()})

    async def _put(self, request: web.Request) -> web.Response:
        body = await read_body(request, InstanceBody)
        self.put(
            Instance(
                name=request.match_info["name"],
                role=body.role,
                address=body.address,
                failure_domain=body.failure_domain,
                state=body.state,
            )
        )
        return reply_json({})

    async def _delete(self, request: web.Request) -> web.Response:
        self.instances.pop(request.match_info["name"], None)
        self._record()
        return reply_json({})

    async def _replace(self, request: web.Request) -> web.Response:
        body = await read_body(request, InstancesBody)
        self.replace(body.instances)
        return reply_json({"instances": body.instances})
