"""Poll the platform's list of VMs, which can be stale or incomplete."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from zincwell.exceptions import DirectoryUnavailableError
from zincwell.ports import Vm, VmDirectory

MIN_PLAUSIBLE_FRACTION = 0.5

log = logging.getLogger("zincwell.directory")


class DirectoryPoller:
    """Polls the list of VMs and reports the workers of one domain.

    A list that lacks more than half of the known workers at once is more likely wrong than
    right, so missing workers are kept as long as they grant leases. During an outage of the
    directory the last list stays in use.

    :param domain: the failure domain whose workers are reported.
    :param poll_s: pause between two reads in seconds.
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
        """Poll the list until cancelled."""
        while True:
            try:
                self.update(await self._directory.list_vms())
            except DirectoryUnavailableError as error:
                log.info("directory_unavailable", extra={"error": error})
            await asyncio.sleep(self._poll_s)

    def update(self, vms: list[Vm]) -> None:
        """Process a list and report the workers."""
        entries = [vm.url for vm in vms if vm.role == "entry"]
        self.entry_urls = entries or self.entry_urls
        listed = {vm.vm: vm for vm in vms if vm.role == "worker" and vm.domain == self._domain}
        if len(listed) < MIN_PLAUSIBLE_FRACTION * len(self._worker_by_vm):
            listed = self._merge_responding_workers(listed)
        self._worker_by_vm = listed
        self._on_workers(list(listed.values()))

    def _merge_responding_workers(self, listed: dict[str, Vm]) -> dict[str, Vm]:
        """Add the known workers that the list lacks but that still grant leases."""
        missing = [vm for name, vm in self._worker_by_vm.items() if name not in listed]
        kept = {vm.vm: vm for vm in missing if self._answers(vm.vm)}
        log.warning(
            "directory_distrusted",
            extra={"listed": len(listed), "known": len(self._worker_by_vm), "kept": len(kept)},
        )
        return listed | kept
