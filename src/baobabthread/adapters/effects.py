"""Run the effects that the core returns: appends, messages, orders, answers."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Coroutine
from typing import Any

import msgspec

from baobabthread.adapters.commits import GroupCommit
from baobabthread.adapters.exchanges import Exchanges
from baobabthread.adapters.peers import PeerOutbox
from baobabthread.adapters.pollers import RatingsPoller
from baobabthread.core.entry import EntryCore
from baobabthread.core.events import (
    Cancel,
    Deliver,
    Dispatch,
    ForwardRequest,
    OrderEnded,
    PublishEnded,
    Refuse,
    Replay,
    SubmitRating,
)
from baobabthread.core.messages import Append, Received, Send, SendFailed, Stream
from baobabthread.core.rollouts.orders import OrderEngine
from baobabthread.logs import log_event
from baobabthread.ports.engine import Engine, Order, OrderStale
from baobabthread.ports.ratings import RatedAnswer

Runner = Callable[[Any], None]
Work = Coroutine[Any, Any, object]


class EffectRunner:
    """Feed events to the core and run what follows from them."""

    __slots__ = (
        "_commits",
        "_core",
        "_engine",
        "_incarnation",
        "_publishing",
        "_ratings",
        "_replies",
        "_runners",
        "_spawn",
        "exchanges",
        "outbox",
    )

    def __init__(
        self,
        *,
        core: EntryCore,
        incarnation: str,
        commits: dict[Stream, GroupCommit],
        engine: Engine,
        ratings: RatingsPoller,
        spawn: Callable[[Work], None],
    ) -> None:
        """Take `spawn`, which runs work beside the loop's other tasks."""
        self._core = core
        self._incarnation = incarnation
        self._commits = commits
        self._engine = engine
        self._ratings = ratings
        self._spawn = spawn
        self._publishing: dict[str, asyncio.Future[PublishEnded]] = {}
        self._replies: tuple[str, list[msgspec.Struct]] | None = None
        self.exchanges: Exchanges | None = None
        self.outbox: PeerOutbox | None = None
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

    def feed(self, event: object) -> None:
        """Give the core an event and run what follows from it."""
        for effect in self._core.handle(event, time.monotonic()):
            self.run(effect)

    def run(self, effect: object) -> None:
        """Run one effect."""
        self._runners[type(effect)](effect)

    def _append(self, append: Append) -> None:
        self._commits[append.stream].add(append)

    def _send(self, send: Send) -> None:
        if self._replies is not None and self._is_same(send.to, self._replies[0]):
            self._replies[1].append(send.message)
            return
        if self.outbox is not None:
            self.outbox.send(send.to, send.message)

    def _is_same(self, to: str, incarnation: str) -> bool:
        if to == incarnation:
            return True
        member = self._core.control.membership.table.get(to)
        return member is not None and member.incarnation == incarnation

    def locate(self, to: str) -> str | None:
        """Return the address of an entry by its name, incarnation or own address."""
        membership = self._core.control.membership
        if membership.table.get(to) is None and ":" not in to:
            for member in membership.members():
                if member.incarnation == to:
                    return member.peer_address
            return None
        return membership.peer_address(to)

    def receive(self, sender: str, message: msgspec.Struct) -> list[msgspec.Struct]:
        """Give a peer's message to the core and return what answers it."""
        outer, self._replies = self._replies, (sender, [])
        try:
            self.feed(Received(sender=sender, message=message))
            return self._replies[1]
        finally:
            self._replies = outer

    def fail_send(self, to: str, message: msgspec.Struct) -> None:
        """Tell the core that a message did not leave or may not have arrived."""
        self.feed(SendFailed(to=to, message=message))

    def _route(self, effect: Any) -> None:
        if self.exchanges is not None:
            self.exchanges.route(effect)

    def _submit_rating(self, effect: SubmitRating) -> None:
        if self.exchanges is None:
            return
        channel = self.exchanges.channels.get(effect.request_id)
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
        backend = self._core.directory.configuration.backends.get(effect.backend)
        if backend is not None:
            self._spawn(self._engine.cancel(backend.address, effect.request_id))

    def _order_engine(self, effect: OrderEngine) -> None:
        backend = self._core.directory.configuration.backends.get(effect.backend)
        if backend is not None:
            self._spawn(self._give_order(backend.address, effect))

    async def _give_order(self, address: str, effect: OrderEngine) -> None:
        if not self._core.conductors.may_order(effect, time.monotonic()):
            log_event("order_dropped", backend=effect.backend, fence=effect.fence)
            self.feed(
                OrderEnded(backend=effect.backend, fence=effect.fence, stale=False)
            )
            return
        outcome = await self._engine.order(
            address,
            Order(
                fence=effect.fence,
                desired=effect.desired,
                generation=effect.generation,
                conductor=self._incarnation,
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
