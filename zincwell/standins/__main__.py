"""Run one stand-in as a process: ``python -m zincwell.standins log|directory|worker``."""

from __future__ import annotations

import asyncio

import fire

from zincwell.loops import new_event_loop
from zincwell.standins import StandinDirectory, StandinLog, StandinServer, StandinWorker


async def _serve(standin: StandinServer, port: int) -> None:
    url = await standin.open(port=port)
    print(f"event=open url={url}", flush=True)
    await asyncio.Event().wait()


def _run(standin_type: type[StandinServer], port: int, **options: object) -> None:
    async def serve() -> None:
        await _serve(standin_type(**options), port)

    with asyncio.Runner(loop_factory=new_event_loop) as runner:
        runner.run(serve())


class Commands:
    """Stand-ins for the platform and the workers."""

    def log(self, port: int = 0) -> None:
        """Run a log service."""
        _run(StandinLog, port)

    def directory(self, port: int = 0) -> None:
        """Run a VM directory."""
        _run(StandinDirectory, port)

    def worker(self, port: int = 0, slots: int = 8) -> None:
        """Run a worker with a number of slots."""
        _run(StandinWorker, port, slots=slots)


if __name__ == "__main__":
    fire.Fire(Commands)
