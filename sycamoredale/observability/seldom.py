"""Log an event that may happen many times a second at a bounded rate."""

import dataclasses
from typing import Final

from sycamoredale import clock

INTERVAL_SECONDS: Final = 10.0


@dataclasses.dataclass
class EventCounter:
    """Report the first event at once, and later ones counted in intervals."""

    _count: int = 0
    _reported_at: float = float("-inf")

    def record(self, now: clock.MonotonicTime) -> int:
        """Count an event; return how many to report now, mostly none."""
        self._count += 1
        if now - self._reported_at < INTERVAL_SECONDS:
            return 0
        count, self._count = self._count, 0
        self._reported_at = now
        return count
