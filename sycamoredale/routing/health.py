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

    HEALTHY = "in"
    UNHEALTHY = "out"


class HealthReport(msgspec.Struct, frozen=True):
    """Tell peers that an endpoint has changed its state, and why."""

    state: HealthState
    reason: Outcome


@dataclasses.dataclass
class EndpointHealth:
    """Hold what is known of one endpoint."""

    state: HealthState = HealthState.HEALTHY
    probe_at: clock.MonotonicTime = clock.MonotonicTime(0.0)
    probe_delay_seconds: float = PROBE_DELAY_SECONDS
    failed_at: clock.MonotonicTime | None = None
    observed_at: clock.MonotonicTime | None = None


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
    on_turned_cold: OnTurnedCold = lambda endpoint, now: None
    by_id: dict[ids.EndpointId, EndpointHealth] = dataclasses.field(
        default_factory=dict
    )
    _unhealthy_by_peer: dict[ids.DaemonId, set[ids.EndpointId]] = (
        dataclasses.field(default_factory=dict)
    )

    def record_outcome(
        self,
        endpoint: ids.EndpointId,
        outcome: Outcome,
        first_token_seconds: float | None,
        token_gap_seconds: float | None,
        now: clock.MonotonicTime,
    ) -> None:
        """Learn how one exchange ended; the gap is the mean of a stream."""
        health = self.by_id.setdefault(endpoint, EndpointHealth())
        if outcome is Outcome.ABANDONED:
            return
        health.observed_at = now
        if outcome is not Outcome.ANSWERED:
            self._record_failure(endpoint, health, outcome, now)
            return
        turned_cold = self.latencies.record_answer(
            endpoint, first_token_seconds, token_gap_seconds, now
        )
        if turned_cold:
            self.on_turned_cold(endpoint, now)
        if health.state is HealthState.UNHEALTHY:
            self._mark_healthy(endpoint, health, outcome)

    def allows_request(
        self,
        endpoint: ids.EndpointId,
        idempotent: bool,
        now: clock.MonotonicTime,
    ) -> bool:
        """Tell if a request may go there; only idempotent ones probe."""
        health = self.by_id.get(endpoint)
        if health is None or health.state is HealthState.HEALTHY:
            return True
        return idempotent and now >= health.probe_at

    def record_start(
        self, endpoint: ids.EndpointId, now: clock.MonotonicTime
    ) -> None:
        """Let no second request probe while the first one is open."""
        health = self.by_id.get(endpoint)
        if health is not None and health.state is HealthState.UNHEALTHY:
            health.probe_at = clock.MonotonicTime(now + PROBE_TIMEOUT_SECONDS)

    def suspects_local_fault(self, now: clock.MonotonicTime) -> bool:
        """Tell if nearly all endpoints seen lately failed at once."""
        since = now - LOCAL_FAULT_WINDOW_SECONDS
        observed = [
            h
            for h in self.by_id.values()
            if h.observed_at is not None and h.observed_at >= since
        ]
        failed = sum(
            h.failed_at is not None and h.failed_at >= since for h in observed
        )
        if failed < LOCAL_FAULT_MIN_ENDPOINTS:
            return False
        return failed >= LOCAL_FAULT_SHARE * len(observed)

    def set_endpoints(
        self,
        service_by_id: collections.abc.Mapping[
            ids.EndpointId, ids.ServiceName
        ],
    ) -> None:
        """Know which endpoints exist and forget the others."""
        for endpoint in [e for e in self.by_id if e not in service_by_id]:
            del self.by_id[endpoint]
        for unhealthy in self._unhealthy_by_peer.values():
            unhealthy.intersection_update(service_by_id)
        self.latencies.set_endpoints(service_by_id)

    def handle_notice(
        self, notice: gossip.Notice, now: clock.MonotonicTime
    ) -> None:
        """Take over what a peer saw, within the share it is believed."""
        endpoint = ids.EndpointId(notice.key)
        try:
            report = msgspec.json.decode(notice.payload, type=HealthReport)
        except msgspec.DecodeError:
            return
        endpoints = self.latencies.service_by_id
        if endpoint not in endpoints:
            return
        health = self.by_id.setdefault(endpoint, EndpointHealth())
        unhealthy = self._unhealthy_by_peer.setdefault(notice.origin, set())
        if report.state is HealthState.HEALTHY:
            unhealthy.discard(endpoint)
            if health.state is HealthState.UNHEALTHY:
                health.probe_at = now
            return
        allowed = max(MIN_LIMIT_PER_PEER, MAX_SHARE_PER_PEER * len(endpoints))
        if (
            health.state is HealthState.HEALTHY
            and len(unhealthy) + 1 <= allowed
        ):
            unhealthy.add(endpoint)
            _mark_unhealthy(health, now)

    def _record_failure(
        self,
        endpoint: ids.EndpointId,
        health: EndpointHealth,
        outcome: Outcome,
        now: clock.MonotonicTime,
    ) -> None:
        previous_state = health.state
        health.failed_at = now
        _mark_unhealthy(health, now)
        if outcome is Outcome.REFUSED:
            self.on_turned_cold(endpoint, now)
        if (
            previous_state is HealthState.HEALTHY
            and not self.suspects_local_fault(now)
        ):
            report = HealthReport(HealthState.UNHEALTHY, outcome)
            self.notices.publish(gossip.Topic.ENDPOINT, endpoint, report)

    def _mark_healthy(
        self,
        endpoint: ids.EndpointId,
        health: EndpointHealth,
        outcome: Outcome,
    ) -> None:
        health.state = HealthState.HEALTHY
        health.probe_delay_seconds = PROBE_DELAY_SECONDS
        for unhealthy in self._unhealthy_by_peer.values():
            unhealthy.discard(endpoint)
        report = HealthReport(HealthState.HEALTHY, outcome)
        self.notices.publish(gossip.Topic.ENDPOINT, endpoint, report)


def _mark_unhealthy(health: EndpointHealth, now: clock.MonotonicTime) -> None:
    health.state = HealthState.UNHEALTHY
    delay = health.probe_delay_seconds
    health.probe_at = clock.MonotonicTime(now + delay)
    health.probe_delay_seconds = min(2 * delay, MAX_PROBE_DELAY_SECONDS)
