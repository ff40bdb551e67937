"""Run the attempts that the core asks for at backend servers."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import aclosing

from baobabthread.adapters.callers import build_chat_body
from baobabthread.adapters.channels import CallerGoneError, Channel
from baobabthread.core.events import (
    Answered,
    AttemptEnded,
    AttemptOutcome,
    Broken,
    Dispatch,
    Refused,
    RequestArrived,
)
from baobabthread.logs import log_event
from baobabthread.ports import engine as engines
from baobabthread.ports.engine import Engine
from baobabthread.ports.plain import Plain, PlainAnswer

CALLER_GONE = "caller_gone"


class Dispatcher:
    """Send requests to backend servers and report how each attempt ended."""

    __slots__ = ("_engine", "_now", "_plain")

    def __init__(
        self, *, engine: Engine, plain: Plain, now: Callable[[], float]
    ) -> None:
        self._engine = engine
        self._plain = plain
        self._now = now

    async def run(
        self, arrived: RequestArrived, channel: Channel, dispatch: Dispatch
    ) -> AttemptEnded:
        """Run one attempt to its end."""
        if dispatch.delay_s > 0:
            await asyncio.sleep(dispatch.delay_s)
        channel.start_attempt(
            version=dispatch.version,
            session=dispatch.session,
            moved=dispatch.moved,
            resume=dispatch.resume_from > 0,
        )
        started = self._now()
        first: list[float] = []
        if not arrived.is_model:
            outcome = await self._call(arrived, channel, dispatch)
        elif arrived.stream:
            outcome = await self._stream(arrived, channel, dispatch, first)
        else:
            outcome = await self._complete(arrived, channel, dispatch)
        return AttemptEnded(
            request_id=arrived.request_id,
            backend=dispatch.backend,
            outcome=outcome,
            latency_s=self._now() - started,
            first_token_s=first[0] - started if first else None,
        )

    async def _call(
        self, arrived: RequestArrived, channel: Channel, dispatch: Dispatch
    ) -> AttemptOutcome:
        result = await self._plain.call(
            dispatch.address,
            dispatch.call,
            request_id=dispatch.backend_request_id,
            body=arrived.body,
            timeout_s=dispatch.timeout_s,
        )
        if isinstance(result, PlainAnswer):
            channel.answer = result.body
            return Answered()
        return _convert(result, channel)

    async def _complete(
        self, arrived: RequestArrived, channel: Channel, dispatch: Dispatch
    ) -> AttemptOutcome:
        result = await self._engine.complete(
            dispatch.address,
            request_id=dispatch.backend_request_id,
            body=_build_body(arrived, dispatch),
            timeout_s=dispatch.timeout_s,
        )
        if isinstance(result, engines.Answer):
            channel.answer = result.body
            return _answered(result.signal, result.usage)
        return _convert(result, channel)

    async def _stream(
        self,
        arrived: RequestArrived,
        channel: Channel,
        dispatch: Dispatch,
        first: list[float],
    ) -> AttemptOutcome:
        items = self._engine.stream(
            dispatch.address,
            request_id=dispatch.backend_request_id,
            body=_build_body(arrived, dispatch),
            timeout_s=dispatch.timeout_s,
            resume_from=dispatch.resume_from,
        )
        async with aclosing(items):
            try:
                return await self._relay(items, channel, dispatch, first)
            except CallerGoneError:
                return Broken(
                    sent=True, delivered_tokens=channel.tokens, reason=CALLER_GONE
                )

    async def _relay(
        self,
        items: object,
        channel: Channel,
        dispatch: Dispatch,
        first: list[float],
    ) -> AttemptOutcome:
        async for item in items:  # type: ignore[attr-defined]
            if isinstance(item, engines.Chunk):
                if not first:
                    first.append(self._now())
                channel.tokens = item.index + item.count
                channel.held.append(item.raw)
                if dispatch.relay:
                    await channel.write(item.raw)
            elif isinstance(item, engines.End):
                channel.held.append(item.raw)
                if dispatch.relay:
                    await channel.write(item.raw)
                return _answered(item.signal, item.usage)
            else:
                return _convert(item, channel)
        return Broken(
            sent=True, delivered_tokens=channel.tokens, reason="stream without its end"
        )


def _build_body(arrived: RequestArrived, dispatch: Dispatch) -> bytes:
    return build_chat_body(
        arrived.body,
        version=dispatch.version or arrived.service,
        priority=dispatch.priority,
        resume_from=dispatch.resume_from,
    )


def _answered(signal: float, usage: engines.Usage) -> Answered:
    return Answered(
        signal=signal,
        prompt_tokens=usage.prompt_tokens,
        cached_tokens=usage.cached_tokens,
        completion_tokens=usage.completion_tokens,
    )


def _convert(
    result: engines.Refused | engines.Broken | engines.Crossed, channel: Channel
) -> AttemptOutcome:
    if isinstance(result, engines.Refused):
        return Refused(kind=result.kind, retry_after_s=result.retry_after_s)
    if isinstance(result, engines.Crossed):
        # The answer belongs to another request: delivering it would show one client
        # account's text to another. The attempt counts as run, its bytes are dropped.
        log_event(
            "answer_crossed",
            level="error",
            request=channel.request_id,
            expected=result.expected,
            found=result.found,
        )
        return Broken(sent=True, delivered_tokens=channel.tokens, reason="crossed")
    return Broken(
        sent=result.sent, delivered_tokens=channel.tokens, reason=result.reason
    )
