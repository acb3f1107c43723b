"""What the listeners share: a sanic application served inside our own event loop."""

from __future__ import annotations

import asyncio
import itertools
import logging
import socket
import ssl
from typing import TYPE_CHECKING

import msgspec
from sanic import HTTPResponse, Request, Sanic
from sanic.exceptions import SanicException

from zincwell.exceptions import SettingsError
from zincwell.models import MAX_DEADLINE_MS, Answer, Outcome
from zincwell.settings import ListenerSettings

if TYPE_CHECKING:
    from zincwell.entry import Entry

BACKLOG = 1_024
IDLE_CONNECTION_S = 30
READ_TIMEOUT_S = 15
JSON = "application/json"

log = logging.getLogger("zincwell.listener")
_numbers = itertools.count()


class Listener:
    """Base of a listener.

    Sanic is served through ``create_server`` in our loop and never through ``app.run``, which
    starts worker processes; its banner, which starts one too, is off.
    """

    name = ""

    def __init__(self, *, entry: Entry, settings: ListenerSettings):
        self.entry = entry
        self.url = ""
        self._settings = settings
        self._in_flight = 0
        self._idle = asyncio.Event()
        self._idle.set()
        self._socket: socket.socket | None = None
        self._server = None
        self.app = self._make_app()
        self._add_routes()

    def bind(self) -> str:
        """Take the port, without serving it yet, and return the base URL."""
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            self._socket.bind((self._settings.host, self._settings.port))
        except OSError as error:
            self._socket.close()
            where = f"{self._settings.host}:{self._settings.port}"
            raise SettingsError(
                f"{self.name}: can't listen on {where}: {error.strerror}"
            ) from error
        self._socket.listen(BACKLOG)
        self._socket.setblocking(False)
        host, port = self._socket.getsockname()
        scheme = "https" if self._settings.tls_cert else "http"
        self.url = f"{scheme}://{host}:{port}"
        return self.url

    async def open(self) -> None:
        """Start serving."""
        if self._socket is None:
            self.bind()
        self._server = await self.app.create_server(
            sock=self._socket,
            ssl=self._tls(),
            return_asyncio_server=True,
            access_log=False,
        )
        await self._server.startup()
        await self._server.start_serving()

    async def close(self) -> None:
        """Stop accepting connections, and return once no request is in flight."""
        if self._server is None:
            return
        server, self._server = self._server, None
        server.close()
        await self._idle.wait()
        await server.wait_closed()
        for connection in list(server.connections):
            connection.close()

    def _add_routes(self) -> None:
        """Add the routes of the listener."""
        raise NotImplementedError

    def _make_app(self) -> Sanic:
        app = Sanic(f"zincwell-{self.name}-{next(_numbers)}", configure_logging=False)
        app.config.MOTD = False
        # It rewrites methods of the class for one application and breaks on the second.
        app.config.TOUCHUP = False
        app.config.REQUEST_MAX_SIZE = self._settings.max_body_bytes
        app.config.REQUEST_MAX_HEADER_SIZE = self._settings.max_header_bytes
        app.config.RESPONSE_TIMEOUT = 2 * MAX_DEADLINE_MS // 1000
        app.config.REQUEST_TIMEOUT = READ_TIMEOUT_S
        app.config.KEEP_ALIVE_TIMEOUT = IDLE_CONNECTION_S
        app.error_handler.add(SanicException, _answer_error)
        app.error_handler.add(Exception, _answer_fault)
        app.on_request(self._enter)
        app.on_response(self._leave)
        return app

    def _tls(self) -> ssl.SSLContext | None:
        if not self._settings.tls_cert:
            return None
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        try:
            context.load_cert_chain(self._settings.tls_cert, self._settings.tls_key or None)
        except (OSError, ssl.SSLError) as error:
            raise SettingsError(f"{self._settings.tls_cert}: {error}") from error
        return context

    async def _enter(self, request: Request) -> None:
        request.ctx.counted = True
        self._in_flight += 1
        self._idle.clear()

    async def _leave(self, request: Request, response: HTTPResponse) -> None:
        if not getattr(request.ctx, "counted", False):
            return
        request.ctx.counted = False
        self._in_flight -= 1
        if self.entry.is_draining:
            response.headers["connection"] = "close"
        if self._in_flight == 0:
            self._idle.set()


def reply(value: object, *, status: int = 200, headers: dict | None = None) -> HTTPResponse:
    """Make a JSON answer of a message."""
    body = msgspec.json.encode(value)
    return HTTPResponse(body=body, status=status, headers=headers, content_type=JSON)


def _answer_error(_: Request, error: SanicException) -> HTTPResponse:
    """Answer what sanic itself refuses in the documented shape."""
    answer = Answer(reason="bad_request", detail=str(error))
    return reply(answer, status=error.status_code)


def _answer_fault(request: Request, error: Exception) -> HTTPResponse:
    """Answer a fault of our own: what has run by then, nobody can say."""
    log.error("fault", exc_info=error, extra={"path": request.path})
    answer = Answer(outcome=Outcome.OUTCOME_UNKNOWN, reason="internal_error")
    return reply(answer, status=500)
