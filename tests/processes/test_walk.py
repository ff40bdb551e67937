"""The walk of the README: stand-ins, three entries, publish, stream, state, stop."""

from __future__ import annotations

import asyncio
import json
import signal
import sys
from pathlib import Path

from bench._cluster import Cluster, Entry
from bench._processes import OPERATOR_KEY

from baobabthread.core.billing.types import BillOutcome
from baobabthread.load.caller import Result
from tests.processes.support import (
    count_warned,
    open_cluster,
    open_load,
    wait_for,
    warn,
)

SECTION = "association"
END = "data: [DONE]"


def test_walk_from_publish_to_graceful_stop(tmp_path: Path) -> None:
    """Publish by the command line, stream an answer, stop an entry under load.

    An operator publishes a text and waits until it is in force everywhere. A caller
    streams a draft to its end mark. The operator looks at an entry's state and stops it
    with SIGTERM while a warning runs there: it is out of the addresses at once, serves
    those who still hold its address, bills all at true cost and exits 0. No caller sees
    a cut, lost or unknown answer, or a shut door.
    """

    async def run() -> None:
        async with (
            open_cluster(tmp_path, entries=3) as cluster,
            open_load(cluster, rate_per_s=12.0) as load,
        ):
            # Longer than a server waits for its open connections when it just ends.
            await cluster.slow_backends(speed=0.02, delay_ms=1_600.0)
            first, second, third = cluster.entries.values()
            text = cluster.texts[SECTION].replace("weight = 4", "weight = 5", 1)
            (tmp_path / f"{SECTION}.toml").write_text(text)
            path = str(tmp_path / f"{SECTION}.toml")
            checked = await _command("check", path)
            assert checked.startswith("ok: ")
            options = ["--entry", first.url, "--operator-key", OPERATOR_KEY]
            published = await _command("publish", path, *options, "--wait")
            assert published.startswith("accepted: generation ")
            generation = int(published.split()[2])
            for entry in (first, second, third):
                assert (await cluster.dump(entry))["generation"] == generation

            await _check_stream(cluster, second)
            await load.wait_answers(40)
            state = json.loads(
                await _command("state", third.url, "--operator-key", OPERATOR_KEY)
            )
            assert (state["name"], state["freshness"]) == (third.name, "fresh")
            key = f"{state['incarnation']}/warning-1"
            warning = asyncio.ensure_future(
                warn(cluster, third, own_id="warning-1", key=key)
            )

            async def was_dispatched() -> bool:
                return await count_warned(cluster, "warning-1") == 1

            await wait_for(was_dispatched)
            third.process.send(signal.SIGTERM)
            assert await third.process.wait() == 0
            assert (await warning).status == 200
            del cluster.entries[third.name]
            await load.wait_answers(40)
            evidence, timed = await load.finish()
            others = [t for t in timed if t.record.result is not Result.ANSWERED]
            assert others == []
            # A second attempt would mean that an address given to a caller was shut.
            assert {each.record.attempts for each in timed} == {1}
            counts = evidence.count([each.record for each in timed])
            assert counts.list_violations() == []
            assert evidence.count_run_without_bill() == 0
            # A peer that had to settle for the stopped entry could only estimate.
            outcomes = {bill.outcome for bill in evidence.bills}
            assert outcomes == {BillOutcome.ANSWERED}

    asyncio.run(run())


async def _command(*arguments: str) -> str:
    """Run a command line and return what it prints."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "baobabthread",
        *arguments,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )
    output, errors = await process.communicate()
    assert process.returncode == 0, errors.decode()
    return output.decode()


async def _check_stream(cluster: Cluster, entry: Entry) -> None:
    """Stream a draft and check that it is whole."""
    body = {
        "model": "content",
        "messages": [{"role": "user", "content": "draft difficulty=0.01 a playlist"}],
        "stream": True,
        "max_tokens": 24,
    }
    headers = {"Authorization": "Bearer KEY-OF-metro"}
    async with cluster.session.post(
        f"{entry.url}/v1/chat/completions", json=body, headers=headers
    ) as response:
        assert response.status == 200
        assert response.headers["Content-Type"].startswith("text/event-stream")
        lines = (await response.text()).split("\n")
    events = [line for line in lines if line.startswith("data: ")]
    assert events[-1] == END
    chunks = [json.loads(line.removeprefix("data: ")) for line in events[:-1]]
    words = [chunk["choices"][0]["delta"].get("content") for chunk in chunks]
    assert len([word for word in words if word]) > 1
    assert chunks[-1]["choices"][0]["finish_reason"] == "stop"
