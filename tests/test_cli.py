"""The command line: exit codes, output, and errors without a traceback."""

from __future__ import annotations

import asyncio
import copy
import json
import os
import signal
import sys
from collections.abc import AsyncIterator, Iterator
from dataclasses import dataclass
from pathlib import Path

import aiohttp
import pytest
import tomli_w
from testtools.assertions import assert_that
from testtools.matchers import Contains, ContainsAll, Equals, Not

from tests.lone import DOCUMENT, TOKEN, SingleEntry, open_single_entry

OK, FAILED, USAGE, CONFLICT, OUTCOME_UNKNOWN = 0, 1, 2, 3, 4


@dataclass(kw_only=True)
class Run:
    """Result of one run of the command line."""

    code: int
    out: str
    err: str


async def run(*words: object) -> Run:
    """Run the command line in a process of its own."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "zincwell",
        *map(str, words),
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
        env={**os.environ, "PAGER": "cat", "PYTHONPATH": str(Path(__file__).parents[1])},
    )
    out, err = await process.communicate()
    found = Run(code=process.returncode, out=out.decode(), err=err.decode())
    assert_that(found.out + found.err, Not(Contains("Traceback")))
    return found


@pytest.fixture
def token_file(tmp_path: Path) -> Path:
    path = tmp_path / "token.txt"
    path.write_text(TOKEN + "\n")
    return path


@pytest.fixture
async def lone(token_file: Path) -> AsyncIterator[SingleEntry]:
    async with open_single_entry(operator_token_file=str(token_file)) as lone:
        yield lone


@pytest.fixture
def document(tmp_path: Path) -> Path:
    """A document that changes the weight of the tenant ``school``."""
    return write(tmp_path / "document.toml", weight=3.0)


def write(path: Path, *, weight: float) -> Path:
    value = copy.deepcopy(DOCUMENT)
    value["tenants"]["school"]["weight"] = weight
    path.write_text(tomli_w.dumps(value))
    return path


def publish(lone: SingleEntry, token_file: Path, document: Path, *, base: int, **flags: object):
    words = [f"--{name}={value}" for name, value in flags.items()]
    target = [f"--entry={lone.url}", f"--base={base}", f"--token-file={token_file}"]
    return run("config", "publish", document, *target, *words)


async def test_help_names_the_commands():
    shown = await run("--help")
    words = ["config", "demo", "drain", "entry", "status", "metrics", "reference"]

    assert_that(shown.code, Equals(OK))
    assert_that(shown.out + shown.err, ContainsAll(words))


async def test_help_of_a_command_explains_its_flags():
    shown = await run("config", "publish", "--help")

    assert_that(shown.code, Equals(OK))
    assert_that(shown.out + shown.err, ContainsAll(["DOCUMENT", "--note", "exit code 3", "--id"]))


async def test_unknown_command_and_missing_argument_are_usage_errors():
    for words in (["launch"], ["config", "validate"]):
        assert_that((await run(*words)).code, Equals(USAGE))


async def test_command_with_a_mistyped_flag_does_nothing(lone: SingleEntry, token_file: Path):
    """A command with unknown arguments is refused without being run.

    Guards against `drain` with a mistyped flag draining the entry although it exits with a usage
    error: fire runs a command first and checks the remaining arguments afterwards.
    """
    flag = f"--token-file={token_file}"
    for words in ([flag, "--colour=red"], [flag, "all"]):
        refused = await run("drain", lone.url, *words)
        assert_that((refused.code, refused.out), Equals((USAGE, "")))

    assert_that(lone.entry.drain_requested.is_set(), Equals(False))


async def test_validate(tmp_path: Path, document: Path):
    bad = tmp_path / "bad.toml"
    bad.write_text(document.read_text().replace("1500", '"soon"') + "\n[service.x]\n")

    good = await run("config", "validate", document)
    refused = await run("config", "validate", bad)

    assert_that((good.code, good.out), Equals((OK, f"{document}: valid\n")))
    assert_that(refused.code, Equals(FAILED))
    expected = [str(bad), "pools.braille.queue_target_ms", "'soon'", "service: Unknown key"]
    assert_that(refused.err, ContainsAll(expected))


async def test_document_that_is_missing_or_not_toml(tmp_path: Path):
    broken = tmp_path / "broken.toml"
    broken.write_text("domains = [")

    for path in (tmp_path / "missing.toml", broken):
        refused = await run("config", "validate", path)
        assert_that(refused.code, Equals(FAILED))
        assert_that(refused.err, Contains(str(path)))


async def test_invalid_settings_are_reported_one_per_line(tmp_path: Path):
    path = tmp_path / "entry.toml"
    path.write_text('vm = "a"\n[callers]\nport = -1\n')

    refused = await run("entry", path)

    assert_that(refused.code, Equals(FAILED))
    lines = refused.err.splitlines()
    assert_that(len(lines), Equals(3))
    for line, key in zip(lines, ["domain", "platform", "callers.port"], strict=True):
        assert_that(line, Contains(f"zincwell: {path}: {key}: "))


@pytest.mark.parametrize("content", [None, b"", b"\xff\xfe"])
async def test_secret_that_is_missing_empty_or_binary(tmp_path: Path, content: bytes | None):
    secret, path = tmp_path / "token.txt", tmp_path / "entry.toml"
    if content is not None:
        secret.write_bytes(content)
    platform = {"log_url": "http://127.0.0.1:1", "directory_url": "http://127.0.0.1:1"}
    settings = {"vm": "a", "domain": "b", "platform": platform, "operator_token_file": str(secret)}
    path.write_text(tomli_w.dumps(settings))

    refused = await run("entry", path)

    assert_that(refused.code, Equals(FAILED))
    assert_that(refused.err, Contains(str(secret)))


async def test_show_then_diff(lone: SingleEntry, token_file: Path, document: Path):
    target = [f"--entry={lone.url}", f"--token-file={token_file}"]

    shown = await run("config", "show", *target)
    changed = await run("config", "diff", document, *target)

    assert_that(shown.out.splitlines()[0], Equals("# version 0"))
    assert_that(shown.out.partition("\n")[2], Equals(tomli_w.dumps(DOCUMENT)))
    patch = json.loads(changed.out.partition("\n")[2])
    assert_that(patch, Equals({"tenants": {"school": {"weight": 3.0}}}))


async def test_publish(lone: SingleEntry, token_file: Path, document: Path):
    done = await publish(lone, token_file, document, base=0, note="more for the school")

    verdict = lone.entry.configuration.changes_since(0)[0]
    assert_that((done.code, verdict.note), Equals((OK, "more for the school")))
    assert_that(done.out, Contains("version 1 is in force"))
    assert_that(lone.entry.configuration.value["tenants"]["school"]["weight"], Equals(3.0))


async def test_publish_loses_a_race(lone: SingleEntry, token_file: Path, document: Path):
    """A conflicting change is rejected with an exit code of its own and shows the earlier change.

    Guards against lost updates: two operators start from the same version, and the second one to
    publish overwrites the change of the first without seeing it.
    """
    await lone.publish({"tenants": {"radio": {"weight": 5.0}}}, change_id="theirs")

    lost = await publish(lone, token_file, document, base=0)

    assert_that(lost.code, Equals(CONFLICT))
    assert_that(lost.err, ContainsAll(["rejected", "version 1 by asha", '"radio"']))
    assert_that(lone.entry.configuration.version, Equals(1))


async def test_publish_repeated_with_its_id(lone: SingleEntry, token_file: Path, document: Path):
    """A change that is published twice with the same id takes effect once.

    Guards against a retry that reverts later changes: the answer to the first attempt is lost,
    another change follows, and the operator repeats the command.
    """
    first = await publish(lone, token_file, document, base=0, id="monday")
    await lone.publish({"tenants": {"school": {"weight": 9.0}}}, change_id="theirs")
    again = await publish(lone, token_file, document, base=0, id="monday")

    assert_that((first.code, again.code), Equals((OK, OK)))
    assert_that(lone.entry.configuration.value["tenants"]["school"]["weight"], Equals(9.0))


async def test_publish_while_the_log_is_down(
    lone: SingleEntry, token_file: Path, document: Path, monkeypatch: pytest.MonkeyPatch
):
    """A change whose outcome is unknown is reported as such, with the id to repeat it.

    The log service does not answer an append that may have taken effect. If this were reported
    as a failure, the operator would conclude that the change is not in force.
    """
    monkeypatch.setattr("zincwell.core._publishing.VERDICT_TIMEOUT_S", 0.2)
    monkeypatch.setattr("zincwell.adapters._platform.CALL_TIMEOUT_S", 0.5)
    lone.log.down = True
    unknown = await publish(lone, token_file, document, base=0, id="monday")
    lone.log.down = False
    monkeypatch.undo()
    again = await publish(lone, token_file, document, base=0, id="monday")

    assert_that((unknown.code, again.code), Equals((OUTCOME_UNKNOWN, OK)))
    assert_that(unknown.err + unknown.out, ContainsAll(["log_unavailable", "--id=monday"]))


async def test_invalid_document_is_not_sent(lone: SingleEntry, token_file: Path, document: Path):
    document.write_text(document.read_text().replace("braille", "nowhere", 1))

    refused = await publish(lone, token_file, document, base=0)

    assert_that(refused.code, Equals(FAILED))
    assert_that(refused.err, Contains("services.transcriber.pool: unknown pool 'nowhere'"))


async def test_entry_that_does_not_answer(token_file: Path, document: Path):
    silent = await run("config", "show", "--entry=http://127.0.0.1:1")
    nonsense = await run("config", "show", "--entry=nonsense")

    assert_that((silent.code, nonsense.code), Equals((FAILED, FAILED)))
    assert_that(silent.err, Contains("http://127.0.0.1:1"))
    assert_that(nonsense.err, Contains("nonsense"))


async def test_status_of_several_entries(lone: SingleEntry, token_file: Path):
    shown = await run("status", lone.url, "http://127.0.0.1:1", f"--token-file={token_file}")

    status = json.loads(shown.out)
    assert_that((status["vm"], status["config_version"]), Equals(("entry-0", 0)))
    assert_that(shown.code, Equals(FAILED))
    assert_that(shown.err, Contains("http://127.0.0.1:1"))


async def test_metrics(lone: SingleEntry, token_file: Path):
    shown = await run("metrics", lone.url, f"--token-file={token_file}")

    assert_that(sorted(json.loads(shown.out)), Equals(["counters", "histograms"]))


@pytest.mark.parametrize("given", ["", "wrong"])
async def test_wrong_or_missing_token(
    lone: SingleEntry, tmp_path: Path, document: Path, given: str
):
    """Every command reports a wrong token and has no effect.

    Guards against a client that decodes the body without checking the status: with a missing or
    outdated token, `drain` would print "draining" although the entry refused it.
    """
    flags = []
    if given:
        path = tmp_path / "wrong.txt"
        path.write_text(given)
        flags = [f"--token-file={path}"]
    target = [f"--entry={lone.url}", *flags]
    commands = [
        ["config", "show", *target],
        ["config", "diff", document, *target],
        ["config", "publish", document, "--base=0", *target],
        ["status", lone.url, *flags],
        ["metrics", lone.url, *flags],
        ["drain", lone.url, *flags],
    ]
    for words in commands:
        refused = await run(*words)
        assert_that((refused.code, refused.out), Equals((FAILED, "")))
        assert_that(refused.err, Contains("401 wrong_token"))
    assert_that(lone.entry.drain_requested.is_set(), Equals(False))
    assert_that(lone.entry.configuration.version, Equals(0))


async def test_drain(lone: SingleEntry, token_file: Path):
    shown = await run("drain", lone.url, f"--token-file={token_file}")

    assert_that((shown.code, shown.out), Equals((OK, "draining\n")))
    assert_that(lone.entry.drain_requested.is_set(), Equals(True))


async def test_health_needs_no_token_and_distinguishes_live_ready_and_draining(lone: SingleEntry):
    async with aiohttp.ClientSession() as session:
        found = [await get(session, lone.url + path) for path in ("/live", "/ready")]
        lone.entry.is_draining = True
        found += [await get(session, lone.url + path) for path in ("/live", "/ready")]
        refused = await get(session, lone.url + "/status")

    live = (200, {"live": True})
    ready, draining = {"ready": True, "draining": False}, {"ready": False, "draining": True}
    assert_that(found, Equals([live, (200, ready), live, (503, draining)]))
    assert_that(refused[0], Equals(401))


async def get(session: aiohttp.ClientSession, url: str) -> tuple[int, dict]:
    async with session.get(url) as response:
        return response.status, await response.json()


@pytest.fixture
def interruptible() -> Iterator[None]:
    """Let child processes receive SIGINT, which a shell ignores in background jobs."""
    inherited = signal.signal(signal.SIGINT, signal.default_int_handler)
    yield
    signal.signal(signal.SIGINT, inherited)


async def test_interrupt_ends_without_traceback(interruptible: None):
    """Ctrl-C ends a waiting command without output."""
    connected = asyncio.Event()
    server = await asyncio.start_server(lambda *_: connected.set(), "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "zincwell",
        "status",
        f"http://127.0.0.1:{port}",
        stderr=asyncio.subprocess.PIPE,
    )
    await connected.wait()
    process.send_signal(signal.SIGINT)
    _, err = await process.communicate()
    server.close()

    assert_that((process.returncode, err.decode()), Equals((130, "")))


@pytest.mark.parametrize("command", ["status", "drain"])
async def test_refused_connection_is_reported_in_one_sentence(command: str):
    # Guards against printing the raw aiohttp error, which shows a connection key of eight fields.
    found = await run(command, "http://127.0.0.1:1")
    assert_that(found.code, Equals(FAILED))
    assert_that(
        found.err.strip(),
        Equals(
            "zincwell: http://127.0.0.1:1: connection refused: nothing listens there;"
            " check host and port"
        ),
    )
