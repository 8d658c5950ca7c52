"""Track whether a daemon sends calls to endpoints of other zones.

In overload single calls leave the zone and others stay, so that a change is
reported only at the first one that leaves, and once none has left for some
time.
"""

import collections.abc
import dataclasses
import typing
from typing import Final

from sycamoredale import clock
from sycamoredale.scheduling import locality

# Longer than the gaps between the calls of one daemon in a busy zone.
QUIET_SECONDS: Final = 5.0

_Key = typing.TypeVar("_Key", bound=collections.abc.Hashable)


@dataclasses.dataclass
class ZoneUse(typing.Generic[_Key]):
    """Record the tiers of the calls of each key, such as a model."""

    _left_at: dict[_Key, clock.MonotonicTime] = dataclasses.field(
        default_factory=dict
    )

    def record(
        self, key: _Key, tier: locality.Tier, now: clock.MonotonicTime
    ) -> bool | None:
        """Return whether calls begin (or stop) to leave, None if neither."""
        left_at = self._left_at.get(key)
        if tier is locality.Tier.OTHER_ZONES:
            self._left_at[key] = now
            return True if left_at is None else None
        if left_at is not None and now - left_at >= QUIET_SECONDS:
            del self._left_at[key]
            return False
        return None
