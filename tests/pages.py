"""Read the pages, the sources and what both name, for the tests of the pages."""

from __future__ import annotations

import ast
import re
import shlex
import typing
from collections.abc import Iterator
from pathlib import Path

import cappa
import msgspec

from baobabthread.cli import Baobabthread
from baobabthread.commands.options import list_arguments

ROOT = Path(__file__).resolve().parent.parent
SOURCES = ROOT / "src" / "baobabthread"
EXAMPLES = SOURCES / "examples"
OPERATORS = ROOT / "docs" / "operators"
PAGES = sorted(
    [
        ROOT / "README.md",
        ROOT / "CHANGES.md",
        ROOT / "DEVELOPERS.md",
        *(ROOT / "docs").rglob("*.md"),
    ]
)
FENCE = re.compile(r"^ *```(\S*)(?: +(\S+))?\n(.*?)^ *```$", re.MULTILINE | re.DOTALL)
LINK = re.compile(r"(?<!!)\[[^\]\n]+\]\(([^)\s]+)\)")
INLINE = re.compile(r"`([^`\n]+)`")
EVENT = re.compile(r"event=([a-z_]+)")
HELP_OPTIONS = {"--help", "-h"}
WALK_LIMIT_S = 120.0
END_ALL = "trap 'kill -KILL $(jobs -p) 2>/dev/null || true' EXIT"
"""End what still runs when a command fails, so that the output ends too."""
WALK_PORTS = ("7000", "8001", "8002", "8003", "9001", "9002", "9003")


class Fence(msgspec.Struct, frozen=True, kw_only=True):
    """Hold one fenced block of a page."""

    page: Path
    language: str
    mark: str
    """The second word behind the fence, such as `walk`."""
    body: str


def list_fences() -> Iterator[Fence]:
    """Return the fenced blocks of all pages."""
    for page in PAGES:
        for language, mark, body in FENCE.findall(page.read_text(encoding="utf-8")):
            yield Fence(page=page, language=language, mark=mark, body=body)


def list_commands() -> dict[str, set[str]]:
    """Return the program's commands and the options of each."""
    hints = typing.get_type_hints(Baobabthread, include_extras=True)
    found: dict[str, set[str]] = {}
    for command in typing.get_args(typing.get_args(hints["command"])[0]):
        name = cappa.Command.get(command).real_name()
        arguments = [argument for argument, _ in list_arguments(command).values()]
        found[name] = {str(each.long) for each in arguments if each.long}
    return found


def list_calls(program: str) -> Iterator[tuple[Path, list[str]]]:
    """Return where the pages call a program, and the words behind its name."""
    for page in PAGES:
        text = page.read_text(encoding="utf-8")
        blocks = [body for language, _, body in FENCE.findall(text) if language == "sh"]
        lines = "\n".join(blocks).replace("\\\n", " ").splitlines()
        lines += INLINE.findall(FENCE.sub("", text))
        for line in lines:
            words = _split_words(line)
            for place, word in enumerate(words):
                if word.rpartition("/")[2] == program and _begins(words, place):
                    yield page, words[place + 1 :]


def _split_words(line: str) -> list[str]:
    try:
        return shlex.split(line, comments=True)
    except ValueError:
        # A quotation goes on in the next line: it holds no further command.
        return line.split("'")[0].split()


def _begins(words: list[str], place: int) -> bool:
    return place == 0 or words[place - 1] in ("&", "&&", ";", "|", "do")


def list_sources(*folders: str) -> list[Path]:
    """Return the Python files of folders."""
    return sorted(path for each in folders for path in (ROOT / each).rglob("*.py"))


def list_strings(call: ast.Call) -> Iterator[str]:
    """Return a call's first argument; what is filled in stands in capitals."""
    if not call.args:
        return
    first = call.args[0]
    if isinstance(first, ast.Constant) and isinstance(first.value, str):
        yield first.value
    elif isinstance(first, ast.JoinedStr):
        yield "".join(
            str(part.value)
            if isinstance(part, ast.Constant)
            else ast.unparse(part).strip("f'{}").rpartition(".")[2].upper()
            for part in first.values
        )


def find_calls() -> Iterator[ast.Call]:
    """Return all calls in the program's source."""
    for path in list_sources("src"):
        for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
            if isinstance(node, ast.Call):
                yield node


def find_metrics() -> set[str]:
    """Return the names of all metrics that the program sends."""
    found: set[str] = set()
    for call in find_calls():
        function = call.func
        if not isinstance(function, ast.Attribute):
            continue
        owner = ast.unparse(function.value).rpartition(".")[2].lstrip("_")
        if owner == "metrics" and function.attr in ("count", "time", "gauge"):
            found.update(list_strings(call))
    return found


def find_events() -> set[str]:
    """Return the names of all events that the program logs."""
    found = {"message"}
    for call in find_calls():
        name = ast.unparse(call.func).rpartition(".")[2]
        for text in list_strings(call):
            if name in ("log_event", "write_event"):
                found.add(text)
            found.update(EVENT.findall(text))
    for path in list_sources("src"):
        tree = ast.parse(path.read_text(encoding="utf-8"))
        for node in ast.walk(tree):
            if isinstance(node, ast.JoinedStr):
                found.update(EVENT.findall(ast.unparse(node)))
    return found


def slug(heading: str) -> str:
    """Return the anchor that a heading gets."""
    kept = "".join(c for c in heading.lower() if c.isalnum() or c in " -_")
    return kept.strip().replace(" ", "-")


def list_anchors(page: Path) -> set[str]:
    """Return the anchors of a page."""
    text = FENCE.sub("", page.read_text(encoding="utf-8"))
    return {slug(line.lstrip("# ")) for line in text.splitlines() if line[:1] == "#"}
