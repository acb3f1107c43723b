"""The soak's own short run: real processes, faults from outside."""

from __future__ import annotations

import time
from pathlib import Path

import pytest
from testtools.assertions import assert_that
from testtools.matchers import EndsWith, Equals, GreaterThan, HasLength, MatchesListwise

from bench.soak.__main__ import play_day
from bench.soak._checks import Checks, SoakJob
from bench.soak._day import DayPlan
from bench.soak._elections import Elections
from bench.soak._worker import ListDelays, StandInRun


@pytest.mark.parametrize("seed", [1])
def test_a_short_day_keeps_every_promise(tmp_path: Path, seed: int):
    # Symptom of seed 1: a task ran twice at the same time. Sequence: the owner stood still; an
    # entry gave a job up that it had sent there, and the caller sent it to a stand-in's entry.
    # Cause: the owner woke and took the first sending for a new job.
    result = play_day(DayPlan(seed=seed, faults=8), tmp_path)
    assert_that(result.broken, Equals([]))
    assert_that(result.answers_by_status["200"], GreaterThan(10))


def test_a_short_day_of_several_cells_keeps_every_promise(tmp_path: Path):
    # Each zone is a cell: jobs of one cell run in another while their own has no owner.
    result = play_day(DayPlan(seed=2, entries=9, faults=8, cores=0.05), tmp_path)
    assert_that(result.broken, Equals([]))
    assert_that(result.answers_by_status["200"], GreaterThan(10))
    followed = [path.read_text().count("layout_followed") for path in tmp_path.glob("*.log")]
    assert_that(min(followed), GreaterThan(0))


def test_callers_come_back_after_pauses_and_cuts(tmp_path: Path):
    # Guards against a task that runs in two cells: an entry stood still with a request in its
    # socket, and its caller has sent the job again to another cell.
    kinds = ("cut_zone", "cut_one_way", "pause_entry", "silence", "delay", "kill_entry")
    plan = DayPlan(seed=402, entries=12, workers=48, faults=16, cores=0.05, kinds=kinds)
    result = play_day(plan, tmp_path)
    assert_that(result.broken, Equals([]))
    assert_that(result.answers_by_status["200"], GreaterThan(10))


def test_entries_that_are_told_to_end_cut_no_request_off(tmp_path: Path):
    # Symptom: a page is lost during planned work. Sequence: callers keep using their connections
    # to entries that get SIGTERM, one after the other, until these are gone.
    # Cause: a process ends with requests that it has read and not answered.
    plan = DayPlan(seed=5, faults=6, kinds=("drain_entry",))
    assert_that(play_day(plan, tmp_path).broken, Equals([]))


def test_evacuations_between_other_faults_keep_every_promise(tmp_path: Path):
    kinds = ("evacuate", "evacuate", "kill_entry", "store_slow", "drain_entry", "cut_zone")
    result = play_day(DayPlan(seed=7, faults=10, kinds=kinds), tmp_path)
    assert_that(result.broken, Equals([]))
    assert_that(result.answers_by_status["200"], GreaterThan(10))


def test_an_evacuated_zone_gets_nothing_new(tmp_path: Path):
    result = play_day(DayPlan(seed=8, faults=6, kinds=("evacuate",)), tmp_path)
    assert_that(result.broken, Equals([]))


@pytest.mark.parametrize("seed", [13])
def test_workers_that_lose_only_the_store_run_no_task_twice(tmp_path: Path, seed: int):
    # Guards against a second run of tasks on workers that a new owner never saw listed.
    kinds = ("cut_workers_from_store",) * 2 + ("kill_entry", "drain_entry", "drain_entry")
    result = play_day(DayPlan(seed=seed, faults=16, kinds=kinds), tmp_path)
    assert_that(result.broken, Equals([]))
    assert_that(result.answers_by_status["200"], GreaterThan(10))


@pytest.mark.parametrize("seed", [1105])
def test_an_entry_that_becomes_owner_again_runs_no_task_twice(tmp_path: Path, seed: int):
    # Guards against a second run that the same VM starts, one process and two terms later, of tasks
    # on workers that its own new process never saw listed.
    kinds = ("cut_workers_from_store",) * 2 + ("owner_returns",) * 2
    plan = DayPlan(seed=seed, workers=12, faults=16, kinds=kinds)
    result = play_day(plan, tmp_path)
    assert_that(result.broken, Equals([]))
    assert_that(result.answers_by_status["200"], GreaterThan(10))
    assert_that(result.owners_back, GreaterThan(0))


def test_workers_that_leave_or_shrink_while_owners_are_lost_get_nothing_more(tmp_path: Path):
    kinds = ("drain_worker", "resize_worker", "kill_entry", "kill_entry", "drain_entry")
    result = play_day(DayPlan(seed=9, faults=14, kinds=kinds), tmp_path)
    assert_that(result.broken, Equals([]))
    assert_that(result.answers_by_status["200"], GreaterThan(10))


@pytest.mark.parametrize("seed", [10, 11])
def test_workers_that_restart_under_their_id_keep_every_promise(tmp_path: Path, seed: int):
    # Guards against concurrent runs: an order that the earlier incarnation did not answer is
    # executed by the next one, up to 3 s late, while owners are lost and links are cut.
    kinds = ("restart_worker",) * 4 + ("worker_starts_late", "worker_loses_answers")
    kinds += ("kill_entry", "cut_zone", "drain_worker")
    result = play_day(DayPlan(seed=seed, faults=16, kinds=kinds), tmp_path)
    assert_that(result.broken, Equals([]))
    assert_that(result.answers_by_status["200"], GreaterThan(10))
    restarts = sum(path.read_text().count("worker_restarted") for path in tmp_path.glob("*.log"))
    assert_that(restarts, GreaterThan(0))


@pytest.mark.parametrize("delay_ms", [20, 5])
def test_workers_whose_lists_are_behind_run_no_task_twice(tmp_path: Path, delay_ms: int):
    # Guards against a second run of a task that one list leaves out, though no end of it is told.
    kinds = ("workers_lose_calls",) * 2 + ("worker_loses_answers", "worker_starts_late")
    delays = ListDelays(start_ms=delay_ms, end_ms=delay_ms, hides_stopping=True, share=0.9)
    plan = DayPlan(seed=2, entries=3, faults=4, kinds=kinds, tells_born=False, list_delays=delays)
    result = play_day(plan, tmp_path)
    assert_that(result.broken, Equals([]))
    assert_that(result.answers_by_status["200"], GreaterThan(10))


class FakeWorker:
    """A worker as the checks see it."""

    id = "worker-1"
    draining_since: float | None = None
    evacuated_since = None
    shrunk_since = 0.0
    is_full = False

    def is_over_capacity(self) -> bool:
        return self.is_full


@pytest.fixture
def checks() -> Checks:
    """Checks that know one job of two tasks."""
    checks = Checks()
    job = SoakJob(id="a", spec="spec of a", count=2, cpu=9_000, run_s=0.1)
    checks.jobs_by_id["a"] = job
    return checks


def rules(checks: Checks) -> list[str]:
    """Return the names of the broken rules."""
    checks.finish()
    return [line.split()[0] for line in checks.broken]


def test_the_checks_see_two_runs_at_the_same_time(checks: Checks):
    checks.note_start(FakeWorker(), "a.0.0.1", 1, "spec of a")
    checks.note_start(FakeWorker(), "a.0.0.1", 2, "spec of a")
    assert_that(rules(checks), Equals(["TWICE"]))


def test_the_checks_name_the_entries_that_started_two_runs(checks: Checks):
    checks.note_start(FakeWorker(), "a.0.0.1", 1, "spec of a", fence=4096)
    checks.note_start(FakeWorker(), "a.0.0.1", 2, "spec of a", fence=8192)
    checks.finish({4096: "entry-1", 8192: "entry-2"})
    line = checks.broken[0]
    later, earlier = line.split(" beside ")
    assert_that(later, EndsWith("from entry-2 under fence 8192"))
    assert_that(earlier, EndsWith("from entry-1 under fence 4096"))


ELECTED = "time={at} level=INFO logger=zincwell.election event=owner_elected fence={fence} domain="


@pytest.mark.parametrize(
    ("owners", "returns"), [("ab", 0), ("aa", 1), ("aba", 1), ("abca", 0), ("aaba", 2)]
)
def test_the_soak_counts_entries_that_become_owner_again(tmp_path: Path, owners: str, returns: int):
    for number, entry in enumerate(owners):
        with open(tmp_path / f"{entry}.log", "a") as log:
            log.write(ELECTED.format(at=f"{number}.000", fence=number + 1) + "\n")
    assert_that(Elections(folder=tmp_path).count_returns(within_s=2.0), Equals(returns))


def test_the_checks_count_a_run_as_at_work_until_its_end(checks: Checks):
    worker = FakeWorker()
    checks.note_start(worker, "a.0.0.1", 1, "spec of a")
    checks.note_start(worker, "a.0.0.1", 2, "spec of a")
    checks.note_end(worker, "a.0.0.1", 1, "done")
    checks.note_end(worker, "a.0.0.1", 2, "stopped")
    checks.note_start(worker, "a.0.0.1", 3, "spec of a")
    checks.finish()
    assert_that(checks.broken, HasLength(1))
    later, earlier = checks.broken[0].split(" beside ")
    assert_that([later, earlier], MatchesListwise([EndsWith("stopped"), EndsWith("done")]))


@pytest.mark.parametrize(
    ("at", "stopping", "is_listed"),
    [(0.004, False, False), (0.006, False, True), (0.094, False, True), (0.096, False, False)]
    + [(0.05, True, False)],
)
def test_a_list_that_is_behind_leaves_out_runs_at_work(at: float, stopping: bool, is_listed: bool):
    delays = ListDelays(start_ms=5, end_ms=5, hides_stopping=True)
    run = StandInRun("a.0.0.0", 1, 9_000, began_at=10.0, needs_s=0.1)
    run.ends_at, run.stopping = 10.1, stopping
    assert_that(delays.lists(run, 10.0 + at), Equals(is_listed))


@pytest.mark.parametrize(("task", "spec"), [("b.0.0.0", "spec of b"), ("a.0.0.2", "spec of a")])
def test_the_checks_see_a_start_that_nobody_asked_for(checks: Checks, task: str, spec: str):
    checks.note_start(FakeWorker(), task, 1, spec)
    assert_that(rules(checks), Equals(["UNASKED"]))


def test_the_checks_see_a_false_refusal(checks: Checks):
    job = checks.jobs_by_id["a"]
    job.sendings = 1
    checks.note_answer(job, 503, "")
    checks.note_start(FakeWorker(), "a.0.0.0", 1, "spec of a")
    assert_that(rules(checks), Equals(["REFUSED"]))


def test_the_checks_see_a_start_on_a_worker_that_leaves_though_an_entry_was_lost(checks: Checks):
    checks.harmed_at -= 10
    checks.disturb(harms=False)
    worker = FakeWorker()
    worker.draining_since = time.monotonic() - 2.5
    checks.note_start(worker, "a.0.0.1", 1, "spec of a")
    assert_that(rules(checks), Equals(["DRAIN"]))


def test_the_checks_see_a_start_beyond_a_capacity_that_has_shrunk(checks: Checks):
    checks.harmed_at -= 10
    worker = FakeWorker()
    worker.is_full, worker.shrunk_since = True, time.monotonic() - 2.5
    checks.note_start(worker, "a.0.0.1", 1, "spec of a")
    assert_that(rules(checks), Equals(["LIMIT"]))


def test_the_checks_tell_a_start_by_an_earlier_sending_from_a_later_one(checks: Checks):
    # Guards against a request that counts as lost, and that the entry has passed on to nobody: the
    # job had started by its caller's earlier sending, at another entry.
    job = checks.jobs_by_id["a"]
    checks.note_start(FakeWorker(), "a.0.0.0", 1, "spec of a")
    sent_at = time.monotonic()
    assert_that(
        [checks.has_started(job), checks.has_started(job, since=sent_at)], Equals([True, False])
    )
    checks.note_start(FakeWorker(), "a.0.0.1", 1, "spec of a")
    assert_that(checks.has_started(job, since=sent_at), Equals(True))


def test_the_checks_see_an_answer_before_the_end(checks: Checks):
    checks.note_start(FakeWorker(), "a.0.0.0", 1, "spec of a")
    checks.note_end(FakeWorker(), "a.0.0.0", 1, "done")
    checks.note_answer(checks.jobs_by_id["a"], 200, "succeeded")
    assert_that(rules(checks), Equals(["STATE"]))
