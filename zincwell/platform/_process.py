"""The process of one entry: start-up, HTTP servers, signal handling, shutdown."""

from __future__ import annotations

import asyncio
import faulthandler
import gc
import logging
import os
import signal
import time
import uuid
from collections.abc import Callable
from pathlib import Path

from zincwell.dispatch import LoopTicks, Node
from zincwell.dispatch._types import EntryInfo
from zincwell.exceptions import SettingsError
from zincwell.logs import configure_bounded_logging
from zincwell.loops import new_event_loop
from zincwell.platform._callers import CallerListener, MetricsListener, ReadyListener
from zincwell.platform._http import HttpClient
from zincwell.platform._peers import MAX_ENVELOPE_BYTES, HttpPeerClient, PeerListener
from zincwell.platform._server import Handler, HttpServer
from zincwell.platform._settings import PlatformSettings, read_settings
from zincwell.platform._store import HttpStore
from zincwell.platform._worker import HttpWorkerClient

log = logging.getLogger("zincwell.process")

SETTINGS_ENV_VAR = "ZINCWELL_CONFIG"
DEFAULT_SETTINGS_PATH = "/etc/zincwell/local.conf"
# The deploy file names the same port.
METRICS_PORT = 9464
# Time to send the responses of open requests before the process exits.
RESPONSE_FLUSH_S = 0.2


def main() -> int:
    """Run until SIGTERM; return the exit status."""
    # Prints the Python stack if a compiled library crashes, which raises no exception.
    faulthandler.enable()
    configure_bounded_logging(logging.INFO)
    path = Path(os.environ.get(SETTINGS_ENV_VAR, DEFAULT_SETTINGS_PATH))
    try:
        settings = read_settings(path)
    except SettingsError as error:
        log.error('settings_wrong error="%s"', error)
        return 2
    with asyncio.Runner(loop_factory=new_event_loop) as runner:
        runner.run(_serve(settings, path))
    return 0


async def _serve(settings: PlatformSettings, path: Path) -> None:
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop_requested.set)
    loop.add_signal_handler(signal.SIGINT, stop_requested.set)
    loop.add_signal_handler(signal.SIGHUP, _check_settings, path)
    http = HttpClient()
    node = _make_node(settings, http)
    log.info(
        "started entry=%s zone=%s incarnation=%s peers=%s",
        node.me.name,
        node.me.zone,
        node.me.incarnation,
        node.me.address,
    )
    node.open()
    callers = CallerListener(node=node)
    servers = [
        await _start_server(settings.ready, ReadyListener(node=node).handle),
        await _start_server(
            settings.peers, PeerListener(node=node).handle, lambda: MAX_ENVELOPE_BYTES
        ),
        await _start_server(
            settings.callers, callers.handle, callers.body_limit, ticks=node.pending_jobs.ticks
        ),
        await _start_server(f"{settings.ip}:{METRICS_PORT}", MetricsListener(node=node).handle),
    ]
    gc.collect()
    gc.freeze()
    await stop_requested.wait()
    await node.drain()
    await asyncio.sleep(RESPONSE_FLUSH_S)
    node.close()
    http.close()
    for server in servers:
        server.close()
    log.info("stopped entry=%s", settings.name)


def _make_node(settings: PlatformSettings, http: HttpClient) -> Node:
    me = EntryInfo(
        name=settings.name,
        address=settings.peers_advertised,
        zone=settings.zone,
        incarnation=uuid.uuid4().hex[:12],
        cores=settings.cores,
    )
    return Node(
        me=me,
        store=HttpStore(address=settings.store, http=http),
        workers=HttpWorkerClient(http=http),
        peers=HttpPeerClient(http=http),
        limits=settings.limits,
        clock=lambda: time.clock_gettime(time.CLOCK_BOOTTIME),
    )


async def _start_server(
    address: str,
    handler: Handler,
    body_limit: Callable[[], int] = lambda: 0,
    *,
    ticks: LoopTicks | None = None,
) -> HttpServer:
    server = HttpServer(handler=handler, body_limit=body_limit, ticks=ticks)
    await server.listen(address)
    return server


def _check_settings(path: Path) -> None:
    """Check the changed settings file; new values take effect at the next start."""
    try:
        read_settings(path)
    except SettingsError as error:
        log.error('settings_wrong error="%s"', error)
        return
    log.info("settings_read path=%s", path)
