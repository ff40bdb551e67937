"""Tests of the backend servers' clients against the stand-ins."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Coroutine
from typing import Any

import msgspec
import pytest

from baobabthread.adapters.engines import EngineClient, PlainClient, open_session
from baobabthread.ports.engine import (
    Answer,
    Broken,
    Chunk,
    Crossed,
    End,
    Order,
    OrderDone,
    OrderStale,
    Refused,
    StreamItem,
)
from baobabthread.ports.plain import PlainAnswer
from baobabthread.standins.engine import EngineServer
from baobabthread.standins.plain import PlainServer

PROMPT = [{"role": "user", "content": "draft a notice difficulty=0.2"}]


def run(case: Coroutine[Any, Any, None]) -> None:
    asyncio.run(asyncio.wait_for(case, 30))


@contextlib.asynccontextmanager
async def open_engine(**settings: Any) -> AsyncIterator[tuple[EngineServer, Any]]:
    settings = {"name": "e1", "versions": ["small"], "seed": 1, **settings}
    async with EngineServer(**settings) as server, open_session() as session:
        yield server, EngineClient(session=session)


def ask(**fields: Any) -> bytes:
    return msgspec.json.encode({"model": "small", "messages": PROMPT, **fields})


async def collect(
    client: EngineClient, address: str, request_id: str, start: int = 0
) -> list[StreamItem]:
    body = ask(stream=True, resume_from=start)
    stream = client.stream(
        address, request_id=request_id, body=body, timeout_s=10, resume_from=start
    )
    return [item async for item in stream]


def join_tokens(items: list[StreamItem]) -> str:
    text = ""
    for chunk in items:
        if isinstance(chunk, Chunk):
            for event in chunk.raw.strip().split(b"\n\n"):
                row = msgspec.json.decode(event.removeprefix(b"data: "))
                text += row["choices"][0]["delta"]["content"]
    return text


def test_stream_and_plain_answer_agree() -> None:
    async def case() -> None:
        async with open_engine() as (server, client):
            whole = await client.complete(
                server.address, request_id="r1", body=ask(), timeout_s=10
            )
            items = await collect(client, server.address, "r2")
            assert isinstance(whole, Answer)
            assert isinstance(items[-1], End)
            body = msgspec.json.decode(whole.body)
            assert join_tokens(items) == body["choices"][0]["message"]["content"]
            assert items[-1].signal == whole.signal
            assert server.runs.get("r1") == server.runs.get("r2") == 1

    run(case())


def test_cut_stream_is_broken_and_resumes_to_the_same_answer() -> None:
    """See a cut stream end as broken, never as whole.

    The engine cuts the connection after three tokens. The caller sees three tokens
    and a break; asked again from there, it sees the rest of the same answer.
    """

    async def case() -> None:
        async with open_engine() as (server, client):
            entire = join_tokens(await collect(client, server.address, "r0"))
            server.set_faults({"cut_after_tokens": 3})
            cut = await collect(client, server.address, "r1")
            assert isinstance(cut[-1], Broken)
            assert cut[-1].sent and cut[-1].first_byte
            server.set_faults({})
            rest = await collect(client, server.address, "r1", start=3)
            assert isinstance(rest[-1], End)
            assert join_tokens(cut) + join_tokens(rest) == entire
            assert server.runs.get("r1") == 1

    run(case())


def test_crossed_answers_are_never_delivered() -> None:
    async def case() -> None:
        async with open_engine() as (server, client):
            server.set_faults({"crossed": 1.0})
            whole = await client.complete(
                server.address, request_id="r1", body=ask(), timeout_s=10
            )
            items = await collect(client, server.address, "r2")
            assert isinstance(whole, Crossed)
            assert len(items) == 1 and isinstance(items[0], Crossed)

    run(case())


@pytest.mark.parametrize(
    ("faults", "kind"),
    [({"leaving": True}, "leaving"), ({"refuse": True}, "refused")],
)
def test_refusal_says_not_run(faults: dict[str, Any], kind: str) -> None:
    async def case() -> None:
        async with open_engine() as (server, client):
            server.set_faults(faults)
            refused = await client.complete(
                server.address, request_id="r1", body=ask(), timeout_s=10
            )
            assert isinstance(refused, Refused) and refused.kind == kind
            assert server.runs.get("r1") == 0

    run(case())


def test_only_a_failed_connection_counts_as_not_sent() -> None:
    """Tell a stopped engine from a frozen one.

    Nobody listens at the stopped engine's port: nothing was sent. The frozen engine
    took the request and stays silent until the time-out: it may have run.
    """

    async def case() -> None:
        async with open_engine() as (server, client):
            server.set_faults({"freeze": True})
            frozen = await client.complete(
                server.address, request_id="r1", body=ask(), timeout_s=0.2
            )
            await server.stop()
            stopped = await client.complete(
                server.address, request_id="r2", body=ask(), timeout_s=5
            )
            assert isinstance(frozen, Broken) and frozen.sent
            assert isinstance(stopped, Broken) and not stopped.sent

    run(case())


def test_cancelled_request_is_not_a_whole_answer() -> None:
    async def case() -> None:
        async with open_engine() as (server, client):
            server.set_faults({"freeze": True})
            waiting = asyncio.create_task(collect(client, server.address, "r1"))
            async with asyncio.timeout(20):
                while not await client.cancel(server.address, "r1"):
                    assert not waiting.done()
            items = await waiting
            assert isinstance(items[-1], Broken)
            assert server.runs.get("r1") == 0

    run(case())


@pytest.mark.parametrize("checks", [True, False])
def test_stale_order_is_refused_only_by_a_checking_engine(checks: bool) -> None:
    async def case() -> None:
        async with open_engine(checks_fencing=checks) as (server, client):
            new = Order(fence=7, desired=["small", "next"], generation=2, conductor="b")
            old = Order(fence=3, desired=["small"], generation=1, conductor="a")
            assert isinstance(await client.order(server.address, new), OrderDone)
            outcome = await client.order(server.address, old)
            if checks:
                assert outcome == OrderStale(fence=7)
            else:
                assert outcome == OrderDone(loaded=["small"], loading=[])

    run(case())


def test_plain_faults_have_their_outcomes() -> None:
    async def case() -> None:
        server = PlainServer(name="p1", seed=1)
        async with server, open_session() as session:
            client = PlainClient(session=session)

            async def call(request_id: str, **faults: Any) -> object:
                server.set_faults(faults)
                return await client.call(
                    server.address,
                    "dispatch",
                    request_id=request_id,
                    body=b'{"to":"shore"}',
                    timeout_s=10,
                )

            answer = await call("r1")
            assert isinstance(answer, PlainAnswer)
            echo = msgspec.json.decode(answer.body)["result"]["echo"]
            assert echo == {"to": "shore"}
            lost = await call("r2", lose_replies=1.0)
            assert isinstance(lost, Broken) and lost.sent and not lost.first_byte
            assert server.runs.get("r2") == 1
            cut = await call("r3", cut_body=1.0)
            assert isinstance(cut, Broken) and cut.first_byte
            assert isinstance(await call("r4", crossed=1.0), Crossed)
            assert isinstance(await call("r5", leaving=True), Refused)
            assert server.runs.get("r5") == 0

    run(case())
