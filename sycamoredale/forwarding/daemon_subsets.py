"""Keep the subsets of endpoints that this daemon uses.

In a small fleet each daemon uses every endpoint often enough to keep its
connections, and there are no subsets.  Nor are there any while the loads that
peers cause are not known, as in the first moments after a start.
"""

import collections.abc
import dataclasses
from typing import Final

from sycamoredale import clock
from sycamoredale.forwarding import endpoints
from sycamoredale import ids
from sycamoredale.membership import view
from sycamoredale.scheduling import endpoint_subsets
from sycamoredale.scheduling import locality

# Hubs send five totals a second.
MAX_LOAD_AGE_SECONDS: Final = 1.0

ModelKey = tuple[ids.ServiceName, str]
Known = collections.abc.Sequence[endpoints.Endpoint]


@dataclasses.dataclass
class ModelSubsets:
    """Hold the subsets of one model and the share of calls that leave.

    `known` is the list of endpoints from which they were computed; another
    list replaces it when endpoints change.
    """

    known: Known = ()
    near: frozenset[str] = frozenset()
    wide: frozenset[str] = frozenset()
    leaving: locality.LeavingShare = dataclasses.field(
        default_factory=locality.LeavingShare
    )


@dataclasses.dataclass
class DaemonSubsets:
    """Compute the subsets of this daemon for each model.

    `is_enabled` tells whether the fleet is large enough for subsets.
    """

    members: view.MembershipView
    is_enabled: collections.abc.Callable[[], bool]
    _daemons: frozenset[endpoint_subsets.Member] = frozenset()
    _revision: int = -1
    _by_model: dict[ModelKey, ModelSubsets] = dataclasses.field(
        default_factory=dict
    )

    def get(
        self, key: ModelKey, known: Known, now: clock.MonotonicTime
    ) -> ModelSubsets | None:
        """Return the subsets of a model, None if this daemon uses all.

        `known` are all endpoints of the model, also those that cannot be used
        now: they keep their places.
        """
        if not self.is_enabled() or not _knows_loads(known, now):
            return None
        if self._revision != self.members.revision:
            self._refresh_daemons()
        subsets = self._by_model.setdefault(key, ModelSubsets())
        if subsets.known is not known:
            self._compute(subsets, known)
        return subsets

    def snapshot(self, now: clock.MonotonicTime) -> "DaemonSubsets":
        """Return a copy in which the shares that leave stay as they are."""
        by_model = {
            key: dataclasses.replace(
                subsets,
                leaving=dataclasses.replace(subsets.leaving, _updated_at=now),
            )
            for key, subsets in self._by_model.items()
        }
        return dataclasses.replace(self, _by_model=by_model)

    def _compute(self, subsets: ModelSubsets, known: Known) -> None:
        own = self.members.own.id, self.members.own.zone
        placed = [(e.id, e.instance.zone) for e in known]
        subsets.known = known
        subsets.near = endpoint_subsets.near_subset(placed, self._daemons, own)
        subsets.wide = endpoint_subsets.wide_subset(placed, self._daemons, own)

    def _refresh_daemons(self) -> None:
        self._revision = self.members.revision
        daemons = frozenset(
            (peer.id, peer.zone) for peer in self.members.live_routers()
        )
        if daemons != self._daemons:
            self._daemons = daemons
            for subsets in self._by_model.values():
                subsets.known = ()


def _knows_loads(known: Known, now: clock.MonotonicTime) -> bool:
    """Return whether the loads that peers sent are recent.

    An answer tells the load of its endpoint alone.
    """
    return any(now - e.peers_heard_at <= MAX_LOAD_AGE_SECONDS for e in known)
