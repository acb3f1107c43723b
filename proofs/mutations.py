"""The table of mutations: which text is replaced where, and which tests must then fail."""

from __future__ import annotations

from dataclasses import dataclass

PROPERTY = "tests/test_ownership_property.py"


@dataclass(frozen=True, kw_only=True)
class Edit:
    """One text replaced in one file.

    :param text: stands exactly once in the file.
    """

    file: str
    text: str
    replacement: str


@dataclass(frozen=True, kw_only=True)
class Mutation:
    """One mechanism taken out, which may stand in several places.

    :param tests: ids as pytest takes them; each must fail.
    """

    name: str
    edits: tuple[Edit, ...]
    tests: tuple[str, ...]


def _edit(file: str, text: str, replacement: str) -> Edit:
    return Edit(file=f"zincwell/{file}", text=text, replacement=replacement)


def _ownership(name: str, file: str, text: str, replacement: str) -> Mutation:
    return Mutation(
        name=f"ownership-{name}",
        edits=(_edit(file, text, replacement),),
        tests=(PROPERTY,),
    )


def _mutation(name: str, file: str, text: str, replacement: str, *tests: str) -> Mutation:
    return Mutation(name=name, edits=(_edit(file, text, replacement),), tests=tests)


def _worker(name: str, file: str, text: str, replacement: str, *tests: str) -> Mutation:
    ids = [f"tests/test_workers.py::{test}" for test in tests]
    return _mutation(f"worker-{name}", file, text, replacement, *ids)


def _configuration(name: str, file: str, text: str, replacement: str, *tests: str) -> Mutation:
    ids = [f"tests/test_configuration.py::{test}" for test in tests]
    return _mutation(f"configuration-{name}", file, text, replacement, *ids)


OWNERSHIP = [
    _ownership(
        "peers-unasked",
        "core/_seat.py",
        "return bool(others) and all(self._contact(seat).acked_at > oldest for seat in others)",
        "return bool(others)",
    ),
    _ownership(
        "log-contact-unchecked",
        "core/_seat.py",
        "        if self._follower.contact_at > oldest:\n            return True\n",
        "        if self._follower.contact_at > NEVER:\n            return True\n",
    ),
    _ownership(
        "always-fresh",
        "core/_home.py",
        "fresh = claim.created_at > known_since + self._timing.clock_margin_s",
        "fresh = True",
    ),
    _ownership(
        "joined-unchecked",
        "core/_seat.py",
        "if not self.is_open or not self.has_joined():",
        "if not self.is_open:",
    ),
    _ownership(
        "closing-acknowledged",
        "core/_seat.py",
        "return self._closing_offset_by_id.get(seat.id) != current.opened",
        "return True",
    ),
    _ownership(
        "no-wait-after-abrupt-close",
        "core/_home.py",
        "ABRUPT_CLOSE_WAIT_LEASES = 2",
        "ABRUPT_CLOSE_WAIT_LEASES = 0",
    ),
    _ownership(
        "refusals-forgotten",
        "core/_home.py",
        "return 0 < claim.attempt <= refused",
        "return False",
    ),
    _ownership(
        "handover-from-behind",
        "entry.py",
        "if reply.epoch >= self.membership.next_offset and reply.seat.id == seat.id:",
        "if reply.seat.id == seat.id:",
    ),
    _ownership(
        "late-grant-taken",
        "core/_ownership.py",
        "if self._clock.monotonic() - asked_at > self._timing.seat_lease_s:",
        "if False:",
    ),
    _ownership(
        "closed-grant-taken",
        "core/_submissions.py",
        "if reply.serial <= self._owned_jobs.closed_serial(key):",
        "if False:",
    ),
]

WORKERS = [
    _worker(
        "lost-stream-counts-as-unsent",
        "core/_worker.py",
        "            await self._recover(open_by_id, run)\n",
        "            self._release(open_by_id)\n"
        "            self._on_unsent(list(open_by_id.values()), 'lost')\n",
        "test_stream_broken_after_the_start",
        "test_silent_connection_while_new_ones_work",
        "test_worker_killed_mid_task",
    ),
    _worker(
        "lost-stream-counts-as-lost",
        "core/_worker.py",
        "            await self._recover(open_by_id, run)\n",
        "            self._release(open_by_id)\n"
        "            self._on_lost(list(open_by_id.values()))\n",
        "test_stream_broken_after_the_start",
        "test_silent_connection_while_new_ones_work",
        "test_idle_connection_gone_silent_before_a_start",
    ),
    _worker(
        "lease-unchecked",
        "core/_worker.py",
        "        if not self.is_usable():\n",
        "        if False:\n",
        "test_entry_paused_past_its_worker_leases",
    ),
    _worker(
        "length-unchecked",
        "adapters/_worker.py",
        "if event.kind is EventKind.COMPLETED and len(bytes(event.output)) != event.length:",
        "if False:",
        "test_output_shorter_than_it_says",
    ),
    _worker(
        "crossed-id-unchecked",
        "adapters/_worker.py",
        "        if event.id not in pending_ids:\n",
        "        if False:\n",
        "test_truncated_and_crossed_answers",
    ),
    _worker(
        "leaving-ignored",
        "core/_worker.py",
        "        if self._reports_leaving or self.vm.state is VmState.LEAVING:\n",
        "        if False:\n",
        "test_leaving_worker_gets_nothing_new",
    ),
    _worker(
        "no-hold-no-ejection",
        "core/_dispatch.py",
        "            worker.hold_slot(expected_end_at - self._clock.monotonic())\n"
        "            if pool.eject_if_outlier(worker):\n",
        "            if False:\n",
        "test_worker_that_fails_every_task_does_not_get_the_whole_queue",
    ),
    _worker(
        "siblings-run-on",
        "core/_dispatch.py",
        "        if outcome is not Outcome.COMPLETED:\n            self.give_up(job, reason)\n",
        "        if outcome is not Outcome.COMPLETED and job.unfinished == 0:\n"
        "            self.give_up(job, reason)\n",
        "test_task_failure_ends_the_job_at_once",
    ),
]

CONFIGURATION = [
    _configuration(
        "base-uncompared",
        "core/_configuration.py",
        "        if change.base != self.version:\n",
        "        if False:\n",
        "test_concurrent_changes_from_one_version",
    ),
    _configuration(
        "ids-ignored",
        "core/_configuration.py",
        "        if change.id not in self.verdict_by_id:\n",
        "        if True:\n",
        "test_answer_of_the_log_lost_after_the_append",
    ),
    _configuration(
        "no-answer-counts-as-refusal",
        "core/_publishing.py",
        '                log.info("append_unanswered", '
        'extra={"change": change["id"], "error": error})\n',
        "                detail = str(error)\n"
        '                return Err(PublishFailure(reason="log_unavailable", detail=detail))\n',
        "test_answer_of_the_log_lost_after_the_append",
    ),
    _configuration(
        "snapshots-off",
        "entry.py",
        "                self.snapshots.run(),\n",
        "",
        "test_entry_started_after_log_retention_loads_snapshot",
    ),
]

REPEATS = [
    _mutation(
        "configuration-repeat-judged-anew",
        "core/_configuration.py",
        "        if change.id not in self.verdict_by_id:\n",
        "        if True:\n",
        "tests/test_cli.py::test_publish_repeated_with_its_id",
        "tests/test_console.py"
        "::test_log_outage_keeps_the_draft_and_publishing_again_counts_once",
    )
]

LIFE = [
    _mutation(
        "drain-without-waiting-for-jobs",
        "entry.py",
        "        await self.owned_jobs.wait_answered()\n",
        "",
        "tests/test_take_over.py::test_drain_waits_for_jobs_that_no_caller_of_its_own_waits_for",
    ),
    _mutation(
        "drain-at-once",
        "entry.py",
        "        await self.callers.close()\n        await self.owned_jobs.wait_answered()\n",
        "",
        "tests/test_daemon.py::test_sigterm_under_load_cuts_nothing",
    ),
    _mutation(
        "seat-left-behind",
        "entry.py",
        "        await self._hand_over_seat()\n",
        "",
        "tests/test_daemon.py::test_drained_entry_leaves_its_homes_in_order",
    ),
    _mutation(
        "nothing-handed-over",
        "core/_home.py",
        "            for key in known.values()\n",
        "            for key in []\n",
        "tests/test_take_over.py::test_entry_that_joins_knows_what_the_home_before_it_granted",
        "tests/test_faults_ownership.py::test_entry_that_joins_learns_what_was_granted",
    ),
    _mutation(
        "first-attempt-trusted",
        "core/_home.py",
        "return claim.never_run and self._clock.wall() - claim.sent_at < longest_s",
        "return claim.never_run",
        "tests/test_faults_ownership.py::test_first_attempt_overtaken_by_the_second",
    ),
    _mutation(
        "keys-always-fresh",
        "core/_home.py",
        "fresh = claim.created_at > known_since + self._timing.clock_margin_s",
        "fresh = True",
        "tests/test_ownership.py::test_home_that_was_also_owner_is_killed",
        "tests/test_faults_ownership.py::test_home_that_owned_the_key_is_killed",
    ),
    _mutation(
        "spill-off",
        "core/_spill.py",
        "        if not pool.should_spill():\n            return\n",
        "        return\n",
        "tests/test_spill.py::test_burst_in_one_domain_uses_idle_slots_of_another",
    ),
]

OWNERS = [
    _mutation(
        "owner-digest-uncompared",
        "core/_jobs.py",
        "    return xxhash.xxh3_64_intdigest(msgspec.json.encode(content))\n",
        "    return 1\n",
        "tests/test_ownership.py::test_key_reused_for_other_work_is_refused",
    ),
    _mutation(
        "owner-run-uncompared",
        "core/_submissions.py",
        "        if call.owner != self._seat.id:\n"
        "            return AttachReply(kind=AttachKind.OTHER_RUN)\n"
        "        claiming = ",
        "        claiming = ",
        "tests/test_faults_ownership.py::test_owner_restarted_at_the_same_address",
    ),
    Mutation(
        name="home-lease-unchecked",
        edits=(
            _edit(
                "core/_seat.py",
                "        if not self.is_open or not self.has_joined():\n            return False\n",
                "        return True\n",
            ),
        ),
        tests=(
            "tests/test_ownership.py::test_home_paused_past_its_lease_grants_nothing_on_waking",
        ),
    ),
    _mutation(
        "owner-gone-counts-as-new",
        "core/_home.py",
        '        return ClaimReply(kind=ClaimKind.UNKNOWN, reason="home_changed")\n',
        "        return self._decide_new(asker, claim)\n",
        "tests/test_ownership.py::test_home_that_was_also_owner_is_killed",
    ),
]

# Mechanisms of which another one covers the loss in the tests; here both are out.
TOGETHER = [
    Mutation(
        name="together-answers-taken-under-any-id",
        edits=(
            _edit(
                "adapters/_worker.py",
                "        if event.id not in pending_ids:\n",
                "        if False:\n",
            ),
            _edit(
                "core/_worker.py",
                "            task = open_by_id.get(event.id)\n",
                "            task = open_by_id.get(event.id)\n"
                "            if task is None and event.kind is EventKind.COMPLETED:\n"
                "                task = next(iter(open_by_id.values()))\n"
                "                structs = __import__('msgspec').structs\n"
                "                event = structs.replace(event, id=task.id)\n",
            ),
        ),
        tests=("tests/test_workers.py::test_truncated_and_crossed_answers",),
    ),
    Mutation(
        name="together-lease-clock-unread",
        edits=(
            _edit(
                "core/_worker.py",
                "            return False\n        return self._lease is not None"
                " and self._clock.monotonic() < self._lease_until\n",
                "            return False\n        return self._lease is not None\n",
            ),
        ),
        tests=("tests/test_workers.py::test_entry_paused_past_its_worker_leases",),
    ),
    Mutation(
        name="home-first-attempt-trusted",
        edits=(
            _edit(
                "core/_home.py",
                "return claim.never_run and self._clock.wall() - claim.sent_at < longest_s",
                "return claim.never_run",
            ),
            _edit(
                "core/_submissions.py",
                "        return self._clock.wall() - sent_at < longest_s\n",
                "        return True\n",
            ),
        ),
        tests=("tests/test_faults_ownership.py::test_first_attempt_overtaken_by_the_second",),
    ),
    Mutation(
        name="together-health-ignored",
        edits=(
            _edit(
                "core/_dispatch.py",
                "            worker.hold_slot(expected_end_at - self._clock.monotonic())\n"
                "            if pool.eject_if_outlier(worker):\n",
                "            if False:\n",
            ),
            _edit(
                "core/_health.py",
                "        return max(1, round(slots * (1 - self.failure_rate)))\n",
                "        return slots\n",
            ),
        ),
        tests=(
            "tests/test_workers.py"
            "::test_worker_that_fails_every_task_does_not_get_the_whole_queue",
        ),
    ),
]

MUTATIONS = [*OWNERSHIP, *WORKERS, *CONFIGURATION, *REPEATS, *LIFE, *OWNERS, *TOGETHER]
