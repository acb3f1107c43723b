"""HTTP client of an entry's operators listener, used by the command line."""

from __future__ import annotations

import asyncio
from typing import Any

import aiohttp
import msgspec

from zincwell._call_errors import describe_call_error
from zincwell._decoding import make_decoder
from zincwell.adapters import make_client_tls
from zincwell.core._publishing import Proposal
from zincwell.exceptions import AdminError, MalformedJsonError, OpenChangeError
from zincwell.listeners import CheckReply, ConfigReply, PublishReply
from zincwell.models import Answer
from zincwell.settings import read_secret
from zincwell.status import Status

TIMEOUT_S = 15.0
HTTP_OK = 200
HTTP_ACCEPTED = 202
HTTP_BAD_REQUEST = 400
HTTP_CONFLICT = 409
HTTP_SERVER_ERROR = 500
NETWORK_ERRORS = (aiohttp.ClientError, asyncio.TimeoutError, OSError)

_decode_answer = make_decoder(Answer)


class AdminClient:
    """Blocking client of one entry.

    :param url: base URL of the entry's operators listener.
    :param token_file: file with the bearer token; empty for none.
    :param ca_file: PEM file with the CA certificates that sign the listener's certificate; empty
        for those of the operating system.
    """

    def __init__(self, *, url: str, token_file: str = "", ca_file: str = ""):
        self._url = url.rstrip("/")
        self._tls = make_client_tls(ca_file)
        self._token = read_secret(token_file)

    def status(self) -> Status:
        """Return the entry's state.

        :raises AdminError: if the entry does not answer.
        """
        return self._call("GET", "/status", None, Status)

    def metrics(self) -> dict[str, Any]:
        """Return the entry's metrics."""
        return self._call("GET", "/metrics", None, dict[str, Any])

    def show_config(self) -> ConfigReply:
        """Return the configuration in force."""
        return self._call("GET", "/v1/config", None, ConfigReply)

    def check_config(self, document: dict[str, Any]) -> CheckReply:
        """Validate a document and return the changes that it would make."""
        path = "/v1/config/check"
        return self._call("POST", path, document, CheckReply, (HTTP_OK, HTTP_BAD_REQUEST))

    def publish_config(self, proposal: Proposal) -> PublishReply:
        """Publish a document and return whether it was accepted.

        :raises OpenChangeError: if the change may or may not have taken effect.
        :raises AdminError: if the entry refused the request.
        """
        path = "/v1/config"
        try:
            status, body = asyncio.run(self._send("POST", path, proposal))
        except AdminError as error:
            raise OpenChangeError(str(error)) from error
        if status in (HTTP_OK, HTTP_CONFLICT):
            return self._decode(path, status, body, PublishReply)
        message = f"{self._url}{path}: {status} {_detail(body)}"
        raise OpenChangeError(message) if status >= HTTP_SERVER_ERROR else AdminError(message)

    def drain(self) -> None:
        """Tell the entry to drain and exit."""
        self._call("POST", "/v1/drain", {}, dict)

    def _call(
        self,
        method: str,
        path: str,
        value: Any,
        type_: Any,
        expected: tuple[int, ...] = (HTTP_OK, HTTP_ACCEPTED),
    ) -> Any:
        status, body = asyncio.run(self._send(method, path, value))
        # The body of an error may decode as the expected type, so the status is checked first.
        if status not in expected:
            raise AdminError(f"{self._url}{path}: {status} {_detail(body)}")
        return self._decode(path, status, body, type_)

    def _decode(self, path: str, status: int, body: bytes, type_: Any) -> Any:
        try:
            return make_decoder(type_)(body)
        except MalformedJsonError:
            raise AdminError(f"{self._url}{path}: {status} {_detail(body)}") from None

    async def _send(self, method: str, path: str, value: Any) -> tuple[int, bytes]:
        headers = {"Authorization": f"Bearer {self._token}"} if self._token else {}
        body = None if value is None else msgspec.json.encode(value)
        timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout) as session,
                session.request(
                    method, self._url + path, data=body, headers=headers, ssl=self._tls
                ) as response,
            ):
                return response.status, await response.read()
        except (*NETWORK_ERRORS, ValueError) as error:
            raise AdminError(f"{self._url}: {describe_call_error(error)}") from error


def _detail(body: bytes) -> str:
    """Return the error message in the body of an answer."""
    try:
        answer = _decode_answer(body)
    except MalformedJsonError:
        return body[:200].decode(errors="replace")
    return f"{answer.reason}: {answer.detail}"
