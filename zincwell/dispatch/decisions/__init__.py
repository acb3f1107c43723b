"""What the owner of the pool decides, apart from clocks, connections and the event loop.

Each module takes what is known as plain values and returns a decision. Its doc comment names the
load that it answers and why its limits stand where they do.
"""

from zincwell.dispatch.decisions._admission import (
    LATEST_OBJECTIVES,
    Prospect,
    choose_retry_s,
    count_waves,
    judge_behind,
    judge_in_order,
)
from zincwell.dispatch.decisions._cells import (
    WORKERS_PER_CORE,
    CellShape,
    DomainSize,
    plan_cells,
)
from zincwell.dispatch.decisions._forecast import Demand, FreeCores, Projection, Replay
from zincwell.dispatch.decisions._load import OfferedLoad
from zincwell.dispatch.decisions._patience import MAX_PATIENCE_S, AnswerTimes
from zincwell.dispatch.decisions._polling import (
    OWN_LATENESS_S,
    LossWatch,
    choose_wait_s,
    least_wait_s,
)
from zincwell.dispatch.decisions._runtimes import SLOW_WORKER, RunTimes
from zincwell.dispatch.decisions._spread import (
    NO_WORKERS_S,
    SUSPECT_S,
    CellState,
    choose_other_cell,
    is_served_at_home,
)
from zincwell.dispatch.decisions._stragglers import (
    MIN_PERCENT,
    is_slow_run,
    is_slow_worker,
    is_stalled,
    pays_to_move,
)

__all__ = [
    "LATEST_OBJECTIVES",
    "MAX_PATIENCE_S",
    "MIN_PERCENT",
    "NO_WORKERS_S",
    "OWN_LATENESS_S",
    "SLOW_WORKER",
    "SUSPECT_S",
    "WORKERS_PER_CORE",
    "AnswerTimes",
    "CellShape",
    "CellState",
    "Demand",
    "DomainSize",
    "FreeCores",
    "LossWatch",
    "OfferedLoad",
    "Projection",
    "Prospect",
    "Replay",
    "RunTimes",
    "choose_other_cell",
    "choose_retry_s",
    "choose_wait_s",
    "count_waves",
    "is_served_at_home",
    "is_slow_run",
    "is_slow_worker",
    "is_stalled",
    "judge_behind",
    "judge_in_order",
    "least_wait_s",
    "pays_to_move",
    "plan_cells",
]
