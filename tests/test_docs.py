"""The pages are true to the code: examples, routes, status codes, paths and links."""

from __future__ import annotations

import ast
import importlib
import re
import tomllib
import types
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgspec
import pytest
from msgspec import Raw, Struct
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, MatchesSetwise

from zincwell.adapters import SystemClock
from zincwell.document import parse_document
from zincwell.listeners import CallersListener, OperatorsListener, PeersListener
from zincwell.listeners._callers import STATUS_BY_OUTCOME, STATUS_BY_REASON
from zincwell.models import Request, Submission
from zincwell.ports import EventKind, WorkerEvent
from zincwell.settings import ListenerSettings, parse_settings

ROOT = Path(__file__).parents[1]
PROTOCOLS = (ROOT / "docs" / "protocols.md").read_text()
PAGES = [ROOT / "README.md", *sorted((ROOT / "docs").rglob("*.md"))]

EXAMPLE = re.compile(r"(?:<!-- message: (.+?) -->\n)?```(json|ndjson)\n(.*?)```", re.DOTALL)
HEADING = re.compile(r"^### (GET|POST|PUT|DELETE) (/\S+)$", re.MULTILINE)
CALL_IN_TABLE = re.compile(r"^\| `(GET|POST) (/\S+)` \|", re.MULTILINE)
CURL_BODY = re.compile(r"(/v1/\w+) -d '(\{.*?\})'\n", re.DOTALL)
OUTCOME_ROW = re.compile(r"^\| `(\w+)` \| (\d{3}) \| [A-Z]", re.MULTILINE)
REASON_ROW = re.compile(r"^\| `(\w+)` \| (\d{3}) \| (?:none|`)", re.MULTILINE)
#: Pages that land by other changes; to be emptied once they are there.
LANDING: set[str] = set()
TOML = re.compile(r"```toml\n(.*?)```", re.DOTALL)
MAKES_REASONS = {
    "_owners",
    "_callers",
    "_submissions",
    "_admission",
    "_home",
    "_ownership",
    "_dispatch",
}
TAKES_REASON = {"_not_ready", "unknown", "not_run", "give_up", "_end"}
LINK = re.compile(r"\]\(([^)#]+)(?:#[^)]*)?\)")
PATH = re.compile(r"`((?:zincwell|tests|bench|docs)/[\w./*-]+)`")


def examples() -> list[Any]:
    """All JSON examples of the page, each with the name of its message."""
    found = []
    for name, kind, text in EXAMPLE.findall(PROTOCOLS):
        lines = text.splitlines() if kind == "ndjson" else [text]
        found += [pytest.param(name, line, id=f"{name}-{n}") for n, line in enumerate(lines)]
    return found


@pytest.mark.parametrize(("name", "text"), examples())
def test_example_is_the_message_that_it_says(name: str, text: str):
    """Each example decodes as its message, and has no field that the message lacks."""
    value = msgspec.json.decode(text)
    decoded = msgspec.json.decode(text, type=message_type(name))

    assert_that(lacking(value, plain(decoded)), Equals([]))


def test_page_has_examples():
    assert_that(len(examples()), GreaterThan(30))


def test_stated_length_is_that_of_the_output():
    for param in examples():
        event = msgspec.json.decode(param.values[1])
        if isinstance(event, dict) and event.get("kind") == EventKind.COMPLETED:
            output = bytes(msgspec.json.decode(param.values[1], type=WorkerEvent).output)
            assert_that(event["length"], Equals(len(output)))


def test_every_route_is_on_the_page():
    """Routes of the listeners and those of the page are the same, no more and no fewer."""
    on_page = set(HEADING.findall(PROTOCOLS)) | set(CALL_IN_TABLE.findall(PROTOCOLS))
    workers = {("POST", "/leases"), ("POST", "/starts"), ("POST", "/watches"), ("POST", "/stops")}

    assert_that(on_page, MatchesSetwise(*(Equals(route) for route in routes() | workers)))


def test_status_codes_are_those_of_the_code():
    by_outcome = {name: int(status) for name, status in OUTCOME_ROW.findall(PROTOCOLS)}
    by_reason = {name: int(status) for name, status in REASON_ROW.findall(PROTOCOLS)}

    assert_that(by_outcome, Equals({str(one): code for one, code in STATUS_BY_OUTCOME.items()}))
    assert_that(by_reason, Equals(STATUS_BY_REASON))


def test_every_kind_of_event_is_on_the_page():
    missing = [kind for kind in EventKind if f"| `{kind}` |" not in PROTOCOLS]

    assert_that(missing, Equals([]))


def test_bodies_of_curl_calls_are_valid():
    """What the page tells a reader to send is a valid message."""
    bodies = CURL_BODY.findall(PROTOCOLS)

    assert_that([path for path, _ in bodies], Equals(["/v1/submissions", "/v1/requests"]))
    for (_, body), message in zip(bodies, (Submission, Request), strict=True):
        msgspec.json.decode(body.replace("'$(date +%s.%N)'", "1796238500.785"), type=message)


def test_every_reason_that_a_caller_may_see_is_on_the_page():
    missing = [reason for reason in sorted(reasons_in_code()) if f"`{reason}`" not in PROTOCOLS]

    assert_that(missing, Equals([]))


def test_files_to_start_by_hand_are_valid():
    """The settings and the document that the developers' page shows are valid."""
    settings, document = TOML.findall((ROOT / "docs" / "developers.md").read_text())

    assert_that(parse_settings(settings, source="page").vm, Equals("entry-0"))
    assert_that(parse_document(tomllib.loads(document)).domains, Equals(["kariakoo"]))


@pytest.mark.parametrize("page", PAGES, ids=lambda page: str(page.relative_to(ROOT)))
def test_links_and_paths_lead_somewhere(page: Path):
    """Every relative link and every path of ours that a page names is there."""
    text = page.read_text()
    links = [link for link in LINK.findall(text) if "://" not in link]
    links = [link for link in links if Path(link).name not in LANDING]
    missing = [link for link in links if not (page.parent / link).exists()]
    missing += [path for path in PATH.findall(text) if not list(ROOT.glob(path.rstrip("/")))]

    assert_that(missing, Equals([]))


def message_type(name: str) -> Any:
    """Return the type that a marker names: ``module:Class``, in ``list[...]`` or ``dict``."""
    if name == "dict":
        return dict
    if name.startswith("list["):
        return list[message_type(name.removeprefix("list[").removesuffix("]"))]
    module, _, attribute = name.partition(":")
    return getattr(importlib.import_module(module), attribute)


def plain(value: Any) -> Any:
    """Return a message as JSON values, with every field that it has."""
    if isinstance(value, Raw):
        return msgspec.json.decode(value)
    if isinstance(value, Struct):
        fields = msgspec.structs.fields(value)
        named = {field.encode_name: plain(getattr(value, field.name)) for field in fields}
        tag = value.__struct_config__
        return named if tag.tag is None else {tag.tag_field: tag.tag, **named}
    if isinstance(value, dict):
        return {key: plain(one) for key, one in value.items()}
    if isinstance(value, list):
        return [plain(one) for one in value]
    return value


def lacking(example: Any, message: Any, path: str = "$") -> list[str]:
    """Return where an example says what its message does not."""
    if isinstance(example, dict) and isinstance(message, dict):
        unknown = [f"{path}.{key}" for key in example if key not in message]
        known = (key for key in example if key in message)
        return unknown + [
            one for key in known for one in lacking(example[key], message[key], f"{path}.{key}")
        ]
    if isinstance(example, list) and isinstance(message, list):
        pairs = zip(example, message, strict=True)
        return [one for n, (a, b) in enumerate(pairs) for one in lacking(a, b, f"{path}[{n}]")]
    return [] if example == message else [path]


def reasons_in_code() -> set[str]:
    """Return the reasons that stand in the code which makes callers' answers."""
    files = [
        ROOT / "zincwell" / "listeners" / "_callers.py",
        *(ROOT / "zincwell/core").glob("*.py"),
    ]
    files = [file for file in files if file.stem in MAKES_REASONS]
    calls = (
        node
        for file in files
        for node in ast.walk(ast.parse(file.read_text()))
        if isinstance(node, ast.Call)
    )
    return {reason for call in calls for reason in _reasons_of(call)}


def _reasons_of(call: ast.Call) -> Iterator[str]:
    name = getattr(call.func, "id", "") or getattr(call.func, "attr", "")
    values = [keyword.value for keyword in call.keywords if keyword.arg == "reason"]
    values += call.args if name in TAKES_REASON else []
    for value in values:
        if isinstance(value, ast.Constant) and isinstance(value.value, str) and value.value:
            yield value.value


def routes() -> set[tuple[str, str]]:
    """Return the calls that the listeners serve."""
    settings = ListenerSettings()
    entry: Any = types.SimpleNamespace(operator_token="", clock=SystemClock())
    listeners = [
        CallersListener(entry=entry, settings=settings),
        PeersListener(entry=entry, settings=settings, key=""),
        OperatorsListener(entry=entry, settings=settings),
    ]
    return set(_routes_of(listeners))


def _routes_of(listeners: list) -> Iterator[tuple[str, str]]:
    for listener in listeners:
        for route in listener.app.router.routes:
            for method in route.methods:
                yield method, f"/{route.path.lstrip('/')}"
