"""Tests of bad input from callers: a clear answer, and nobody else disturbed."""

from __future__ import annotations

import asyncio
import gzip
import json
import re
import string
from collections.abc import Coroutine, Iterator
from typing import Any, TypeVar

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from baobabthread.adapters import callers
from baobabthread.loglimits import LineRateLimiter
from baobabthread.logs import configure_logs
from tests.shell import (
    CHAT,
    DISPATCH,
    REQUEST,
    STATUS,
    Shell,
    open_shell,
    read_problem,
    run_case,
    send,
)

T = TypeVar("T")

MESSAGES = [{"role": "user", "content": "storm"}]
CHAT_BODY = {"model": "small-1", "messages": MESSAGES, "max_tokens": 4}


class Host:
    """Keep one shell and its loop over many examples."""

    def __init__(self, runner: asyncio.Runner, shell: Shell) -> None:
        self.runner = runner
        self.shell = shell

    def run(self, work: Coroutine[Any, Any, T]) -> T:
        return self.runner.run(work)


@pytest.fixture(scope="module")
def host() -> Iterator[Host]:
    with asyncio.Runner() as runner:
        opened = open_shell()
        shell = runner.run(opened.__aenter__())
        yield Host(runner, shell)
        runner.run(opened.__aexit__(None, None, None))


BODIES: list[tuple[bytes, str]] = [
    (b"", "chat request"),
    (b"{", "chat request"),
    (b"[]", "chat request"),
    (b"\xff\xfe", "chat request"),
    (b'{"model": "small-1"}', "messages"),
    (b'{"messages": []}', "model"),
    (b'{"model": 5, "messages": []}', "model"),
    (b'{"model": "small-1", "messages": []}', "0 messages"),
    (b'{"model": "small-1", "messages": [{"content": "x"}]}', "role"),
    (b'{"model": "small-1", "messages": "x"}', "messages"),
    (b'{"model": "\\ud800", "messages": [{"role": "user"}]}', "chat request"),
    (
        b'{"model":"small-1","messages":[{"role":"user"}],"max_tokens":-1}',
        "max_tokens",
    ),
    (
        b'{"model":"small-1","messages":[{"role":"user"}],"max_tokens":"x"}',
        "max_tokens",
    ),
    (b'{"model":"small-1","messages":[{"role":"user"}],"stream":3}', "stream"),
    (b'{"a":' * 3_000 + b"1" + b"}" * 3_000, "chat request"),
]


@pytest.mark.parametrize("body, named", BODIES, ids=range(len(BODIES)))
def test_broken_chat_body_is_refused(host: Host, body: bytes, named: str) -> None:
    answer = host.run(host.shell.ask("POST", CHAT, raw=body))
    assert answer.status == 400
    assert answer.json["kind"] == "bad_request"
    assert named in answer.json["detail"]
    assert answer.json["remedy"]
    assert answer.json["ran"] == "no"


HEADERS: list[tuple[dict[str, str], str]] = [
    ({"X-Deadline-Ms": "0"}, "X-Deadline-Ms"),
    ({"X-Deadline-Ms": "-1"}, "X-Deadline-Ms"),
    ({"X-Deadline-Ms": "1e3"}, "X-Deadline-Ms"),
    ({"X-Deadline-Ms": "9" * 5_000}, "X-Deadline-Ms"),
    ({"X-Deadline-Ms": str(10**12)}, "X-Deadline-Ms"),
    ({"X-Deadline-Ms": "soon"}, "X-Deadline-Ms"),
    ({"Baobab-Priority": "first"}, "Baobab-Priority"),
    ({"Idempotency-Key": "a b"}, "Idempotency-Key"),
    ({"Idempotency-Key": ""}, "Idempotency-Key"),
    ({"Idempotency-Key": "x" * 201}, "Idempotency-Key"),
    ({"Baobab-Session": "\u0995"}, "Baobab-Session"),
    ({"Baobab-Session": "x" * 3_000}, "Baobab-Session"),
    ({"Baobab-Session-Name": "x" * 201}, "Baobab-Session-Name"),
    ({"Baobab-Session-Name": "a\tb"}, "Baobab-Session-Name"),
    ({"Baobab-Session-Name": "\udcff"}, "Baobab-Session-Name"),
    ({"Baobab-Call": "\udcff"}, "Baobab-Call"),
    ({"Baobab-Call": "x" * 201}, "Baobab-Call"),
]


@pytest.mark.parametrize("headers, named", HEADERS)
def test_bad_header_is_named(host: Host, headers: dict[str, str], named: str) -> None:
    lines = b"".join(
        f"{name}: {value}\r\n".encode(errors="surrogateescape")
        for name, value in headers.items()
    )
    body = json.dumps(CHAT_BODY).encode()
    head = REQUEST + lines + b"Connection: close\r\nContent-Length: %d\r\n\r\n"
    raw = host.run(send(host.shell, head % len(body) + body))
    status, problem = read_problem(raw)
    assert (status, problem["kind"]) == (400, "bad_request")
    assert named in problem["detail"]
    assert problem["remedy"]


@pytest.mark.parametrize("value", ["", "Bearer", "Basic x", "Bearer \udcff", "KEY"])
def test_bad_key_is_refused(host: Host, value: str) -> None:
    body = json.dumps(CHAT_BODY).encode()
    line = f"Authorization: {value}\r\n".encode(errors="surrogateescape")
    head = (
        b"POST /v1/chat/completions HTTP/1.1\r\nHost: entry\r\n%b"
        b"Connection: close\r\nContent-Length: %d\r\n\r\n"
    )
    status, problem = read_problem(
        host.run(send(host.shell, head % (line, len(body)) + body))
    )
    assert (status, problem["kind"]) == (401, "unauthenticated")
    assert "key" in problem["remedy"]


@pytest.mark.parametrize(
    "method, path",
    [
        ("GET", CHAT),
        ("PUT", CHAT),
        ("DELETE", "/v1/addresses"),
        ("POST", "/v1/addresses"),
        ("POST", "/healthz"),
        ("GET", "/"),
        ("GET", "/v2/nothing"),
        ("POST", "/v1/services/"),
        ("POST", "/v1/services/warnings"),
        ("POST", "/v1/services/warnings/receipts/more"),
        ("GET", STATUS),
        ("GET", "/%ff%00%0a"),
    ],
)
def test_wrong_path_or_method_is_refused(host: Host, method: str, path: str) -> None:
    answer = host.run(host.shell.ask(method, path))
    assert answer.status == 404
    assert answer.json["kind"] == "not_found"
    assert "/v1/" in answer.json["remedy"]


@pytest.mark.parametrize("is_chunked", [False, True])
def test_oversize_body_is_refused(is_chunked: bool) -> None:
    """A caller sends more than the bound, with its length told or not.

    Told, it is refused before it is read; in chunks, as soon as the bound is passed.
    A good request beside it is answered.
    """

    async def case(shell: Shell) -> None:
        body = b"x" * 90_000
        rest = b"Content-Length: 90000\r\n\r\n" + body
        if is_chunked:
            size = b"Transfer-Encoding: chunked\r\n\r\n15f90\r\n"
            rest = size + body + b"\r\n0\r\n\r\n"
        head = REQUEST + b"Connection: close\r\n"
        raw, served = await asyncio.gather(send(shell, head + rest), shell.chat())
        status, problem = read_problem(raw)
        assert (status, problem["kind"]) == (413, "too_large")
        assert "1000 bytes" in problem["detail"]
        assert served.status == 200

    run_case(case, max_body_bytes=1_000)


def test_expected_body_is_invited_or_refused(host: Host) -> None:
    async def expect(length: int, body: bytes) -> bytes:
        head = (
            b"Connection: close\r\nExpect: 100-continue\r\nContent-Length: %d\r\n\r\n"
        )
        return await send(host.shell, REQUEST + head % length + body)

    body = json.dumps(CHAT_BODY).encode()
    invited = host.run(expect(len(body), body))
    assert invited.startswith(b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK")
    refused = host.run(expect(50_000_000, b""))
    assert refused.startswith(b"HTTP/1.1 413")


@pytest.mark.parametrize(
    "body", [b"not gzip", gzip.compress(b"{", mtime=0)[:12]], ids=["other", "cut"]
)
def test_broken_compression_is_refused(host: Host, body: bytes) -> None:
    head = b"Connection: close\r\nContent-Encoding: gzip\r\nContent-Length: %d\r\n\r\n"
    raw = host.run(send(host.shell, REQUEST + head % len(body) + body))
    status, problem = read_problem(raw)
    assert (status, problem["kind"]) == (400, "bad_request")


def test_compressed_body_is_bounded_when_unpacked() -> None:
    async def case(shell: Shell) -> None:
        body = gzip.compress(b"x" * 5_000_000)
        head = b"Connection: close\r\nContent-Encoding: gzip\r\nContent-Length: %d\r\n"
        raw = await send(shell, REQUEST + head % len(body) + b"\r\n" + body)
        assert read_problem(raw)[0] == 413

    run_case(case, max_body_bytes=10_000)


def test_body_that_never_ends_is_refused() -> None:
    """A caller sends a byte of its body now and then and never ends it.

    The entry answers at its bound for whole bodies and closes the connection; a good
    request beside it is answered.
    """

    async def case(shell: Shell) -> None:
        head = REQUEST + b"Connection: close\r\nContent-Length: 500\r\n\r\n{"
        raw, served = await asyncio.gather(send(shell, head), shell.chat())
        status, problem = read_problem(raw)
        assert (status, problem["kind"]) == (400, "bad_request")
        assert "0.3 s" in problem["detail"]
        assert served.status == 200

    run_case(case, body_timeout_s=0.3)


def test_caller_that_leaves_in_its_body_is_forgotten(host: Host) -> None:
    async def leave() -> None:
        address, _, port = host.shell.entries[0].address.rpartition(":")
        _, writer = await asyncio.open_connection(address, int(port))
        writer.write(REQUEST + b"Content-Length: 500\r\n\r\n{")
        await writer.drain()
        writer.transport.abort()
        await asyncio.sleep(0)

    host.run(leave())
    assert host.run(host.shell.chat()).status == 200
    assert host.shell.entries[0].open_requests == 0


json_values = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(max_size=20),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=8), inner, max_size=3)
    ),
    max_leaves=8,
)
chat_bodies = st.fixed_dictionaries(
    {
        "model": st.sampled_from(["small-1", "bulletins", "warnings"]) | json_values,
        "messages": st.lists(
            st.fixed_dictionaries(
                {"role": st.just("user") | json_values},
                optional={"content": json_values},
            ),
            max_size=3,
        )
        | json_values,
    },
    optional={
        "stream": st.booleans() | json_values,
        "max_tokens": st.integers(0, 8) | json_values,
        "priority": json_values,
        "resume_from": json_values,
        "user": json_values,
    },
).map(lambda value: json.dumps(value).encode())
bodies = st.one_of(st.binary(max_size=60), chat_bodies, json_values.map(json.dumps))
visible = st.text(string.ascii_letters + string.digits + "/~.- ", max_size=30)
headers = st.fixed_dictionaries(
    {},
    optional={
        "X-Deadline-Ms": st.integers(-5, 3_000).map(str) | visible,
        "Baobab-Priority": st.sampled_from(["urgent", "batch"]) | visible,
        "Baobab-Call": st.sampled_from(["draft", "sing"]) | visible,
        "Baobab-Session": visible,
        "Baobab-Session-Name": visible,
        "Idempotency-Key": visible,
        "Content-Type": visible,
    },
)
paths = st.sampled_from([CHAT, STATUS, DISPATCH, "/v1/services/archive/list"]) | (
    visible.map(lambda text: f"/v1/services/{text.strip('/ ') or 'x'}/x")
)
keys = st.sampled_from(["KEY-OF-nadia", "KEY-OF-digha", "nobody"])


@settings(
    derandomize=True,
    max_examples=250,
    deadline=None,
    suppress_health_check=[HealthCheck.function_scoped_fixture, HealthCheck.too_slow],
)
@given(path=paths, body=bodies, given_headers=headers, key=keys)
def test_any_request_gets_an_answer_or_a_typed_problem(
    host: Host, path: str, body: bytes | str, given_headers: dict[str, str], key: str
) -> None:
    raw = body.encode() if isinstance(body, str) else body
    answer = host.run(
        host.shell.ask("POST", path, raw=raw, headers=given_headers, key=key)
    )
    if answer.status == 200:
        return
    assert answer.headers["Content-Type"] == "application/problem+json"
    problem = answer.json
    assert problem["kind"] != "internal", problem
    assert problem["remedy"]
    assert problem["ran"] in {"no", "yes", "unknown"}
    assert answer.status < 500 or problem["ran"]


@pytest.mark.parametrize("stream", [False, True])
def test_caller_cannot_resume_at_the_engine(host: Host, stream: bool) -> None:
    body = {**CHAT_BODY, "stream": stream, "resume_from": 2, "priority": 0}
    asked = host.run(host.shell.ask("POST", CHAT, body=body))
    body.pop("resume_from")
    plain = host.run(host.shell.ask("POST", CHAT, body=body))
    assert (asked.status, plain.status) == (200, 200)
    if stream:
        contents = [
            [chunk["choices"] for chunk in answer.chunks[:-1]]
            for answer in (asked, plain)
        ]
    else:
        contents = [answer.json["choices"] for answer in (asked, plain)]
    assert contents[0] == contents[1]


@pytest.mark.parametrize(
    "options, kind",
    [
        ({"key": "KEY-OF-nobody"}, "unauthenticated"),
        ({"model": "nothing\nevent=forged"}, "unknown_model"),
        ({"model": "large-1", "key": "KEY-OF-digha"}, "no_version"),
    ],
)
def test_refused_caller_is_logged(
    host: Host,
    caplog: pytest.LogCaptureFixture,
    monkeypatch: pytest.MonkeyPatch,
    options: dict[str, Any],
    kind: str,
) -> None:
    # The process has one limiter, which other tests use up.
    limiter = LineRateLimiter(per_s=callers.REFUSAL_LINES_PER_S)
    monkeypatch.setattr(callers, "_refusal_lines", limiter)
    configure_logs("info")
    answer = host.run(host.shell.chat(**options))
    lines = [line for line in caplog.messages if f"kind={kind}" in line]
    assert len(lines) == 1
    assert lines[0].startswith("event=request_refused ")
    assert answer.headers["X-Request-Id"] in lines[0]
    assert "KEY-OF" not in lines[0]
    assert "\n" not in lines[0]


def test_bound_the_lines_on_refused_callers(
    host: Host, caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A caller that is refused again and again wrote a line each time."""
    limiter = LineRateLimiter(per_s=2.0)
    monkeypatch.setattr(callers, "_refusal_lines", limiter)
    configure_logs("info")
    for _ in range(40):
        host.run(host.shell.chat(key="KEY-OF-nobody"))
    lines = [line for line in caplog.messages if "event=request_refused" in line]
    assert len(lines) < 40
    counted = sum(count_suppressed(line) for line in lines)
    assert len(lines) + counted + limiter.suppressed == 40


def count_suppressed(line: str) -> int:
    """Return how many lines a line stands for beside itself."""
    [count] = re.findall(r"suppressed=(\d+)", line)
    return int(count)


@pytest.mark.parametrize(
    "query",
    [b"caller=%ff%fe", b"caller=\xff", b"failure_domain=%00", b"=&&=", b"caller"],
)
def test_odd_query_of_addresses_is_answered(host: Host, query: bytes) -> None:
    head = b"GET /v1/addresses?%b HTTP/1.1\r\nHost: e\r\nConnection: close\r\n\r\n"
    raw = host.run(send(host.shell, head % query))
    status = int(raw.split(b" ", 2)[1])
    assert status in {200, 400}
    assert b'"addresses"' in raw or b'"bad_request"' in raw


def test_good_request_is_served_after_all_of_these(host: Host) -> None:
    assert host.run(host.shell.chat()).status == 200
    assert host.shell.entries[0].open_requests == 0
    assert not len(host.shell.entries[0].core.requests)
