"""One entry's core without sockets, in virtual time."""

from __future__ import annotations

import hashlib
import random
from typing import Any, TypeVar

import msgspec

from baobabthread.core.configuration.fold import Publish
from baobabthread.core.entry import CoreSettings, EntryCore
from baobabthread.core.events import (
    Answered,
    AttemptEnded,
    AttemptOutcome,
    LoadReported,
    RequestArrived,
    Tick,
)
from baobabthread.core.membership.messages import MemberInfo
from baobabthread.core.messages import LogRead, LogRecord, Stream
from baobabthread.core.sessions.tokens import SessionKey, SessionKeyRing

KEY = "KEY-OF-metro"
TEXT = """
[services.content]
kind = "model"
cascade = ["small", "large"]
cascade_rule = "threshold"
[services.screens]
kind = "plain"
[services.screens.calls.status]
[services.screens.calls.reboot]
idempotent = false
[versions.small]
service = "content"
model = "s"
cost = 1.0
STATE
[versions.large]
service = "content"
model = "l"
cost = 10.0
[accounts.metro]
key_sha256 = "HASH"
services = ["content", "screens"]
LIMIT
[backends.engine-1]
service = "content"
address = "127.0.0.1:1"
failure_domain = "vake"
versions = ["small", "large"]
[backends.engine-2]
service = "content"
address = "127.0.0.1:2"
failure_domain = "vake"
versions = ["small", "large"]
[backends.screen-1]
service = "screens"
address = "127.0.0.1:3"
failure_domain = "vake"
[backends.screen-2]
service = "screens"
address = "127.0.0.1:4"
failure_domain = "vake"
"""

E = TypeVar("E")


def write_text(*, state: str = "", limit: str = "") -> str:
    """Return the text with a line for the small version and one for the account."""
    text = TEXT.replace("HASH", hashlib.sha256(KEY.encode()).hexdigest())
    return text.replace("STATE", state).replace("LIMIT", limit)


class Lone:
    """Drive one core and keep what it asked for."""

    def __init__(self, *, text: str | None = None, seeds: tuple[str, ...] = ()) -> None:
        self.now = 100.0
        self.core = EntryCore(
            me=MemberInfo(
                name="e1",
                address="127.0.0.1:9",
                peer_address="127.0.0.1:10",
                failure_domain="vake",
                incarnation="e1-1",
                started_at=1.0,
            ),
            seeds=seeds,
            keys=SessionKeyRing(current=SessionKey(id="k", secret=b"s" * 16)),
            rng=random.Random(1),
            now=self.now,
            settings=CoreSettings(wall_offset_s=1_000_000.0),
        )
        self._offset = 0
        self._requests = 0
        self.publish(write_text() if text is None else text)
        self.handle(LogRead(stream=Stream.ROLLOUTS, records=[], head=0))
        for name in ("engine-1", "engine-2"):
            self.handle(
                LoadReported(
                    backend=name,
                    running=0,
                    waiting=0,
                    capacity=8,
                    versions=["small", "large"],
                )
            )

    def handle(self, event: object) -> list[Any]:
        """Give the core an event."""
        return self.core.handle(event, self.now)

    def publish(self, text: str) -> None:
        """Let the log hold a new text and the core read it."""
        base = self.core.control.fold.section_generation("s")
        self._offset += 1
        body = Publish(base=base, section="s", text=text, operator="o")
        record = LogRecord(
            offset=self._offset,
            id=f"p{self._offset}",
            body=msgspec.Raw(msgspec.json.encode(body)),
        )
        self.read_head([record])
        assert self.core.control.fold.generation == self._offset

    def read_head(self, records: list[LogRecord] | None = None) -> None:
        """Let the core read the log up to its head."""
        self.handle(
            LogRead(
                stream=Stream.CONFIGURATION,
                records=records or [],
                head=self._offset,
                started_at=self.now,
            )
        )

    def ask(self, **changes: Any) -> list[Any]:
        """Let a caller ask; a chat unless told otherwise."""
        self._requests += 1
        fields: dict[str, Any] = {
            "request_id": f"r{self._requests}",
            "service": "content",
            "call": "",
            "is_model": True,
            "key_sha256": hashlib.sha256(KEY.encode()).hexdigest(),
            "body": b"{}",
            "deadline_s": 30.0,
        }
        return self.handle(RequestArrived(**{**fields, **changes}))

    def end(self, request_id: str, backend: str, outcome: AttemptOutcome) -> list[Any]:
        """Let an attempt end."""
        return self.handle(
            AttemptEnded(
                request_id=request_id, backend=backend, outcome=outcome, latency_s=0.1
            )
        )

    def tick(self, seconds: float) -> list[Any]:
        """Let time pass."""
        self.now += seconds
        return self.handle(Tick())


def find(effects: list[Any], kind: type[E]) -> E:
    """Return the one effect of a kind."""
    found = [effect for effect in effects if isinstance(effect, kind)]
    assert len(found) == 1, effects
    return found[0]


WEAK = Answered(signal=0.1, prompt_tokens=3, completion_tokens=5)
SURE = Answered(signal=0.99, prompt_tokens=3, completion_tokens=5)
