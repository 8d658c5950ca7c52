"""Keep requests that were cut off until it is known what became of them.

An endpoint that starts again at once accepts connections by the time that a
crash is looked for.  The list of instances shows later that it is another one.
"""

import collections.abc
import dataclasses
from typing import Final

from sycamoredale import clock
from sycamoredale import ids
from sycamoredale.requests import poison

# The list names an instance that has started again within a few heartbeats.
RETENTION_SECONDS: Final = 10.0
MAX_REQUESTS: Final = 512


@dataclasses.dataclass(frozen=True, slots=True)
class LostRequest:
    """Describe a request that was on an endpoint whose connection broke."""

    request: ids.RequestId
    fingerprint: poison.Fingerprint
    part_keys: tuple[ids.PromptPartKey, ...]
    endpoint: ids.InstanceId
    started_ms: int
    domain: ids.DomainName
    ran_alone: bool
    at: clock.MonotonicTime


HasEnded = collections.abc.Callable[[ids.InstanceId, int], bool]


@dataclasses.dataclass
class UnconfirmedLosses:
    """Hold requests whose endpoint may have crashed, the oldest first."""

    _requests: list[LostRequest] = dataclasses.field(default_factory=list)

    def add(self, lost: LostRequest) -> None:
        """Hold a request; drop the oldest one if there are too many."""
        self._requests.append(lost)
        del self._requests[:-MAX_REQUESTS]

    def take_confirmed(
        self, has_ended: HasEnded, now: clock.MonotonicTime
    ) -> list[LostRequest]:
        """Remove and return the requests whose endpoint has ended.

        `has_ended` receives the id and the start of an endpoint.
        """
        held = [
            lost
            for lost in self._requests
            if now - lost.at < RETENTION_SECONDS
        ]
        confirmed = [
            lost for lost in held if has_ended(lost.endpoint, lost.started_ms)
        ]
        self._requests = [lost for lost in held if lost not in confirmed]
        return confirmed
