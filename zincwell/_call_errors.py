"""Describe the errors of HTTP calls to users."""

from __future__ import annotations

import aiohttp


def describe_call_error(error: Exception) -> str:
    """Return a message that says why a call failed and what to check.

    The messages of aiohttp show its internal connection keys, which do not help a user.
    """
    if isinstance(error, aiohttp.ClientConnectorError):
        if isinstance(error.os_error, ConnectionRefusedError):
            return "connection refused: nothing listens there; check host and port"
        return f"connection failed: {error.os_error.strerror or error.os_error}"
    if isinstance(error, TimeoutError):
        return "timed out waiting for an answer"
    if isinstance(error, aiohttp.ServerDisconnectedError | ConnectionResetError):
        return "the server closed the connection before it answered"
    return str(error) or type(error).__name__
