"""HTTP transport between entries: message envelopes and configuration copies, as JSON."""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeVar

import msgspec

from zincwell._decoding import make_decoder
from zincwell.dispatch import Node
from zincwell.dispatch._messages import Envelope, Receipt
from zincwell.dispatch._types import Configuration
from zincwell.dispatch.ports import PeerCallError, PeerClient
from zincwell.exceptions import MalformedJsonError
from zincwell.platform._http import HttpCallError, HttpClient
from zincwell.platform._server import HttpRequest, HttpResponse

ENVELOPES_PATH = "/v1/envelopes"
CONFIGURATION_PATH = "/v1/configuration"
# Ten times the size of an envelope with 5,000 jobs.
MAX_ENVELOPE_BYTES = 64 << 20
JSON_HEADERS = {"Content-Type": "application/json"}

T = TypeVar("T")

_decode_envelope = make_decoder(Envelope)
_decode_receipt = make_decoder(Receipt)
_decode_configuration = make_decoder(Configuration)


class HttpPeerClient(PeerClient):
    """Sends envelopes and configuration requests to other entries."""

    def __init__(self, *, http: HttpClient) -> None:
        self._http = http

    async def deliver(self, address: str, envelope: Envelope, *, timeout_s: float) -> Receipt:
        """Send an envelope and return the receipt.

        :raises PeerCallError: if there is no valid response within the time.
        """
        data = msgspec.json.encode(envelope)
        raw = await self._call("POST", address, ENVELOPES_PATH, timeout_s, data=data)
        return _decode(raw, _decode_receipt)

    async def fetch_configuration(self, address: str, *, timeout_s: float) -> Configuration:
        """Return the configuration in force at another entry.

        :raises PeerCallError: if it has none or there is no valid response within the time.
        """
        raw = await self._call("GET", address, CONFIGURATION_PATH, timeout_s)
        return _decode(raw, _decode_configuration)

    async def _call(
        self, method: str, address: str, path: str, timeout_s: float, *, data: bytes = b""
    ) -> bytes:
        try:
            response = await self._http.call(
                method, address, path, body=data, headers=JSON_HEADERS, timeout_s=timeout_s
            )
        except HttpCallError as error:
            raise PeerCallError(f"{path}: {error}") from error
        if response.status != 200:
            raise PeerCallError(f"{path}: status {response.status}")
        return response.body


def _decode(raw: bytes, decode: Callable[[bytes], T]) -> T:
    try:
        return decode(raw)
    except MalformedJsonError as error:
        raise PeerCallError(f"malformed response: {error}") from error


class PeerListener:
    """Receives envelopes from other entries and serves the configuration to them."""

    def __init__(self, *, node: Node) -> None:
        self._node = node

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Respond to one request."""
        if request.method == "POST" and request.path == ENVELOPES_PATH:
            return self._receive_envelope(request.body)
        if request.method == "GET" and request.path == CONFIGURATION_PATH:
            return self._send_configuration()
        return HttpResponse(status=404)

    def _receive_envelope(self, raw: bytes) -> HttpResponse:
        try:
            envelope = _decode_envelope(raw)
        except MalformedJsonError as error:
            return HttpResponse(status=400, body=msgspec.json.encode({"error": str(error)}))
        receipt = self._node.receive(envelope)
        return HttpResponse(body=msgspec.json.encode(receipt))

    def _send_configuration(self) -> HttpResponse:
        encoded = self._node.configurations.encode()
        if not encoded:
            body = msgspec.json.encode({"error": "no configuration yet"})
            return HttpResponse(status=404, body=body)
        return HttpResponse(body=encoded)
