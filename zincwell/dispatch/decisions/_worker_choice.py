"""Choice among workers of uneven speed: which of them a job's tasks may use, and in which order.

Load condition: some workers run every task more than twice as long as others, and for some seconds
there is too little capacity. A long task on a slow worker misses its objective, while a short one
is in time there. If short tasks take the fast workers, only slow ones are free when a long task
arrives.

Workers are compared by speed class. Estimates of single workers are off by a few percent, and a
choice among them by speed would follow this noise and scatter the tasks over all workers, so that
none keeps room for a wide task.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping, Sequence
from typing import NamedTuple

# Workers whose slowdowns are within this factor are in one class. Workers of one kind differ by up
# to 1.5.
CLASS_RATIO = 1.5
# Standard deviation of the logarithm of a run time: of the tasks of one job, and of the caller's
# estimate of it.
TASK_DEVIATION = 0.15
ESTIMATE_DEVIATION = 0.4
# A start order and the report of the end take this long in total.
REPORT_DELAY_S = 0.02
# A class is in time for a job if all its waiting tasks end in time there with this probability.
IN_TIME_CHANCE = 0.8
# A job waits for a faster worker only if this raises its probability by at least this much.
MIN_WAIT_GAIN = 0.2
# A job below this probability counts as late. Fast workers are then left to others.
LATE_CHANCE = 0.3
# Room is short from the first of these shares of CPU in use on, until it is below the second. Tasks
# of unequal size leave about 0.15 unusable, so the first is reached only while tasks wait.
SHORT_ABOVE = 0.9
AMPLE_BELOW = 0.75
# Time constant of the mean of that share: a few of the shortest runs.
ROOM_TIME_CONSTANT_S = 0.25

# Weight of the newest wait in the success rate of waits, and the time constant with which it
# recovers without any. A shorter one forgets failed waits while the overload that caused them
# lasts.
WAIT_WEIGHT = 1 / 16
WAIT_RECOVERY_S = 4.0


class SpeedClass(NamedTuple):
    """Workers of similar speed.

    :param slowdown: how many times as long as on the typical worker tasks run on them.
    :param deviation: standard deviation of the logarithm of a member's slowdown around this.
    """

    slowdown: float
    deviation: float


def group_by_speed(
    speeds: Mapping[str, tuple[float, float]],
) -> tuple[list[SpeedClass], dict[str, int]]:
    """Group workers into speed classes; return the classes, fastest first, and that of each worker.

    :param speeds: slowdown and its uncertainty, by worker.
    """
    groups: list[list[str]] = []
    first = 0.0
    for worker in sorted(speeds, key=lambda name: (speeds[name][0], name)):
        slowdown = speeds[worker][0]
        if not groups or slowdown > first * CLASS_RATIO:
            groups.append([])
            first = slowdown
        groups[-1].append(worker)
    classes = [_summarize([speeds[worker] for worker in group]) for group in groups]
    return classes, {worker: number for number, group in enumerate(groups) for worker in group}


def _summarize(members: Sequence[tuple[float, float]]) -> SpeedClass:
    logs = [math.log(slowdown) for slowdown, _ in members]
    mean = sum(logs) / len(logs)
    variance = sum((log - mean) ** 2 for log in logs) / len(logs)
    variance += sum(uncertainty**2 for _, uncertainty in members) / len(members)
    return SpeedClass(math.exp(mean), math.sqrt(variance))


def chance_in_time(
    speed: SpeedClass,
    *,
    run_s: float,
    objective_s: float,
    age_s: float,
    stretch: float,
    known: bool,
) -> float:
    """Return the probability that a task that starts now on a class ends within its objective.

    The objective grows with the run time, so a wrong estimate matters only as far as age and the
    constant part make up the time that is left.

    :param run_s: expected run time on a typical worker.
    :param age_s: age of the job at the start.
    :param stretch: factor on the run time in the objective.
    :param known: whether a task of the same step has ended, so that its run time is known.
    """
    left_s = objective_s - age_s - REPORT_DELAY_S
    if left_s <= 0:
        return 0.0
    if run_s <= 0:
        return 1.0
    estimate_weight = abs(left_s - stretch * run_s) / left_s
    estimate_deviation = TASK_DEVIATION if known else ESTIMATE_DEVIATION
    deviation = math.hypot(speed.deviation, TASK_DEVIATION, estimate_weight * estimate_deviation)
    deviations = math.log(left_s / (run_s * speed.slowdown)) / deviation
    return 0.5 * (1 + math.erf(deviations / math.sqrt(2)))


class ClassOutlook(NamedTuple):
    """What one speed class offers a job.

    :param chance: probability that a task that starts there now ends in time.
    :param slots: how many of the job's waiting tasks have room there now.
    """

    chance: float
    slots: int


def required_chance(tasks: int) -> float:
    """Return the probability of ending in time that each of a job's waiting tasks needs.

    The last task decides, so each of many tasks needs a higher one.
    """
    return IN_TIME_CHANCE ** (1 / max(tasks, 1))


def choose_classes(
    outlooks: Sequence[ClassOutlook],
    *,
    tasks: int,
    short: bool,
    chance_of_waiting: Callable[[int], float],
) -> list[int]:
    """Return the speed classes on which tasks of a job may start now, the preferred one first.

    Classes that are in time come first: the fastest of them while there is room, the slowest while
    room is short. If they have too little room, the other tasks start late on slower workers or
    wait, whichever gives the last task the better chance. A job that will be late either way
    waits for nothing and, while room is short, leaves the fast workers to others.

    :param outlooks: by class, fastest first.
    :param tasks: number of waiting tasks.
    :param chance_of_waiting: returns the probability that the last of so many tasks ends in time
        if they wait for the next ends of runs on faster workers.
    """
    required = required_chance(tasks)
    in_time = [number for number, one in enumerate(outlooks) if one.chance >= required]
    others = [number for number, one in enumerate(outlooks) if one.chance < required]
    if short:
        in_time.reverse()
    missing = tasks - sum(outlooks[number].slots for number in in_time)
    if missing <= 0:
        return in_time + others
    start_chance = _chance_of_last(outlooks, others, missing=missing)
    wait_chance = chance_of_waiting(missing)
    if wait_chance >= max(start_chance + MIN_WAIT_GAIN, LATE_CHANCE):
        worthwhile = min(required, wait_chance)
        return in_time + [number for number in others if outlooks[number].chance >= worthwhile]
    if max(start_chance, wait_chance) >= LATE_CHANCE:
        return in_time + others
    everything = list(range(len(outlooks)))
    return everything[::-1] if short else everything


def _chance_of_last(
    outlooks: Sequence[ClassOutlook], classes: Sequence[int], *, missing: int
) -> float:
    """Return the chance of the last of the missing tasks if they start now, 0 without room."""
    for number in classes:
        missing -= outlooks[number].slots
        if missing <= 0:
            return outlooks[number].chance
    return 0.0


class RoomGauge:
    """Tells whether room is short, by the mean share of CPU in use, with hysteresis."""

    def __init__(self) -> None:
        self.is_short = False
        self._mean = 0.0
        self._latest = 0.0
        self._noted_at: float | None = None

    def note(self, *, used_share: float, waiting: bool, now: float) -> None:
        """Record the share of CPU in use; tasks that wait without room count as full use."""
        sample = 1.0 if waiting else used_share
        if self._noted_at is not None:
            weight = 1 - math.exp(-(now - self._noted_at) / ROOM_TIME_CONSTANT_S)
            self._mean += weight * (self._latest - self._mean)
        else:
            self._mean = sample
        self._latest, self._noted_at = sample, now
        self.is_short = self._mean > (AMPLE_BELOW if self.is_short else SHORT_ABOVE)


class WaitRecord:
    """Learns how often jobs that were left waiting find room while they are in time.

    The forecast of a wait knows the jobs ahead, but not those that will arrive and overtake it.
    Under overload most forecasts fail for this reason.
    """

    def __init__(self) -> None:
        self._rate = 1.0
        self._noted_at = 0.0

    def note(self, *, succeeded: bool, now: float) -> None:
        """Record that a job that was left waiting found room in time, or is late."""
        rate = self.success_rate(now)
        self._rate = rate + WAIT_WEIGHT * (succeeded - rate)
        self._noted_at = now

    def success_rate(self, now: float) -> float:
        """Return the share of waits that succeed; without waits it recovers to 1."""
        return 1 - (1 - self._rate) * math.exp(-(now - self._noted_at) / WAIT_RECOVERY_S)
