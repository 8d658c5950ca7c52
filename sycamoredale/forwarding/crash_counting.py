"""Count the crashes of endpoints against the requests that were on them.

A connection also breaks when a group is closed, when packets are lost or when
this daemon loses its links.  A crash is counted once nobody reaches the
endpoint, or once the list of instances shows that it has started again.
"""

import dataclasses
from typing import Final

from sycamoredale import clock
from sycamoredale.forwarding import calls
from sycamoredale.forwarding import endpoints
from sycamoredale.forwarding import instance_table
from sycamoredale import ids
from sycamoredale.links import connector as connector_module
from sycamoredale.observability import logs
from sycamoredale.requests import part_evidence
from sycamoredale.requests import part_quarantine
from sycamoredale.requests import poison
from sycamoredale.requests import unconfirmed_losses

LOG: Final = logs.get("forwarding")


@dataclasses.dataclass
class CrashCounter:
    """Tell the poison detector and the quarantine of lost endpoints."""

    connector: connector_module.EndpointConnector
    instances: instance_table.InstanceTable
    poison_detector: poison.PoisonDetector
    quarantine: part_quarantine.PartQuarantine
    _unconfirmed: unconfirmed_losses.UnconfirmedLosses = dataclasses.field(
        default_factory=unconfirmed_losses.UnconfirmedLosses
    )

    def __post_init__(self) -> None:
        """Subscribe to changes of the instances."""
        self.instances.on_change.append(self._count_ended_endpoints)

    async def record_broken(
        self, call: calls.Call, endpoint: endpoints.Endpoint, ran_alone: bool
    ) -> None:
        """Record that a call was cut off on an endpoint."""
        instance = endpoint.instance
        lost = unconfirmed_losses.LostRequest(
            call.id,
            call.fingerprint,
            call.part_keys,
            instance.id,
            instance.started_ms,
            instance.domain,
            ran_alone,
            clock.monotonic(),
        )
        if await self.connector.is_lost(instance.address):
            self._count(lost, clock.monotonic())
        else:
            self._unconfirmed.add(lost)

    def _count_ended_endpoints(self) -> None:
        now = clock.monotonic()
        confirmed = self._unconfirmed.take_confirmed(
            self.instances.has_ended, now
        )
        for lost in confirmed:
            self._count(lost, now)

    def _count(
        self, lost: unconfirmed_losses.LostRequest, now: clock.MonotonicTime
    ) -> None:
        crash = poison.Crash(
            lost.fingerprint,
            ids.EndpointId(lost.endpoint),
            lost.domain,
            alone=lost.ran_alone,
            started_ms=lost.started_ms,
        )
        is_poisoned = self.poison_detector.record_crash(crash, now, lost.at)
        self.quarantine.record_loss(
            lost.part_keys,
            part_evidence.incarnation_key(lost.endpoint, lost.started_ms),
            lost.request,
            lost.at,
            lost.domain,
        )
        LOG.info(
            "crash_counted",
            request=lost.request,
            endpoint=crash.endpoint,
            alone=crash.alone,
            parts=lost.part_keys,
            score=self.poison_detector.score(crash.fingerprint, now),
            poisoned=is_poisoned,
            ms_ago=int(1000 * (now - lost.at)),
        )
