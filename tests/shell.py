"""Run stand-ins and entries in one process, and ask them as callers do."""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import json
import threading
import time
from collections.abc import AsyncIterator, Callable, Coroutine, Sequence
from typing import Any, TypeVar

import aiohttp

from baobabthread.adapters.operators import PublishBody
from baobabthread.core.events import PublishEnded
from baobabthread.demo import move_addresses
from baobabthread.entry import Entry
from baobabthread.settings import Address, EntrySettings
from baobabthread.standins.fleet import Fleet

T = TypeVar("T")

ROOT_KEY = "root-operator-key"
SECTION_KEY = "screens-operator-key"
PEER_SECRET = "peer-secret-of-tests"
SESSION_KEYS = (("k1", b"session-key-of-tests"),)
LIMIT_S = 20.0
STEP_S = 0.02
CHAT = "/v1/chat/completions"
DISPATCH = "/v1/services/warnings/dispatch"
STATUS = "/v1/services/warnings/receipts"

HEAD = b"POST /v1/chat/completions HTTP/1.1\r\nHost: entry\r\n"
REQUEST = HEAD + b"Authorization: Bearer KEY-OF-nadia\r\n"


def hash_key(key: str) -> str:
    return hashlib.sha256(key.encode()).hexdigest()


TEXT = f"""
[services.bulletins]
kind = "model"
depends_on = ["warnings"]
cascade = ["small-1", "large-1"]
[services.bulletins.calls.draft]
priority = "urgent"
deadline_s = 15
[services.warnings]
kind = "plain"
[services.warnings.calls.dispatch]
idempotent = false
deadline_s = 10
[services.warnings.calls.receipts]
deadline_s = 5
[services.archive]
kind = "plain"
[services.archive.calls.list]
[versions.small-1]
service = "bulletins"
model = "small"
cost = 1.0
[versions.large-1]
service = "bulletins"
model = "large"
cost = 10.0
[versions.small-2]
service = "bulletins"
model = "small"
cost = 1.0
[accounts.nadia]
key_sha256 = "{hash_key("KEY-OF-nadia")}"
services = ["bulletins", "warnings"]
[accounts.digha]
key_sha256 = "{hash_key("KEY-OF-digha")}"
services = ["bulletins"]
versions = ["small-1"]
[operators.screens]
key_sha256 = "{hash_key(SECTION_KEY)}"
sections = ["screens"]
[backends.b1]
service = "bulletins"
address = "127.0.0.1:7001"
failure_domain = "kolkata"
versions = ["small-1", "large-1", "small-2"]
[backends.b2]
service = "bulletins"
address = "127.0.0.1:7002"
failure_domain = "haldia"
versions = ["small-1", "large-1", "small-2"]
[backends.w1]
service = "warnings"
address = "127.0.0.1:7003"
failure_domain = "kolkata"
[backends.w2]
service = "warnings"
address = "127.0.0.1:7004"
failure_domain = "haldia"
"""


class Answer:
    """Hold what a caller saw of one answer."""

    def __init__(self, response: aiohttp.ClientResponse, body: bytes) -> None:
        self.status = response.status
        self.headers = response.headers
        self.body = body

    @property
    def json(self) -> Any:
        return json.loads(self.body)

    @property
    def chunks(self) -> list[Any]:
        """Return the events of a stream, its end mark as text."""
        lines = [line for line in self.body.decode().split("\n") if line]
        data = [line.removeprefix("data: ") for line in lines]
        return [text if text == "[DONE]" else json.loads(text) for text in data]


class Shell:
    """Own the stand-ins, the entries and one caller."""

    def __init__(self, fleet: Fleet, text: str) -> None:
        self.fleet = fleet
        self.text = text
        self.entries: list[Entry] = []
        self._stack = contextlib.AsyncExitStack()
        self.published = 0
        self.ssl: Any = True

    async def start_entry(self, **settings: Any) -> Entry:
        anywhere = Address("127.0.0.1", 0)
        number = len(self.entries) + 1
        seeds = []
        for entry in self.entries[:2]:
            host, _, port = entry.peer_address.rpartition(":")
            seeds.append(Address(host, int(port)))
        fields: dict[str, Any] = {
            "name": f"e{number}",
            "listen": anywhere,
            "peer_listen": anywhere,
            "failure_domain": ("kolkata", "haldia")[number % 2],
            "platform": self.fleet.url,
            "peers": tuple(seeds),
            "peer_secret": PEER_SECRET,
            "session_keys": SESSION_KEYS,
            "operator_key_sha256": hash_key(ROOT_KEY),
            "address_lifetime_s": 0.1,
            "seed": number,
        }
        entry = Entry(settings=EntrySettings(**{**fields, **settings}))
        self._stack.push_async_callback(entry.stop)
        await entry.start()
        self.entries.append(entry)
        return entry

    async def publish(self, text: str, *, section: str = "all", **body: Any) -> int:
        """Publish a text and wait until every entry has it in force."""
        self.published += 1
        fields = {"id": f"p{self.published}", "section": section, "text": text, **body}
        ended: PublishEnded = await self.entries[0].administration.publish(
            PublishBody(**fields), "tests"
        )
        assert ended.problem is None, ended.problem
        await self.wait_until(
            lambda: all(
                entry.core.control.fold.generation >= ended.generation
                for entry in self.entries
            )
        )
        return ended.generation

    async def wait_until(self, condition: Callable[[], bool]) -> None:
        async with asyncio.timeout(LIMIT_S):
            while not condition():  # noqa: ASYNC110
                await asyncio.sleep(STEP_S)

    async def ask(
        self,
        method: str,
        path: str,
        *,
        body: Any = None,
        key: str = "KEY-OF-nadia",
        entry: int = 0,
        headers: dict[str, str] | None = None,
        raw: bytes | None = None,
    ) -> Answer:
        target = self.entries[entry]
        scheme = "https" if target.settings.tls_cert else "http"
        given = {"Authorization": f"Bearer {key}", **(headers or {})}
        data = raw if raw is not None else body and json.dumps(body).encode()
        async with (
            asyncio.timeout(LIMIT_S),
            aiohttp.ClientSession() as session,
            session.request(
                method,
                f"{scheme}://{target.address}{path}",
                data=data,
                headers=given,
                ssl=self.ssl,
            ) as response,
        ):
            return Answer(response, await response.read())

    async def chat(self, *, stream: bool = False, **options: Any) -> Answer:
        model = options.pop("model", "bulletins")
        content = options.pop("content", "lightning over Nadia by noon")
        body = {
            "model": model,
            "messages": [{"role": "user", "content": content}],
            "stream": stream,
            "max_tokens": 12,
        }
        return await self.ask("POST", CHAT, body=body, **options)

    async def dispatch(self, key: str, **options: Any) -> Answer:
        body = options.pop("body", {"village": "Bagula"})
        headers = {"Idempotency-Key": key}
        return await self.ask("POST", DISPATCH, body=body, headers=headers, **options)

    async def operate(self, method: str, path: str, **options: Any) -> Answer:
        return await self.ask(method, path, **{"key": ROOT_KEY, **options})

    async def close(self) -> None:
        await self._stack.aclose()


@contextlib.asynccontextmanager
async def open_shell(
    *, entries: int = 1, text: str = TEXT, settings: dict[str, Any] | None = None
) -> AsyncIterator[Shell]:
    """Run stand-ins and entries that have a text in force."""
    async with Fleet(texts=[text], keep_ports=False, seed=3) as fleet:
        shell = Shell(fleet, move_addresses(text, fleet))
        try:
            for _ in range(entries):
                await shell.start_entry(**(settings or {}))
            await shell.wait_until(
                lambda: all(
                    len(entry.core.control.membership.alive()) == entries
                    for entry in shell.entries
                )
            )
            await shell.publish(shell.text)
            yield shell
        finally:
            await shell.close()


def run_case(
    case: Callable[[Shell], Coroutine[Any, Any, T]],
    *,
    entries: int = 1,
    text: str = TEXT,
    **settings: Any,
) -> T:
    """Run a case with a shell of its own on a loop of its own."""

    async def run() -> T:
        async with open_shell(entries=entries, text=text, settings=settings) as shell:
            return await case(shell)

    return asyncio.run(run())


def mint(own: str, *, age_s: float = 0.0) -> str:
    """Return a free idempotency key."""
    return f"{own}~{int(time.time() - age_s)}"


def bind(entry: Entry, own: str) -> str:
    """Return a key bound to an entry."""
    return f"{entry.incarnation}/{mint(own)}"


def list_members(rows: Sequence[Any]) -> list[str]:
    return sorted(row["name"] for row in rows)


class ShellThread:
    """Keep a shell on a thread of its own, for what blocks, such as commands."""

    def __init__(self, **options: Any) -> None:
        self._options = options
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._opened: Any = None
        self.shell: Any = None

    def run(self, work: Coroutine[Any, Any, T]) -> T:
        return asyncio.run_coroutine_threadsafe(work, self._loop).result(LIMIT_S)

    def __enter__(self) -> ShellThread:
        self._thread.start()
        self._opened = open_shell(**self._options)
        self.shell = self.run(self._opened.__aenter__())
        return self

    def __exit__(self, *_: object) -> None:
        self.run(self._opened.__aexit__(None, None, None))
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(LIMIT_S)
        self._loop.close()

    @property
    def url(self) -> str:
        """Return the first entry's base URL."""
        entry = self.shell.entries[0]
        return f"{'https' if entry.settings.tls_cert else 'http'}://{entry.address}"


async def send(shell: Shell, data: bytes) -> bytes:
    """Send raw bytes and return all that comes until the entry closes."""
    host, _, port = shell.entries[0].address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(data)
        async with asyncio.timeout(LIMIT_S):
            return await reader.read()
    finally:
        writer.close()


def read_problem(raw: bytes) -> tuple[int, Any]:
    head, _, body = raw.partition(b"\r\n\r\n")
    assert b"application/problem+json" in head
    return int(head.split(b" ", 2)[1]), json.loads(body)
