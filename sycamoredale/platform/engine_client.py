"""Request reports from instances and send orders to them."""

import collections.abc
import dataclasses
import functools
import typing
from typing import Final

import curio

from sycamoredale import error_codes
from sycamoredale import errors
from sycamoredale.forwarding import address_checks
from sycamoredale.forwarding import catalogue
from sycamoredale.forwarding import instance_state
from sycamoredale.groups import reported
from sycamoredale.http import client
from sycamoredale.http import messages
from sycamoredale.platform import instance_decoder
from sycamoredale.platform import wire_format

# TCP retransmits a lost packet after 0.2 s; without loss some ms are enough.
REPORT_TIMEOUT_SECONDS: Final = 0.3
MAX_REPORT_BYTES: Final = 65536
ORDER_TIMEOUT_SECONDS: Final = 1.0
_ACCEPTED_STATUSES: Final = frozenset((200, 202))

# Called just before an order is sent; raises an error to stop it.
Guard = collections.abc.Callable[[], None]


@dataclasses.dataclass
class PlatformEngineClient:
    """Call engines; each order uses a connection of its own."""

    pool: client.Pool

    async def report(
        self, instance: instance_state.Instance
    ) -> instance_state.Report:
        """Return an instance's report; raise ConnectionFailed/Broken."""
        response = await self._call(instance, wire_format.REPORT_REQUEST)
        try:
            return dataclasses.replace(
                instance_decoder.decode_report(response.body),
                leaving=wire_format.says_leaving(response.headers),
            )
        except ValueError as error:
            raise errors.ConnectionBroken(
                error_codes.CONNECTION_BROKEN,
                f"instance {instance.id} sent a malformed report: {error}",
            ) from error

    async def occupant(
        self, instance: instance_state.Instance, service: catalogue.Service
    ) -> address_checks.Occupant:
        """Return which instance is at an address; raise as `report`."""
        request = wire_format.identity_request(instance, service)
        response = await self._call(instance, request)
        if response.status == wire_format.OTHER_INSTANCE_STATUS:
            return address_checks.Occupant.OTHER
        if service.engine is not None:
            report = instance_decoder.decode_report(response.body)
            started_ms = report.started_ms or None
            return address_checks.compare(instance.started_ms, started_ms)
        name = response.headers.get(wire_format.INSTANCE_ID)
        return address_checks.compare(instance.id, name)

    async def _call(
        self, instance: instance_state.Instance, request: messages.Request
    ) -> messages.Response:
        return await self.pool.call(
            instance.address,
            request,
            REPORT_TIMEOUT_SECONDS,
            connect_timeout_seconds=REPORT_TIMEOUT_SECONDS,
            max_body_bytes=MAX_REPORT_BYTES,
        )

    async def order(
        self,
        instance: instance_state.Instance,
        order: reported.Order,
        guard: Guard,
    ) -> bool:
        """Send an order; return if accepted; raise as `report`/OrderFailed."""
        # The address may belong to another instance by now.
        headers = [(wire_format.EXPECTED_INSTANCE, instance.id)]
        request = messages.json_request(
            "POST", wire_format.ORDER_PATH, order_body(order), headers
        )
        connection = await client.open_connection(
            instance.address, ORDER_TIMEOUT_SECONDS
        )
        try:
            guard()
            async with curio.timeout_after(ORDER_TIMEOUT_SECONDS):
                await connection.send(request)
                head = await connection.read_head()
        except curio.TaskTimeout as error:
            raise errors.OrderFailed(
                error_codes.ORDER_FAILED,
                f"instance {instance.id} did not answer an order within "
                f"{ORDER_TIMEOUT_SECONDS:g} s",
                error_codes.Execution.UNKNOWN,
            ) from error
        finally:
            await connection.close()
        return head.status in _ACCEPTED_STATUSES


@functools.singledispatch
def order_body(order: object) -> dict[str, typing.Any]:
    """Return the JSON body of an order."""
    raise TypeError(f"{order!r} is not an order")


@order_body.register
def _(order: reported.Join) -> dict[str, typing.Any]:
    return {
        "operation": "join",
        "model": order.key.model,
        "members": list(order.members),
        **_group(order.key),
    }


@order_body.register
def _(order: reported.Open) -> dict[str, typing.Any]:
    return {"operation": "open", **_group(order.key)}


@order_body.register
def _(order: reported.Close) -> dict[str, typing.Any]:
    mode = "cancel" if order.cancel else "queue"
    return {"operation": "close", "close_mode": mode, **_group(order.key)}


@order_body.register
def _(order: reported.Leave) -> dict[str, typing.Any]:
    return {"operation": "leave", **_group(order.key)}


@order_body.register
def _(order: reported.Stage) -> dict[str, typing.Any]:
    return {"operation": "stage", "model": order.model}


def _group(key: reported.GroupKey) -> dict[str, typing.Any]:
    return {"group": key.group, "epoch": key.epoch}
