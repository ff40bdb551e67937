"""One line of key=value pairs for each event, through absl."""

from __future__ import annotations

import datetime
import json
import logging
from collections.abc import Mapping

from absl import flags
from absl import logging as absl_logging

from baobabthread.errors import UsageError

LEVELS = {
    "debug": absl_logging.DEBUG,
    "info": absl_logging.INFO,
    "warning": absl_logging.WARNING,
    "error": absl_logging.ERROR,
}
EVENT = "event="


class LineFormatter(logging.Formatter):
    """Write a record as `time=… level=… event=…` and what else it holds."""

    def format(self, record: logging.LogRecord) -> str:
        """Return one line."""
        moment = datetime.datetime.fromtimestamp(record.created, datetime.UTC)
        time = moment.isoformat(timespec="milliseconds").replace("+00:00", "Z")
        line = f"time={time} level={record.levelname.lower()} {_render(record)}"
        if record.exc_info and record.exc_info[0] is not None:
            line += f" error={_quote(self.formatException(record.exc_info))}"
        return line


def _render(record: logging.LogRecord) -> str:
    message = record.getMessage()
    if not message.startswith(EVENT):
        return f"{EVENT}message logger={record.name} text={_quote(message)}"
    # A field with a line break that came by a direct call would forge a second event.
    return "".join(c if c.isprintable() else json.dumps(c)[1:-1] for c in message)


def configure_logs(level: str) -> None:
    """Send events of this level and above to standard error."""
    if level not in LEVELS:
        raise UsageError(
            f"--log-level: no log level '{level}'",
            remedy=f"use one of: {', '.join(LEVELS)}",
        )
    if not flags.FLAGS.is_parsed():
        # cappa owns the command line; absl would warn of unparsed flags at each start.
        flags.FLAGS.mark_as_parsed()
    flags.FLAGS["logtostderr"].value = True
    absl_logging.use_absl_handler()
    absl_logging.set_verbosity(LEVELS[level])
    absl_logging.get_absl_handler().setFormatter(LineFormatter())
    # It writes two lines of prose for each change of a life cycle, no event.
    logging.getLogger("transitions").setLevel(logging.WARNING)


def log_event(event: str, /, *, level: str = "info", **fields: object) -> None:
    """Write one event."""
    write_event(event, fields, level=level)


def write_event(
    event: str, fields: Mapping[str, object], *, level: str = "info"
) -> None:
    """Write one event whose fields come from several places."""
    if absl_logging.get_verbosity() < LEVELS[level]:
        return
    pairs = [f"{EVENT}{event}"]
    pairs.extend(f"{key}={_quote(value)}" for key, value in fields.items())
    absl_logging.log(LEVELS[level], "%s", " ".join(pairs))


def _quote(value: object) -> str:
    text = str(value)
    # A caller's text with a line break or a quote would forge a second event.
    if text and all(c.isprintable() and c not in ' "=' for c in text):
        return text
    return json.dumps(text)
