"""One entry instance: the core's decisions, joined to sockets and clocks."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import random
import secrets
import signal
import time
from collections.abc import Callable, Sequence
from typing import Any

import aiohttp
import msgspec
from aiohttp import web

from baobabthread.adapters.callers import (
    CHAT_PATH,
    SERVICES_PREFIX,
    parse_chat,
    parse_plain,
    read_body,
    refuse,
    render_problem,
)
from baobabthread.adapters.channels import CallerGoneError, Channel
from baobabthread.adapters.commits import GroupCommit
from baobabthread.adapters.connections import CallerServer
from baobabthread.adapters.dispatches import Dispatcher
from baobabthread.adapters.engines import EngineClient, PlainClient, open_session
from baobabthread.adapters.metrics import open_metrics
from baobabthread.adapters.operators import OperatorServer
from baobabthread.adapters.peers import (
    REQUESTS_PATH,
    PeerCodec,
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
from baobabthread.core.configuration import ServiceKind
from baobabthread.core.entry import PEER_MESSAGES, CoreSettings, EntryCore
from baobabthread.core.events import (
    AttemptEnded,
    CallerGone,
    Cancel,
    Deliver,
    Dispatch,
    ForwardRequest,
    OrderEnded,
    PublishEnded,
    Refuse,
    Replay,
    RequestArrived,
    SubmitRating,
    Tick,
)
from baobabthread.core.membership_messages import MemberInfo
from baobabthread.core.messages import (
    Append,
    LogRead,
    Received,
    Send,
    SendFailed,
    Stream,
)
from baobabthread.core.orders import OrderEngine
from baobabthread.core.session_tokens import SessionKey, SessionKeyRing
from baobabthread.errors import Kind, RequestError, UnavailableError
from baobabthread.logs import log_event
from baobabthread.ports.engine import Order, OrderStale
from baobabthread.ports.ratings import RatedAnswer
from baobabthread.ports.roster import Instance, Role
from baobabthread.settings import EntrySettings

TICK_S = 0.05
WAIT_STEP_S = 0.02
COLLECT_AFTER = 20_000
COLLECT_OLDER = 50
COLLECT_OLDEST = 100
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
        self._channels: dict[str, Channel] = {}
        self._tasks: set[asyncio.Task[Any]] = set()
        self._publishing: dict[str, asyncio.Future[PublishEnded]] = {}
        self._replies: tuple[str, list[msgspec.Struct]] | None = None
        self._sequence = 0
        self._offsets: dict[Stream, int] = {}
        self.leaving = False
        self.started_at = time.time()
        self.metrics = open_metrics(settings.statsd)
        self.incarnation = (
            f"{settings.name}-{int(self.started_at * 1000):x}{secrets.token_hex(3)}"
        )
        self._runners: dict[type, Runner] = {
            Append: self._append,
            Send: self._send,
            SubmitRating: self._submit_rating,
            Cancel: self._cancel,
            PublishEnded: self._end_publish,
            OrderEngine: self._order_engine,
            **dict.fromkeys(
                (Dispatch, Deliver, Refuse, Replay, ForwardRequest), self._route
            ),
        }

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
        await self._connect_peers()
        self._commits = {
            stream: GroupCommit(stream=stream, log=self.log, feed=self.feed)
            for stream in Stream
        }
        for commit in self._commits.values():
            stack.push_async_callback(commit.close)
        self._ratings = RatingsPoller(ratings=ratings, feed=self.feed)
        self._start_loops()
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
        callers = CallerServer(
            handler=self._handle_caller,
            idle_timeout_s=settings.idle_timeout_s,
            max_header_bytes=settings.max_header_bytes,
        )
        peers = CallerServer(handler=self._handle_peer)
        self.address = await self._serve(callers, settings.listen, tls)
        self.peer_address = await self._serve(peers, settings.peer_listen, tls)

    async def _serve(self, server: web.Server, address: Any, tls: Any) -> str:
        runner = web.ServerRunner(server)
        await runner.setup()
        self._stack.push_async_callback(runner.cleanup)
        site = web.TCPSite(
            runner,
            address.host,
            address.port,
            ssl_context=tls,
            shutdown_timeout=1.0,
            reuse_address=True,
        )
        try:
            await site.start()
        except OSError as error:
            raise UnavailableError(
                f"can't listen at {address}: {error.strerror}",
                remedy="choose a free address or stop what listens there",
            ) from None
        host, port = runner.addresses[0][:2]
        return f"{host}:{port}"

    async def _connect_peers(self) -> None:
        settings = self.settings
        ca = str(settings.tls_ca) if settings.tls_ca else None
        tls = build_client_tls(ca)
        connector = aiohttp.TCPConnector(limit=0, ssl=tls if tls else True)
        self._peer_session = await self._stack.enter_async_context(
            aiohttp.ClientSession(connector=connector)
        )
        self._scheme = "https" if settings.tls_cert else "http"
        codec = PeerCodec(types=PEER_MESSAGES)
        self.outbox = PeerOutbox(
            me=self.incarnation,
            codec=codec,
            session=self._peer_session,
            secret=settings.peer_secret,
            scheme=self._scheme,
            locate=self._locate,
            deliver=self._receive,
            fail=self._fail_send,
        )
        self._stack.push_async_callback(self.outbox.close)
        self._peer_server = PeerServer(
            me=self.incarnation,
            codec=codec,
            secret=settings.peer_secret,
            deliver=self._receive,
            serve_forwarded=self._serve_forwarded,
        )
        self.administration = EntryAdministration(entry=self)
        self._operators = OperatorServer(
            administration=self.administration,
            root_key_sha256=settings.operator_key_sha256,
        )

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
            self.feed(Tick())
            await asyncio.sleep(TICK_S)

    def feed(self, event: object) -> None:
        """Give the core an event and run what follows from it."""
        for effect in self.core.handle(event, time.monotonic()):
            self.run_effect(effect)

    def run_effect(self, effect: object) -> None:
        """Run one effect."""
        self._runners[type(effect)](effect)

    def _append(self, append: Append) -> None:
        self._commits[append.stream].add(append)

    def _send(self, send: Send) -> None:
        if self._replies is not None and self._is_same(send.to, self._replies[0]):
            self._replies[1].append(send.message)
            return
        self.outbox.send(send.to, send.message)

    def _is_same(self, to: str, incarnation: str) -> bool:
        if to == incarnation:
            return True
        member = self.core.control.membership.table.get(to)
        return member is not None and member.incarnation == incarnation

    def _locate(self, to: str) -> str | None:
        membership = self.core.control.membership
        if membership.table.get(to) is None and ":" not in to:
            for member in membership.members():
                if member.incarnation == to:
                    return member.peer_address
            return None
        return membership.peer_address(to)

    def _receive(self, sender: str, message: msgspec.Struct) -> list[msgspec.Struct]:
        """Give a peer's message to the core and return what answers it."""
        outer, self._replies = self._replies, (sender, [])
        try:
            self.feed(Received(sender=sender, message=message))
            return self._replies[1]
        finally:
            self._replies = outer

    def _fail_send(self, to: str, message: msgspec.Struct) -> None:
        self.feed(SendFailed(to=to, message=message))

    def _route(self, effect: Any) -> None:
        channel = self._channels.get(effect.request_id)
        if channel is not None:
            channel.put(effect)

    def _submit_rating(self, effect: SubmitRating) -> None:
        channel = self._channels.get(effect.request_id)
        if channel is None:
            return
        self._ratings.submit(
            RatedAnswer(
                request_id=effect.request_id,
                service=effect.service,
                call=effect.call,
                version=effect.version,
                prompt=effect.prompt,
                answer=channel.extract_text(),
            )
        )

    def _cancel(self, effect: Cancel) -> None:
        backend = self.core.directory.configuration.backends.get(effect.backend)
        if backend is not None:
            self._spawn(self._engine.cancel(backend.address, effect.request_id))

    def _order_engine(self, effect: OrderEngine) -> None:
        backend = self.core.directory.configuration.backends.get(effect.backend)
        if backend is not None:
            self._spawn(self._give_order(backend.address, effect))

    async def _give_order(self, address: str, effect: OrderEngine) -> None:
        outcome = await self._engine.order(
            address,
            Order(
                fence=effect.fence,
                desired=effect.desired,
                generation=effect.generation,
                conductor=self.incarnation,
            ),
            timeout_s=effect.timeout_s,
        )
        stale = isinstance(outcome, OrderStale)
        log_event(
            "engine_ordered",
            backend=effect.backend,
            fence=effect.fence,
            desired=",".join(effect.desired),
            outcome=type(outcome).__name__,
        )
        self.feed(OrderEnded(backend=effect.backend, fence=effect.fence, stale=stale))

    def _end_publish(self, effect: PublishEnded) -> None:
        future = self._publishing.pop(effect.id, None)
        if future is not None and not future.done():
            future.set_result(effect)

    def expect_publish(self, id_: str) -> asyncio.Future[PublishEnded]:
        """Return a future of what becomes of a text."""
        future: asyncio.Future[PublishEnded]
        future = asyncio.get_running_loop().create_future()
        self._publishing[id_] = future
        return future

    def _mint_request_id(self) -> str:
        self._sequence += 1
        return f"{self.incarnation}.{self._sequence:x}"

    async def _handle_caller(self, request: web.BaseRequest) -> web.StreamResponse:
        try:
            return await self._answer_caller(request)
        except RequestError as error:
            self.metrics.count(f"refused.{error.problem.kind}")
            return render_problem(error.problem)
        except UnavailableError as error:
            problem = refuse(
                Kind.LOG_UNAVAILABLE, error.message, error.remedy, retry_after_s=1.0
            ).problem
            return render_problem(problem)
        except CallerGoneError:
            return web.Response(status=499)

    async def _answer_caller(self, request: web.BaseRequest) -> web.StreamResponse:
        path = request.path
        if request.method == "POST":
            if path == CHAT_PATH:
                return await self._handle_chat(request)
            if path.startswith(SERVICES_PREFIX):
                return await self._handle_plain(request)
        elif request.method == "GET":
            if path == ADDRESSES_PATH:
                return self._give_addresses(request)
            if path == HEALTH_PATH:
                return self._tell_health()
        if self._operators.serves(path):
            return await self._operators.handle(request)
        raise refuse(
            Kind.NOT_FOUND,
            f"no {request.method} {path[:80]}",
            f"use POST {CHAT_PATH}, POST {SERVICES_PREFIX}SERVICE/CALL or "
            f"GET {ADDRESSES_PATH}",
        )

    async def _read_body(self, request: web.BaseRequest) -> bytes:
        return await read_body(
            request,
            limit=self.settings.max_body_bytes,
            timeout_s=self.settings.body_timeout_s,
        )

    async def _handle_chat(self, request: web.BaseRequest) -> web.StreamResponse:
        body = await self._read_body(request)
        arrived = parse_chat(request, body, request_id=self._mint_request_id())
        return await self._serve_request(request, arrived)

    async def _handle_plain(self, request: web.BaseRequest) -> web.StreamResponse:
        body = await self._read_body(request)
        arrived = parse_plain(request, body, request_id=self._mint_request_id())
        return await self._serve_request(request, arrived)

    def _give_addresses(self, request: web.BaseRequest) -> web.StreamResponse:
        answer = self.core.answer_addresses(
            request.query.get("caller", request.remote or ""),
            request.query.get("failure_domain"),
        )
        return web.Response(
            body=msgspec.json.encode(answer), content_type="application/json"
        )

    def _tell_health(self) -> web.StreamResponse:
        configured = self.core.control.configuration is not None
        if self.leaving or not configured:
            text = "leaving\n" if self.leaving else "not configured\n"
            return web.Response(status=503, text=text)
        return web.Response(text="ok\n")

    async def _serve_request(
        self, request: web.BaseRequest, arrived: RequestArrived
    ) -> web.StreamResponse:
        channel = Channel(request=request, request_id=arrived.request_id)
        self._channels[arrived.request_id] = channel
        started = time.monotonic()
        try:
            self.feed(arrived)
            response = await self._answer_steps(arrived, channel)
        except (CallerGoneError, asyncio.CancelledError):
            self.feed(CallerGone(request_id=arrived.request_id))
            raise
        finally:
            del self._channels[arrived.request_id]
        self.metrics.count(f"answered.{response.status}")
        self.metrics.time("request", time.monotonic() - started)
        return response

    async def _answer_steps(
        self, arrived: RequestArrived, channel: Channel
    ) -> web.StreamResponse:
        while True:
            effect = await channel.next()
            if isinstance(effect, Dispatch):
                ended = await self._dispatcher.run(arrived, channel, effect)
                self._note_attempt(arrived, channel, ended)
            elif isinstance(effect, Deliver):
                self._keep_answer(effect, channel)
                if arrived.stream:
                    return await channel.finish_stream()
                return channel.finish_whole()
            elif isinstance(effect, Refuse):
                return await channel.finish_problem(effect.problem)
            elif isinstance(effect, Replay):
                channel.answer = effect.body
                return channel.finish_whole()
            elif isinstance(effect, ForwardRequest):
                response = await self._forward(arrived, effect)
                if response is not None:
                    return response

    def _keep_answer(self, effect: Deliver, channel: Channel) -> None:
        """Give the answer to the key's repeats, those that wait and those to come."""
        if effect.claim is None:
            return
        effects = self.core.requests.key_answered(
            effect.claim, channel.answer, time.monotonic()
        )
        for each in effects:
            self.run_effect(each)

    def _note_attempt(
        self, arrived: RequestArrived, channel: Channel, ended: AttemptEnded
    ) -> None:
        self.metrics.time("attempt", ended.latency_s)
        if ended.first_token_s is not None:
            self.metrics.time("first_token", ended.first_token_s)
        self.feed(ended)

    async def _forward(
        self, arrived: RequestArrived, effect: ForwardRequest
    ) -> web.StreamResponse | None:
        """Pass a request to the entry that owns its key; none when it is gone."""
        arrived.forwarded = True
        address = self._locate(effect.to)
        timeout = aiohttp.ClientTimeout(
            total=arrived.deadline_s or FORWARD_TIMEOUT_S, sock_connect=1.0
        )
        try:
            async with self._peer_session.post(
                f"{self._scheme}://{address}{REQUESTS_PATH}",
                data=msgspec.json.encode(arrived),
                headers={"Authorization": f"Bearer {self.settings.peer_secret}"},
                timeout=timeout,
            ) as response:
                body = await response.read()
                self.core.requests.forwarded(arrived.request_id)
                return web.Response(
                    status=response.status,
                    body=body,
                    content_type=response.content_type,
                    headers=_keep_headers(response.headers),
                )
        except (aiohttp.ClientError, TimeoutError, OSError):
            effects = self.core.requests.forward_failed(
                arrived.request_id, effect.incarnation, time.monotonic()
            )
            for each in effects:
                self.run_effect(each)
            return None

    async def _serve_forwarded(self, request: web.BaseRequest) -> web.StreamResponse:
        try:
            arrived = msgspec.json.decode(await request.read(), type=RequestArrived)
        except msgspec.DecodeError as error:
            return web.Response(status=400, text=f"not a request: {error}\n")
        arrived.forwarded = True
        try:
            return await self._serve_request(request, arrived)
        except CallerGoneError:
            return web.Response(status=499)

    async def _handle_peer(self, request: web.BaseRequest) -> web.StreamResponse:
        return await self._peer_server.handle(request)

    @property
    def open_requests(self) -> int:
        """Count the callers that wait for an answer."""
        return len(self._channels)

    async def leave(self) -> None:
        """Stop gracefully: out of addresses, serve on, drain, hand over."""
        self.leaving = True
        settings = self.settings
        log_event("entry_leaving", name=settings.name, open=len(self._channels))
        for effect in self.core.leave(time.monotonic()):
            self.run_effect(effect)
        with contextlib.suppress(UnavailableError, TimeoutError):
            async with asyncio.timeout(1.0):
                await self._roster.remove(settings.name)
        # Callers keep an answer that names this entry for its lifetime; closing the
        # port earlier would refuse connections that were promised.
        await asyncio.sleep(settings.address_lifetime_s + 1.0)
        await self._drain(settings.drain_limit_s)
        for effect in self.core.hand_over(time.monotonic()):
            self.run_effect(effect)
        await self._settle(HANDOVER_TIMEOUT_S)
        log_event("entry_stopped", name=settings.name, open=len(self._channels))

    async def _drain(self, limit_s: float) -> None:
        await _wait_until(lambda: not self._channels, limit_s)

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


def _keep_headers(headers: Any) -> dict[str, str]:
    kept = ("Retry-After", "X-Request-Id")
    return {name: headers[name] for name in kept if name in headers}


def tune_collector() -> None:
    """Let the cycle collector run seldom: requests leave few cycles behind.

    At its defaults it walks all live objects many times a second under load.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(COLLECT_AFTER, COLLECT_OLDER, COLLECT_OLDEST)


async def run_entry(settings: EntrySettings) -> int:
    """Run an entry until it is told to stop; return the exit code."""
    entry = Entry(settings=settings)
    tune_collector()
    told = asyncio.Event()
    at_once = asyncio.Event()

    def stop() -> None:
        (at_once if told.is_set() else told).set()

    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop)
    try:
        await entry.start()
        await told.wait()
        leaving = asyncio.ensure_future(entry.leave())
        hurried = asyncio.ensure_future(at_once.wait())
        await asyncio.wait([leaving, hurried], return_when=asyncio.FIRST_COMPLETED)
        graceful = leaving.done()
        leaving.cancel()
        hurried.cancel()
        return 0 if graceful else 1
    finally:
        await entry.stop()
