"""Connections to the backend servers, direct or relayed by a peer."""

from __future__ import annotations

import asyncio
import contextlib
import functools
from asyncio.staggered import staggered_race
from collections.abc import Awaitable, Callable, Collection, Coroutine
from typing import Any, cast

from baobabthread.core.membership.messages import MemberInfo
from baobabthread.instance.clock import now
from baobabthread.instance.servers.connections import (
    Connection,
    NotSentError,
    Obstacle,
    WithheldError,
)
from baobabthread.instance.servers.relay import RelayStatus
from baobabthread.instance.servers.relayhandshake import RelayError, RelayHandshake
from baobabthread.instance.timeouts import limit_silence
from baobabthread.logs import log_event
from baobabthread.routing.configuration import BackendRecord
from baobabthread.routing.regions import AllowedRegions, Regions
from baobabthread.routing.servers.paths import (
    MayCarry,
    PathLoss,
    PathTable,
    Relay,
    RelayTable,
    carry_anywhere,
)

CONNECT_TIMEOUT_S = 0.4
"""Timeout for opening a connection, which usually takes a few milliseconds. A lost
first packet is retransmitted only after a second; another way is tried before that."""
STAGGER_S = 0.2
"""Time after which a connection that is not established yet gets an alternative. A
processor quota may hold the process up for half of it."""
PARTITIONED_STAGGER_S = 0.05
"""The same while other paths of this instance are lost."""
RELAYED_CONNECT_TIMEOUT_S = 0.15
"""Timeout for a connection on behalf of a peer, which still learns of the failure
within its own timeout."""
TICK_INTERVAL_S = 0.25
MAX_PROBES_PER_TICK = 3
MAX_CHECKS_PER_TICK = 3
MIN_CHECK_INTERVAL_S = 1.0
"""Shortest time between two checks of the path to one server."""
MAX_WAITING_CHECKS = 64

MakeConnection = Callable[[], Connection]
Probe = Callable[[], Awaitable[object]]
"""Open a connection to a server over any path and keep it for a request."""


def _ignore() -> None:
    """Do nothing."""


class PathConnector:
    """Open connections to one backend server, over any path that there is."""

    __slots__ = ("_paths", "_record")

    def __init__(self, *, record: BackendRecord, paths: Paths) -> None:
        self._record = record
        self._paths = paths

    async def open(
        self, make: MakeConnection, allowed_regions: AllowedRegions
    ) -> Connection:
        """Return a new connection; raise `NotSentError` if there is none."""
        return await self._paths.open(self._record, make, allowed_regions)

    def may_reuse(self, connection: Connection) -> bool:
        """Return whether an idle connection may carry another request."""
        return self._paths.may_reuse(self._record.incarnation, connection)

    def may_carry(
        self, connection: Connection, allowed_regions: AllowedRegions
    ) -> bool:
        """Return whether a connection stays within the regions of a request."""
        return self._paths.may_carry(connection, allowed_regions)


class Paths:
    """Open connections to the backend servers and watch the paths to them."""

    def __init__(
        self,
        *,
        me: str,
        ip: str,
        failure_domain: str,
        regions: Regions,
        find_backend: Callable[[str], BackendRecord | None],
        find_obstacle: Callable[[str], Obstacle | None],
    ) -> None:
        self._ip = ip
        self._regions = regions
        self._find_backend = find_backend
        self._find_obstacle = find_obstacle
        self._checks: dict[str, Probe] = {}
        """Checks of suspected paths that have not started yet."""
        self._checked_at: dict[str, float] = {}
        self._tasks: set[asyncio.Task[object]] = set()
        self.on_first_lost: Callable[[], None] = lambda: None
        """Called when a path is lost while no other one is."""
        self.on_departure: Callable[[str, str], object] = lambda server, peer: None
        """Called with a server's incarnation and the peer that says that it leaves."""
        self.table = PathTable()
        self.relays = RelayTable(me=me, failure_domain=failure_domain)
        self.sent = {"direct": 0, "relayed": 0}
        """Requests sent since the start, by the path of their connection."""

    def retain(self, records: Collection[BackendRecord]) -> None:
        """Track the paths to these servers only."""
        names = {record.incarnation for record in records}
        self.table.retain(names)
        for name in [name for name in self._checked_at if name not in names]:
            del self._checked_at[name]

    def set_members(
        self, members: Collection[MemberInfo], partitioned: Collection[str]
    ) -> None:
        """Update the peers that may relay; `partitioned` names those cut off."""
        self.relays.update(
            [
                Relay(
                    name=member.name,
                    address=member.peer_address,
                    failure_domain=member.failure_domain,
                    is_partitioned=member.name in partitioned,
                )
                for member in members
            ]
        )

    def make_connector(self, record: BackendRecord) -> PathConnector:
        """Return what opens the connections to a backend server."""
        return PathConnector(record=record, paths=self)

    def may_reuse(self, name: str, connection: Connection) -> bool:
        """Return whether an idle connection to a server may be used."""
        loss = self.table.find_loss(name)
        if not connection.relay:
            return loss is not PathLoss.ALL
        return loss is not None and self.relays.may_use(connection.relay, name, now())

    def may_carry(
        self, connection: Connection, allowed_regions: AllowedRegions
    ) -> bool:
        """Return whether a connection stays within the regions of a request."""
        if allowed_regions is None or not connection.relay:
            return True
        return self.relays.permits(connection.relay, self._make_filter(allowed_regions))

    def list_out_of_reach(self, allowed_regions: AllowedRegions) -> frozenset[str]:
        """Return the servers that only peers outside the regions of a request reach."""
        if not self.table.lost or self.relays.permits_any(
            self._make_filter(allowed_regions)
        ):
            return frozenset()
        return frozenset(self.table.lost)

    def _make_filter(self, allowed_regions: AllowedRegions) -> MayCarry:
        if allowed_regions is None:
            return carry_anywhere
        return functools.partial(self._regions.may_serve, allowed_regions)

    def count_sent(self, connection: Connection) -> None:
        """Count a request by the path of its connection."""
        self.sent["relayed" if connection.relay else "direct"] += 1

    async def open(
        self,
        record: BackendRecord,
        make: MakeConnection,
        allowed_regions: AllowedRegions = None,
    ) -> Connection:
        """Return a connection to a server over the first path that is established.

        It leads through no peer outside the allowed regions.
        """
        made: list[Connection] = []

        def make_tracked() -> Connection:
            connection = make()
            made.append(connection)
            return connection

        try:
            return await self._open_first(record, make_tracked, allowed_regions)
        except asyncio.CancelledError:
            # One may have been established just as its request was cancelled.
            for connection in made:
                connection.abort()
            raise

    async def _open_first(
        self,
        record: BackendRecord,
        make: MakeConnection,
        allowed_regions: AllowedRegions,
    ) -> Connection:
        name = record.incarnation
        if self.table.is_unreachable(name, now()):
            raise NotSentError(
                f"no path to {record.address}", is_refused=self.table.was_refused(name)
            )
        deadline = now() + CONNECT_TIMEOUT_S
        loss = self.table.find_loss(name)
        may_carry = self._make_filter(allowed_regions)
        relays = self.relays.choose(
            name, record.failure_domain, now(), may_carry=may_carry
        )
        ways = [
            functools.partial(self._open_relayed, relay, name, make, deadline)
            for relay in relays
        ]
        if loss is None or not ways:
            ways.insert(0, functools.partial(self._open_direct, record, make))
        stagger_s = PARTITIONED_STAGGER_S if self.table.lost else STAGGER_S
        winner, _, errors = await staggered_race(ways, stagger_s)
        if winner is None:
            error = self._explain(errors)
            if self.relays.permits_all(may_carry):
                self.table.record_unreachable(name, now(), is_refused=error.is_refused)
            else:
                # Peers that were not asked may reach it.
                error.is_refused = False
                self.check(name, functools.partial(self._find_path, record))
            raise error
        connection = cast(Connection, winner)
        if connection.relay and loss is None:
            self._record_lost(record, connection.relay, errors[0])
        return connection

    async def open_direct(
        self, name: str, make: Callable[[], asyncio.Protocol]
    ) -> asyncio.Transport:
        """Connect to a listed server without any help, on behalf of a peer.

        Raises `KeyError` if it isn't listed, `WithheldError` if it must get nothing
        new, and `NotSentError` if it isn't reached.
        """
        record = self._find_backend(name)
        if record is None:
            raise KeyError(name)
        obstacle = self._find_obstacle(name)
        if obstacle is not None:
            raise WithheldError(obstacle)
        if self.table.find_loss(name) or self.table.is_unreachable(name, now()):
            raise NotSentError(f"no path to {record.address}")
        try:
            transport, _ = await self._connect(
                record, make, timeout_s=RELAYED_CONNECT_TIMEOUT_S
            )
        except NotSentError as error:
            # Nothing tells the refusal of a server from that of a partition.
            error.is_refused = error.is_refused and not self.table.is_partitioned
            raise
        return transport

    def check(self, name: str, probe: Probe) -> None:
        """Check the path to a server that has been silent.

        `probe` opens a connection of its own, so that no request waits for the result.
        """
        if len(self._checks) >= MAX_WAITING_CHECKS:
            return
        if now() - self._checked_at.get(name, -1e9) >= MIN_CHECK_INTERVAL_S:
            self._checks.setdefault(name, probe)

    def avoid_relay(self, relay: str, name: str) -> None:
        """Use another peer for a server after a relayed connection was silent."""
        self.relays.avoid(relay, now(), server=name)

    async def run(self) -> None:
        """Check suspected paths and probe lost ones until cancelled."""
        while True:
            for name in list(self._checks)[:MAX_CHECKS_PER_TICK]:
                self._start(self._check(name, self._checks.pop(name)))
            for name in self.table.take_due(now(), MAX_PROBES_PER_TICK):
                self._start(self._probe_direct(name))
            await asyncio.sleep(TICK_INTERVAL_S)

    def close(self) -> None:
        """Cancel all running checks."""
        for task in self._tasks:
            task.cancel()

    def _start(self, work: Coroutine[Any, Any, object]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _check(self, name: str, probe: Probe) -> None:
        self._checked_at[name] = now()
        if await self._probe_direct(name):
            return
        await probe()
        if self.table.find_loss(name) is not None:
            # Open connections were silent before: they must not be used any more.
            self.table.record_lost(name, PathLoss.ALL, now())

    async def _find_path(self, record: BackendRecord) -> None:
        """Open a connection over any path, without a request, and close it."""
        with contextlib.suppress(NotSentError):
            connection = await self.open(record, lambda: Connection(on_bytes=_ignore))
            connection.close_idle()

    async def _probe_direct(self, name: str) -> bool:
        """Return whether a direct connection to a server can be established."""
        record = self._find_backend(name)
        if record is None:
            return False
        try:
            transport, _ = await self._connect(record, asyncio.Protocol)
        except NotSentError:
            return False
        transport.close()
        return True

    async def _open_direct(
        self, record: BackendRecord, make: MakeConnection
    ) -> Connection:
        _, protocol = await self._connect(record, make)
        return cast(Connection, protocol)

    async def _connect(
        self,
        record: BackendRecord,
        make: Callable[[], asyncio.Protocol],
        *,
        timeout_s: float = CONNECT_TIMEOUT_S,
    ) -> tuple[asyncio.Transport, asyncio.Protocol]:
        host, _, port = record.address.rpartition(":")
        loop = asyncio.get_running_loop()
        try:
            async with limit_silence(timeout_s):
                opened = await loop.create_connection(make, host, int(port))
        except (OSError, TimeoutError) as error:
            self.table.record_failed(record.incarnation, now())
            raise NotSentError(
                f"no connection to {record.address}: {error or type(error).__name__}",
                is_refused=isinstance(error, ConnectionRefusedError),
            ) from error
        if self.table.record_connected(record.incarnation, now()):
            log_event("path_restored", backend=record.id)
        return opened

    async def _open_relayed(
        self, relay: Relay, name: str, make: MakeConnection, deadline: float
    ) -> Connection:
        if now() >= deadline:
            raise RelayError(relay, None, "no time left")
        host, _, port = relay.address.rpartition(":")
        loop = asyncio.get_running_loop()
        handshake = RelayHandshake(name)
        transport: asyncio.Transport | None = None
        try:
            async with limit_silence(deadline - now()):
                # Peers accept connections from the addresses of members only.
                transport, _ = await loop.create_connection(
                    lambda: handshake, host, int(port), local_addr=(self._ip, 0)
                )
                status = await handshake.reply
        except (OSError, TimeoutError) as error:
            # A peer that accepted the connection waits for the server itself.
            server = name if transport is not None else ""
            self.relays.avoid(relay.name, now(), server=server)
            if transport is not None:
                transport.abort()
            reason = str(error) or type(error).__name__
            raise RelayError(relay, None, reason) from error
        except BaseException:
            if transport is not None:
                transport.abort()
            raise
        if status is not RelayStatus.CONNECTED or transport.is_closing():
            transport.abort()
            self._record_denied(relay, name, status)
            reason = status.name.lower() if status is not None else "connection lost"
            raise RelayError(relay, status, reason)
        connection = make()
        connection.relay = relay.name
        transport.set_protocol(connection)
        connection.connection_made(transport)
        return connection

    def _record_denied(
        self, relay: Relay, name: str, status: RelayStatus | None
    ) -> None:
        if status is RelayStatus.LEAVING:
            self.on_departure(name, relay.name)
        if status in (RelayStatus.NO_ROOM, None):
            self.relays.avoid(relay.name, now())
        else:
            is_certain = status is not RelayStatus.UNREACHABLE
            self.relays.avoid(relay.name, now(), server=name, is_certain=is_certain)

    def _record_lost(
        self, record: BackendRecord, relay: str, error: BaseException | None
    ) -> None:
        is_first = not self.table.lost
        if self.table.record_lost(record.incarnation, PathLoss.NEW_CONNECTIONS, now()):
            log_event(
                "path_lost",
                level="warning",
                backend=record.id,
                reason=str(error or "") or "slower than a relayed connection",
                relay=relay,
                lost=len(self.table.lost),
            )
            if is_first:
                self.on_first_lost()

    def _explain(self, errors: list[Exception | None]) -> NotSentError:
        """Return the error for a server that no path reaches."""
        found = [error for error in errors if isinstance(error, NotSentError)]
        judges = [error for error in found if isinstance(error, RelayError)]
        # A partition may refuse connections as well, so the word of a peer counts.
        is_refused = any(e.is_refused for e in (judges or found))
        return NotSentError(
            "; ".join(str(error) for error in found) or "no path",
            is_refused=is_refused,
        )
