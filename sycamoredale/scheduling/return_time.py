"""Forecast when a refused caller should come back.

Answers the wave of callers that are refused at one moment and would all come
back at another one: the time is that in which the excess load is served, and
it is spread.
"""

import random
from typing import Final

MIN_SECONDS: Final = 0.2
# Longer forecasts are wrong: bursts last some seconds.
MAX_SECONDS: Final = 3.0
SPREAD: Final = (0.75, 1.5)


def forecast_seconds(
    load: float, max_load: float, slots: int, answer_seconds: float
) -> float:
    """Return when the load of an endpoint is below a limit again.

    Slots become free as often as the mean duration of an answer allows.
    """
    excess = max(0.0, load + 1 - max_load)
    seconds = excess * answer_seconds / max(1, slots)
    return min(max(seconds, MIN_SECONDS), MAX_SECONDS)


def spread_seconds(seconds: float, rng: random.Random) -> float:
    """Return a random time around a forecast."""
    return seconds * rng.uniform(*SPREAD)
