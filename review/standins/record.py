"""The record of a run: what was sent, answered and run."""

from __future__ import annotations

import time
from collections import defaultdict
from pathlib import Path


class Record:
    """Writes events with their time to a file, and finds simultaneous runs of one task."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._began = time.monotonic()
        self.starts = 0
        self.start_times: list[float] = []
        self.overlaps: list[str] = []
        self._running: dict[str, list[str]] = defaultdict(list)

    def now(self) -> float:
        """Return the seconds since the begin of the record."""
        return time.monotonic() - self._began

    def note(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{self.now():8.3f} {text}\n")
        self._file.flush()

    def note_start(self, task: str, run: int, worker: str) -> None:
        """Record the start of a run at a worker."""
        self.starts += 1
        self.start_times.append(self.now())
        self.note(f"start task={task} run={run} worker={worker}")
        if self._running[task]:
            line = f"{task} run {run} on {worker} beside {', '.join(self._running[task])}"
            self.overlaps.append(line)
            self.note(f"TWICE {line}")
        self._running[task].append(f"run {run} on {worker}")

    def note_end(self, task: str, run: int, worker: str, how: str) -> None:
        """Record the end of a run at a worker."""
        self._running[task].remove(f"run {run} on {worker}")
        self.note(f"end task={task} run={run} worker={worker} how={how}")

    def close(self) -> None:
        """Close the file."""
        self._file.close()
