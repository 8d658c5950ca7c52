"""Apply orders to a simulated engine.

The engine fetches the weights of an order from the weight store if one is
configured and the weights are not stored locally yet.
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
    """Apply orders and derive the phase of the engine from the last one."""

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
        """Make the phase transitions that are due by elapsed time."""
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
        """Apply an order; return False if its epoch is stale."""
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
        """Enter a cold start, after a resume order or on request of a test."""
        self.phase = orders.Phase.COLD
        self._phase_ends_at = clock.MonotonicTime(now + self.cold_seconds)

    def report_state(
        self, running: int, step_seconds: float
    ) -> orders.EngineState:
        """Return the state that the engine reports."""
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
    """Return a client of the weight store, or None without an address."""
    if not address:
        return None
    return weights.WeightStore(messages.parse_address(address), pool)


def decode_order(body: bytes) -> orders.Order:
    """Decode the order in a request body."""
    return msgspec.json.decode(body, type=orders.Order)
