"""Cells: groups of workers and entries that share one owner.

Each cell has its own owner, queue and fencing tokens, and a take-over affects no other cell. The
layout lists the cells. It is stored in the same log as the claims, so that a claim prepared under
one layout fails its conditional append under the next.
"""

from __future__ import annotations

import zlib
from collections.abc import Iterable

from msgspec import Struct

from zincwell._decoding import make_decoder
from zincwell.dispatch._types import EntryInfo
from zincwell.dispatch.decisions import CellShape
from zincwell.exceptions import MalformedJsonError

LAYOUT_KEY = "layout"
OWNER_KEY = "owner"


class Cell(Struct, frozen=True, kw_only=True, omit_defaults=True):
    """The workers and entries of one or more failure domains, or of a part of one domain.

    :param name: unique among the cells of all layouts; empty for the single cell of a pool that was
        never divided.
    :param domains: failure domains of the cell; empty for all.
    :param part: index of the part, if the domain is split into parts. Workers are assigned to parts
        by a hash of their ids.
    :param parts: number of parts of the domain.
    :param entries: names of the entries of a part. They are listed because a hash could assign all
        entries with many cores to one part, and leave another with an owner too slow for it. An
        entry that no cell lists is assigned by the hash of its name.
    """

    name: str = ""
    domains: list[str] = []
    part: int = 0
    parts: int = 1
    entries: list[str] = []

    def claim_key(self) -> str:
        """Return the store key of this cell's claims."""
        return f"{OWNER_KEY}/{self.name}" if self.name else OWNER_KEY

    def covers(self, domain: str, name: str) -> bool:
        """Return whether a worker or entry of a failure domain belongs to this cell."""
        if self.domains and domain not in self.domains:
            return False
        return self.parts == 1 or zlib.crc32(name.encode()) % self.parts == self.part


class Layout(Struct, frozen=True, kw_only=True):
    """The cells of the pool."""

    cells: list[Cell]

    def cell_of(self, domain: str, name: str) -> Cell:
        """Return the cell of a worker or entry; the first cell if its domain has none yet."""
        listing_cell = next((cell for cell in self.cells if name in cell.entries), None)
        if listing_cell is not None:
            return listing_cell
        return next((cell for cell in self.cells if cell.covers(domain, name)), self.cells[0])

    def shapes(self) -> list[CellShape]:
        """Return the shapes of the cells; the parts of one domain share a shape."""
        return [
            CellShape(domains=tuple(cell.domains), parts=cell.parts)
            for cell in self.cells
            if cell.part == 0
        ]


WHOLE_POOL_CELL = Cell()
SINGLE_CELL_LAYOUT = Layout(cells=[WHOLE_POOL_CELL])


def make_layout(
    shapes: list[CellShape], *, suffix: str, previous: Layout, entries: Iterable[EntryInfo]
) -> Layout:
    """Return a layout with the given shapes; unchanged cells keep their names.

    :param suffix: suffix of the names of new cells, unique to this layout.
    :param previous: layout to be replaced.
    :param entries: all entries. The parts of a domain get its entries in turn, ordered by cores.
    """
    cells_by_key = {(tuple(c.domains), c.part, c.parts): c for c in previous.cells}
    ranked = sorted(entries, key=lambda entry: (-entry.cores, entry.name))
    cells = []
    for shape in shapes:
        for part in range(shape.parts):
            cell_key = (shape.domains, part, shape.parts)
            name = f"{'+'.join(shape.domains)}.{part}.{suffix}"
            entry_names = [entry.name for entry in ranked if entry.zone in shape.domains]
            new_cell = Cell(
                name=name,
                domains=list(shape.domains),
                part=part,
                parts=shape.parts,
                entries=entry_names[part :: shape.parts] if shape.parts > 1 else [],
            )
            cells.append(cells_by_key.get(cell_key, new_cell))
    return Layout(cells=cells)


_decode_layout_record = make_decoder(Layout)


def decode_layout(value: bytes) -> Layout | None:
    """Decode a layout; return None if it is invalid or has no cells."""
    try:
        layout = _decode_layout_record(value)
    except MalformedJsonError:
        return None
    return layout if layout.cells else None
