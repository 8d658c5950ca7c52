"""Carry out the orders that the stand-in of a model engine takes.

The weights of an order come from the weight store if its address is set
and this engine does not hold them already.
"""

import dataclasses
from typing import Final

import curio
import msgspec

from sycamoredale import clock
from sycamoredale.engines import orders
from sycamoredale import errors
from sycamoredale.http import client
from sycamoredale.http import messages
from sycamoredale import ids
from sycamoredale.object_api import weights

SERVING_PHASES: Final = frozenset((orders.Phase.COLD, orders.Phase.READY))


@dataclasses.dataclass
class OrderExecutor:
    """Hold the last order and the phase that follows from it."""

    instance: ids.InstanceId
    load_seconds: float
    cold_seconds: float
    honours_fencing: bool
    weight_store: weights.WeightStore | None = None
    order: orders.Order | None = None
    epoch: ids.Epoch = ids.Epoch(0)
    phase: orders.Phase = orders.Phase.EMPTY
    local_weights: list[str] = dataclasses.field(default_factory=list)
    applied_orders: list[orders.Order] = dataclasses.field(
        default_factory=list
    )
    _phase_ends_at: clock.MonotonicTime = clock.MonotonicTime(0.0)

    def advance(self, now: clock.MonotonicTime) -> None:
        """Pass through the phases that time alone ends."""
        if now < self._phase_ends_at:
            return
        if self.phase is orders.Phase.LOADING and self._has_weights():
            self.phase = orders.Phase.COLD
            self._phase_ends_at = clock.MonotonicTime(
                self._phase_ends_at + self.cold_seconds
            )
            self.advance(now)
        elif self.phase is orders.Phase.COLD:
            self.phase = orders.Phase.READY

    async def apply(
        self, order: orders.Order, now: clock.MonotonicTime
    ) -> bool:
        """Carry out an order; tell whether it was not refused as stale."""
        if self.honours_fencing and order.epoch < self.epoch:
            return False
        self.epoch = order.epoch
        self.applied_orders.append(order)
        match order.action:
            case orders.Action.LOAD:
                await self._start_loading(order, now)
            case orders.Action.UNLOAD:
                self.phase = orders.Phase.EMPTY
                self.order = None
            case orders.Action.DRAIN:
                self.phase = orders.Phase.DRAINING
            case orders.Action.RESUME:
                if self.phase is orders.Phase.DRAINING:
                    self.start_cold_start(now)
            case orders.Action.UPDATE:
                self._update(order)
        return True

    def start_cold_start(self, now: clock.MonotonicTime) -> None:
        """Start a cold start, as after a resume or without an order."""
        self.phase = orders.Phase.COLD
        self._phase_ends_at = clock.MonotonicTime(now + self.cold_seconds)

    def report_state(
        self, running: int, step_seconds: float
    ) -> orders.EngineState:
        """Return the report of this engine."""
        order = self.order
        return orders.EngineState(
            instance=self.instance,
            phase=self.phase,
            epoch=self.epoch,
            group=order.group if order else None,
            service=order.service if order else ids.ServiceName(""),
            version=order.version if order else ids.VersionName(""),
            running=running,
            adapters=order.adapters if order else [],
            role=order.role if order else orders.Role.MIXED,
            held=self.local_weights,
            step_seconds=step_seconds,
        )

    def _has_weights(self) -> bool:
        return (
            self.order is not None and self.order.weights in self.local_weights
        )

    async def _start_loading(
        self, order: orders.Order, now: clock.MonotonicTime
    ) -> None:
        self.order = order
        self.phase = orders.Phase.LOADING
        self._phase_ends_at = clock.MonotonicTime(now + self.load_seconds)
        if self._has_weights():
            return
        if self.weight_store is None:
            self.local_weights.append(order.weights)
            return
        await curio.spawn(self._fetch, order, self.weight_store, daemon=True)

    async def _fetch(
        self, order: orders.Order, store: weights.WeightStore
    ) -> None:
        try:
            await store.fetch(order.weights)
        except errors.StoreUnavailable:
            if self.order is order:
                self.phase = orders.Phase.FAILED
            return
        self.local_weights.append(order.weights)

    def _update(self, order: orders.Order) -> None:
        if self.order is None:
            return
        self.order = msgspec.structs.replace(
            self.order, adapters=order.adapters, role=order.role
        )


def open_weight_store(
    address: str, pool: client.Pool
) -> weights.WeightStore | None:
    """Return the weight store at an address, None if it is empty."""
    if not address:
        return None
    return weights.WeightStore(messages.parse_address(address), pool)


def decode_order(body: bytes) -> orders.Order:
    """Return the order in the body of a request."""
    return msgspec.json.decode(body, type=orders.Order)
