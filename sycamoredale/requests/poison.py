"""Detect poison requests, which crash the endpoints that run them.

A request is identified by a fingerprint of the content that the endpoint
processes, independent of its caller.  Each crash of an endpoint adds to the
score of the requests that ran there.  The weight is highest for a request
that ran alone, lower for one that ran concurrently with others, and lowest
if other endpoints of the same fabric domain were lost at the same time.
Daemons exchange notices of crashes, so that each of them counts the crashes
of all.

A poison request has no answer, since it crashes each endpoint that runs it.
So an answer at any daemon refutes the crashes before it, and those that follow
at once.  Requests that have been answered lately need more crashes.
"""

import collections.abc
import dataclasses
import hashlib
import typing
from typing import Final

import msgspec

from sycamoredale import clock
from sycamoredale import decoding
from sycamoredale import error_codes
from sycamoredale import errors
from sycamoredale import ids
from sycamoredale.membership import gossip as gossip_module
from sycamoredale.observability import logs
from sycamoredale.requests import call as call_module
from sycamoredale.requests import part_evidence

MAX_CRASHES_PER_CALL: Final = 3
# Reached by two crashes alone or by three concurrent ones.
SCORE_THRESHOLD: Final = 2.0
ALONE_WEIGHT: Final = 1.0
CONCURRENT_WEIGHT: Final = 0.7
CORRELATED_WEIGHT: Final = 0.1
CORRELATION_WINDOW_SECONDS: Final = 5.0
RETENTION_SECONDS: Final = 3600.0
MAX_FINGERPRINTS: Final = 4096
# Of answered requests; those that are asked for often stay.
MAX_ANSWERED: Final = 1024
MAX_CRASHES_PER_FINGERPRINT: Final = 32
MAX_NOTICES_PER_SECOND: Final = 20
LOG: Final = logs.get("poison")
CONTENT_FIELDS: Final = ("model", "messages", "prompt", "adapter")

Fingerprint = typing.NewType("Fingerprint", str)


class Crash(msgspec.Struct, frozen=True):
    """Report that an endpoint was lost while it ran a request."""

    fingerprint: Fingerprint
    endpoint: ids.EndpointId
    domain: ids.DomainName
    alone: bool


class Answered(msgspec.Struct, frozen=True):
    """Report that an endpoint has answered a request, despite crashes.

    An earlier build finds no crash in it, and ignores it.
    """

    answered: Fingerprint


@dataclasses.dataclass(frozen=True, slots=True)
class _TimedCrash:
    crash: Crash
    time: clock.MonotonicTime


@dataclasses.dataclass
class PoisonDetector:
    """Score crashes by fingerprint and refuse requests above the threshold.

    Notices above MAX_NOTICES_PER_SECOND are not published.
    """

    gossip: gossip_module.Gossip | None = None
    _crashes_by_fingerprint: dict[Fingerprint, list[_TimedCrash]] = (
        dataclasses.field(default_factory=dict)
    )
    # The one that was answered last comes last.
    _answered_at: dict[Fingerprint, clock.MonotonicTime] = dataclasses.field(
        default_factory=dict
    )
    _notice_times: list[clock.MonotonicTime] = dataclasses.field(
        default_factory=list
    )

    def check(self, call: call_module.Call, now: clock.MonotonicTime) -> None:
        """Raise Refusal if the request of the call is a poison request."""
        if self._crashes_by_fingerprint:
            self.check_fingerprint(fingerprint_of(call), now)

    def check_fingerprint(
        self, fingerprint: Fingerprint, now: clock.MonotonicTime
    ) -> None:
        """Raise Refusal if the fingerprint is that of a poison request."""
        if not self.is_poison(fingerprint, now):
            return
        raise refusal(
            len(self._recent(fingerprint, now)),
            error_codes.Execution.NOT_RUN,
        )

    def is_poison(
        self, fingerprint: Fingerprint, now: clock.MonotonicTime
    ) -> bool:
        """Return whether the fingerprint is that of a poison request."""
        return self.score(fingerprint, now) >= SCORE_THRESHOLD

    def record_crash(
        self,
        crash: Crash,
        now: clock.MonotonicTime,
        lost_at: clock.MonotonicTime | None = None,
    ) -> bool:
        """Count a crash that this daemon detected and publish a notice.

        Returns whether further requests with the fingerprint are refused.
        """
        if self._add(crash, now, now if lost_at is None else lost_at):
            key = f"{crash.fingerprint}:{crash.endpoint}"
            self._publish(key, crash, now)
        return self.is_poison(crash.fingerprint, now)

    def record_answer_to(
        self, call: call_module.Call, now: clock.MonotonicTime
    ) -> None:
        """Record an answer to a call of the own interface.

        Without any crash the fingerprint is not worth its computation.
        """
        if self._crashes_by_fingerprint:
            self.record_answer(fingerprint_of(call), now)

    def record_answer(
        self, fingerprint: Fingerprint, now: clock.MonotonicTime
    ) -> None:
        """Forget the crashes of a request that an endpoint has answered."""
        self._keep_answer(fingerprint, now)
        if fingerprint in self._crashes_by_fingerprint:
            self._refute(fingerprint, now)

    def handle_notice(
        self, notice: gossip_module.Notice, now: clock.MonotonicTime
    ) -> None:
        """Apply the crash or the answer that another daemon has seen."""
        try:
            crash = decoding.decode_json(notice.payload, Crash)
        except msgspec.DecodeError:
            self._handle_answered(notice, now)
        else:
            if not self._add(crash, now, now):
                self._publish_answer(crash.fingerprint, now)

    def _handle_answered(
        self, notice: gossip_module.Notice, now: clock.MonotonicTime
    ) -> None:
        try:
            answered = decoding.decode_json(notice.payload, Answered).answered
        except msgspec.DecodeError:
            return
        self._keep_answer(answered, now)
        self._crashes_by_fingerprint.pop(answered, None)

    def _keep_answer(
        self, fingerprint: Fingerprint, now: clock.MonotonicTime
    ) -> None:
        self._answered_at.pop(fingerprint, None)
        self._answered_at[fingerprint] = now
        if len(self._answered_at) > MAX_ANSWERED:
            del self._answered_at[next(iter(self._answered_at))]

    def _refute(
        self, fingerprint: Fingerprint, now: clock.MonotonicTime
    ) -> None:
        """Forget the crashes of a request, here and at the peers."""
        crashes = self._crashes_by_fingerprint.pop(fingerprint, [])
        LOG.info(
            "crashes_refuted", fingerprint=fingerprint, crashes=len(crashes)
        )
        if crashes:
            self._publish_answer(fingerprint, now)

    def _publish_answer(
        self, fingerprint: Fingerprint, now: clock.MonotonicTime
    ) -> None:
        self._publish(f"{fingerprint}:answered", Answered(fingerprint), now)

    def _publish(
        self, key: str, value: Crash | Answered, now: clock.MonotonicTime
    ) -> None:
        recent = [t for t in self._notice_times if t > now - 1.0]
        if self.gossip is not None and len(recent) < MAX_NOTICES_PER_SECOND:
            recent.append(now)
            self.gossip.publish(gossip_module.Topic.POISON, key, value)
        self._notice_times = recent

    def score(
        self, fingerprint: Fingerprint, now: clock.MonotonicTime
    ) -> float:
        """Return the sum of the weights of the crashes of a request."""
        return sum(
            self._weight(timed) for timed in self._recent(fingerprint, now)
        )

    def _recent(
        self, fingerprint: Fingerprint, now: clock.MonotonicTime
    ) -> list[_TimedCrash]:
        crashes = self._crashes_by_fingerprint.get(fingerprint, [])
        return [c for c in crashes if c.time > now - RETENTION_SECONDS]

    def _weight(self, timed: _TimedCrash) -> float:
        if self._is_correlated(timed):
            return CORRELATED_WEIGHT
        was_answered = timed.crash.fingerprint in self._answered_at
        if timed.crash.alone and not was_answered:
            return ALONE_WEIGHT
        return CONCURRENT_WEIGHT

    def _is_correlated(self, timed: _TimedCrash) -> bool:
        # Endpoints that were lost while they ran the same request are not
        # counted as a correlated failure, as the request may be the cause.
        crash = timed.crash
        endpoints = {
            c.crash.endpoint
            for c in self._crashes_by_fingerprint[crash.fingerprint]
        }
        return any(
            other.crash.domain == crash.domain
            and other.crash.endpoint not in endpoints
            and abs(other.time - timed.time) <= CORRELATION_WINDOW_SECONDS
            for other in self._all_crashes()
        )

    def _all_crashes(self) -> collections.abc.Iterator[_TimedCrash]:
        for crashes in self._crashes_by_fingerprint.values():
            yield from crashes

    def _add(
        self,
        crash: Crash,
        now: clock.MonotonicTime,
        lost_at: clock.MonotonicTime,
    ) -> bool:
        """Return whether the crash counts, which an answer may refute."""
        answered_at = self._answered_at.get(crash.fingerprint)
        if (
            answered_at is not None
            and lost_at - answered_at < part_evidence.ANSWER_CLEARS_SECONDS
        ):
            self._refute(crash.fingerprint, now)
            return False
        # Each endpoint counts once, with its latest crash.
        retained = [
            timed
            for timed in self._recent(crash.fingerprint, now)
            if timed.crash.endpoint != crash.endpoint
        ]
        retained.append(_TimedCrash(crash, now))
        # Reinserted last, which orders the fingerprints by the time of their
        # latest crash.
        self._crashes_by_fingerprint.pop(crash.fingerprint, None)
        self._crashes_by_fingerprint[crash.fingerprint] = retained[
            -MAX_CRASHES_PER_FINGERPRINT:
        ]
        while self._should_evict_oldest(now):
            oldest = next(iter(self._crashes_by_fingerprint))
            del self._crashes_by_fingerprint[oldest]
        return True

    def _should_evict_oldest(self, now: clock.MonotonicTime) -> bool:
        if len(self._crashes_by_fingerprint) > MAX_FINGERPRINTS:
            return True
        oldest = next(iter(self._crashes_by_fingerprint))
        return not self._recent(oldest, now)


def fingerprint_of(call: call_module.Call) -> Fingerprint:
    """Return the fingerprint of a call, independent of its caller."""
    request = call.upstream
    if not call.is_model:
        content: object = [request.method, request.target, request.body]
    else:
        fields = decoding.decode_json(request.body)
        content = [fields.get(name) for name in CONTENT_FIELDS]
    return fingerprint_of_content(call.service.name, content)


def fingerprint_of_content(
    service: ids.ServiceName, content: object
) -> Fingerprint:
    """Return the fingerprint of content for the endpoints of a service."""
    text = msgspec.json.encode([service, content], order="sorted")
    return Fingerprint(hashlib.sha256(text).hexdigest()[:32])


def refusal(crashes: int, execution: error_codes.Execution) -> errors.Refusal:
    """Return the refusal of a poison request."""
    return errors.Refusal(
        error_codes.REQUEST_CRASHES_ENDPOINTS,
        f"{crashes} endpoints crashed while they ran this request; it is "
        "not retried",
        execution,
    )
