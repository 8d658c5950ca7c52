"""Call routers on a seeded schedule and classify each answer."""

import collections.abc
import concurrent.futures
import dataclasses
import http.client
import json
import random
import threading
import time
import typing
from typing import Final

import msgspec

from sycamoredale.standins import generation
from tests import recordings

API_KEY: Final = "load-key"
DEADLINE_SECONDS: Final = 6.0
CALLER_TIMEOUT_SECONDS: Final = 9.0
MAX_ATTEMPTS: Final = 4
RETRY_DELAY_SECONDS: Final = 0.3
MAX_WORKERS: Final = 200


class CallRates(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Set the rate of calls to each service, in calls per second."""

    assistant: float = 20.0
    bookings: float = 10.0


@dataclasses.dataclass(frozen=True)
class ScheduledCall:
    """Describe a scheduled call; `at` is in seconds from the start."""

    at: float
    number: int
    is_booking: bool
    stream: bool


@dataclasses.dataclass(frozen=True)
class Router:
    """Describe a router that the balancer offers to callers."""

    name: str
    address: str


GetRouters = collections.abc.Callable[[], list[Router]]


def schedule(
    rates: CallRates, seconds: float, seed: int
) -> list[ScheduledCall]:
    """Return the calls of a run with Poisson arrivals."""
    rng = random.Random(seed)
    calls = []
    at = 0.0
    total = rates.assistant + rates.bookings
    while (at := at + rng.expovariate(total)) < seconds:
        is_booking = rng.random() * total < rates.bookings
        stream = rng.random() < 0.5
        calls.append(ScheduledCall(at, len(calls), is_booking, stream))
    return calls


class LoadGenerator:
    """Send scheduled calls from a thread pool and record each attempt."""

    def __init__(
        self, get_routers: GetRouters, seed: int, key_prefix: str = "key"
    ) -> None:
        """Take the function that returns the current routers."""
        self._key_prefix = key_prefix
        self.calls: list[recordings.Call] = []
        self._get_routers = get_routers
        self._random = random.Random(seed)
        self._lock = threading.Lock()

    def run(self, calls: collections.abc.Iterable[ScheduledCall]) -> None:
        """Send all calls on time and wait for the last answer."""
        started = time.monotonic()
        with concurrent.futures.ThreadPoolExecutor(MAX_WORKERS) as pool:
            futures = []
            for call in calls:
                time.sleep(max(0.0, started + call.at - time.monotonic()))
                futures.append(pool.submit(self._call, call))
            for future in futures:
                future.result()

    def send_repeatedly(self, text: str, attempts: int) -> None:
        """Send one prompt several times, whatever the answers are."""
        for _ in range(attempts):
            self._attempt(_completion_request(text, False), text, "")

    def _call(self, call: ScheduledCall) -> None:
        if call.is_booking:
            key = f"{self._key_prefix}-{call.number}"
            request = _booking_request(call.number, key)
            marker = request.body
        else:
            key = ""
            marker = f"prompt {call.number}"
            request = _completion_request(marker, call.stream)
        for _ in range(MAX_ATTEMPTS):
            outcome = self._attempt(request, marker, key)
            if outcome in (
                recordings.Outcome.COMPLETE,
                recordings.Outcome.MISMATCHED,
            ):
                return
            time.sleep(RETRY_DELAY_SECONDS)

    def _attempt(
        self, request: "_CallerRequest", marker: str, key: str
    ) -> recordings.Outcome:
        routers = self._get_routers()
        with self._lock:
            router = self._random.choice(routers)
        started = time.monotonic()
        answer = _send(router.address, request, key)
        call = recordings.Call(
            started,
            time.monotonic(),
            marker,
            router.name,
            answer.outcome,
            idempotent=not key,
            key=key,
            status=answer.status,
            code=answer.code,
            execution=answer.execution,
        )
        self.calls.append(call)
        return call.outcome


@dataclasses.dataclass(frozen=True)
class SecondSummary:
    """Summarise the calls whose first attempt was in one second."""

    second: int
    calls: int
    answered: int
    p99_seconds: float


def summarise_by_second(
    calls: collections.abc.Iterable[recordings.Call], started: float
) -> collections.abc.Iterator[SecondSummary]:
    """Yield the answered calls and the p99 latency of each second."""
    attempts_by_marker: dict[str, list[recordings.Call]] = {}
    for call in sorted(calls, key=lambda c: c.time):
        attempts_by_marker.setdefault(call.marker, []).append(call)
    times_by_second: dict[int, list[float]] = {}
    for attempts in attempts_by_marker.values():
        second = int(attempts[0].time - started)
        answered = attempts[-1].outcome is recordings.Outcome.COMPLETE
        duration = attempts[-1].ended - attempts[0].time if answered else -1.0
        times_by_second.setdefault(second, []).append(duration)
    for second, times in sorted(times_by_second.items()):
        answers = sorted(t for t in times if t >= 0)
        p99 = answers[int(0.99 * (len(answers) - 1))] if answers else 0.0
        yield SecondSummary(second, len(times), len(answers), p99)


@dataclasses.dataclass(frozen=True)
class _CallerRequest:
    path: str
    body: str
    expected: str
    stream: bool = False


@dataclasses.dataclass(frozen=True)
class _Answer:
    outcome: recordings.Outcome
    status: int = 0
    code: str = ""
    execution: str = ""


def _completion_request(text: str, stream: bool) -> _CallerRequest:
    prompt = {
        "model": "assistant",
        "prompt": text,
        "max_tokens": 8,
        "stream": stream,
    }
    expected = generation.expected_text(
        msgspec.convert(prompt, generation.CompletionRequest)
    )
    return _CallerRequest(
        "/v1/completions", json.dumps(prompt), expected, stream
    )


def _booking_request(number: int, key: str) -> _CallerRequest:
    path = "/services/bookings/withdrawals"
    return _CallerRequest(path, json.dumps({"bottle": number}), expected=key)


def _send(address: str, request: _CallerRequest, key: str) -> _Answer:
    headers = {
        "Authorization": f"Bearer {API_KEY}",
        "Content-Type": "application/json",
        "X-Deadline-Seconds": str(DEADLINE_SECONDS),
    }
    if key:
        headers["Idempotency-Key"] = key
    connection = http.client.HTTPConnection(
        address, timeout=CALLER_TIMEOUT_SECONDS
    )
    try:
        connection.connect()
    except OSError:
        return _Answer(recordings.Outcome.UNREACHABLE)
    try:
        connection.request("POST", request.path, request.body, headers)
        response = connection.getresponse()
        body = response.read()
    except TimeoutError:
        return _Answer(recordings.Outcome.TIMED_OUT)
    except http.client.IncompleteRead as error:
        return _truncated_answer(error.partial)
    except (OSError, http.client.HTTPException):
        return _Answer(recordings.Outcome.TRUNCATED)
    finally:
        connection.close()
    return _classify(response.status, body, request)


def _truncated_answer(partial: bytes) -> _Answer:
    """Classify a truncated answer by its error event, if it has one."""
    last = partial.strip().rpartition(b"data: ")[2]
    try:
        error = json.loads(last)["error"]
        code, execution = error["code"], error["execution"]
    except (ValueError, KeyError, TypeError):
        return _Answer(recordings.Outcome.TRUNCATED)
    return _Answer(recordings.Outcome.TRUNCATED, 200, code, execution)


def _classify(status: int, body: bytes, request: _CallerRequest) -> _Answer:
    try:
        if status != 200:
            error = json.loads(body)["error"]
            return _Answer(
                recordings.Outcome.REFUSED,
                status,
                error["code"],
                error["execution"],
            )
        text = _answer_text(body, request)
    except (ValueError, KeyError, TypeError):
        return _Answer(recordings.Outcome.MISMATCHED, status)
    is_complete = text == request.expected
    outcome = (
        recordings.Outcome.COMPLETE
        if is_complete
        else recordings.Outcome.MISMATCHED
    )
    return _Answer(outcome, status)


def _answer_text(body: bytes, request: _CallerRequest) -> typing.Any:
    if request.stream:
        *events, last = body.decode().strip().split("\n\n")
        if last != "data: [DONE]":
            raise ValueError("stream does not end with [DONE]")
        choices = [json.loads(e[len("data: ") :])["choices"] for e in events]
        return "".join(c[0]["text"] for c in choices)
    decoded = json.loads(body)
    if "choices" in decoded:
        return decoded["choices"][0]["text"]
    return decoded["booked"]
