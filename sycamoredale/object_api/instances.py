"""Read the platform's list of instances, which may be out of date."""

import dataclasses
import enum
from typing import Final

import msgspec

from sycamoredale import decoding
from sycamoredale import error_codes
from sycamoredale import errors
from sycamoredale.http import client
from sycamoredale.http import messages
from sycamoredale import ids
from sycamoredale.object_api import objects
from sycamoredale.observability import logs

CALL_TIMEOUT_SECONDS: Final = 2.0
ENGINE: Final = "engine"
INSTANCE_KIND: Final = "instance"
MAX_ACCELERATORS: Final = 65536
LOG: Final = logs.get("object_api")


class InstanceState(enum.Enum):
    """List the states of an instance in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


class Instance(msgspec.Struct, frozen=True):
    """Describe one endpoint instance.

    `runs` is `engine` for an accelerator instance, otherwise the name of the
    plain service that runs on it.
    """

    id: ids.InstanceId
    address: str
    zone: ids.ZoneName
    domain: ids.DomainName
    runs: str = ENGINE
    accelerators: int = 8
    state: InstanceState = InstanceState.LIVE


_LIST_DECODER: Final = decoding.JsonDecoder(list[msgspec.Raw])
_DECODER: Final = decoding.JsonDecoder(Instance)


@dataclasses.dataclass
class InstanceList:
    """Call the list of instances at one address."""

    address: messages.Address
    pool: client.Pool

    async def read(self) -> list[Instance]:
        """Return all listed instances; raise StoreUnavailable."""
        request = messages.Request("GET", "/v1/instances")
        try:
            response = await self.pool.call(
                self.address, request, CALL_TIMEOUT_SECONDS
            )
            if response.status != 200:
                raise errors.StoreUnavailable(
                    error_codes.STORE_UNAVAILABLE,
                    f"the instance list answered status {response.status}",
                )
            values = objects.decode_list(response, _LIST_DECODER)
            listed = objects.decode_each(values, _DECODER, INSTANCE_KIND)
            return [item for item in listed if _is_usable(item)]
        except (errors.ConnectionFailed, errors.ConnectionBroken) as error:
            raise errors.StoreUnavailable(
                error_codes.STORE_UNAVAILABLE,
                f"the instance list is unavailable: {error.message}",
            ) from error


def _is_usable(instance: Instance) -> bool:
    """Return whether an instance has an address and accelerators."""
    try:
        messages.parse_destination(instance.address)
    except ValueError as error:
        LOG.warning("entry_malformed", entry=instance.id, reason=str(error))
        return False
    return 0 <= instance.accelerators <= MAX_ACCELERATORS
