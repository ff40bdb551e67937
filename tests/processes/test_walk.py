"""The walk of the README: stand-ins, three entries, publish, stream, state, stop."""

from __future__ import annotations

import asyncio
import json
import signal
import sys
from pathlib import Path

from bench._cluster import Cluster, Entry
from bench._processes import OPERATOR_KEY

from baobabthread.load_caller import Result
from tests.processes.support import open_cluster, open_load

SECTION = "association"
END = "data: [DONE]"


def test_walk_from_publish_to_graceful_stop(tmp_path: Path) -> None:
    """Publish by the command line, stream an answer, stop an entry under load.

    An operator publishes a text and waits until it is in force everywhere. A caller
    streams a draft to its end mark. The operator looks at an entry's state and stops it
    with SIGTERM under load: it is out of the addresses at once, serves those who still
    hold its address, and exits 0. No caller sees a cut, lost or unknown answer.
    """

    async def run() -> None:
        async with (
            open_cluster(tmp_path, entries=3) as cluster,
            open_load(cluster) as load,
        ):
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
            third.process.send(signal.SIGTERM)
            assert await third.process.wait() == 0
            del cluster.entries[third.name]
            await load.wait_answers(40)
            evidence, timed = await load.finish()
            results = {each.record.result for each in timed}
            assert results == {Result.ANSWERED}
            counts = evidence.count([each.record for each in timed])
            assert counts.list_violations() == []
            assert evidence.count_run_without_bill() == 0

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
