"""Ask instances for their report and give them orders."""

import collections.abc
import dataclasses
import functools
import typing
from typing import Final

import curio

from sycamoredale import error_codes
from sycamoredale import errors
from sycamoredale.forwarding import instance_state
from sycamoredale.groups import reported
from sycamoredale.http import client
from sycamoredale.http import messages
from sycamoredale.platform import entries
from sycamoredale.platform import wire

# A lost packet is sent again after 0.2 s; without loss some ms are enough.
REPORT_SECONDS: Final = 0.3
ORDER_SECONDS: Final = 1.0
_TAKEN: Final = frozenset((200, 202))

Guard = collections.abc.Callable[[], None]


@dataclasses.dataclass
class PlatformEngines:
    """Speak to engines; orders go over connections of their own."""

    pool: client.Pool

    async def report(
        self, instance: instance_state.Instance
    ) -> instance_state.Report:
        """Return what an instance reports; raise ConnectionFailed/Broken."""
        response = await self.pool.call(
            instance.address,
            wire.REPORT,
            REPORT_SECONDS,
            connect_timeout_seconds=REPORT_SECONDS,
        )
        try:
            return entries.decode_report(response.body)
        except ValueError as error:
            raise errors.ConnectionBroken(
                error_codes.CONNECTION_BROKEN,
                f"instance {instance.id} sent a malformed report: {error}",
            ) from error

    async def order(
        self,
        instance: instance_state.Instance,
        order: reported.Order,
        guard: Guard,
    ) -> bool:
        """Give an order and tell whether it was taken; raise as `report`."""
        # The address may have gone to another instance meanwhile.
        only = [(wire.ONLY_INSTANCE, instance.id)]
        request = messages.json_request(
            "POST", wire.ORDER_PATH, body_of(order), only
        )
        connection = await client.open_connection(
            instance.address, ORDER_SECONDS
        )
        try:
            guard()
            async with curio.timeout_after(ORDER_SECONDS):
                await connection.send(request)
                head = await connection.read_head()
        except curio.TaskTimeout as error:
            raise errors.OrderFailed(
                error_codes.ORDER_FAILED,
                f"instance {instance.id} did not answer an order within "
                f"{ORDER_SECONDS:g} s",
                error_codes.Execution.UNKNOWN,
            ) from error
        finally:
            await connection.close()
        return head.status in _TAKEN


@functools.singledispatch
def body_of(order: object) -> dict[str, typing.Any]:
    """Return the body that gives an order."""
    raise TypeError(f"{order!r} is no order")


@body_of.register
def _(order: reported.Join) -> dict[str, typing.Any]:
    return {
        "operation": "join",
        "model": order.key.model,
        "members": list(order.members),
        **_group(order.key),
    }


@body_of.register
def _(order: reported.Open) -> dict[str, typing.Any]:
    return {"operation": "open", **_group(order.key)}


@body_of.register
def _(order: reported.Close) -> dict[str, typing.Any]:
    mode = "cancel" if order.cancel else "queue"
    return {"operation": "close", "close_mode": mode, **_group(order.key)}


@body_of.register
def _(order: reported.Leave) -> dict[str, typing.Any]:
    return {"operation": "leave", **_group(order.key)}


@body_of.register
def _(order: reported.Stage) -> dict[str, typing.Any]:
    return {"operation": "stage", "model": order.model}


def _group(key: reported.GroupKey) -> dict[str, typing.Any]:
    return {"group": key.group, "epoch": key.epoch}
