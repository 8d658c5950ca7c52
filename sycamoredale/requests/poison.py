"""Stop requests that crash each endpoint that runs them.

A request is known by a fingerprint of what its endpoint works on, whoever
sends it.  Each crash of an endpoint counts for the requests that ran there:
most for a request that ran alone, less for one in company, and little
where other endpoints of the fabric domain were lost at the same time.
Routers tell each other about crashes, so the count is over all of them.
"""

import collections.abc
import dataclasses
import hashlib
import typing
from typing import Final

import msgspec

from sycamoredale import clock
from sycamoredale import error_codes
from sycamoredale import errors
from sycamoredale import ids
from sycamoredale.membership import gossip as gossip_module
from sycamoredale.requests import call as call_module

MAX_CRASHES_PER_CALL: Final = 3
THRESHOLD: Final = 2.0
ALONE_WEIGHT: Final = 1.0
ACCOMPANIED_WEIGHT: Final = 0.7
CORRELATED_WEIGHT: Final = 0.1
CORRELATED_SECONDS: Final = 5.0
KEPT_SECONDS: Final = 3600.0
MAX_FINGERPRINTS: Final = 4096
MAX_CRASHES_PER_FINGERPRINT: Final = 32
NOTICES_PER_SECOND: Final = 20
CONTENT_FIELDS: Final = ("model", "messages", "prompt", "adapter")

Fingerprint = typing.NewType("Fingerprint", str)


class Crash(msgspec.Struct, frozen=True):
    """Tell that an endpoint was lost while it ran a request."""

    fingerprint: Fingerprint
    endpoint: ids.EndpointId
    domain: ids.DomainName
    alone: bool


@dataclasses.dataclass(frozen=True, slots=True)
class _Seen:
    crash: Crash
    time: clock.MonotonicTime


@dataclasses.dataclass
class PoisonList:
    """Count crashes by fingerprint and refuse what crossed the threshold."""

    relay: gossip_module.Gossip | None = None
    _seen_by_fingerprint: dict[Fingerprint, list[_Seen]] = dataclasses.field(
        default_factory=dict
    )
    _notice_times: list[clock.MonotonicTime] = dataclasses.field(
        default_factory=list
    )

    def check(self, call: call_module.Call, now: clock.MonotonicTime) -> None:
        """Raise Refusal if the request has crashed too many endpoints."""
        if self._seen_by_fingerprint:
            self.check_fingerprint(fingerprint_of(call), now)

    def check_fingerprint(
        self, fingerprint: Fingerprint, now: clock.MonotonicTime
    ) -> None:
        """Raise Refusal if what has the fingerprint crashes endpoints."""
        if self.score(fingerprint, now) < THRESHOLD:
            return
        raise refusal(
            len(self._recent(fingerprint, now)), error_codes.Execution.NOT_RUN
        )

    def observe(self, crash: Crash, now: clock.MonotonicTime) -> bool:
        """Count a crash that this router saw and tell the others.

        Returns whether the request is refused from now on.
        """
        self._add(crash, now)
        recent = [t for t in self._notice_times if t > now - 1.0]
        if self.relay is not None and len(recent) < NOTICES_PER_SECOND:
            recent.append(now)
            key = f"{crash.fingerprint}:{crash.endpoint}"
            self.relay.publish(gossip_module.Topic.POISON, key, crash)
        self._notice_times = recent
        return self.score(crash.fingerprint, now) >= THRESHOLD

    def hear(
        self, notice: gossip_module.Notice, now: clock.MonotonicTime
    ) -> None:
        """Count a crash that another router saw."""
        try:
            crash = msgspec.json.decode(notice.payload, type=Crash)
        except msgspec.DecodeError:
            return
        self._add(crash, now)

    def score(
        self, fingerprint: Fingerprint, now: clock.MonotonicTime
    ) -> float:
        """Return the weighted number of endpoints a request crashed."""
        return sum(
            self._weight(seen) for seen in self._recent(fingerprint, now)
        )

    def _recent(
        self, fingerprint: Fingerprint, now: clock.MonotonicTime
    ) -> list[_Seen]:
        seen = self._seen_by_fingerprint.get(fingerprint, [])
        return [s for s in seen if s.time > now - KEPT_SECONDS]

    def _weight(self, seen: _Seen) -> float:
        if self._is_correlated(seen):
            return CORRELATED_WEIGHT
        return ALONE_WEIGHT if seen.crash.alone else ACCOMPANIED_WEIGHT

    def _is_correlated(self, seen: _Seen) -> bool:
        # An endpoint that was lost with this very request aboard says
        # nothing for the request.
        crash = seen.crash
        own = {
            s.crash.endpoint
            for s in self._seen_by_fingerprint[crash.fingerprint]
        }
        return any(
            other.crash.domain == crash.domain
            and other.crash.endpoint not in own
            and abs(other.time - seen.time) <= CORRELATED_SECONDS
            for other in self._others()
        )

    def _others(self) -> collections.abc.Iterator[_Seen]:
        for seen in self._seen_by_fingerprint.values():
            yield from seen

    def _add(self, crash: Crash, now: clock.MonotonicTime) -> None:
        kept = [
            seen
            for seen in self._recent(crash.fingerprint, now)
            if seen.crash.endpoint != crash.endpoint
        ]
        kept.append(_Seen(crash, now))
        # Put back last, so that the first is the one longest without news.
        self._seen_by_fingerprint.pop(crash.fingerprint, None)
        self._seen_by_fingerprint[crash.fingerprint] = kept[
            -MAX_CRASHES_PER_FINGERPRINT:
        ]
        while self._is_stale(now):
            oldest = next(iter(self._seen_by_fingerprint))
            del self._seen_by_fingerprint[oldest]

    def _is_stale(self, now: clock.MonotonicTime) -> bool:
        if len(self._seen_by_fingerprint) > MAX_FINGERPRINTS:
            return True
        oldest = next(iter(self._seen_by_fingerprint))
        return not self._recent(oldest, now)


def fingerprint_of(call: call_module.Call) -> Fingerprint:
    """Return the digest of what an endpoint works on, without its caller."""
    request = call.upstream
    if not call.is_model:
        content: object = [request.method, request.target, request.body]
    else:
        fields = msgspec.json.decode(request.body)
        content = [fields.get(name) for name in CONTENT_FIELDS]
    return fingerprint_of_content(call.service.name, content)


def fingerprint_of_content(
    service: ids.ServiceName, content: object
) -> Fingerprint:
    """Return the digest of what the endpoints of a service work on."""
    text = msgspec.json.encode([service, content], order="sorted")
    return Fingerprint(hashlib.sha256(text).hexdigest()[:32])


def refusal(crashes: int, execution: error_codes.Execution) -> errors.Refusal:
    """Return the refusal of a request that crashes endpoints."""
    return errors.Refusal(
        error_codes.POISONED,
        f"{crashes} endpoints crashed while they ran this request; it is "
        "not tried again",
        execution,
    )
