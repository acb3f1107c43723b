"""Follow the platform's list of VMs, which lags and is sometimes wrong."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from zincwell.exceptions import DirectoryUnavailableError
from zincwell.ports import Vm, VmDirectory

SHRUNKEN_SHARE = 0.5

log = logging.getLogger("zincwell.directory")


class DirectoryWatcher:
    """Reads the list of VMs and hands on what can be believed of it.

    A list that has lost half of the workers at once is more likely wrong than true: workers
    that it leaves out are kept as long as they answer. An outage keeps the last list.

    :param domain: the failure domain whose workers are handed on.
    :param answers: returns whether a worker still grants leases.
    :param on_workers: called with the workers of the domain.
    """

    def __init__(
        self,
        *,
        directory: VmDirectory,
        domain: str,
        poll_s: float,
        answers: Callable[[str], bool],
        on_workers: Callable[[list[Vm]], None],
    ):
        self._directory = directory
        self._domain = domain
        self._poll_s = poll_s
        self._answers = answers
        self._on_workers = on_workers
        self._worker_by_vm: dict[str, Vm] = {}
        self.entry_urls: list[str] = []

    async def run(self) -> None:
        """Read until cancelled."""
        while True:
            try:
                self.take(await self._directory.list_vms())
            except DirectoryUnavailableError as error:
                log.info("directory_unavailable", extra={"error": error})
            await asyncio.sleep(self._poll_s)

    def take(self, vms: list[Vm]) -> None:
        """Take a list that was read."""
        entries = [vm.url for vm in vms if vm.role == "entry"]
        self.entry_urls = entries or self.entry_urls
        listed = {vm.vm: vm for vm in vms if vm.role == "worker" and vm.domain == self._domain}
        if len(listed) < SHRUNKEN_SHARE * len(self._worker_by_vm):
            listed = self._distrust(listed)
        self._worker_by_vm = listed
        self._on_workers(list(listed.values()))

    def _distrust(self, listed: dict[str, Vm]) -> dict[str, Vm]:
        missing = [vm for name, vm in self._worker_by_vm.items() if name not in listed]
        kept = {vm.vm: vm for vm in missing if self._answers(vm.vm)}
        log.warning(
            "directory_distrusted",
            extra={"listed": len(listed), "known": len(self._worker_by_vm), "kept": len(kept)},
        )
        return listed | kept
