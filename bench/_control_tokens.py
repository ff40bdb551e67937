"""Processor time of an entry by the tokens of a streamed answer."""

from __future__ import annotations

import asyncio
import statistics
import tempfile
from pathlib import Path
from typing import Any

import aiohttp

from bench._processes import Processes
from bench.experiment import EXPERIMENTS, Options, Report, Table
from bench.relay import CALLERS, KEY, Asked, drive, open_session, set_up

SHARES = (0.02, 0.25, 0.5, 1.0)
"""Lengths of answers, as shares of the longest."""
REQUESTS = 400
PROMPTS = 30
"""Prompts that are tried: the stand-in engines draw a length for each."""
MAX_TOKENS = 64
MARK = b"data: "
EXTRA_EVENTS = 2
"""Events of a stream besides its tokens: the last chunk and the end mark."""
BODY = (
    b'{"model":"drafter-s-1","messages":[{"role":"user","content":"draft '
    b'difficulty=0.01 number %d"}],"stream":true,"max_tokens":%d}'
)


async def count_tokens(session: aiohttp.ClientSession, asked: Asked) -> int:
    """Return how many tokens an answer has."""
    headers = {"Authorization": f"Bearer {KEY}"}
    async with session.post(asked.url, data=asked.body, headers=headers) as response:
        return (await response.read()).count(MARK) - EXTRA_EVENTS


async def find_longest(session: aiohttp.ClientSession, url: str) -> tuple[int, int]:
    """Return the prompt with the longest answer, and its tokens."""
    lengths = {}
    for prompt in range(PROMPTS):
        asked = Asked(url=url, body=BODY % (prompt, MAX_TOKENS))
        lengths[prompt] = await count_tokens(session, asked)
    longest = max(lengths, key=lambda prompt: lengths[prompt])
    return longest, lengths[longest]


async def measure_streams(scale: int) -> Report:
    """Stream answers of several lengths and fit the time of a token."""
    rows: list[list[Any]] = []
    async with Processes() as processes, open_session() as session:
        with tempfile.TemporaryDirectory() as folder:
            sides = await set_up(processes, Path(folder))
            entry = sides["entry"]
            url = entry.works["stream"].url
            prompt, longest = await find_longest(session, url)
            for share in SHARES:
                body = BODY % (prompt, max(1, round(longest * share)))
                asked = Asked(url=url, body=body)
                tokens = await count_tokens(session, asked)
                requests = REQUESTS * scale
                before = entry.process.read_cpu_s()
                await drive(session, asked, requests=requests, callers=CALLERS)
                spent = entry.process.read_cpu_s() - before
                rows.append([tokens, requests, spent / requests * 1e6])
            memory = entry.process.read_memory_mb()
    slope, constant = statistics.linear_regression(
        [row[0] for row in rows], [row[2] for row in rows]
    )
    table = Table(
        title=f"Entry's time of a stream: {constant:.0f} us and {slope:.1f} us a token",
        columns=["tokens", "requests", "us a request"],
        rows=rows,
    )
    figures = {
        "us_per_request": constant,
        "us_per_token": slope,
        "entry_memory_mb": memory,
    }
    return Report(figures=figures, tables=[table])


@EXPERIMENTS.register("tokens")
def run(options: Options) -> Report:
    """Measure the time of a streamed token."""
    return asyncio.run(measure_streams(1 if options.quick else 3))
