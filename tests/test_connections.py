"""Tests of connections: broken and slow heads, TLS."""

from __future__ import annotations

import asyncio
import ssl
from pathlib import Path

import aiohttp
import pytest

from baobabthread import cli
from tests.shell import (
    LIMIT_S,
    REQUEST,
    ROOT_KEY,
    Shell,
    ShellThread,
    list_members,
    mint,
    read_problem,
    run_case,
    send,
)

FILES = Path(__file__).parent / "tls"
CA = FILES / "ca.pem"
TLS = {"tls_cert": FILES / "cert.pem", "tls_key": FILES / "key.pem", "tls_ca": CA}


@pytest.mark.parametrize(
    "raw",
    [
        b"\x00\x01\x02\r\n\r\n",
        b"GET / HTTP/9.9\r\n\r\n",
        b"GET\r\n\r\n",
        b"BREW / HTTP/1.1\r\nHost: e\r\n\r\n",
        b"POST / HTTP/1.1\r\nHost: e\r\nContent-Length: -1\r\n\r\n",
        b"POST / HTTP/1.1\r\nHost: e\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
        b"GET / HTTP/1.1\r\nHost: e\r\nBad\x00Name: x\r\n\r\n",
        b"GET / HTTP/1.1\r\nHost: e\r\nX: a\x00b\r\n\r\n",
        b"GET /" + b"a" * 20_000 + b" HTTP/1.1\r\nHost: e\r\n\r\n",
        b"GET / HTTP/1.1\r\nHost: e\r\nX: " + b"a" * 20_000 + b"\r\n\r\n",
        b"GET / HTTP/1.1\r\nHost: e\r\n" + b"X: a\r\n" * 500 + b"\r\n",
    ],
    ids=range(11),
)
def test_broken_head_is_refused(raw: bytes) -> None:
    status, problem = read_problem(run_case(lambda shell: send(shell, raw)))
    assert (status, problem["kind"]) == (400, "bad_request")
    assert problem["remedy"]
    assert problem["ran"] == "no"


@pytest.mark.parametrize(
    "sent",
    [b"", b"POST /v1/chat/com", REQUEST, REQUEST + b"X-More: "],
    ids=["nothing", "line", "headers", "header"],
)
def test_head_that_never_ends_is_cut_off(sent: bytes) -> None:
    """A caller opens a connection and never completes a request's head.

    The entry closes it at its bound, without an answer as nothing was asked. A good
    request beside it is answered.
    """

    async def case(shell: Shell) -> None:
        raw, served = await asyncio.gather(send(shell, sent), shell.chat())
        assert raw == b""
        assert served.status == 200

    run_case(case, idle_timeout_s=0.3)


def test_second_head_that_never_ends_is_cut_off() -> None:
    async def case(shell: Shell) -> None:
        raw = await send(shell, b"GET /healthz HTTP/1.1\r\nHost: e\r\n\r\nGET /he")
        assert raw.startswith(b"HTTP/1.1 200 OK")
        assert raw.endswith(b"ok\n")

    run_case(case, idle_timeout_s=0.3)


def test_trickled_head_does_not_renew_its_bound() -> None:
    """A caller sends its head a byte at a time, faster than the bound.

    Each byte shows life, but the whole head must come within the bound: the entry
    closes the connection while the caller still sends.
    """

    async def case(shell: Shell) -> None:
        host, _, port = shell.entries[0].address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        async with asyncio.timeout(LIMIT_S):
            writer.write(REQUEST + b"X-More: ")
            while not reader.at_eof():
                writer.write(b"x")
                await asyncio.sleep(0.02)
        writer.close()

    run_case(case, idle_timeout_s=0.3)


def trust(shell: Shell) -> None:
    shell.ssl = ssl.create_default_context(cafile=CA)


def test_callers_are_answered_over_tls() -> None:
    async def case(shell: Shell) -> None:
        trust(shell)
        whole = await shell.chat()
        streamed = await shell.chat(stream=True)
        assert (whole.status, streamed.status) == (200, 200)
        assert streamed.chunks[-1] == "[DONE]"
        assert (await shell.ask("GET", "/v1/addresses")).status == 200

    run_case(case, **TLS)


def test_plain_connection_to_a_tls_entry_gets_no_answer() -> None:
    async def case(shell: Shell) -> None:
        address = shell.entries[0].address
        async with aiohttp.ClientSession() as session:
            with pytest.raises(aiohttp.ClientError):
                await session.get(f"http://{address}/healthz")
        trust(shell)
        assert (await shell.chat()).status == 200

    run_case(case, **TLS)


def test_entry_is_not_trusted_without_its_authority() -> None:
    async def case(shell: Shell) -> None:
        with pytest.raises(aiohttp.ClientConnectorCertificateError):
            await shell.ask("GET", "/healthz")

    run_case(case, **TLS)


def test_entries_join_over_tls() -> None:
    """Two entries with certificates of one authority join each other.

    Their messages and forwarded requests go over TLS: a dispatch under a key that the
    other entry holds is answered, and a text is in force at both.
    """

    async def case(shell: Shell) -> None:
        trust(shell)
        generations = {entry.core.control.fold.generation for entry in shell.entries}
        assert len(generations) == 1
        key = f"{shell.entries[0].incarnation}/{mint('w1')}"
        answers = [await shell.dispatch(key, entry=number) for number in (1, 0)]
        assert [answer.status for answer in answers] == [200, 200]
        assert answers[0].body == answers[1].body
        rows = (await shell.ask("GET", "/v1/addresses", entry=1)).json["addresses"]
        assert list_members(rows) == ["e1", "e2"]
        assert shell.entries[1].outbox.bytes_received > 0

    run_case(case, entries=2, **TLS)


def test_entry_without_the_authority_does_not_join() -> None:
    """An entry without the authority's file is told to join one behind TLS.

    It can't check the other's certificate and sends it nothing; each serves its
    callers on.
    """

    async def case(shell: Shell) -> None:
        trust(shell)
        lonely = await shell.start_entry(tls_ca=None)
        await shell.wait_until(lambda: lonely.core.control.fold.generation > 0)
        for _ in range(20):
            await asyncio.sleep(0.02)
            assert lonely.outbox.bytes_received == 0
        answers = [await shell.chat(entry=number) for number in range(2)]
        assert [answer.status for answer in answers] == [200, 200]

    run_case(case, **TLS)


@pytest.mark.parametrize("value", [b"", b"Bearer wrong", b"Bearer \xff\xfe"])
def test_peer_with_another_secret_is_refused(value: bytes) -> None:
    async def case(shell: Shell) -> None:
        host, _, port = shell.entries[0].peer_address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(
            b"POST /peer/messages HTTP/1.1\r\nHost: e\r\nConnection: close\r\n"
            b"Authorization: " + value + b"\r\nContent-Length: 2\r\n\r\n{}"
        )
        raw = await reader.read()
        writer.close()
        assert raw.startswith(b"HTTP/1.1 401")
        assert (await shell.chat()).status == 200

    run_case(case)


def test_commands_reach_an_entry_over_tls(capsys: pytest.CaptureFixture[str]) -> None:
    with ShellThread(settings=TLS) as thread:
        arguments = ["state", thread.url, "--operator-key", ROOT_KEY]
        assert cli.run([*arguments, "--tls-ca", str(CA)]) == 0
        assert '"name": "e1"' in capsys.readouterr().out
        assert cli.run(arguments) == 3
        assert "no answer" in capsys.readouterr().err


def test_broken_authority_of_a_command_is_told(
    capsys: pytest.CaptureFixture[str], tmp_path: Path
) -> None:
    path = tmp_path / "ca.pem"
    path.write_text("nothing")
    code = cli.run(
        ["state", "https://127.0.0.1:1", "--operator-key=k", f"--tls-ca={path}"]
    )
    assert code == 2
    assert "--tls-ca" in capsys.readouterr().err


CROWD = 120
FEW_DESCRIPTORS = 264
"""Leaves 64 sockets, half of them for callers."""


async def open_crowd(
    address: str, data: bytes = b""
) -> list[tuple[asyncio.StreamReader, asyncio.StreamWriter]]:
    """Open connections on which no more than some bytes are sent."""
    host, _, port = address.rpartition(":")
    crowd = [await asyncio.open_connection(host, int(port)) for _ in range(CROWD)]
    for _, writer in crowd:
        writer.write(data)
    return crowd


async def wait_closed(
    crowd: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]], count: int
) -> None:
    """Wait until the other side has closed so many connections; then close all."""
    ends = [asyncio.ensure_future(reader.read()) for reader, _ in crowd]
    try:
        async with asyncio.timeout(LIMIT_S):
            while sum(end.done() for end in ends) < count:  # noqa: ASYNC110
                await asyncio.sleep(0.02)
    finally:
        for _, writer in crowd:
            writer.transport.abort()
        await asyncio.gather(*ends, return_exceptions=True)


@pytest.mark.parametrize("tls", [{}, TLS], ids=["plain", "handshake"])
def test_crowd_of_silent_connections_leaves_room(tls: dict[str, Path]) -> None:
    """Silent connections, or TLS handshakes without end, took every descriptor."""

    async def case(shell: Shell) -> None:
        if tls:
            trust(shell)
        for address in (shell.entries[0].address, shell.entries[0].peer_address):
            crowd = await open_crowd(address)
            answered = await shell.chat()
            await wait_closed(crowd, CROWD - 32)
            assert answered.status == 200

    run_case(case, max_descriptors=FEW_DESCRIPTORS, **tls)


def test_crowd_of_unfinished_heads_is_bounded() -> None:
    """Each head may take megabytes in many fields; nothing counted their sum."""

    async def case(shell: Shell) -> None:
        data = REQUEST + b"X: a\r\n" * 100 + b"Y: " + b"a" * 8_000
        await wait_closed(await open_crowd(shell.entries[0].address, data), CROWD // 2)
        assert (await shell.chat()).status == 200

    run_case(case, max_memory_mb=20)


def test_head_of_many_large_fields_is_refused() -> None:
    """Each line kept to its bound, and the head was a hundred times as large."""
    head = REQUEST + b"".join(b"X%d: %b\r\n" % (n, b"a" * 15_000) for n in range(40))
    status, problem = read_problem(run_case(lambda shell: send(shell, head)))
    assert (status, problem["kind"]) == (400, "bad_request")
