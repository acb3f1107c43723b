"""HTTP transport between entries."""

from __future__ import annotations

import aiohttp

from zincwell.adapters._platform import HTTP_OK, NETWORK_ERRORS
from zincwell.exceptions import PeerUnavailableError
from zincwell.ports import PeerTransport

KEY_HEADER = "X-Zincwell-Key"


def key_headers(key: str) -> dict[str, str]:
    """Return the headers that carry the shared key; none for an empty key."""
    return {KEY_HEADER: key} if key else {}


class HttpPeerTransport(PeerTransport):
    """Sends messages to the peers' listener of another entry by POST.

    :param key: shared key that each request carries; empty for none.
    """

    def __init__(self, *, session: aiohttp.ClientSession, key: str):
        self._session = session
        self._headers = key_headers(key)

    async def call(self, *, url: str, path: str, body: bytes, timeout_s: float) -> bytes:
        """Send one message and return the body of the response.

        :raises PeerUnavailableError: if there is no response in time or its status is not 200.
        """
        timeout = aiohttp.ClientTimeout(total=timeout_s)
        try:
            async with self._session.post(
                url + path, data=body, headers=self._headers, timeout=timeout
            ) as response:
                raw = await response.read()
        except NETWORK_ERRORS as error:
            raise PeerUnavailableError(f"{url}{path}: {error!r}") from error
        if response.status != HTTP_OK:
            raise PeerUnavailableError(f"{url}{path} returned HTTP status {response.status}")
        return raw
