"""The base of every stand-in: one listening address, faults and a control page."""

from __future__ import annotations

import abc
import contextlib
import random
import time
from collections.abc import Awaitable, Callable
from typing import Any, ClassVar, TypeVar

import msgspec
from aiohttp import web

from baobabthread.core.registry import Registry
from baobabthread.errors import BaobabthreadError

FAULTS: Registry[type[msgspec.Struct]] = Registry(what="stand-in")
"""Map each kind of stand-in to the struct of the faults that it knows."""

MAX_BODY_BYTES = 16_000_000
SHUTDOWN_S = 0.05

T = TypeVar("T")
Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


def reply_json(value: object, *, status: int = 200, **headers: str) -> web.Response:
    """Return a JSON response."""
    names = {name.replace("_", "-"): text for name, text in headers.items()}
    return web.Response(
        body=msgspec.json.encode(value),
        status=status,
        headers=names,
        content_type="application/json",
    )


def refuse(kind: str, *, status: int, retry_after_s: float = 0.0) -> web.Response:
    """Return a refusal that says that the request was not run."""
    headers = {"Retry_After": f"{retry_after_s:g}"} if retry_after_s else {}
    return reply_json({"kind": kind, "ran": "no"}, status=status, **headers)


def drop_connection(request: web.Request) -> web.Response:
    """Cut the connection so that the client sees no reply."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response()


async def read_body(request: web.Request, kind: type[T]) -> T:
    """Return the decoded body or stop with a 400 that names the field."""
    try:
        return msgspec.json.decode(await request.read(), type=kind)
    except msgspec.MsgspecError as error:
        text = msgspec.json.encode({"kind": "bad_request", "detail": str(error)})
        raise web.HTTPBadRequest(body=text, content_type="application/json") from error


class Server(abc.ABC):
    """Serve one stand-in on one address until it is stopped."""

    __slots__ = ("_stack", "faults", "host", "name", "port", "rng", "seed")

    kind: ClassVar[str]

    def __init__(
        self, *, name: str, host: str = "127.0.0.1", port: int = 0, seed: int = 0
    ) -> None:
        self.name = name
        self.host = host
        self.port = port
        self.seed = seed
        self.rng = random.Random(f"{seed}:{name}")
        self.faults: Any = FAULTS.get(self.kind)()
        self._stack: contextlib.AsyncExitStack | None = None

    @property
    def address(self) -> str:
        """Return the host and port it listens on."""
        return f"{self.host}:{self.port}"

    @property
    def url(self) -> str:
        """Return the base URL it listens on."""
        return f"http://{self.address}"

    @property
    def running(self) -> bool:
        """Tell whether it listens."""
        return self._stack is not None

    async def start(self) -> None:
        """Listen; a stopped stand-in starts again on the port it had."""
        async with contextlib.AsyncExitStack() as stack:
            await self.open(stack)
            runner = web.AppRunner(
                self.build_app(),
                access_log=None,
                handler_cancellation=True,
                shutdown_timeout=SHUTDOWN_S,
            )
            await runner.setup()
            stack.push_async_callback(runner.cleanup)
            await web.TCPSite(runner, self.host, self.port).start()
            self.port = runner.addresses[0][1]
            self._stack = stack.pop_all()

    async def stop(self) -> None:
        """Close the listener and cut every connection."""
        stack, self._stack = self._stack, None
        if stack is not None:
            await stack.aclose()

    async def __aenter__(self) -> Any:
        await self.start()
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.stop()

    async def open(self, stack: contextlib.AsyncExitStack) -> None:  # noqa: B027 - optional
        """Enter what must be closed with the stand-in into its exit stack."""

    def build_app(self) -> web.Application:
        """Return the application with the routes and the control page."""
        app = web.Application(client_max_size=MAX_BODY_BYTES)
        self.add_routes(app.router)
        self.add_control(app.router, prefix="/control")
        return app

    @abc.abstractmethod
    def add_routes(self, router: web.UrlDispatcher) -> None:
        """Add the routes of the stand-in's protocol."""

    def add_control(self, router: web.UrlDispatcher, *, prefix: str) -> None:
        """Add the routes that show the stand-in and switch its faults."""
        router.add_get(prefix, self._show)
        router.add_put(f"{prefix}/faults", self._put_faults)

    def describe(self) -> dict[str, object]:
        """Return what the control page shows."""
        return {"name": self.name, "kind": self.kind, "faults": self.faults}

    def check_faults(self, values: dict[str, Any]) -> Any:
        """Return the typed faults; those not named have their defaults."""
        return msgspec.convert(values, FAULTS.get(self.kind))

    def set_faults(self, values: dict[str, Any]) -> None:
        """Replace all faults; those not named go back to their defaults."""
        self.faults = self.check_faults(values)
        self.on_faults()

    def on_faults(self) -> None:  # noqa: B027 - optional
        """React to changed faults."""

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return time.monotonic()

    def roll(self, probability: float) -> bool:
        """Return true with the given probability."""
        return probability > 0 and self.rng.random() < probability

    async def _show(self, request: web.Request) -> web.Response:
        return reply_json(self.describe())

    async def _put_faults(self, request: web.Request) -> web.Response:
        values = await read_body(request, dict[str, Any])
        try:
            self.set_faults(values)
        except (msgspec.ValidationError, BaobabthreadError) as error:
            return reply_json({"kind": "bad_request", "detail": str(error)}, status=400)
        return reply_json({"faults": self.faults})
