"""Run scenarios: ``python -m bench run steady-50 burst`` or ``python -m bench run``."""

from __future__ import annotations

import asyncio
import dataclasses
from pathlib import Path
from typing import Any

import fire

from bench.driver import Report, Size, run_scenario, write_report
from bench.scenarios import SCENARIOS, Scenario
from bench.slopes import RESULTS, measure

OUT = Path(__file__).parent / "out"
HEADER = (
    f"{'scenario':<14} {'system':<9} {'jobs':>5} {'tasks':>6} {'p50':>6} {'p99':>7} {'small':>7} "
    f"{'max':>7} {'wasted':>7} {'refused':>7} {'double':>6} {'false':>5} {'cpu ms':>6}  outcomes"
)


class Commands:
    """Measure zincwell against a baseline."""

    def names(self) -> None:
        """Print the names of all scenarios."""
        print("\n".join(SCENARIOS))

    def slopes(self, *names: str, runs: int = 3, out: str = "") -> None:
        """Measure slopes of cost by size, all unless some are named.

        See docs/capacity-first-core.md.

        Args:
            names: measurements to make.
            runs: number of runs of each.
            out: folder for the results.
        """
        measure(names, runs=runs, folder=Path(out) if out else RESULTS)

    def run(
        self,
        *names: str,
        seed: int = 1,
        baseline: bool = True,
        out: str = "",
        pool: dict[str, Any] | None = None,
    ) -> None:
        """Run scenarios, all unless some are named, each with the baseline in the same run.

        Args:
            names: scenarios to run.
            seed: of arrivals and run times.
            baseline: whether to run the baseline too.
            out: folder for the results.
            pool: settings of the pool that differ from the defaults, such as {ordering:fifo}.
        """
        folder = Path(out) if out else OUT
        print(HEADER, flush=True)
        for name in names or SCENARIOS:
            for is_baseline in (False, True) if baseline else (False,):
                scenario = _with_pool(SCENARIOS[name], pool or {})
                if is_baseline and name in ("entry-killed", "log-down", "domain-cut"):
                    continue
                report = asyncio.run(
                    run_scenario(scenario, size=Size(), seed=seed, baseline=is_baseline)
                )
                write_report(report, folder)
                print(_row(report), flush=True)


def _with_pool(scenario: Scenario, pool: dict[str, Any]) -> Scenario:
    document = {**scenario.document, "pools": {"braille": pool}}
    return dataclasses.replace(scenario, document=document)


def _row(report: Report) -> str:
    ratio = report.ratio.get("all", {"p50": 0, "p99": 0, "max": 0})
    small = report.ratio.get("small", {"p99": 0})
    outcomes = " ".join(f"{name}={count}" for name, count in sorted(report.outcomes.items()))
    return (
        f"{report.scenario:<14} {report.system:<9} {report.jobs:>5} {report.tasks:>6} "
        f"{ratio['p50']:>6.2f} {ratio['p99']:>7.2f} {small['p99']:>7.2f} {ratio['max']:>7.2f} "
        f"{report.wasted_per_task:>7.4f} {report.refused_attempts:>7} "
        f"{report.double_starts:>6} {report.false_not_run:>5} "
        f"{report.cpu_ms_per_task:>6.2f}  {outcomes}"
    )


if __name__ == "__main__":
    fire.Fire(Commands)
