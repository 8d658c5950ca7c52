"""Call routers on a seeded schedule and judge each answer."""

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

KEY: Final = "load-key"
DEADLINE_SECONDS: Final = 6.0
CALLER_SECONDS: Final = 9.0
MAX_TRIES: Final = 4
RETRY_SECONDS: Final = 0.3
WORKERS: Final = 200


class Load(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Set the calls a second of each service."""

    assistant: float = 20.0
    bookings: float = 10.0


@dataclasses.dataclass(frozen=True)
class Planned:
    """Hold one call of the schedule; `at` is in seconds from the start."""

    at: float
    number: int
    booking: bool
    stream: bool


@dataclasses.dataclass(frozen=True)
class Target:
    """Name a router that callers may use now."""

    name: str
    address: str


Targets = collections.abc.Callable[[], list[Target]]


def schedule(load: Load, seconds: float, seed: int) -> list[Planned]:
    """Return the calls of a run in order of time."""
    source = random.Random(seed)
    planned = []
    at = 0.0
    total = load.assistant + load.bookings
    while (at := at + source.expovariate(total)) < seconds:
        booking = source.random() * total < load.bookings
        stream = source.random() < 0.5
        planned.append(Planned(at, len(planned), booking, stream))
    return planned


class Generator:
    """Make the calls of a schedule from a bounded number of threads."""

    def __init__(
        self, targets: Targets, seed: int, key_prefix: str = "key"
    ) -> None:
        """Keep the place to look up routers."""
        self._key_prefix = key_prefix
        self.calls: list[recordings.Call] = []
        self._targets = targets
        self._random = random.Random(seed)
        self._lock = threading.Lock()

    def run(self, planned: collections.abc.Iterable[Planned]) -> None:
        """Make all calls and wait for the last answer."""
        started = time.monotonic()
        with concurrent.futures.ThreadPoolExecutor(WORKERS) as pool:
            futures = []
            for one in planned:
                time.sleep(max(0.0, started + one.at - time.monotonic()))
                futures.append(pool.submit(self._call, one))
            for future in futures:
                future.result()

    def call_text(self, text: str, tries: int) -> None:
        """Send one prompt and resend it, whatever the answer is."""
        for _ in range(tries):
            self._try(_prompt(text, False), text, "")

    def _call(self, planned: Planned) -> None:
        if planned.booking:
            key = f"{self._key_prefix}-{planned.number}"
            message = _booking(planned.number, key)
            marker = message.body
        else:
            key = ""
            marker = f"prompt {planned.number}"
            message = _prompt(marker, planned.stream)
        for _ in range(MAX_TRIES):
            outcome = self._try(message, marker, key)
            if outcome in (recordings.Outcome.WHOLE, recordings.Outcome.WRONG):
                return
            time.sleep(RETRY_SECONDS)

    def _try(
        self, message: "_Message", marker: str, key: str
    ) -> recordings.Outcome:
        targets = self._targets()
        with self._lock:
            target = self._random.choice(targets)
        started = time.monotonic()
        answer = _exchange(target.address, message, key)
        call = recordings.Call(
            started,
            time.monotonic(),
            marker,
            target.name,
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
class Second:
    """Sum up the calls that were first sent in one second."""

    second: int
    calls: int
    answered: int
    p99_seconds: float


def by_second(
    calls: collections.abc.Iterable[recordings.Call], started: float
) -> collections.abc.Iterator[Second]:
    """Yield the success share and the slowest answers of each second."""
    tries_by_marker: dict[str, list[recordings.Call]] = {}
    for call in sorted(calls, key=lambda c: c.time):
        tries_by_marker.setdefault(call.marker, []).append(call)
    times_by_second: dict[int, list[float]] = {}
    for tries in tries_by_marker.values():
        second = int(tries[0].time - started)
        answered = tries[-1].outcome is recordings.Outcome.WHOLE
        spent = tries[-1].ended - tries[0].time if answered else -1.0
        times_by_second.setdefault(second, []).append(spent)
    for second, times in sorted(times_by_second.items()):
        answers = sorted(t for t in times if t >= 0)
        p99 = answers[int(0.99 * (len(answers) - 1))] if answers else 0.0
        yield Second(second, len(times), len(answers), p99)


@dataclasses.dataclass(frozen=True)
class _Message:
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


def _prompt(text: str, stream: bool) -> _Message:
    prompt = {
        "model": "assistant",
        "prompt": text,
        "max_tokens": 8,
        "stream": stream,
    }
    expected = generation.expected_text(
        msgspec.convert(prompt, generation.CompletionRequest)
    )
    return _Message("/v1/completions", json.dumps(prompt), expected, stream)


def _booking(number: int, key: str) -> _Message:
    path = "/services/bookings/withdrawals"
    return _Message(path, json.dumps({"bottle": number}), expected=key)


def _exchange(address: str, message: _Message, key: str) -> _Answer:
    headers = {
        "Authorization": f"Bearer {KEY}",
        "Content-Type": "application/json",
        "X-Deadline-Seconds": str(DEADLINE_SECONDS),
    }
    if key:
        headers["Idempotency-Key"] = key
    connection = http.client.HTTPConnection(address, timeout=CALLER_SECONDS)
    try:
        connection.connect()
    except OSError:
        return _Answer(recordings.Outcome.UNREACHED)
    try:
        connection.request("POST", message.path, message.body, headers)
        response = connection.getresponse()
        body = response.read()
    except TimeoutError:
        return _Answer(recordings.Outcome.SILENT)
    except http.client.IncompleteRead as error:
        return _cut(error.partial)
    except (OSError, http.client.HTTPException):
        return _Answer(recordings.Outcome.CUT)
    finally:
        connection.close()
    return _judge(response.status, body, message)


def _cut(partial: bytes) -> _Answer:
    """Return how a stream ended early, with the code of an error event."""
    last = partial.strip().rpartition(b"data: ")[2]
    try:
        error = json.loads(last)["error"]
        code, execution = error["code"], error["execution"]
    except (ValueError, KeyError, TypeError):
        return _Answer(recordings.Outcome.CUT)
    return _Answer(recordings.Outcome.CUT, 200, code, execution)


def _judge(status: int, body: bytes, message: _Message) -> _Answer:
    try:
        if status != 200:
            error = json.loads(body)["error"]
            return _Answer(
                recordings.Outcome.REFUSED,
                status,
                error["code"],
                error["execution"],
            )
        text = _text(body, message)
    except (ValueError, KeyError, TypeError):
        return _Answer(recordings.Outcome.WRONG, status)
    whole = text == message.expected
    outcome = recordings.Outcome.WHOLE if whole else recordings.Outcome.WRONG
    return _Answer(outcome, status)


def _text(body: bytes, message: _Message) -> typing.Any:
    if message.stream:
        *events, last = body.decode().strip().split("\n\n")
        if last != "data: [DONE]":
            raise ValueError("the stream has no last event")
        choices = [json.loads(e[len("data: ") :])["choices"] for e in events]
        return "".join(c[0]["text"] for c in choices)
    decoded = json.loads(body)
    if "choices" in decoded:
        return decoded["choices"][0]["text"]
    return decoded["booked"]
