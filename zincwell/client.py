"""Client for callers: submits jobs and retries them safely.

All attempts carry the same idempotency key, so no task starts twice however often a job is sent.
"""

from __future__ import annotations

import asyncio
import json
import random
import threading
import time
import uuid
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

import aiohttp
import msgspec
from msgspec import Raw

from zincwell._call_errors import describe_call_error
from zincwell.exceptions import BadRequestError, ClientError, NotSentError
from zincwell.models import (
    DEFAULT_DEADLINE_MS,
    Answer,
    Outcome,
    Request,
    Submission,
    TaskSpec,
    decode_answer,
)

CONNECT_TIMEOUT_S = 1.0
MAX_BACKOFF_S = 5.0
MIN_BACKOFF_S = 0.05
CLOCK_TTL_S = 60.0
NETWORK_ERRORS = (aiohttp.ClientError, asyncio.TimeoutError, OSError)


@dataclass(frozen=True, kw_only=True)
class _EntryClock:
    """An entry's time and domain, with the local monotonic time at which they were read."""

    wall: float
    domain: str
    read_at: float

    def now(self) -> float:
        """Return a lower bound of the entry's current time."""
        return self.wall + time.monotonic() - self.read_at


@dataclass(frozen=True, kw_only=True)
class JobKey:
    """An idempotency key and its creation time by the entries' clock.

    Store both to fetch the answer later, also from another process. The creation time tells an
    entry whether it still remembers every run that the key may have had.
    """

    key: str
    created_at: float


class Client:
    """Asynchronous client.

    :param urls: base URLs of entries, or of a load balancer in front of them.
    :param tenant: the customer on whose behalf the work runs.

    Use it as an asynchronous context manager.
    """

    def __init__(self, *, urls: Sequence[str], tenant: str):
        if not urls:
            raise ClientError("urls is empty: expected at least one base URL of an entry")
        self._urls = list(urls)
        self._tenant = tenant
        self._clock: _EntryClock | None = None
        self._unsent_keys: set[str] = set()
        self._session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> Client:
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, keepalive_timeout=5.0)
        )
        return self

    async def __aexit__(self, *_: object) -> None:
        await self._session.close()

    async def submit(
        self,
        service: str,
        payloads: Sequence[Any],
        *,
        urgency: str = "normal",
        deadline_s: float = DEFAULT_DEADLINE_MS / 1000,
        run_ms: int = 0,
        key: JobKey | None = None,
    ) -> Answer:
        """Run one task per payload and return the answer of the whole job.

        :param payloads: JSON values, one per task.
        :param deadline_s: seconds after which the answer is no longer needed.
        :param run_ms: declared run time of a task in milliseconds, if known.
        :param key: key from :meth:`make_key`, to fetch the answer of an earlier submission or
            to allow that later; a new key unless given.
        :returns: an answer; check its ``outcome`` before its tasks.
        :raises ClientError: if no entry can be reached to create a key.
        :raises BadRequestError: if the submission is refused as malformed.
        """
        job_key = key or await self.make_key()
        tasks = [TaskSpec(payload=_encode_payload(payload), run_ms=run_ms) for payload in payloads]
        submission = Submission(
            key=job_key.key,
            created_at=job_key.created_at,
            tenant=self._tenant,
            service=service,
            tasks=tasks,
            urgency=urgency,
            deadline_ms=max(1, round(deadline_s * 1000)),
        )
        is_new = job_key.key in self._unsent_keys
        self._unsent_keys.discard(job_key.key)
        return await self._submit_until(submission, time.monotonic() + deadline_s, is_new)

    async def make_key(self) -> JobKey:
        """Create a new key.

        :raises ClientError: if no entry can be reached to read its clock.
        """
        clock = await self._entry_clock()
        key = f"{clock.domain}/{uuid.uuid4().hex}"
        self._unsent_keys.add(key)
        return JobKey(key=key, created_at=round(clock.now(), 3))

    async def request(
        self,
        service: str,
        payload: Any,
        *,
        idempotent: bool = False,
        urgency: str = "normal",
        deadline_s: float = DEFAULT_DEADLINE_MS / 1000,
    ) -> Answer:
        """Make a single call; the client sends it once and never retries it.

        :param payload: a JSON value.
        :param idempotent: whether the entry may start the task again after a failure.
        :param deadline_s: seconds after which the answer is no longer needed.

        :raises ClientError: if no entry can be reached.
        """
        message = Request(
            tenant=self._tenant,
            service=service,
            payload=_encode_payload(payload),
            idempotent=idempotent,
            urgency=urgency,
            deadline_ms=max(1, round(deadline_s * 1000)),
        )
        return await self._send("/v1/requests", message, deadline_s)

    async def cancel(self, key: str) -> Answer:
        """Cancel a submission.

        :param key: the ``key`` of its :class:`JobKey`.

        :raises ClientError: if no entry can be reached.
        """
        url = random.choice(self._urls) + "/v1/submissions"
        params = {"key": key, "tenant": self._tenant}
        try:
            async with self._session.delete(url, params=params) as response:
                return decode_answer(await response.read())
        except NETWORK_ERRORS as error:
            raise ClientError(f"{url}: {describe_call_error(error)}") from error

    async def _submit_until(
        self, submission: Submission, give_up_time: float, is_new: bool
    ) -> Answer:
        """Retry until there is a final answer or the deadline has passed.

        For a key created and first sent by this client, attempts are numbered and state whether
        all earlier ones were answered ``not_run``. For any other key the earlier attempts are
        unknown: no number is sent, and ``never_run`` is false.

        :param give_up_time: monotonic time after which no further attempt is made.
        :param is_new: whether this client created the key and has not sent it before.
        """
        attempt, never_run = 1, is_new
        tries = 0
        while True:
            tries += 1
            remaining_s = give_up_time - time.monotonic()
            message = msgspec.structs.replace(
                submission,
                attempt=attempt if is_new else None,
                never_run=never_run,
                sent_at=self._entry_time(),
                deadline_ms=max(1, round(remaining_s * 1000)),
            )
            answer, was_sent = await self._send_attempt(message, remaining_s)
            if answer is not None and answer.outcome is None:
                raise BadRequestError(f"{answer.reason}: {answer.detail}")
            backoff_s = _backoff_s(answer, tries)
            if backoff_s is None:
                return answer
            if time.monotonic() + backoff_s >= give_up_time:
                return answer or Answer(
                    key=submission.key, outcome=Outcome.OUTCOME_UNKNOWN, reason="no_answer"
                )
            await asyncio.sleep(backoff_s)
            if was_sent:
                attempt += 1
                never_run &= _confirms_not_run(answer)

    def _entry_time(self) -> float | None:
        """Return the estimated time of the entries, or None if no clock has been read."""
        return None if self._clock is None else round(self._clock.now(), 3)

    async def _send_attempt(
        self, message: Submission, remaining_s: float
    ) -> tuple[Answer | None, bool]:
        """Send one attempt; return its answer, if any, and whether it may have been sent."""
        try:
            return await self._send("/v1/submissions", message, remaining_s), True
        except NotSentError:
            return None, False
        except ClientError:
            return None, True

    async def _send(self, path: str, message: Submission | Request, remaining_s: float) -> Answer:
        url = random.choice(self._urls) + path
        timeout = aiohttp.ClientTimeout(total=max(remaining_s, 0.1), sock_connect=CONNECT_TIMEOUT_S)
        body = msgspec.json.encode(message)
        try:
            async with self._session.post(url, data=body, timeout=timeout) as response:
                return decode_answer(await response.read())
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise NotSentError(f"{url}: {describe_call_error(error)}") from error
        except (*NETWORK_ERRORS, BadRequestError) as error:
            raise ClientError(f"{url}: {describe_call_error(error)}") from error

    async def _entry_clock(self) -> _EntryClock:
        """Return an entry's clock, so that keys do not depend on the local wall clock."""
        if self._clock is not None and time.monotonic() - self._clock.read_at < CLOCK_TTL_S:
            return self._clock
        errors = []
        for url in random.sample(self._urls, len(self._urls)):
            try:
                self._clock = await self._read_clock(url)
                return self._clock
            except NETWORK_ERRORS as error:
                errors.append(f"{url}: {describe_call_error(error)}")
        raise ClientError("; ".join(errors))

    async def _read_clock(self, url: str) -> _EntryClock:
        timeout = aiohttp.ClientTimeout(total=2 * CONNECT_TIMEOUT_S)
        async with self._session.get(url + "/v1/time", timeout=timeout) as response:
            value = json.loads(await response.read())
        return _EntryClock(wall=value["time"], domain=value["domain"], read_at=time.monotonic())


class BlockingClient:
    """Synchronous client, with the same arguments as ``Client``.

    Runs an event loop in a thread of its own; use it as a context manager or call :meth:`close`.
    """

    def __init__(self, *, urls: Sequence[str], tenant: str):
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()
        self._client = Client(urls=urls, tenant=tenant)
        self._call(self._client.__aenter__())

    def __enter__(self) -> BlockingClient:
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    def submit(self, service: str, payloads: Sequence[Any], **options: Any) -> Answer:
        """Run one task per payload; see :meth:`Client.submit`."""
        return self._call(self._client.submit(service, payloads, **options))

    def make_key(self) -> JobKey:
        """Create a new key; see :meth:`Client.make_key`."""
        return self._call(self._client.make_key())

    def request(self, service: str, payload: Any, **options: Any) -> Answer:
        """Make a single call; see :meth:`Client.request`."""
        return self._call(self._client.request(service, payload, **options))

    def cancel(self, key: str) -> Answer:
        """Cancel a submission; see :meth:`Client.cancel`."""
        return self._call(self._client.cancel(key))

    def close(self) -> None:
        """Close the connections and stop the thread."""
        self._call(self._client.__aexit__())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()

    def _call(self, coroutine: Any) -> Any:
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop).result()


def _encode_payload(payload: Any) -> Raw:
    return Raw(msgspec.json.encode(payload))


def _confirms_not_run(answer: Answer | None) -> bool:
    """Return whether an answer confirms that the attempt ran nothing.

    ``stale`` means that the attempt arrived too late for the entry to rely on its ``never_run``.
    A client that sends one attempt at a time knows that none ran in between.
    """
    if answer is None:
        return False
    return answer.outcome is Outcome.NOT_RUN or answer.reason == "stale"


def _backoff_s(answer: Answer | None, tries: int) -> float | None:
    """Return the delay before the next attempt in seconds, or None if the answer is final."""
    if answer is None:
        max_s = min(MIN_BACKOFF_S * 2**tries, MAX_BACKOFF_S)
        return random.uniform(MIN_BACKOFF_S, max_s)
    if answer.outcome is Outcome.COMPLETED or answer.retry_after_ms is None:
        return None
    if answer.outcome is Outcome.FAILED:
        return None
    # Jitter of up to half the delay, so that clients refused at the same time do not retry
    # at the same time.
    return answer.retry_after_ms / 1000 * random.uniform(1.0, 1.5)
