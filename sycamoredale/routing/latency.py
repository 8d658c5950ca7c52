"""Compare the latency of endpoints with their own past and their peers.

Each endpoint has two exponentially weighted moving averages of the time to
the first token, a fast and a slow one.  An endpoint whose fast average is
far above the median of its service is a straggler.  If the fast average also
jumps far above the endpoint's own slow average, the endpoint has turned
cold.  Load that slows all endpoints of a service down raises the median as
well, so neither applies.
"""

import collections
import collections.abc
import dataclasses
import math
import statistics
from typing import Final

from sycamoredale import clock
from sycamoredale import ids

FAST_EWMA_WEIGHT: Final = 0.3
SLOW_EWMA_WEIGHT: Final = 0.05
# The fast average is compared with the slow one from this many samples on.
MIN_JUMP_SAMPLES: Final = 8
STRAGGLER_RATIO: Final = 2.0
COLD_RATIO: Final = 4.0
COLD_RATIO_WITHOUT_PEERS: Final = 8.0
# A lower latency is not taken for a cold start, whatever its ratio.
MIN_COLD_LATENCY_SECONDS: Final = 0.1
MIN_ENDPOINTS_FOR_MEDIAN: Final = 3
MAX_SLOWDOWN: Final = 8.0
SLOWDOWN_HALF_LIFE_SECONDS: Final = 5.0
MEDIAN_REFRESH_SECONDS: Final = 1.0


@dataclasses.dataclass
class EndpointLatency:
    """Store the moving averages of one endpoint, in seconds."""

    samples: int = 0
    fast_mean: float = 0.0
    slow_mean: float = 0.0
    token_gap_mean: float = 0.0
    observed_at: clock.MonotonicTime = clock.MonotonicTime(0.0)


@dataclasses.dataclass
class _Medians:
    first_token: float
    token_gap: float
    endpoints: int


@dataclasses.dataclass
class LatencyTracker:
    """Track endpoint latencies and compare them within each service."""

    by_id: dict[ids.EndpointId, EndpointLatency] = dataclasses.field(
        default_factory=dict
    )
    service_by_id: dict[ids.EndpointId, ids.ServiceName] = dataclasses.field(
        default_factory=dict
    )
    _medians_by_service: dict[ids.ServiceName, _Medians] = dataclasses.field(
        default_factory=dict
    )
    _medians_computed_at: clock.MonotonicTime = clock.MonotonicTime(
        -MEDIAN_REFRESH_SECONDS
    )

    def record_answer(
        self,
        endpoint: ids.EndpointId,
        first_token_seconds: float | None,
        token_gap_seconds: float | None,
        now: clock.MonotonicTime,
    ) -> bool:
        """Record one answer; return whether the endpoint has turned cold."""
        latency = self.by_id.setdefault(endpoint, EndpointLatency())
        latency.observed_at = now
        if token_gap_seconds is not None:
            latency.token_gap_mean = _update_mean(
                latency.token_gap_mean, token_gap_seconds, FAST_EWMA_WEIGHT
            )
        if first_token_seconds is None:
            return False
        latency.fast_mean = _update_mean(
            latency.fast_mean, first_token_seconds, FAST_EWMA_WEIGHT
        )
        has_jumped = self._has_jumped(endpoint, latency, now)
        if has_jumped:
            latency.samples = 0
            latency.slow_mean = 0.0
            return True
        latency.samples += 1
        latency.slow_mean = _update_mean(
            latency.slow_mean, first_token_seconds, SLOW_EWMA_WEIGHT
        )
        return False

    def slowdown(
        self, endpoint: ids.EndpointId, now: clock.MonotonicTime
    ) -> float:
        """Return the latency relative to the service's median, at least 1.

        Ratios that are too low for a straggler are returned as 1.
        """
        latency = self.by_id.get(endpoint)
        medians = self._medians(endpoint, now)
        if (
            latency is None
            or medians is None
            or medians.endpoints < MIN_ENDPOINTS_FOR_MEDIAN
        ):
            return 1.0
        first_token_ratio = (
            latency.fast_mean / medians.first_token
            if medians.first_token
            else 1
        )
        token_gap_ratio = (
            latency.token_gap_mean / medians.token_gap
            if medians.token_gap
            else 1
        )
        ratio = min(max(first_token_ratio, token_gap_ratio), MAX_SLOWDOWN)
        if ratio <= STRAGGLER_RATIO:
            return 1.0
        # Without decay, an endpoint that gets no requests would never
        # recover, since only answers update its averages.
        age = now - latency.observed_at
        remaining = math.pow(0.5, age / SLOWDOWN_HALF_LIFE_SECONDS)
        return 1.0 + (ratio - 1.0) * remaining

    def expected_seconds(
        self, service: ids.ServiceName, now: clock.MonotonicTime
    ) -> float:
        """Return the median time to the first token, 0 without samples."""
        medians = self._service_medians(service, now)
        return medians.first_token if medians is not None else 0.0

    def set_endpoints(
        self,
        service_by_id: collections.abc.Mapping[
            ids.EndpointId, ids.ServiceName
        ],
    ) -> None:
        """Replace the set of endpoints and drop the state of others."""
        self.service_by_id = dict(service_by_id)
        for endpoint in [e for e in self.by_id if e not in service_by_id]:
            del self.by_id[endpoint]

    def _has_jumped(
        self,
        endpoint: ids.EndpointId,
        latency: EndpointLatency,
        now: clock.MonotonicTime,
    ) -> bool:
        if (
            latency.samples < MIN_JUMP_SAMPLES
            or latency.fast_mean < MIN_COLD_LATENCY_SECONDS
        ):
            return False
        medians = self._medians(endpoint, now)
        if medians is None or medians.endpoints < MIN_ENDPOINTS_FOR_MEDIAN:
            return (
                latency.fast_mean
                > COLD_RATIO_WITHOUT_PEERS * latency.slow_mean
            )
        if latency.fast_mean <= COLD_RATIO * latency.slow_mean:
            return False
        return latency.fast_mean > COLD_RATIO * medians.first_token

    def _medians(
        self, endpoint: ids.EndpointId, now: clock.MonotonicTime
    ) -> _Medians | None:
        service = self.service_by_id.get(endpoint)
        if service is None:
            return None
        return self._service_medians(service, now)

    def _service_medians(
        self, service: ids.ServiceName, now: clock.MonotonicTime
    ) -> _Medians | None:
        if now - self._medians_computed_at >= MEDIAN_REFRESH_SECONDS:
            self._compute_medians()
            self._medians_computed_at = now
        return self._medians_by_service.get(service)

    def _compute_medians(self) -> None:
        by_service: dict[ids.ServiceName, list[EndpointLatency]] = (
            collections.defaultdict(list)
        )
        for endpoint, latency in self.by_id.items():
            service = self.service_by_id.get(endpoint)
            if service is not None and latency.fast_mean:
                by_service[service].append(latency)
        self._medians_by_service = {
            service: _Medians(
                _median_or_zero(x.fast_mean for x in latencies),
                _median_or_zero(
                    x.token_gap_mean for x in latencies if x.token_gap_mean
                ),
                len(latencies),
            )
            for service, latencies in by_service.items()
        }


def _update_mean(mean: float, sample: float, weight: float) -> float:
    if not mean:
        return sample
    return mean + weight * (sample - mean)


def _median_or_zero(values: collections.abc.Iterable[float]) -> float:
    listed = list(values)
    return statistics.median(listed) if listed else 0.0
