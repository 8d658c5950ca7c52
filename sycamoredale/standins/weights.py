"""Stand in for the weight store of the platform."""

import dataclasses

import curio
import msgspec

from sycamoredale.http import messages


class Settings(msgspec.Struct, frozen=True):
    """Describe the store; no limit where the number is None."""

    concurrent_fetches: int | None = None
    fetch_seconds: float = 0.2


class Usage(msgspec.Struct, frozen=True):
    """Count what engines have asked of the store."""

    fetches: int
    refused: int
    peak: int


@dataclasses.dataclass
class WeightServer:
    """Serve a limited number of fetches at once."""

    settings: Settings = Settings()
    fetches: int = 0
    refused: int = 0
    peak: int = 0
    _active_fetches: int = 0

    def limits_response(self) -> messages.Response:
        """Return the limit of the store."""
        limit = self.settings.concurrent_fetches
        return messages.json_response(200, {"concurrent_fetches": limit})

    def usage_response(self) -> messages.Response:
        """Return the counts so far."""
        usage = Usage(self.fetches, self.refused, self.peak)
        return messages.json_response(200, usage)

    async def fetch(self, name: str) -> messages.Response:
        """Take the time of one fetch, or refuse it over the limit."""
        limit = self.settings.concurrent_fetches
        if limit is not None and self._active_fetches >= limit:
            self.refused += 1
            return messages.json_response(429, {"error": "too many fetches"})
        self.fetches += 1
        self._active_fetches += 1
        self.peak = max(self.peak, self._active_fetches)
        try:
            await curio.sleep(self.settings.fetch_seconds)
        finally:
            self._active_fetches -= 1
        return messages.json_response(200, {"weights": name})
