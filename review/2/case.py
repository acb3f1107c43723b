"""An entry of another writer in the worker list, nested too deeply to be read.

Exits with 1 if no request is served, 0 if requests are served, 2 if the case could not run.
"""

from __future__ import annotations

import asyncio
import os
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from standins.callers import Kind  # noqa: E402
from standins.pool import open_pool  # noqa: E402
from standins.record import Record  # noqa: E402
from standins.store import WORKERS  # noqa: E402

KINDS = [
    Kind(count=8, cpu=8_000, run_s=0.06),
    Kind(count=2, cpu=8_000, run_s=0.2),
    Kind(count=4, cpu=8_000, run_s=0.9),
]
STRAY_KEY = "inventory-agent"
# The other writer wraps its last document into each new one.
STRAY_LEVELS = 1_200
PAUSE_S = 3.0
TRAFFIC_S = 20.0
JOBS_PER_S = 10.0


def stray_entry() -> bytes:
    """Return a document without the fields of a worker, nested in itself."""
    return b'{"previous":' * STRAY_LEVELS + b"{}" + b"}" * STRAY_LEVELS


async def play(record: Record, *, trouble: bool) -> int:
    """Play the case and return the exit status."""
    async with open_pool(record, entries=4, workers=6, kinds=KINDS) as pool:
        await pool.wait_until_ready()
        if trouble:
            record.note(f"another writer puts servers/{STRAY_KEY}, {len(stray_entry())} bytes")
            pool.store.put(WORKERS, STRAY_KEY, stray_entry())
        await asyncio.sleep(PAUSE_S)
        await pool.callers.send_for(TRAFFIC_S, per_s=JOBS_PER_S)
        for entry in pool.entries:
            record.note(f"{entry.name} ready: {await pool.is_ready(entry)}")
            for line in entry.log_lines("task_failed", "RecursionError"):
                record.note(f"log of {entry.name}: {line[:160]}")
        callers = pool.callers
        record.note(
            f"jobs={callers.sent} served={callers.served} answers={callers.answers}"
            f" starts={record.starts} running={[e.is_running() for e in pool.entries]}"
        )
        print(f"jobs={callers.sent} served={callers.served} answers={callers.answers}")
        return 0 if callers.served else 1


def main() -> int:
    """Play the case, unless it can't run."""
    record = Record(HERE / "record.txt")
    try:
        return asyncio.run(play(record, trouble=os.environ.get("TROUBLE", "1") != "0"))
    except Exception as error:
        # An error of the case itself must not look like a broken rule.
        record.note(f"could not run: {error!r}")
        return 2
    finally:
        record.close()


if __name__ == "__main__":
    sys.exit(main())
