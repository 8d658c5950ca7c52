"""Call the platform's weight store, which limits concurrent fetches."""

import dataclasses
from typing import Final
import urllib.parse

import msgspec

from sycamoredale import decoding
from sycamoredale import error_codes
from sycamoredale import errors
from sycamoredale.http import client
from sycamoredale.http import messages

CALL_TIMEOUT_SECONDS: Final = 2.0
FETCH_TIMEOUT_SECONDS: Final = 600.0


class WeightLimits(msgspec.Struct, frozen=True):
    """Limit the fetches that the store serves at once; None is no limit."""

    concurrent_fetches: int | None = None


@dataclasses.dataclass
class WeightStore:
    """Call the weight store at one address."""

    address: messages.Address
    pool: client.Pool

    async def limits(self) -> WeightLimits:
        """Return the limits of the store; raise StoreUnavailable."""
        response = await self._get("/v1/weights", CALL_TIMEOUT_SECONDS)
        try:
            return decoding.decode_json(response.body, WeightLimits)
        except msgspec.DecodeError as error:
            raise _unavailable(f"its limits are malformed: {error}") from error

    async def fetch(self, name: str) -> None:
        """Fetch weights by name; raise StoreUnavailable."""
        path = f"/v1/weights/{urllib.parse.quote(name, safe='')}"
        await self._get(path, FETCH_TIMEOUT_SECONDS)

    async def _get(self, path: str, seconds: float) -> messages.Response:
        request = messages.Request("GET", path)
        try:
            response = await self.pool.call(self.address, request, seconds)
        except (errors.ConnectionFailed, errors.ConnectionBroken) as error:
            raise _unavailable(error.message) from error
        if response.status != 200:
            raise _unavailable(f"{path} answered status {response.status}")
        return response


def _unavailable(reason: str) -> errors.StoreUnavailable:
    return errors.StoreUnavailable(
        error_codes.STORE_UNAVAILABLE,
        f"the weight store is unavailable: {reason}",
    )
