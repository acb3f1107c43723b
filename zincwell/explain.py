"""Reconstructs the timeline of a job from the logs of all entries."""

from __future__ import annotations

import re
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

from zincwell.exceptions import ZincwellError

TIMESTAMP = re.compile(r"\btime=(\d+\.\d+)")
# Events not tied to one job that may explain a delay or a second run of this one.
CONTEXT_EVENTS = re.compile(
    r"event=(owner_followed|owner_elected|owner_leaving|owner_closed|stepped_down"
    r"|layout_changed|layout_followed|worker_silent|worker_back"
    r"|worker_replaced|worker_set_aside|lease_lapsed|store_lost|store_regained|lines_dropped"
    r"|task_failed|loop_failed|message_failed|worker_call_failed|draining)\b"
)
# Context events are included from this long before the job's first line, since a lease lasts 1 s
# and an owner failover takes less.
CONTEXT_BEFORE_S = 2.0


class LogsError(ZincwellError):
    """A log file can't be read, or no log line is about the job."""


@dataclass(frozen=True, kw_only=True)
class LogLine:
    """One line of a log.

    :param source: name of the log file.
    :param at: seconds since 1970.
    :param text: the line without its time stamp.
    """

    source: str
    at: float
    text: str


def explain_job(job: str, paths: Iterable[Path]) -> list[str]:
    """Return the timeline of a job: its own log lines and the context events around them.

    :param job: id of the job.
    :param paths: log files of the entries, in any order.
    :raises LogsError: if a file can't be read or no line is about the job.
    """
    lines = sorted((line for path in paths for line in _read_lines(path)), key=lambda line: line.at)
    own = [line for line in lines if f"job={job}" in line.text or f"task={job}." in line.text]
    if not own:
        raise LogsError(f"no line is about job {job}")
    first, last = own[0].at, own[-1].at
    shown = [
        line
        for line in lines
        if line in own or _is_context_event(line, first - CONTEXT_BEFORE_S, last)
    ]
    return [_format(line, first) for line in shown]


def _read_lines(path: Path) -> list[LogLine]:
    try:
        text = path.read_text(encoding="utf-8", errors="replace")
    except OSError as error:
        raise LogsError(f"{path}: {error.strerror}") from error
    found = ((TIMESTAMP.search(row), row) for row in text.splitlines())
    return [
        LogLine(source=path.name, at=float(time.group(1)), text=row[time.end() :].strip())
        for time, row in found
        if time is not None
    ]


def _is_context_event(line: LogLine, start: float, end: float) -> bool:
    return start <= line.at <= end and CONTEXT_EVENTS.search(line.text) is not None


def _format(line: LogLine, first: float) -> str:
    return f"{(line.at - first) * 1000:+9.0f} ms  {line.source}  {line.text}"
