"""Stand-in for the platform's VM directory, which may return stale lists."""

from __future__ import annotations

import asyncio

import msgspec
from aiohttp import web

from zincwell.adapters._platform import ListReply
from zincwell.ports import Vm
from zincwell.standins._server import StandinServer, never_answer, reply


class StandinDirectory(StandinServer):
    """VM directory in memory; ``PUT /vms/{vm}`` and ``DELETE /vms/{vm}`` change it.

    Switches: ``down`` leaves reads unanswered, ``lag_s`` answers that many seconds after the
    list was read, ``empty`` returns an empty list.
    """

    switches = frozenset({"down", "lag_s", "empty"})

    def __init__(self) -> None:
        super().__init__()
        self.down = False
        self.lag_s = 0.0
        self.empty = False
        self.vms_by_name: dict[str, Vm] = {}
        self.app.router.add_get("/vms", self._list)
        self.app.router.add_put("/vms/{vm}", self._put)
        self.app.router.add_delete("/vms/{vm}", self._delete)

    def put(self, vm: Vm) -> None:
        """Add or replace a VM."""
        self.vms_by_name[vm.vm] = vm

    async def _list(self, _: web.Request) -> web.Response:
        if self.down:
            return await never_answer()
        listed = [] if self.empty else list(self.vms_by_name.values())
        await asyncio.sleep(self.lag_s)
        return reply(ListReply(vms=listed))

    async def _put(self, request: web.Request) -> web.Response:
        self.put(msgspec.json.decode(await request.read(), type=Vm))
        return reply({})

    async def _delete(self, request: web.Request) -> web.Response:
        self.vms_by_name.pop(request.match_info["vm"], None)
        return reply({})
