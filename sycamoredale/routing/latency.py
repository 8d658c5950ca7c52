"""Compare the latencies of endpoints with their past and their peers.

Each endpoint has two exponential means of the time to its first token, a
fast and a slow one.  A fast mean far above those of the service's other
endpoints marks a straggler.  One that also jumps far above its own slow
mean marks an endpoint that has turned cold again; load that slows all
endpoints alike marks none.
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
MIN_JUMP_SAMPLES: Final = 8
STRAGGLER_RATIO: Final = 2.0
COLD_RATIO: Final = 4.0
COLD_RATIO_WITHOUT_PEERS: Final = 8.0
MIN_COLD_LATENCY_SECONDS: Final = 0.1
MIN_ENDPOINTS_FOR_MEDIAN: Final = 3
MAX_SLOWNESS: Final = 8.0
SLOWNESS_HALF_LIFE_SECONDS: Final = 5.0
MEDIAN_REFRESH_SECONDS: Final = 1.0


@dataclasses.dataclass
class EndpointLatency:
    """Hold the means of one endpoint, in seconds."""

    samples: int = 0
    fast: float = 0.0
    slow: float = 0.0
    gap: float = 0.0
    seen_at: clock.MonotonicTime = clock.MonotonicTime(0.0)


@dataclasses.dataclass
class _Medians:
    first_token: float
    gap: float
    endpoints: int


@dataclasses.dataclass
class LatencyTracker:
    """Hold the latencies of endpoints by id, compared per service."""

    by_id: dict[ids.EndpointId, EndpointLatency] = dataclasses.field(
        default_factory=dict
    )
    service_by_id: dict[ids.EndpointId, ids.ServiceName] = dataclasses.field(
        default_factory=dict
    )
    _medians_by_service: dict[ids.ServiceName, _Medians] = dataclasses.field(
        default_factory=dict
    )
    _computed_at: clock.MonotonicTime = clock.MonotonicTime(
        -MEDIAN_REFRESH_SECONDS
    )

    def observe(
        self,
        endpoint: ids.EndpointId,
        first_token_seconds: float | None,
        gap_seconds: float | None,
        now: clock.MonotonicTime,
    ) -> bool:
        """Learn from one answer; tell if the endpoint turned cold again."""
        known = self.by_id.setdefault(endpoint, EndpointLatency())
        known.seen_at = now
        if gap_seconds is not None:
            known.gap = _update_mean(known.gap, gap_seconds, FAST_EWMA_WEIGHT)
        if first_token_seconds is None:
            return False
        known.fast = _update_mean(
            known.fast, first_token_seconds, FAST_EWMA_WEIGHT
        )
        cold = self._is_jump(endpoint, known, now)
        if cold:
            known.samples = 0
            known.slow = 0.0
            return True
        known.samples += 1
        known.slow = _update_mean(
            known.slow, first_token_seconds, SLOW_EWMA_WEIGHT
        )
        return False

    def slowness(
        self, endpoint: ids.EndpointId, now: clock.MonotonicTime
    ) -> float:
        """Return how many times slower it is than its peers, at least 1."""
        known = self.by_id.get(endpoint)
        medians = self._medians(endpoint, now)
        if (
            known is None
            or medians is None
            or medians.endpoints < MIN_ENDPOINTS_FOR_MEDIAN
        ):
            return 1.0
        first = known.fast / medians.first_token if medians.first_token else 1
        gap = known.gap / medians.gap if medians.gap else 1
        ratio = min(max(first, gap), MAX_SLOWNESS)
        if ratio <= STRAGGLER_RATIO:
            return 1.0
        # An endpoint that nobody tries would stay slow for ever.
        age = now - known.seen_at
        left = math.pow(0.5, age / SLOWNESS_HALF_LIFE_SECONDS)
        return 1.0 + (ratio - 1.0) * left

    def expected_seconds(
        self, service: ids.ServiceName, now: clock.MonotonicTime
    ) -> float:
        """Return the median time to a first token, 0 while unknown."""
        medians = self._service_medians(service, now)
        return medians.first_token if medians is not None else 0.0

    def follow(
        self,
        service_by_id: collections.abc.Mapping[
            ids.EndpointId, ids.ServiceName
        ],
    ) -> None:
        """Know which endpoints exist and forget the others."""
        self.service_by_id = dict(service_by_id)
        for endpoint in [e for e in self.by_id if e not in service_by_id]:
            del self.by_id[endpoint]

    def _is_jump(
        self,
        endpoint: ids.EndpointId,
        known: EndpointLatency,
        now: clock.MonotonicTime,
    ) -> bool:
        if (
            known.samples < MIN_JUMP_SAMPLES
            or known.fast < MIN_COLD_LATENCY_SECONDS
        ):
            return False
        medians = self._medians(endpoint, now)
        if medians is None or medians.endpoints < MIN_ENDPOINTS_FOR_MEDIAN:
            return known.fast > COLD_RATIO_WITHOUT_PEERS * known.slow
        if known.fast <= COLD_RATIO * known.slow:
            return False
        return known.fast > COLD_RATIO * medians.first_token

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
        if now - self._computed_at >= MEDIAN_REFRESH_SECONDS:
            self._compute_medians()
            self._computed_at = now
        return self._medians_by_service.get(service)

    def _compute_medians(self) -> None:
        by_service: dict[ids.ServiceName, list[EndpointLatency]] = (
            collections.defaultdict(list)
        )
        for endpoint, latency in self.by_id.items():
            service = self.service_by_id.get(endpoint)
            if service is not None and latency.fast:
                by_service[service].append(latency)
        self._medians_by_service = {
            service: _Medians(
                _median_or_zero(x.fast for x in latencies),
                _median_or_zero(x.gap for x in latencies if x.gap),
                len(latencies),
            )
            for service, latencies in by_service.items()
        }


def _update_mean(known: float, sample: float, weight: float) -> float:
    if not known:
        return sample
    return known + weight * (sample - known)


def _median_or_zero(values: collections.abc.Iterable[float]) -> float:
    listed = list(values)
    return statistics.median(listed) if listed else 0.0
