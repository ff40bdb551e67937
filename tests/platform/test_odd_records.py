"""Records of other writers, odd header fields and odd replies of the store."""

from __future__ import annotations

import asyncio
import contextlib
import json
import math
from collections.abc import Callable
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from multidict import CIMultiDict
from soak.oddrecords import SOUND

from baobabthread.core.positions import Position
from baobabthread.errors import ConfigurationError
from baobabthread.instance.events import EventSplitter
from baobabthread.instance.store import Append, Record, StoreError
from baobabthread.platform.bounds import MAX_NUMBER
from baobabthread.platform.headers import PlatformWireFormat
from baobabthread.platform.records import PlatformRecordFormat
from baobabthread.platform.store import PlatformStore
from baobabthread.routing.configuration import RolloutState, RolloutStatus
from tests.platform.fakestore import BACKENDS, OPERATORS, STATUS
from tests.platform.site import Site, make_configuration, open_site, run, wait_for

HUGE = 10**400
DEEP = b"[" * 100_000
SERVER: dict[str, Any] = SOUND | {"born": 1700}
ORDER = {"service": "plain", "target": "v2", "deadline_s": 24.0}
STATUS_RECORD = {**ORDER, "state": "running", "number": 3, "era": 0, "elapsed_s": 0.5}
QUARANTINED = {"service": "plain", "times": 2, "until_ms": 1.7e12, "versions": ["v1"]}
ODD_SERVERS: dict[str, Any] = {
    "huge number of slots": {"slots": HUGE},
    "large number of slots": {"slots": 10**30},
    "huge start": {"born": HUGE},
    "huge warm-up": {"cold_left_ms": HUGE},
    "large warm-up": {"cold_left_ms": 1e308},
    "port out of range": {"address": "127.0.0.1:70000"},
    "port with a sign": {"address": "127.0.0.1:+80"},
    "port with a separator": {"address": "127.0.0.1:8_0"},
    "port in other digits": {"address": "127.0.0.1:\u0668\u0660"},
    "long port": {"address": "127.0.0.1:" + "9" * 5000},
    "scope with line breaks": {"address": "fe80::1%x\r\nX-Evil: 1:80"},
    "long name": {"service": "s" * 1_000_000},
    "name with line breaks": {"version": "v1\r\nX-Evil: 1"},
    "deep field": {"unknown": json.loads("[" * 900 + "]" * 900)},
}
FORMAT = PlatformRecordFormat()

Decode = Callable[[str, bytes], object]


def make_record(key: str, value: bytes) -> Record:
    return Record(key=key, value=value, position=Position(0, 7))


DECODERS: dict[str, tuple[Decode, str, dict[str, Any]]] = {
    "server": (
        lambda key, value: FORMAT.decode_backend(make_record(key, value)),
        "s1",
        SERVER,
    ),
    "configuration": (
        lambda key, value: FORMAT.decode_operator_record(make_record(key, value)),
        "config",
        make_configuration(),
    ),
    "order": (
        lambda key, value: FORMAT.decode_operator_record(make_record(key, value)),
        "rollout/plain",
        ORDER,
    ),
    "status": (
        lambda key, value: FORMAT.decode_status(make_record(key, value)),
        "rollout/plain",
        STATUS_RECORD,
    ),
    "quarantine": (
        lambda key, value: FORMAT.decode_quarantined(
            make_record(key, value), unix_now=1.7e9
        ),
        "quarantine/f1",
        QUARANTINED,
    ),
}
"""Decoder, key and a sound value of each kind of record."""


def list_leaves(value: Any) -> list[Any]:
    """Return the numbers and texts that a decoded record holds."""
    if isinstance(value, dict):
        return [leaf for item in value.items() for leaf in list_leaves(item)]
    if isinstance(value, list | tuple):
        return [leaf for item in value for leaf in list_leaves(item)]
    return [value]


def check_bounds(decoded: object) -> None:
    """Fail if a decoded record holds what can't be calculated or sent with."""
    for leaf in list_leaves(msgspec.to_builtins(decoded)):
        if isinstance(leaf, int | float):
            assert math.isfinite(leaf)
            assert abs(leaf) <= MAX_NUMBER
        elif isinstance(leaf, str):
            assert len(leaf) <= 20_000
            assert not any(ord(character) < 32 for character in leaf)


ODD_VALUES = st.one_of(
    st.none(),
    st.booleans(),
    st.sampled_from([HUGE, -HUGE, 10**30, 2**63, 2**64, -1, 0, 1e308, -1e308, 0.5]),
    st.sampled_from(["", "\r\nX-Evil: 1", "x" * 100_000, "a:b", "\u0668", "\u0000"]),
    st.integers(),
    st.floats(allow_nan=False, allow_infinity=False),
    st.text(max_size=20),
    st.lists(st.integers(), max_size=3),
    st.dictionaries(st.text(max_size=5), st.integers(), max_size=3),
)


def list_paths(value: Any, path: tuple[Any, ...] = ()) -> list[tuple[Any, ...]]:
    """Return the paths to all values within a value."""
    found = [path]
    if isinstance(value, dict | list):
        items = value.items() if isinstance(value, dict) else enumerate(value)
        for key, item in items:
            found += list_paths(item, (*path, key))
    return found


def replace_at(value: Any, path: tuple[Any, ...], odd: Any) -> Any:
    """Return a copy of a value with one place replaced."""
    if not path:
        return odd
    copy = dict(value) if isinstance(value, dict) else list(value)
    copy[path[0]] = replace_at(value[path[0]], path[1:], odd)
    return copy


@pytest.mark.parametrize("kind", DECODERS)
@settings(max_examples=400, deadline=None)
@given(data=st.data())
def test_decode_records_with_odd_values(kind: str, data: st.DataObject) -> None:
    """One odd number ended every request and every tick of all instances."""
    decode, key, sound = DECODERS[kind]
    path = data.draw(st.sampled_from(list_paths(sound)))
    odd = replace_at(sound, path, data.draw(ODD_VALUES))
    try:
        decoded = decode(key, json.dumps(odd).encode())
    except ConfigurationError as error:
        assert len(error.message) < 1000
    else:
        check_bounds(decoded)


@pytest.mark.parametrize("kind", DECODERS)
@given(value=st.binary(max_size=64))
def test_decode_records_that_are_no_json(kind: str, value: bytes) -> None:
    decode, key, _ = DECODERS[kind]
    with contextlib.suppress(ConfigurationError):
        decode(key, value)


@pytest.mark.parametrize("kind", DECODERS)
@pytest.mark.parametrize("value", [DEEP, b'{"x":' * 100_000, b'{"x":' + DEEP])
def test_decode_records_that_are_deeply_nested(kind: str, value: bytes) -> None:
    """Readers that catch format errors alone ended with a recursion error."""
    decode, key, _ = DECODERS[kind]
    with pytest.raises(ConfigurationError):
        decode(key, value)


@pytest.mark.parametrize("kind", DECODERS)
def test_decode_sound_records(kind: str) -> None:
    decode, key, sound = DECODERS[kind]
    check_bounds(decode(key, json.dumps(sound).encode()))


def test_read_a_status_that_was_written_again_years_later() -> None:
    """Instances would not find their own status, and write it again and again."""
    status = RolloutStatus(
        service="plain", target="v2", state=RolloutState.SUCCEEDED, elapsed_s=3e8
    )
    append = FORMAT.encode_status(status, Position(0, 7))
    assert FORMAT.decode_status(make_record(append.key, append.value)) == status


@pytest.mark.parametrize("id", ["", "s 1", "s1\r\nX-Evil: 1", "\ufffd", "\u0661"])
def test_reject_a_server_whose_id_fits_no_header_field(id: str) -> None:
    """The id is sent in a field of each request."""
    with pytest.raises(ConfigurationError):
        FORMAT.decode_backend(make_record(id, json.dumps(SERVER).encode()))


def put_odd_records(site: Site) -> None:
    """Write one odd record of each kind beside the sound ones."""
    for name, change in ODD_SERVERS.items():
        site.store.put(BACKENDS, name.replace(" ", "-"), SERVER | change)
    for number, value in enumerate((DEEP, b'{"x":' * 100_000, b"\xff", b"7")):
        site.store.put(BACKENDS, f"odd{number}", value)
        site.store.put(OPERATORS, "rollout/plain", value)
        site.store.put(STATUS, f"rollout/odd{number}", value)
        site.store.put(STATUS, f"quarantine/odd{number}", value)
    site.store.put(STATUS, "rollout/plain", STATUS_RECORD | {"elapsed_s": HUGE})
    site.store.put(OPERATORS, "config", DEEP)


def test_serve_beside_odd_records() -> None:
    """One odd record left every request without a server, as long as it stood there."""

    async def case() -> None:
        async with open_site("p1", "p2") as site:
            await site.add_instances(2)
            put_odd_records(site)
            await asyncio.sleep(0.5)
            index = await site.add_instance("late", ip="127.0.0.9")
            await site.wait_ready(index)
            for number in range(30):
                response = await site.call("/safe/x", index=number % 3)
                assert response.status == 200
            added = await site.add_backend("p3", service="plain")

            async def is_used() -> None:
                while not added.seen:
                    assert (await site.call("/safe/x")).status == 200

            await asyncio.wait_for(is_used(), 5.0)
            await wait_for(lambda: all(i.is_ready for i in site.instances))

    run(case())


NUMBER_FIELDS = ["X-Timeout-Ms", "X-Length-Hint", "X-Confidence", "X-Cold-Ms"]
NUMBERS = ["1e9999", "nan", "-inf", "9" * 5000, "\u0668", "1" * 400, "0x10", "\u00b2"]


@pytest.mark.parametrize("value", NUMBERS)
def test_pass_over_odd_numbers_in_header_fields(value: str) -> None:
    """A number that can't be calculated with ended the request."""
    fields = dict.fromkeys(NUMBER_FIELDS, value)
    fields["X-Token-Usage"] = f"{value},{value}"
    fields["X-Prompt-Prefix"] = f"aa:{value}"
    envelope = PlatformWireFormat().decode_envelope(fields)
    check_bounds(envelope)
    assert envelope.prompt_parts == ()
    fields |= {"Retry-After": value, "Server-Limit": value, "Server-Brittle": value}
    metadata = PlatformWireFormat().decode_response(503, CIMultiDict(fields))
    # A rest without end is bounded where it is recorded.
    check_bounds(msgspec.structs.replace(metadata, rest_s=None))


@pytest.mark.parametrize("id", ["\u00b2", "9" * 5000, "-1"])
def test_pass_on_events_with_odd_numbers(id: str) -> None:
    """A stream broke off at an event whose number can't be read."""
    event = f"id: {id}\ndata: x\n\n".encode()
    assert EventSplitter(last_forwarded_id="1").feed(event).data == event


def test_refuse_odd_replies_of_the_store() -> None:
    """A reply that can't be decoded is a failure of the store, nothing else."""

    async def case() -> None:
        async with open_site("p1") as site:
            store = PlatformStore(address=site.store.address, connect_s=0.3)
            append = Append(
                topic=STATUS, key="k" * 256, value=b"v", expected_end=Position(0, 0)
            )
            with pytest.raises(StoreError):
                await store.append(append, 1.0)
            store.close()

    run(case())
