"""Run one entry as a daemon process."""

from __future__ import annotations

import asyncio
import gc
import signal
import sys

from zincwell.entry import Entry
from zincwell.logs import configure_logging
from zincwell.loops import new_event_loop
from zincwell.settings import Settings

GC_GENERATION_0_THRESHOLD = 50_000


def run_entry(settings: Settings) -> None:
    """Run an entry until SIGTERM or SIGINT, then drain it.

    :raises SettingsError: if a listener or a file named in the settings can't be opened.
    """
    configure_logging(settings.log_level)
    # With the default threshold the collector scans all queued tasks repeatedly under load.
    gc.set_threshold(GC_GENERATION_0_THRESHOLD)
    with asyncio.Runner(loop_factory=new_event_loop) as runner:
        runner.run(_serve(settings))


async def _serve(settings: Settings) -> None:
    entry = Entry(settings=settings)
    await entry.open()
    print_ready(entry)
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, entry.request_drain)
    await entry.drain_requested.wait()
    await entry.drain()


def print_ready(entry: Entry) -> None:
    """Print the addresses of the listeners in one line, for the parent process."""
    print(
        f"event=open vm={entry.settings.vm} callers={entry.callers.url} "
        f"peers={entry.peers_listener.url} operators={entry.operators.url}",
        file=sys.stdout,
        flush=True,
    )
