"""Message formats of the platform, and their conversion to and from zincwell's types."""

from __future__ import annotations

import math
import re
from typing import Annotated, Any

import msgspec
from msgspec import Meta, Struct

from zincwell._decoding import make_decoder
from zincwell.dispatch._types import Configuration, JobRequest, Route, Step, TaskId, WorkerInfo
from zincwell.dispatch.ports import ActiveRun, EndedRun, EndKind, HoldReply
from zincwell.exceptions import BadRequestError, DocumentError, MalformedJsonError

JOB_ID = re.compile(r"[0-9a-fA-F]{16}")
# Larger jobs are rejected before their tasks are created.
MAX_TASKS = 10_000
MAX_STEPS = 1_000
MAX_SPEC_BYTES = 4_000
# Of a task's demand and estimate, far above what any worker has or any task takes. Sums of larger
# values overflow.
MAX_TASK_SIZE = 10**12
DRAINING = "draining"
WORKER_STATES = ("ready", DRAINING)
WORKER_ADDRESS = re.compile(r"[0-9A-Za-z.-]+:[0-9]{1,5}")
# Larger capacities are implausible for a machine, so the record is malformed.
MAX_CAPACITY = 1e12
MAX_PORT = 65_535
# Unix time in ms in the year 2286. A record with a later start of its worker would outrank the
# worker's own records for good.
MAX_BORN_MS = 10**13
# Of the times and factors in the configuration; larger values make the objectives overflow.
MAX_ROUTE_VALUE = 1e12
# A task's name on the wire: job, occurrence, step and index.
TASK_NAME = re.compile(r"([^.]*)\.[0-9]+\.([0-9]{1,9})\.([0-9]{1,9})")
# Stands for bytes that are not valid text.
REPLACEMENT_CHARACTER = "\ufffd"
# A longer number of milliseconds is no plausible timeout.
MAX_TIMEOUT_DIGITS = 9
# Workers report this for a run that waited in vain for the other members of its gang.
# A worker lists this many ended runs at a time.
MAX_ENDED_ROWS = 500
GANG_INCOMPLETE = "alone"


BornMs = Annotated[int, Meta(ge=0, le=MAX_BORN_MS)]


class StepBody(Struct, rename="camel"):
    """A step of a caller's job.

    :param anti_affinity: maximum number of tasks of the step on one worker.
    :param persistent: the tasks run without an end.
    """

    count: int
    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0
    estimate_ms: float = 0
    after: list[int] = []
    requires: str = ""
    data_rack: str = ""
    anti_affinity: int = 0
    gang: bool = False
    same_rack: bool = False
    persistent: bool = False
    fills: bool = False


class JobBody(Struct, rename="camel"):
    """A caller's job."""

    spec: str
    steps: list[StepBody]
    best_effort: bool = False
    times: int = 0


class RouteBody(Struct, rename="camel"):
    """A route of the configuration.

    :param slo_ms: the latency objective of a job is its run time times ``stretch`` plus this.
    :param advice: if set, workers accept starts only with a ticket, which is not supported.
    """

    name: str
    host: str
    path_prefix: str
    service: str
    priority: int = 0
    attempts: int = 1
    stretch: float = 1.0
    slo_ms: float = 0
    advice: dict | None = None


class ServiceBody(Struct, rename="camel"):
    """A service.

    :param admission_check: its workers refuse runs that exceed their capacity.
    """

    name: str
    admission_check: bool = True


class LimitsBody(Struct, rename="camel"):
    """Limits on the size of callers' requests."""

    max_body_bytes: int = 1 << 20


class ConfigurationBody(Struct, rename="camel"):
    """The configuration document that operators write."""

    version: int
    routes: list[RouteBody]
    services: list[ServiceBody] = []
    limits: LimitsBody = msgspec.field(default_factory=LimitsBody)


class CapacityBody(Struct, rename="camel"):
    """Capacity of a worker; fields that are zero are left out."""

    cpu: float = 0
    mem_mb: float = 0
    gpu: float = 0


class WorkerBody(Struct, rename="camel"):
    """A worker's record in the store.

    :param labels: the worker's kind, then its rack.
    :param born: Unix time in ms at which the process started.
    """

    service: str
    addr: str
    zone: str
    state: str
    capacity: CapacityBody
    labels: list[str] = []
    born: BornMs = 0


class WorkerReplyBody(Struct, rename="camel"):
    """A worker's response to any call.

    ``running`` and ``ended`` are lists of rows, see :func:`decode_hold`.
    """

    clock_ms: int | None = None
    born: BornMs = 0
    reason: str = ""
    running: list[list] = []
    ended: list[list] = []


_decode_any = make_decoder(Any)
_decode_job_body = make_decoder(JobBody)
_decode_configuration_body = make_decoder(ConfigurationBody, strict=False)
_decode_worker_body = make_decoder(WorkerBody)
decode_worker_reply = make_decoder(WorkerReplyBody, strict=False)


def decode_job(body: bytes, *, job_id: str, route: Route, timeout_ms: int = 0) -> JobRequest:
    """Decode and validate a caller's job.

    :param timeout_ms: how long the caller waits for the answer; 0 if it did not say.
    :raises BadRequestError: if a field is invalid; the message names the field.
    :raises UnsupportedJobError: if the job or its route needs an unsupported feature.
    """
    if not JOB_ID.fullmatch(job_id):
        raise BadRequestError("id: not 16 hexadecimal digits")
    try:
        job = _decode_job_body(body)
    except MalformedJsonError as error:
        raise BadRequestError(str(error)) from error
    _check_supported(job, route)
    if len(job.spec.encode()) > MAX_SPEC_BYTES:
        raise BadRequestError(f"spec: longer than {MAX_SPEC_BYTES} bytes")
    if not 0 < len(job.steps) <= MAX_STEPS:
        raise BadRequestError(f"steps: not 1 to {MAX_STEPS}")
    steps = [_decode_step(number, step) for number, step in enumerate(job.steps)]
    if sum(step.count for step in steps) > MAX_TASKS:
        raise BadRequestError(f"steps: more than {MAX_TASKS} tasks")
    return JobRequest(
        id=job_id,
        spec=job.spec,
        steps=steps,
        route=route.name,
        service=route.service,
        priority=route.priority,
        attempts=route.attempts,
        stretch=route.stretch,
        objective_ms=route.objective_ms,
        timeout_ms=timeout_ms,
    )


def decode_timeout(text: str) -> int:
    """Return how long a caller waits for the answer, in ms; 0 if it did not say a valid time."""
    return int(text) if text.isascii() and text.isdigit() and len(text) <= MAX_TIMEOUT_DIGITS else 0


def _check_supported(job: JobBody, route: Route) -> None:
    if route.ticketed:
        raise UnsupportedJobError("advice: queues whose starts need a ticket are not supported")
    if not job.best_effort:
        raise UnsupportedJobError("bestEffort: jobs that must be stored are not supported")
    if job.times:
        raise UnsupportedJobError("times: scheduled jobs are not supported")
    for number, step in enumerate(job.steps):
        for name in ("gang", "same_rack", "persistent", "fills"):
            if getattr(step, name):
                raise UnsupportedJobError(f"steps[{number}].{name}: not supported")


class UnsupportedJobError(BadRequestError):
    """A job needs a feature that zincwell does not support."""


def _decode_step(number: int, step: StepBody) -> Step:
    if not 0 < step.count <= MAX_TASKS:
        raise BadRequestError(f"steps[{number}].count: not 1 to {MAX_TASKS}")
    sizes = (step.cpu, step.mem_mb, step.gpu, step.estimate_ms, step.anti_affinity)
    if not 0 <= min(sizes) <= max(sizes) <= MAX_TASK_SIZE:
        raise BadRequestError(f"steps[{number}]: a size is negative or too large")
    if any(not 0 <= earlier < number for earlier in step.after):
        raise BadRequestError(f"steps[{number}].after: names a step that is not earlier")
    return Step(
        count=step.count,
        cpu=step.cpu,
        memory_mb=step.mem_mb,
        gpu=step.gpu,
        estimate_ms=int(step.estimate_ms),
        after=step.after,
        label=step.requires,
        rack=step.data_rack,
        max_per_worker=step.anti_affinity,
    )


def decode_configuration(body: bytes) -> Configuration:
    """Decode the configuration document.

    :raises DocumentError: if a field is invalid; the message names the field.
    """
    try:
        document = _decode_configuration_body(body)
    except MalformedJsonError as error:
        raise DocumentError(str(error)) from error
    for number, route in enumerate(document.routes):
        # Numbers may be given as text, which may be "inf" or "nan".
        if not all(abs(value) <= MAX_ROUTE_VALUE for value in (route.slo_ms, route.stretch)):
            raise DocumentError(f"routes[{number}]: sloMs or stretch is no plausible number")
    return Configuration(
        version=document.version,
        routes=[
            Route(
                name=route.name,
                host=route.host,
                prefix=route.path_prefix,
                service=route.service,
                priority=route.priority,
                attempts=route.attempts,
                stretch=route.stretch,
                objective_ms=int(route.slo_ms),
                ticketed=bool(route.advice),
            )
            for route in document.routes
        ],
        guarded={service.name: service.admission_check for service in document.services},
        max_body_bytes=document.limits.max_body_bytes,
    )


def check_json(body: bytes) -> None:
    """Check that a record is JSON, whatever its content.

    :raises DocumentError: if it is not.
    """
    try:
        _decode_any(body)
    except MalformedJsonError as error:
        raise DocumentError(str(error)) from error


def decode_worker(worker_id: str, body: bytes) -> WorkerInfo:
    """Decode and validate a worker's record.

    Other programs may write to the same topic. A record with a missing field, a wrong type or an
    unknown state is rejected, since runs would be sent to an address that may be no worker.

    :raises DocumentError: if a field is invalid; the message names the field.
    """
    try:
        worker = _decode_worker_body(body)
    except MalformedJsonError as error:
        raise DocumentError(str(error)) from error
    if not is_text_key(worker_id):
        raise DocumentError(f"key: not valid text: {worker_id!a}")
    if worker.state not in WORKER_STATES:
        raise DocumentError(f"state: expected 'ready' or 'draining', got {worker.state!r}")
    if not WORKER_ADDRESS.fullmatch(worker.addr):
        raise DocumentError(f"addr: expected HOST:PORT, got {worker.addr!r}")
    if int(worker.addr.rpartition(":")[2]) > MAX_PORT:
        raise DocumentError(f"addr: port out of range in {worker.addr!r}")
    sizes = (worker.capacity.cpu, worker.capacity.mem_mb, worker.capacity.gpu)
    if not all(0 <= size <= MAX_CAPACITY for size in sizes):
        raise DocumentError("capacity: cpu, memMb or gpu is negative or too large")
    return WorkerInfo(
        id=worker_id,
        service=worker.service,
        address=worker.addr,
        zone=worker.zone,
        cpu=int(worker.capacity.cpu),
        memory_mb=int(worker.capacity.mem_mb),
        gpu=int(worker.capacity.gpu),
        labels=worker.labels,
        draining=worker.state == DRAINING,
        kind=worker.labels[0] if worker.labels else "",
        born_ms=worker.born,
    )


def is_text_key(key: str) -> bool:
    """Return whether a record's key is printable text, in which no bytes had to be replaced."""
    return bool(key) and key.isprintable() and REPLACEMENT_CHARACTER not in key


def format_task(task: TaskId) -> str:
    """Return a task's name on the wire; the 0 is the occurrence of a job that runs once."""
    return f"{task.job}.0.{task.step}.{task.index}"


def parse_task(name: str) -> TaskId:
    """Parse a task's name on the wire.

    :raises ValueError: if it is malformed.
    """
    match = TASK_NAME.fullmatch(name)
    if match is None:
        raise ValueError(f"not the name of a task: {name!a:.80}")
    job, step, index = match.groups()
    return TaskId(job, int(step), int(index))


def _parse_percent(value: object) -> float:
    percent = float(value)
    if not math.isfinite(percent):
        raise ValueError(f"percent: {percent}")
    return percent


def decode_hold(reply: WorkerReplyBody) -> HoldReply:
    """Decode a worker's response to a hold call: its active runs and the ended ones.

    :raises DocumentError: if a row is malformed.
    """
    try:
        return _decode_hold(reply)
    except (AttributeError, IndexError, OverflowError, TypeError, ValueError) as error:
        raise DocumentError(f"malformed row: {error!r}") from error


def _decode_hold(reply: WorkerReplyBody) -> HoldReply:
    return HoldReply(
        clock_ms=reply.clock_ms or 0,
        born_ms=reply.born,
        has_more_ended=len(reply.ended) >= MAX_ENDED_ROWS,
        running=[
            ActiveRun(task=parse_task(row[0]), run=int(row[1]), percent=_parse_percent(row[3]))
            for row in reply.running
        ],
        ended=[
            EndedRun(
                number=int(row[0]),
                task=parse_task(row[1]),
                run=int(row[2]),
                kind=EndKind.BROKEN if row[3] == GANG_INCOMPLETE else EndKind(row[3]),
            )
            for row in reply.ended
        ],
    )
