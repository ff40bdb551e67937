"""A small installation in one process: a store, backend servers, instances."""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections.abc import AsyncIterator, Coroutine
from typing import Any

import msgspec

from baobabthread.instance.process import Adapters, Instance
from baobabthread.instance.settings import InstanceSettings
from baobabthread.platform.headers import PlatformWireFormat
from baobabthread.platform.interface import PlatformInterface
from baobabthread.platform.records import PlatformRecordFormat
from baobabthread.platform.settings import parse_settings
from baobabthread.platform.store import PlatformStore
from baobabthread.routing.mechanisms import NONE_DISABLED, DisabledMechanisms
from baobabthread.standins.loopback import own_network
from tests.platform.fakecallers import HOST, KEY, MODEL_FIELDS, CallerResponse, call
from tests.platform.fakes import FakeBackend
from tests.platform.fakestore import BACKENDS, OPERATORS, FakeStore

MODELS = ["small", "middle", "large"]
READY_TIMEOUT_S = 5.0
TIME_LIMIT_MS = 2000


def run(case: Coroutine[Any, Any, None]) -> None:
    """Run one case within a time that tells a hang from a slow machine."""
    asyncio.run(asyncio.wait_for(case, 40))


def route(prefix: str, kind: str, **more: object) -> dict[str, object]:
    """Return a route as the operators write it."""
    return {
        "name": prefix.strip("/"),
        "host": HOST,
        "path_prefix": prefix,
        "kind": kind,
        "timeout_ms": TIME_LIMIT_MS,
        "slo_ms": 500,
        "priority": 1,
        "service": "plain",
        "max_attempts": 3,
        **more,
    }


def make_configuration(version: int = 1, **more: object) -> dict[str, object]:
    """Return a configuration as the operators write it."""
    engine = {"service": "engine", "sticky": True, "sizes": MODELS}
    return {
        "version": version,
        "routes": [
            route("/safe/", "idempotent"),
            route("/unsafe/", "non_idempotent", max_attempts=1),
            route("/open/", "idempotent", public=True),
            route("/stream/", "streaming", resumable=True, **engine),
            route("/once/", "streaming", **engine),
        ],
        "services": [
            {"name": "plain", "health_path": "/health", "max_conns": 96},
            {"name": "engine", "health_path": "/health", "max_conns": 96},
        ],
        "limits": {"max_body_bytes": 10_000, "idle_timeout_ms": 15_000},
        "tenants": [{"name": "metro", "api_keys": [KEY], "priority": None}],
        **more,
    }


class Site:
    """Hold the parts of an installation and find them by name."""

    def __init__(self, store: FakeStore) -> None:
        self.store = store
        self.instances: list[Instance] = []
        self.settings: list[InstanceSettings] = []
        self.backends: list[FakeBackend] = []
        self.stacks: list[contextlib.AsyncExitStack] = []
        self.zones = {"a": "north", "b": "north", "c": "south", "d": "east"}
        """Areas by failure domain."""
        self.gossip_port = own_network().give_port()

    def configure(self, version: int = 1, **more: object) -> None:
        """Publish a configuration."""
        self.store.put(OPERATORS, "config", make_configuration(version, **more))

    async def add_backend(self, id: str, **settings: Any) -> FakeBackend:
        """Start a backend server and enter it into the store."""
        backend = await FakeBackend(id, **settings).start()
        self.backends.append(backend)
        self.store.put(BACKENDS, id, backend.record)
        return backend

    def evacuate(self, zone: str) -> None:
        """Ask that a zone's backend servers get nothing more."""
        self.store.put(OPERATORS, f"evacuate/{zone}", {})

    def end_evacuation(self, zone: str) -> None:
        """Open a zone again."""
        self.store.put(OPERATORS, f"evacuate/{zone}", b"")

    async def add_instance(
        self,
        name: str = "i1",
        *,
        ip: str = "127.0.0.1",
        off: DisabledMechanisms = NONE_DISABLED,
        zone: str = "a",
    ) -> int:
        """Start an instance, some mechanisms switched off; return its index."""
        ports = own_network().give_ports(4)
        # The last byte names the host; the network is this run's own.
        ip = own_network().give_host(int(ip.rpartition(".")[2]))
        text = {
            "node_name": name,
            "ip": ip,
            "zone": zone,
            "region": self.zones.get(zone, ""),
            "zones": self.zones,
            "listen": {
                "front": f"{ip}:{ports[0]}",
                "ready": f"{ip}:{ports[1]}",
                "directory": f"{ip}:{ports[2]}",
                "control": f"{ip}:{self.control_port(ports[3])}",
            },
            "internal_ports": [self.gossip_port, self.gossip_port],
            "seeds": [s.control_address for s in self.settings],
            "provider": {"address": self.store.address},
            "guarantees": {"revoke_ms": 2000, "grace_s": 3},
        }
        settings = msgspec.structs.replace(
            parse_settings(json.dumps(text).encode(), "test"), off=off
        )
        outside = Adapters(
            store=PlatformStore(address=settings.store_address, connect_s=0.3),
            formats=PlatformRecordFormat(),
            wire=PlatformWireFormat(),
            make_interface=lambda is_ready, find: PlatformInterface(
                is_ready=is_ready, find_addresses=find
            ),
        )
        instance = Instance(settings=settings, adapters=outside)
        stack = contextlib.AsyncExitStack()
        await instance.start(stack)
        self.instances.append(instance)
        self.settings.append(settings)
        self.stacks.append(stack)
        return len(self.instances) - 1

    def control_port(self, fresh: int) -> int:
        """Return the control port, which is the same at all instances."""
        return self.settings[0].control_port if self.settings else fresh

    async def wait_ready(self, index: int = 0) -> None:
        """Wait until an instance serves and knows all backend servers."""
        knowledge = self.instances[index].replica
        await wait_for(
            lambda: (
                self.instances[index].is_ready
                and len(knowledge.backends) >= len(self.backends)
            )
        )
        await asyncio.sleep(0.15)

    async def call(self, path: str, *, index: int = 0, **more: Any) -> CallerResponse:
        """Send a request to an instance."""
        return await call(self.settings[index].callers_address, path, **more)

    async def call_model(self, path: str = "/stream/x", **more: Any) -> CallerResponse:
        """Send a request that a model answers with events."""
        fields = MODEL_FIELDS | more
        return await self.call(path, method="POST", body=b"{}", **fields)


async def wait_for(condition: Any, seconds: float = READY_TIMEOUT_S) -> None:
    """Wait until something holds; fail when it doesn't in time."""
    for _ in range(int(seconds / 0.02)):
        if condition():
            return
        await asyncio.sleep(0.02)
    raise AssertionError("it did not come to hold in time")


@contextlib.asynccontextmanager
async def open_site(
    *backends: FakeBackend | str,
    off: DisabledMechanisms = NONE_DISABLED,
    **more: object,
) -> AsyncIterator[Site]:
    """Open an installation with one instance that is ready.

    Backend servers are named by their service, a number and, if another than `a`, `@`
    and their failure domain; `more` goes into the configuration.
    """
    site = Site(await FakeStore().start())
    try:
        site.configure(**more)
        for each in backends:
            service = "engine" if str(each).startswith("e") else "plain"
            name, _, zone = str(each).partition("@")
            await site.add_backend(name, service=service, zone=zone or "a")
        await site.add_instance(off=off)
        await site.wait_ready()
        yield site
    finally:
        for stack in site.stacks:
            await stack.aclose()
        for backend in site.backends:
            backend.close()
        site.store.close()
