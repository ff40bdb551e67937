"""One attempt at one backend server: sending, validation and timeouts."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

import msgspec

from baobabthread.core.limits.limits import Outcome
from baobabthread.instance.clock import now
from baobabthread.instance.context import RequestContext
from baobabthread.instance.observations import AttemptObservation
from baobabthread.instance.servers.backends import BackendLink
from baobabthread.instance.servers.connections import (
    Connection,
    ConnectionLostError,
    IncompleteResponseError,
    Listening,
    MemoryShortageError,
    NotSentError,
    Obstacle,
    Response,
    WithheldError,
)
from baobabthread.instance.wire import BackendCall, ResponseMetadata, WireFormat

PLAIN_SILENCE_TIMEOUT_S = 0.4
"""Silence after which a retryable attempt at a plain service is abandoned: several
times its usual processing time."""
ENGINE_SILENCE_TIMEOUT_S = 1.0
"""The same for the first part of an engine's response, which waits while prompts are
read. After this time another engine can still meet the latency objective."""
LOST_EVENTS_TIMEOUT_S = 1.6
"""Silence within a stream after which it counts as lost although its engine continues
other streams. A stream that was preempted for lack of memory resumes sooner."""
SILENCE_TIMEOUT_FACTOR = 5.0
"""Multiple of the usual time to the first part after which an attempt is abandoned."""
MAX_SILENCE_TIMEOUT_S = 3.0
PATH_CHECK_FRACTION = 0.5
"""Fraction of the silence timeout after which the path to the server is checked."""

END_CHECK_DELAY_S = 0.02
"""Time from the end of a response without a length until its server is probed: by then
a process that terminated has closed its other sockets."""

EXIT_SIGN_S = 0.8
"""Time for a server that leaves to show that it ended a response on purpose; shorter
than the time between two heartbeats."""

UNAVAILABLE_STATUS = 503
BUSY_STATUSES = (429, UNAVAILABLE_STATUS)
"""Statuses of servers that have no room for a request now."""

T = TypeVar("T")


class RejectedError(Exception):
    """Raised if the backend server states that it did not run the request."""

    def __init__(self, status: int, *, is_other_server: bool) -> None:
        super().__init__(f"rejected with status {status}")
        self.status = status
        self.is_other_server = is_other_server


class SilenceTimeoutError(IncompleteResponseError):
    """Raised if a silent attempt was abandoned; the request may have run.

    An attempt is only abandoned in favour of a retry, for which the retry budget has
    already been charged.
    """


class EndlessHeadError(SilenceTimeoutError):
    """Raised if an attempt was abandoned as the head of its response doesn't end."""


class EndlessHeadTimeoutError(TimeoutError):
    """Raised at the deadline if the head of the response doesn't end."""


class RetryRequested(Exception):  # noqa: N818 - control flow, not an error
    """Raised to continue with another attempt.

    `outcome` is the outcome of the previous attempt for its backend server.
    """

    def __init__(self, outcome: Outcome) -> None:
        super().__init__()
        self.outcome = outcome


class ResponseHead(msgspec.Struct, frozen=True, kw_only=True):
    """Validated head of the response to an attempt."""

    response: Response
    metadata: ResponseMetadata
    latency_s: float

    @property
    def status(self) -> int:
        """HTTP status code."""
        return self.response.status

    @property
    def is_success(self) -> bool:
        """Return whether the status is a success."""
        return 200 <= self.status < 300

    @property
    def is_refusal(self) -> bool:
        """Return whether the backend server found fault with the request."""
        return 400 <= self.status < 500

    @property
    def is_failure(self) -> bool:
        """Return whether the backend server itself failed."""
        return self.status >= 500


class Attempt:
    """An attempt of a request at one backend server."""

    __slots__ = (
        "_charge",
        "_connection",
        "_event_timeout_s",
        "_may_give_up",
        "_permit",
        "_place",
        "_response",
        "context",
        "link",
        "observation",
        "sent_at",
        "silence_timeout_s",
    )

    def __init__(
        self,
        *,
        context: RequestContext,
        link: BackendLink,
        observation: AttemptObservation,
        usual_first_s: float,
        event_timeout_s: float,
        may_give_up: Callable[[], bool],
    ) -> None:
        self._may_give_up = may_give_up
        self._event_timeout_s = event_timeout_s
        self.context = context
        self.link = link
        self.observation = observation
        self.sent_at = now()
        min_timeout_s = (
            ENGINE_SILENCE_TIMEOUT_S
            if context.route.is_stream
            else PLAIN_SILENCE_TIMEOUT_S
        )
        self.silence_timeout_s = min(
            MAX_SILENCE_TIMEOUT_S,
            max(min_timeout_s, SILENCE_TIMEOUT_FACTOR * usual_first_s),
        )
        self._connection: Connection | None = None
        self._response: Response | None = None
        self._charge = context.take_retry_charge()
        self._permit = context.take_permit()
        self._place = context.take_place()

    async def open(self, wire: WireFormat) -> ResponseHead:
        """Send the request and return the head of its response.

        Raises `NotSentError` or `RejectedError` if it certainly did not run, otherwise
        `IncompleteResponseError`, or `TimeoutError` at the deadline.
        """
        context = self.context
        request = context.request
        call = BackendCall(
            backend=self.link.record.id,
            time_left_s=context.deadline - now(),
            account=context.account.name if context.account is not None else None,
            priority=context.priority,
            model=context.model_name,
            last_event=context.last_event,
        )
        head = wire.encode_request(
            request.method, request.target, request.headers, call, len(request.body)
        )
        try:
            # The server may have announced its end or asked for rest since.
            self._connection = await self.link.pool.send(
                head,
                request.body,
                allowed_regions=context.allowed_regions,
                find_obstacle=self.link.find_obstacle,
            )
        except NotSentError as error:
            if not isinstance(error, WithheldError):
                self.link.mark_suspect()
            context.retry_charge, self._charge = self._charge, None
            raise
        self.sent_at = now()
        self.link.in_flight.add(self._connection)
        context.record_sent()
        context.relay = self._connection.relay
        self.link.count_sent(self._connection)
        response = await self._wait_for(self.link.pool.receive(self._connection))
        self._ensure_open()
        self._response = response
        metadata = wire.decode_response(response.status, response.headers)
        self._record_arrival(metadata)
        self._validate(metadata, response.status)
        self.link.record_response(self.sent_at)
        if context.route.is_stream:
            self.silence_timeout_s = self._event_timeout_s
        return ResponseHead(
            response=response, metadata=metadata, latency_s=now() - self.sent_at
        )

    async def read_chunk(self) -> bytes:
        """Return the next bytes of the body, or none at its end."""
        assert self._response is not None
        chunk = await self._wait_for(self._response.read_chunk())
        self._ensure_open()
        return chunk

    async def read_body(self, limit: int) -> bytes:
        """Return a whole body of at most `limit` bytes and release the connection."""
        assert self._response is not None
        held = self.context.request.held
        body = await self._wait_for(self._response.read(limit, held))
        self._ensure_open()
        await self.confirm_end()
        self.finish()
        return body

    @property
    def ends_with_connection(self) -> bool:
        """Whether nothing but the end of the connection marks the end of the body."""
        return self._response is not None and self._response.ends_with_connection

    async def confirm_end(self, *, is_last_event: bool = False) -> None:
        """Raise `ConnectionLostError` if a body may have ended because its server did.

        The end of a connection looks the same if the server has crashed. Of a server
        that leaves, which listens no more, another sign is required.
        """
        if not self.ends_with_connection:
            return
        ended_at = now()
        was_listed = self.link.find_obstacle() is not Obstacle.GONE
        await self._wait_for(asyncio.sleep(END_CHECK_DELAY_S))
        listening = await self._wait_for(self.link.pool.probe())
        self._ensure_open()
        if listening is Listening.YES and not self.link.is_replaced:
            return
        if self.link.is_departing:
            if is_last_event:
                return
            sign = self._await_sign_of_life(ended_at, was_listed=was_listed)
            if await self._wait_for(sign):
                self._ensure_open()
                return
        raise ConnectionLostError("response ended without a length, server gone")

    async def _await_sign_of_life(self, ended_at: float, *, was_listed: bool) -> bool:
        """Return whether a server that leaves lived on after the end of a response.

        One that exits as planned removes its record then; that of one that crashes
        stays until several heartbeats are missing.
        """
        while now() - ended_at < EXIT_SIGN_S:
            if self.link.has_outlived(self._connection, ended_at):
                return True
            if was_listed and self.link.find_obstacle() is Obstacle.GONE:
                return True
            await asyncio.sleep(END_CHECK_DELAY_S)
        return False

    def was_broken_off(self, error: Exception) -> bool:
        """Return whether a server, not this instance, ended a response too early.

        A kept connection may be closed as a request is sent on it.
        """
        connection = self._connection
        if connection is None or isinstance(error, MemoryShortageError):
            return False
        if not isinstance(error, IncompleteResponseError):
            return False
        return self._response is not None or connection.request_count == 1

    def finish(self) -> None:
        """Release the connection after the whole body was read."""
        assert self._response is not None
        assert self._connection is not None
        self.link.in_flight.discard(self._connection)
        self._response.finish()
        self._connection = None

    def abort(self) -> None:
        """Close the connection if it is open, so that the server stops processing."""
        if self._connection is not None:
            self.link.in_flight.discard(self._connection)
            self.link.pool.discard(self._connection)
            self._connection = None
        if self._charge is not None:
            self._charge.settle(now())
        if self._permit is not None:
            self._permit.settle(responded=False)
        if self._place is not None:
            self._place.end()

    def _record_arrival(self, metadata: ResponseMetadata) -> None:
        """Record that the request has arrived, and what the server says of itself."""
        if self._charge is not None:
            self._charge.settle(now())
        if not metadata.is_other_server:
            self._record_notices(metadata)
        is_own = not metadata.is_other_server and (
            metadata.request_id == self.context.request.envelope.request_id
        )
        # A stray response may be an earlier one, so it can't end a limit.
        states_limit = metadata.limit is not None and not metadata.is_other_server
        if is_own or states_limit:
            self.link.record_limit(metadata.limit, self.sent_at)
        if is_own or (metadata.brittleness and not metadata.is_other_server):
            self.link.record_brittleness(metadata.brittleness, self.sent_at)
        if self._permit is not None:
            self._permit.settle(metadata.limit, responded=is_own)

    def _record_notices(self, metadata: ResponseMetadata) -> None:
        """Record whether the server leaves or asks for rest.

        That holds for the response to another request, too: it is still this server's.
        """
        if metadata.leaving:
            self.link.record_leaving()
        if metadata.rest_s is not None:
            self.link.record_rest(metadata.rest_s, self.context.relay)

    def _ensure_open(self) -> None:
        # A response without a length ends with its connection: what was received before
        # this instance closed it would pass for the whole.
        if self._connection is None:
            raise IncompleteResponseError("attempt cancelled by this instance")

    def _validate(self, metadata: ResponseMetadata, status: int) -> None:
        request_id = self.context.request.envelope.request_id
        if metadata.request_id is not None and metadata.request_id != request_id:
            # A duplicate or late response to a request that used the connection before.
            raise IncompleteResponseError("response belongs to another request")
        if metadata.cold_left_s > 0.0 and not metadata.is_other_server:
            self.link.record_cold(metadata.cold_left_s)
        if metadata.not_run:
            self.context.runs -= 1
            if metadata.is_other_server:
                self.link.mark_replaced()
            elif _lacks_room(metadata, status):
                self.link.record_no_room(self.link.record.capacity)
            raise RejectedError(status, is_other_server=metadata.is_other_server)
        if metadata.encoded:
            raise IncompleteResponseError(
                "response has an unrequested content encoding"
            )
        if 200 <= status < 300 and not (metadata.signed and metadata.request_id):
            raise IncompleteResponseError("successful response without a signature")

    async def _wait_for(self, operation: Coroutine[Any, Any, T]) -> T:
        """Wait for a part of the response until the deadline.

        If the request may be retried, the attempt is abandoned when the backend server
        has been silent on all connections for a while, as it is then unreachable rather
        than slow, or when only this response appears to be lost.
        """
        task = asyncio.ensure_future(operation)
        try:
            started_at = now()
            while True:
                left_s = self.context.deadline - now()
                if left_s <= 0.0:
                    raise EndlessHeadTimeoutError if self._is_stuck else TimeoutError
                await asyncio.wait({task}, timeout=min(left_s, self._poll_interval_s()))
                if task.done():
                    return task.result()
                if self._is_stuck and self._may_give_up():
                    raise EndlessHeadError("head of the response without end")
                reason = self._find_silence(started_at)
                if reason is not None and self._may_give_up():
                    raise SilenceTimeoutError(reason)
        finally:
            if not task.done():
                task.cancel()

    @property
    def _is_stuck(self) -> bool:
        return self._connection is not None and self._connection.is_stuck_in_head

    def _find_silence(self, started_at: float) -> str | None:
        """Return why the response is unlikely to arrive; None if it is expected."""
        timestamp = now()
        silent_s = timestamp - max(started_at, self.link.received_at)
        if silent_s >= self.silence_timeout_s * PATH_CHECK_FRACTION:
            self.link.check_path(self._connection)
        if silent_s >= self.silence_timeout_s:
            self.link.mark_suspect()
            return "no sign of life"
        waited_s = timestamp - started_at
        if self._response is not None:
            return "events lost" if waited_s >= LOST_EVENTS_TIMEOUT_S else None
        # A loaded engine delays all requests. If it has answered later ones, the
        # response to this one is lost.
        if waited_s >= self.silence_timeout_s and self.link.was_overtaken(self.sent_at):
            return "answer lost"
        return None

    def _poll_interval_s(self) -> float:
        return self.silence_timeout_s / 2


def _lacks_room(metadata: ResponseMetadata, status: int) -> bool:
    """Return whether a brittle server rejected a request for lack of room."""
    is_brittle = metadata.brittleness is not None
    return is_brittle and status == UNAVAILABLE_STATUS and metadata.limit is None


def classify_outcome(error: BaseException | None) -> Outcome:
    """Return the outcome of an attempt for its backend server."""
    if error is None:
        return Outcome.OK
    if isinstance(error, RejectedError):
        return Outcome.BUSY if error.status in BUSY_STATUSES else Outcome.CANCELLED
    if isinstance(error, WithheldError):
        return Outcome.CANCELLED
    if isinstance(error, EndlessHeadError | EndlessHeadTimeoutError):
        return Outcome.FAILED
    if isinstance(error, asyncio.CancelledError | TimeoutError):
        # A timed-out request may have queued behind others. Ejecting servers for it
        # would shift their load to the remaining ones, which would then fail as well.
        return Outcome.CANCELLED
    if isinstance(error, SilenceTimeoutError):
        # A sound server may pause for a second. While it is silent it is suspect, which
        # ends with its first byte; an ejection would outlast the pause.
        return Outcome.CANCELLED
    return Outcome.FAILED
