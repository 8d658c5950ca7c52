"""Detect poison requests, which crash the endpoints that run them.

A request is identified by a fingerprint of the content that the endpoint
processes, independent of its caller.  Each crash of an endpoint adds to the
score of the requests that ran there.  The weight is highest for a request
that ran alone, lower for one that ran concurrently with others, and lowest
if other endpoints of the same fabric domain were lost at the same time.
Daemons exchange notices of crashes, so that each of them counts the crashes
of all; `sycamoredale.requests.crash_evidence` keeps them.

A poison request has no answer, since it crashes each endpoint that runs it.
So an answer at any daemon refutes the crashes before it, and those that follow
at once.  Requests that have been answered lately need more crashes.
"""

import collections.abc
import dataclasses
import hashlib
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
from sycamoredale.requests import crash_evidence
from sycamoredale.requests import part_evidence

MAX_CRASHES_PER_CALL: Final = 3
# Reached by two crashes alone or by three concurrent ones.
SCORE_THRESHOLD: Final = 2.0
ALONE_WEIGHT: Final = 1.0
CONCURRENT_WEIGHT: Final = 0.7
CORRELATED_WEIGHT: Final = 0.1
CORRELATION_WINDOW_SECONDS: Final = 5.0
# A request with so many may be the cause of its crashes.
SUSPECT_CRASHES: Final = 3
# Without news, crashes only expire.
VERDICT_TTL_SECONDS: Final = 10.0
MAX_NOTICES_PER_SECOND: Final = 20
LOG: Final = logs.get("poison")
CONTENT_FIELDS: Final = ("model", "messages", "prompt", "adapter")

Fingerprint = ids.Fingerprint
_IsSuspect = collections.abc.Callable[[Fingerprint, clock.MonotonicTime], bool]


class Crash(msgspec.Struct, frozen=True):
    """Report that an endpoint was lost while it ran a request.

    It was lost `ms_ago` before the report.  `started_ms` tells its lives
    under one id apart; it is 0 in reports of earlier builds.
    """

    fingerprint: Fingerprint
    endpoint: ids.EndpointId
    domain: ids.DomainName
    alone: bool
    ms_ago: int = 0
    started_ms: int = 0


class Answered(msgspec.Struct, frozen=True):
    """Report that an endpoint has answered a request, despite crashes.

    The answer came `ms_ago` before the report.  An earlier build finds no
    crash in it, and ignores it.
    """

    answered: Fingerprint
    ms_ago: int = 0


@dataclasses.dataclass
class PoisonDetector:
    """Score crashes by fingerprint and refuse requests above the threshold.

    Notices above MAX_NOTICES_PER_SECOND are not published.
    """

    gossip: gossip_module.Gossip | None = None
    evidence: crash_evidence.CrashEvidence = dataclasses.field(
        default_factory=crash_evidence.CrashEvidence
    )
    _notice_times: list[clock.MonotonicTime] = dataclasses.field(
        default_factory=list
    )
    _is_suspect_by_fingerprint: dict[Fingerprint, bool] = dataclasses.field(
        default_factory=dict
    )
    _refused: list[Fingerprint] | None = None
    _verdicts_state: tuple[int, int] = (0, 0)

    def check(self, call: call_module.Call, now: clock.MonotonicTime) -> None:
        """Raise Refusal if the request of the call is a poison request."""
        if self.evidence.losses_by_fingerprint:
            self.check_fingerprint(fingerprint_of(call), now)

    def check_fingerprint(
        self, fingerprint: Fingerprint, now: clock.MonotonicTime
    ) -> None:
        """Raise Refusal if the fingerprint is that of a poison request."""
        if not self.is_poison(fingerprint, now):
            return
        raise refusal(
            len(self.evidence.recent_losses(fingerprint, now)),
            error_codes.Execution.NOT_RUN,
        )

    def is_poison(
        self, fingerprint: Fingerprint, now: clock.MonotonicTime
    ) -> bool:
        """Return whether the fingerprint is that of a poison request."""
        crashes = len(self.evidence.recent_losses(fingerprint, now))
        if crashes * ALONE_WEIGHT < SCORE_THRESHOLD:
            return False
        return self.score(fingerprint, now) >= SCORE_THRESHOLD

    def refused(self, now: clock.MonotonicTime) -> list[Fingerprint]:
        """Return the poison requests, in the order of their last crashes."""
        self._forget_stale_verdicts(now)
        if self._refused is None:
            self._refused = [
                fingerprint
                for fingerprint in self.evidence.losses_by_fingerprint
                if self.is_poison(fingerprint, now)
            ]
        return self._refused

    def _forget_stale_verdicts(self, now: clock.MonotonicTime) -> None:
        state = self.evidence.revision, int(now / VERDICT_TTL_SECONDS)
        if self._verdicts_state != state:
            self._verdicts_state = state
            self._refused = None
            self._is_suspect_by_fingerprint.clear()

    def record_crash(
        self,
        crash: Crash,
        now: clock.MonotonicTime,
        lost_at: clock.MonotonicTime | None = None,
    ) -> bool:
        """Count a crash that this daemon detected and publish a notice.

        Returns whether further requests with the fingerprint are refused.
        """
        at = now if lost_at is None else lost_at
        if self._add(crash, at, now):
            key = f"{crash.fingerprint}:{crash.endpoint}:{crash.started_ms}"
            told = msgspec.structs.replace(
                crash, ms_ago=clock.ms_since(at, now)
            )
            self._publish(key, told, now)
        return self.is_poison(crash.fingerprint, now)

    def record_answer_to(
        self, call: call_module.Call, now: clock.MonotonicTime
    ) -> None:
        """Record an answer to a call of the own interface.

        Without any crash the fingerprint is not worth its computation.
        """
        if self.evidence.losses_by_fingerprint:
            self.record_answer(fingerprint_of(call), now)

    def record_answer(
        self, fingerprint: Fingerprint, now: clock.MonotonicTime
    ) -> None:
        """Forget the crashes of a request that an endpoint has answered."""
        refuted = self.evidence.record_answer(fingerprint, now)
        if refuted:
            LOG.info(
                "crashes_refuted", fingerprint=fingerprint, crashes=refuted
            )
            self._publish_answer(fingerprint, now)

    def handle_notice(
        self, notice: gossip_module.Notice, now: clock.MonotonicTime
    ) -> None:
        """Apply the crash or the answer that another daemon has seen."""
        told_at = notice.published_at(now)
        try:
            crash = decoding.decode_json(notice.payload, Crash)
        except msgspec.DecodeError:
            self._handle_answered(notice, told_at)
            return
        lost_at = clock.ms_before(crash.ms_ago, told_at)
        self._add(crash, lost_at, now)
        if self.evidence.is_refuted(crash.fingerprint, lost_at):
            self._publish_answer(crash.fingerprint, now)

    def _handle_answered(
        self, notice: gossip_module.Notice, told_at: clock.MonotonicTime
    ) -> None:
        try:
            report = decoding.decode_json(notice.payload, Answered)
        except msgspec.DecodeError:
            return
        at = clock.ms_before(report.ms_ago, told_at)
        self.evidence.record_answer(report.answered, at)

    def _add(
        self,
        crash: Crash,
        lost_at: clock.MonotonicTime,
        now: clock.MonotonicTime,
    ) -> bool:
        """Return whether the crash was unknown and is not refuted."""
        incarnation = part_evidence.incarnation_key(
            ids.InstanceId(crash.endpoint), crash.started_ms
        )
        loss = crash_evidence.Loss(lost_at, crash.domain, crash.alone)
        return self.evidence.record_loss(
            crash.fingerprint, incarnation, loss, now
        )

    def _publish_answer(
        self, fingerprint: Fingerprint, now: clock.MonotonicTime
    ) -> None:
        answered_at = self.evidence.answered_at(fingerprint)
        report = Answered(fingerprint, clock.ms_since(answered_at, now))
        self._publish(f"{fingerprint}:answered", report, now)

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
        """Return the sum of the weights of the crashes of a request.

        Crashes that other suspect requests explain make none of its crashes a
        correlated failure.
        """
        return self._score(fingerprint, now, self._is_suspect)

    def _is_suspect(
        self, fingerprint: Fingerprint, now: clock.MonotonicTime
    ) -> bool:
        """Return whether a request may be the cause of its crashes."""
        self._forget_stale_verdicts(now)
        known = self._is_suspect_by_fingerprint.get(fingerprint)
        if known is None:
            known = self._is_suspect_by_fingerprint[fingerprint] = (
                self._has_many_crashes(fingerprint, now)
                or self._score(fingerprint, now, self._has_many_crashes)
                >= SCORE_THRESHOLD
            )
        return known

    def _has_many_crashes(
        self, fingerprint: Fingerprint, now: clock.MonotonicTime
    ) -> bool:
        losses = self.evidence.losses_by_fingerprint.get(fingerprint, {})
        if len(losses) < SUSPECT_CRASHES:
            return False
        losses = self.evidence.recent_losses(fingerprint, now)
        return len(losses) >= SUSPECT_CRASHES

    def _score(
        self,
        fingerprint: Fingerprint,
        now: clock.MonotonicTime,
        is_suspect: _IsSuspect,
    ) -> float:
        losses = self.evidence.recent_losses(fingerprint, now)
        if not losses:
            return 0.0
        was_answered = (
            self.evidence.answered_at(fingerprint) != part_evidence.NEVER
        )
        weight = ALONE_WEIGHT if not was_answered else CONCURRENT_WEIGHT
        return sum(
            (
                CORRELATED_WEIGHT
                if self._is_correlated(loss, losses, now, is_suspect)
                else weight if loss.alone else CONCURRENT_WEIGHT
            )
            for loss in losses.values()
        )

    def _is_correlated(
        self,
        loss: crash_evidence.Loss,
        losses: crash_evidence.Losses,
        now: clock.MonotonicTime,
        is_suspect: _IsSuspect,
    ) -> bool:
        """Return whether other endpoints of the domain were lost as well."""
        # Endpoints without a domain have nothing in common but the moment.
        window_seconds = (
            CORRELATION_WINDOW_SECONDS
            if loss.domain != part_evidence.NO_DOMAIN
            else part_evidence.SIMULTANEOUS_SECONDS
        )
        # Endpoints that were lost while they ran the same request are not
        # counted as a correlated failure, as the request may be the cause.
        return any(
            incarnation not in losses and not is_suspect(other, now)
            for incarnation, other in self.evidence.losses_near(
                loss, window_seconds
            )
        )


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
