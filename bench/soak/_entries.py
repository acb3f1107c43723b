"""Entries as separate processes, with signals."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import sys
from pathlib import Path

SETTINGS = """\
nodeName={name}
zone={zone}
ip={ip}
listen.front={ip}:{callers}
listen.ready={ip}:{ready}
portRange={peers},{peers}
advertise.peers=127.0.0.1:{advertised}
platform.addr=127.0.0.1:{store}
limits.cpuShare={cores}
bounds.maxHoldMs=1000
bounds.thawSlackMs=300
bounds.graceS=6
"""
# Seconds until SIGKILL; more than the platform allows, since the machine may be busy.
DRAIN_LIMIT_S = 15.0


def free_port(ip: str) -> int:
    """Return a port of an address that the system calls free."""
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


class EntryProcess:
    """An entry: one process after the other under the same name and addresses."""

    def __init__(self, *, name: str, zone: str, ip: str, folder: Path, cores: float) -> None:
        self.name = name
        self.zone = zone
        self.ip = ip
        self.callers_port = free_port(ip)
        self.peers_port = free_port(ip)
        self.cores = cores
        self.life = 0
        self.killed = False
        self.paused = False
        self.leaving = False
        self._folder = folder
        self._process: asyncio.subprocess.Process | None = None

    def write_settings(self, *, advertised: int, store: int) -> None:
        """Write the settings file, with the ports of the proxies."""
        text = SETTINGS.format(
            name=self.name,
            zone=self.zone,
            ip=self.ip,
            callers=self.callers_port,
            ready=free_port(self.ip),
            peers=self.peers_port,
            advertised=advertised,
            store=store,
            cores=self.cores,
        )
        self._settings.write_text(text)

    @property
    def _settings(self) -> Path:
        return self._folder / f"{self.name}.conf"

    @property
    def pid(self) -> int | None:
        """Return the id of the process, None if there is none."""
        return self._process.pid if self._process is not None else None

    async def start(self) -> None:
        """Start a process; its lines are appended to the log."""
        self.life += 1
        self.killed = self.paused = self.leaving = False
        environment = {"PATH": os.environ["PATH"], "ZINCWELL_CONFIG": str(self._settings)}
        with open(self._folder / f"{self.name}.log", "ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "zincwell.platform", stdout=log, stderr=log, env=environment
            )

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(number)

    def pause(self) -> None:
        """Let the process stand still."""
        self.paused = True
        self.signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Let a process go on that stood still."""
        self.signal(signal.SIGCONT)

    async def kill(self) -> None:
        """End the process at once."""
        self.killed = True
        self.signal(signal.SIGKILL)
        if self._process is not None:
            await self._process.wait()
            self._process = None

    async def drain(self) -> bool:
        """Ask the process to end and wait; return whether it did so by itself."""
        self.leaving = True
        self.signal(signal.SIGTERM)
        process = self._process
        if process is None:
            return True
        try:
            async with asyncio.timeout(DRAIN_LIMIT_S):
                await process.wait()
        except TimeoutError:
            await self.kill()
            return False
        self._process = None
        return True

    def exit_status(self) -> int | None:
        """Return the status of a process that ended without having been told, else None."""
        if self._process is None or self.leaving:
            return None
        return self._process.returncode

    def tracebacks(self) -> int:
        """Return how many stack traces the log has."""
        path = self._folder / f"{self.name}.log"
        return path.read_text(errors="replace").count("Traceback") if path.exists() else 0
