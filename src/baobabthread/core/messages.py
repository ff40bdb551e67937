"""Typed events and effects shared by the protocols of the core.

Each protocol is a class whose methods take an event and the time and return a list
of effects. The shell runs effects and turns their results into events again.
"""

from __future__ import annotations

import enum
from typing import Any

import msgspec


class Stream(enum.StrEnum):
    """Name the streams kept in the platform's log."""

    CONFIGURATION = "configuration"
    CLAIMS = "claims"
    BILLS = "bills"
    ROLLOUTS = "rollouts"


class LogRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Hold one record as read back from the log."""

    offset: int
    id: str
    body: msgspec.Raw
    """The record's JSON, decoded by the protocol that owns the stream."""


class Append(msgspec.Struct, frozen=True, kw_only=True):
    """Ask the shell to append one record; group commit batches them."""

    stream: Stream
    id: str
    body: bytes
    """The record's JSON."""


class Send(msgspec.Struct, frozen=True, kw_only=True):
    """Ask the shell to send one message to a peer entry."""

    to: str
    message: msgspec.Struct


class Appended(msgspec.Struct, frozen=True, kw_only=True):
    """Report that the log acknowledged an append."""

    stream: Stream
    id: str
    offset: int


class AppendFailed(msgspec.Struct, frozen=True, kw_only=True):
    """Report an append that was not acknowledged.

    When `definite` is false the record may be in the log all the same: the protocol
    reads the stream for its own record id and never appends blindly.
    """

    stream: Stream
    id: str
    definite: bool


class LogRead(msgspec.Struct, frozen=True, kw_only=True):
    """Report records read from a stream, in order, and the head at that moment."""

    stream: Stream
    records: list[LogRecord]
    head: int
    first: int = 0
    """The lowest offset that the log still holds."""
    started_at: float = 0.0
    """When the read was sent; the head may have moved since, in seconds."""


class Received(msgspec.Struct, frozen=True, kw_only=True):
    """Report a message from a peer entry."""

    sender: str
    message: msgspec.Struct


class SendFailed(msgspec.Struct, frozen=True, kw_only=True):
    """Report a message that a peer entry did not acknowledge."""

    to: str
    message: msgspec.Struct


Effects = list[Any]
"""A list of effect structs, run by the shell in order."""
