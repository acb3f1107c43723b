"""Play seeded days: ``python -m bench.soak --first 1 --days 50``."""

from __future__ import annotations

import asyncio
import logging
import sys
import tempfile
from pathlib import Path

import fire

from bench.soak._day import Day, DayPlan, DayResult
from bench.soak._worker import ListDelays


def play_day(plan: DayPlan, folder: Path) -> DayResult:
    """Play one day with its logs and settings in a folder."""
    return asyncio.run(Day(plan=plan, folder=folder).play())


def _split(kinds: str | tuple[str, ...]) -> tuple[str, ...]:
    """Return names from a text with commas, which the command line may have split already."""
    names = kinds.split(",") if isinstance(kinds, str) else kinds
    return tuple(name for name in names if name)


def soak(
    *,
    first: int = 1,
    days: int = 1,
    entries: int = 6,
    workers: int = 9,
    faults: int = 12,
    cores: float = 1.0,
    kinds: str | tuple[str, ...] = "",
    tells_born: bool = True,
    list_delay_ms: int = 0,
    end_delay_ms: int = 0,
    hides_stopping: bool = False,
    late_share: float = 0.9,
    logs: str = "",
    verbose: bool = False,
) -> None:
    """Play days and say what broke.

    :param first: seed of the first day; each next day has the next seed.
    :param cores: processor that entries say they have; 0.05 divides the pool into cells.
    :param kinds: faults to draw from, with commas between, such as ``drain_entry,cut_zone``.
    :param tells_born: whether workers tell their start time.
    :param list_delay_ms: workers list runs this long after they have answered their starts.
    :param end_delay_ms: runs leave these lists this long before their ends are listed.
    :param hides_stopping: runs are not listed while they are being stopped.
    :param late_share: share of the runs to which these three apply.
    :param logs: folder for the logs of the entries of days that broke something.
    """
    level = logging.INFO if verbose else logging.CRITICAL
    logging.basicConfig(level=level, format="%(created).3f %(message)s")
    red = 0
    is_behind = bool(list_delay_ms or end_delay_ms or hides_stopping)
    delays = ListDelays(
        start_ms=list_delay_ms,
        end_ms=end_delay_ms,
        hides_stopping=hides_stopping,
        share=late_share,
    )
    for seed in range(first, first + days):
        plan = DayPlan(
            seed=seed,
            entries=entries,
            workers=workers,
            faults=faults,
            cores=cores,
            kinds=_split(kinds),
            tells_born=tells_born,
            list_delays=delays if is_behind else None,
        )
        with tempfile.TemporaryDirectory(prefix="soak-") as name:
            result = play_day(plan, Path(name))
            if result.broken and logs:
                _keep(Path(name), Path(logs) / f"seed-{seed}")
        red += bool(result.broken)
        answers = " ".join(f"{k}:{v}" for k, v in sorted(result.answers_by_status.items()))
        print(
            f"seed={seed} jobs={result.jobs} starts={result.starts} answers={answers}"
            f" owners_back={result.owners_back}"
        )
        for line in result.broken:
            print(f"  {line}")
        sys.stdout.flush()
    print(f"days={days} red={red}")
    if red:
        sys.exit(1)


def _keep(source: Path, target: Path) -> None:
    target.mkdir(parents=True, exist_ok=True)
    for path in source.iterdir():
        (target / path.name).write_bytes(path.read_bytes())


if __name__ == "__main__":
    fire.Fire(soak)
