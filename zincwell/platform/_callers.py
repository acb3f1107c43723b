"""HTTP handlers for callers, for the load balancer's readiness check and for metrics."""

from __future__ import annotations

import asyncio
import logging
import math

import msgspec

from zincwell.dispatch import Node
from zincwell.dispatch._types import Configuration, Outcome, Route, Verdict
from zincwell.exceptions import BadRequestError
from zincwell.platform._server import HttpRequest, HttpResponse
from zincwell.platform._wire import UnsupportedJobError, decode_job, decode_timeout

log = logging.getLogger("zincwell.http")

READY_PATH = "/v1/ready"
METRICS_PATH = "/metrics"
TIMEOUT_HEADER = "timeout-ms"
STATUS_BY_VERDICT = {
    Verdict.SUCCEEDED: 200,
    Verdict.FAILED: 200,
    Verdict.CANCELLED: 200,
    # 503 promises that the job never runs; a job that may have run is answered with 504.
    Verdict.REFUSED: 503,
    Verdict.UNKNOWN: 504,
}
UNCONFIGURED_RETRY_AFTER_S = 1
UNCONFIGURED_MAX_BODY_BYTES = 1 << 20
# Short, since another entry accepts the job at once.
SHUTDOWN_RETRY_AFTER_S = 1


class CallerListener:
    """Accepts jobs from callers and responds with their outcomes."""

    def __init__(self, *, node: Node) -> None:
        self._node = node

    def body_limit(self) -> int:
        """Return the current size limit of a caller's request body, in bytes."""
        configuration = self._node.configuration
        return configuration.max_body_bytes if configuration else UNCONFIGURED_MAX_BODY_BYTES

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Respond to one request."""
        arrived_at = asyncio.get_running_loop().time()
        configuration = await self._wait_for_configuration(request)
        if configuration is None:
            return _reject(request, 503, "no configuration yet", UNCONFIGURED_RETRY_AFTER_S)
        host = request.headers.get("host", "").partition(":")[0]
        route = configuration.find_route(host=host, path=request.path)
        if route is None:
            return _reject(request, 404, "no such queue")
        job_id = request.path[len(route.prefix) :]
        if request.method == "POST":
            if self._node.refusing:
                response = _reject(request, 503, "shutting down", SHUTDOWN_RETRY_AFTER_S)
                response.close = True
                return response
            return await self._submit(request, route, job_id, arrived_at=arrived_at)
        if request.method == "GET":
            return self._get_status(route, job_id)
        if request.method == "DELETE":
            cancelled = self._node.pending_jobs.cancel(job_id)
            return (
                _make_response(200, {"state": "cancelled"})
                if cancelled
                else _make_error(410, "no such job")
            )
        return _make_error(405, "method not allowed")

    async def _wait_for_configuration(self, request: HttpRequest) -> Configuration | None:
        """Return the configuration in effect, or None if there is none while the caller waits."""
        timeout_ms = decode_timeout(request.headers.get(TIMEOUT_HEADER, ""))
        try:
            async with asyncio.timeout(timeout_ms / 1000 if timeout_ms else None):
                return await self._node.wait_for_configuration()
        except TimeoutError:
            return None

    async def _submit(
        self, request: HttpRequest, route: Route, job_id: str, *, arrived_at: float
    ) -> HttpResponse:
        try:
            timeout_ms = decode_timeout(request.headers.get(TIMEOUT_HEADER, ""))
            job = decode_job(request.body, job_id=job_id, route=route, timeout_ms=timeout_ms)
        except UnsupportedJobError as error:
            return _reject(request, 501, str(error))
        except BadRequestError as error:
            return _reject(request, 400, str(error))
        outcome = await self._node.pending_jobs.run(
            job, arrived_at=arrived_at, sent_since=request.sent_since
        )
        response = _make_outcome_response(outcome)
        response.close = self._node.leaving
        return response

    def _get_status(self, route: Route, job_id: str) -> HttpResponse:
        if not job_id:
            return _make_response(200, {"pending": self._node.pending_by_route.get(route.name, 0)})
        if self._node.pending_jobs.is_pending(job_id):
            return _make_response(200, {"state": "running"})
        return _make_error(410, "no such job")


class ReadyListener:
    """Answers the load balancer's readiness check."""

    def __init__(self, *, node: Node) -> None:
        self._node = node
        self._was_ready = False

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Respond to one request."""
        if request.path != READY_PATH:
            return _make_error(404, "no such path")
        ready = self._node.is_ready()
        if ready != self._was_ready:
            log.info("ready value=%s", ready)
            self._was_ready = ready
        return HttpResponse(status=200 if ready else 503)


class MetricsListener:
    """Serves the metrics of this entry in the text format."""

    def __init__(self, *, node: Node) -> None:
        self._node = node

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Respond to one request."""
        if request.path != METRICS_PATH:
            return _make_error(404, "no such path")
        text = self._node.render_metrics()
        return HttpResponse(body=text.encode(), content_type="text/plain; charset=utf-8")


def _make_outcome_response(outcome: Outcome) -> HttpResponse:
    status = STATUS_BY_VERDICT[outcome.verdict]
    if status == 200:
        return _make_response(200, {"state": outcome.verdict.value})
    return _make_error(status, outcome.reason, retry_after_s=outcome.retry_after_s)


def _make_response(status: int, body: dict) -> HttpResponse:
    return HttpResponse(status=status, body=msgspec.json.encode(body))


def _reject(
    request: HttpRequest, status: int, reason: str, retry_after_s: float = 0
) -> HttpResponse:
    """Reject a request and log it with the job id, which is the last part of its path."""
    job_id = request.path.rpartition("/")[2]
    log.info('refused job=%s status=%d reason="%s"', job_id, status, reason)
    return _make_error(status, reason, retry_after_s=retry_after_s)


def _make_error(status: int, reason: str, *, retry_after_s: float = 0) -> HttpResponse:
    body: dict[str, object] = {"error": reason}
    if retry_after_s:
        body["retryAfterMs"] = int(retry_after_s * 1000)
    response = _make_response(status, body)
    if retry_after_s:
        response.headers["Retry-After"] = str(math.ceil(retry_after_s))
    return response
