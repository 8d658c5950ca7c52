"""Queue changes of the membership view for peers."""

import collections.abc
import dataclasses
from typing import Final

from sycamoredale import clock
from sycamoredale import ids
from sycamoredale.membership import view

UPDATE_LIFETIME_SECONDS: Final = 30.0
MAX_UPDATES_PER_MESSAGE: Final = 8


@dataclasses.dataclass
class _PendingUpdate:
    expires_at: clock.MonotonicTime
    sent_to: set[ids.DaemonId]


@dataclasses.dataclass
class MemberUpdates:
    """Track which peers have not been sent a changed member yet."""

    members: view.MembershipView
    _update_by_id: dict[ids.DaemonId, _PendingUpdate] = dataclasses.field(
        default_factory=dict
    )

    def add(
        self,
        peer: ids.DaemonId,
        source: ids.DaemonId,
        now: clock.MonotonicTime,
    ) -> None:
        """Queue the state of a peer for all but that peer and the source."""
        expires_at = clock.MonotonicTime(now + UPDATE_LIFETIME_SECONDS)
        self._update_by_id[peer] = _PendingUpdate(expires_at, {source, peer})

    def dequeue(
        self, receiver: ids.DaemonId, now: clock.MonotonicTime
    ) -> list[view.Peer]:
        """Return up to MAX_UPDATES_PER_MESSAGE states not yet sent to a peer.

        The state of the receiver itself is always first if it is not alive,
        so that the receiver can refute it.
        """
        batch: list[view.Peer] = []
        recorded = self.members.by_id.get(receiver)
        if recorded and recorded.state is not view.PeerState.ALIVE:
            batch.append(recorded)
        for peer, update in list(self._update_by_id.items()):
            if update.expires_at <= now or peer not in self.members.by_id:
                del self._update_by_id[peer]
            elif receiver not in update.sent_to:
                update.sent_to.add(receiver)
                batch.append(self.members.by_id[peer])
            if len(batch) == MAX_UPDATES_PER_MESSAGE:
                break
        return batch

    def requeue(
        self,
        receiver: ids.DaemonId,
        members: collections.abc.Iterable[view.Peer],
    ) -> None:
        """Mark states as unsent to a peer after a failed request."""
        for member in members:
            update = self._update_by_id.get(member.id)
            if update is not None:
                update.sent_to.discard(receiver)
