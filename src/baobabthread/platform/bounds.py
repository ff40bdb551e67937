"""Bounds of what the records of other writers may hold.

JSON allows numbers of any size and texts of any length. A value outside its bounds is
rejected where its record is decoded, so that the rest of the program can calculate with
every number and send every name.
"""

from __future__ import annotations

import ipaddress
import re
from typing import Annotated, TypeVar

import msgspec
from msgspec import Meta

from baobabthread.errors import ConfigurationError

MS_PER_S = 1000.0
MAX_PORT = 65_535
MAX_PORT_DIGITS = 5
MAX_NAME_CHARS = 200
MAX_TEXT_CHARS = 8_192
"""Length limit of paths, keys and labels."""
MAX_SLOTS = 100_000
MAX_COUNT = 1_000_000_000
MAX_NUMBER = 2**62
"""Limit of versions, offsets and Unix times in milliseconds."""
MAX_MS = 1e10
"""Limit of durations in milliseconds, about four months."""
MAX_REASON_CHARS = 200
"""Length limit of the reason why a record is rejected."""
_CONTROLS = re.compile(r"[\x00-\x1f\x7f]")
_NO_CONTROLS = r"\A[^\x00-\x1f\x7f]*\Z"

Name = Annotated[str, Meta(max_length=MAX_NAME_CHARS, pattern=_NO_CONTROLS)]
"""Sent in header fields, and part of keys in the store."""
Text = Annotated[str, Meta(max_length=MAX_TEXT_CHARS, pattern=_NO_CONTROLS)]
Label = Annotated[str, Meta(max_length=MAX_TEXT_CHARS)]
"""Only shown, after `clean_label`."""
Slots = Annotated[int, Meta(le=MAX_SLOTS)]
Count = Annotated[int, Meta(ge=0, le=MAX_COUNT)]
Rank = Annotated[int, Meta(ge=-MAX_COUNT, le=MAX_COUNT)]
Number = Annotated[int, Meta(ge=-MAX_NUMBER, le=MAX_NUMBER)]
Weight = Annotated[float, Meta(ge=-float(MAX_COUNT), le=float(MAX_COUNT))]
"""Negative ones are found by the review of a configuration, which has to read them."""
Amount = Annotated[float, Meta(ge=0.0, le=float(MAX_COUNT))]
Seconds = Annotated[float, Meta(ge=0.0, le=MAX_MS / MS_PER_S)]
Milliseconds = Annotated[float, Meta(ge=0.0, le=MAX_MS)]
UnixMilliseconds = Annotated[float, Meta(ge=0.0, le=float(MAX_NUMBER))]

T = TypeVar("T")


def decode_bounded(value: bytes, type: type[T], *, key: str, remedy: str) -> T:
    """Decode a record.

    Raises `ConfigurationError`, and nothing else, if it can't be decoded.
    """
    try:
        return msgspec.json.decode(value, type=type)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise reject_record(error, key=key, remedy=remedy) from error


def reject_record(error: Exception, *, key: str, remedy: str) -> ConfigurationError:
    """Return the error for a record that can't be used."""
    reason = str(error)[:MAX_REASON_CHARS]
    return ConfigurationError(reason, field=key, remedy=remedy)


def clean_label(label: str) -> str:
    """Replace control characters in a label."""
    return _CONTROLS.sub(" ", label)


def check_id(id: str) -> None:
    """Raise `ValueError` unless an id can be sent in a header field."""
    if not id or not id.isascii() or not id.isprintable() or " " in id:
        raise ValueError("id of a server holds other than visible ASCII characters")


def check_address(address: str) -> None:
    """Raise `ValueError` unless the address is an IP address and a port."""
    host, _, port = address.rpartition(":")
    if "%" in host:
        raise ValueError("address names a network interface")
    ipaddress.ip_address(host)
    is_number = port.isascii() and port.isdigit() and len(port) <= MAX_PORT_DIGITS
    if not is_number or not 0 < int(port) <= MAX_PORT:
        raise ValueError(f"port {port!r} is not between 1 and {MAX_PORT}")
