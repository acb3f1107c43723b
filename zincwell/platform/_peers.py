"""Messages between entries, by HTTP with JSON."""

from __future__ import annotations

from typing import TypeVar

import msgspec

from zincwell.dispatch import Node
from zincwell.dispatch._messages import Envelope, Receipt
from zincwell.dispatch._types import Configuration
from zincwell.dispatch.ports import PeerCallError, PeerClient
from zincwell.platform._http import HttpCaller, HttpCallError
from zincwell.platform._server import HttpRequest, HttpResponse

ENVELOPES_PATH = "/v1/envelopes"
CONFIGURATION_PATH = "/v1/configuration"
# Most bytes of an envelope: one with 5,000 jobs has a tenth of it.
ENVELOPE_BYTES = 64 << 20
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

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer one call."""
        if request.method == "POST" and request.path == ENVELOPES_PATH:
            return self._take(request.body)
        if request.method == "GET" and request.path == CONFIGURATION_PATH:
            return self._copy_configuration()
        return HttpResponse(status=404)

    def _take(self, raw: bytes) -> HttpResponse:
        try:
            envelope = self._decoder.decode(raw)
        except msgspec.MsgspecError as error:
            return HttpResponse(status=400, body=msgspec.json.encode({"error": str(error)}))
        receipt = self._node.receive(envelope)
        return HttpResponse(body=msgspec.json.encode(receipt))

    def _copy_configuration(self) -> HttpResponse:
        encoded = self._node.configurations.encode()
        if not encoded:
            body = msgspec.json.encode({"error": "no configuration yet"})
            return HttpResponse(status=404, body=body)
        return HttpResponse(body=encoded)
