"""Delay retries by exponential backoff with full jitter.

Each delay is drawn at random from below a bound that doubles up to a maximum,
so that daemons that failed together do not retry together.
"""

import dataclasses
import random
from typing import Final

INITIAL_SECONDS: Final = 0.5
MAX_SECONDS: Final = 8.0


@dataclasses.dataclass
class Backoff:
    """Compute the delays between the attempts of one activity."""

    rng: random.Random
    initial_seconds: float = INITIAL_SECONDS
    max_seconds: float = MAX_SECONDS
    _failures: int = 0

    def next_seconds(self) -> float:
        """Count a failure and return the seconds to wait."""
        bound = self.initial_seconds * 2.0 ** min(self._failures, 30)
        self._failures += 1
        return self.rng.uniform(0.0, min(bound, self.max_seconds))

    def reset(self) -> None:
        """Start again from the initial delay, after a success."""
        self._failures = 0
