"""Workers that the list of VMs moves between pools."""

from __future__ import annotations

from testtools.assertions import assert_that
from testtools.matchers import Equals

from tests.lone import SingleEntry, open_single_entry
from zincwell.ports import Vm


def worker_vm(pool: str) -> Vm:
    return Vm(
        vm="worker-0",
        role="worker",
        domain="kariakoo",
        url="http://127.0.0.1:1",
        pool=pool,
        slots=8,
    )


def workers_by_pool(lone: SingleEntry) -> dict[str, list[str]]:
    pools = lone.entry.dispatcher.pool_by_name.values()
    return {pool.name: list(pool.worker_by_name) for pool in pools}


async def test_worker_that_changes_its_pool_stands_in_one():
    """A worker that is moved to another pool leaves the first, and can leave the list later.

    The list names another pool for a worker; later the worker leaves the list. If a pool drops
    only workers that are missing from the list, tasks of the first pool are sent to a worker of
    the second. The second lease task then replaces the first one, and dropping the worker twice
    raises in the task that watches the list: it ends, and the entry no longer notices workers
    that leave.
    """
    async with open_single_entry() as lone:
        await lone.publish({"pools": {"print": {}}}, change_id="print")
        dispatcher = lone.entry.dispatcher
        dispatcher.update_workers([worker_vm("braille")])

        dispatcher.update_workers([worker_vm("print")])
        moved = workers_by_pool(lone)
        dispatcher.update_workers([])

        assert_that(moved, Equals({"braille": [], "print": ["worker-0"]}))
        assert_that(workers_by_pool(lone), Equals({"braille": [], "print": []}))
