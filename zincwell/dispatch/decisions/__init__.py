"""Decision functions of the owner, free of clocks, connections and the event loop.

Each module takes plain values and returns a decision. Its docstring names the load condition that
it handles and the reasons for its limits.
"""

from zincwell.dispatch.decisions._admission import (
    ANSWER_EXPIRY_OBJECTIVES,
    LateJobDecision,
    RetrySchedule,
    choose_retry_after_s,
    count_waves,
    judge_late_job,
    latest_useful_age_s,
    meets_objective,
)
from zincwell.dispatch.decisions._answer_timeouts import (
    MAX_ANSWER_TIMEOUT_S,
    AnswerTimeoutEstimator,
)
from zincwell.dispatch.decisions._cell_selection import (
    NO_WORKERS_BACKLOG_S,
    SUSPECT_AFTER_S,
    CellState,
    choose_other_cell,
    should_use_home_cell,
)
from zincwell.dispatch.decisions._cells import (
    MIN_OWN_CELL_WORKERS,
    WORKERS_PER_CORE,
    CellShape,
    DomainSize,
    plan_cells,
)
from zincwell.dispatch.decisions._forecast import Demand, FreeCores, QueueSimulation, StartForecast
from zincwell.dispatch.decisions._incarnations import (
    Sighting,
    compare_incarnation,
    is_record_missing,
    may_start_late,
)
from zincwell.dispatch.decisions._job_leases import (
    ANNOUNCE_AFTER_S,
    ANNOUNCE_BY_S,
    ANNOUNCEMENT_KEPT_S,
    CellContact,
    JobTimes,
    may_start_job,
    must_end_job,
)
from zincwell.dispatch.decisions._offered_load import OfferedLoad
from zincwell.dispatch.decisions._order_retries import (
    choose_order_retry_s,
    leaves_orders_unanswered,
)
from zincwell.dispatch.decisions._polling import (
    MAX_LOOP_LAG_S,
    AnswerLossDetector,
    choose_long_poll_wait_s,
    min_poll_interval_s,
)
from zincwell.dispatch.decisions._run_ends import (
    ListingDelayEstimator,
    MissingRun,
    judge_missing_run,
)
from zincwell.dispatch.decisions._run_time_estimates import SLOW_WORKER_RATIO, RunTimeEstimator
from zincwell.dispatch.decisions._stragglers import (
    MIN_PROGRESS_PERCENT,
    RunEvidence,
    WorkerCondition,
    classify_run,
    is_move_worthwhile,
    is_on_time,
    is_slow_run,
    is_slow_worker,
    is_stalled,
    judge_worker,
)
from zincwell.dispatch.decisions._worker_choice import (
    LATE_CHANCE,
    ClassOutlook,
    RoomGauge,
    SpeedClass,
    WaitRecord,
    chance_in_time,
    choose_classes,
    group_by_speed,
)
from zincwell.dispatch.decisions._worker_knowledge import (
    REPORTS_MISSED_AT_EXPIRY,
    SILENT_OWNER_HAS_ENDED_JOBS_S,
    knows_every_worker,
    may_have_left_runs,
)
from zincwell.dispatch.decisions._worker_speeds import WorkerSpeeds, estimate_step_log

__all__ = [
    "ANNOUNCEMENT_KEPT_S",
    "ANNOUNCE_AFTER_S",
    "ANNOUNCE_BY_S",
    "ANSWER_EXPIRY_OBJECTIVES",
    "JobTimes",
    "LATE_CHANCE",
    "MAX_ANSWER_TIMEOUT_S",
    "MAX_LOOP_LAG_S",
    "MIN_OWN_CELL_WORKERS",
    "MIN_PROGRESS_PERCENT",
    "NO_WORKERS_BACKLOG_S",
    "REPORTS_MISSED_AT_EXPIRY",
    "SILENT_OWNER_HAS_ENDED_JOBS_S",
    "SLOW_WORKER_RATIO",
    "SUSPECT_AFTER_S",
    "WORKERS_PER_CORE",
    "AnswerLossDetector",
    "AnswerTimeoutEstimator",
    "CellContact",
    "CellShape",
    "CellState",
    "ClassOutlook",
    "Demand",
    "DomainSize",
    "FreeCores",
    "LateJobDecision",
    "ListingDelayEstimator",
    "MissingRun",
    "OfferedLoad",
    "QueueSimulation",
    "RetrySchedule",
    "RoomGauge",
    "RunEvidence",
    "RunTimeEstimator",
    "Sighting",
    "SpeedClass",
    "StartForecast",
    "WaitRecord",
    "WorkerCondition",
    "WorkerSpeeds",
    "chance_in_time",
    "choose_classes",
    "choose_long_poll_wait_s",
    "choose_order_retry_s",
    "choose_other_cell",
    "choose_retry_after_s",
    "classify_run",
    "compare_incarnation",
    "count_waves",
    "estimate_step_log",
    "group_by_speed",
    "is_move_worthwhile",
    "is_on_time",
    "is_record_missing",
    "is_slow_run",
    "is_slow_worker",
    "is_stalled",
    "judge_late_job",
    "judge_missing_run",
    "judge_worker",
    "knows_every_worker",
    "latest_useful_age_s",
    "leaves_orders_unanswered",
    "may_have_left_runs",
    "may_start_late",
    "meets_objective",
    "min_poll_interval_s",
    "may_start_job",
    "must_end_job",
    "plan_cells",
    "should_use_home_cell",
]
