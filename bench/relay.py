"""CPU per request and added latency against a bare relay in the same run."""

from __future__ import annotations

import asyncio
import importlib.resources
import tempfile
import time
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import aiohttp
import msgspec

from baobabthread.core.configuration.configuration import parse_section
from baobabthread.errors import UnavailableError
from baobabthread.standins.loopback import own_network
from bench._processes import (
    Process,
    Processes,
    own_host,
    publish,
    wait_for_port,
    wait_in_force,
)
from bench.experiment import EXPERIMENTS, Options, Report, Table, median

CALLERS = 16
SECTION = "association"
KEY = "KEY-OF-metro"
PLAIN_BODY = b'{"screen":"didube-17","probe":"status"}'
CHAT_BODY = (
    b'{"model":"%s","messages":[{"role":"user","content":"draft difficulty=0.01 '
    b'a playlist for the hall"}],"stream":%s,"max_tokens":%d}'
)


class Asked(msgspec.Struct, frozen=True, kw_only=True):
    """Describe how one side is asked for one kind of work."""

    url: str
    body: bytes


class Side(msgspec.Struct, frozen=True, kw_only=True):
    """Hold one side of the comparison: its process and how it is asked."""

    process: Process
    works: dict[str, Asked]


class Round(msgspec.Struct, frozen=True, kw_only=True):
    """Hold what one side did in one round."""

    requests: int
    cpu_us: float
    """CPU time per request in microseconds."""
    p50_ms: float


class Scale(msgspec.Struct, frozen=True, kw_only=True):
    """Bound the experiment."""

    rounds: int
    requests: int
    probes: int


def move_ports(text: str, ports: Sequence[int]) -> str:
    """Return the text with its backend servers at other ports."""
    backends = parse_section(text).backends.values()
    for backend, port in zip(backends, ports, strict=False):
        text = text.replace(f'"{backend.address}"', f'"{own_host()}:{port}"')
    return text


async def ask(session: aiohttp.ClientSession, path: Asked, number: int) -> None:
    """Make one request and read its whole answer."""
    headers = {
        "Authorization": f"Bearer {KEY}",
        "Content-Type": "application/json",
        "X-Request-Id": f"bench-{number}",
    }
    async with session.post(path.url, data=path.body, headers=headers) as response:
        body = await response.read()
        if response.status != 200:
            raise UnavailableError(
                f"{path.url} answered {response.status}: {body[:300]!r}",
                remedy="ask it by hand",
            )


async def drive(
    session: aiohttp.ClientSession, path: Asked, *, requests: int, callers: int
) -> list[float]:
    """Ask in a closed loop and return the latencies in seconds."""
    latencies: list[float] = []
    numbers = iter(range(requests))

    async def call() -> None:
        for number in numbers:
            started = time.perf_counter()
            await ask(session, path, number)
            latencies.append(time.perf_counter() - started)

    await asyncio.gather(*(call() for _ in range(callers)))
    return latencies


async def measure(
    session: aiohttp.ClientSession, side: Side, work: str, scale: Scale
) -> Round:
    """Measure one side in one round: CPU under load, latency alone."""
    path = side.works[work]
    before = side.process.read_cpu_s()
    await drive(session, path, requests=scale.requests, callers=CALLERS)
    cpu_s = side.process.read_cpu_s() - before
    alone = await drive(session, path, requests=scale.probes, callers=1)
    return Round(
        requests=scale.requests,
        cpu_us=cpu_s / scale.requests * 1e6,
        p50_ms=median(alone) * 1000,
    )


async def set_up(processes: Processes, folder: Path) -> dict[str, Side]:
    """Start stand-ins, a relay for each kind of backend server, and two entries."""
    ports = own_network().give_ports(9 + 7)
    backends, others = ports[:9], ports[9:]
    platform, relay_plain, relay_chat, one, other, peer_one, peer_other = others
    files = importlib.resources.files("baobabthread")
    text = files.joinpath(f"examples/{SECTION}.toml").read_text(encoding="utf-8")
    text = move_ports(text, backends)
    path = folder / f"{SECTION}.toml"
    path.write_text(text)
    await processes.start_standins([path], port=platform)
    plain_backend = f"{own_host()}:{backends[5]}"
    chat_backend = f"{own_host()}:{backends[0]}"
    relays = []
    for port, backend in ((relay_plain, plain_backend), (relay_chat, chat_backend)):
        arguments = ["-m", "bench._relay_server", f"{own_host()}:{port}", backend]
        relays.append(await processes.start("relay", arguments))
        await wait_for_port(port)
    entries = []
    for name, port, peer, domain in (
        ("e1", one, peer_one, "didube"),
        ("e2", other, peer_other, "vake"),
    ):
        entries.append(
            await processes.start_entry(
                name,
                port=port,
                peer_port=peer,
                platform_port=platform,
                peers=[peer_one, peer_other],
                failure_domain=domain,
            )
        )
    async with aiohttp.ClientSession() as session:
        generation = await publish(session, one, SECTION, text)
        await wait_in_force(session, [one, other], generation)
    await asyncio.sleep(2.0)
    entry = f"http://{own_host()}:{one}"
    chat_url = "/v1/chat/completions"
    works = {
        "plain": Asked(url=f"{entry}/v1/services/screens/status", body=PLAIN_BODY),
        "chat": Asked(url=entry + chat_url, body=_chat("drafter-s-1", "false", 2)),
        "stream": Asked(url=entry + chat_url, body=_chat("drafter-s-1", "true", 16)),
    }
    relay_url = f"http://{own_host()}:{relay_chat}{chat_url}"
    chats = {
        "chat": Asked(url=relay_url, body=_chat("drafter-s-1", "false", 2)),
        "stream": Asked(url=relay_url, body=_chat("drafter-s-1", "true", 16)),
    }
    plain = Asked(
        url=f"http://{own_host()}:{relay_plain}/calls/status", body=PLAIN_BODY
    )
    return {
        "entry": Side(process=entries[0], works=works),
        "peer": Side(process=entries[1], works={}),
        "relay plain": Side(process=relays[0], works={"plain": plain}),
        "relay chat": Side(process=relays[1], works=chats),
    }


def _chat(model: str, stream: str, tokens: int) -> bytes:
    return CHAT_BODY % (model.encode(), stream.encode(), tokens)


async def compare(scale: Scale) -> Report:
    """Run both sides in turn and compare their medians."""
    rows: list[list[Any]] = []
    figures: dict[str, float] = {}
    with tempfile.TemporaryDirectory() as folder:
        async with Processes() as processes, open_session() as session:
            sides = await set_up(processes, Path(folder))
            for work, relay in (
                ("plain", "relay plain"),
                ("chat", "relay chat"),
                ("stream", "relay chat"),
            ):
                ours, theirs = [], []
                peer_before = sides["peer"].process.read_cpu_s()
                for _ in range(scale.rounds):
                    theirs.append(await measure(session, sides[relay], work, scale))
                    ours.append(await measure(session, sides["entry"], work, scale))
                peer_s = sides["peer"].process.read_cpu_s() - peer_before
                cpu = median([each.cpu_us for each in ours])
                bare = median([each.cpu_us for each in theirs])
                ratio = median(
                    [a.cpu_us / b.cpu_us for a, b in zip(ours, theirs, strict=True)]
                )
                added = median(
                    [a.p50_ms - b.p50_ms for a, b in zip(ours, theirs, strict=True)]
                )
                asked = scale.rounds * (scale.requests + scale.probes)
                peer = peer_s / asked * 1e6
                rows.append([work, bare, cpu, ratio, peer, added])
                figures[f"cpu_ratio_{work}"] = ratio
                figures[f"added_p50_ms_{work}"] = added
                figures[f"peer_cpu_us_{work}"] = peer
    figures["cpu_ratio"] = median([row[3] for row in rows])
    figures["added_p50_ms"] = median([row[5] for row in rows])
    columns = [
        "work",
        "relay, us",
        "entry, us",
        "cpu ratio",
        "peer, us",
        "added p50, ms",
    ]
    table = Table(
        title="CPU per request and added latency against a bare relay",
        columns=columns,
        rows=rows,
    )
    return Report(figures=figures, tables=[table])


def open_session() -> aiohttp.ClientSession:
    """Return the session of the callers."""
    return aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))


@EXPERIMENTS.register("relay")
def run(options: Options) -> Report:
    """Compare an entry with a bare relay."""
    scale = Scale(rounds=5, requests=3000, probes=400)
    if options.quick:
        scale = Scale(rounds=3, requests=800, probes=150)
    return asyncio.run(compare(scale))
