"""A small deployment on loopback: entries as processes, stand-ins, and proxies between entries."""

from __future__ import annotations

import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path

from http11 import call
from platform2 import OPERATOR, Store, Worker

ROOT = Path(__file__).resolve().parents[2]
HOST = "desk.example"
SERVICE = "newsdesk"
ZONES = ("digbeth", "smethwick", "walsall", "coventry")
START_LIMIT_S = 20.0
# Traffic starts only when the owner has heard all workers; the users' waits 12 s.
SETTLE_S = 3.0
# Standard deviation of the logarithm of the run times of a step's tasks, as in the site file.
UNEVEN = 0.15
SENDER = re.compile(rb'"sender":\{"name":"([^"]+)"')
SETTINGS = """\
nodeName={name}
role=entry
machineClass=front
serves=front
ip={ip}
zone={zone}
region=west-mids
zones.digbeth=west-mids
zones.smethwick=west-mids
zones.walsall=west-mids
zones.coventry=west-mids
listen.front={ip}:{callers}
listen.ready={ip}:{ready}
portRange={peers},{peers}
advertise.peers=127.0.0.1:{advertised}
bootstrap=true
limits.cpuShare=0.537
limits.cores=2
limits.memoryMb=300
limits.maxFds=4100
discovery=platform
entry=vip
heartbeatMs=1500
bounds.contactMs=3000
bounds.ackMs=4000
bounds.drainMs=2000
bounds.graceS=6
bounds.configApplyMs=2000
bounds.maxHoldMs=1000
bounds.stopTimeoutMs=50
bounds.cancel_ms=3000
bounds.thawSlackMs=300
bounds.leaseMs=3000
bounds.retransmitMs=1300
orders=push
platform.addr=127.0.0.1:{store}
platform.form=log
"""


class Record:
    """What was sent, answered and run, in a file and in memory."""

    def __init__(self, path: Path) -> None:
        self.rows: list[dict] = []
        self._file = path.open("w", encoding="utf-8")
        self._zero = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the record began."""
        return time.monotonic() - self._zero

    def note(self, event: str, **fields: object) -> None:
        """Add a row."""
        row = {"t": round(self.now(), 3), "event": event, **fields}
        self.rows.append(row)
        words = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{row['t']:9.3f} {event} {words}\n")
        self._file.flush()

    def starts(self, job: str) -> list[dict]:
        """Return the starts of a job's tasks."""
        return [r for r in self.rows if r["event"] == "start" and r["task"].startswith(job)]


class Links:
    """Proxies before the peer ports of the entries and before the store.

    An entry can be cut off from all other entries and from the store; clients and workers still
    reach it.
    """

    def __init__(self) -> None:
        self.cut_off: set[str] = set()
        self._changed = asyncio.Event()
        self._open: set[asyncio.StreamWriter] = set()

    def cut(self, name: str) -> None:
        """Hold back everything to and from an entry until it is mended."""
        self.cut_off.add(name)

    def mend(self) -> None:
        """Let everything pass that was held back."""
        self.cut_off.clear()
        self._changed.set()
        self._changed = asyncio.Event()

    async def _pass(self, ends: set[str]) -> None:
        # "" is a sender that can't be told from its first bytes; it is held back with the others.
        while self.cut_off and (ends & self.cut_off or "" in ends):
            await self._changed.wait()

    async def proxy(
        self, target: str, host: str, port: int, *, source: str = ""
    ) -> tuple[asyncio.AbstractServer, int]:
        """Open a proxy before an entry's peer port, or before the store.

        :param source: the only entry that uses it; else its first bytes tell who sends.
        """

        async def pump(reader, writer, ends: set[str]) -> None:
            while data := await reader.read(65_536):
                await self._pass(ends)
                writer.write(data)
                await writer.drain()

        async def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            pumps: list[asyncio.Task] = []
            other = None
            try:
                head = await reader.read(65_536)
                found = SENDER.search(head)
                ends = {target, source or (found[1].decode() if found else "")}
                await self._pass(ends)
                target_reader, other = await asyncio.open_connection(host, port)
                other.write(head)
                pumps = [
                    asyncio.create_task(pump(reader, other, ends)),
                    asyncio.create_task(pump(target_reader, writer, ends)),
                ]
                await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
            except OSError:
                pass  # One side is gone; both are closed below.
            finally:
                for task in pumps:
                    task.cancel()
                await asyncio.gather(*pumps, return_exceptions=True)
                for end in (writer, other):
                    if end is not None:
                        end.transport.abort()

        server = await asyncio.start_server(accept, "127.0.0.1", 0)
        return server, server.sockets[0].getsockname()[1]


class Entry:
    """An entry VM: one process at a loopback address of its own."""

    def __init__(self, *, name: str, zone: str, ip: str, folder: Path) -> None:
        self.name, self.zone, self.ip = name, zone, ip
        self.callers = (ip, _free_port(ip))
        self.ready = (ip, _free_port(ip))
        self.peers = (ip, _free_port(ip))
        self.log = folder / f"{name}.log"
        self._settings = folder / f"{name}.conf"
        self._process: asyncio.subprocess.Process | None = None

    def write_settings(self, *, advertised: int, store: int) -> None:
        """Write the settings file."""
        text = SETTINGS.format(
            name=self.name,
            zone=self.zone,
            ip=self.ip,
            callers=self.callers[1],
            ready=self.ready[1],
            peers=self.peers[1],
            advertised=advertised,
            store=store,
        )
        self._settings.write_text(text)

    async def start(self) -> None:
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        program, *words = deploy["roles"]["entry"]["run"].split()
        if program == "python3":
            program = sys.executable
        environment = {
            "PATH": os.environ["PATH"],
            "PYTHONPATH": str(ROOT / "target/deps"),
            "ZINCWELL_CONFIG": str(self._settings),
        }
        with self.log.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                program, *words, cwd=ROOT, stdout=log, stderr=log, env=environment
            )

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(number)

    async def end(self) -> None:
        """End the process at once."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self._process is not None:
            await self._process.wait()

    def has_ended(self) -> bool:
        """Return whether the process has ended by itself."""
        return self._process is not None and self._process.returncode is not None

    def is_owner(self) -> bool:
        """Return whether the log of the process says that it acts as owner now."""
        text = self.log.read_text(errors="replace")
        return text.rfind("owner_elected") > text.rfind("owner_followed")


class Pool:
    """All parts of the deployment.

    :param entries: number of entry VMs, spread over the zones.
    :param workers: number of workers, spread over the zones.
    """

    def __init__(self, *, record: Record, entries: int = 8, workers: int = 12) -> None:
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-2-"))
        self.links = Links()
        self.store = Store()
        self.spec_by_step: dict[str, tuple[int, float]] = {}
        # Time from the start of all processes until each of them accepts callers.
        self.listen_s = 0.0
        pid = os.getpid()
        network = f"127.{pid >> 8 & 0x7F | 0x80}.{pid & 0xFF}"
        self.entries = [
            Entry(
                name=f"front-{ZONES[number % 4]}-{number // 4 + 1}",
                zone=ZONES[number % 4],
                ip=f"{network}.{number + 1}",
                folder=self.folder,
            )
            for number in range(entries)
        ]
        self.workers = [
            Worker(
                name=f"worker-{number}",
                service=SERVICE,
                zone=ZONES[number % 4],
                rack=f"r{number % 4}-{number // 4 % 2}",
                spec_of=self._spec_of,
                note=record.note,
            )
            for number in range(workers)
        ]
        self._servers: list[asyncio.AbstractServer] = []
        self._beats: list[asyncio.Task] = []

    def _spec_of(self, task: str) -> tuple[int, float]:
        cpu, run_s = self.spec_by_step[task.rpartition(".")[0]]
        return cpu, run_s * random.Random(task).lognormvariate(0.0, UNEVEN)

    async def open(self) -> None:
        """Start everything and wait until every entry says that it is ready."""
        self._servers.append(await self.store.open())
        for worker in self.workers:
            self._servers.append(await worker.open())
            self._beats.append(asyncio.create_task(worker.beat(self.store)))
        self.configure(version=3)
        for entry in self.entries:
            server, advertised = await self.links.proxy(entry.name, *entry.peers)
            self._servers.append(server)
            server, store = await self.links.proxy(
                "store", "127.0.0.1", self.store.port, source=entry.name
            )
            self._servers.append(server)
            entry.write_settings(advertised=advertised, store=store)
        started_at = time.monotonic()
        await asyncio.gather(*(entry.start() for entry in self.entries))
        async with asyncio.timeout(START_LIMIT_S):
            await asyncio.gather(*(self._wait_until_listening(entry) for entry in self.entries))
            self.listen_s = time.monotonic() - started_at
            for entry in self.entries:
                while (await call(entry.ready, "GET", "/v1/ready", timeout_s=1.0))[0] != 200:
                    await asyncio.sleep(0.1)
        await asyncio.sleep(SETTLE_S)
        self.record.note("ready", entries=len(self.entries), workers=len(self.workers))

    async def _wait_until_listening(self, entry: Entry) -> None:
        while True:
            try:
                _, writer = await asyncio.open_connection(*entry.callers)
            except OSError:
                await asyncio.sleep(0.02)
            else:
                writer.close()
                return

    def configure(self, *, version: int) -> None:
        """Write a configuration as the operator does."""
        routes = [
            {
                "name": name,
                "host": HOST,
                "pathPrefix": f"/{name}/",
                "service": SERVICE,
                "priority": priority,
                "attempts": 3,
                "stretch": 1.6,
                "sloMs": 60,
            }
            for priority, name in enumerate(("cue-stitch", "order-check", "bulletin-render"))
        ]
        document = {
            "version": version,
            "routes": routes,
            "services": [{"name": SERVICE, "admissionCheck": True}],
            "limits": {"maxBodyBytes": 262_144},
        }
        self.store.put(OPERATOR, "config", json.dumps(document).encode())

    def owner(self) -> Entry:
        """Return the entry that acts as owner, by the logs."""
        return next(entry for entry in self.entries if entry.is_owner())

    def make_job(self, *, steps: list[tuple[int, float, list[int]]], cpu: int = 27_000) -> dict:
        """Return a job with a new id; a step is its count, run time, and what it comes after."""
        job_id = f"{random.getrandbits(64):016x}"
        body = []
        for number, (count, run_s, after) in enumerate(steps):
            self.spec_by_step[f"{job_id}.0.{number}"] = (cpu, run_s)
            step = {"count": count, "cpu": cpu, "memMb": 64, "estimateMs": int(run_s * 1000)}
            body.append({**step, "after": after} if after else step)
        return {"id": job_id, "spec": f"spec of {job_id}", "steps": body}

    async def send(
        self, entry: Entry, method: str, job: dict, *, queue: str, timeout_s: float
    ) -> tuple[int, object]:
        """Send a request for a job on a new channel, and record it and its answer."""
        job_id, body = job["id"], None
        headers = {"Host": HOST}
        if method == "POST":
            body = {"spec": job["spec"], "bestEffort": True, "steps": job["steps"]}
            headers["Timeout-Ms"] = str(int(timeout_s * 1000))
        self.record.note("sent", method=method, job=job_id, entry=entry.name)
        status, answer = await call(
            entry.callers,
            method,
            f"/{queue}/{job_id}",
            body=body,
            headers=headers,
            timeout_s=timeout_s,
        )
        self.record.note(
            "answered",
            method=method,
            job=job_id,
            entry=entry.name,
            status=status,
            body=json.dumps(answer),
        )
        return status, answer

    async def close(self) -> None:
        """End all processes and remove the temporary folder."""
        await asyncio.gather(*(entry.end() for entry in self.entries))
        for beat in self._beats:
            beat.cancel()
        for server in self._servers:
            server.close()
        if not os.environ.get("KEEP_LOGS"):
            shutil.rmtree(self.folder, ignore_errors=True)


def _free_port(ip: str) -> int:
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


def run_case(play, *, here: Path, limit_s: float = 110.0, **sizes: int) -> int:
    """Play a case; return 1 if the rule was broken, 0 if it held, 2 if it couldn't run.

    :param play: coroutine function of the pool and of whether the disruption comes; returns what
        broke the rule, a line each.
    """

    async def play_all() -> int:
        record = Record(here / "record.txt")
        trouble = os.environ.get("TROUBLE", "1") != "0"
        record.note("begin", trouble=trouble)
        pool = Pool(record=record, **sizes)
        loop = asyncio.get_running_loop()
        me = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, me.cancel)
        try:
            async with asyncio.timeout(limit_s):
                await pool.open()
                broken = await play(pool, trouble)
        except (CaseError, OSError, TimeoutError, StopIteration, asyncio.CancelledError) as error:
            record.note("not_run", error=repr(error))
            return 2
        finally:
            await pool.close()
        for line in broken:
            record.note("broken", what=line)
        record.note("verdict", broken=len(broken))
        return 1 if broken else 0

    return asyncio.run(play_all())


class CaseError(Exception):
    """The case could not be played as planned."""
