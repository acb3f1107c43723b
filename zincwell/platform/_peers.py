"""Messages between entries, by HTTP with JSON."""

from __future__ import annotations

from typing import TypeVar

import msgspec
from aiohttp import web

from zincwell.dispatch import Node
from zincwell.dispatch._messages import Envelope, Receipt
from zincwell.dispatch._types import Configuration
from zincwell.dispatch.ports import PeerCallError, PeerClient
from zincwell.platform._http import HttpCaller, HttpCallError

ENVELOPES_PATH = "/v1/envelopes"
CONFIGURATION_PATH = "/v1/configuration"
JSON_HEADERS = {"Content-Type": "application/json"}

T = TypeVar("T")


class HttpPeerClient(PeerClient):
    """Delivers envelopes to other entries."""

    def __init__(self, *, http: HttpCaller) -> None:
        self._http = http

    async def deliver(self, address: str, envelope: Envelope, *, timeout_s: float) -> Receipt:
        """Deliver an envelope."""
        data = msgspec.json.encode(envelope)
        raw = await self._call("POST", address, ENVELOPES_PATH, timeout_s, data=data)
        return _decode(raw, Receipt)

    async def fetch_configuration(self, address: str, *, timeout_s: float) -> Configuration:
        """Return the document that another entry has in force."""
        raw = await self._call("GET", address, CONFIGURATION_PATH, timeout_s)
        return _decode(raw, Configuration)

    async def _call(
        self, method: str, address: str, path: str, timeout_s: float, *, data: bytes = b""
    ) -> bytes:
        try:
            answer = await self._http.call(
                method, address, path, body=data, headers=JSON_HEADERS, timeout_s=timeout_s
            )
        except HttpCallError as error:
            raise PeerCallError(f"{path}: {error}") from error
        if answer.status != 200:
            raise PeerCallError(f"{path}: status {answer.status}")
        return answer.body


def _decode(raw: bytes, kind: type[T]) -> T:
    try:
        return msgspec.json.decode(raw, type=kind)
    except msgspec.MsgspecError as error:
        raise PeerCallError(f"malformed answer: {error}") from error


class PeerListener:
    """Takes envelopes of other entries, and gives them copies of the configuration."""

    def __init__(self, *, node: Node) -> None:
        self._node = node
        self._decoder = msgspec.json.Decoder(Envelope)

    async def handle(self, request: web.BaseRequest) -> web.Response:
        """Answer one call."""
        if request.method == "POST" and request.path == ENVELOPES_PATH:
            return self._take(await request.read())
        if request.method == "GET" and request.path == CONFIGURATION_PATH:
            return self._copy_configuration()
        return web.Response(status=404)

    def _take(self, raw: bytes) -> web.Response:
        try:
            envelope = self._decoder.decode(raw)
        except msgspec.MsgspecError as error:
            return web.json_response({"error": str(error)}, status=400)
        receipt = self._node.receive(envelope)
        return web.Response(body=msgspec.json.encode(receipt), content_type="application/json")

    def _copy_configuration(self) -> web.Response:
        encoded = self._node.configurations.encode()
        if not encoded:
            return web.json_response({"error": "no configuration yet"}, status=404)
        return web.Response(body=encoded, content_type="application/json")
