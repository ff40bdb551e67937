"""Requests of callers, from their HTTP head to the last byte of their answer."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
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
from baobabthread.adapters.dispatches import Dispatcher
from baobabthread.adapters.metrics import Metrics
from baobabthread.adapters.operators import OperatorServer
from baobabthread.adapters.peers import REQUESTS_PATH
from baobabthread.core.entry import EntryCore
from baobabthread.core.events import (
    AttemptEnded,
    CallerGone,
    Deliver,
    Dispatch,
    ForwardRequest,
    Refuse,
    Replay,
    RequestArrived,
)
from baobabthread.core.membership.addresses import Departure, DepartureState
from baobabthread.errors import Kind, RequestError, UnavailableError
from baobabthread.settings import EntrySettings

FORWARD_TIMEOUT_S = 120.0
ADDRESSES_PATH = "/v1/addresses"
HEALTH_PATH = "/healthz"


class Exchanges:
    """Carry each caller's request through the core, in the caller's own task."""

    __slots__ = (
        "_core",
        "_dispatcher",
        "_feed",
        "_incarnation",
        "_locate",
        "_metrics",
        "_operators",
        "_peer_session",
        "_run_effect",
        "_scheme",
        "_sequence",
        "_settings",
        "channels",
        "closing",
        "departure",
    )

    def __init__(
        self,
        *,
        core: EntryCore,
        settings: EntrySettings,
        incarnation: str,
        dispatcher: Dispatcher,
        operators: OperatorServer,
        peer_session: aiohttp.ClientSession,
        scheme: str,
        metrics: Metrics,
        feed: Callable[[object], None],
        run_effect: Callable[[object], None],
        locate: Callable[[str], str | None],
        departure: Departure,
    ) -> None:
        """Take `locate`, which gives the address of a peer."""
        self._core = core
        self._settings = settings
        self._incarnation = incarnation
        self._dispatcher = dispatcher
        self._operators = operators
        self._peer_session = peer_session
        self._scheme = scheme
        self._metrics = metrics
        self._feed = feed
        self._run_effect = run_effect
        self._locate = locate
        self._sequence = 0
        self.channels: dict[str, Channel] = {}
        self.departure = departure
        self.closing = False
        """Whether the addresses given out have lapsed, so that new requests go away."""

    def route(self, effect: Any) -> None:
        """Hand a request its next step."""
        channel = self.channels.get(effect.request_id)
        if channel is not None:
            channel.put(effect)

    def _mint_request_id(self) -> str:
        self._sequence += 1
        return f"{self._incarnation}.{self._sequence:x}"

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one HTTP request of a caller or an operator."""
        try:
            return await self._answer_caller(request)
        except RequestError as error:
            self._metrics.count(f"refused.{error.problem.kind}")
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
            limit=self._settings.max_body_bytes,
            timeout_s=self._settings.body_timeout_s,
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
        answer = self._core.answer_addresses(
            request.query.get("caller", request.remote or ""),
            request.query.get("failure_domain"),
        )
        return web.Response(
            body=msgspec.json.encode(answer), content_type="application/json"
        )

    def _tell_health(self) -> web.StreamResponse:
        configured = self._core.control.configuration is not None
        state = self.departure.state
        if state is not DepartureState.SERVING:
            return web.Response(status=503, text=f"{state}\n")
        if not configured:
            return web.Response(status=503, text="not configured\n")
        return web.Response(text="ok\n")

    async def _serve_request(
        self, request: web.BaseRequest, arrived: RequestArrived
    ) -> web.StreamResponse:
        if self.closing:
            # A caller that keeps its connection would hold the drain up for ever; it
            # had the lifetime of its addresses to learn of others.
            raise refuse(
                Kind.LEAVING,
                "this entry is stopping",
                "ask another address of your last answer",
                retry_after_s=0.0,
            )
        channel = Channel(request=request, request_id=arrived.request_id)
        self.channels[arrived.request_id] = channel
        started = time.monotonic()
        try:
            self._feed(arrived)
            response = await self._answer_steps(arrived, channel)
        except (CallerGoneError, asyncio.CancelledError):
            self._feed(CallerGone(request_id=arrived.request_id))
            raise
        finally:
            del self.channels[arrived.request_id]
        self._metrics.count(f"answered.{response.status}")
        self._metrics.time("request", time.monotonic() - started)
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
                channel.session = effect.session
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
        effects = self._core.requests.key_answered(
            effect.claim, channel.answer, time.monotonic()
        )
        for each in effects:
            self._run_effect(each)

    def _note_attempt(
        self, arrived: RequestArrived, channel: Channel, ended: AttemptEnded
    ) -> None:
        self._metrics.time("attempt", ended.latency_s)
        if ended.first_token_s is not None:
            self._metrics.time("first_token", ended.first_token_s)
        self._feed(ended)

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
                headers={"Authorization": f"Bearer {self._settings.peer_secret}"},
                timeout=timeout,
            ) as response:
                body = await response.read()
                self._core.requests.forwarded(arrived.request_id)
                return web.Response(
                    status=response.status,
                    body=body,
                    content_type=response.content_type,
                    headers=_keep_headers(response.headers),
                )
        except (aiohttp.ClientError, TimeoutError, OSError):
            effects = self._core.requests.forward_failed(
                arrived.request_id, effect.incarnation, time.monotonic()
            )
            for each in effects:
                self._run_effect(each)
            return None

    async def serve_forwarded(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer a request that a peer passed on to this entry."""
        try:
            arrived = msgspec.json.decode(await request.read(), type=RequestArrived)
        except msgspec.DecodeError as error:
            return web.Response(status=400, text=f"not a request: {error}\n")
        arrived.forwarded = True
        try:
            return await self._serve_request(request, arrived)
        except RequestError as error:
            return render_problem(error.problem)
        except CallerGoneError:
            return web.Response(status=499)


def _keep_headers(headers: Any) -> dict[str, str]:
    kept = ("Retry-After", "X-Request-Id", "Baobab-Version", "Baobab-Session")
    return {name: headers[name] for name in kept if name in headers}
