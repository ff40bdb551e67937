"""Commands that run something: an entry, stand-ins, load, the demo."""

from __future__ import annotations

import asyncio
import signal
import sys
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa
import msgspec

from baobabthread.commands.operate import read_text
from baobabthread.commands.options import argument, option
from baobabthread.core.configuration.configuration import merge_sections, parse_section
from baobabthread.errors import UsageError
from baobabthread.load.settings import LoadSettings, Work, parse_account
from baobabthread.logs import configure_logs
from baobabthread.process import run_entry
from baobabthread.settings import (
    EntrySettings,
    check_settings,
    parse_address,
    parse_addresses,
    parse_session_keys,
)

LOG_HELP = "Least severe events to log: debug, info, warning or error."


@cappa.command(help="Run one entry instance.")
@dataclass(kw_only=True, slots=True)
class Serve:
    """Run an entry until SIGTERM; a second one stops it at once."""

    name: Annotated[str, option("name", "Name of this entry, unique among all.")]
    platform: Annotated[str, option("platform", "Base URL of the platform's services.")]
    peer_secret: Annotated[str, option("peer-secret", "Secret shared by all entries.")]
    session_keys: Annotated[
        str,
        option(
            "session-keys",
            "Keys that seal sessions, ID:SECRET,ID:SECRET, the sealing one first.",
        ),
    ]
    listen: Annotated[
        str, option("listen", "IP:PORT for callers.", default="127.0.0.1:8001")
    ]
    peer_listen: Annotated[
        str, option("peer-listen", "IP:PORT for entries.", default="127.0.0.1:9001")
    ]
    failure_domain: Annotated[
        str, option("failure-domain", "This entry's failure domain.", default="local")
    ]
    peers: Annotated[
        str, option("peers", "Peer addresses to join by, IP:PORT,IP:PORT.", default="")
    ]
    operator_key_sha256: Annotated[
        str,
        option(
            "operator-key-sha256",
            "SHA-256 of the key that may publish every section.",
            default="",
        ),
    ]
    tls_cert: Annotated[
        Path | None, option("tls-cert", "PEM certificate of this entry.", default=None)
    ]
    tls_key: Annotated[
        Path | None, option("tls-key", "PEM key of the certificate.", default=None)
    ]
    tls_ca: Annotated[
        Path | None, option("tls-ca", "PEM authority of the entries.", default=None)
    ]
    statsd: Annotated[
        str, option("statsd", "IP:PORT that takes metrics; none if empty.", default="")
    ]
    log_level: Annotated[str, option("log-level", LOG_HELP, default="info")]
    address_lifetime: Annotated[
        float,
        option("address-lifetime", "Seconds that callers keep addresses.", default=5.0),
    ]
    drain_limit: Annotated[
        float,
        option(
            "drain-limit", "Most seconds of a graceful stop's drain.", default=120.0
        ),
    ]
    freshness_bound: Annotated[
        float,
        option(
            "freshness-bound",
            "Seconds without the log that count as fresh.",
            default=3.0,
        ),
    ]
    max_body: Annotated[
        int, option("max-body", "Largest request body in bytes.", default=4_000_000)
    ]
    max_header: Annotated[
        int,
        option("max-header", "Largest head of a request in bytes.", default=16_384),
    ]
    body_timeout: Annotated[
        float,
        option("body-timeout", "Seconds in which a body must have come.", default=20.0),
    ]
    idle_timeout: Annotated[
        float,
        option(
            "idle-timeout",
            "Seconds in which a connection must bring its next request.",
            default=30.0,
        ),
    ]
    max_memory: Annotated[
        int,
        option("max-memory", "Memory in MB; 0 for that of the machine.", default=0),
    ]
    max_descriptors: Annotated[
        int,
        option(
            "max-descriptors",
            "Open files and connections; 0 for the limit of the process.",
            default=0,
        ),
    ]
    seed: Annotated[int, option("seed", "Seed of choices; 0 draws one.", default=0)]

    def run(self) -> int:
        """Check the settings and serve."""
        settings = self.build_settings()
        configure_logs(settings.log_level)
        return asyncio.run(run_entry(settings))

    def build_settings(self) -> EntrySettings:
        """Return the checked settings."""
        statsd = parse_address(self.statsd, option="--statsd") if self.statsd else None
        return check_settings(
            EntrySettings(
                name=self.name,
                listen=parse_address(self.listen, option="--listen"),
                peer_listen=parse_address(self.peer_listen, option="--peer-listen"),
                failure_domain=self.failure_domain,
                platform=self.platform,
                peers=parse_addresses(self.peers, option="--peers"),
                peer_secret=self.peer_secret,
                session_keys=parse_session_keys(self.session_keys),
                operator_key_sha256=self.operator_key_sha256,
                tls_cert=self.tls_cert,
                tls_key=self.tls_key,
                tls_ca=self.tls_ca,
                statsd=statsd,
                log_level=self.log_level,
                address_lifetime_s=self.address_lifetime,
                drain_limit_s=self.drain_limit,
                max_body_bytes=self.max_body,
                max_header_bytes=self.max_header,
                body_timeout_s=self.body_timeout,
                idle_timeout_s=self.idle_timeout,
                max_memory_mb=self.max_memory,
                max_descriptors=self.max_descriptors,
                freshness_bound_s=self.freshness_bound,
                seed=self.seed,
            )
        )


@cappa.command(help="Run stand-ins of the platform and of backend servers.")
@dataclass(kw_only=True, slots=True)
class Standin:
    """Run stand-ins until SIGTERM."""

    files: Annotated[
        list[Path], argument("FILE", "Texts that name the backend servers to run.")
    ]
    listen: Annotated[
        str, option("listen", "IP:PORT of the platform.", default="127.0.0.1:7000")
    ]
    seed: Annotated[int, option("seed", "Seed of all randomness.", default=1)]
    log_level: Annotated[str, option("log-level", LOG_HELP, default="info")]

    def run(self) -> int:
        """Run until told to stop."""
        from baobabthread.standins.fleet import run_fleet

        configure_logs(self.log_level)
        address = parse_address(self.listen, option="--listen")
        sections = {path.stem: parse_section(read_text(path)) for path in self.files}
        configuration = merge_sections(generation=1, sections=sections)

        async def stand_in() -> None:
            await run_fleet(
                configuration=configuration,
                host=address.host,
                port=address.port,
                seed=self.seed,
                stop=expect_signal(),
            )

        asyncio.run(stand_in())
        return 0


def expect_signal(
    numbers: Sequence[signal.Signals] = (signal.SIGTERM, signal.SIGINT),
) -> asyncio.Event:
    """Return an event that a signal to this process sets."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in numbers:
        loop.add_signal_handler(number, stop.set)
    return stop


@cappa.command(help="Drive callers against entries and print what they saw.")
@dataclass(kw_only=True, slots=True)
class Load:
    """Drive load, in an open or a closed loop."""

    entries: Annotated[str, option("entries", "Entries to ask: URL,URL.")]
    accounts: Annotated[
        str,
        option("accounts", "Client accounts: NAME=KEY[=WEIGHT], by commas."),
    ]
    model: Annotated[
        str, option("model", "Model service or version; none if empty.", default="")
    ]
    plain_service: Annotated[
        str, option("plain-service", "Plain service; none if empty.", default="")
    ]
    plain_call: Annotated[
        str, option("plain-call", "Its idempotent call.", default="status")
    ]
    keyed_call: Annotated[
        str, option("keyed-call", "Its non-idempotent call, if any.", default="")
    ]
    rate: Annotated[
        float,
        option("rate", "Requests a second; 0 is a closed loop.", default=0.0),
    ]
    callers: Annotated[int, option("callers", "Callers side by side.", default=8)]
    duration: Annotated[float, option("duration", "Seconds to ask.", default=10.0)]
    deadline: Annotated[
        float, option("deadline", "Seconds that each request may take.", default=30.0)
    ]
    backends: Annotated[
        str,
        option(
            "backends",
            "Addresses of backend stand-ins whose runs are counted, by commas.",
            default="",
        ),
    ]
    tls_ca: Annotated[
        str, option("tls-ca", "PEM authority of entries behind TLS.", default="")
    ]
    json: Annotated[
        Path | None, option("json", "Write the figures to this file.", default=None)
    ]
    seed: Annotated[int, option("seed", "Seed of all randomness.", default=1)]

    def run(self) -> int:
        """Run the load, print the table, and fail on what must never be."""
        from baobabthread.load.tool import render_report, run_load

        report = asyncio.run(run_load(self.build_settings()))
        print(render_report(report))
        if self.json is not None:
            self.json.write_bytes(msgspec.json.format(msgspec.json.encode(report)))
        violations = report.list_violations()
        for violation in violations:
            print(f"FAILED: {violation}", file=sys.stderr)
        return 1 if violations else 0

    def build_settings(self) -> LoadSettings:
        """Return the load tool's settings."""
        shares: dict[Work, float] = {}
        if self.model:
            shares |= {Work.CHAT: 1.0, Work.STREAM: 1.0}
        if self.plain_service:
            shares[Work.PLAIN] = 1.0
        if self.plain_service and self.keyed_call:
            shares |= {Work.BOUND: 0.5, Work.FREE: 0.5}
        if not shares:
            raise UsageError(
                "nothing to ask for", remedy="give --model, --plain-service or both"
            )
        return LoadSettings(
            entries=_split_list(self.entries),
            accounts=[parse_account(text) for text in _split_list(self.accounts)],
            model=self.model,
            plain_service=self.plain_service,
            plain_call=self.plain_call,
            keyed_call=self.keyed_call,
            shares=shares,
            rate_per_s=self.rate,
            callers=self.callers,
            duration_s=self.duration,
            deadline_s=self.deadline,
            backends=_split_list(self.backends),
            ca_file=self.tls_ca,
            seed=self.seed,
        )


def _split_list(text: str) -> list[str]:
    return [part.strip() for part in text.split(",") if part.strip()]


@cappa.command(help="Show the main job in one process, with stand-ins and load.")
@dataclass(kw_only=True, slots=True)
class Demo:
    """Run the demo and fail on what must never be."""

    duration: Annotated[float, option("duration", "Seconds of load.", default=12.0)]
    rate: Annotated[
        float, option("rate", "Requests a second of each organisation.", default=40.0)
    ]
    seed: Annotated[int, option("seed", "Seed of all randomness.", default=1)]
    log_level: Annotated[str, option("log-level", LOG_HELP, default="warning")]

    def run(self) -> int:
        """Run it and print the table."""
        from baobabthread.demo import DemoSettings, render_demo, run_demo

        configure_logs(self.log_level)
        report = asyncio.run(
            run_demo(
                DemoSettings(
                    duration_s=self.duration, rate_per_s=self.rate, seed=self.seed
                )
            )
        )
        print(render_demo(report))
        violations = report.list_violations()
        for violation in violations:
            print(f"FAILED: {violation}", file=sys.stderr)
        print("failed" if violations else "ok")
        return 1 if violations else 0
