"""Send orders to model engines and read their state.

Each order uses a new connection, so that none waits on a connection that no
longer responds.  The caller's guard runs after the connection is established,
immediately before the first byte is sent.
"""

import collections.abc
import dataclasses
from typing import Final

import curio
import msgspec

from sycamoredale import decoding
from sycamoredale.engines import orders
from sycamoredale import error_codes
from sycamoredale import errors
from sycamoredale.http import client
from sycamoredale.http import messages

CALL_TIMEOUT_SECONDS: Final = 2.0

Guard = collections.abc.Callable[[], None]


@dataclasses.dataclass
class ModelEngineClient:
    """Call engines by the address of their instance."""

    pool: client.Pool

    async def order(
        self, address: messages.Address, order: orders.Order, guard: Guard
    ) -> orders.EngineState:
        """Send an order; raise StaleOrder, OrderFailed or what `guard` raises.

        The exchange is limited to the lifetime of the order.
        """
        request = messages.json_request("POST", "/v1/orders", order)
        try:
            connection = await client.open_connection(address)
        except errors.ConnectionFailed as error:
            raise _failed(address, order, error.message) from error
        try:
            guard()
            async with curio.timeout_after(order.lifetime_seconds):
                response = await _exchange(connection, request)
        except errors.ConnectionBroken as error:
            raise _failed(address, order, error.message) from error
        except curio.TaskTimeout as error:
            raise _failed(
                address, order, f"no answer in {order.lifetime_seconds:g} s"
            ) from error
        finally:
            await connection.close()
        if response.status == 409:
            raise errors.StaleOrder(
                error_codes.STALE_ORDER,
                f"engine {address} refused epoch {order.epoch} of group "
                f"{order.group}",
            )
        if response.status != 200:
            raise _failed(address, order, f"status {response.status}")
        return _decode(address, response)

    async def state(
        self,
        address: messages.Address,
        timeout_seconds: float = CALL_TIMEOUT_SECONDS,
        new_connection: bool = False,
    ) -> orders.EngineState:
        """Return the reported state; raise ConnectionFailed or Broken."""
        request = messages.Request("GET", "/v1/state")
        response = await self.pool.call(
            address, request, timeout_seconds, new_connection
        )
        return _decode(address, response)


async def _exchange(
    connection: client.Connection, request: messages.Request
) -> messages.Response:
    await connection.send(request)
    head = await connection.read_head()
    body = await connection.read_body()
    return messages.Response(head.status, head.headers, body)


def _decode(
    address: messages.Address, response: messages.Response
) -> orders.EngineState:
    try:
        return decoding.decode_json(response.body, orders.EngineState)
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
