"""Base of the stand-ins: an aiohttp server on a given or a free port."""

from __future__ import annotations

import asyncio
from typing import Any

import msgspec
from aiohttp import web

MAX_BODY_BYTES = 64 * 1024 * 1024


class StandinServer:
    """Base of a stand-in: an HTTP server with switches that inject faults.

    ``POST /control`` with a JSON object sets the attributes named in ``switches``.
    """

    switches: frozenset[str] = frozenset()

    def __init__(self) -> None:
        self.app = web.Application(client_max_size=MAX_BODY_BYTES)
        self.app.router.add_post("/control", self._control)
        self.url = ""
        self._runner: web.AppRunner | None = None

    async def open(self, *, host: str = "127.0.0.1", port: int = 0) -> str:
        """Start to listen and return the base URL.

        :param port: TCP port; 0 lets the operating system choose.
        """
        self._runner = web.AppRunner(self.app, access_log=None, shutdown_timeout=0.1)
        await self._runner.setup()
        site = web.TCPSite(self._runner, host, port)
        await site.start()
        bound = self._runner.addresses[0]
        self.url = f"http://{bound[0]}:{bound[1]}"
        return self.url

    async def close(self) -> None:
        """Stop the server."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _control(self, request: web.Request) -> web.Response:
        values = msgspec.json.decode(await request.read(), type=dict[str, Any])
        unknown = set(values) - self.switches
        if unknown:
            return web.json_response({"error": f"no switch {sorted(unknown)}"}, status=400)
        for name, value in values.items():
            setattr(self, name, value)
        return web.json_response({})


def reply(value: object, *, status: int = 200) -> web.Response:
    """Return a JSON response with a message as its body."""
    body = msgspec.json.encode(value)
    return web.Response(body=body, status=status, content_type="application/json")


async def never_answer() -> web.Response:
    """Wait forever, as in an outage in which requests are dropped silently."""
    await asyncio.Event().wait()
    raise AssertionError("unreachable")
