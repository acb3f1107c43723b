"""The baseline: a random worker for each task, each with a bounded FIFO queue.

Serves the callers' protocol for submissions and keeps nothing: no keys, no leases, no health.
"""

from __future__ import annotations

import asyncio
import random
from collections import deque

import fire
import msgspec
from aiohttp import web

from zincwell.adapters import HttpWorkerTransport
from zincwell.exceptions import WorkerError
from zincwell.loops import new_event_loop
from zincwell.models import Answer, Outcome, TaskAnswer, decode_submission
from zincwell.ports import EventKind, Start, WorkerEvent

MAX_QUEUED = 1_000
SLOTS = 8
RETRY_MS = 1_000


class RandomWorker:
    """A worker with its own FIFO queue."""

    def __init__(self, *, url: str):
        self.queue: deque[tuple[Start, asyncio.Future[WorkerEvent]]] = deque()
        self._transport = HttpWorkerTransport(url=url, accept_silence_s=5.0, stream_silence_s=5.0)
        self._running = 0

    def push(self, start: Start) -> asyncio.Future[WorkerEvent]:
        """Queue a task."""
        future = asyncio.get_running_loop().create_future()
        self.queue.append((start, future))
        self._pump()
        return future

    def _pump(self) -> None:
        while self.queue and self._running < SLOTS:
            self._running += 1
            asyncio.ensure_future(self._run(*self.queue.popleft()))

    async def _run(self, start: Start, future: asyncio.Future[WorkerEvent]) -> None:
        event = WorkerEvent(kind=EventKind.FAILED, id=start.id, reason="worker_lost")
        try:
            lease = await self._transport.lease(entry="baseline", ttl_s=5.0)
            events = self._transport.start(entry="baseline", lease=lease.lease, tasks=[start])
            async for said in events:
                event = said
        except WorkerError:
            pass
        finally:
            self._running -= 1
            future.set_result(event)
            self._pump()


class Baseline:
    """Dispatcher without a plan."""

    def __init__(self, *, urls: list[str]):
        self._workers = [RandomWorker(url=url) for url in urls]
        self.app = web.Application(client_max_size=64 * 1024 * 1024)
        self.app.router.add_post("/v1/submissions", self._submit)

    async def _submit(self, request: web.Request) -> web.Response:
        submission = decode_submission(await request.read())
        queued = sum(len(worker.queue) for worker in self._workers)
        if queued + len(submission.tasks) > MAX_QUEUED:
            answer = Answer(outcome=Outcome.NOT_RUN, reason="queue_full", retry_after_ms=RETRY_MS)
            return _reply(answer, 503)
        starts = [
            Start(id=f"{submission.key}@{submission.tenant}#{n}.1", service="x", payload=t.payload)
            for n, t in enumerate(submission.tasks)
        ]
        futures = [random.choice(self._workers).push(start) for start in starts]
        events = await asyncio.gather(*futures)
        complete = all(event.kind is EventKind.COMPLETED for event in events)
        tasks = [
            TaskAnswer(
                index=index,
                outcome=_outcome(event),
                output=event.output,
            )
            for index, event in enumerate(events)
        ]
        outcome = Outcome.COMPLETED if complete else Outcome.FAILED
        return _reply(Answer(key=submission.key, outcome=outcome, tasks=tasks), 200)


def _outcome(event: WorkerEvent) -> Outcome:
    done = event.kind is EventKind.COMPLETED
    return Outcome.COMPLETED if done else Outcome.FAILED


def _reply(answer: Answer, status: int) -> web.Response:
    return web.Response(body=msgspec.json.encode(answer), status=status)


async def _serve(urls: list[str]) -> None:
    runner = web.AppRunner(Baseline(urls=urls).app, access_log=None)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    host, port = runner.addresses[0]
    print(f"event=open url=http://{host}:{port}", flush=True)
    await asyncio.Event().wait()


def main(*urls: str) -> None:
    """Serve until killed.

    Args:
        urls: base URLs of workers.
    """
    with asyncio.Runner(loop_factory=new_event_loop) as runner:
        runner.run(_serve(list(urls)))


if __name__ == "__main__":
    fire.Fire(main)
