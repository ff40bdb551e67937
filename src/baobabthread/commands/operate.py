"""Commands for operators: publish, look up."""

from __future__ import annotations

import asyncio
import json
import secrets
import ssl
import sys
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any

import aiohttp
import cappa

from baobabthread import __version__
from baobabthread.commands.options import argument, option
from baobabthread.core.configuration.configuration import (
    MAX_TEXT_BYTES,
    parse_section,
)
from baobabthread.errors import BaobabthreadError, UnavailableError, UsageError

TIMEOUT_S = 15.0
WAIT_STEP_S = 0.1
URL_HELP = "An entry's address, such as http://127.0.0.1:8001."
KEY_HELP = "The operator's key."
CA_HELP = "PEM authority of an entry behind TLS."


class RefusedError(BaobabthreadError):
    """Report what an entry refused."""


def read_text(path: Path, *, limit: int = MAX_TEXT_BYTES) -> str:
    """Read a configuration text of bounded size."""
    try:
        size = path.stat().st_size
        if size > limit:
            raise UsageError(
                f"'{path}' has {size} bytes",
                remedy=f"split it into sections of {limit} bytes at most",
            )
        return path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise UsageError(
            f"can't read '{path}': {error}", remedy="give a readable UTF-8 file"
        ) from None


@dataclass(kw_only=True, slots=True)
class Connection:
    """Reach one entry as an operator."""

    url: str
    key: str
    tls_ca: Path | None = None

    def ask(self, method: str, path: str, body: dict[str, Any] | None = None) -> Any:
        """Ask the entry and return its JSON answer."""
        if not self.url.startswith(("http://", "https://")):
            raise UsageError(
                f"'{self.url}' is not a URL",
                remedy="give an entry's address, such as http://127.0.0.1:8001",
            )
        return asyncio.run(self._ask(method, self.url.rstrip("/") + path, body))

    def _trust(self) -> ssl.SSLContext | bool:
        if self.tls_ca is None:
            return True
        try:
            return ssl.create_default_context(cafile=self.tls_ca)
        except (ssl.SSLError, OSError) as error:
            raise UsageError(
                f"--tls-ca: can't use '{self.tls_ca}': {error.strerror or error}",
                remedy="give a readable PEM file",
            ) from None

    async def _ask(self, method: str, url: str, body: dict[str, Any] | None) -> Any:
        timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
        headers = {"Authorization": f"Bearer {self.key}"}
        trusted = self._trust()
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout) as session,
                session.request(
                    method, url, json=body, headers=headers, ssl=trusted
                ) as response,
            ):
                answer = await response.json(content_type=None)
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            raise UnavailableError(
                f"no answer from {url}: {str(error) or type(error).__name__}",
                remedy="check the address, or ask another entry",
            ) from None
        if not isinstance(answer, dict):
            raise UnavailableError(
                f"{url} is not an entry", remedy="give the address of an entry"
            )
        if response.status >= 400:
            raise RefusedError(
                f"{answer.get('kind')}: {answer.get('detail')}",
                remedy=str(answer.get("remedy")),
            )
        return answer


def show_json(value: Any) -> None:
    """Print a value for a person and for programs alike."""
    print(json.dumps(value, indent=2, sort_keys=True))


@cappa.command(help="Publish a new version of a section's text.")
@dataclass(kw_only=True, slots=True)
class Publish:
    """Publish a text and, if asked, wait until it is in force everywhere."""

    file: Annotated[Path, argument("FILE", "The section's new text.")]
    entry: Annotated[str, option("entry", URL_HELP)]
    key: Annotated[str, option("operator-key", KEY_HELP)]
    section: Annotated[
        str, option("section", "The section; the file's name if left out.", default="")
    ] = ""
    base: Annotated[
        int | None,
        option("base", "The generation that was edited.", default=None),
    ] = None
    wait: Annotated[
        bool,
        option("wait", "Wait until every live entry has it in force.", default=False),
    ] = False
    wait_limit: Annotated[
        float, option("wait-limit", "Give up waiting after this many s.", default=30.0)
    ] = 30.0
    tls_ca: Annotated[Path | None, option("tls-ca", CA_HELP, default=None)] = None

    def run(self) -> int:
        """Publish and report the generation."""
        text = read_text(self.file)
        parse_section(text)
        body: dict[str, Any] = {
            "id": f"publish-{secrets.token_hex(8)}",
            "section": self.section or self.file.stem,
            "text": text,
        }
        if self.base is not None:
            body["base"] = self.base
        entry = Connection(url=self.entry, key=self.key, tls_ca=self.tls_ca)
        generation = entry.ask("POST", "/admin/publish", body)["generation"]
        print(f"accepted: generation {generation}")
        return self._wait(entry, generation) if self.wait else 0

    def _wait(self, entry: Connection, generation: int) -> int:
        deadline = time.monotonic() + self.wait_limit
        while True:
            status = entry.ask("GET", "/admin/generations")
            behind = [
                row["name"]
                for row in status["entries"]
                if row["generation"] < generation and row["state"] != "dead"
            ]
            if not behind:
                print(f"in force: at {len(status['entries'])} entries")
                return 0
            if time.monotonic() >= deadline:
                print(f"not in force: {', '.join(behind)}", file=sys.stderr)
                return 1
            time.sleep(WAIT_STEP_S)


@cappa.command(help="Show the configuration in force at an entry.")
@dataclass(kw_only=True, slots=True)
class Show:
    """Show all sections, or the text of one."""

    entry: Annotated[str, option("entry", URL_HELP)]
    key: Annotated[str, option("operator-key", KEY_HELP)]
    section: Annotated[
        str, option("section", "Print only this section's text.", default="")
    ] = ""
    tls_ca: Annotated[Path | None, option("tls-ca", CA_HELP, default=None)] = None

    def run(self) -> int:
        """Print the sections."""
        entry = Connection(url=self.entry, key=self.key, tls_ca=self.tls_ca)
        answer = entry.ask("GET", "/admin/configuration")
        if not self.section:
            show_json(answer)
            return 0
        texts = {each["name"]: each["text"] for each in answer["sections"]}
        if self.section not in texts:
            raise UsageError(
                f"no section '{self.section}'",
                remedy=f"use one of: {', '.join(sorted(texts)) or 'none is published'}",
            )
        print(texts[self.section], end="")
        return 0


@cappa.command(help="Dump the state of an entry.")
@dataclass(kw_only=True, slots=True)
class State:
    """Dump the state of a process."""

    url: Annotated[str, argument("URL", URL_HELP)]
    key: Annotated[str, option("operator-key", KEY_HELP)]
    tls_ca: Annotated[Path | None, option("tls-ca", CA_HELP, default=None)] = None

    def run(self) -> int:
        """Print the dump."""
        entry = Connection(url=self.url, key=self.key, tls_ca=self.tls_ca)
        show_json(entry.ask("GET", "/state"))
        return 0


@cappa.command(help="Show the folded billing stream.")
@dataclass(kw_only=True, slots=True)
class Bills:
    """Show what each client account owes."""

    entry: Annotated[str, option("entry", URL_HELP)]
    key: Annotated[str, option("operator-key", KEY_HELP)]
    tls_ca: Annotated[Path | None, option("tls-ca", CA_HELP, default=None)] = None

    def run(self) -> int:
        """Print the bills."""
        entry = Connection(url=self.entry, key=self.key, tls_ca=self.tls_ca)
        show_json(entry.ask("GET", "/admin/bills"))
        return 0


@cappa.command(help="Show the version of this program.")
@dataclass(kw_only=True, slots=True)
class Version:
    """Show the version."""

    def run(self) -> int:
        """Print the version."""
        print(f"baobabthread {__version__}")
        return 0
