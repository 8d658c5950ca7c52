"""Ask registered daemons over their interface for peers."""

import collections.abc
import dataclasses
from typing import Final

import curio
import msgspec

from sycamoredale import errors
from sycamoredale.http import client
from sycamoredale.http import messages
from sycamoredale import ids
from sycamoredale.membership import registry
from sycamoredale.membership import view
from sycamoredale.object_api import objects

ASK_SECONDS: Final = 2.0
ASKED_AT_ONCE: Final = 32


async def registered(
    store: objects.ObjectStore,
) -> list[registry.Registration]:
    """Return the registrations of all daemons; raise StoreUnavailable."""
    listing = await store.list(view.DAEMON_KIND)
    return [
        msgspec.json.decode(stored.value, type=registry.Registration)
        for stored in listing.objects
    ]


async def ask_all(
    registrations: collections.abc.Sequence[registry.Registration], path: str
) -> dict[ids.DaemonId, bytes]:
    """Return the body of each daemon that answered a path."""
    asking = _Asking(path)
    for start in range(0, len(registrations), ASKED_AT_ONCE):
        async with curio.TaskGroup() as group:
            for registration in registrations[start : start + ASKED_AT_ONCE]:
                await group.spawn(asking.ask, registration)
    return asking.found


@dataclasses.dataclass
class _Asking:
    path: str
    pool: client.Pool = dataclasses.field(default_factory=client.Pool)
    found: dict[ids.DaemonId, bytes] = dataclasses.field(default_factory=dict)

    async def ask(self, registration: registry.Registration) -> None:
        """Keep the answer of one daemon, if it comes."""
        address = messages.parse_address(registration.address)
        request = messages.Request("POST", self.path)
        try:
            response = await self.pool.call(address, request, ASK_SECONDS)
        except errors.SycamoredaleError:
            return  # A daemon without an answer is missing in the result.
        if response.status == 200:
            self.found[registration.id] = response.body
