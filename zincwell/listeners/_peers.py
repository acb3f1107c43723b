"""HTTP listener for peers: heartbeats, claims, attaches, handovers."""

from __future__ import annotations

import hmac
from typing import TYPE_CHECKING

from sanic import HTTPResponse, Request

from zincwell._decoding import make_decoder
from zincwell.adapters._peer import KEY_HEADER
from zincwell.core._messages import (
    AttachCall,
    CancelCall,
    ClaimBatch,
    HandoverCall,
    Heartbeat,
)
from zincwell.exceptions import MalformedJsonError
from zincwell.listeners._listener import Listener, reply
from zincwell.listeners._spill_routes import add_spill_routes
from zincwell.models import Answer
from zincwell.settings import ListenerSettings

if TYPE_CHECKING:
    from zincwell.entry import Entry

FORBIDDEN = 403
BAD_REQUEST = 400

_decode_heartbeat = make_decoder(Heartbeat)
_decode_claim_batch = make_decoder(ClaimBatch)
_decode_attach_call = make_decoder(AttachCall)
_decode_cancel_call = make_decoder(CancelCall)
_decode_handover_call = make_decoder(HandoverCall)


class PeersListener(Listener):
    """Serves messages from other entries.

    :param key: shared key that each request must carry; empty for none.
    """

    name = "peers"

    def __init__(self, *, entry: Entry, settings: ListenerSettings, key: str):
        self._key = key
        super().__init__(entry=entry, settings=settings)

    def _add_routes(self) -> None:
        add = self.app.add_route
        add(self._heartbeat, "/peer/heartbeat", methods=["POST"])
        add(self._state, "/peer/state", methods=["POST"])
        add(self._claims, "/peer/claims", methods=["POST"])
        add(self._attach, "/peer/attach", methods=["POST"])
        add(self._cancel, "/peer/cancel", methods=["POST"])
        add(self._handover, "/peer/handover", methods=["POST"])
        add_spill_routes(self.app, self.entry)
        self.app.on_request(self._check_key)
        self.app.error_handler.add(MalformedJsonError, _answer_malformed)

    async def _check_key(self, request: Request) -> HTTPResponse | None:
        given = request.headers.get(KEY_HEADER, "")
        if self._key and not hmac.compare_digest(given.encode(), self._key.encode()):
            return reply(Answer(reason="wrong_key", detail="not a peer"), status=FORBIDDEN)
        return None

    async def _heartbeat(self, request: Request) -> HTTPResponse:
        heartbeat = _decode_heartbeat(request.body)
        return reply(self.entry.heartbeats.receive(heartbeat))

    async def _state(self, _: Request) -> HTTPResponse:
        return reply(self.entry.heartbeats.state())

    async def _claims(self, request: Request) -> HTTPResponse:
        batch = _decode_claim_batch(request.body)
        claim = self.entry.home.claim
        return reply([claim(asker=batch.asker, claim=one) for one in batch.claims])

    async def _attach(self, request: Request) -> HTTPResponse:
        call = _decode_attach_call(request.body)
        return reply(await self.entry.submissions.attach(call))

    async def _cancel(self, request: Request) -> HTTPResponse:
        call = _decode_cancel_call(request.body)
        return reply(self.entry.submissions.cancel_for_peer(call))

    async def _handover(self, request: Request) -> HTTPResponse:
        call = _decode_handover_call(request.body)
        return reply(self.entry.hand_over(call))


def _answer_malformed(_: Request, error: MalformedJsonError) -> HTTPResponse:
    return reply(Answer(reason="bad_request", detail=str(error)), status=BAD_REQUEST)
