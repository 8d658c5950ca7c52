"""Spread the evidence on parts of prompts by gossip.

Gossip relays each notice once, so a notice is published only when the
evidence on its part has changed.
"""

import dataclasses
from typing import Final

import curio
import msgspec

from sycamoredale import clock
from sycamoredale import decoding
from sycamoredale import ids
from sycamoredale.membership import gossip as gossip_module
from sycamoredale.requests import part_quarantine
from sycamoredale.requests import part_updates

INTERVAL_SECONDS: Final = 0.1
# Fits the size of a notice.
MAX_LOSSES: Final = 4
MAX_PUBLISHED_PARTS: Final = 512

_Content = tuple[frozenset[ids.IncarnationKey], bool, ids.ObjectVersion]


@dataclasses.dataclass
class PartGossip:
    """Exchange the evidence of a quarantine with the peers."""

    gossip: gossip_module.Gossip
    quarantine: part_quarantine.PartQuarantine
    _published_by_part: dict[ids.PromptPartKey, _Content] = dataclasses.field(
        default_factory=dict
    )

    def __post_init__(self) -> None:
        """Subscribe to the notices of the peers."""
        self.gossip.subscribe(
            gossip_module.Topic.PROMPT_PART,
            lambda notice: self.handle_notice(notice, clock.monotonic()),
        )

    async def run(self) -> None:
        """Publish changed evidence until cancelled."""
        while True:
            self.publish(clock.monotonic())
            await curio.sleep(INTERVAL_SECONDS)

    def publish(self, now: clock.MonotonicTime) -> None:
        """Publish the evidence that has changed since the last notice."""
        for update in self.quarantine.take_updates(now):
            content = _content_of(update)
            if self._published_by_part.get(update.part) == content:
                continue
            while len(self._published_by_part) >= MAX_PUBLISHED_PARTS:
                del self._published_by_part[
                    next(iter(self._published_by_part))
                ]
            self._published_by_part[update.part] = content
            latest = msgspec.structs.replace(
                update, losses=update.losses[-MAX_LOSSES:]
            )
            self.gossip.publish(
                gossip_module.Topic.PROMPT_PART, update.part, latest
            )

    def handle_notice(
        self, notice: gossip_module.Notice, now: clock.MonotonicTime
    ) -> None:
        """Merge the evidence of a peer; ignore a malformed notice."""
        try:
            update = decoding.decode_json(
                notice.payload, part_updates.PartUpdate
            )
        except msgspec.DecodeError:
            return
        self.quarantine.receive_updates([update], now)


def _content_of(update: part_updates.PartUpdate) -> _Content:
    incarnations = frozenset(loss.incarnation for loss in update.losses)
    return incarnations, update.answered_ms_ago >= 0, update.version
