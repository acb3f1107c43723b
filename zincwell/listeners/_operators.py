"""The listener for operators: health, metrics, status."""

from __future__ import annotations

from sanic import HTTPResponse, Request

from zincwell.listeners._listener import Listener, reply


class OperatorsListener(Listener):
    """Serves operators."""

    name = "operators"

    def _add_routes(self) -> None:
        self.app.add_route(self._live, "/live", methods=["GET"])
        self.app.add_route(self._ready, "/ready", methods=["GET"])
        self.app.add_route(self._metrics, "/metrics", methods=["GET"])
        self.app.add_route(self._status, "/status", methods=["GET"])

    async def _live(self, _: Request) -> HTTPResponse:
        return reply({"live": True})

    async def _ready(self, _: Request) -> HTTPResponse:
        ready = self.entry.is_ready()
        return reply({"ready": ready}, status=200 if ready else 503)

    async def _metrics(self, _: Request) -> HTTPResponse:
        return reply(self.entry.metrics.snapshot())

    async def _status(self, _: Request) -> HTTPResponse:
        return reply(self.entry.status())
