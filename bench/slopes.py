"""Slopes of cost by size, for docs/capacity-first-core.md: ``python -m bench slopes NAME``.

Each measurement runs a few times, prints medians with the spread, and is stored as JSON with
the command that made it. Small stand-ins take the place of the platform and the workers.
"""

from __future__ import annotations

import asyncio
import os
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path

import msgspec
from msgspec import Struct

from bench._slopes_claims import measure_claims, measure_handover
from bench._slopes_config import measure_changes, measure_fold
from bench._slopes_figures import Figure, Sample, summarize
from bench._slopes_memory import measure_base, measure_memory
from bench._slopes_nodes import measure_list, measure_nodes
from bench._slopes_operators import measure_operators, measure_upkeep
from bench._slopes_recovery import measure_recovery
from bench._slopes_saturation import measure_saturation
from bench._slopes_tasks import measure_answers, measure_tasks

RESULTS = Path(__file__).parent / "results"
RUNS = 3

#: What can be measured, by name.
MEASURES: dict[str, Callable[[], Awaitable[list[Sample]]]] = {
    "tasks": measure_tasks,
    "saturation": measure_saturation,
    "answers": measure_answers,
    "claims": measure_claims,
    "handover": measure_handover,
    "nodes": measure_nodes,
    "list": measure_list,
    "memory": measure_memory,
    "base": measure_base,
    "fold": measure_fold,
    "changes": measure_changes,
    "recovery": measure_recovery,
    "operators": measure_operators,
    "upkeep": measure_upkeep,
}


class Result(Struct, kw_only=True):
    """What is stored of a measurement.

    :ivar load_average: of the machine over the last minute, before each run.
    """

    name: str
    command: str
    runs: int
    python: str
    processors: int
    load_average: list[float]
    figures: list[Figure]


async def run_measure(name: str, *, runs: int = RUNS) -> Result:
    """Run a measurement a few times, one after another."""
    samples: list[Sample] = []
    load_average = []
    for number in range(runs):
        load_average.append(round(os.getloadavg()[0], 2))
        samples += await MEASURES[name]()
        print(f"{name}: run {number + 1} of {runs} done", file=sys.stderr, flush=True)
    return Result(
        name=name,
        command=f"python -m bench slopes {name} --runs {runs}",
        runs=runs,
        python=sys.version.split()[0],
        processors=os.cpu_count() or 0,
        load_average=load_average,
        figures=summarize(samples),
    )


def write_result(result: Result, folder: Path) -> Path:
    """Store a result and return where."""
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / f"{result.name}.json"
    path.write_bytes(msgspec.json.format(msgspec.json.encode(result), indent=1) + b"\n")
    return path


def show(result: Result) -> str:
    """Return a table of a result."""
    lines = [f"# {result.command}; load average before each run {result.load_average}"]
    for figure in result.figures:
        lines.append(
            f"{figure.name:<58} {figure.median:>12.4g} {figure.unit:<14} "
            f"({figure.low:.4g} to {figure.high:.4g})"
        )
    return "\n".join(lines)


def measure(names: tuple[str, ...], *, runs: int, folder: Path) -> None:
    """Run measurements by name, print and store them."""
    for name in names or tuple(MEASURES):
        result = asyncio.run(run_measure(name, runs=runs))
        write_result(result, folder)
        print(show(result), flush=True)
