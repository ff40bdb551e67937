"""All stand-ins that a configuration names, in one process on one loop."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Iterable, Mapping
from typing import Any

from absl import logging

from baobabthread.core.configuration.configuration import (
    Backend,
    Configuration,
    ServiceKind,
    merge_sections,
    parse_section,
)
from baobabthread.errors import UsageError
from baobabthread.ports.roster import Instance, Role
from baobabthread.standins.answers import DEFAULT_STRENGTH, spread_strengths
from baobabthread.standins.engine import EngineServer
from baobabthread.standins.plain import PlainServer
from baobabthread.standins.platform import PlatformServer
from baobabthread.standins.server import Server

TOKENS_PER_S = 4000.0


class Fleet:
    """Run the platform and every backend server of a configuration."""

    __slots__ = (
        "_stack",
        "backends",
        "configuration",
        "host",
        "keep_ports",
        "platform",
        "seed",
        "strengths",
        "tokens_per_s",
    )

    def __init__(
        self,
        *,
        configuration: Configuration | None = None,
        texts: Iterable[str] = (),
        host: str = "127.0.0.1",
        port: int = 0,
        keep_ports: bool = True,
        seed: int = 0,
        strengths: Mapping[str, float] | None = None,
        tokens_per_s: float = TOKENS_PER_S,
    ) -> None:
        self.configuration = configuration or merge_texts(texts)
        self.host = host
        self.keep_ports = keep_ports
        """Listen at the configuration's addresses, not at free ports."""
        self.seed = seed
        self.tokens_per_s = tokens_per_s
        self.strengths = {**choose_strengths(self.configuration), **(strengths or {})}
        self.platform = PlatformServer(host=host, port=port, seed=seed)
        self.backends: dict[str, Server] = {}
        self._stack: contextlib.AsyncExitStack | None = None

    @property
    def url(self) -> str:
        """Return the platform's base URL."""
        return self.platform.url

    log_url = url
    roster_url = url
    ratings_url = url
    weights_url = url

    def engine(self, name: str) -> EngineServer:
        """Return the model engine of that name."""
        server = self.backends[name]
        assert isinstance(server, EngineServer)
        return server

    def plain(self, name: str) -> PlainServer:
        """Return the plain service's server of that name."""
        server = self.backends[name]
        assert isinstance(server, PlainServer)
        return server

    async def start(self) -> None:
        """Start the platform, then the backend servers, and list them as live."""
        async with contextlib.AsyncExitStack() as stack:
            await self._enter(stack, self.platform)
            for name, backend in self.configuration.backends.items():
                server = self._make_backend(name, backend)
                await self._enter(stack, server)
                self.backends[name] = server
            self._list_backends()
            self._stack = stack.pop_all()

    async def stop(self) -> None:
        """Stop all stand-ins."""
        stack, self._stack = self._stack, None
        if stack is not None:
            await stack.aclose()

    async def __aenter__(self) -> Fleet:
        await self.start()
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.stop()

    async def _enter(self, stack: contextlib.AsyncExitStack, server: Server) -> None:
        try:
            await server.start()
        except OSError as error:
            raise UsageError(
                f"'{server.name}' can't listen at {server.address} ({error.strerror})",
                remedy="give an address of this host with a free port",
            ) from error
        stack.push_async_callback(server.stop)

    def _make_backend(self, name: str, backend: Backend) -> Server:
        host, port = self.host, 0
        if self.keep_ports:
            host, _, text = backend.address.rpartition(":")
            port = int(text)
        place: dict[str, Any] = {
            "name": name,
            "host": host,
            "port": port,
            "seed": self.seed,
        }
        service = self.configuration.services[backend.service]
        if service.kind is ServiceKind.PLAIN:
            return PlainServer(capacity=backend.capacity, **place)
        return EngineServer(
            versions=backend.versions,
            strengths=self.strengths,
            capacity=backend.capacity,
            tokens_per_s=self.tokens_per_s,
            checks_fencing=backend.checks_fencing,
            weights_url=self.weights_url,
            **place,
        )

    def _list_backends(self) -> None:
        instances = [
            Instance(
                name=name,
                role=Role.BACKEND,
                address=self.backends[name].address,
                failure_domain=backend.failure_domain,
            )
            for name, backend in self.configuration.backends.items()
        ]
        self.platform.roster.begin(instances)


def merge_texts(texts: Iterable[str]) -> Configuration:
    """Return the configuration that texts make together."""
    sections = {str(place): parse_section(text) for place, text in enumerate(texts)}
    return merge_sections(generation=0, sections=sections)


def choose_strengths(configuration: Configuration) -> dict[str, float]:
    """Return each version's strength: by its place in the cascade, or as the old."""
    strengths: dict[str, float] = {}
    for service in configuration.services.values():
        if service.cascade:
            strengths.update(spread_strengths(service.cascade))
    for rollout in configuration.rollouts.values():
        old = strengths.get(rollout.old, DEFAULT_STRENGTH)
        strengths.setdefault(rollout.new, old)
    for name in configuration.versions:
        strengths.setdefault(name, DEFAULT_STRENGTH)
    return strengths


async def run_fleet(
    *,
    configuration: Configuration | None,
    host: str,
    port: int,
    seed: int,
    stop: asyncio.Event,
) -> None:
    """Run the stand-ins until told to stop."""
    fleet = Fleet(configuration=configuration, host=host, port=port, seed=seed)
    async with fleet:
        backends = ",".join(
            f"{name}={server.address}" for name, server in fleet.backends.items()
        )
        logging.info(
            "event=standins_ready platform=%s seed=%d backends=%s",
            fleet.url,
            seed,
            backends or "none",
        )
        await stop.wait()
    logging.info("event=standins_stopped platform=%s", fleet.url)
