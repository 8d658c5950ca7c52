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

CALL_TIMEOUT_SECONDS: Final = 2.0
ENGINE: Final = "engine"


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
            return decoding.decode_json(response.body, list[Instance])
        except (errors.ConnectionFailed, errors.ConnectionBroken) as error:
            raise errors.StoreUnavailable(
                error_codes.STORE_UNAVAILABLE,
                f"the instance list is unavailable: {error.message}",
            ) from error
        except msgspec.DecodeError as error:
            raise errors.StoreUnavailable(
                error_codes.STORE_UNAVAILABLE,
                f"the instance list is malformed: {error}",
            ) from error
