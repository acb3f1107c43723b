"""HTTP listener for operators: health, metrics, status, configuration, drain."""

from __future__ import annotations

import hmac
import ipaddress
from typing import TYPE_CHECKING, Any

from msgspec import Struct
from result import Err
from sanic import HTTPResponse, Request

from zincwell._decoding import make_decoder
from zincwell.core._configuration import Verdict, make_patch
from zincwell.core._publishing import Proposal
from zincwell.document import parse_document
from zincwell.exceptions import DocumentError, MalformedJsonError
from zincwell.listeners._console import ROOT, Console
from zincwell.listeners._listener import Listener, reply
from zincwell.models import Answer
from zincwell.settings import ListenerSettings

if TYPE_CHECKING:
    from zincwell.entry import Entry

FORBIDDEN = 403
UNAUTHENTICATED_PATHS = frozenset({"/live", "/ready"})
BAD_REQUEST = 400
UNAUTHORIZED = 401
CONFLICT = 409
TOO_EARLY = 425
UNAVAILABLE = 503
STATUS_BY_REASON = {"invalid_document": BAD_REQUEST, "entry_behind": TOO_EARLY}
BEARER = "Bearer "

_decode_document = make_decoder(dict[str, Any])
_decode_proposal = make_decoder(Proposal)


class ConfigReply(Struct, frozen=True, kw_only=True):
    """The configuration in force; the version is -1 if there is none."""

    version: int
    document: dict[str, Any]


class CheckReply(Struct, frozen=True, kw_only=True):
    """Result of checking a document.

    :param version: version in force.
    :param error: why the document is invalid, naming the field; empty if it is valid.
    :param patch: merge patch from the document in force to the checked one.
    """

    version: int
    error: str = ""
    patch: dict[str, Any] = {}


class PublishReply(Struct, frozen=True, kw_only=True):
    """Verdict on a proposal.

    :param version: version in force now.
    :param since: changes accepted after the proposal's base, if the proposal was rejected.
    """

    accepted: bool
    version: int
    reason: str = ""
    since: list[Verdict] = []


class OperatorsListener(Listener):
    """Serves operators.

    If a token is set, all paths but the health checks need it as a bearer token, or a session on
    the pages of the console.
    """

    name = "operators"

    def __init__(self, *, entry: Entry, settings: ListenerSettings):
        self._token = entry.operator_token
        self.console = Console(entry=entry, token=self._token, is_tls=bool(settings.tls_cert))
        super().__init__(entry=entry, settings=settings)

    def _add_routes(self) -> None:
        add = self.app.add_route
        add(self._live, "/live", methods=["GET"])
        add(self._ready, "/ready", methods=["GET"])
        add(self._metrics, "/metrics", methods=["GET"])
        add(self._status, "/status", methods=["GET"])
        add(self._show_config, "/v1/config", methods=["GET"])
        add(self._check_config, "/v1/config/check", methods=["POST"])
        add(self._publish_config, "/v1/config", methods=["POST"])
        add(self._drain, "/v1/drain", methods=["POST"])
        self.console.add_routes(add)
        self.app.on_request(self._authorize)

    async def _authorize(self, request: Request) -> HTTPResponse | None:
        if request.path in UNAUTHENTICATED_PATHS:
            return None
        if not self._token and _is_cross_site(request):
            answer = Answer(reason="cross_site", detail="not for pages of other sites")
            return reply(answer, status=FORBIDDEN)
        if not self._token or self._is_console(request):
            return None
        given = request.headers.get("authorization", "")
        if hmac.compare_digest(given.encode(), (BEARER + self._token).encode()):
            return None
        answer = Answer(reason="wrong_token", detail="a valid bearer token is needed")
        return reply(answer, status=UNAUTHORIZED)

    def _is_console(self, request: Request) -> bool:
        """Return whether the path belongs to the console, which checks sessions itself."""
        return request.path == ROOT or request.path.startswith(ROOT + "/")

    async def _live(self, _: Request) -> HTTPResponse:
        return reply({"live": True})

    async def _ready(self, _: Request) -> HTTPResponse:
        ready = self.entry.is_ready()
        body = {"ready": ready, "draining": self.entry.is_draining}
        return reply(body, status=200 if ready else UNAVAILABLE)

    async def _metrics(self, _: Request) -> HTTPResponse:
        return reply(await self.entry.metrics.snapshot())

    async def _status(self, _: Request) -> HTTPResponse:
        return reply(self.entry.status())

    async def _show_config(self, _: Request) -> HTTPResponse:
        configuration = self.entry.configuration
        return reply(ConfigReply(version=configuration.version, document=configuration.value))

    async def _check_config(self, request: Request) -> HTTPResponse:
        """Validate a document and return what it would change, without publishing it."""
        configuration = self.entry.configuration
        try:
            document = _decode_document(request.body)
            parse_document(document)
        except (MalformedJsonError, DocumentError) as error:
            body = CheckReply(version=configuration.version, error=str(error))
            return reply(body, status=BAD_REQUEST)
        patch = make_patch(configuration.value, document)
        return reply(CheckReply(version=configuration.version, patch=patch))

    async def _publish_config(self, request: Request) -> HTTPResponse:
        try:
            proposal = _decode_proposal(request.body)
        except MalformedJsonError as error:
            return reply(Answer(reason="bad_request", detail=str(error)), status=BAD_REQUEST)
        result = await self.entry.publisher.publish(proposal)
        if isinstance(result, Err):
            failure = result.err_value
            status = UNAVAILABLE if failure.is_open else STATUS_BY_REASON[failure.reason]
            return reply(Answer(reason=failure.reason, detail=failure.detail), status=status)
        return self._reply_verdict(proposal, result.ok_value)

    def _reply_verdict(self, proposal: Proposal, verdict: Verdict) -> HTTPResponse:
        configuration = self.entry.configuration
        since = [] if verdict.accepted else configuration.changes_since(proposal.base)
        body = PublishReply(
            accepted=verdict.accepted,
            version=configuration.version,
            reason=verdict.reason,
            since=since,
        )
        return reply(body, status=200 if verdict.accepted else CONFLICT)

    async def _drain(self, _: Request) -> HTTPResponse:
        """Start draining; the process exits once nothing is in flight."""
        self.entry.request_drain()
        return reply({"draining": True}, status=202)


def _is_cross_site(request: Request) -> bool:
    """Return whether a browser may have sent the request for a page of another site.

    Without a token, every local process is trusted, including a browser, so any page that it
    shows could publish a change. The Origin header gives away a cross-site request; a host that
    is neither ``localhost`` nor an IPv4 address gives away DNS rebinding.
    """
    host = request.headers.get("host", "")
    name = host.partition(":")[0]
    if name != "localhost":
        try:
            ipaddress.IPv4Address(name)
        except ValueError:
            return True
    origin = request.headers.get("origin")
    return origin is not None and origin != f"{request.scheme}://{host}"
