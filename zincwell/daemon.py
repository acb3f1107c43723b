"""Run one entry as a process."""

from __future__ import annotations

import asyncio
import gc
import signal
import sys

from zincwell.entry import Entry
from zincwell.logs import configure_logging
from zincwell.loops import new_event_loop
from zincwell.settings import Settings

GC_FIRST_GENERATION = 50_000


def run_entry(settings: Settings) -> None:
    """Run an entry until SIGTERM or SIGINT, then drain it.

    :raises SettingsError: if a listener or a file of the settings can't be opened.
    """
    configure_logging(settings.log_level)
    # The default makes the collector walk all queued tasks over and over under load.
    gc.set_threshold(GC_FIRST_GENERATION)
    with asyncio.Runner(loop_factory=new_event_loop) as runner:
        runner.run(_serve(settings))


async def _serve(settings: Settings) -> None:
    entry = Entry(settings=settings)
    await entry.open()
    print_ready(entry)
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, entry.ask_to_drain)
    await entry.drain_asked.wait()
    await entry.drain()


def print_ready(entry: Entry) -> None:
    """Print the addresses in one line, for whoever started the process."""
    print(
        f"event=open vm={entry.settings.vm} callers={entry.callers.url} "
        f"peers={entry.peers_listener.url} operators={entry.operators.url}",
        file=sys.stdout,
        flush=True,
    )
