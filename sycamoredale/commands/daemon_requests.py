"""Send requests to the peer interfaces of registered daemons."""

import collections.abc
import dataclasses
from typing import Final

import curio

from sycamoredale import decoding
from sycamoredale import errors
from sycamoredale.http import client
from sycamoredale.http import messages
from sycamoredale import ids
from sycamoredale.membership import registry
from sycamoredale.membership import view
from sycamoredale.object_api import objects

REQUEST_TIMEOUT_SECONDS: Final = 2.0
MAX_CONCURRENT_REQUESTS: Final = 32


async def list_registrations(
    store: objects.ObjectStore,
) -> list[registry.Registration]:
    """Return the registrations of all daemons; raise StoreUnavailable."""
    listing = await store.list(view.DAEMON_KIND)
    return [
        decoding.decode_json(stored.value, registry.Registration)
        for stored in listing.objects
    ]


async def request_all(
    registrations: collections.abc.Sequence[registry.Registration], path: str
) -> dict[ids.DaemonId, bytes]:
    """Return the response body of each daemon that answered with 200.

    Daemons that fail or don't answer in time are left out.
    """
    batch = _RequestBatch(path)
    for start in range(0, len(registrations), MAX_CONCURRENT_REQUESTS):
        async with curio.TaskGroup() as group:
            for registration in registrations[
                start : start + MAX_CONCURRENT_REQUESTS
            ]:
                await group.spawn(batch.send, registration)
    return batch.body_by_id


@dataclasses.dataclass
class _RequestBatch:
    path: str
    pool: client.Pool = dataclasses.field(default_factory=client.Pool)
    body_by_id: dict[ids.DaemonId, bytes] = dataclasses.field(
        default_factory=dict
    )

    async def send(self, registration: registry.Registration) -> None:
        """Send the request to one daemon and store the response body."""
        address = messages.parse_address(registration.address)
        request = messages.Request("POST", self.path)
        try:
            response = await self.pool.call(
                address, request, REQUEST_TIMEOUT_SECONDS
            )
        except errors.SycamoredaleError:
            return  # The result omits daemons that don't answer.
        if response.status == 200:
            self.body_by_id[registration.id] = response.body
