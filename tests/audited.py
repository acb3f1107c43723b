"""Run the command line and report each process that it starts on standard error."""

from __future__ import annotations

import sys

PROCESS_START_EVENTS = {
    "subprocess.Popen",
    "os.fork",
    "os.forkpty",
    "os.posix_spawn",
    "os.exec",
    "os.system",
}


def _report(event: str, _: tuple) -> None:
    if event in PROCESS_START_EVENTS:
        print(f"started_process={event}", file=sys.stderr, flush=True)


sys.addaudithook(_report)

from zincwell.cli import main  # noqa: E402

main()
