"""The way back to one caller: a whole answer, a stream, or a problem."""

from __future__ import annotations

import asyncio
from collections import deque

import msgspec
from aiohttp import web

from baobabthread.adapters.callers import render_error_event, render_problem
from baobabthread.errors import Problem

SSE_HEADERS = {
    "Content-Type": "text/event-stream; charset=utf-8",
    "Cache-Control": "no-cache",
}


class _Content(msgspec.Struct):
    content: str | None = None


class _WholeChoice(msgspec.Struct):
    message: _Content


class _Whole(msgspec.Struct):
    choices: list[_WholeChoice]


class _DeltaChoice(msgspec.Struct):
    delta: _Content


class _Delta(msgspec.Struct):
    choices: list[_DeltaChoice]


_decode_whole = msgspec.json.Decoder(_Whole).decode
_decode_delta = msgspec.json.Decoder(_Delta).decode
DATA = b"data: "
END_MARK = b"[DONE]"


def _list_contents(raw: bytes) -> list[str]:
    """Return the contents of the chunks in a server-sent event stream."""
    contents: list[str] = []
    for line in raw.split(b"\n"):
        data = line.removeprefix(DATA)
        if line.startswith(DATA) and data != END_MARK:
            choices = _decode_delta(data).choices
            contents.extend(choice.delta.content or "" for choice in choices)
    return contents


class CallerGoneError(ConnectionError):
    """Report that the caller closed its connection."""


class Channel:
    """Answer one request, once."""

    __slots__ = (
        "_inbox",
        "_request",
        "_response",
        "_waiter",
        "answer",
        "held",
        "moved",
        "request_id",
        "session",
        "tokens",
        "version",
    )

    def __init__(self, *, request: web.BaseRequest, request_id: str) -> None:
        self._request = request
        self._response: web.StreamResponse | None = None
        self._inbox: deque[object] = deque()
        self._waiter: asyncio.Future[None] | None = None
        self.request_id = request_id
        self.answer = b""
        self.held: list[bytes] = []
        self.tokens = 0
        """How many tokens of the answer have arrived in order."""
        self.version: str | None = None
        self.session: str | None = None
        self.moved = False

    def put(self, effect: object) -> None:
        """Hand the request its next step."""
        self._inbox.append(effect)
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    async def next(self) -> object:
        """Return the next step, waiting for it."""
        while not self._inbox:
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter
            self._waiter = None
        return self._inbox.popleft()

    @property
    def started(self) -> bool:
        """Tell whether a byte of the answer has left."""
        return self._response is not None

    def start_attempt(
        self, *, version: str | None, session: str | None, moved: bool, resume: bool
    ) -> None:
        """Forget what an earlier attempt brought, unless this one resumes it."""
        self.version = version
        self.session = session
        self.moved = moved
        self.answer = b""
        if not resume:
            self.held = []
            self.tokens = 0

    async def write(self, raw: bytes) -> None:
        """Send bytes of a stream to the caller."""
        if self._response is None:
            self._response = web.StreamResponse(headers=self._headers(SSE_HEADERS))
            await self._response.prepare(self._request)
        if self._request.transport is None or self._request.transport.is_closing():
            raise CallerGoneError
        try:
            await self._response.write(raw)
        except ConnectionError:
            raise CallerGoneError from None

    def extract_text(self) -> str:
        """Return the text of the answer at hand, to have it rated."""
        try:
            if self.answer:
                choices = _decode_whole(self.answer).choices
                return "".join(choice.message.content or "" for choice in choices)
            return "".join(_list_contents(b"".join(self.held)))
        except msgspec.DecodeError:
            return ""

    def _headers(self, base: dict[str, str]) -> dict[str, str]:
        headers = dict(base)
        headers["X-Request-Id"] = self.request_id
        if self.version is not None:
            headers["Baobab-Version"] = self.version
        if self.session is not None:
            headers["Baobab-Session"] = self.session
        if self.moved:
            headers["Baobab-Session-Moved"] = "true"
        return headers

    async def finish_stream(self) -> web.StreamResponse:
        """Send what was held and end the stream."""
        if not self.started:
            await self.write(b"".join(self.held))
        assert self._response is not None
        try:
            await self._response.write_eof()
        except ConnectionError:
            raise CallerGoneError from None
        return self._response

    def finish_whole(self) -> web.Response:
        """Return the whole answer."""
        return web.Response(
            body=self.answer,
            headers=self._headers({"Content-Type": "application/json"}),
        )

    async def finish_problem(self, problem: Problem) -> web.StreamResponse:
        """Answer with a problem, or end a started stream with a typed error event."""
        if problem.request_id is None:
            problem = msgspec.structs.replace(problem, request_id=self.request_id)
        if self._response is None:
            return render_problem(problem)
        try:
            await self._response.write(render_error_event(problem))
            await self._response.write_eof()
        except ConnectionError:
            raise CallerGoneError from None
        return self._response
