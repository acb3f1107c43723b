"""HTTP client for workers: starts and stops runs, renews leases."""

from __future__ import annotations

import msgspec

from zincwell.dispatch._types import TaskId, WorkerInfo
from zincwell.dispatch.ports import (
    HoldReply,
    StartOrder,
    StartReply,
    StartStatus,
    WorkerCallError,
    WorkerClient,
    WorkerFencedError,
    WorkerReplacedError,
)
from zincwell.exceptions import DocumentError, MalformedJsonError
from zincwell.platform._http import HttpCallError, HttpClient
from zincwell.platform._wire import (
    WorkerReplyBody,
    decode_hold,
    decode_worker_reply,
    format_task,
)

FENCED_REASON = "fence"
STATUS_BY_REASON = {
    "old": StartStatus.SUPERSEDED,
    "late": StartStatus.TOO_LATE,
    "room": StartStatus.NO_ROOM,
}
NO_WAIT_S = 0.0


class HttpWorkerClient(WorkerClient):
    """Calls workers over HTTP."""

    def __init__(self, *, http: HttpClient) -> None:
        self._http = http

    async def start(self, worker: WorkerInfo, order: StartOrder, *, timeout_s: float) -> StartReply:
        """Ask a worker to start a run."""
        body = {
            "task": format_task(order.task),
            "runId": order.run,
            "spec": order.spec,
            "deadlineMs": order.deadline_ms,
            "fence": order.fence,
        }
        status, reply = await self._call(worker, "/v1/run-start", body, timeout_s)
        if status == 200:
            return StartReply(status=StartStatus.STARTED, clock_ms=reply.clock_ms)
        if status in (429, 503):
            return StartReply(status=StartStatus.UNHEALTHY, clock_ms=reply.clock_ms)
        if status == 409 and reply.reason in STATUS_BY_REASON:
            start_status = STATUS_BY_REASON[reply.reason]
            return StartReply(status=start_status, clock_ms=reply.clock_ms)
        if status == 400:
            return StartReply(status=StartStatus.INVALID, clock_ms=reply.clock_ms)
        raise WorkerCallError(f"run-start: status {status} {reply.reason}")

    async def stop(
        self, worker: WorkerInfo, *, task: TaskId, run: int, fence: int, timeout_s: float
    ) -> None:
        """Stop a run."""
        body = {"task": format_task(task), "runId": run, "fence": fence}
        status, reply = await self._call(worker, "/v1/run-stop", body, timeout_s)
        if status != 200:
            raise WorkerCallError(f"run-stop: status {status} {reply.reason}")

    async def hold(
        self,
        worker: WorkerInfo,
        *,
        fence: int,
        acknowledged: int,
        deadline_ms: int | None,
        wait_s: float,
        timeout_s: float,
    ) -> HoldReply:
        """Renew the lease of all runs on a worker; return its active runs and the ended ones.

        :param acknowledged: number of the last ended run that this entry has processed.
        :param deadline_ms: new end of the lease on the worker's clock; None leaves it unchanged.
        :param wait_s: how long the worker may wait for a run to end before it responds.
        """
        body = {"fence": fence, "lastSeen": acknowledged}
        if deadline_ms is not None:
            body["deadlineMs"] = deadline_ms
        if wait_s > NO_WAIT_S:
            body["waitMs"] = int(wait_s * 1000)
        status, reply = await self._call(worker, "/v1/hold", body, timeout_s)
        if status != 200 or reply.clock_ms is None:
            raise WorkerCallError(f"hold: status {status} {reply.reason}")
        try:
            return decode_hold(reply)
        except DocumentError as error:
            raise WorkerCallError(f"hold: {error}") from error

    async def _call(
        self, worker: WorkerInfo, path: str, body: dict, timeout_s: float
    ) -> tuple[int, WorkerReplyBody]:
        headers = {"Content-Type": "application/json", "Expect-Instance": worker.id}
        try:
            response = await self._http.call(
                "POST",
                worker.address,
                path,
                body=msgspec.json.encode(body),
                headers=headers,
                timeout_s=timeout_s,
            )
        except HttpCallError as error:
            raise WorkerCallError(f"{path}: {error}") from error
        if response.status == 421:
            raise WorkerReplacedError(worker.id)
        reply = _decode(path, response.body)
        if response.status == 409 and reply.reason == FENCED_REASON:
            raise WorkerFencedError(worker.id)
        return response.status, reply


def _decode(path: str, raw: bytes) -> WorkerReplyBody:
    if not raw:
        return WorkerReplyBody()
    try:
        return decode_worker_reply(raw)
    except MalformedJsonError as error:
        raise WorkerCallError(f"{path}: malformed response: {error}") from error
