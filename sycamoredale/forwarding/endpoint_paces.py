"""Measure the pace of the endpoints of engines, and keep it up to date.

See `sycamoredale.scheduling.pace` for the decisions.
"""

import collections.abc
import dataclasses
from typing import Final

from sycamoredale import clock
from sycamoredale.forwarding import catalogue
from sycamoredale.forwarding import endpoints
from sycamoredale import loop_delays
from sycamoredale.observability import logs
from sycamoredale.scheduling import pace

LOG: Final = logs.get("endpoint_paces")


def build_meter(
    service: catalogue.Service,
    endpoint: endpoints.Endpoint,
    delays: loop_delays.LoopDelays,
) -> pace.StreamMeter | None:
    """Return what measures a stream, None if nothing states its pauses."""
    engine = service.engine
    model = service.model(endpoint.model)
    if engine is None or model is None:
        return None
    factor = engine.cross_domain_factor if endpoint.is_cross_domain else 1.0
    factor *= model.time_factor * engine.steps_per_event
    pauses = pace.Pauses(
        engine.slots,
        factor * engine.step_seconds,
        factor * engine.step_seconds_per_request,
    )
    return pace.StreamMeter(
        endpoint.pace, pauses, endpoint.load, delays.seconds_between
    )


@dataclasses.dataclass
class EndpointPaces:
    """Update the pace of all endpoints of engines, and log changes.

    `is_enabled` tells whether the fleet is large enough.
    """

    endpoint_table: endpoints.EndpointTable
    is_enabled: collections.abc.Callable[[], bool]
    _was_enabled: bool = False
    _is_withheld: bool = False

    def update(self, now: clock.MonotonicTime) -> None:
        """Derive the slowdowns from the samples of all daemons."""
        is_enabled = self.is_enabled()
        if is_enabled:
            self._withhold(now)
            for endpoint in self.endpoint_table.by_id.values():
                change = endpoint.pace.update(now)
                if change is not None:
                    _log(endpoint, change, now)
        elif self._was_enabled:
            for endpoint in self.endpoint_table.by_id.values():
                endpoint.pace.reset()
        self._was_enabled = is_enabled

    def _withhold(self, now: clock.MonotonicTime) -> None:
        """Use no samples of this daemon while it is slow itself."""
        known = self.endpoint_table.by_id.values()
        withheld = pace.is_daemon_slow((e.pace for e in known), now)
        for endpoint in known:
            endpoint.pace.is_sent = not withheld
        if withheld != self._is_withheld:
            self._is_withheld = withheld
            LOG.info(
                "own_samples_withheld" if withheld else "own_samples_used"
            )


def _log(
    endpoint: endpoints.Endpoint,
    change: pace.Change,
    now: clock.MonotonicTime,
) -> None:
    own, peers = endpoint.pace.own(now), endpoint.pace.peers(now)
    LOG.info(
        (
            "endpoint_slow"
            if change is pace.Change.BEGAN
            else "endpoint_not_slow"
        ),
        endpoint=endpoint.id,
        model=endpoint.model,
        slowdown=round(endpoint.pace.slowdown, 2),
        own_samples=own.samples,
        peer_samples=peers.samples,
    )
