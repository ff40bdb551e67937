"""One entry instance: the core's decisions, joined to sockets and clocks."""

from __future__ import annotations

import asyncio
import contextlib
import random
import secrets
import time
from collections.abc import Callable, Sequence
from typing import Any

import aiohttp
from aiohttp import web

from baobabthread.adapters.channels import Channel
from baobabthread.adapters.codec import PeerCodec
from baobabthread.adapters.commits import GroupCommit
from baobabthread.adapters.connections import CallerServer, make_groups, serve
from baobabthread.adapters.dispatches import Dispatcher
from baobabthread.adapters.effects import EffectRunner
from baobabthread.adapters.engines import EngineClient, PlainClient, open_session
from baobabthread.adapters.exchanges import Exchanges
from baobabthread.adapters.metrics import open_metrics
from baobabthread.adapters.operators import OperatorServer
from baobabthread.adapters.peers import (
    PeerOutbox,
    PeerServer,
    build_client_tls,
    build_server_tls,
)
from baobabthread.adapters.platform import LogClient, RatingsClient, RosterClient
from baobabthread.adapters.pollers import (
    LoadPoller,
    RatingsPoller,
    RosterPoller,
    repeat,
)
from baobabthread.adapters.tails import Tail
from baobabthread.administration import EntryAdministration
from baobabthread.core.configuration.configuration import ServiceKind
from baobabthread.core.entry import CoreSettings, EntryCore
from baobabthread.core.events import (
    Tick,
)
from baobabthread.core.membership.addresses import (
    AddressSettings,
    Departure,
    DepartureState,
)
from baobabthread.core.membership.messages import MemberInfo
from baobabthread.core.messages import (
    LogRead,
    Stream,
)
from baobabthread.core.peermessages import PEER_MESSAGES
from baobabthread.core.sessions.tokens import SessionKey, SessionKeyRing
from baobabthread.errors import UnavailableError
from baobabthread.logs import log_event
from baobabthread.ports.roster import Instance, Role
from baobabthread.serving.groups import run_sweeps
from baobabthread.serving.shares import ListenerName
from baobabthread.settings import EntrySettings

TICK_S = 0.05
WAIT_STEP_S = 0.02
FORWARD_TIMEOUT_S = 120.0
HANDOVER_TIMEOUT_S = 5.0
ADDRESSES_PATH = "/v1/addresses"
HEALTH_PATH = "/healthz"

Runner = Callable[[Any], None]


class Entry:
    """Run one entry until it is told to stop."""

    def __init__(self, *, settings: EntrySettings) -> None:
        self.settings = settings
        self._stack = contextlib.AsyncExitStack()
        self._tasks: set[asyncio.Task[Any]] = set()
        self._offsets: dict[Stream, int] = {}
        self.departure = Departure(
            settings=AddressSettings(lifetime_s=settings.address_lifetime_s)
        )
        self.exchanges: Exchanges | None = None
        self._peer_server: PeerServer | None = None
        self.started_at = time.time()
        self.metrics = open_metrics(settings.statsd)
        self.incarnation = (
            f"{settings.name}-{int(self.started_at * 1000):x}{secrets.token_hex(3)}"
        )

    @property
    def now(self) -> Callable[[], float]:
        """Give the monotonic clock, in seconds."""
        return time.monotonic

    async def start(self) -> None:
        """Listen, join the others and follow the log."""
        settings = self.settings
        stack = self._stack
        session = await stack.enter_async_context(open_session())
        self.log = LogClient(session=session, url=settings.platform)
        self._roster = RosterClient(session=session, url=settings.platform)
        ratings = RatingsClient(session=session, url=settings.platform)
        self._engine = EngineClient(session=session)
        self._dispatcher = Dispatcher(
            engine=self._engine, plain=PlainClient(session=session), now=self.now
        )
        stack.callback(self.metrics.close)
        await self._listen()
        self.core = self._build_core()
        self._commits = {
            stream: GroupCommit(stream=stream, log=self.log, feed=self.feed)
            for stream in Stream
        }
        for commit in self._commits.values():
            stack.push_async_callback(commit.close)
        self._ratings = RatingsPoller(ratings=ratings, feed=self.feed)
        self.effects = EffectRunner(
            core=self.core,
            incarnation=self.incarnation,
            commits=self._commits,
            engine=self._engine,
            ratings=self._ratings,
            spawn=self._spawn,
        )
        await self._connect_peers()
        self._start_loops()
        self.departure.open()
        log_event(
            "entry_started",
            name=settings.name,
            incarnation=self.incarnation,
            address=self.address,
            peer_address=self.peer_address,
            failure_domain=settings.failure_domain,
        )

    def _build_core(self) -> EntryCore:
        settings = self.settings
        keys = [SessionKey(id=id_, secret=key) for id_, key in settings.session_keys]
        now = self.now()
        me = MemberInfo(
            name=settings.name,
            address=self.address,
            peer_address=self.peer_address,
            failure_domain=settings.failure_domain,
            incarnation=self.incarnation,
            started_at=self.started_at,
        )
        return EntryCore(
            me=me,
            seeds=tuple(str(peer) for peer in settings.peers),
            keys=SessionKeyRing(current=keys[0], previous=tuple(keys[1:])),
            rng=random.Random(settings.seed or self.incarnation),
            now=now,
            settings=CoreSettings(
                freshness_bound_s=settings.freshness_bound_s,
                address_lifetime_s=settings.address_lifetime_s,
                wall_offset_s=time.time() - now,
            ),
        )

    async def _listen(self) -> None:
        settings = self.settings
        cert = str(settings.tls_cert) if settings.tls_cert else None
        key = str(settings.tls_key) if settings.tls_key else None
        tls = build_server_tls(cert, key)
        groups = make_groups(settings)
        self.caller_connections = groups[ListenerName.ENTRY_CALLERS]
        callers = CallerServer(
            handler=self._handle_caller,
            group=self.caller_connections,
            max_body_bytes=settings.max_body_bytes,
        )
        peers = CallerServer(
            handler=self._handle_peer,
            group=groups[ListenerName.ENTRY_PEERS],
            max_body_bytes=settings.max_body_bytes,
            may_upgrade=True,
        )
        self._spawn(run_sweeps(list(groups.values())))
        self.address = await serve(self._stack, callers, settings.listen, tls)
        self.peer_address = await serve(self._stack, peers, settings.peer_listen, tls)

    async def _connect_peers(self) -> None:
        settings = self.settings
        ca = str(settings.tls_ca) if settings.tls_ca else None
        tls = build_client_tls(ca)
        connector = aiohttp.TCPConnector(limit=0, ssl=tls if tls else True)
        peer_session = await self._stack.enter_async_context(
            aiohttp.ClientSession(connector=connector)
        )
        scheme = "https" if settings.tls_cert else "http"
        codec = PeerCodec(types=PEER_MESSAGES)
        self.outbox = PeerOutbox(
            me=self.incarnation,
            codec=codec,
            session=peer_session,
            secret=settings.peer_secret,
            scheme=scheme,
            locate=self.effects.locate,
            deliver=self.effects.receive,
            fail=self.effects.fail_send,
        )
        self._stack.push_async_callback(self.outbox.close)
        self.administration = EntryAdministration(
            name=settings.name,
            incarnation=self.incarnation,
            started_at=self.started_at,
            core=self.core,
            departure=self.departure,
            effects=self.effects,
            log=self.log,
            outbox=self.outbox,
        )
        exchanges = Exchanges(
            core=self.core,
            settings=settings,
            incarnation=self.incarnation,
            dispatcher=self._dispatcher,
            operators=OperatorServer(
                administration=self.administration,
                root_key_sha256=settings.operator_key_sha256,
            ),
            peer_session=peer_session,
            scheme=scheme,
            metrics=self.metrics,
            feed=self.feed,
            run_effect=self.effects.run,
            locate=self.effects.locate,
            departure=self.departure,
        )
        self._peer_server = PeerServer(
            me=self.incarnation,
            codec=codec,
            secret=settings.peer_secret,
            deliver=self.effects.receive,
            serve_forwarded=exchanges.serve_forwarded,
        )
        self._stack.push_async_callback(self._peer_server.close)
        self.effects.outbox = self.outbox
        self.effects.exchanges = exchanges
        self.exchanges = exchanges

    def _start_loops(self) -> None:
        self._spawn(self._run_ticks())
        core = self.core
        offsets: dict[Stream, Callable[[], int]] = {
            Stream.CONFIGURATION: lambda: core.control.fold.seen_offset,
            Stream.CLAIMS: self._follow(Stream.CLAIMS),
            Stream.ROLLOUTS: self._follow(Stream.ROLLOUTS),
        }
        for stream, after in offsets.items():
            tail = Tail(
                stream=stream,
                log=self.log,
                feed=self._read_log,
                after=after,
                report=lambda reachable: None,
                now=self.now,
            )
            self._spawn(tail.run())
        roster = RosterPoller(roster=self._roster, feed=self.feed)
        loads = LoadPoller(
            engine=self._engine, feed=self.feed, addresses=self._list_engines
        )
        self._spawn(repeat("roster", roster.poll))
        self._spawn(repeat("loads", loads.poll))
        self._spawn(repeat("ratings", self._ratings.poll, period_s=0.5))
        self._spawn(repeat("registration", self._register, period_s=5.0))

    def _follow(self, stream: Stream) -> Callable[[], int]:
        return lambda: self._offsets.get(stream, 0)

    def _read_log(self, event: LogRead) -> None:
        if event.records and event.stream is not Stream.CONFIGURATION:
            self._offsets[event.stream] = event.records[-1].offset
        self.feed(event)

    async def _register(self) -> None:
        await self._roster.put(
            Instance(
                name=self.settings.name,
                role=Role.ENTRY,
                address=self.peer_address,
                failure_domain=self.settings.failure_domain,
            )
        )

    def _list_engines(self) -> Sequence[tuple[str, str]]:
        configuration = self.core.directory.configuration
        services = configuration.services
        return [
            (name, backend.address)
            for name, backend in configuration.backends.items()
            if services[backend.service].kind is ServiceKind.MODEL
        ]

    def _spawn(self, work: Any) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._note_done)

    def _note_done(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log_event("task_failed", level="error", reason=repr(task.exception()))

    async def _run_ticks(self) -> None:
        while True:
            try:
                self.feed(Tick())
            except Exception as error:
                # One fault in one tick would stop heartbeats, leases and bills for
                # good, in a process that still listens: peers and callers would wait
                # on it. The next tick may do better, and the log tells of this one.
                log_event("tick_failed", level="error", reason=repr(error))
            await asyncio.sleep(TICK_S)

    def feed(self, event: object) -> None:
        """Give the core an event and run what follows from it."""
        self.effects.feed(event)

    async def _handle_caller(self, request: web.BaseRequest) -> web.StreamResponse:
        if self.exchanges is None:
            return web.Response(status=503, text="starting\n")
        return await self.exchanges.handle(request)

    async def _handle_peer(self, request: web.BaseRequest) -> web.StreamResponse:
        if self._peer_server is None:
            return web.Response(status=503, text="starting\n")
        return await self._peer_server.handle(request)

    def _get_channels(self) -> dict[str, Channel]:
        return self.exchanges.channels if self.exchanges is not None else {}

    @property
    def leaving(self) -> bool:
        """Tell whether this entry is on its way out."""
        return self.departure.state is DepartureState.LEAVING

    @property
    def open_requests(self) -> int:
        """Count the callers that wait for an answer."""
        return len(self._get_channels())

    async def leave(self) -> None:
        """Stop gracefully: out of addresses, serve on, drain, hand over."""
        settings = self.settings
        self.departure.leave(time.monotonic())
        log_event("entry_leaving", name=settings.name, open=len(self._get_channels()))
        for effect in self.core.leave(time.monotonic()):
            self.effects.run(effect)
        with contextlib.suppress(UnavailableError, TimeoutError):
            async with asyncio.timeout(1.0):
                await self._roster.remove(settings.name)
        # Callers keep an answer that names this entry for its lifetime; closing the
        # port earlier would refuse connections that were promised.
        await asyncio.sleep(self.departure.closes_at() - time.monotonic())
        if self.exchanges is not None:
            self.exchanges.closing = True
        await self._drain(settings.drain_limit_s)
        for effect in self.core.hand_over(time.monotonic()):
            self.effects.run(effect)
        await self._settle(HANDOVER_TIMEOUT_S)
        self.departure.stop()
        log_event("entry_stopped", name=settings.name, open=len(self._get_channels()))

    async def _drain(self, limit_s: float) -> None:
        until = time.monotonic() + limit_s
        await _wait_until(lambda: not self._get_channels(), limit_s)
        await self.caller_connections.wait_sent(until - time.monotonic())

    async def _settle(self, limit_s: float) -> None:
        deadline = time.monotonic() + limit_s
        await _wait_until(lambda: self.core.ledger.is_settled, limit_s)
        for commit in self._commits.values():
            await commit.flush(max(0.0, deadline - time.monotonic()))
        await self.outbox.flush(1.0)

    async def stop(self) -> None:
        """Close everything at once."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._stack.aclose()


async def _wait_until(condition: Callable[[], bool], limit_s: float) -> None:
    """Wait until a condition holds, at most so long."""
    deadline = time.monotonic() + limit_s
    while not condition() and time.monotonic() < deadline:  # noqa: ASYNC110
        await asyncio.sleep(WAIT_STEP_S)
