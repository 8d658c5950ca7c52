"""Judge endpoints by what this router itself sees of them.

An endpoint is out after one broken, refused or silent exchange and comes
back by one request that serves as a probe.  The delay before the next
probe doubles with each failure.  Notices carry each change to the other
routers, ahead of the lagging instance list.

When nearly all endpoints seem to fail at once, the common cause is likely
this router: it then tells its peers nothing.  For the same reason a router
believes one peer about a limited share of the endpoints only.
"""

import collections.abc
import dataclasses
import enum
from typing import Final

import msgspec

from sycamoredale import clock
from sycamoredale import ids
from sycamoredale.membership import gossip
from sycamoredale.routing import latency

PROBE_DELAY_SECONDS: Final = 0.5
MAX_PROBE_DELAY_SECONDS: Final = 8.0
PROBE_TIMEOUT_SECONDS: Final = 10.0
LOCAL_FAULT_WINDOW_SECONDS: Final = 5.0
LOCAL_FAULT_SHARE: Final = 0.8
LOCAL_FAULT_MIN_ENDPOINTS: Final = 3
MAX_SHARE_PER_PEER: Final = 0.5
MIN_LIMIT_PER_PEER: Final = 2


class Outcome(enum.Enum):
    """Name how an exchange with an endpoint ended.

    ABANDONED says nothing about the endpoint: this side gave up.
    """

    ANSWERED = "answered"
    REFUSED = "refused"
    UNREACHABLE = "unreachable"
    BROKEN = "broken"
    SILENT = "silent"
    ABANDONED = "abandoned"


class HealthState(enum.Enum):
    """State whether an endpoint takes requests."""

    IN = "in"
    OUT = "out"


class HealthReport(msgspec.Struct, frozen=True):
    """Tell peers that an endpoint has changed its state, and why."""

    state: HealthState
    reason: Outcome


@dataclasses.dataclass
class EndpointHealth:
    """Hold what is known of one endpoint."""

    state: HealthState = HealthState.IN
    probe_at: clock.MonotonicTime = clock.MonotonicTime(0.0)
    probe_delay_seconds: float = PROBE_DELAY_SECONDS
    failed_at: clock.MonotonicTime | None = None
    seen_at: clock.MonotonicTime | None = None


OnTurnedCold = collections.abc.Callable[
    [ids.EndpointId, clock.MonotonicTime], None
]


@dataclasses.dataclass
class HealthTracker:
    """Hold the health of each endpoint by its id."""

    notices: gossip.Gossip
    latencies: latency.LatencyTracker = dataclasses.field(
        default_factory=latency.LatencyTracker
    )
    on_cold_again: OnTurnedCold = lambda endpoint, now: None
    by_id: dict[ids.EndpointId, EndpointHealth] = dataclasses.field(
        default_factory=dict
    )
    _out_by_origin: dict[ids.DaemonId, set[ids.EndpointId]] = (
        dataclasses.field(default_factory=dict)
    )

    def observe(
        self,
        endpoint: ids.EndpointId,
        outcome: Outcome,
        first_token_seconds: float | None,
        token_gap_seconds: float | None,
        now: clock.MonotonicTime,
    ) -> None:
        """Learn how one exchange ended; the gap is the mean of a stream."""
        known = self.by_id.setdefault(endpoint, EndpointHealth())
        if outcome is Outcome.ABANDONED:
            return
        known.seen_at = now
        if outcome is not Outcome.ANSWERED:
            self._fail(endpoint, known, outcome, now)
            return
        turned_cold = self.latencies.observe(
            endpoint, first_token_seconds, token_gap_seconds, now
        )
        if turned_cold:
            self.on_cold_again(endpoint, now)
        if known.state is HealthState.OUT:
            self._return(endpoint, known, outcome)

    def may_take(
        self,
        endpoint: ids.EndpointId,
        idempotent: bool,
        now: clock.MonotonicTime,
    ) -> bool:
        """Tell if a request may go there; only idempotent ones probe."""
        known = self.by_id.get(endpoint)
        if known is None or known.state is HealthState.IN:
            return True
        return idempotent and now >= known.probe_at

    def started(
        self, endpoint: ids.EndpointId, now: clock.MonotonicTime
    ) -> None:
        """Let no second request probe while the first one is open."""
        known = self.by_id.get(endpoint)
        if known is not None and known.state is HealthState.OUT:
            known.probe_at = clock.MonotonicTime(now + PROBE_TIMEOUT_SECONDS)

    def suspects_itself(self, now: clock.MonotonicTime) -> bool:
        """Tell if nearly all endpoints seen lately failed at once."""
        since = now - LOCAL_FAULT_WINDOW_SECONDS
        seen = [
            h
            for h in self.by_id.values()
            if h.seen_at is not None and h.seen_at >= since
        ]
        failed = sum(
            h.failed_at is not None and h.failed_at >= since for h in seen
        )
        if failed < LOCAL_FAULT_MIN_ENDPOINTS:
            return False
        return failed >= LOCAL_FAULT_SHARE * len(seen)

    def follow(
        self,
        service_by_id: collections.abc.Mapping[
            ids.EndpointId, ids.ServiceName
        ],
    ) -> None:
        """Know which endpoints exist and forget the others."""
        for endpoint in [e for e in self.by_id if e not in service_by_id]:
            del self.by_id[endpoint]
        for out in self._out_by_origin.values():
            out.intersection_update(service_by_id)
        self.latencies.follow(service_by_id)

    def hear(self, notice: gossip.Notice, now: clock.MonotonicTime) -> None:
        """Take over what a peer saw, within the share it is believed."""
        endpoint = ids.EndpointId(notice.key)
        try:
            report = msgspec.json.decode(notice.payload, type=HealthReport)
        except msgspec.DecodeError:
            return
        existing = self.latencies.service_by_id
        if endpoint not in existing:
            return
        known = self.by_id.setdefault(endpoint, EndpointHealth())
        out = self._out_by_origin.setdefault(notice.origin, set())
        if report.state is HealthState.IN:
            out.discard(endpoint)
            if known.state is HealthState.OUT:
                known.probe_at = now
            return
        allowed = max(MIN_LIMIT_PER_PEER, MAX_SHARE_PER_PEER * len(existing))
        if known.state is HealthState.IN and len(out) + 1 <= allowed:
            out.add(endpoint)
            _mark_unhealthy(known, now)

    def _fail(
        self,
        endpoint: ids.EndpointId,
        known: EndpointHealth,
        outcome: Outcome,
        now: clock.MonotonicTime,
    ) -> None:
        was = known.state
        known.failed_at = now
        _mark_unhealthy(known, now)
        if outcome is Outcome.REFUSED:
            self.on_cold_again(endpoint, now)
        if was is HealthState.IN and not self.suspects_itself(now):
            report = HealthReport(HealthState.OUT, outcome)
            self.notices.publish(gossip.Topic.ENDPOINT, endpoint, report)

    def _return(
        self,
        endpoint: ids.EndpointId,
        known: EndpointHealth,
        outcome: Outcome,
    ) -> None:
        known.state = HealthState.IN
        known.probe_delay_seconds = PROBE_DELAY_SECONDS
        for out in self._out_by_origin.values():
            out.discard(endpoint)
        report = HealthReport(HealthState.IN, outcome)
        self.notices.publish(gossip.Topic.ENDPOINT, endpoint, report)


def _mark_unhealthy(known: EndpointHealth, now: clock.MonotonicTime) -> None:
    known.state = HealthState.OUT
    delay = known.probe_delay_seconds
    known.probe_at = clock.MonotonicTime(now + delay)
    known.probe_delay_seconds = min(2 * delay, MAX_PROBE_DELAY_SECONDS)
