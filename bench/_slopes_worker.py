"""One process that stands for many workers: ``python -m bench._slopes_worker --slots 8``."""

from __future__ import annotations

import asyncio

import fire
import msgspec
from aiohttp import web

from zincwell.adapters._worker import LeaseCall
from zincwell.loops import new_event_loop
from zincwell.ports import WorkerLease
from zincwell.standins import StandinWorker
from zincwell.standins._server import reply

LEASE = "0123456789abcdef0123456789abcdef"
FOR_EVER = float("inf")


class ManyWorkers(StandinWorker):
    """Answers for any number of workers; grants the same lease to all, is never full."""

    def __init__(self, *, slots: int) -> None:
        super().__init__(slots=slots)
        self._expiry_by_lease[LEASE] = FOR_EVER

    async def _lease(self, request: web.Request) -> web.Response:
        call = msgspec.json.decode(await request.read(), type=LeaseCall)
        self._count("lease")
        return reply(WorkerLease(lease=LEASE, ttl_s=call.ttl_s, slots=self.slots))

    def _refusal_reason(self, task_id: str, lease: str) -> str:
        reason = super()._refusal_reason(task_id, lease)
        return "" if reason == "full" else reason


async def _serve(slots: int) -> None:
    print(f"event=open url={await ManyWorkers(slots=slots).open()}", flush=True)
    await asyncio.Event().wait()


def main(slots: int = 8) -> None:
    """Serve until killed.

    Args:
        slots: of each of the workers.
    """
    with asyncio.Runner(loop_factory=new_event_loop) as runner:
        runner.run(_serve(slots))


if __name__ == "__main__":
    fire.Fire(main)
