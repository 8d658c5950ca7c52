"""Track the health of endpoints by the outcomes of this router's requests.

An endpoint is unhealthy after one failed exchange and becomes healthy again
when one request, sent as a probe, is answered.  The delay before the next
probe doubles with each failure.  Each change is sent to the other routers as
a notice, which arrives before the instance list reflects it.

When nearly all endpoints fail at once, the cause is probably local to this
router or its network, so it sends no notices of failures.  For the same
reason a router accepts such notices of one peer for a limited share of the
endpoints only.
"""

import collections.abc
import dataclasses
import enum
from typing import Final

import msgspec

from sycamoredale import clock
from sycamoredale import decoding
from sycamoredale import ids
from sycamoredale.membership import gossip
from sycamoredale.routing import latency

PROBE_DELAY_SECONDS: Final = 0.5
MAX_PROBE_DELAY_SECONDS: Final = 8.0
# A probe without an outcome blocks the next one for this long.
PROBE_TIMEOUT_SECONDS: Final = 10.0
# A local fault is suspected if at least this many endpoints, and this share
# of those observed within the window, have failed.
LOCAL_FAULT_WINDOW_SECONDS: Final = 5.0
LOCAL_FAULT_SHARE: Final = 0.8
LOCAL_FAULT_MIN_ENDPOINTS: Final = 3
# Endpoints that one peer can mark as unhealthy: this share of all, but in a
# small fleet at least the number below.
MAX_SHARE_PER_PEER: Final = 0.5
MIN_LIMIT_PER_PEER: Final = 2


class Outcome(enum.Enum):
    """Enumerate how an exchange with an endpoint can end.

    ABANDONED does not affect the endpoint's health, since the router itself
    ended the exchange or did not send the request.
    """

    ANSWERED = "answered"
    REFUSED = "refused"
    UNREACHABLE = "unreachable"
    BROKEN = "broken"
    SILENT = "silent"
    ABANDONED = "abandoned"


class HealthState(enum.Enum):
    """Enumerate the health states of an endpoint."""

    HEALTHY = "in"
    UNHEALTHY = "out"


class HealthReport(msgspec.Struct, frozen=True):
    """Inform peers of a changed health state and its reason."""

    state: HealthState
    reason: Outcome


@dataclasses.dataclass
class EndpointHealth:
    """Record the health of one endpoint and when to probe it next."""

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
    """Track the health of each endpoint."""

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
        """Record the outcome of one exchange.

        `token_gap_seconds` is the mean time between the tokens of a stream.
        """
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
        """Return whether a request may be sent to the endpoint.

        Only idempotent requests probe an unhealthy endpoint.
        """
        health = self.by_id.get(endpoint)
        if health is None or health.state is HealthState.HEALTHY:
            return True
        return idempotent and now >= health.probe_at

    def record_start(
        self, endpoint: ids.EndpointId, now: clock.MonotonicTime
    ) -> None:
        """Delay further probes while a request to the endpoint is open."""
        health = self.by_id.get(endpoint)
        if health is not None and health.state is HealthState.UNHEALTHY:
            health.probe_at = clock.MonotonicTime(now + PROBE_TIMEOUT_SECONDS)

    def trust_all(self) -> None:
        """Mark all endpoints as healthy, after a fault of this router."""
        for endpoint, health in self.by_id.items():
            if health.state is HealthState.UNHEALTHY:
                self._mark_healthy(endpoint, health, Outcome.ABANDONED)

    def suspects_local_fault(self, now: clock.MonotonicTime) -> bool:
        """Return whether nearly all recently observed endpoints failed."""
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
        """Replace the set of endpoints and drop the state of others."""
        for endpoint in [e for e in self.by_id if e not in service_by_id]:
            del self.by_id[endpoint]
        for unhealthy in self._unhealthy_by_peer.values():
            unhealthy.intersection_update(service_by_id)
        self.latencies.set_endpoints(service_by_id)

    def handle_notice(
        self, notice: gossip.Notice, now: clock.MonotonicTime
    ) -> None:
        """Apply a peer's notice, within the limit of endpoints per peer.

        A notice of recovery makes the next probe due now; only this
        router's own probe marks the endpoint as healthy.
        """
        endpoint = ids.EndpointId(notice.key)
        try:
            report = decoding.decode_json(notice.payload, HealthReport)
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
