"""What all options share: a flag, an environment variable, a help text."""

from __future__ import annotations

from typing import Any

import cappa

PREFIX = "BAOBABTHREAD_"


def option(name: str, text: str, *, default: Any = cappa.Empty) -> cappa.Arg[Any]:
    """Build an option that is also read from `BAOBABTHREAD_<NAME>`."""
    variable = PREFIX + name.upper().replace("-", "_")
    fallback: Any = cappa.Env(variable)
    if default is not cappa.Empty:
        fallback = cappa.Env(variable, default=default)
    return cappa.Arg(long=f"--{name}", help=f"{text} [{variable}]", default=fallback)


def argument(name: str, text: str) -> cappa.Arg[Any]:
    """Build a positional argument."""
    return cappa.Arg(value_name=name, help=text)
