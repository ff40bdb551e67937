"""An engine's replies: whole or streamed, or cut by a fault."""

from __future__ import annotations

import asyncio

import msgspec
from aiohttp import web

from baobabthread.standins.answers import Text
from baobabthread.standins.batch import Job

encode = msgspec.json.encode


class Usage(msgspec.Struct, frozen=True, gc=False):
    """Count the tokens of one answer."""

    prompt_tokens: int
    cached_tokens: int
    completion_tokens: int


class Delta(msgspec.Struct, frozen=True, gc=False):
    """Hold the text that one event adds."""

    content: str = ""


class StreamChoice(msgspec.Struct, frozen=True):
    """Hold the choice of one event."""

    delta: Delta
    finish_reason: str | None = None
    index: int = 0


class Event(msgspec.Struct, frozen=True, omit_defaults=True):
    """Hold one event of a stream."""

    id: str
    request_id: str
    model: str
    index: int
    choices: list[StreamChoice]
    object: str = "chat.completion.chunk"
    usage: Usage | None = None
    signal: float | None = None


class Message(msgspec.Struct, frozen=True):
    """Hold the text of a whole answer."""

    content: str
    role: str = "assistant"


class Choice(msgspec.Struct, frozen=True):
    """Hold the choice of a whole answer."""

    message: Message
    finish_reason: str
    index: int = 0


class Whole(msgspec.Struct, frozen=True):
    """Hold a whole answer."""

    id: str
    request_id: str
    model: str
    choices: list[Choice]
    usage: Usage
    signal: float
    object: str = "chat.completion"


class Reply:
    """Send the answer of one job as its tokens come."""

    __slots__ = (
        "_cached_tokens",
        "_cut_after",
        "_job",
        "_model",
        "_prompt_tokens",
        "_request_id",
        "_start",
        "_text",
    )

    def __init__(
        self,
        *,
        job: Job,
        text: Text,
        model: str,
        request_id: str,
        start: int,
        prompt_tokens: int,
        cached_tokens: int,
        cut_after: int,
    ) -> None:
        self._job = job
        self._text = text
        self._model = model
        self._request_id = request_id
        self._start = start
        self._prompt_tokens = prompt_tokens
        self._cached_tokens = cached_tokens
        self._cut_after = cut_after

    async def send(self, request: web.Request) -> web.StreamResponse:
        """Wait for the last token and send one body."""
        await self._job.finish()
        message = Message(content="".join(self._text.tokens[self._start :]))
        body = encode(
            Whole(
                id=f"chatcmpl-{self._request_id}",
                request_id=self._request_id,
                model=self._model,
                choices=[Choice(message=message, finish_reason=self._reason())],
                usage=self._usage(),
                signal=self._text.signal,
            )
        )
        tokens = self._job.total - self._start
        if self._cut_after and tokens > self._cut_after:
            return await self._cut_body(request, body)
        return web.Response(body=body, content_type="application/json")

    async def stream(self, request: web.Request) -> web.StreamResponse:
        """Send events as tokens come, then the end mark."""
        response = web.StreamResponse()
        response.content_type = "text/event-stream"
        response.headers["Cache-Control"] = "no-cache"
        # The headers go out with the first token, as engines do: before it the
        # client can't tell a waiting request from a running one.
        seen = self._start
        produced = await self._job.wait(seen)
        await response.prepare(request)
        while seen < produced:
            stop = self._stop(produced)
            if stop > seen:
                await response.write(self._render(seen, stop))
            if stop < produced:
                return await _cut(request, response)
            seen = produced
            # Ask again even when the job is done: tokens may have come meanwhile.
            produced = await self._job.wait(seen)
        await response.write(self._render_end(seen))
        await response.write_eof()
        return response

    def _stop(self, produced: int) -> int:
        """Return the token before which a cut happens, or all there are."""
        if not self._cut_after:
            return produced
        return min(produced, self._start + self._cut_after)

    def _render(self, start: int, stop: int) -> bytes:
        return b"".join(self._render_token(index) for index in range(start, stop))

    def _render_token(self, index: int) -> bytes:
        choice = StreamChoice(delta=Delta(content=self._text.tokens[index]))
        return b"data: %b\n\n" % encode(
            Event(
                id=f"chatcmpl-{self._request_id}",
                request_id=self._request_id,
                model=self._model,
                index=index,
                choices=[choice],
            )
        )

    def _render_end(self, index: int) -> bytes:
        choice = StreamChoice(delta=Delta(), finish_reason=self._reason())
        event = Event(
            id=f"chatcmpl-{self._request_id}",
            request_id=self._request_id,
            model=self._model,
            index=index,
            choices=[choice],
            usage=self._usage(),
            signal=self._text.signal,
        )
        return b"data: %b\n\ndata: [DONE]\n\n" % encode(event)

    def _reason(self) -> str:
        return "cancelled" if self._job.cancelled else "stop"

    def _usage(self) -> Usage:
        return Usage(
            prompt_tokens=self._prompt_tokens,
            cached_tokens=self._cached_tokens,
            completion_tokens=self._job.produced - self._start,
        )

    async def _cut_body(self, request: web.Request, body: bytes) -> web.StreamResponse:
        response = web.StreamResponse()
        response.content_type = "application/json"
        response.content_length = len(body)
        await response.prepare(request)
        await response.write(body[: len(body) // 2])
        return await _cut(request, response)


async def _cut(
    request: web.Request, response: web.StreamResponse
) -> web.StreamResponse:
    """Cut the connection behind what was written."""
    # Let the part leave before the cut: an abort drops what is still buffered.
    await asyncio.sleep(0)
    if request.transport is not None:
        request.transport.close()
    return response
