"""The ``zincwell`` command line."""

from __future__ import annotations

import functools
import getpass
import json
import sys
import tomllib
import uuid
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import fire
import msgspec
import tomli_w

from zincwell.admin import AdminClient
from zincwell.core._configuration import make_patch
from zincwell.core._publishing import Proposal
from zincwell.daemon import run_entry
from zincwell.demo import run_demo
from zincwell.document import find_document_faults
from zincwell.exceptions import AdminError, DocumentError, OpenChangeError, ZincwellError
from zincwell.explain import explain_job
from zincwell.listeners import PublishReply
from zincwell.reference import make_reference
from zincwell.settings import load_settings

EXIT_ERROR = 1
EXIT_CONFLICT = 3
EXIT_OUTCOME_UNKNOWN = 4
EXIT_INTERRUPTED = 130


@dataclass(frozen=True, kw_only=True)
class DeferredCommand:
    """A command with parsed arguments that has not been run yet."""

    action: Callable[[], None]


def command(method: Callable[..., None]) -> Callable[..., DeferredCommand]:
    """Defer a command until fire has accepted the whole command line.

    fire calls a command with the arguments that it knows and reports unknown ones afterwards.
    Without this, a command with a mistyped flag would publish or drain before it is refused.
    """

    @functools.wraps(method)
    def put_off(*args: Any, **options: Any) -> DeferredCommand:
        return DeferredCommand(action=functools.partial(method, *args, **options))

    return put_off


class ConfigCommands:
    """Show, validate and publish the configuration shared by all entries."""

    @command
    def validate(self, document: str) -> None:
        """Validate a document locally, without contacting an entry.

        Args:
            document: path of the TOML document.
        """
        read_valid_document(document)
        print(f"{document}: valid")

    @command
    def show(self, entry: str, *, token_file: str = "", ca_file: str = "") -> None:
        """Print the configuration in force as TOML.

        Args:
            entry: base URL of an entry's operators listener.
            token_file: file with the bearer token for operators.
            ca_file: PEM file with the CA certificates that sign the listener's certificate.
        """
        reply = _client(entry, token_file, ca_file).show_config()
        print(f"# version {reply.version}")
        print(tomli_w.dumps(reply.document), end="")

    @command
    def diff(self, document: str, entry: str, *, token_file: str = "", ca_file: str = "") -> None:
        """Print the changes that a document would make, as a JSON merge patch.

        Args:
            document: path of the TOML document.
            entry: base URL of an entry's operators listener.
            token_file: file with the bearer token for operators.
            ca_file: PEM file with the CA certificates that sign the listener's certificate.
        """
        value = read_valid_document(document)
        reply = _client(entry, token_file, ca_file).show_config()
        print(f"# against version {reply.version}")
        print(json.dumps(make_patch(reply.document, value), indent=2, sort_keys=True))

    @command
    def publish(
        self,
        document: str,
        entry: str,
        base: int,
        *,
        note: str = "",
        token_file: str = "",
        ca_file: str = "",
        id: str = "",
    ) -> None:
        """Publish a document; exit code 3 on a conflicting change, 4 if the outcome is unknown.

        After exit code 4 the change may be in force or may still take effect. Publish again with
        the printed --id: the change takes effect once, however often it is sent.

        Args:
            document: path of the TOML document.
            entry: base URL of an entry's operators listener.
            base: version that the document is based on, as printed by `config show`.
            note: reason for the change.
            token_file: file with the bearer token for operators.
            ca_file: PEM file with the CA certificates that sign the listener's certificate.
            id: id of the change, to repeat one whose outcome is unknown; generated unless given.
        """
        proposal = Proposal(
            id=str(id) or uuid.uuid4().hex,
            base=base,
            document=read_valid_document(document),
            by=name_operator(),
            note=str(note),
        )
        try:
            reply = _client(entry, token_file, ca_file).publish_config(proposal)
        except OpenChangeError as error:
            print(f"zincwell: {error}", file=sys.stderr)
            print(
                f"outcome unknown: the change may have taken effect; repeat with --id={proposal.id}"
            )
            sys.exit(EXIT_OUTCOME_UNKNOWN)
        if not reply.accepted:
            _print_rejection(reply)
            sys.exit(EXIT_CONFLICT)
        print(f"accepted as {proposal.id}: version {reply.version} is in force")


class Commands:
    """Dispatcher for sub-second tasks."""

    def __init__(self) -> None:
        self.config = ConfigCommands()

    @command
    def entry(self, settings: str) -> None:
        """Run an entry until SIGTERM or SIGINT, then drain it.

        Args:
            settings: path of the settings file.
        """
        run_entry(load_settings(str(settings)))

    @command
    def demo(self) -> None:
        """Run a job through an entry, a platform and workers, all in this process."""
        run_demo()

    @command
    def status(self, *entries: str, token_file: str = "", ca_file: str = "") -> None:
        """Print the state of entries, one JSON object per line; exit code 1 if any call fails.

        Args:
            entries: base URLs of the entries' operators listeners.
            token_file: file with the bearer token for operators.
            ca_file: PEM file with the CA certificates that sign the listener's certificate.
        """
        failed = False
        for entry in entries:
            try:
                status = _client(entry, token_file, ca_file).status()
            except AdminError as error:
                print(f"zincwell: {error}", file=sys.stderr)
                failed = True
                continue
            print(msgspec.json.encode(status).decode())
        if failed:
            sys.exit(EXIT_ERROR)

    @command
    def metrics(self, entry: str, *, token_file: str = "", ca_file: str = "") -> None:
        """Print the metrics of an entry as JSON.

        Args:
            entry: base URL of its operators listener.
            token_file: file with the bearer token for operators.
            ca_file: PEM file with the CA certificates that sign the listener's certificate.
        """
        metrics = _client(entry, token_file, ca_file).metrics()
        print(json.dumps(metrics, indent=2))

    @command
    def reference(self) -> None:
        """Print the reference of the settings and the configuration document, in Markdown."""
        print(make_reference(), end="")

    @command
    def explain(self, job: str, *logs: str) -> None:
        """Print the timeline of a job from the logs of the entries.

        Args:
            job: id of the job.
            logs: log files of all entries, in any order.
        """
        for line in explain_job(str(job), [Path(str(log)) for log in logs]):
            print(line)

    @command
    def drain(self, entry: str, *, token_file: str = "", ca_file: str = "") -> None:
        """Tell an entry to finish its work in progress and exit.

        Args:
            entry: base URL of its operators listener.
            token_file: file with the bearer token for operators.
            ca_file: PEM file with the CA certificates that sign the listener's certificate.
        """
        _client(entry, token_file, ca_file).drain()
        print("draining")


def _client(entry: str, token_file: str, ca_file: str) -> AdminClient:
    return AdminClient(url=str(entry), token_file=str(token_file), ca_file=str(ca_file))


def _print_rejection(reply: PublishReply) -> None:
    print(f"rejected: {reply.reason}", file=sys.stderr)
    for change in reply.since:
        patch = json.dumps(change.patch, sort_keys=True)
        print(f"  version {change.version} by {change.by}: {patch}", file=sys.stderr)


def name_operator() -> str:
    """Return the user who runs the command, recorded as the author of a change."""
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return "unknown"


def read_valid_document(path: str) -> dict[str, Any]:
    """Read and validate a configuration document.

    :raises DocumentError: with the file and each invalid field.
    """
    value = read_document(path)
    faults = [f"{path}: {fault.key}: {fault.message}" for fault in find_document_faults(value)]
    if faults:
        raise DocumentError("\n".join(faults))
    return value


def read_document(path: str) -> dict[str, Any]:
    """Read a configuration document from a TOML file.

    :raises DocumentError: if the file can't be read or is not TOML.
    """
    try:
        return tomllib.loads(Path(str(path)).read_text(encoding="utf-8"))
    except OSError as error:
        raise DocumentError(f"{path}: {error.strerror}") from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise DocumentError(f"{path}: not TOML: {error}") from error


def main(arguments: list[str] | None = None) -> None:
    """Run a command; an expected error is printed as one line, without a traceback.

    :param arguments: command-line arguments; those of this process unless given.
    """
    try:
        result = fire.Fire(
            Commands(), command=arguments, name="zincwell", serialize=_suppress_output
        )
        if isinstance(result, DeferredCommand):
            result.action()
    except ZincwellError as error:
        for line in str(error).splitlines():
            print(f"zincwell: {line}", file=sys.stderr)
        sys.exit(EXIT_ERROR)
    except KeyboardInterrupt:
        sys.exit(EXIT_INTERRUPTED)


def _suppress_output(value: Any) -> Any:
    """Keep fire from printing a deferred command."""
    return None if isinstance(value, DeferredCommand) else value
