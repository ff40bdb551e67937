"""One installation under soak: the store, backend servers, proxies, real instances."""

from __future__ import annotations

import asyncio
import contextlib
import math
import random
from collections.abc import AsyncIterator, Iterator
from pathlib import Path

import msgspec
from tests.platform.fakes import (
    CrashMoment,
    FakeBackend,
    Framing,
    ReceivedRequest,
)
from tests.platform.fakestore import BACKENDS, OPERATORS, FakeStore
from tests.platform.site import TIME_LIMIT_MS, make_configuration, route

from baobabthread.standins.loopback import claim_network
from soak.history import (
    Brittle,
    Evacuated,
    Fault,
    History,
    Homes,
    Kind,
    Run,
    Withdrawal,
    now,
)
from soak.instances import (
    APPLY_S,
    AREAS,
    COLD_EXTRA,
    COLD_FACTOR,
    EVACUATION_S,
    RETRY_EXTRA,
    RETRY_RATIO,
    REVOCATION_S,
    SERVER_DOMAINS,
    Machine,
    Ports,
)
from soak.partitions import PARTITION, BackendPath, Cut
from soak.proxies import Proxy

SOUND = ("answer", "fail", "shed")
"""Ways to answer in which nothing is cut, mixed or lost."""
EVENTS = 8
EVENT_PAUSE_S = 0.02
WORK_S = 0.02
LEAVING = "draining"
"""State of a record whose server leaves."""
PLAIN = "plain"
ENGINE = "engine"


BRITTLE_SLOTS = 2
"""Requests that a brittle server runs at the same time."""
BRITTLE_WORK_S = 0.1
BRITTLE_BORNE = 2
"""Rejections within a second that it bears."""
BRITTLE_AFTER_S = 3.0
"""Time from the first word of it to the first rejection."""
UNLIMITED_ROOM = 10_000
NARROW_SLOTS = 2
NARROW_WORK_S = 0.2
"""Requests that a narrow server runs at the same time, and how long each takes."""
COLD_S = 3.0
"""Time for which a server is cold after a start that is played as one."""
COLD_RATE = 2.0
"""Requests a second that a cold server bears."""
CRASH_MARK = "crash"
"""Begins the bodies under which every server crashes."""
CRASH_PART = "dead"
"""Begins the parts of prompts under which every server crashes."""
CRASH_MOMENTS: tuple[CrashMoment, ...] = tuple(CrashMoment)
FRAMINGS: tuple[Framing, ...] = (Framing.CHUNKED, Framing.CHUNKED, Framing.CLOSE)
"""Taken in turn by the servers, so that a run has all of them."""
BACK_S = 0.7
"""Time after which a server that crashed is back, as another start of it."""
LAPSE_S = 0.8
"""Time after that in which its old record still stands."""


class Crashing(msgspec.Struct, frozen=True, kw_only=True):
    """Hold what callers ask for again though every server crashes under it."""

    kind: Kind
    account: str
    mark: str


class CrashingPart(msgspec.Struct, frozen=True, kw_only=True):
    """Hold a part of prompts under which every server crashes."""

    id: str


class Backend:
    """Hold one backend server and the proxy before it."""

    def __init__(self, *, fake: FakeBackend, proxy: Proxy) -> None:
        self.fake = fake
        self.proxy = proxy
        self.troubles = 0
        """Faults that are on at it now."""
        self.is_withdrawn = False
        """Whether it writes its record no more."""

    @property
    def is_sound(self) -> bool:
        """Tell whether it answers whole, in order, and can be reached."""
        return not self.troubles and self.fake.behaviour in SOUND


class Site:
    """Hold the parts of an installation, and note all that they see."""

    def __init__(self, *, seed: int, instances: int, folder: Path) -> None:
        self.rng = random.Random(seed)
        self.folder = folder
        self.history = History(
            seed=seed,
            last_event=EVENTS,
            time_limit_s=TIME_LIMIT_MS / 1000,
            revocation_s=REVOCATION_S,
            retry_ratio=RETRY_RATIO,
            retry_extra=RETRY_EXTRA,
            areas=AREAS,
            evacuation_s=EVACUATION_S,
            apply_s=APPLY_S,
            most_cold=COLD_RATE * COLD_FACTOR + COLD_EXTRA,
        )
        self.framings = FRAMINGS
        self.crash_moments = CRASH_MOMENTS
        self.crash_part = CRASH_PART
        """Start of the parts under which servers crash now; empty for none."""
        self._homes: tuple[str, ...] = ()
        self.machines: list[Machine] = []
        self.backends: dict[str, Backend] = {}
        self.store_proxies: list[Proxy] = []
        self.has_own_paths = False
        """Whether single instances can be partitioned from backend servers."""
        self.paths: dict[int, dict[str, BackendPath]] = {}
        """Paths of each instance by backend server."""
        self._brittle: dict[str, Brittle] = {}
        """Services whose servers are brittle now."""
        self._narrow: set[str] = set()
        """Services whose servers are narrow now."""
        self._ips: list[str] = []
        """Addresses of the instances."""
        self.added_routes: list[str] = []
        self.counted: tuple[str, ...] = ()
        """Whether a safeguard is watched or weakened, and which; else empty."""
        self._instances = instances
        self._version = 0
        self._number = 0
        self._keys: dict[str, list[str]] = {"metro": ["key-0"], "malls": ["key-1"]}
        self._next_key = 2
        self._returns: set[asyncio.Task[None]] = set()
        self._stack = contextlib.AsyncExitStack()
        self.network = claim_network()
        self._stack.callback(self.network.close)
        self.store = FakeStore(network=self.network)

    # -- life --

    async def start(self) -> None:
        """Start everything and wait until callers can be served."""
        await self.store.start()
        self._stack.callback(self.store.close)
        self.configure()
        for index in range(self._instances):
            self.paths[index] = {}
            self._ips.append(self.network.give_host(index + 2))
        for _ in range(3):
            await self.add_backend(PLAIN)
        for _ in range(3):
            await self.add_backend(ENGINE)
        await self._start_machines()
        await asyncio.sleep(1.5)

    async def _start_machines(self) -> None:
        ports = Ports(self.network.give_ports(5))
        for index, ip in enumerate(self._ips):
            proxy = Proxy(target=self.store.address, network=self.network)
            await proxy.start()
            self._stack.callback(proxy.close)
            self.store_proxies.append(proxy)
            machine = Machine(
                index=index,
                ip=ip,
                ports=ports,
                store_address=proxy.address,
                seeds=self._ips[:3],
                folder=self.folder,
                counted=self.counted,
                has_own_paths=self.has_own_paths,
            )
            self._stack.push_async_callback(machine.close)
            self.machines.append(machine)
        await asyncio.gather(*(machine.start() for machine in self.machines))

    async def close(self) -> None:
        """End every process and socket that was opened here."""
        for task in self._returns:
            task.cancel()
        await asyncio.gather(*self._returns, return_exceptions=True)
        for machine in self.machines:
            self.history.own_ends.extend(machine.own_ends)
        for backend in self.backends.values():
            backend.proxy.close()
            backend.fake.close()
        for paths in self.paths.values():
            for path in paths.values():
                path.close()
        await self._stack.aclose()

    # -- operators --

    @property
    def keys(self) -> list[str]:
        """Give the keys that count now."""
        return [key for keys in self._keys.values() for key in keys]

    def find_key(self, crashing: Crashing) -> str:
        """Return the key that the caller of a crashing request has now."""
        return self._keys[crashing.account][0]

    def make_crashing(self) -> Crashing:
        """Return a request under which every server crashes."""
        self._number += 1
        return Crashing(
            kind=self.rng.choice(list(Kind)),
            account=self.rng.choice(sorted(self._keys)),
            mark=f"{CRASH_MARK} {self._number}",
        )

    def make_crashing_part(self) -> CrashingPart:
        """Return a part of prompts under which every server crashes."""
        self._number += 1
        return CrashingPart(id=f"{CRASH_PART}{self._number:04x}")

    def set_crash_part(self, prefix: str) -> None:
        """Let all servers crash under parts that begin so; under none if empty."""
        self.crash_part = prefix
        for backend in self.backends.values():
            backend.fake.crash_part = prefix

    def configure(self) -> None:
        """Publish a configuration with the accounts and routes of now."""
        self._version += 1 + self.rng.randrange(3)
        configuration = make_configuration(self._version)
        routes = list(configuration["routes"])  # type: ignore[call-overload]
        routes += [route(f"/{name}/", "idempotent") for name in self.added_routes]
        for each in routes:
            if each["path_prefix"] == "/safe/":
                each["allowed_regions"] = list(self._homes)
        for service in configuration["services"]:  # type: ignore[attr-defined]
            service.update(cold_s=COLD_S, cold_per_s=COLD_RATE)
        configuration["routes"] = routes
        configuration["tenants"] = [
            {"name": name, "api_keys": keys} for name, keys in self._keys.items()
        ]
        for account, keys in self._keys.items():
            for key in keys:
                self.history.account_of[key] = account
        self.store.put(OPERATORS, "config", configuration)

    def add_route(self) -> str:
        """Publish one route more."""
        name = f"added{self._version}"
        self.added_routes.append(name)
        self.configure()
        return name

    def revoke_key(self) -> None:
        """Take one key away and give its account another one."""
        account = self.rng.choice(sorted(self._keys))
        old = self._keys[account][0]
        self._keys[account] = [f"key-{self._next_key}"]
        self._next_key += 1
        self.configure()
        self.history.revoked[old] = now()

    @contextlib.contextmanager
    def evacuate(self, failure_domain: str) -> Iterator[None]:
        """Evacuate a failure domain while the block runs."""
        key = f"evacuate/{failure_domain}"
        self.store.put(OPERATORS, key, {})
        evacuated = Evacuated(failure_domain=failure_domain, from_s=now())
        self.history.evacuated.append(evacuated)
        try:
            yield
        finally:
            evacuated.to_s = now()
            self.store.put(OPERATORS, key, b"")

    def list_evacuated(self) -> set[str]:
        """Return the failure domains that are evacuated now."""
        open_ended = [e for e in self.history.evacuated if e.to_s == math.inf]
        return {each.failure_domain for each in open_ended}

    def change_homes(self, *areas: str) -> None:
        """Publish other homes of one route."""
        self._homes = areas
        self.configure()
        word = Homes(kind=Kind.SAFE, from_s=now(), areas=areas)
        self.history.homes.append(word)

    # -- backend servers --

    async def add_backend(
        self, service: str, version: str = "v1", *, cold_s: float = 0.0
    ) -> Backend:
        """Start a backend server and enter it into the store."""
        self._number += 1
        id = f"{service[0]}{self._number}"
        domain = SERVER_DOMAINS[self._number % len(SERVER_DOMAINS)]
        fake = FakeBackend(
            id,
            service=service,
            version=version,
            zone=domain,
            cold_s=cold_s,
            network=self.network,
        )
        fake.events = EVENTS
        fake.pause_s = EVENT_PAUSE_S if service == ENGINE else WORK_S
        fake.on_arrival = self._note_run
        fake.crash_on = CRASH_MARK.encode()
        fake.crash_part = self.crash_part
        fake.crash_moment = self.crash_moments[self._number % len(self.crash_moments)]
        fake.framing = self.framings[self._number % len(self.framings)]
        fake.on_crash = self._take_crash
        await fake.start()
        proxy = await Proxy(target=fake.address, network=self.network).start()
        backend = Backend(fake=fake, proxy=proxy)
        self.backends[id] = backend
        if service in self._brittle:
            self._make_brittle(backend)
        if service in self._narrow:
            fake.pause_s = NARROW_WORK_S
        if self.has_own_paths:
            await self._open_paths(backend)
        self.publish_backend(backend)
        return backend

    async def _open_paths(self, backend: Backend) -> None:
        """Give each instance a path of its own to a backend server."""
        target = backend.proxy.address
        for index, paths in self.paths.items():
            path = BackendPath(ip=self._ips[index], target=target, network=self.network)
            await path.start()
            cut = next((each.cut for each in paths.values() if each.cut), None)
            if cut is not None:
                path.interrupt(cut)
            paths[backend.fake.id] = path

    def publish_backend(self, backend: Backend, **more: object) -> None:
        """Write a backend server's record, which names its proxy's address."""
        if backend.is_withdrawn:
            return
        record = backend.fake.record | {"address": backend.proxy.address} | more
        if backend.fake.service in self._brittle:
            record["slots"] = BRITTLE_SLOTS
        elif backend.fake.service in self._narrow:
            record["slots"] = NARROW_SLOTS
        self.store.put(BACKENDS, backend.fake.id, record)
        if record["state"] == LEAVING:
            self._note_withdrawal(backend)

    def withdraw_record(self, backend: Backend) -> None:
        """Remove the record of a server that serves on."""
        backend.is_withdrawn = True
        self.store.put(BACKENDS, backend.fake.id, b"")
        self._note_withdrawal(backend)

    def _note_withdrawal(self, backend: Backend) -> None:
        word = Withdrawal(backend=backend.fake.id, at=now())
        self.history.withdrawals.append(word)

    def is_changed(self, service: str) -> bool:
        """Tell whether the servers of a service are brittle or narrow now."""
        return service in self._brittle or service in self._narrow

    @contextlib.contextmanager
    def make_narrow(self, service: str) -> Iterator[int]:
        """Let servers of a service run few requests at once while the block runs."""
        self._narrow.add(service)
        self._set_work(service, NARROW_WORK_S, seq=2)
        try:
            yield NARROW_SLOTS
        finally:
            self._narrow.remove(service)
            self._set_work(service, WORK_S, seq=3)

    def _set_work(self, service: str, work_s: float, *, seq: int) -> None:
        for backend in self.backends.values():
            if backend.fake.service == service:
                backend.fake.pause_s = work_s
                self.publish_backend(backend, seq=seq)

    @contextlib.asynccontextmanager
    async def make_brittle(self, service: str) -> AsyncIterator[None]:
        """Let the servers of a service be brittle, and strict once all know of it."""
        backends = [b for b in self.backends.values() if b.fake.service == service]
        word = Brittle(service=service, servers=len(backends), from_s=now())
        self.history.brittle.append(word)
        self._brittle[service] = word
        for backend in backends:
            self._make_brittle(backend)
            self.publish_backend(backend, seq=2)
        await asyncio.sleep(BRITTLE_AFTER_S)
        for backend in self.backends.values():
            if backend.fake.service == service:
                backend.fake.room = BRITTLE_SLOTS
        try:
            yield
        finally:
            word.to_s = now()
            del self._brittle[service]
            for backend in self.backends.values():
                if backend.fake.service == service:
                    backend.fake.brittle = None
                    backend.fake.pause_s = WORK_S
                    self.publish_backend(backend, seq=3)

    def _make_brittle(self, backend: Backend) -> None:
        backend.fake.brittle = BRITTLE_BORNE
        word = self._brittle[backend.fake.service]
        is_strict = now() - word.from_s >= BRITTLE_AFTER_S
        backend.fake.room = BRITTLE_SLOTS if is_strict else UNLIMITED_ROOM
        backend.fake.pause_s = BRITTLE_WORK_S

    def remove_backend(self, backend: Backend) -> None:
        """Let a backend server and its record go."""
        self.store.put(BACKENDS, backend.fake.id, b"")
        backend.fake.close()
        backend.proxy.close()
        self.backends.pop(backend.fake.id, None)
        self._close_paths(backend)

    def _close_paths(self, backend: Backend) -> None:
        # An open one would accept connections for a server that refuses them.
        for paths in self.paths.values():
            path = paths.pop(backend.fake.id, None)
            if path is not None:
                path.close()

    def pick_backend(self, service: str | None = None) -> Backend | None:
        """Return a backend server whose loss leaves two of its service."""
        able = []
        for backend in self.backends.values():
            of_service = backend.fake.service
            fellows = [
                b
                for b in self.backends.values()
                if b.fake.service == of_service and b.is_sound
            ]
            if service in (None, of_service) and backend.is_sound and len(fellows) > 2:
                able.append(backend)
        return self.rng.choice(able) if able else None

    def _take_crash(self, fake: FakeBackend) -> None:
        backend = self.backends.get(fake.id)
        if backend is not None:
            if fake.falls:
                self.history.brittle[-1].falls.append(fake.id)
            backend.troubles += 1
            # The kernel closes the connections of a process that ends, as it would
            # after a whole response.
            backend.proxy.stop_listening()
            for paths in self.paths.values():
                if fake.id in paths:
                    paths[fake.id].stop_listening()
            self._returns.add(asyncio.ensure_future(self._bring_back(backend)))

    async def _bring_back(self, backend: Backend) -> None:
        await asyncio.sleep(BACK_S)
        await self.add_backend(backend.fake.service, backend.fake.version)
        await asyncio.sleep(LAPSE_S)
        self.remove_backend(backend)

    def _note_run(
        self, backend: FakeBackend, seen: ReceivedRequest, executed: bool
    ) -> None:
        headers = seen.headers
        held = self.backends.get(backend.id)
        self.history.runs.append(
            Run(
                id=headers.get("x-attempt-id", ""),
                backend=backend.id,
                service=backend.service,
                version=backend.version,
                at=now(),
                executed=executed,
                sound=held is not None and held.is_sound,
                account=headers.get("x-tenant", ""),
                leaked="authorization" in headers,
                failure_domain=backend.zone,
                is_cold=bool(backend.cold_left_s),
                crashes=executed and backend.crashes_under(seen),
                limit=float(seen.limits[0]) if seen.limits else None,
                leaving=("Server-Leaving", "1") in seen.notices,
                rest_s=None if executed else _find_rest(seen),
                running=backend.running + 1,
            )
        )

    # -- faults --

    def is_partitioned(self, index: int) -> bool:
        """Tell whether an instance is cut off from backend servers."""
        return any(path.cut for path in self.paths[index].values())

    @contextlib.asynccontextmanager
    async def partition(self, cut: Cut, *indexes: int) -> AsyncIterator[None]:
        """Cut instances off from all backend servers while the block runs."""
        with contextlib.ExitStack() as notes:
            for index in indexes:
                notes.enter_context(self.note(f"{PARTITION} {cut}", index))
                for path in self.paths[index].values():
                    path.interrupt(cut)
            try:
                yield
            finally:
                for index in indexes:
                    for path in list(self.paths[index].values()):
                        await path.heal()

    @contextlib.contextmanager
    def note(self, name: str, instance: int | None = None) -> Iterator[None]:
        """Note that a fault is on while the block runs."""
        fault = Fault(name=name, began_at=now(), instance=instance)
        self.history.faults.append(fault)
        try:
            yield
        finally:
            fault.ended_at = now()


def _find_rest(seen: ReceivedRequest) -> float | None:
    """Return the rest that the response to a request asks for, in seconds."""
    value = dict(seen.notices).get("Retry-After")
    return None if value is None else float(value)
