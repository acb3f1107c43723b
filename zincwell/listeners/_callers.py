"""HTTP listener for callers: submissions and single requests."""

from __future__ import annotations

import math

from result import Err
from sanic import HTTPResponse, Request

from zincwell.exceptions import BadRequestError
from zincwell.listeners._listener import Listener, reply
from zincwell.models import Answer, Outcome, decode_request, decode_submission

STATUS_BY_OUTCOME = {
    Outcome.COMPLETED: 200,
    Outcome.FAILED: 502,
    Outcome.NOT_RUN: 503,
    Outcome.OUTCOME_UNKNOWN: 504,
}
STATUS_BY_REASON = {
    "bad_request": 400,
    "created_in_future": 400,
    "key_reused": 422,
    "quota": 429,
    "unknown_service": 404,
    "unknown_tenant": 403,
    "fits_no_worker": 422,
}
ACCEPTED = 202
TIME_HEADER = "X-Zincwell-Time"
DOMAIN_HEADER = "X-Zincwell-Domain"


class CallersListener(Listener):
    """Serves submissions, requests and readiness to callers."""

    name = "callers"

    def _add_routes(self) -> None:
        self.app.add_route(self._submit, "/v1/submissions", methods=["POST"])
        self.app.add_route(self._poll, "/v1/submissions", methods=["GET"])
        self.app.add_route(self._cancel, "/v1/submissions", methods=["DELETE"])
        self.app.add_route(self._request, "/v1/requests", methods=["POST"])
        self.app.add_route(self._time, "/v1/time", methods=["GET"])
        self.app.add_route(self._ready, "/ready", methods=["GET"])

    async def _submit(self, request: Request) -> HTTPResponse:
        """Run a submission; with ``wait=0`` answer 202 as soon as it is accepted."""
        try:
            submission = decode_submission(request.body)
        except BadRequestError as error:
            return self._answer(Answer(reason="bad_request", detail=str(error)))
        submissions = self.entry.submissions
        if request.args.get("wait") == "0":
            found = await submissions.accept(submission)
            if isinstance(found, Err):
                return self._answer(found.err_value)
            return self._answer_pending(submission.key)
        return self._answer(await submissions.submit(submission))

    async def _poll(self, request: Request) -> HTTPResponse:
        try:
            query = _read_key_query(request)
        except BadRequestError as error:
            return self._answer(Answer(reason="bad_request", detail=str(error)))
        answer = await self.entry.submissions.poll(**query)
        return self._answer_pending(query["key"]) if answer is None else self._answer(answer)

    async def _cancel(self, request: Request) -> HTTPResponse:
        try:
            query = _read_key_query(request)
        except BadRequestError as error:
            return self._answer(Answer(reason="bad_request", detail=str(error)))
        answer = await self.entry.submissions.cancel(**query)
        return self._answer_pending(query["key"]) if answer is None else self._answer(answer)

    async def _request(self, request: Request) -> HTTPResponse:
        try:
            call = decode_request(request.body)
        except BadRequestError as error:
            return self._answer(Answer(reason="bad_request", detail=str(error)))
        return self._answer(await self.entry.submissions.request(call))

    async def _time(self, _: Request) -> HTTPResponse:
        """Return the entry's wall clock and domain, from which a client makes its keys."""
        return reply({"time": self.entry.clock.wall(), "domain": self.entry.settings.domain})

    async def _ready(self, _: Request) -> HTTPResponse:
        ready = self.entry.is_ready()
        return reply({"ready": ready}, status=200 if ready else 503)

    def _answer_pending(self, key: str) -> HTTPResponse:
        return reply(Answer(key=key, reason="running"), status=ACCEPTED)

    def _answer(self, answer: Answer) -> HTTPResponse:
        status = STATUS_BY_REASON.get(answer.reason) or STATUS_BY_OUTCOME.get(answer.outcome, 400)
        if answer.outcome is Outcome.FAILED:
            status = STATUS_BY_OUTCOME[Outcome.FAILED]
        headers = {
            DOMAIN_HEADER: self.entry.settings.domain,
            TIME_HEADER: f"{self.entry.clock.wall():.3f}",
        }
        if answer.retry_after_ms is not None:
            headers["Retry-After"] = str(math.ceil(answer.retry_after_ms / 1000))
        return reply(answer, status=status, headers=headers)


def _read_key_query(request: Request) -> dict:
    key, tenant = request.args.get("key"), request.args.get("tenant")
    if not key:
        raise BadRequestError("missing query parameter `key`")
    if not tenant:
        raise BadRequestError("missing query parameter `tenant`")
    try:
        created_at = float(request.args.get("created_at", "0"))
    except ValueError as error:
        raise BadRequestError("query parameter `created_at` is not a number") from error
    return {"key": key, "tenant": tenant, "created_at": created_at}
