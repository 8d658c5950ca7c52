"""Queue what changed in the view for the peers that have not heard it."""

import collections.abc
import dataclasses
from typing import Final

from sycamoredale import clock
from sycamoredale import ids
from sycamoredale.membership import view

NEWS_LIFETIME_SECONDS: Final = 30.0
MAX_MEMBERS_A_MESSAGE: Final = 8


@dataclasses.dataclass
class _Item:
    expires: clock.MonotonicTime
    reached: set[ids.DaemonId]


@dataclasses.dataclass
class News:
    """Hold the ids of peers whose latest state is news to others."""

    members: view.MembershipView
    _item_by_id: dict[ids.DaemonId, _Item] = dataclasses.field(
        default_factory=dict
    )

    def add(
        self,
        peer: ids.DaemonId,
        heard_from: ids.DaemonId,
        now: clock.MonotonicTime,
    ) -> None:
        """Queue the state of a peer for all but the one that told it."""
        expires = clock.MonotonicTime(now + NEWS_LIFETIME_SECONDS)
        self._item_by_id[peer] = _Item(expires, {heard_from, peer})

    def take(
        self, receiver: ids.DaemonId, now: clock.MonotonicTime
    ) -> list[view.Peer]:
        """Return states that have not reached a peer, the oldest first.

        What is believed of the receiver itself comes first if it is not
        alive, so that the receiver can refute it.
        """
        taken: list[view.Peer] = []
        believed = self.members.by_id.get(receiver)
        if believed and believed.state is not view.PeerState.ALIVE:
            taken.append(believed)
        for peer, item in list(self._item_by_id.items()):
            if item.expires <= now or peer not in self.members.by_id:
                del self._item_by_id[peer]
            elif receiver not in item.reached:
                item.reached.add(receiver)
                taken.append(self.members.by_id[peer])
            if len(taken) == MAX_MEMBERS_A_MESSAGE:
                break
        return taken

    def give_back(
        self,
        receiver: ids.DaemonId,
        members: collections.abc.Iterable[view.Peer],
    ) -> None:
        """Count states as not having reached a peer after a failure."""
        for member in members:
            item = self._item_by_id.get(member.id)
            if item is not None:
                item.reached.discard(receiver)
