"""Simulate the weight store of the platform."""

import dataclasses

import curio
import msgspec

from sycamoredale.http import messages


class Settings(msgspec.Struct, frozen=True):
    """Configure the store; None sets no limit on fetches."""

    concurrent_fetches: int | None = None
    fetch_seconds: float = 0.2


class Usage(msgspec.Struct, frozen=True):
    """Count the fetches served, those refused and the peak concurrency."""

    fetches: int
    refused: int
    peak: int


@dataclasses.dataclass
class WeightServer:
    """Serve fetches up to a limit of concurrent ones."""

    settings: Settings = Settings()
    fetches: int = 0
    refused: int = 0
    peak: int = 0
    _active_fetches: int = 0

    def limits_response(self) -> messages.Response:
        """Return a response with the limit of concurrent fetches."""
        limit = self.settings.concurrent_fetches
        return messages.json_response(200, {"concurrent_fetches": limit})

    def usage_response(self) -> messages.Response:
        """Return a response with the counts of fetches."""
        usage = Usage(self.fetches, self.refused, self.peak)
        return messages.json_response(200, usage)

    async def fetch(self, name: str) -> messages.Response:
        """Respond after the fetch duration, or with 429 over the limit."""
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
