"""The command line."""

from __future__ import annotations

import sys

import fire

from zincwell.daemon import run_entry
from zincwell.demo import run_demo
from zincwell.exceptions import ZincwellError
from zincwell.settings import load_settings

EXIT_ERROR = 1


class Commands:
    """Dispatcher for sub-second tasks."""

    def entry(self, settings: str) -> None:
        """Run an entry until SIGTERM, then drain it.

        :param settings: path of the settings file.
        """
        run_entry(load_settings(str(settings)))

    def demo(self) -> None:
        """Run a real job through an entry, a platform and workers, all in this process."""
        run_demo()


def main() -> None:
    """Run a command; an error that a user can mend is one line, without a traceback."""
    try:
        fire.Fire(Commands, name="zincwell")
    except ZincwellError as error:
        print(f"zincwell: {error}", file=sys.stderr)
        sys.exit(EXIT_ERROR)
