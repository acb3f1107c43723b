"""A small system of separate processes on loopback: platform, workers and entries."""

from __future__ import annotations

import asyncio
import collections
import itertools
import os
import signal
import sys
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import aiohttp
import msgspec
import tomli_w

from tests.relay import Relay
from zincwell.core._membership import Seat, home_of_key
from zincwell.settings import TimingSettings

OPEN_TIMEOUT_S = 30.0
WAIT_TIMEOUT_S = 30.0
POLL_S = 0.02


def task_name(start_id: str) -> str:
    """Return the task of a start as ``key#index``, whichever domain it ran in.

    The start of a spilled task has the id given by its owner as its key, as in ``key#3.1#0.1``,
    so the task name ends at the first full stop after the first ``#``.
    """
    key, _, rest = start_id.partition("#")
    return f"{key}#{rest.partition('.')[0]}"


@dataclass(kw_only=True)
class Process:
    """One process and the addresses that it printed at start."""

    name: str
    process: asyncio.subprocess.Process
    fields: dict[str, str]
    log_path: Path

    @property
    def pid(self) -> int:
        return self.process.pid

    def signal(self, number: int) -> None:
        self.process.send_signal(number)

    async def kill(self) -> None:
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()

    async def terminate(self) -> int:
        self.process.terminate()
        return await self.process.wait()

    def log_text(self) -> str:
        return self.log_path.read_text()


@dataclass(kw_only=True)
class EntryProcess(Process):
    """One entry and the relay to its peers listener."""

    vm: str
    domain: str
    address: str
    relay: Relay

    @property
    def callers(self) -> str:
        return self.fields["callers"]

    @property
    def operators(self) -> str:
        return self.fields["operators"]


@dataclass(kw_only=True)
class WorkerProcess(Process):
    """One worker and the relay to it."""

    vm: str
    domain: str
    relay: Relay

    @property
    def url(self) -> str:
        return self.fields["url"]


@dataclass(kw_only=True)
class Cluster:
    """The whole system; created by the ``cluster`` fixture."""

    folder: Path
    session: aiohttp.ClientSession
    timing: dict[str, float] = field(default_factory=dict)
    settings: dict[str, Any] = field(default_factory=dict)
    entry_by_vm: dict[str, EntryProcess] = field(default_factory=dict)
    worker_by_vm: dict[str, WorkerProcess] = field(default_factory=dict)
    relays: list[Relay] = field(default_factory=list)
    log: Process | None = None
    directory: Process | None = None
    log_relay: Relay | None = None
    directory_relay: Relay | None = None
    entry_module: str = "zincwell"
    processes: list[Process] = field(default_factory=list)
    numbers: Iterator[int] = field(default_factory=itertools.count)
    entry_numbers: Iterator[int] = field(default_factory=itertools.count)
    worker_numbers: Iterator[int] = field(default_factory=itertools.count)

    # -- setup ---------------------------------------------------------------------------

    async def open(self, *, domains: dict[str, tuple[int, int]], slots: int = 8, **document):
        """Start a platform and, for each domain, a number of entries and of workers.

        :param domains: numbers of entries and of workers by domain.
        :param slots: slots of each worker.
        :param document: further tables of the configuration document.
        """
        await self.open_platform()
        await self.publish(
            {
                "format": 1,
                "domains": sorted(domains),
                "services": {"transcriber": {"pool": "braille"}},
                "pools": {"braille": {}},
                **document,
            }
        )
        starting = []
        for domain, (entries, workers) in domains.items():
            starting += [self.add_worker(domain, slots=slots) for _ in range(workers)]
            starting += [self.add_entry(domain) for _ in range(entries)]
        await asyncio.gather(*starting)
        self.entry_by_vm = dict(sorted(self.entry_by_vm.items()))
        await self.wait_settled()

    async def open_platform(self) -> None:
        self.log = await self._start("log", "-m", "zincwell.standins", "log")
        self.directory = await self._start("directory", "-m", "zincwell.standins", "directory")
        self.log_relay = await self._relay(self.log.fields["url"])
        self.directory_relay = await self._relay(self.directory.fields["url"])

    async def add_worker(self, domain: str, *, slots: int = 8) -> WorkerProcess:
        vm = f"worker-{next(self.worker_numbers)}"
        started = await self._start(vm, "-m", "zincwell.standins", "worker", "--slots", str(slots))
        relay = await self._relay(started.fields["url"])
        worker = WorkerProcess(**vars(started), vm=vm, domain=domain, relay=relay)
        self.worker_by_vm[vm] = worker
        await self.list_worker(worker, slots=slots)
        return worker

    async def list_worker(
        self, worker: WorkerProcess, *, slots: int = 8, state: str = "live"
    ) -> None:
        row = {
            "vm": worker.vm,
            "role": "worker",
            "domain": worker.domain,
            "url": worker.relay.url,
            "pool": "braille",
            "slots": slots,
            "memory_mb": 256_000,
            "state": state,
        }
        await self.put(f"{self.directory.fields['url']}/vms/{worker.vm}", row)

    async def add_entry(self, domain: str, *, vm: str | None = None) -> EntryProcess:
        vm = vm or f"entry-{next(self.entry_numbers)}"
        number = next(self.numbers)
        address = f"127.0.0.{10 + number}"
        relay = await self._relay(None)
        path = self.folder / f"{vm}-{number}.toml"
        path.write_text(tomli_w.dumps(self._entry_settings(vm, domain, address, relay)))
        started = await self._start(vm, "-m", self.entry_module, "entry", str(path))
        relay.set_target(started.fields["peers"])
        entry = EntryProcess(**vars(started), vm=vm, domain=domain, address=address, relay=relay)
        self.entry_by_vm[vm] = entry
        row = {"vm": vm, "role": "entry", "domain": domain, "url": relay.url}
        await self.put(f"{self.directory.fields['url']}/vms/{vm}", row)
        return entry

    def _entry_settings(self, vm: str, domain: str, address: str, relay: Relay) -> dict:
        listener = {"host": address, "port": 0}
        return {
            "vm": vm,
            "domain": domain,
            "platform": {
                "log_url": self.log_relay.url,
                "directory_url": self.directory_relay.url,
            },
            "callers": listener,
            "peers": listener,
            "operators": listener,
            "peers_url": relay.url,
            "timing": {"drain_notice_s": 0.2, **self.timing},
            **self.settings,
        }

    async def _relay(self, target: str | None) -> Relay:
        relay = Relay()
        await relay.open()
        if target is not None:
            relay.set_target(target)
        self.relays.append(relay)
        return relay

    async def _start(self, name: str, *arguments: str) -> Process:
        log_path = self.folder / f"{name}-{next(self.numbers)}.log"
        with log_path.open("wb") as log:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                *arguments,
                stdout=asyncio.subprocess.PIPE,
                stderr=log,
                env={**os.environ, "PYTHONPATH": str(Path(__file__).parents[1])},
            )
        line = await asyncio.wait_for(process.stdout.readline(), OPEN_TIMEOUT_S)
        if not line:
            raise AssertionError(f"{name} did not start: {log_path.read_text()}")
        fields = dict(pair.split("=", 1) for pair in line.decode().split())
        started = Process(name=name, process=process, fields=fields, log_path=log_path)
        self.processes.append(started)
        return started

    async def close(self) -> None:
        for process in self.processes:
            if process.process.returncode is None:
                process.signal(signal.SIGCONT)
            await process.kill()
        for relay in self.relays:
            await relay.close()

    # -- faults --------------------------------------------------------------------------

    def cut_domains(self, one: str, other: str) -> None:
        """Cut the links from the entries of each domain to the entries and workers of the other."""
        self._for_links_between(one, other, Relay.cut)

    def heal_domains(self, one: str, other: str) -> None:
        self._for_links_between(one, other, Relay.heal)

    def _for_links_between(self, one: str, other: str, act: Callable[[Relay, str], None]) -> None:
        for here, there in ((one, other), (other, one)):
            sources = [e.address for e in self.entry_by_vm.values() if e.domain == here]
            targets = [*self.entry_by_vm.values(), *self.worker_by_vm.values()]
            for target in targets:
                if target.domain == there:
                    for source in sources:
                        act(target.relay, source)

    def cut_platform(self, domain: str) -> None:
        """Cut the links from the entries of a domain to the log service and the VM directory."""
        self._for_platform_links(domain, Relay.cut)

    def heal_platform(self, domain: str) -> None:
        self._for_platform_links(domain, Relay.heal)

    def _for_platform_links(self, domain: str, act: Callable[[Relay, str], None]) -> None:
        for entry in self.entry_by_vm.values():
            if entry.domain == domain:
                act(self.log_relay, entry.address)
                act(self.directory_relay, entry.address)

    async def control(self, process: Process, **switches: Any) -> None:
        """Set switches of a stand-in."""
        await self.post(process.fields["url"] + "/control", switches)

    # -- calls ---------------------------------------------------------------------------

    async def publish(self, patch: dict, *, base: int = -1, change_id: str = "first") -> int:
        """Append a configuration change to the log and return its offset."""
        record = {"kind": "change", "id": change_id, "base": base, "patch": patch}
        _, answer = await self.post(self.log.fields["url"] + "/streams/config", record)
        return answer["offset"]

    async def submit(
        self, entry: EntryProcess, submission: dict, *, wait: bool = True
    ) -> tuple[int, dict]:
        """Send a submission and return status and answer."""
        suffix = "" if wait else "?wait=0"
        return await self.post(entry.callers + "/v1/submissions" + suffix, submission)

    async def resend(self, entry: EntryProcess, submission: dict) -> dict:
        """Retry a submission that was sent once before, until there is a final answer."""
        return await self._retry_until_final(entry, submission, attempt=2, never_run=False)

    async def submit_to_end(self, entry: EntryProcess, submission: dict) -> dict:
        """Send a new submission and retry it until there is a final answer."""
        return await self._retry_until_final(entry, submission, attempt=1, never_run=True)

    async def _retry_until_final(
        self, entry: EntryProcess, submission: dict, *, attempt: int, never_run: bool
    ) -> dict:
        """Retry as the client does: numbers the attempts and honours ``retry_after_ms``."""
        for number in range(attempt, attempt + 50):
            sent = {
                **submission,
                "attempt": number,
                "never_run": never_run,
                "sent_at": time.time(),
            }
            _, answer = await self.submit(entry, sent)
            if answer["outcome"] == "completed" or "retry_after_ms" not in answer:
                return answer
            has_not_run = answer["outcome"] == "not_run" or answer["reason"] == "stale"
            never_run = never_run and has_not_run
            await asyncio.sleep(answer["retry_after_ms"] / 1000)
        raise AssertionError(f"no final answer after 50 attempts: {answer}")

    async def post(self, url: str, value: Any) -> tuple[int, Any]:
        async with self.session.post(url, data=msgspec.json.encode(value)) as response:
            return response.status, msgspec.json.decode(await response.read())

    async def put(self, url: str, value: Any) -> None:
        async with self.session.put(url, data=msgspec.json.encode(value)) as response:
            await response.read()

    async def get(self, url: str) -> Any:
        async with self.session.get(url) as response:
            return msgspec.json.decode(await response.read())

    async def status(self, entry: EntryProcess) -> dict:
        return await self.get(entry.operators + "/status")

    async def ledger(self) -> list[dict]:
        """Return the starts recorded by all running workers."""
        starts = []
        for worker in self.worker_by_vm.values():
            if worker.process.returncode is None:
                starts += await self.get(worker.url + "/ledger")
        return starts

    async def starts_by_task(self) -> dict[str, int]:
        """Return the number of starts by task, whichever worker they ran on."""
        names = (task_name(start["id"]) for start in await self.ledger())
        return dict(collections.Counter(names))

    async def wait_started(self, count: int) -> None:
        """Wait until the workers have recorded a number of starts."""

        async def started() -> bool:
            return len(await self.ledger()) >= count

        await self.wait_for(f"{count} starts", started)

    def home_of(self, key: str, *, tenant: str = "school") -> EntryProcess:
        """Return the live entry that is the home of a key with a domain prefix."""
        domain = key.partition("/")[0]
        seats = [
            Seat(vm=entry.vm, incarnation="", domain=domain, url="")
            for entry in self.live_entries()
            if entry.domain == domain
        ]
        return self.entry_by_vm[home_of_key(f"{key}@{tenant}", seats).vm]

    # -- waiting -------------------------------------------------------------------------

    async def wait_for(self, what: str, condition: Callable) -> None:
        """Poll an asynchronous condition until it holds.

        :raises AssertionError: after ``WAIT_TIMEOUT_S``.
        """

        async def poll() -> None:
            while not await condition():
                await asyncio.sleep(POLL_S)

        try:
            await asyncio.wait_for(poll(), WAIT_TIMEOUT_S)
        except TimeoutError:
            raise AssertionError(f"timed out waiting for: {what}") from None

    async def outlast_clock_margin(self) -> None:
        """Wait until new keys are newer than the seats of all homes, even with clocks apart."""
        margin_s = self.timing.get("clock_margin_s", TimingSettings().clock_margin_s)
        until = time.time() + margin_s + 0.1

        async def is_past() -> bool:
            return time.time() > until

        await self.wait_for("clock margin over", is_past)

    async def wait_settled(self) -> None:
        """Wait until every entry is ready, may grant keys and sees all seats and workers."""
        for entry in self.live_entries():
            await self.wait_for(f"{entry.vm} settled", lambda entry=entry: self._settled(entry))

    def live_entries(self) -> list[EntryProcess]:
        entries = self.entry_by_vm.values()
        return [entry for entry in entries if entry.process.returncode is None]

    async def _settled(self, entry: EntryProcess) -> bool:
        status = await self.status(entry)
        seats = sorted(entry.vm for entry in self.live_entries())
        workers = [w for w in self.worker_by_vm.values() if w.domain == entry.domain]
        usable = [worker for worker in status["workers"] if worker["usable"]]
        return (
            status["ready"]
            and status["may_grant"]
            and status["seats"] == seats
            and len(usable) == len(workers)
        )
