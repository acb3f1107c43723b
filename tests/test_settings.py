"""Validation of settings and the configuration document, and its error messages."""

from __future__ import annotations

import copy
from pathlib import Path

import pytest
import tomli_w
from testtools.assertions import assert_that
from testtools.matchers import Contains, ContainsAll, Equals, MatchesException, Raises

from tests.lone import DOCUMENT
from zincwell.document import find_document_faults, parse_document
from zincwell.exceptions import DocumentError, SettingsError
from zincwell.reference import make_reference
from zincwell.settings import Settings, load_settings, parse_settings

SMALLEST = {
    "vm": "entry-0",
    "domain": "kariakoo",
    "platform": {"log_url": "http://127.0.0.1:1", "directory_url": "http://127.0.0.1:2"},
}
PAGE = Path(__file__).parents[1] / "docs" / "settings.md"


def parse(**changes) -> Settings:
    return parse_settings(tomli_w.dumps({**SMALLEST, **changes}), source="entry.toml")


def refusal(**changes) -> str:
    with pytest.raises(SettingsError) as caught:
        parse(**changes)
    return str(caught.value)


def document_refusal(**changes) -> str:
    with pytest.raises(DocumentError) as caught:
        parse_document({**copy.deepcopy(DOCUMENT), **changes})
    return str(caught.value)


def test_smallest_settings_take_the_defaults():
    assert_that(parse().callers.host, Equals("127.0.0.1"))
    assert_that(parse().log_level, Equals("info"))


@pytest.mark.parametrize(
    ("changes", "expected"),
    [
        ({"vn": "x"}, ["vn", "Unknown key", "vm, domain, platform"]),
        ({"vm": ""}, ["vm", "length >= 1"]),
        ({"vm": 7}, ["vm", "Expected `str`", "got 7"]),
        ({"platform": {"log_url": "x"}}, ["platform.directory_url", "Missing"]),
        ({"platform": "x"}, ["platform", "Expected a table"]),
        ({"callers": {"port": 70_000}}, ["callers.port", "<= 65535", "got 70000"]),
        ({"callers": {"prot": 1}}, ["callers.prot", "Unknown key", "host, port"]),
        ({"callers": {"host": "localhost"}}, ["callers.host", "not an IPv4 address"]),
        ({"callers": {"tls_key": "k.pem"}}, ["callers.tls_key", "callers.tls_cert"]),
        ({"timing": {"heartbeat_s": 0}}, ["timing.heartbeat_s", "> 0"]),
        ({"timing": {"peer_silence_s": 2.0}}, ["timing.peer_silence_s", "timing.seat_lease_s"]),
        ({"timing": {"heartbeat_s": 0.9}}, ["timing.seat_lease_s", "timing.heartbeat_s"]),
        ({"memory": {"max_queued_tasks": 0}}, ["memory.max_queued_tasks", ">= 1"]),
        ({"log_level": "loud"}, ["log_level", "debug, info, warning, error", "'loud'"]),
    ],
)
def test_bad_setting_is_named_with_file_and_what_is_allowed(changes: dict, expected: list[str]):
    assert_that(refusal(**changes), ContainsAll(["entry.toml", *expected]))


def test_all_invalid_settings_are_reported_at_once():
    lines = refusal(vm="", callers={"port": -1}, zone="x").splitlines()

    assert_that(len(lines), Equals(3))


def test_settings_that_are_not_toml():
    refused = MatchesException(SettingsError, "entry.toml: not TOML.*line 1")

    assert_that(lambda: parse_settings("vm = ]\n", source="entry.toml"), Raises(refused))


def test_settings_file_that_is_missing_or_binary(tmp_path: Path):
    missing, binary = tmp_path / "missing.toml", tmp_path / "binary.toml"
    binary.write_bytes(b"\xff\xfe\x00")

    for path in (missing, binary):
        refused = MatchesException(SettingsError, str(path))
        assert_that(lambda path=path: load_settings(path), Raises(refused))


@pytest.mark.parametrize(
    ("listener", "secret"), [("operators", "operator_token_file"), ("peers", "peer_key_file")]
)
def test_listener_open_to_the_network_needs_a_secret(listener: str, secret: str):
    """Guards against a listener that is reachable from the network and has no secret.

    If the listener has a public address and the setting of its secret file is missing, requests
    are not authenticated, and anyone on the network could publish a configuration or claim
    callers' keys.
    """
    for host in ("0.0.0.0", "10.0.0.7"):
        message = refusal(**{listener: {"host": host}})
        assert_that(message, ContainsAll(["entry.toml", f"{listener}.host", host, secret]))

    parse(**{listener: {"host": "0.0.0.0"}, secret: "secret.txt"})
    parse(**{listener: {"host": "127.0.0.9"}})


def test_callers_listener_may_be_open_to_the_network():
    assert_that(parse(callers={"host": "0.0.0.0"}).callers.host, Equals("0.0.0.0"))


@pytest.mark.parametrize(
    ("changes", "expected"),
    [
        ({"service": {}}, ["$.service`", "Unknown key", "services"]),
        ({"format": 2}, ["$.format`", "<= 1"]),
        ({"domains": []}, ["$.domains`", "length >= 1"]),
        ({"domains": ["a", "a"]}, ["$.domains`", "twice"]),
        ({"services": {"x": {"pool": "nowhere"}}}, ["$.services.x.pool`", "unknown pool"]),
        ({"services": {"x": {}}}, ["$.services.x.pool`", "Missing"]),
        ({"services": {"x y": {"pool": "braille"}}}, ["$.services.x y`", "name"]),
        ({"pools": {"braille": {"ordering": "lifo"}}}, ["$.pools.braille.ordering`", "fifo, fair"]),
        ({"pools": {"braille": {"eject_share": 2}}}, ["$.pools.braille.eject_share`", "<= 1"]),
        ({"pools": {"braille": {"gards": True}}}, ["$.pools.braille.gards`", "guards"]),
        ({"tenants": {"school": {"weight": 0}}}, ["$.tenants.school.weight`", "> 0"]),
        ({"tenants": {"school": 3}}, ["$.tenants.school`", "Expected a table"]),
        ({"urgencies": {"urgent": {"max_run_ms": -1}}}, ["$.urgencies.urgent.max_run_ms`", ">= 0"]),
        ({"retries": {"max_attempts": 11}}, ["$.retries.max_attempts`", "<= 10"]),
    ],
)
def test_bad_document_names_the_field_and_what_is_allowed(changes: dict, expected: list[str]):
    assert_that(document_refusal(**changes), ContainsAll(expected))


def test_all_faults_of_a_document_are_reported_at_once():
    faults = list(
        find_document_faults(
            {
                **DOCUMENT,
                "services": {"x": {"pool": "nowhere", "run_ms": "soon"}},
                "tenants": {"school": {"weight": -1}},
            }
        )
    )

    keys = sorted(fault.key for fault in faults)
    expected = ["services.x.pool", "services.x.run_ms", "tenants.school.weight"]
    assert_that(keys, Equals(expected))


@pytest.mark.parametrize("value", [None, 3, "x", [], {"services": 3, "pools": [], "domains": 1}])
def test_value_that_is_not_a_document_is_refused(value: object):
    assert_that(lambda: parse_document(value), Raises(MatchesException(DocumentError)))


def test_settings_page_matches_the_generated_reference():
    assert_that(PAGE.read_text(encoding="utf-8"), Equals(make_reference()))


def test_every_field_has_a_meaning():
    assert_that(make_reference(), Contains("| `heartbeat_s` |"))
    bare = [line for line in make_reference().splitlines() if line.endswith("|  |")]
    assert_that(bare, Equals([]))
