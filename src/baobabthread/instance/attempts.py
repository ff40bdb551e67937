"""One attempt at one backend server: what is sent, and what the answer proves."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

import msgspec

from baobabthread.core.limits.limits import Outcome
from baobabthread.instance.backends import BackendLink
from baobabthread.instance.clock import now
from baobabthread.instance.connections import (
    Connection,
    IncompleteResponseError,
    NotSentError,
    Response,
)
from baobabthread.instance.context import RequestContext
from baobabthread.instance.wire import BackendCall, ResponseMetadata, WireFormat

PLAIN_SILENCE_TIMEOUT_S = 0.4
"""Silence after which an attempt at a plain service that may be repeated is given up:
several times what its work usually takes."""
ENGINE_SILENCE_TIMEOUT_S = 1.0
"""The same for the first part of an engine's answer, which waits for prompts to be
read; a dark engine found after it still lets the answer come in time."""
LOST_EVENTS_TIMEOUT_S = 1.6
"""Silence within a stream after which it counts as lost though its engine goes on with
others; one that was put back for lack of memory is read in again sooner."""
SILENCE_TIMEOUT_FACTOR = 5.0
"""Times the usual time to the first part that is waited for it."""
MAX_SILENCE_TIMEOUT_S = 3.0

T = TypeVar("T")


class RejectedError(Exception):
    """Report that a backend server states that it did not run the request."""

    def __init__(self, status: int, *, is_other_server: bool) -> None:
        super().__init__(f"refused with {status}")
        self.status = status
        self.is_other_server = is_other_server


class SilenceTimeoutError(IncompleteResponseError):
    """Report an attempt that was given up; the request may have run.

    It is only given up for another one, which is already taken out of the budget.
    """


class RetryRequested(Exception):  # noqa: N818 - a step, not an error
    """Go on with another attempt.

    `outcome` is what the attempt that ended says about its backend server.
    """

    def __init__(self, outcome: Outcome) -> None:
        super().__init__()
        self.outcome = outcome


class ResponseHead(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the head of an answer that belongs to this request."""

    response: Response
    marks: ResponseMetadata
    latency_s: float

    @property
    def status(self) -> int:
        """Give the HTTP status."""
        return self.response.status

    @property
    def is_success(self) -> bool:
        """Tell whether the backend server says that it succeeded."""
        return 200 <= self.status < 300

    @property
    def is_failure(self) -> bool:
        """Tell whether the backend server itself failed."""
        return self.status >= 500


class Attempt:
    """Hold what is open while one backend server works on a request."""

    __slots__ = (
        "_connection",
        "_event_timeout_s",
        "_may_give_up",
        "_response",
        "context",
        "link",
        "sent_at",
        "silence_timeout_s",
    )

    def __init__(
        self,
        *,
        context: RequestContext,
        link: BackendLink,
        usual_first_s: float,
        event_timeout_s: float,
        may_give_up: Callable[[], bool],
    ) -> None:
        self._may_give_up = may_give_up
        self._event_timeout_s = event_timeout_s
        self.context = context
        self.link = link
        self.sent_at = now()
        least = (
            ENGINE_SILENCE_TIMEOUT_S
            if context.route.is_stream
            else PLAIN_SILENCE_TIMEOUT_S
        )
        self.silence_timeout_s = min(
            MAX_SILENCE_TIMEOUT_S, max(least, SILENCE_TIMEOUT_FACTOR * usual_first_s)
        )
        self._connection: Connection | None = None
        self._response: Response | None = None

    async def open(self, wire: WireFormat) -> ResponseHead:
        """Send the request and return the head of its answer.

        Raises `NotSentError` and `RefusedError` where it surely didn't run, otherwise
        `BrokenError`, or `TimeoutError` at the deadline.
        """
        flight = self.context
        request = flight.request
        call = BackendCall(
            backend=self.link.record.id,
            time_left_s=flight.deadline - now(),
            account=flight.account.name if flight.account is not None else None,
            priority=flight.priority,
            model=flight.model_name,
            last_event=flight.last_event,
        )
        head = wire.encode_request(
            request.method, request.target, request.headers, call, len(request.body)
        )
        try:
            self._connection = await self.link.pool.send(head, request.body)
        except NotSentError:
            self.link.mark_suspect()
            raise
        self.sent_at = now()
        flight.record_sent()
        response = await self._wait_for(self.link.pool.receive(self._connection))
        self._ensure_open()
        self._response = response
        marks = wire.decode_response(response.status, response.headers)
        self._validate(marks, response.status)
        self.link.record_response(self.sent_at)
        if flight.route.is_stream:
            self.silence_timeout_s = self._event_timeout_s
        return ResponseHead(
            response=response, marks=marks, latency_s=now() - self.sent_at
        )

    async def read_chunk(self) -> bytes:
        """Return the next bytes of the body; none at its end."""
        assert self._response is not None
        chunk = await self._wait_for(self._response.read_chunk())
        self._ensure_open()
        return chunk

    async def read_body(self, limit: int) -> bytes:
        """Return the whole body and give the connection back."""
        assert self._response is not None
        body = await self._wait_for(self._response.read(limit))
        self._ensure_open()
        self.finish()
        return body

    def finish(self) -> None:
        """Give the connection back after the whole body was read."""
        assert self._response is not None
        self._response.finish()
        self._connection = None

    def abort(self) -> None:
        """Close the connection if it is open, so that the backend server stops."""
        if self._connection is not None:
            self.link.pool.discard(self._connection)
            self._connection = None

    def _ensure_open(self) -> None:
        # An answer without a length ends with its connection: what had come when this
        # side closed it would pass for the whole.
        if self._connection is None:
            raise IncompleteResponseError("cancelled on this side")

    def _validate(self, marks: ResponseMetadata, status: int) -> None:
        own_id = self.context.request.envelope.request_id
        if marks.request_id is not None and marks.request_id != own_id:
            # A second or late answer to somebody else's request.
            raise IncompleteResponseError("answer to another request")
        if marks.cold_left_s > 0.0 and not marks.is_other_server:
            self.link.record_cold(marks.cold_left_s)
        if marks.not_run:
            self.context.runs -= 1
            if marks.is_other_server:
                self.link.mark_replaced()
            raise RejectedError(status, is_other_server=marks.is_other_server)
        if marks.encoded:
            raise IncompleteResponseError(
                "answer with an encoding that nobody asked for"
            )
        if 200 <= status < 300 and not (marks.signed and marks.request_id):
            raise IncompleteResponseError("success without a signature")

    async def _wait_for(self, work: Coroutine[Any, Any, T]) -> T:
        """Wait for a part of the answer until the deadline.

        A backend server that gave no sign of life for a while, on any connection, is
        given up where the request may be repeated: it is dark, not slow.
        """
        task = asyncio.ensure_future(work)
        try:
            began = now()
            while True:
                left = self.context.deadline - now()
                if left <= 0.0:
                    raise TimeoutError
                await asyncio.wait({task}, timeout=min(left, self._poll_interval_s()))
                if task.done():
                    return task.result()
                reason = self._find_silence(began)
                if reason is not None and self._may_give_up():
                    raise SilenceTimeoutError(reason)
        finally:
            if not task.done():
                task.cancel()

    def _find_silence(self, began: float) -> str | None:
        """Return why the answer will hardly come, or nothing."""
        moment = now()
        if moment - max(began, self.link.received_at) >= self.silence_timeout_s:
            self.link.mark_suspect()
            return "no sign of life"
        waited_s = moment - began
        if self._response is not None:
            return "events lost" if waited_s >= LOST_EVENTS_TIMEOUT_S else None
        # An engine under load lets everybody wait; one whose later requests are
        # answered has lost this one's answer.
        if waited_s >= self.silence_timeout_s and self.link.was_overtaken(self.sent_at):
            return "answer lost"
        return None

    def _poll_interval_s(self) -> float:
        return self.silence_timeout_s / 2


def classify_outcome(error: BaseException | None) -> Outcome:
    """Return what an attempt's end says about its backend server."""
    if error is None:
        return Outcome.OK
    if isinstance(error, RejectedError):
        return Outcome.BUSY
    if isinstance(error, asyncio.CancelledError | TimeoutError):
        # Whoever runs out of time may have queued behind others: servers that were
        # ejected for it would leave their load to the rest, which then fail as well.
        return Outcome.CANCELLED
    return Outcome.FAILED
