"""Tests of the settings of an entry."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import msgspec
import pytest

from baobabthread.errors import UsageError
from baobabthread.settings import (
    Address,
    EntrySettings,
    check_settings,
    parse_address,
    parse_addresses,
    parse_session_keys,
)

GOOD = EntrySettings(
    name="e1",
    listen=Address("127.0.0.1", 0),
    peer_listen=Address("127.0.0.1", 0),
    failure_domain="didube",
    platform="http://127.0.0.1:7000",
    peer_secret="peer-secret-of-tests",
    session_keys=(("k1", b"session-key-of-tests"),),
)


def test_good_settings_pass() -> None:
    assert check_settings(GOOD) is GOOD


BAD: list[tuple[dict[str, Any], str, str]] = [
    ({"name": ""}, "--name", "a-z"),
    ({"name": "-e1"}, "--name", "a-z"),
    ({"name": "e" * 32}, "--name", "31"),
    ({"failure_domain": "Vake"}, "--failure-domain", "a-z"),
    ({"platform": "ftp://127.0.0.1"}, "--platform", "http://"),
    ({"peer_secret": "x" * 15}, "--peer-secret", "16"),
    ({"peer_secret": "x" * 15 + "\n"}, "--peer-secret", "16"),
    ({"peer_secret": "\u10d0" * 16}, "--peer-secret", "16"),
    ({"operator_key_sha256": "KEY"}, "--operator-key-sha256", "64"),
    ({"operator_key_sha256": "A" * 64}, "--operator-key-sha256", "lower-case"),
    ({"address_lifetime_s": 0.0}, "--address-lifetime", "from 0.1"),
    ({"address_lifetime_s": float("nan")}, "--address-lifetime", "from 0.1"),
    ({"drain_limit_s": -1.0}, "--drain-limit", "from 0.1"),
    ({"freshness_bound_s": 0.0}, "--freshness-bound", "from 0.1"),
    ({"body_timeout_s": float("inf")}, "--body-timeout", "86400"),
    ({"idle_timeout_s": 0.0}, "--idle-timeout", "from 0.1"),
    ({"max_body_bytes": 0}, "--max-body", "from 1000"),
    ({"max_header_bytes": 10}, "--max-header", "from 1000"),
    ({"tls_cert": Path("/none")}, "--tls-cert and --tls-key", "both"),
    ({"tls_key": Path("/none")}, "--tls-cert and --tls-key", "both"),
    ({"tls_ca": Path("/none")}, "--tls-ca: no file", "PEM"),
]


@pytest.mark.parametrize("changed, named, remedy", BAD, ids=range(len(BAD)))
def test_bad_setting_names_option_and_remedy(
    changed: dict[str, Any], named: str, remedy: str
) -> None:
    with pytest.raises(UsageError) as caught:
        check_settings(msgspec.structs.replace(GOOD, **changed))
    assert named in caught.value.message
    assert remedy in caught.value.remedy
    assert caught.value.exit_code == 2


@pytest.mark.parametrize("option", ["tls_ca", "tls_cert"])
def test_broken_pem_is_found_at_the_start(tmp_path: Path, option: str) -> None:
    path = tmp_path / "broken.pem"
    path.write_text("-----BEGIN CERTIFICATE-----\nAAAA\n-----END CERTIFICATE-----\n")
    changed: dict[str, Any] = {option: path}
    if option == "tls_cert":
        changed["tls_key"] = path
    with pytest.raises(UsageError) as caught:
        check_settings(msgspec.structs.replace(GOOD, **changed))
    assert "--tls-" in caught.value.message
    assert "PEM" in caught.value.remedy


@pytest.mark.parametrize(
    "text, address",
    [
        ("127.0.0.1:0", Address("127.0.0.1", 0)),
        ("10.1.2.3:65535", Address("10.1.2.3", 65_535)),
        ("[::1]:8001", Address("::1", 8001)),
    ],
)
def test_address_is_parsed(text: str, address: Address) -> None:
    assert parse_address(text, option="--listen") == address


@pytest.mark.parametrize(
    "text",
    ["", ":1", "host:1", "127.0.0.1", "1.2.3.4:x", "1.2.3.4:-1", "1.2.3.4:65536"],
)
def test_bad_address_names_its_option(text: str) -> None:
    with pytest.raises(UsageError) as caught:
        parse_address(text, option="--listen")
    assert "--listen" in caught.value.message
    assert "127.0.0.1:8001" in caught.value.remedy


def test_address_reads_as_in_a_url() -> None:
    assert str(Address("127.0.0.1", 1)) == "127.0.0.1:1"
    assert str(Address("::1", 1)) == "[::1]:1"


def test_addresses_are_parsed() -> None:
    assert parse_addresses("", option="--peers") == ()
    found = parse_addresses("127.0.0.1:1, 127.0.0.1:2,", option="--peers")
    assert found == (Address("127.0.0.1", 1), Address("127.0.0.1", 2))


def test_session_keys_are_parsed_in_order() -> None:
    keys = parse_session_keys("k2:0123456789abcdef, k1:fedcba9876543210")
    assert keys == (("k2", b"0123456789abcdef"), ("k1", b"fedcba9876543210"))


@pytest.mark.parametrize(
    "text, named",
    [
        ("", "key ''"),
        ("k1", "key 'k1'"),
        ("k1:short", "key 'k1'"),
        ("a.b:0123456789abcdef", "key 'a.b'"),
        ("k1:0123456789abcdef,", "key ''"),
        ("k1:0123456789abcdef,k1:fedcba9876543210", "the id 'k1'"),
    ],
)
def test_bad_session_keys_are_named(text: str, named: str) -> None:
    with pytest.raises(UsageError) as caught:
        parse_session_keys(text)
    assert "--session-keys" in caught.value.message
    assert named in caught.value.message
    assert caught.value.remedy
