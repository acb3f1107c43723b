"""Which entry owned the pool when, as the entries' logs tell."""

from __future__ import annotations

import re
from dataclasses import dataclass
from itertools import pairwise
from pathlib import Path

ELECTED = re.compile(r"^time=(\S+) .*event=owner_elected fence=(\d+) domain=(\S*)", re.MULTILINE)


@dataclass(frozen=True, kw_only=True)
class Election:
    """An entry that became owner, or a stand-in for the owner of one zone.

    :param at: seconds since the epoch.
    :param fence: fencing token of its term.
    :param zone: zone of a stand-in; empty for an owner of the whole pool.
    """

    at: float
    entry: str
    fence: int
    zone: str


class Elections:
    """Reads the elections from the logs in a folder, one for each entry."""

    def __init__(self, *, folder: Path) -> None:
        self._folder = folder

    def read(self) -> list[Election]:
        """Return all elections so far in the order of their fencing tokens."""
        elections = [
            Election(at=float(at), entry=path.stem, fence=int(fence), zone=zone.strip('"'))
            for path in self._folder.glob("*.log")
            for at, fence, zone in ELECTED.findall(path.read_text(errors="replace"))
        ]
        return sorted(elections, key=lambda election: election.fence)

    def newest(self) -> Election | None:
        """Return the newest election of an owner of the whole pool."""
        return next((e for e in reversed(self.read()) if not e.zone), None)

    def follows_newest(self, entry: str) -> bool:
        """Return whether an entry has noticed the newest owner of the whole pool."""
        newest = self.newest()
        if newest is None:
            return False
        line = f"event=owner_followed owner={newest.entry} fence={newest.fence} "
        return line in (self._folder / f"{entry}.log").read_text(errors="replace")

    def entries_by_fence(self) -> dict[int, str]:
        """Return the name of the entry that each fencing token belongs to."""
        return {election.fence: election.entry for election in self.read()}

    def count_returns(self, *, within_s: float) -> int:
        """Return how often an entry became owner again, at once or after one other owner.

        :param within_s: longest term of the other owner that counts.
        """
        owners = [election for election in self.read() if not election.zone]
        at_once = sum(1 for a, b in pairwise(owners) if a.entry == b.entry)
        after_another = sum(
            1
            for a, b, c in zip(owners, owners[1:], owners[2:], strict=False)
            if a.entry == c.entry != b.entry and c.at - b.at < within_s
        )
        return at_once + after_another
