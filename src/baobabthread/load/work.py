"""The requests that the load tool makes up."""

from __future__ import annotations

import time
from random import Random

import msgspec

from baobabthread.load.settings import LoadAccount, LoadSettings, Work

WORDS = (
    *("draft", "playlist", "safety", "notice", "lightning", "bulletin", "summary"),
    *("station", "river", "screen", "campaign", "district", "morning", "village"),
)
CHAT_PATH = "/v1/chat/completions"


class Request(msgspec.Struct, frozen=True, kw_only=True):
    """Hold one request, the same in each of its attempts."""

    own_id: str
    """The caller's own id; backend stand-ins count its runs."""
    work: Work
    account: LoadAccount
    path: str
    body: bytes
    prompt: str = ""

    @property
    def is_chat(self) -> bool:
        """Tell a request to a model from a call of a plain service."""
        return self.work in (Work.CHAT, Work.STREAM)

    @property
    def is_keyed(self) -> bool:
        """Tell whether the request may not run twice."""
        return self.work in (Work.BOUND, Work.FREE)


class _Message(msgspec.Struct, frozen=True):
    content: str
    role: str = "user"


class _ChatBody(msgspec.Struct, frozen=True):
    model: str
    messages: list[_Message]
    stream: bool
    max_tokens: int


class _CallBody(msgspec.Struct, frozen=True):
    id: str
    note: str


class WorkSource:
    """Make up requests in the wanted shares, the same ones for the same seed."""

    __slots__ = ("_count", "_rng", "_run", "_settings", "_shares", "_works")

    def __init__(self, *, settings: LoadSettings) -> None:
        self._settings = settings
        self._rng = Random(f"{settings.seed}:work")
        # Own ids of a second run would look like repeats of the first one's calls.
        self._run = settings.run or f"{time.time_ns() // 1000:x}"
        self._works = list(settings.shares)
        self._shares = [settings.shares[work] for work in self._works]
        self._count = 0

    def make(self, account: LoadAccount) -> Request:
        """Return the next request of an account."""
        self._count += 1
        own_id = f"{account.name}-{self._run}-{self._count}"
        work = self._rng.choices(self._works, self._shares)[0]
        if work in (Work.CHAT, Work.STREAM):
            return self._make_chat(own_id, work, account)
        return self._make_call(own_id, work, account)

    def _make_chat(self, own_id: str, work: Work, account: LoadAccount) -> Request:
        settings = self._settings
        words = " ".join(self._rng.choices(WORDS, k=settings.prompt_words))
        # Given, not hashed: the id, which each run changes, must not change it.
        difficulty = f"difficulty={self._rng.random():.4f}"
        call = f"call={settings.model_call} " if settings.model_call else ""
        content = f"{words} {call}{difficulty} id={own_id}"
        body = _ChatBody(
            model=settings.model,
            messages=[_Message(content=content)],
            stream=work is Work.STREAM,
            max_tokens=settings.max_tokens,
        )
        return Request(
            own_id=own_id,
            work=work,
            account=account,
            path=CHAT_PATH,
            body=msgspec.json.encode(body),
            prompt=f"user: {content}",
        )

    def _make_call(self, own_id: str, work: Work, account: LoadAccount) -> Request:
        settings = self._settings
        plain = work is Work.PLAIN
        call = settings.plain_call if plain else settings.keyed_call
        body = _CallBody(id=own_id, note=self._rng.choice(WORDS))
        return Request(
            own_id=own_id,
            work=work,
            account=account,
            path=f"/v1/services/{settings.plain_service}/{call}",
            body=msgspec.json.encode(body),
        )
