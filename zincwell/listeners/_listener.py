"""Base class of the listeners: a Sanic application served in the running event loop."""

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
KEEP_ALIVE_S = 30
READ_TIMEOUT_S = 15
JSON = "application/json"

log = logging.getLogger("zincwell.listener")
_app_numbers = itertools.count()


class Listener:
    """Base class of a listener.

    Serves Sanic through ``create_server`` in the running event loop, since ``app.run`` starts
    worker processes. The start-up banner is disabled because it starts a process, too.
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
        """Bind the port without serving it yet, and return the base URL.

        :raises SettingsError: if the address can't be bound.
        """
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
        """Start serving, binding the port first if needed."""
        if self._socket is None:
            self.bind()
        self._server = await self.app.create_server(
            sock=self._socket,
            ssl=self._make_tls_context(),
            return_asyncio_server=True,
            access_log=False,
        )
        await self._server.startup()
        await self._server.start_serving()

    async def close(self) -> None:
        """Stop accepting connections and wait until no request is in flight."""
        if self._server is None:
            return
        server, self._server = self._server, None
        server.close()
        await self._idle.wait()
        await server.wait_closed()
        for connection in list(server.connections):
            connection.close()

    def _add_routes(self) -> None:
        """Register the routes of the listener."""
        raise NotImplementedError

    def _make_app(self) -> Sanic:
        app = Sanic(f"zincwell-{self.name}-{next(_app_numbers)}", configure_logging=False)
        app.config.MOTD = False
        # TOUCHUP rewrites methods of the Sanic class and fails for a second application.
        app.config.TOUCHUP = False
        app.config.REQUEST_MAX_SIZE = self._settings.max_body_bytes
        app.config.REQUEST_MAX_HEADER_SIZE = self._settings.max_header_bytes
        app.config.RESPONSE_TIMEOUT = 2 * MAX_DEADLINE_MS // 1000
        app.config.REQUEST_TIMEOUT = READ_TIMEOUT_S
        app.config.KEEP_ALIVE_TIMEOUT = KEEP_ALIVE_S
        app.error_handler.add(SanicException, _answer_framework_error)
        app.error_handler.add(Exception, _answer_unhandled_error)
        app.on_request(self._begin_request)
        app.on_response(self._end_request)
        return app

    def _make_tls_context(self) -> ssl.SSLContext | None:
        if not self._settings.tls_cert:
            return None
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        try:
            context.load_cert_chain(self._settings.tls_cert, self._settings.tls_key or None)
        except (OSError, ssl.SSLError) as error:
            raise SettingsError(f"{self._settings.tls_cert}: {error}") from error
        return context

    async def _begin_request(self, request: Request) -> None:
        request.ctx.counted = True
        self._in_flight += 1
        self._idle.clear()

    async def _end_request(self, request: Request, response: HTTPResponse) -> None:
        if not getattr(request.ctx, "counted", False):
            return
        request.ctx.counted = False
        self._in_flight -= 1
        if self.entry.is_draining:
            response.headers["connection"] = "close"
        if self._in_flight == 0:
            self._idle.set()


def reply(value: object, *, status: int = 200, headers: dict | None = None) -> HTTPResponse:
    """Return a JSON response with an encoded message."""
    body = msgspec.json.encode(value)
    return HTTPResponse(body=body, status=status, headers=headers, content_type=JSON)


def _answer_framework_error(_: Request, error: SanicException) -> HTTPResponse:
    """Answer a request that Sanic rejects with an ``Answer``, as for all other errors."""
    answer = Answer(reason="bad_request", detail=str(error))
    return reply(answer, status=error.status_code)


def _answer_unhandled_error(request: Request, error: Exception) -> HTTPResponse:
    """Answer an unhandled exception; the outcome is unknown, since tasks may have run."""
    log.error("fault", exc_info=error, extra={"path": request.path})
    answer = Answer(outcome=Outcome.OUTCOME_UNKNOWN, reason="internal_error")
    return reply(answer, status=500)
