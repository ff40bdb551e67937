"""What all options share: a flag, an environment variable, a help text."""

from __future__ import annotations

import dataclasses
import typing
from typing import Any

import cappa

from baobabthread.errors import UsageError

PREFIX = "BAOBABTHREAD_"


def name_variable(option_name: str) -> str:
    """Return the environment variable of an option."""
    return PREFIX + option_name.upper().replace("-", "_")


def option(name: str, text: str, *, default: Any = cappa.Empty) -> cappa.Arg[Any]:
    """Build an option that is also read from `BAOBABTHREAD_<NAME>`."""
    variable = name_variable(name)
    fallback: Any = cappa.Env(variable)
    if default is not cappa.Empty:
        fallback = cappa.Env(variable, default=default)
    return cappa.Arg(long=f"--{name}", help=f"{text} [{variable}]", default=fallback)


def argument(name: str, text: str) -> cappa.Arg[Any]:
    """Build a positional argument."""
    return cappa.Arg(value_name=name, help=text)


def list_arguments(command: type) -> dict[str, tuple[cappa.Arg[Any], bool]]:
    """Return a command's arguments by field, and whether each may be left out."""
    hints = typing.get_type_hints(command, include_extras=True)
    found: dict[str, tuple[cappa.Arg[Any], bool]] = {}
    for field in dataclasses.fields(command):
        plain, arg = typing.get_args(hints[field.name])[:2]
        found[field.name] = (arg, type(None) in typing.get_args(plain))
    return found


def check_given(command: Any) -> None:
    """Raise an error that names the first option that is missing."""
    for field, (arg, may_be_none) in list_arguments(type(command)).items():
        # The parser takes a variable that isn't set for a value of none: without
        # this check a missing option would only show as a failure deep inside.
        if getattr(command, field) is None and not may_be_none:
            flag = str(arg.long)
            variable = name_variable(flag.removeprefix("--"))
            raise UsageError(
                f"{flag} is missing", remedy=f"give {flag} or set {variable}"
            )
