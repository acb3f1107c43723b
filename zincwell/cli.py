"""The command line."""

from __future__ import annotations

import getpass
import json
import sys
import tomllib
from pathlib import Path
from typing import Any

import fire
import msgspec
import tomli_w

from zincwell.admin import AdminClient
from zincwell.core._configuration import make_patch
from zincwell.daemon import run_entry
from zincwell.demo import run_demo
from zincwell.document import parse_document
from zincwell.exceptions import DocumentError, ZincwellError
from zincwell.settings import load_settings

EXIT_ERROR = 1
EXIT_LOST_RACE = 3


class ConfigCommands:
    """Show, check and publish the configuration that all entries agree on."""

    def validate(self, document: str) -> None:
        """Check a document without any entry.

        Args:
            document: path of the document, in TOML.
        """
        parse_document(read_document(document))
        print(f"{document}: valid")

    def show(self, entry: str, token_file: str = "") -> None:
        """Print the document in force, in TOML.

        Args:
            entry: base URL of an entry's listener for operators.
            token_file: file with the operators' bearer token.
        """
        reply = AdminClient(url=entry, token_file=token_file).show_config()
        print(f"# version {reply.version}")
        print(tomli_w.dumps(reply.document), end="")

    def diff(self, document: str, entry: str, token_file: str = "") -> None:
        """Print what a document would change, as a merge patch.

        Args:
            document: path of the document, in TOML.
            entry: base URL of an entry's listener for operators.
            token_file: file with the operators' bearer token.
        """
        value = read_document(document)
        parse_document(value)
        reply = AdminClient(url=entry, token_file=token_file).show_config()
        print(f"# against version {reply.version}")
        print(json.dumps(make_patch(reply.document, value), indent=2, sort_keys=True))

    def publish(
        self, document: str, entry: str, base: int, note: str = "", token_file: str = ""
    ) -> None:
        """Publish a document; exit code 3 if another change came first.

        Args:
            document: path of the document, in TOML.
            entry: base URL of an entry's listener for operators.
            base: version that the document was made from, as `config show` printed it.
            note: what the change is for.
            token_file: file with the operators' bearer token.
        """
        value = read_document(document)
        parse_document(value)
        client = AdminClient(url=entry, token_file=token_file)
        reply = client.publish_config(value, base=base, by=getpass.getuser(), note=str(note))
        if reply.accepted:
            print(f"accepted: version {reply.version} is in force")
            return
        print(f"rejected: {reply.reason}", file=sys.stderr)
        for change in reply.since:
            patch = json.dumps(change.patch, sort_keys=True)
            print(f"  version {change.version} by {change.by}: {patch}", file=sys.stderr)
        sys.exit(EXIT_LOST_RACE)


class Commands:
    """Dispatcher for sub-second tasks."""

    def __init__(self) -> None:
        self.config = ConfigCommands()

    def entry(self, settings: str) -> None:
        """Run an entry until SIGTERM, then drain it.

        Args:
            settings: path of the settings file.
        """
        run_entry(load_settings(str(settings)))

    def demo(self) -> None:
        """Run a real job through an entry, a platform and workers, all in this process."""
        run_demo()

    def status(self, *entries: str, token_file: str = "") -> None:
        """Print the state of entries, one JSON object a line.

        Args:
            entries: base URLs of entries' listeners for operators.
            token_file: file with the operators' bearer token.
        """
        for entry in entries:
            status = AdminClient(url=entry, token_file=token_file).status()
            print(msgspec.json.encode(status).decode())

    def metrics(self, entry: str, token_file: str = "") -> None:
        """Print the metrics of an entry as JSON.

        Args:
            entry: base URL of its listener for operators.
            token_file: file with the operators' bearer token.
        """
        metrics = AdminClient(url=entry, token_file=token_file).metrics()
        print(json.dumps(metrics, indent=2))

    def drain(self, entry: str, token_file: str = "") -> None:
        """Tell an entry to finish what it has and end.

        Args:
            entry: base URL of its listener for operators.
            token_file: file with the operators' bearer token.
        """
        AdminClient(url=entry, token_file=token_file).drain()
        print("draining")


def read_document(path: str) -> dict[str, Any]:
    """Read a configuration document in TOML.

    :raises DocumentError: if the file can't be read or is not TOML.
    """
    try:
        return tomllib.loads(Path(str(path)).read_text(encoding="utf-8"))
    except OSError as error:
        raise DocumentError(f"{path}: {error.strerror}") from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise DocumentError(f"{path}: not TOML: {error}") from error


def main() -> None:
    """Run a command; an error that a user can mend is one line, without a traceback."""
    try:
        fire.Fire(Commands, name="zincwell")
    except ZincwellError as error:
        print(f"zincwell: {error}", file=sys.stderr)
        sys.exit(EXIT_ERROR)
