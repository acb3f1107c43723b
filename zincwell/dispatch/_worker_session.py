"""The owner's session with one worker: leases, start and stop orders, and run outcomes."""

from __future__ import annotations

import asyncio
import functools
import logging

from zincwell.dispatch._background import BackgroundTasks
from zincwell.dispatch._end_reports import EndAcknowledgements
from zincwell.dispatch._runs import EndCause, Run, RunOutcome
from zincwell.dispatch._runs_in_doubt import RunsInDoubt
from zincwell.dispatch._types import Limits, TaskId, WorkerInfo
from zincwell.dispatch._unanswered_orders import MAX_ORDER_DELAY_S, SentOrder, UnansweredOrders
from zincwell.dispatch._worker_calls import HOLD_WAIT_S, WorkerCalls, WorkerRestartedError
from zincwell.dispatch._worker_observer import WorkerObserver
from zincwell.dispatch.decisions import (
    MAX_ANSWER_TIMEOUT_S,
    MAX_LOOP_LAG_S,
    AnswerLossDetector,
    ListingDelayEstimator,
    choose_long_poll_wait_s,
    choose_order_retry_s,
    is_record_missing,
    leaves_orders_unanswered,
)
from zincwell.dispatch.ports import (
    ActiveRun,
    EndedRun,
    EndKind,
    HoldReply,
    StartStatus,
    WorkerCallError,
    WorkerClient,
    WorkerFencedError,
    WorkerReplacedError,
)

log = logging.getLogger("zincwell.worker")

# A stop order is repeated if the worker still reports the run after this time.
STOP_RETRY_S = 0.15
# Delay before retrying a worker that does not answer, times the number of failures, and before
# starting tasks on a worker that has refused one for lack of capacity.
RETRY_PAUSE_S = 0.05
MAX_RETRY_PAUSE_S = 0.4
# Retry delay for workers that are not in the platform's list or have been replaced.
UNLISTED_PAUSE_S = 1.0
# A silent worker that has left the list is dropped after this time. Partitions of a failure domain
# last seconds, those between regions minutes.
UNLISTED_TIMEOUT_S = 120.0
# The same for a worker that was draining. Its last lease has expired by then.
DRAINED_TIMEOUT_S = 2.0
# A worker that has left the list and has not answered for this long has no run of this owner or of
# the one before. Leases last 1.37 s at most.
NO_RUNS_AFTER_SILENCE_S = 5.0
# A worker that has not answered for this long may have accepted another owner, so it must report
# its runs again before it counts as held.
HELD_TIMEOUT_S = 0.5
# No tasks are started for this long after the worker has reported itself unhealthy.
UNHEALTHY_PAUSE_S = 0.5


class WorkerSession:
    """Sends orders to one incarnation of a worker under a fencing token and tracks its runs.

    The worker is polled continuously by "hold" calls, which renew the leases of its runs and
    report active and ended runs. A worker that does not answer may be alive and continue its runs
    until their leases expire, so runs count as lost only once every requested lease has expired.

    :param info: the worker as the platform lists it.
    :param observer: receives the events of the session.
    :param fence: fencing token of the owner.
    :param loss_detector: shared by the owner's sessions, detects lost answers.
    :param listing_delay: shared by the owner's sessions.
    :param unanswered_orders: shared by the owner's sessions.
    :param renew_only_adopted: renew no leases while the worker has orphaned runs.
    :ivar orphaned_runs: number of each reported run that belongs to no known job, by task.
    :ivar held: whether the worker has accepted the fencing token and reported its runs.
    :ivar silent: whether the worker has stopped answering.
    :ivar fenced: whether the worker has accepted a higher fencing token.
    :ivar replaced: whether another process has answered at the worker's address.
    :ivar awaits_record: whether the worker has restarted and its new record is not known yet.
    :ivar on_probation: whether the worker gets one run at a time, after a quarantine.
    :ivar suspect: whether a single long run is the only evidence of its condition. Tasks start on
        other workers first.
    """

    def __init__(
        self,
        *,
        info: WorkerInfo,
        client: WorkerClient,
        observer: WorkerObserver,
        fence: int,
        limits: Limits,
        loss_detector: AnswerLossDetector,
        listing_delay: ListingDelayEstimator,
        unanswered_orders: UnansweredOrders,
        renew_only_adopted: bool = False,
    ) -> None:
        self.info = info
        self.runs: dict[TaskId, Run] = {}
        self.orphaned_runs: dict[TaskId, int] = {}
        self.held = False
        self.silent = False
        self.fenced = False
        self.replaced = False
        self.awaits_record = False
        self.evacuated = False
        self.pause_until = 0.0
        self.quarantined_until = 0.0
        self.on_probation = False
        self.suspect = False
        self.consecutive_failures = 0
        self.failed_jobs: set[str] = set()
        self._used_cpu = 0
        self._used_memory = 0
        self._used_gpu = 0
        self.last_answer_at = 0.0
        self._last_run_ended_at = 0.0
        self._long_poll_until = 0.0
        # Time of the newest list of runs on the worker's clock.
        self._listed_at_ms = 0
        self._renew_only_adopted = renew_only_adopted
        self._loss_detector = loss_detector
        self._observer = observer
        self._calls = WorkerCalls(
            info=info,
            client=client,
            fence=fence,
            limits=limits,
            born_ms=info.born_ms or None,
        )
        self._record_born_ms = info.born_ms
        self._ends = EndAcknowledgements()
        self._unanswered_orders = unanswered_orders
        # Orders to earlier incarnations whose tasks must not start here, as task and run number.
        self._orders_to_void: dict[tuple[TaskId, int], None] = {}
        self._leaves_orders_unanswered = False
        self._closed = False
        self._loop = asyncio.get_running_loop()
        self._opened_at = self._loop.time()
        self._listed = True
        self._unlisted_at = 0.0
        self._retry = asyncio.Event()
        self._tasks = BackgroundTasks()
        self._runs_in_doubt = RunsInDoubt(
            worker_id=info.id,
            is_known=lambda run: self.runs.get(run.task) is run,
            poll=self._poll_once,
            min_poll_interval_s=observer.min_poll_interval_s,
            stop=self._stop_run,
            on_missing=observer.on_run_missing,
            listing_delay=listing_delay,
            stop_timeout_s=limits.stop_timeout_s,
            tasks=self._tasks,
        )

    # -- lifecycle --------------------------------------------------------------------------

    def open(self) -> None:
        """Start polling the worker."""
        self._tasks.keep_running(
            self._hold_forever, name="worker", essential=False, on_failure=self._handle_poll_failure
        )

    def close(self) -> None:
        """Stop polling and cancel open calls."""
        self._closed = True
        self.held = False
        self._tasks.close()

    def take_over_from(self, previous: WorkerSession, *, born_ms: int) -> None:
        """Take over from the session with the previous incarnation of the worker, and close it.

        The runs of the previous incarnation ended with it, but this one may have executed orders
        that were sent to it. All runs are therefore kept until this one has reported its runs.
        """
        previous.close()
        self._calls.born_ms = born_ms
        self._calls.assume_leases(previous._calls)
        self._record_born_ms = max(previous._record_born_ms, self.info.born_ms)
        self._check_record()
        self._listed = previous._listed
        self._unlisted_at = previous._unlisted_at
        runs = list(previous.runs.values())
        previous.runs.clear()
        for run in runs:
            run.carry_over()
            self._add(run)
            if run.confirmed_at is None:
                self._schedule_start_check(run)
        self._orders_to_void = {
            (order.task, order.number): None
            for order in self._unanswered_orders.of_worker(self.info.id)
            if order.task not in self.runs
        }

    def set_listed(self, listed: bool) -> None:
        """Set whether the worker is in the platform's list."""
        if listed == self._listed:
            return
        self._listed = listed
        self._unlisted_at = self._loop.time()
        self._retry.set()

    def may_run_unlisted(self) -> bool:
        """Return whether the worker has left the list, but may be running tasks of this cell."""
        if self._listed or self.replaced:
            return False
        heard_at = max(self.last_answer_at, self._opened_at)
        return bool(self.runs) or self._loop.time() - heard_at < NO_RUNS_AFTER_SILENCE_S

    def may_hide_runs(self) -> bool:
        """Return whether runs of an earlier owner may be active that the worker has not reported.

        Not on a worker that has left the list and has never answered for so long: the leases of
        the earlier owner have expired. Whether there may be a stand-in that renews them is not
        decided here, see `OwnerListener.reaches_all_domains`.
        """
        if self.held or self.replaced:
            return False
        answered = self.last_answer_at > 0.0
        open_s = self._loop.time() - self._opened_at
        return self._listed or answered or open_s < NO_RUNS_AFTER_SILENCE_S

    def is_gone(self) -> bool:
        """Return whether the session can be closed.

        A worker behind a partition leaves the list as well, and continues under the owner on its
        side. It must report its runs again before tasks that it may be running are started here.
        """
        if self._listed or self.runs or not self.silent:
            return False
        if not self._calls.have_leases_expired():
            return False
        timeout_s = DRAINED_TIMEOUT_S if self.info.draining else UNLISTED_TIMEOUT_S
        return self.replaced or self._loop.time() - self._unlisted_at > timeout_s

    def update(self, info: WorkerInfo) -> None:
        """Update the worker's description from the platform's list.

        :param info: no record of an earlier incarnation.
        """
        if info.born_ms > self._record_born_ms:
            self._calls.info = info
            self._calls.born_ms = self._calls.born_ms or info.born_ms
            self._record_born_ms = info.born_ms
            self._check_record()
        self.info = info

    @property
    def born_ms(self) -> int | None:
        """The worker's incarnation, 0 if it sends none, None if that is not known yet."""
        return self._calls.born_ms

    @property
    def _may_restart_under_its_id(self) -> bool:
        return bool(self._calls.born_ms)

    def _check_record(self) -> None:
        # Kept as a value, since each placement asks for it once for each worker.
        self.awaits_record = is_record_missing(
            record_ms=self._record_born_ms, known_ms=self._calls.born_ms
        )

    def raise_fence(self, fence: int) -> None:
        """Send orders under a higher fencing token from now on.

        A silent worker is retried at once. After a partition has healed, its runs expire within a
        second unless their leases are renewed.
        """
        self._calls.fence = fence
        self._renew_only_adopted = False
        self._retry.set()
        if self.fenced:
            self.fenced = False
            self.held = False

    def can_start(self, now: float) -> bool:
        """Return whether tasks may be started on this worker, regardless of free capacity."""
        return (
            self.held
            and not self.silent
            and not self.fenced
            and not self.awaits_record
            and self.is_schedulable()
            and not self.orphaned_runs
            and now >= self.pause_until
            and now >= self.quarantined_until
            and not ((self.on_probation or self._leaves_orders_unanswered) and self.runs)
        )

    def can_serve(self, now: float) -> bool:
        """Return whether the worker counts towards the owner's capacity."""
        return (
            self.held
            and not self.silent
            and not self.awaits_record
            and self.is_schedulable()
            and now >= self.quarantined_until
        )

    def is_schedulable(self) -> bool:
        """Return whether the worker is neither draining nor evacuated."""
        return not self.info.draining and not self.evacuated

    def quarantine(self, *, until: float) -> None:
        """Start no tasks until a given time, then one at a time until a run is fast enough."""
        self.quarantined_until = until
        self.on_probation = True

    def may_move(self, run: Run) -> bool:
        """Return whether the task of a run could start elsewhere as soon as the run has ended."""
        return not self._unanswered_orders.may_start(run.task)

    def count_runs_of_step(self, job: str, step: int) -> int:
        """Return the number of runs of a step's tasks on this worker."""
        return sum(1 for task in self.runs if task.job == job and task.step == step)

    # -- orders -----------------------------------------------------------------------------

    def start(self, run: Run, *, spec: str) -> None:
        """Order a run. The observer is told how it ends."""
        if self._long_poll_until - self._loop.time() > HOLD_WAIT_S:
            self._loop.call_later(HOLD_WAIT_S, self._renew_leases_early, self._long_poll_until)
        run.spec = spec
        self._add(run)
        self._order(run)

    def _renew_leases_early(self, long_poll_until: float) -> None:
        """Renew the leases while a long poll of an idle worker is still open.

        A run that started during a long poll could be close to the end of its lease when the
        owner fails, and expire before the next owner renews it.
        """
        if (
            not self._closed
            and self._long_poll_until == long_poll_until
            and self._loop.time() < long_poll_until
            and self.runs
        ):
            self._tasks.spawn(self._poll_once())

    async def _poll_once(self) -> bool:
        """Poll the worker beside the polls that follow each other.

        Returns whether it has answered by a list that tells which runs are missing.
        """
        try:
            return await self._hold(0.0)
        except WorkerFencedError:
            self._handle_fenced()
        except WorkerReplacedError:
            self._handle_replaced()
        except WorkerRestartedError as error:
            self._observer.on_newer_incarnation(self, error.born_ms)
        except WorkerCallError as error:
            # The open long poll meets the same error and handles the runs.
            log.info('hold_unanswered worker=%s error="%s"', self.info.id, error)
        return False

    def stop(self, run: Run) -> None:
        """Stop a run. Its capacity stays reserved until the worker reports its end."""
        run.stopping = True
        run.stop_sent_at = self._loop.time()
        self._tasks.spawn(self._stop_run(run))

    def stop_orphaned_run(self, task: TaskId, number: int) -> None:
        """Stop a run that belongs to no job of this owner."""
        self._tasks.spawn(self._stop(task, number))

    def adopt(self, run: Run) -> None:
        """Take over a run that a previous owner started."""
        self._forget_orphaned_run(run.task)
        run.confirmed_at = self._loop.time()
        run.answered = True
        self._calls.assume_renewed()
        self._add(run)

    def _order(self, run: Run) -> None:
        """Send a start order, for the first time or again."""
        run.orders_sent += 1
        order = None
        if self._may_restart_under_its_id:
            order = self._unanswered_orders.add(run.task, run.number, worker_id=self.info.id)
        self._tasks.spawn(self._start(run, order))

    async def _start(self, run: Run, order: SentOrder | None) -> None:
        self._schedule_start_check(run)
        sent_at = self._loop.time()
        try:
            reply = await self._calls.start(run)
        except WorkerCallError as error:
            self._handle_unanswered_start(run, sent_at, error)
            return
        except WorkerFencedError:
            self._note_answered(order)
            if run.confirmed_at is None:
                self._remove_run(run, RunOutcome.NOT_STARTED, EndCause.FENCED)
            self._handle_fenced()
            return
        except WorkerReplacedError:
            self._note_answered(order)
            if run.confirmed_at is None and not self._unanswered_orders.may_start(run.task):
                self._remove_run(run, RunOutcome.NOT_STARTED, EndCause.REFUSED)
            self._handle_replaced()
            return
        if reply.status is StartStatus.STARTED and self.runs.get(run.task) is not run:
            # The run was given up, and its task must not start elsewhere while it may be active.
            return
        self._note_answered(order)
        run.answered = True
        if reply.status is StartStatus.STARTED:
            run.confirmed_at = run.confirmed_at or self._loop.time()
            if reply.clock_ms is not None:
                run.note_started(reply.clock_ms)
            return
        self._handle_refusal(run, reply.status)

    def _note_answered(self, order: SentOrder | None) -> None:
        if self._leaves_orders_unanswered:
            self._leaves_orders_unanswered = False
            self._observer.on_capacity_available()
        if order is not None:
            self._unanswered_orders.discard(order)

    def _handle_unanswered_start(self, run: Run, sent_at: float, error: WorkerCallError) -> None:
        """Leave the outcome of a start open until the worker confirms or reports the run.

        The worker refuses the order once its deadline has passed, unless it restarts. It is not
        silent if it has answered another call since the order was sent.
        """
        log.warning(
            'start_unanswered worker=%s task=%s run=%d error="%s"',
            self.info.id,
            run.task,
            run.number,
            error,
        )
        run.answered = True
        if self.last_answer_at < sent_at:
            self.silent = True

    def _schedule_start_check(self, run: Run) -> None:
        delay_s = choose_order_retry_s(
            copies=run.orders_sent, answer_timeout_s=self._calls.answer_timeout_s()
        )
        due_at = self._loop.time() + delay_s
        self._loop.call_at(due_at, self._check_start, run, due_at)

    def _check_start(self, run: Run, due_at: float) -> None:
        """Resolve the outcome of a start order whose answer is overdue.

        If the event loop lags, the answer may be waiting in a socket buffer. The additional calls
        for each start would increase the lag, so the check is rescheduled instead.
        """
        if self._closed or run.confirmed_at is not None or self.runs.get(run.task) is not run:
            return
        if run.answered and not self._may_restart_under_its_id:
            return
        if self._loop.time() - due_at > MAX_LOOP_LAG_S:
            self._schedule_start_check(run)
        elif not self._may_restart_under_its_id:
            self._runs_in_doubt.resolve(run)
        elif run.stopping:
            self._schedule_start_check(run)
            self._runs_in_doubt.resolve(run)
        else:
            self._order_again(run)

    def _order_again(self, run: Run) -> None:
        """Send a start order again, as far as the worker can be expected to execute it.

        Until the order is answered, or can't be executed any more, its task starts nowhere else:
        after a restart the worker could execute an earlier copy at any time.
        """
        if leaves_orders_unanswered(copies=run.orders_sent):
            self._leaves_orders_unanswered = True
        if not self._may_order_again(run):
            self._schedule_start_check(run)
            return
        log.info(
            "start_repeated worker=%s task=%s run=%d copies=%d",
            self.info.id,
            run.task,
            run.number,
            run.orders_sent,
        )
        self._order(run)

    def _may_order_again(self, run: Run) -> bool:
        now = self._loop.time()
        return (
            self.held
            and not self.silent
            and not self.fenced
            and not self.awaits_record
            and self.is_schedulable()
            and now >= self.pause_until
            and now < run.ordered_at + MAX_ORDER_DELAY_S
            and min(self.free_cpu, self.free_memory, self.free_gpu) >= 0
            and self._observer.may_order_again(self, run.task)
        )

    def _void_earlier_orders(self) -> None:
        """Let the worker refuse the orders to earlier incarnations that are not to run here.

        A stop order that fails is sent again after the next answer of the worker.
        """
        orders, self._orders_to_void = self._orders_to_void, {}
        for task, number in orders:
            if task not in self.runs and self._unanswered_orders.may_start(task):
                self._tasks.spawn(self._void_earlier_order(task, number))

    async def _void_earlier_order(self, task: TaskId, number: int) -> None:
        if not await self._stop(task, number):
            self._orders_to_void[task, number] = None

    def _handle_refusal(self, run: Run, status: StartStatus) -> None:
        """Handle an order that starts no run; another copy of it may have started it."""
        if run.confirmed_at is not None:
            return
        log.info(
            "start_refused worker=%s task=%s run=%d status=%s free_cpu=%d",
            self.info.id,
            run.task,
            run.number,
            status.name,
            self.free_cpu,
        )
        if status in (StartStatus.UNHEALTHY, StartStatus.NO_ROOM):
            pause_s = UNHEALTHY_PAUSE_S if status is StartStatus.UNHEALTHY else RETRY_PAUSE_S
            self.pause_until = self._loop.time() + pause_s
            self._loop.call_later(pause_s, self._observer.on_capacity_available)
        if status is StartStatus.INVALID:
            self._unanswered_orders.discard_task(run.task)
            self._remove_run(run, RunOutcome.FAILED, EndCause.REFUSED)
        elif not self._unanswered_orders.may_start(run.task):
            self._remove_run(run, RunOutcome.NOT_STARTED, EndCause.REFUSED)

    async def _stop_run(self, run: Run) -> bool:
        """Send a stop order of a run; return whether the worker has answered it."""
        if not await self._stop(run.task, run.number):
            return False
        if run.refused_since is None:
            run.refused_since = self._loop.time()
        return True

    async def _stop(self, task: TaskId, number: int) -> bool:
        """Send a stop order; return whether the worker has answered it."""
        try:
            await self._calls.stop(task, number)
            return True
        except WorkerFencedError:
            self._handle_fenced()
        except (WorkerCallError, WorkerReplacedError) as error:
            # The hold loop repeats the stop order if the run is still active.
            log.info('stop_unanswered worker=%s task=%s error="%s"', self.info.id, task, error)
        return False

    # -- polling and leases -----------------------------------------------------------------

    async def _hold_forever(self) -> None:
        failures = 0
        while True:
            try:
                if failures == 0 and not self.silent and self.held:
                    await self._wait_for_end_reports()
                    await self._hold_until_run_ends()
                else:
                    await self._hold(0.0)
                failures = 0
                continue
            except WorkerFencedError:
                self._handle_fenced()
            except WorkerReplacedError:
                self._handle_replaced()
            except WorkerRestartedError as error:
                self._observer.on_newer_incarnation(self, error.born_ms)
                return
            except WorkerCallError as error:
                if failures == 0:
                    log.warning(
                        'worker_silent worker=%s runs=%d error="%s"',
                        self.info.id,
                        len(self.runs),
                        error,
                    )
                self.silent = True
            failures += 1
            self._review_silence()
            await self._pause(failures)

    def _review_silence(self) -> None:
        """Draw the conclusions from a poll without a valid answer."""
        if self._loop.time() - self.last_answer_at > HELD_TIMEOUT_S:
            self.held = False
        # The owner that a worker follows instead may renew the leases of its runs.
        if self.runs and not self.fenced and self._calls.have_leases_expired():
            self._abandon_expired_runs()

    def _handle_poll_failure(self) -> None:
        """Treat a poll that has failed in an unforeseen way like one without an answer."""
        self.silent = True
        self._review_silence()

    async def _pause(self, failures: int) -> None:
        """Wait before the next attempt, at most until the listing or the fencing token changes."""
        pause_s = min(RETRY_PAUSE_S * failures, MAX_RETRY_PAUSE_S)
        if not self._listed or (self.replaced and not self.runs):
            pause_s = UNLISTED_PAUSE_S
        elif self._unanswered_orders.is_expected_at(self.info.id):
            # Tasks wait for this worker, or it must be told to refuse orders if it restarts.
            pause_s = RETRY_PAUSE_S
        self._retry.clear()
        try:
            async with asyncio.timeout(pause_s):
                await self._retry.wait()
        except TimeoutError:
            pass  # The delay has passed.

    async def _hold_until_run_ends(self) -> None:
        """Renew the leases and long-poll for ended runs; poll again at once if the answer is lost.

        Without the second poll, ends of runs would be noticed half a second late. That is ten
        times the run time of the shortest tasks, and with one call in fifteen lost most jobs would
        wait for it.
        """
        now = self._loop.time()
        wait_s = choose_long_poll_wait_s(
            max_wait_s=HOLD_WAIT_S,
            next_end_s=self._next_end_s(now),
            lossy=self._loss_detector.is_lossy(now),
            min_wait_s=self._observer.min_poll_interval_s(),
            idle_s=now - self._last_run_ended_at,
        )
        self._long_poll_until = now + wait_s
        answer_timeout_s = self._calls.answer_timeout_s()
        try:
            await self._hold(wait_s, answer_timeout_s=answer_timeout_s)
        except WorkerCallError as error:
            late_s = self._loop.time() - now - wait_s - answer_timeout_s
            log.info('hold_lost worker=%s error="%s"', self.info.id, error)
            asked_at = self._loop.time()
            await self._hold(0.0)
            self._loss_detector.note_timeout(
                self._loop.time(),
                late_s=late_s,
                answer_timeout_s=answer_timeout_s,
                next_answer_s=self._loop.time() - asked_at,
            )

    async def _wait_for_end_reports(self) -> None:
        """Delay the next poll until the entries know of the ends that the last one brought.

        The entries usually confirm within milliseconds. A worker with unacknowledged ends answers
        each poll at once, so polls would follow each other without a pause.
        """
        if self._ends.has_held():
            await self._ends.wait_until_released(self._observer.min_poll_interval_s())

    def _next_end_s(self, now: float) -> float | None:
        """Return the time in seconds until the next run is expected to end; None without runs."""
        remaining_s = (
            run.remaining_s(now, expected_s=run.expected_s) for run in self.runs.values()
        )
        return min(remaining_s, default=None)

    async def _hold(self, wait_s: float, *, answer_timeout_s: float = MAX_ANSWER_TIMEOUT_S) -> bool:
        """Poll the worker and apply its answer; return whether it tells which runs are missing."""
        sent_at = self._loop.time()
        reply = await self._calls.hold(
            renew_leases=self._may_renew_leases(), wait_s=wait_s, answer_timeout_s=answer_timeout_s
        )
        self.last_answer_at = self._loop.time()
        is_new = self._apply_reply(reply, sent_at)
        if self.silent:
            log.info("worker_back worker=%s runs=%d", self.info.id, len(self.runs))
            self.silent = False
            self._observer.on_capacity_available()
        if not self.held:
            self.held = True
            self._observer.on_held(self)
        return is_new

    def _may_renew_leases(self) -> bool:
        """Return whether the next poll may renew the leases of the worker's runs.

        A silent worker may receive requests although its answers are lost. Every lease requested
        from it would postpone the time at which its runs have certainly ended.

        With ``renew_only_adopted``, orphaned runs are not renewed. Another owner, possibly behind
        a partition, relies on their expiry before it starts the tasks elsewhere.
        """
        if self.silent:
            return False
        return not self._renew_only_adopted or (self.held and not self.orphaned_runs)

    def _apply_reply(self, reply: HoldReply, sent_at: float) -> bool:
        """Apply an answer to a poll; return whether its list tells which runs are missing."""
        now = self._loop.time()
        for row in sorted(reply.ended, key=lambda row: row.number):
            if row.number > self._ends.processed:
                self._process_end(row)
        self._calls.acknowledged = self._ends.acknowledged()
        self._calls.clock.update(reply.clock_ms)
        if reply.clock_ms < self._listed_at_ms:
            # A later list arrived first on another connection.
            return False
        self._listed_at_ms = reply.clock_ms
        for row in reply.running:
            self._note_active_run(row, reply.clock_ms, now)
        if not reply.has_more_ended:
            self._review_missing_runs(reply, sent_at)
        self._void_earlier_orders()
        self._observer.on_progress_reported(self, reply.clock_ms)
        return not reply.has_more_ended

    def _review_missing_runs(self, reply: HoldReply, sent_at: float) -> None:
        """Review the runs that the worker lists neither as active nor as ended."""
        listed = {row.task for row in reply.running}
        ended = self._runs_in_doubt.review(
            list(self.runs.values()),
            listed=listed,
            asked_at=sent_at,
            may_start=lambda run: self._may_order_be_executed(run, reply.clock_ms, sent_at),
        )
        for run in ended:
            self._handle_missing_run(run)
        if self.orphaned_runs:
            tasks = self._runs_in_doubt.review_orphans(
                self.orphaned_runs, listed=listed, asked_at=sent_at
            )
            for task in tasks:
                self._forget_orphaned_run(task)

    def _forget_orphaned_run(self, task: TaskId) -> None:
        self._runs_in_doubt.forget_orphan(task)
        if self.orphaned_runs.pop(task, None) is not None and not self.orphaned_runs:
            # Nothing starts on a worker with orphaned runs.
            self._observer.on_capacity_available()

    def _forget_orphaned_runs(self) -> None:
        self.orphaned_runs.clear()
        self._runs_in_doubt.forget_orphans()

    def _handle_missing_run(self, run: Run) -> None:
        """Handle a run that the worker neither reports nor can start by an order that it refuses.

        A run that was lost with an earlier incarnation is ordered again here if this one may
        execute an earlier copy of its order.
        """
        if run.confirmed_at is None:
            self._remove_run(run, RunOutcome.NOT_STARTED, EndCause.NEVER_LISTED)
        elif run.carried and not run.stopping and self._unanswered_orders.may_start(run.task):
            run.confirmed_at = None
            run.ended_with_incarnation = False
            self._schedule_start_check(run)
        else:
            cause = EndCause.RESTARTED if run.ended_with_incarnation else EndCause.NOT_LISTED
            self._remove_run(run, RunOutcome.LOST, cause)

    def _process_end(self, row: EndedRun) -> None:
        self._ends.processed = row.number
        self._forget_orphaned_run(row.task)
        run = self.runs.get(row.task)
        if run is None or run.number != row.run:
            self._observer.on_orphaned_run_ended(row.task, row.kind)
        else:
            if row.kind is EndKind.STOPPED:
                self._runs_in_doubt.note_stopped(run)
            self._remove_run(run, _outcome_of(row.kind), EndCause.REPORTED)
        if row.kind is EndKind.DONE:
            release = functools.partial(self._release_end, row.number)
            if self._observer.call_when_end_is_known(row.task, release):
                self._ends.hold(row.number)

    def _release_end(self, number: int) -> None:
        self._ends.release(number)
        self._calls.acknowledged = self._ends.acknowledged()

    def _note_active_run(self, row: ActiveRun, clock_ms: int, now: float) -> None:
        run = self.runs.get(row.task)
        if run is None:
            run = self._observer.on_orphaned_run(self, row.task, row.run)
            if run is None:
                if row.task not in self.orphaned_runs:
                    self._calls.assume_renewed()
                self.orphaned_runs[row.task] = row.run
                return
            self.adopt(run)
        if run.number != row.run:
            return
        run.listed, run.missing = True, False
        if run.confirmed_at is None or run.ended_with_incarnation:
            run.confirmed_at = now
            run.ended_with_incarnation = False
        run.note_progress(clock_ms, percent=row.percent)
        if run.stopping and now - run.stop_sent_at > STOP_RETRY_S:
            self.stop(run)

    def _may_order_be_executed(self, run: Run, clock_ms: int, sent_at: float) -> bool:
        """Return whether an order of a run that was never confirmed may still be executed.

        A worker refuses start orders past their deadline. If it restarts, it does not, so a run
        that is to take place waits for its order.

        :param clock_ms: time of the worker's list on its clock.
        :param sent_at: when the list was asked for.
        """
        if self._may_restart_under_its_id and (run.carried or not run.stopping):
            return self._unanswered_orders.may_start(run.task)
        is_overdue = sent_at > run.ordered_at and clock_ms > run.start_deadline_ms
        return not (run.answered and is_overdue)

    # -- capacity ---------------------------------------------------------------------------
    # Values are negative while the worker's capacity has shrunk below the demand of its runs.

    @property
    def free_cpu(self) -> int:
        """Unreserved CPU in millicores."""
        return self.info.cpu - self._used_cpu

    @property
    def free_memory(self) -> int:
        """Unreserved memory in MB."""
        return self.info.memory_mb - self._used_memory

    @property
    def free_gpu(self) -> int:
        """Number of unreserved GPUs."""
        return self.info.gpu - self._used_gpu

    def _add(self, run: Run) -> None:
        self.runs[run.task] = run
        self._observer.on_run_added(self, run)
        self._used_cpu += run.cpu
        self._used_memory += run.memory_mb
        self._used_gpu += run.gpu

    def _remove_run(self, run: Run, outcome: RunOutcome, cause: EndCause) -> None:
        if self.runs.get(run.task) is not run:
            return
        del self.runs[run.task]
        self._last_run_ended_at = self._loop.time()
        self._used_cpu -= run.cpu
        self._used_memory -= run.memory_mb
        self._used_gpu -= run.gpu
        self._observer.on_run_ended(self, run, outcome, cause)

    def _abandon_expired_runs(self) -> None:
        """Count the runs as lost whose leases have expired and whose orders can't be executed.

        A silent worker may have restarted, and the new incarnation may execute an order that the
        earlier one has not answered, long after its deadline.
        """
        self._forget_orphaned_runs()
        expired = [
            run for run in self.runs.values() if not self._unanswered_orders.may_start(run.task)
        ]
        if expired:
            log.warning("lease_lapsed worker=%s runs=%d", self.info.id, len(expired))
        for run in expired:
            self._remove_run(run, RunOutcome.LOST, EndCause.LEASES_EXPIRED)

    def abandon_runs(self) -> None:
        """Count all runs as lost, since another worker is listed under the address and answers."""
        self._forget_orphaned_runs()
        for run in list(self.runs.values()):
            self._remove_run(run, RunOutcome.LOST, EndCause.REPLACED)

    def _handle_replaced(self) -> None:
        if not self.silent:
            log.warning("worker_replaced worker=%s runs=%d", self.info.id, len(self.runs))
        self.silent = True
        self.replaced = True
        self._observer.on_replaced(self)

    def _handle_fenced(self) -> None:
        self.fenced = True
        self._observer.on_fenced(self)


def _outcome_of(kind: EndKind) -> RunOutcome:
    if kind is EndKind.DONE:
        return RunOutcome.DONE
    if kind is EndKind.FAILED:
        return RunOutcome.FAILED
    return RunOutcome.STOPPED if kind is EndKind.STOPPED else RunOutcome.LOST
