"""Adapt the orders and reports of model engines."""

import dataclasses
from typing import Final

import msgspec

from sycamoredale.engines import orders
from sycamoredale import error_codes
from sycamoredale import errors
from sycamoredale.http import client
from sycamoredale.http import messages

CALL_SECONDS: Final = 2.0


@dataclasses.dataclass
class ModelEngines:
    """Call engines by the address of their instance."""

    pool: client.Pool

    async def order(
        self, address: messages.Address, order: orders.Order
    ) -> orders.EngineState:
        """Give an order; raise StaleOrder or OrderFailed."""
        request = messages.json_request("POST", "/v1/orders", order)
        try:
            response = await self.pool.call(address, request, CALL_SECONDS)
        except (errors.ConnectionFailed, errors.ConnectionBroken) as error:
            raise _failed(address, order, error.message) from error
        if response.status == 409:
            raise errors.StaleOrder(
                error_codes.STALE_ORDER,
                f"engine {address} refused epoch {order.epoch} of group "
                f"{order.group}",
            )
        if response.status != 200:
            raise _failed(address, order, f"status {response.status}")
        return _decode(address, response)

    async def state(self, address: messages.Address) -> orders.EngineState:
        """Return the reported state; raise ConnectionFailed or Broken."""
        request = messages.Request("GET", "/v1/state")
        response = await self.pool.call(address, request, CALL_SECONDS)
        return _decode(address, response)


def _decode(
    address: messages.Address, response: messages.Response
) -> orders.EngineState:
    try:
        return msgspec.json.decode(response.body, type=orders.EngineState)
    except msgspec.DecodeError as error:
        raise errors.ConnectionBroken(
            error_codes.CONNECTION_BROKEN,
            f"engine {address} sent a malformed state: {error}",
        ) from error


def _failed(
    address: messages.Address, order: orders.Order, reason: str
) -> errors.OrderFailed:
    return errors.OrderFailed(
        error_codes.ORDER_FAILED,
        f"order {order.action.value} of group {order.group} to engine "
        f"{address} failed: {reason}",
        error_codes.Execution.UNKNOWN,
    )
