"""Encode the evidence on parts of prompts for the updates to peers.

A daemon sends what it knows of the losses that no part in quarantine
explains, its own or not, and the last complete answer of its own to each part
that a peer has losses of.  Each update thus replaces the lost ones before.
"""

import collections.abc
import dataclasses
from typing import Final

import msgspec

from sycamoredale import clock
from sycamoredale import ids
from sycamoredale.object_api import objects
from sycamoredale.requests import part_evidence

# Together about 3 KB, which leaves room in a datagram.
MAX_PARTS: Final = 6
MAX_LOSSES: Final = 8
MAX_REQUESTS: Final = 2
MAX_ANSWERED_PARTS: Final = 32
# Single datagrams are lost now and then, three in a row rarely.
SENDS_PER_CHANGE: Final = 3
# Without a change, for daemons that have started or were cut off.
REFRESH_SECONDS: Final = 1.0


class LossUpdate(msgspec.Struct, array_like=True, frozen=True):
    """Report the loss of an endpoint and requests that were on it."""

    incarnation: ids.IncarnationKey
    age_ms: int
    requests: list[ids.RequestId]
    domain: ids.DomainName = part_evidence.NO_DOMAIN


class PartUpdate(msgspec.Struct, array_like=True, frozen=True):
    """Report what a daemon knows of a part.

    `answered_ms_ago` is -1 without a complete answer of the daemon itself;
    `version` is that of the record in the store, ABSENT if there is none.
    """

    part: ids.PromptPartKey
    losses: list[LossUpdate]
    answered_ms_ago: int = -1
    version: ids.ObjectVersion = objects.ABSENT_VERSION
    trials: int = 0
    position: int = 0


@dataclasses.dataclass
class Outbox:
    """Decide when the evidence is sent: several times, then now and then."""

    _sends_left: int = 0
    _sent_at: clock.MonotonicTime = part_evidence.NEVER

    def mark_changed(self) -> None:
        """Send with the next few updates."""
        self._sends_left = SENDS_PER_CHANGE

    def is_due(self, now: clock.MonotonicTime) -> bool:
        """Return whether to send now, and count that as sent."""
        if not self._sends_left and now - self._sent_at < REFRESH_SECONDS:
            return False
        self._sends_left = max(0, self._sends_left - 1)
        self._sent_at = now
        return True


def encode_losses(
    losses: collections.abc.Mapping[ids.IncarnationKey, part_evidence.Loss],
    now: clock.MonotonicTime,
) -> list[LossUpdate]:
    """Return the updates for the latest losses."""
    latest = sorted(losses.items(), key=lambda entry: entry[1].at)
    latest = latest[-MAX_LOSSES:]
    return [
        LossUpdate(
            incarnation,
            clock.ms_since(loss.at, now),
            sorted(loss.requests)[:MAX_REQUESTS],
            loss.domain,
        )
        for incarnation, loss in latest
    ]


def describe(
    losses: collections.abc.Mapping[ids.IncarnationKey, part_evidence.Loss],
    now: clock.MonotonicTime,
) -> list[dict[str, object]]:
    """Return the latest losses in the form of the log."""
    return [
        {
            "incarnation": item.incarnation,
            "domain": item.domain,
            "ms_ago": item.age_ms,
            "requests": item.requests,
        }
        for item in encode_losses(losses, now)
    ]
