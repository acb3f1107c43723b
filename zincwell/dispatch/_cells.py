"""Cells: workers and entries that have one owner.

A cell has its own owner, queue and fencing tokens, and its take-overs touch no other cell. The
layout says which cells there are. It is a record in the store like the claims, in the same log, so
a claim that was prepared under one layout can't come through under the next.
"""

from __future__ import annotations

import zlib
from collections.abc import Iterable

import msgspec
from msgspec import Struct

from zincwell.dispatch._types import EntryInfo
from zincwell.dispatch.decisions import CellShape

LAYOUT_KEY = "layout"
OWNER_KEY = "owner"


class Cell(Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Workers of some failure domains, or of a part of one, and the entries there.

    :param name: differs from the names of all cells of earlier layouts; empty for the cell of a
        pool that was never divided.
    :param domains: its failure domains; empty for all.
    :param part: number of the part, if the domain is split into parts. Workers belong to parts by
        a hash of their ids.
    :param entries: names of the entries of a part. By a hash all strong ones could come to the same
        part, and another would have an owner that can't carry it; one that is not named anywhere
        goes by its hash.
    """

    name: str = ""
    domains: list[str] = []
    part: int = 0
    parts: int = 1
    entries: list[str] = []

    def claim_key(self) -> str:
        """Return the key of the claims of this cell in the store."""
        return f"{OWNER_KEY}/{self.name}" if self.name else OWNER_KEY

    def covers(self, domain: str, name: str) -> bool:
        """Return whether a worker or entry of a failure domain belongs here."""
        if self.domains and domain not in self.domains:
            return False
        return self.parts == 1 or zlib.crc32(name.encode()) % self.parts == self.part


class Layout(Struct, frozen=True, kw_only=True):
    """The cells of the pool."""

    cells: list[Cell]

    def cell_of(self, domain: str, name: str) -> Cell:
        """Return the cell of a worker or entry; the first for a domain that has none yet."""
        named = next((cell for cell in self.cells if name in cell.entries), None)
        if named is not None:
            return named
        return next((cell for cell in self.cells if cell.covers(domain, name)), self.cells[0])

    def shapes(self) -> list[CellShape]:
        """Return the shapes of the cells; parts of one domain count as one shape."""
        return [
            CellShape(domains=tuple(cell.domains), parts=cell.parts)
            for cell in self.cells
            if cell.part == 0
        ]


WHOLE_POOL = Cell()
UNDIVIDED = Layout(cells=[WHOLE_POOL])


def make_layout(
    shapes: list[CellShape], *, mark: str, before: Layout, entries: Iterable[EntryInfo]
) -> Layout:
    """Return a layout of these shapes; cells that stay as they are keep their names.

    :param mark: differs from the marks of all other layouts.
    :param entries: all entries, to be shared out to the parts of a domain by strength.
    """
    by_place = {(tuple(c.domains), c.part, c.parts): c for c in before.cells}
    ranked = sorted(entries, key=lambda entry: (-entry.cores, entry.name))
    cells = []
    for shape in shapes:
        for part in range(shape.parts):
            place = (shape.domains, part, shape.parts)
            name = f"{'+'.join(shape.domains)}.{part}.{mark}"
            inside = [entry.name for entry in ranked if entry.zone in shape.domains]
            made = Cell(
                name=name,
                domains=list(shape.domains),
                part=part,
                parts=shape.parts,
                entries=inside[part :: shape.parts] if shape.parts > 1 else [],
            )
            cells.append(by_place.get(place, made))
    return Layout(cells=cells)


def decode_layout(value: bytes) -> Layout | None:
    """Return a layout as it stands in the store, None if it can't be read."""
    try:
        layout = msgspec.json.decode(value, type=Layout)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return None
    return layout if layout.cells else None
