"""The command line of baobabthread."""

from __future__ import annotations

import sys
from dataclasses import dataclass

import cappa

from baobabthread.commands.check import Check
from baobabthread.commands.explain import Losses
from baobabthread.commands.operate import Bills, Publish, Show, State, Version
from baobabthread.commands.options import check_given
from baobabthread.commands.run import Demo, Load, Serve, Standin
from baobabthread.errors import BaobabthreadError

ERROR_FORMAT = (
    "{short_help}\n\nError: {message}\n"
    "Remedy: give what '{prog} --help' allows, as a flag or BAOBABTHREAD_* variable"
)
INTERRUPTED = 130


@cappa.command(
    name="baobabthread",
    help="Route requests to models and plain services, by version, at the lowest cost.",
)
@dataclass(kw_only=True, slots=True)
class Baobabthread:
    """Hold the chosen command."""

    command: cappa.Subcommands[
        Serve
        | Standin
        | Check
        | Publish
        | Show
        | State
        | Bills
        | Losses
        | Load
        | Demo
        | Version
    ]


def run(arguments: list[str]) -> int:
    """Run one command line and return its exit code."""
    output = cappa.Output(error_format=ERROR_FORMAT)
    try:
        parsed = cappa.parse(
            Baobabthread, argv=arguments, completion=False, output=output
        )
        check_given(parsed.command)
        return parsed.command.run()
    except cappa.Exit as stop:
        return int(stop.code or 0)
    except BaobabthreadError as error:
        print(error.render(), file=sys.stderr)
        return error.exit_code
    except BrokenPipeError:
        # The reader of the output, such as `head`, has seen enough.
        sys.stderr.close()
        return 0
    except KeyboardInterrupt:
        return INTERRUPTED


def main() -> None:
    """Run the command line of this process."""
    sys.exit(run(sys.argv[1:]))
