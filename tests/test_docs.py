"""The pages: links, commands, options, metrics, log events, examples, the walk."""

from __future__ import annotations

import ast
import contextlib
import os
import re
import signal
import subprocess
import sys
import typing
from pathlib import Path
from typing import Any

import msgspec
import pytest
from bench.__main__ import load_experiments
from bench._processes import own_host
from bench.experiment import EXPERIMENTS

from baobabthread.cli import run
from baobabthread.core.backends.backends import Health
from baobabthread.core.configuration.configuration import (
    SectionText,
    merge_sections,
    parse_section,
)
from baobabthread.core.configuration.freshness import FreshnessState
from baobabthread.core.rollouts.rollout import Phase
from baobabthread.errors import Kind
from baobabthread.instance.metrics import Metrics
from baobabthread.standins.loopback import own_network
from tests.pages import (
    END_ALL,
    EXAMPLES,
    FENCE,
    HELP_OPTIONS,
    INLINE,
    LINK,
    OPERATORS,
    PAGES,
    ROOT,
    SOURCES,
    WALK_LIMIT_S,
    WALK_PORTS,
    find_calls,
    find_events,
    find_metrics,
    list_anchors,
    list_calls,
    list_commands,
    list_fences,
    list_sources,
    list_strings,
)


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_resolve_every_internal_link(page: Path) -> None:
    text = FENCE.sub("", page.read_text(encoding="utf-8"))
    broken = []
    for target in LINK.findall(text):
        if "://" in target:
            continue
        path, _, anchor = target.partition("#")
        other = (page.parent / path).resolve() if path else page
        if not other.exists() or (anchor and anchor not in list_anchors(other)):
            broken.append(target)
    assert broken == []


def test_document_only_commands_and_options_that_exist() -> None:
    commands = list_commands()
    wrong = []
    seen = set()
    for page, words in list_calls("baobabthread"):
        if not words or not words[0].isalpha():
            continue
        name = words[0]
        if name not in commands:
            wrong.append(f"{page.name}: no command '{name}'")
            continue
        seen.add(name)
        given = {word.partition("=")[0] for word in words[1:] if word[:2] == "--"}
        unknown = given - commands[name] - HELP_OPTIONS
        wrong += [f"{page.name}: {name} has no {option}" for option in sorted(unknown)]
    assert wrong == []
    assert seen == set(commands)


def test_document_every_command_option() -> None:
    text = "\n".join(page.read_text(encoding="utf-8") for page in PAGES)
    named = set(re.findall(r"--[a-z0-9-]+", text))
    missing = {
        f"{command} {option}"
        for command, options in list_commands().items()
        for option in options - named
    }
    assert missing == set()


def test_document_only_make_targets_and_experiments_that_exist() -> None:
    makefile = (ROOT / "Makefile").read_text(encoding="utf-8")
    targets = set(re.findall(r"^([a-z-]+):", makefile, re.MULTILINE))
    load_experiments()
    wrong = [
        f"{page.name}: make {words[0]}"
        for page, words in list_calls("make")
        if words and words[0] not in targets
    ]
    for page in PAGES:
        text = page.read_text(encoding="utf-8")
        for name in re.findall(r"python -m bench ([a-z]+)", text):
            if name not in EXPERIMENTS:
                wrong.append(f"{page.name}: bench {name}")
    assert wrong == []


def test_document_every_metric() -> None:
    text = (OPERATORS / "metrics-and-logs.md").read_text(encoding="utf-8")
    metrics = find_metrics()
    assert metrics
    assert {name for name in metrics if f"`{name}`" not in text} == set()


def test_document_every_figure_of_an_instance() -> None:
    text = (ROOT / "docs" / "OPERATIONS.md").read_text(encoding="utf-8")
    names = set(re.findall(r"`(baobabthread_[a-z_]+)`", text))
    served = set(re.findall(r"^# TYPE (\S+) ", Metrics().render().decode(), re.M))
    assert names <= served | {f"{name}_total" for name in served}
    kept = {name for name in served if not name.endswith("_created")}
    assert {n for n in kept if n not in names and f"{n}_total" not in names} == set()


def test_document_every_log_event() -> None:
    text = (OPERATORS / "metrics-and-logs.md").read_text(encoding="utf-8")
    events = find_events()
    assert events
    assert {name for name in events if f"`{name}`" not in text} == set()


def test_document_every_field_of_a_log_event() -> None:
    text = (OPERATORS / "metrics-and-logs.md").read_text(encoding="utf-8")
    missing = []
    for call in find_calls():
        if ast.unparse(call.func).rpartition(".")[2] != "log_event":
            continue
        for event in list_strings(call):
            row = text.partition(f"| `{event}` ")[2].partition("\n")[0]
            fields = [each.arg for each in call.keywords if each.arg != "level"]
            words = re.split(r"[^a-z_]+", row)
            missing += [f"{event}.{name}" for name in fields if name not in words]
    assert missing == []


def test_document_no_metric_or_event_that_is_gone() -> None:
    text = (OPERATORS / "metrics-and-logs.md").read_text(encoding="utf-8")
    metrics, _, logs = text.partition("## Logs")
    rows = re.compile(r"^\| (`[^|]+`) \|", re.MULTILINE)
    named = {n for row in rows.findall(metrics) for n in INLINE.findall(row)}
    events = {n for row in rows.findall(logs) for n in INLINE.findall(row)}
    assert named - find_metrics() == set()
    assert events - find_events() == set()


def test_document_every_field_of_the_text() -> None:
    text = (OPERATORS / "publishing.md").read_text(encoding="utf-8")
    missing = []
    for table in msgspec.structs.fields(SectionText):
        row = typing.get_args(table.type)[1]
        heading = f"### `[{table.name}.NAME]`"
        part = text.partition(heading)[2].partition("\n### ")[0]
        assert part, heading
        for field in msgspec.structs.fields(row):
            if f"`{field.name}`" not in part:
                missing.append(f"{table.name}.{field.name}")
    assert missing == []


def test_document_every_kind_of_problem() -> None:
    text = (OPERATORS / "outages.md").read_text(encoding="utf-8")
    assert [kind.value for kind in Kind if f"`{kind.value}`" not in text] == []


def test_document_every_field_of_the_state_dump() -> None:
    text = (OPERATORS / "state-dump.md").read_text(encoding="utf-8")
    tree = ast.parse((SOURCES / "administration.py").read_text(encoding="utf-8"))
    keys = {
        key.value
        for node in ast.walk(tree)
        if isinstance(node, ast.FunctionDef) and node.name == "dump_state"
        for each in ast.walk(node)
        if isinstance(each, ast.Dict)
        for key in each.keys
        if isinstance(key, ast.Constant)
    }
    values = {*FreshnessState, *Health}
    assert keys
    assert {str(k) for k in keys | values if f"`{k}`" not in text} == set()


def test_document_every_phase_of_a_rollout() -> None:
    text = (OPERATORS / "rollouts-and-withdrawal.md").read_text(encoding="utf-8")
    assert [phase.value for phase in Phase if f"`{phase.value}`" not in text] == []


@pytest.mark.parametrize(
    "path",
    list_sources("src", "bench", "tests"),
    ids=lambda path: str(path.relative_to(ROOT)),
)
def test_give_every_module_a_doc_comment(path: Path) -> None:
    assert ast.get_docstring(ast.parse(path.read_text(encoding="utf-8")))


def test_check_the_examples(capsys: pytest.CaptureFixture[str]) -> None:
    paths = sorted(EXAMPLES.glob("*.toml"))
    assert paths
    for path in paths:
        assert run(["check", str(path)]) == 0
    assert run(["check", *map(str, paths)]) == 0
    assert "ok" in capsys.readouterr().out


def test_check_the_texts_in_the_pages() -> None:
    texts = [fence for fence in list_fences() if fence.mark == "check"]
    assert texts
    for fence in texts:
        merge_sections(generation=1, sections={"page": parse_section(fence.body)})


def build_walk(folder: Path) -> str:
    """Return the README's walk in this run's network, with its text in a folder."""
    blocks = [fence.body for fence in list_fences() if fence.mark == "walk"]
    walk = "\n".join(blocks).replace("src/baobabthread/examples", str(folder))
    walk = walk.replace("127.0.0.1", own_host())
    text = (EXAMPLES / "association.toml").read_text(encoding="utf-8")
    backends = parse_section(text).backends.values()
    ports = own_network().give_ports(len(WALK_PORTS) + len(backends))
    for name, port in zip(WALK_PORTS, ports, strict=False):
        walk = re.sub(rf"\b{name}\b", str(port), walk)
    for backend, port in zip(backends, ports[len(WALK_PORTS) :], strict=True):
        text = text.replace(f'"{backend.address}"', f'"{own_host()}:{port}"')
    (folder / "association.toml").write_text(text, encoding="utf-8")
    return walk


def run_script(script: str) -> subprocess.CompletedProcess[str]:
    """Run a shell script and end what it leaves behind."""
    environment = {
        name: value
        for name, value in os.environ.items()
        if not name.startswith("BAOBABTHREAD_")
    }
    environment["PATH"] = f"{Path(sys.executable).parent}:{environment['PATH']}"
    process = subprocess.Popen(
        ["bash", "-e", "-c", f"{END_ALL}\n{script}"],
        cwd=ROOT,
        env=environment,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        start_new_session=True,
    )
    try:
        output, _ = process.communicate(timeout=WALK_LIMIT_S)
    finally:
        # A walk that stopped halfway would leave its entries running for ever.
        with contextlib.suppress(ProcessLookupError):
            os.killpg(process.pid, signal.SIGKILL)
    return subprocess.CompletedProcess(process.args, process.returncode, output)


def test_walk_through_the_readme(tmp_path: Path) -> None:
    """Run the README's commands as they are written.

    A newcomer starts the stand-ins and three entries, publishes, gets a streamed
    answer, and stops an entry by SIGTERM under load. An entry that closed its port
    while callers still held its address, or that cut a stream, would make `load` end
    with 1.
    """
    done = run_script(build_walk(tmp_path))
    output: Any = done.stdout
    assert done.returncode == 0, output
    for line in (
        "ok: 2 services",
        "accepted: generation 1",
        "in force: at 3 entries",
        "data: [DONE]",
        '"freshness": "fresh"',
        "e1 stopped with 0",
        "load ended with 0",
        '"metro": {',
        "entries stopped with 0",
    ):
        assert line in output, f"{line!r} is not in:\n{output}"
