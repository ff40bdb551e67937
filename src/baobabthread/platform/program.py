"""Command line of the instance, and the composition of its adapters."""

from __future__ import annotations

import argparse
import asyncio
import os
import sys

import msgspec

from baobabthread.errors import BaobabthreadError, UsageError
from baobabthread.instance.process import Adapters, Instance
from baobabthread.platform.headers import PlatformWireFormat
from baobabthread.platform.interface import PlatformInterface
from baobabthread.platform.records import PlatformRecordFormat
from baobabthread.platform.settings import PATH_VARIABLE, read_settings
from baobabthread.platform.store import PlatformStore
from baobabthread.routing.mechanisms import OPTIONAL, Mechanism, find_disabled

CONNECT_TIMEOUT_S = 0.5
"""Timeout for opening a connection to the store."""


def main() -> int:
    """Read the settings and serve; return the exit code."""
    try:
        return asyncio.run(_run(_parse_arguments()))
    except BaobabthreadError as error:
        print(error.render(), file=sys.stderr)
        return error.exit_code


def _parse_arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="baobabthread.platform", description=__doc__)
    parser.add_argument(
        "--settings",
        default=os.environ.get(PATH_VARIABLE),
        help=f"path of the settings file [env: {PATH_VARIABLE}]",
    )
    parser.add_argument(
        "--metrics", default=None, help="PORT/PATH at which metrics are served"
    )
    parser.add_argument(
        "--without",
        action="append",
        type=Mechanism,
        choices=list(Mechanism),
        default=[],
        help="disable a mechanism, to measure its benefit; may be repeated",
    )
    parser.add_argument(
        "--with",
        dest="optional",
        action="append",
        type=Mechanism,
        choices=sorted(OPTIONAL),
        default=[],
        help="use an optional mechanism; may be repeated",
    )
    return parser.parse_args()


async def _run(arguments: argparse.Namespace) -> int:
    if arguments.settings is None:
        raise UsageError(
            "no settings file", remedy=f"set {PATH_VARIABLE} or give --settings PATH"
        )
    settings = msgspec.structs.replace(
        read_settings(arguments.settings),
        off=find_disabled(arguments.without, arguments.optional),
    )
    port, _, path = (arguments.metrics or "").partition("/")
    adapters = Adapters(
        store=PlatformStore(
            address=settings.store_address, connect_s=CONNECT_TIMEOUT_S
        ),
        formats=PlatformRecordFormat(),
        wire=PlatformWireFormat(),
        make_interface=lambda is_ready, find: PlatformInterface(
            is_ready=is_ready, find_addresses=find
        ),
        metrics_address=f"{settings.ip}:{port}" if port else None,
        metrics_path=f"/{path}",
    )
    return await Instance(settings=settings, adapters=adapters).run()
