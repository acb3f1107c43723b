"""Entries: the project's own program, as separate processes with the deploy file's command."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
SETTINGS = """\
nodeName={name}
role=entry
machineClass=front
serves=front
ip={ip}
zone={zone}
region=region
listen.front={ip}:{front}
listen.ready={ready}
portRange={peers},{peers}
limits.cpuShare=0.537
limits.cores=2
limits.memoryMb=300
heartbeatMs=1500
bounds.graceS=6
bounds.drainMs=2000
bounds.maxHoldMs=1000
bounds.thawSlackMs=300
bounds.retransmitMs=1300
orders=push
bounds.cancel_ms=3000
platform.addr={store}
platform.form=log
"""
# The address at which the other entries reach this one, if a proxy stands before it.
ADVERTISED = "advertise.peers={address}\n"


def _free_port(ip: str) -> int:
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


class Entry:
    """One entry VM, whose process may be started again.

    :param number: makes its loopback address, which no other run uses.
    """

    def __init__(self, *, number: int, zone: str, store: str, folder: Path) -> None:
        pid = os.getpid()
        self.ip = f"127.{pid >> 8 & 0x7F | 0x80}.{pid & 0xFF}.{number}"
        self.name = f"front-{zone}-{number}"
        self.front = _free_port(self.ip)
        self._settings = folder / f"{self.name}.conf"
        self._log = folder / f"{self.name}.log"
        self._process: asyncio.subprocess.Process | None = None
        self.ready = f"{self.ip}:{_free_port(self.ip)}"
        self.peers_port = _free_port(self.ip)
        ports = {"front": self.front, "peers": self.peers_port}
        text = SETTINGS.format(
            name=self.name, ip=self.ip, zone=zone, ready=self.ready, store=store, **ports
        )
        self._settings.write_text(text, encoding="utf-8")

    def advertise(self, address: str) -> None:
        """Let the other entries use another address, that of a proxy."""
        with self._settings.open("a", encoding="utf-8") as file:
            file.write(ADVERTISED.format(address=address))

    @property
    def address(self) -> str:
        """Return the address for callers."""
        return f"{self.ip}:{self.front}"

    async def start(self) -> None:
        """Start a process."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text(encoding="utf-8"))
        environment = {
            "PATH": os.environ["PATH"],
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "ZINCWELL_CONFIG": str(self._settings),
        }
        with self._log.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                *deploy["roles"]["entry"]["run"].split(),
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def terminate(self) -> None:
        """Send SIGTERM."""
        self._process.send_signal(signal.SIGTERM)

    async def wait(self) -> None:
        """Wait until the process has ended."""
        await self._process.wait()

    async def kill(self) -> None:
        """End the process at once, if there is one."""
        if self._process is not None and self._process.returncode is None:
            self._process.kill()
            await self._process.wait()

    def is_running(self) -> bool:
        """Return whether the process has not ended."""
        return self._process is not None and self._process.returncode is None

    def log_lines(self, *words: str) -> list[str]:
        """Return the lines of the log that contain one of the words."""
        lines = self._log.read_text(encoding="utf-8", errors="replace").splitlines()
        return [line for line in lines if any(word in line for word in words)]
