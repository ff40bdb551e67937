"""Requests through one instance, against backend servers that fail on the wire."""

from __future__ import annotations

import asyncio
import time

import pytest

from tests.platform.fakecallers import KEY, read_response
from tests.platform.fakestore import OPERATORS
from tests.platform.site import make_configuration, open_site, run, wait_for


def test_pass_a_request_on_unchanged() -> None:
    async def case() -> None:
        async with open_site("p1") as site:
            answer = await site.call(
                "/safe/a%2Fb?q=%20x&y", method="POST", body=b"body", X_Extra="kept"
            )
            (seen,) = site.backends[0].seen
            assert (answer.status, answer.body) == (200, b"answer of p1")
            assert answer.headers["x-response-signature"] == "signed-by-the-backend"
            assert (seen.method, seen.target) == ("POST", "/safe/a%2Fb?q=%20x&y")
            assert (seen.body, seen.headers["x-extra"]) == (b"body", "kept")
            assert seen.headers["x-attempt-id"] == "a1"
            assert seen.headers["x-target-instance"] == "p1"
            assert seen.headers["x-tenant"] == "metro"
            assert 0 < int(seen.headers["x-timeout-ms"]) <= 2000

    run(case())


def test_drop_what_only_this_side_may_set() -> None:
    """A caller forges whose request it is and what a backend server reserves.

    Passed on, the request would be charged to another client account, hold memory, or
    go on from another request's.
    """

    async def case() -> None:
        async with open_site("p1") as site:
            await site.call(
                "/safe/x",
                X_Tenant="other",
                X_Target_Instance="other",
                X_Request_Priority="0",
                X_Expected_Version="7",
                X_Hold="h",
                X_Pin_Ms="9",
                X_Kv_Backup="1.2.3.4:5",
                Kv_From="1.2.3.4:5/x",
            )
            headers = site.backends[0].seen[0].headers
            assert headers["x-tenant"] == "metro"
            assert headers["x-target-instance"] == "p1"
            assert headers["x-request-priority"] == "1"
            dropped = {"authorization", "x-hold", "x-pin-ms", "x-kv-backup", "kv-from"}
            assert not dropped & headers.keys()
            assert "x-expected-version" not in headers

    run(case())


@pytest.mark.parametrize(
    ("path", "key", "status"),
    [
        ("/nowhere/x", KEY, 404),
        ("/safe", KEY, 404),
        ("/safe/x", "unknown", 401),
        ("/safe/x", None, 401),
        ("/open/x", None, 200),
    ],
)
def test_check_route_and_key(path: str, key: str | None, status: int) -> None:
    async def case() -> None:
        async with open_site("p1") as site:
            assert (await site.call(path, key=key)).status == status

    run(case())


def test_refuse_a_body_over_the_limit() -> None:
    async def case() -> None:
        async with open_site("p1") as site:
            answer = await site.call("/safe/x", method="POST", body=b"x" * 10_001)
            assert answer.status == 413
            assert not site.backends[0].seen

    run(case())


def test_refuse_ambiguous_framing() -> None:
    """A request has a length and chunks, and hides another one in its body.

    Whoever reads it one way passes the hidden one on as its own; it is refused and the
    connection closed.
    """

    async def case() -> None:
        async with open_site("p1") as site:
            ip, _, port = site.settings[0].callers_address.rpartition(":")
            reader, writer = await asyncio.open_connection(ip, int(port))
            writer.write(
                b"POST /open/x HTTP/1.1\r\nHost: api.example\r\nContent-Length: 4\r\n"
                b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
                b"GET /open/hidden HTTP/1.1\r\nHost: api.example\r\n\r\n"
            )
            answer = await read_response(reader)
            assert answer.status == 400
            assert await reader.read() == b""
            assert not site.backends[0].seen
            writer.close()

    run(case())


@pytest.mark.parametrize(
    "fault", ["cut", "mute", "other_id", "unsigned", "unframed_reset"]
)
def test_run_a_non_idempotent_request_once(fault: str) -> None:
    """The caller gets 502 or 504: the request may have run.

    The backend server takes it and its answer is lost, spoilt or another's. A second
    try, or a 503 that makes the caller try again, would run it twice.
    """

    async def case() -> None:
        async with open_site("p1", "p2") as site:
            for backend in site.backends:
                backend.behaviour = fault
            answer = await site.call("/unsafe/x", method="POST", body=b"warn")
            assert answer.status in (502, 504)
            assert answer.is_complete
            assert sum(len(b.seen) for b in site.backends) == 1

    run(case())


@pytest.mark.parametrize("fault", ["cut", "mute", "other_id", "unsigned", "fail"])
def test_try_an_idempotent_request_elsewhere(fault: str) -> None:
    async def case() -> None:
        async with open_site("p1", "p2") as site:
            site.backends[0].behaviour = fault
            for _ in range(4):
                answer = await site.call("/safe/x")
                assert (answer.status, answer.body) == (200, b"answer of p2")

    run(case())


def test_pass_on_a_signed_failure_when_nothing_else_is_left() -> None:
    async def case() -> None:
        async with open_site("p1") as site:
            site.backends[0].behaviour = "fail"
            answer = await site.call("/unsafe/x", method="POST", body=b"x")
            assert (answer.status, answer.body) == (500, b"own failure")
            assert "x-response-signature" in answer.headers

    run(case())


def test_offer_a_refused_request_elsewhere() -> None:
    """A full backend server says that it did not run a request that may not repeat."""

    async def case() -> None:
        async with open_site("p1", "p2") as site:
            site.backends[0].behaviour = "shed"
            for _ in range(4):
                answer = await site.call("/unsafe/x", method="POST", body=b"x")
                assert answer.status == 200

    run(case())


def test_refuse_with_a_time_to_come_back_when_all_are_full() -> None:
    async def case() -> None:
        async with open_site("p1", "p2") as site:
            for backend in site.backends:
                backend.behaviour = "shed"
            answer = await site.call("/unsafe/x", method="POST", body=b"x")
            assert answer.status == 503
            assert float(answer.headers["retry-after"]) > 0

    run(case())


def test_keep_a_stray_answer_from_the_next_caller() -> None:
    """A backend server sends a second answer behind a whole one.

    On the kept connection it would be read as the answer to the next request.
    """

    async def case() -> None:
        async with open_site("p1") as site:
            site.backends[0].behaviour = "extra"
            for number in range(5):
                id = f"r{number}"
                answer = await site.call("/safe/x", X_Attempt_Id=id)
                assert answer.body == b"answer of p1"
                assert answer.headers["x-attempt-id"] == id

    run(case())


def test_take_a_body_that_ends_with_its_connection() -> None:
    async def case() -> None:
        async with open_site("p1") as site:
            site.backends[0].behaviour = "unframed"
            answer = await site.call("/unsafe/x", method="POST", body=b"x")
            assert (answer.status, answer.body) == (200, b"whole body")

    run(case())


def test_answer_at_the_time_limit_of_the_route() -> None:
    """The backend server never answers; the caller would wait for five seconds.

    The operator's limit is two: a final answer goes out then, not at the caller's end.
    """

    async def case() -> None:
        async with open_site("p1") as site:
            site.backends[0].behaviour = "mute"
            began = time.monotonic()
            answer = await site.call("/unsafe/x", method="POST", body=b"x")
            assert answer.status == 504
            assert 1.8 < time.monotonic() - began < 2.4

    run(case())


def test_stop_the_backend_server_when_the_caller_leaves() -> None:
    """A caller closes its connection; what it asked for is work for nobody."""

    async def case() -> None:
        async with open_site("p1") as site:
            site.backends[0].behaviour = "mute"
            ip, _, port = site.settings[0].callers_address.rpartition(":")
            _, writer = await asyncio.open_connection(ip, int(port))
            writer.write(
                b"GET /open/x HTTP/1.1\r\nHost: api.example\r\nX-Attempt-Id: a\r\n\r\n"
            )
            await wait_for(lambda: site.backends[0].seen)
            writer.close()
            await wait_for(lambda: site.backends[0].seen[0].was_aborted, 0.5)

    run(case())


def test_stop_honouring_a_key_that_was_taken_away() -> None:
    async def case() -> None:
        async with open_site("p1") as site:
            assert (await site.call("/safe/x")).status == 200
            site.configure(2, tenants=[{"name": "metro", "api_keys": ["other"]}])
            table = site.instances[0].replica
            await wait_for(lambda: table.table.configuration.version == 2)
            assert (await site.call("/safe/x")).status == 401

    run(case())


def test_refuse_keyed_requests_when_knowledge_is_too_old() -> None:
    """The store falls silent, and an operator takes a key away meanwhile.

    An instance that can't read it must stop within the bound; it says 503, not 401,
    since the key may well stand.
    """

    async def case() -> None:
        async with open_site("p1") as site:
            site.store.fault = "silent"
            await wait_for(lambda: not site.instances[0].is_ready, 4.0)
            assert (await site.call("/safe/x")).status == 503
            assert (await site.call("/nowhere/x")).status == 503
            assert (await site.call("/open/x", key=None)).status == 200

    run(case())


def test_keep_the_last_good_configuration() -> None:
    """An operator's record can't be decoded; what was in force stays so."""

    async def case() -> None:
        async with open_site("p1") as site:
            site.store.put(OPERATORS, "config", b"{not json")
            site.store.put(OPERATORS, "config", {"version": 3, "routes": [{"host": 1}]})
            site.store.put("keyed.servers", "p9", b"rubbish")
            await asyncio.sleep(0.8)
            assert (await site.call("/safe/x")).status == 200
            site.configure(4, routes=make_configuration()["routes"][1:])
            await wait_for(
                lambda: site.instances[0].replica.table.configuration.version == 4
            )
            assert (await site.call("/safe/x")).status == 404

    run(case())


def test_send_nothing_to_a_backend_server_that_leaves() -> None:
    async def case() -> None:
        async with open_site("p1", "p2") as site:
            leaving = site.backends[0]
            site.store.put(
                "keyed.servers", "p1", leaving.record | {"state": "draining"}
            )
            await wait_for(
                lambda: site.instances[0].replica.backends["p1"].leaving, 2.0
            )
            await asyncio.sleep(0.2)
            before = len(leaving.seen)
            for _ in range(6):
                assert (await site.call("/safe/x")).status == 200
            assert len(leaving.seen) == before

    run(case())


def test_wait_a_moment_for_the_first_knowledge() -> None:
    """All instances were lost, and every caller meets the first that is back.

    It knows neither configuration nor backend servers for its first hundredths of a
    second. Refused then, the callers have used up their repeat for nothing.
    """

    async def case() -> None:
        async with open_site("p1") as site:
            index = await site.add_instance("i2", ip="127.0.0.2")
            answers = [site.call("/open/x", index=index, key=None) for _ in range(20)]
            assert {a.status for a in await asyncio.gather(*answers)} == {200}

    run(case())


def test_answer_503_while_nothing_is_known() -> None:
    """An instance starts while neither the store nor a peer can be reached.

    It can't know whether a route exists: 404 would be final for the caller.
    """

    async def case() -> None:
        async with open_site("p1") as site:
            site.store.fault = "busy"
            site.settings.clear()
            await site.add_instance("i2", ip="127.0.0.2")
            for path in ("/nowhere/x", "/safe/x"):
                answer = await site.call(path)
                assert answer.status == 503
                assert float(answer.headers["retry-after"]) > 0

    run(case())
