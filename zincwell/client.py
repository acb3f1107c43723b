"""Client for callers: submits jobs and resubmits them safely.

The same key goes with each attempt, so that no task starts twice however often a job is sent.
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
LONGEST_PAUSE_S = 5.0
SHORTEST_PAUSE_S = 0.05
CLOCK_TTL_S = 60.0
NETWORK_ERRORS = (aiohttp.ClientError, asyncio.TimeoutError, OSError)


@dataclass(frozen=True, kw_only=True)
class _EntryClock:
    """An entry's clock and domain as read at a moment of our monotonic clock."""

    wall: float
    domain: str
    read_at: float

    def now(self) -> float:
        """Return a lower bound of the entry's time now."""
        return self.wall + time.monotonic() - self.read_at


@dataclass(frozen=True, kw_only=True)
class JobKey:
    """An idempotency key with the time at which it was made, by the entries' clock.

    Keep both to come back for the answer later, from another process too. The time tells an
    entry whether all that may have run under the key is still known.
    """

    key: str
    created_at: float


class Client:
    """Asynchronous client.

    :param urls: base URLs of entries, or of the balancer before them.
    :param tenant: the customer that the work is done for.

    Use it as an asynchronous context manager.
    """

    def __init__(self, *, urls: Sequence[str], tenant: str):
        if not urls:
            raise ClientError("no URL given")
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
        """Run one task for each payload and return the whole answer.

        :param payloads: JSON values, one a task.
        :param deadline_s: seconds after which the answer is of no more use.
        :param run_ms: declared run time of a task in milliseconds, if known.
        :param key: key from :meth:`make_key`, to come back for the answer of an earlier
            submit or to be able to; made here otherwise.
        :returns: an answer; look at its ``outcome`` before its tasks.
        :raises ClientError: if no entry can be reached before the deadline.
        :raises BadRequestError: if the submission itself is refused as malformed.
        """
        job_key = key or await self.make_key()
        tasks = [TaskSpec(payload=_raw(payload), run_ms=run_ms) for payload in payloads]
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
        """Make a new key.

        :raises ClientError: if no entry can be reached to ask for its time.
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
        """Make a single call; it is sent once, and not again if the connection is lost.

        :raises ClientError: if no entry can be reached.
        """
        message = Request(
            tenant=self._tenant,
            service=service,
            payload=_raw(payload),
            idempotent=idempotent,
            urgency=urgency,
            deadline_ms=max(1, round(deadline_s * 1000)),
        )
        return await self._send("/v1/requests", message, deadline_s)

    async def cancel(self, key: str) -> Answer:
        """Cancel a submission.

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
        self, submission: Submission, give_up_at: float, is_new: bool
    ) -> Answer:
        """Send until there is a final answer.

        Attempts with a key made and first sent here are counted, and say whether all before
        them were answered ``not_run``. Of another key nobody knows what was sent before.
        """
        attempt, never_run = 1, is_new
        tries = 0
        while True:
            tries += 1
            left_s = give_up_at - time.monotonic()
            message = msgspec.structs.replace(
                submission,
                attempt=attempt if is_new else None,
                never_run=never_run,
                sent_at=self._stated_time(),
                deadline_ms=max(1, round(left_s * 1000)),
            )
            answer, was_sent = await self._try(message, left_s)
            if answer is not None and answer.outcome is None:
                raise BadRequestError(f"{answer.reason}: {answer.detail}")
            pause_s = _pause_s(answer, tries)
            if pause_s is None:
                return answer
            if time.monotonic() + pause_s >= give_up_at:
                return answer or Answer(
                    key=submission.key, outcome=Outcome.OUTCOME_UNKNOWN, reason="no_answer"
                )
            await asyncio.sleep(pause_s)
            if was_sent:
                attempt += 1
                never_run &= _has_not_run(answer)

    def _stated_time(self) -> float | None:
        """Return the entries' time now, as far as we know it."""
        return None if self._clock is None else round(self._clock.now(), 3)

    async def _try(self, message: Submission, left_s: float) -> tuple[Answer | None, bool]:
        """Return the answer, if there is one, and whether anything may have been sent."""
        try:
            return await self._send("/v1/submissions", message, left_s), True
        except NotSentError:
            return None, False
        except ClientError:
            return None, True

    async def _send(self, path: str, message: Submission | Request, left_s: float) -> Answer:
        url = random.choice(self._urls) + path
        timeout = aiohttp.ClientTimeout(total=max(left_s, 0.1), sock_connect=CONNECT_TIMEOUT_S)
        body = msgspec.json.encode(message)
        try:
            async with self._session.post(url, data=body, timeout=timeout) as response:
                return decode_answer(await response.read())
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise NotSentError(f"{url}: {describe_call_error(error)}") from error
        except (*NETWORK_ERRORS, BadRequestError) as error:
            raise ClientError(f"{url}: {describe_call_error(error)}") from error

    async def _entry_clock(self) -> _EntryClock:
        """Return an entry's clock, so that a wrong clock here does no harm to our keys."""
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
    """Client for programs without an event loop; takes the same arguments as ``Client``."""

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
        """Run one task for each payload; see :meth:`Client.submit`."""
        return self._call(self._client.submit(service, payloads, **options))

    def make_key(self) -> JobKey:
        """Make a new key; see :meth:`Client.make_key`."""
        return self._call(self._client.make_key())

    def request(self, service: str, payload: Any, **options: Any) -> Answer:
        """Make a single call; see :meth:`Client.request`."""
        return self._call(self._client.request(service, payload, **options))

    def cancel(self, key: str) -> Answer:
        """Cancel a submission; see :meth:`Client.cancel`."""
        return self._call(self._client.cancel(key))

    def close(self) -> None:
        """Release the connections and the thread."""
        self._call(self._client.__aexit__())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()

    def _call(self, coroutine: Any) -> Any:
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop).result()


def _raw(payload: Any) -> Raw:
    return Raw(msgspec.json.encode(payload))


def _has_not_run(answer: Answer | None) -> bool:
    """Tell whether an answer leaves it as it was that the key has never run.

    ``stale`` says that the attempt came too late for the entry to rely on its statement; a
    client that sends one attempt at a time knows that nothing came in between.
    """
    if answer is None:
        return False
    return answer.outcome is Outcome.NOT_RUN or answer.reason == "stale"


def _pause_s(answer: Answer | None, tries: int) -> float | None:
    """Return how long to wait before asking again, or None if the answer is final."""
    if answer is None:
        longest_s = min(SHORTEST_PAUSE_S * 2**tries, LONGEST_PAUSE_S)
        return random.uniform(SHORTEST_PAUSE_S, longest_s)
    if answer.outcome is Outcome.COMPLETED or answer.retry_after_ms is None:
        return None
    if answer.outcome is Outcome.FAILED:
        return None
    # Spread over half as long again, or all who were refused together come back together.
    return answer.retry_after_ms / 1000 * random.uniform(1.0, 1.5)
