"""What went wrong with a call, in a sentence for the person who made it."""

from __future__ import annotations

import aiohttp


def describe_call_error(error: Exception) -> str:
    """Return what a failed call means and what to look at.

    The errors of the HTTP library name its own connection keys, not what a person can do.
    """
    if isinstance(error, aiohttp.ClientConnectorError):
        if isinstance(error.os_error, ConnectionRefusedError):
            return "connection refused: nothing listens there; check host and port"
        return f"not connected: {error.os_error.strerror or error.os_error}"
    if isinstance(error, TimeoutError):
        return "no answer in time"
    if isinstance(error, aiohttp.ServerDisconnectedError | ConnectionResetError):
        return "the connection was closed before an answer came"
    return str(error) or type(error).__name__
