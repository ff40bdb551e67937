"""One line of key=value pairs for each event, through absl."""

from __future__ import annotations

import json
import sys

from absl import logging as absl_logging

from baobabthread.errors import UsageError

LEVELS = {
    "debug": absl_logging.DEBUG,
    "info": absl_logging.INFO,
    "warning": absl_logging.WARNING,
    "error": absl_logging.ERROR,
}


def configure_logs(level: str) -> None:
    """Send events of this level and above to standard error."""
    if level not in LEVELS:
        raise UsageError(
            f"no log level '{level}'", remedy=f"use one of: {', '.join(LEVELS)}"
        )
    absl_logging.use_absl_handler()
    absl_logging.set_verbosity(LEVELS[level])
    absl_logging.get_absl_handler().python_handler.stream = sys.stderr


def log_event(event: str, /, *, level: str = "info", **fields: object) -> None:
    """Write one event."""
    if absl_logging.get_verbosity() < LEVELS[level]:
        return
    pairs = [f"event={event}"]
    pairs.extend(f"{key}={_quote(value)}" for key, value in fields.items())
    absl_logging.log(LEVELS[level], "%s", " ".join(pairs))


def _quote(value: object) -> str:
    text = str(value)
    # A caller's text with a line break or a quote would forge a second event.
    if text and all(c.isprintable() and c not in ' "=' for c in text):
        return text
    return json.dumps(text)
