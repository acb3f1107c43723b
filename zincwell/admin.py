"""Client of an entry's listener for operators, as the command line uses it."""

from __future__ import annotations

import asyncio
import uuid
from typing import Any

import aiohttp
import msgspec

from zincwell.entry import Status, read_secret
from zincwell.exceptions import AdminError
from zincwell.listeners import CheckReply, ConfigReply, PublishReply
from zincwell.models import Answer

TIMEOUT_S = 15.0
NETWORK_ERRORS = (aiohttp.ClientError, asyncio.TimeoutError, OSError)


class AdminClient:
    """Blocking client of one entry.

    :param url: base URL of the entry's listener for operators.
    :param token_file: file with the bearer token; empty for none.
    """

    def __init__(self, *, url: str, token_file: str = ""):
        self._url = url.rstrip("/")
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
        """Check a document and return what it would change."""
        return self._call("POST", "/v1/config/check", document, CheckReply)

    def publish_config(
        self, document: dict[str, Any], *, base: int, by: str, note: str
    ) -> PublishReply:
        """Publish a document and return the verdict."""
        proposal = {
            "id": uuid.uuid4().hex,
            "base": base,
            "document": document,
            "by": by,
            "note": note,
        }
        return self._call("POST", "/v1/config", proposal, PublishReply)

    def drain(self) -> None:
        """Tell the entry to drain and end."""
        self._call("POST", "/v1/drain", {}, dict)

    def _call(self, method: str, path: str, value: Any, type_: Any) -> Any:
        status, body = asyncio.run(self._send(method, path, value))
        try:
            return msgspec.json.decode(body, type=type_)
        except msgspec.MsgspecError:
            raise AdminError(f"{self._url}{path}: {status} {_detail(body)}") from None

    async def _send(self, method: str, path: str, value: Any) -> tuple[int, bytes]:
        headers = {"Authorization": f"Bearer {self._token}"} if self._token else {}
        body = None if value is None else msgspec.json.encode(value)
        timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout) as session,
                session.request(method, self._url + path, data=body, headers=headers) as response,
            ):
                return response.status, await response.read()
        except NETWORK_ERRORS as error:
            raise AdminError(f"{self._url}: {error}") from error


def _detail(body: bytes) -> str:
    """Return what an error answer says."""
    try:
        answer = msgspec.json.decode(body, type=Answer)
    except msgspec.MsgspecError:
        return body[:200].decode(errors="replace")
    return f"{answer.reason}: {answer.detail}"
