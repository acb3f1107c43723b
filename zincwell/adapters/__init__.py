"""Implementations of the ports: HTTP with JSON, and the system clock."""

from zincwell.adapters._clock import SystemClock
from zincwell.adapters._peer import HttpPeerTransport
from zincwell.adapters._platform import HttpLogService, HttpVmDirectory
from zincwell.adapters._tls import make_client_tls
from zincwell.adapters._worker import HttpWorkerTransport

__all__ = [
    "HttpLogService",
    "HttpPeerTransport",
    "HttpVmDirectory",
    "HttpWorkerTransport",
    "SystemClock",
    "make_client_tls",
]
