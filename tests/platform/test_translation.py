"""Translation of the platform's settings, records, header fields and store calls."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path
from typing import Any

import msgspec
import pytest

from baobabthread.core.positions import Position
from baobabthread.errors import ConfigurationError, UsageError
from baobabthread.instance.store import (
    Appended,
    Conflict,
    Record,
    StoreError,
    Tail,
    Trimmed,
)
from baobabthread.instance.wire import BackendCall
from baobabthread.platform.headers import PlatformWireFormat
from baobabthread.platform.records import (
    PlatformRecordFormat,
    decode_backend,
    decode_configuration,
)
from baobabthread.platform.settings import parse_settings, read_settings
from baobabthread.platform.store import PlatformStore
from baobabthread.routing.configuration import (
    RequestKind,
    RolloutOrder,
    RolloutState,
    RolloutStatus,
)
from baobabthread.routing.quarantine import QuarantineEntry
from tests.platform.fakestore import FakeStore
from tests.platform.site import make_configuration, run

SETTINGS: dict[str, Any] = {
    "node_name": "front-a-1",
    "ip": "10.0.0.1",
    "zone": "a",
    "listen": {
        "front": "10.0.0.1:1",
        "ready": "10.0.0.1:2",
        "directory": "10.0.0.1:3",
        "control": "10.0.0.1:4",
    },
    "internal_ports": [7000, 7015],
    "provider": {"address": "10.0.0.9:5"},
    "unknown": {"is": "passed over"},
    "guarantees": {"revoke_ms": 4000, "grace_s": 7},
}


def test_read_settings() -> None:
    settings = parse_settings(json.dumps(SETTINGS).encode(), "x")
    assert settings.gossip_address == "10.0.0.1:7000"
    assert settings.control_port == 4
    assert settings.bounds.revocation_s == 4.0
    assert settings.bounds.grace_s == 7.0


@pytest.mark.parametrize(
    ("change", "named"),
    [
        ({"zone": 5}, "zone"),
        ({"listen": {"front": "10.0.0.1:1"}}, "ready"),
        ({"internal_ports": []}, "internal_ports"),
        ({"provider": None}, "provider"),
    ],
)
def test_name_the_invalid_field(change: dict[str, Any], named: str) -> None:
    with pytest.raises(UsageError, match=named) as raised:
        parse_settings(json.dumps(SETTINGS | change).encode(), "boot.json")
    assert "boot.json" in raised.value.message


def test_report_a_missing_settings_file(tmp_path: Path) -> None:
    with pytest.raises(UsageError, match="can't read the settings file"):
        read_settings(str(tmp_path / "none"))


@pytest.mark.parametrize("text", ["", "{", "[]"])
def test_exit_with_a_message_on_bad_settings(tmp_path: Path, text: str) -> None:
    path = tmp_path / "boot.json"
    path.write_text(text)
    completed = subprocess.run(
        [sys.executable, "-m", "baobabthread.platform", "--settings", str(path)],
        capture_output=True,
        text=True,
        check=False,
    )
    assert completed.returncode == 2
    assert "Error: settings file" in completed.stderr
    assert "Remedy:" in completed.stderr
    assert "Traceback" not in completed.stderr


def test_decode_a_configuration() -> None:
    decoded = decode_configuration(json.dumps(make_configuration(9)).encode())
    assert decoded.version == 9
    kinds = {route.name: route.kind for route in decoded.routes}
    assert kinds["safe"] is RequestKind.IDEMPOTENT
    assert kinds["unsafe"] is RequestKind.NON_IDEMPOTENT
    stream = next(route for route in decoded.routes if route.name == "stream")
    assert stream.may_retry and stream.is_stream and stream.has_prompts
    assert not next(route for route in decoded.routes if route.name == "once").may_retry


def test_treat_an_unknown_kind_as_non_idempotent() -> None:
    text = make_configuration()
    text["routes"][0]["kind"] = "keyed"  # type: ignore[index]
    decoded = decode_configuration(json.dumps(text).encode())
    assert not decoded.routes[0].may_retry


@pytest.mark.parametrize("value", [b"", b"[]", b'{"version":"x"}', b'{"routes":[]}'])
def test_reject_an_invalid_configuration(value: bytes) -> None:
    with pytest.raises(ConfigurationError):
        decode_configuration(value)


def test_decode_orders_and_status() -> None:
    formats = PlatformRecordFormat()
    order = formats.decode_operator_record(
        Record(
            key="rollout/s",
            value=b'{"service":"s","target":"v2","deadline_s":12}',
            position=Position(2, 8),
        )
    )
    assert order == RolloutOrder(
        offset=8, era=2, service="s", target="v2", time_limit_s=12
    )
    other = Record(key="x", value=b"?", position=Position(2, 1))
    assert formats.decode_operator_record(other) is None
    status = RolloutStatus(
        service="s", target="v2", state=RolloutState.REVERTED, offset=8, elapsed_s=1.5
    )
    append = formats.encode_status(status, 4)
    assert (append.key, append.expected_end) == ("rollout/s", 4)
    assert b'"state":"reverted"' in append.value
    record = Record(key=append.key, value=append.value, position=Position(1, 4))
    assert formats.decode_status(record) == status


def test_encode_the_head_of_a_request() -> None:
    head = PlatformWireFormat().encode_request(
        "POST",
        "/a?b",
        [
            (b"Host", b"h"),
            (b"Connection", b"close, X-Hop"),
            (b"X-Hop", b"1"),
            (b"Content-Length", b"999"),
            (b"X-Model", b"*"),
            (b"X-Kept", b"\xe9"),
        ],
        BackendCall(
            backend="b1",
            time_left_s=1.5,
            account="metro",
            priority=12,
            model="large",
            last_event=None,
        ),
        3,
    )
    lines = head.split(b"\r\n")
    assert lines[0] == b"POST /a?b HTTP/1.1"
    assert b"X-Kept: \xe9" in lines
    assert b"X-Timeout-Ms: 1500" in lines
    assert b"X-Request-Priority: 9" in lines
    assert b"X-Model: large" in lines and b"X-Model: *" not in lines
    assert b"Content-Length: 3" in lines
    assert not any(line.startswith((b"X-Hop", b"Connection")) for line in lines)


@pytest.mark.parametrize(
    ("value", "count"),
    [("a:1,b:2", 2), ("", 0), ("a", 0), ("a:x", 0), (" a:1 , b:2 ", 2)],
)
def test_parse_the_parts_of_a_prompt(value: str, count: int) -> None:
    envelope = PlatformWireFormat().decode_envelope({"X-Prompt-Prefix": value})
    assert len(envelope.prompt_parts) == count


def test_ignore_invalid_fields() -> None:
    envelope = PlatformWireFormat().decode_envelope(
        {"X-Timeout-Ms": "soon", "X-Token-Usage": "9", "Authorization": "Basic x"}
    )
    assert envelope.time_left_s is None
    assert (envelope.prompt_tokens, envelope.key) == (0, None)


def test_read_and_append_to_the_store() -> None:
    async def case() -> None:
        fake = await FakeStore().start()
        store = PlatformStore(address=fake.address, connect_s=0.5)
        fake.put("keyed.op", "config", {"version": 1})
        fake.put("keyed.op", "gone", {"x": 1})
        fake.put("keyed.op", "gone", b"")
        page = await store.newest("keyed.op", 1.0)
        assert [record.key for record in page.records] == ["config"]
        assert page.end == Position(1, 3)
        tail = await store.read("keyed.op", Position(1, 1), wait_s=0.0, timeout_s=1.0)
        assert isinstance(tail, Tail)
        assert [(r.key, r.value) for r in tail.records][1] == ("gone", b"")
        assert (tail.next, tail.end) == (Position(1, 3), Position(1, 3))
        fake.first_offsets["keyed.op"] = 2
        assert isinstance(
            await store.read("keyed.op", Position(1, 1), wait_s=0.0, timeout_s=1.0),
            Trimmed,
        )
        status = RolloutStatus(service="s", target="v", state=RolloutState.RUNNING)
        append = PlatformRecordFormat().encode_status(status, Position(1, 0))
        appended = await store.append(append, 1.0)
        assert appended == Appended(end=Position(1, 1))
        assert isinstance(await store.append(append, 1.0), Conflict)
        store.close()
        fake.close()

    run(case())


def test_fail_when_the_store_is_silent_or_busy() -> None:
    async def case() -> None:
        fake = await FakeStore().start()
        store = PlatformStore(address=fake.address, connect_s=0.5)
        for fault in ("busy", "silent"):
            fake.fault = fault
            with pytest.raises(StoreError):
                await store.newest("keyed.op", 0.3)
        fake.fault = ""
        assert (await store.newest("keyed.op", 1.0)).records == []
        fake.close()
        with pytest.raises(StoreError):
            await PlatformStore(address="127.0.0.1:1", connect_s=0.2).newest("x", 0.5)
        store.close()

    run(case())


SERVER: dict[str, Any] = {
    "service": "s",
    "address": "10.0.0.5:80",
    "zone": "a",
    "version": "v1",
    "slots": 6,
    "state": "ready",
    "cold_left_ms": 0,
    "seq": 3,
}


def test_decode_a_backend_server() -> None:
    backend = decode_backend("s1", json.dumps(SERVER).encode())
    assert (backend.capacity, backend.leaving, backend.incarnation) == (6, False, "s1")
    text = json.dumps(SERVER | {"born": 1700, "state": "draining"}).encode()
    backend = decode_backend("s1", text)
    assert backend.leaving
    assert backend.started_ms == 1700
    assert backend.incarnation != "s1"


@pytest.mark.parametrize(
    "change",
    [
        {"service": None},
        {"address": 5},
        {"address": "nowhere"},
        {"address": "10.0.0.5:0"},
        {"address": "10.0.0.5:http"},
        {"slots": "6"},
        {"slots": True},
        {"state": "warming"},
        {"born": "1700"},
        {"born": 1700.5},
        {"zone": ["a"]},
    ],
)
def test_reject_a_server_record_with_an_invalid_field(change: dict[str, Any]) -> None:
    with pytest.raises(ConfigurationError, match="s1"):
        decode_backend("s1", json.dumps(SERVER | change).encode())


@pytest.mark.parametrize("missing", ["service", "address", "version", "slots", "state"])
def test_reject_a_server_record_that_lacks_a_field(missing: str) -> None:
    text = {name: value for name, value in SERVER.items() if name != missing}
    with pytest.raises(ConfigurationError):
        decode_backend("s1", json.dumps(text).encode())


@pytest.mark.parametrize("value", [b"\xff\x00", b"[" * 100_000, b"{", b"7"])
def test_reject_a_server_record_that_is_not_an_object(value: bytes) -> None:
    with pytest.raises(ConfigurationError):
        decode_backend("s1", value)


def test_store_a_quarantined_request_by_the_time_of_its_end() -> None:
    formats = PlatformRecordFormat()
    entry = QuarantineEntry(
        fingerprint="f1",
        service="s",
        times=2,
        left_s=60.0,
        is_cleared=True,
        versions=("v1",),
    )
    append = formats.encode_quarantined(entry, Position(1, 7), unix_now=1000.0)
    assert (append.topic, append.expected_end) == ("keyed.status", Position(1, 7))
    assert json.loads(append.value)["until_ms"] == 1_060_000
    record = Record(key=append.key, value=append.value, position=Position(1, 7))
    later = formats.decode_quarantined(record, unix_now=1010.0)
    assert later == msgspec.structs.replace(entry, left_s=50.0)
    release = formats.encode_release("f1", Position(1, 8))
    assert (release.key, release.value) == (append.key, b"")
    for key, value in ((release.key, b""), ("rollout/s", b"{}")):
        other = Record(key=key, value=value, position=Position(1, 0))
        assert formats.decode_quarantined(other, unix_now=0.0) is None
