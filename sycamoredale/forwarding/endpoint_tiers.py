"""Divide endpoints into tiers by their distance from this daemon.

In a small fleet each daemon uses every endpoint often enough to keep its
connections, and there are no tiers.  Nor are there any while the loads of the
peers are not known, as in the first moments after a start: a zone may have few
endpoints, and its daemons would fill them all at once.
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

_Known = collections.abc.Sequence[endpoints.Endpoint]
ModelKey = tuple[ids.ServiceName, str]


@dataclasses.dataclass
class EndpointTiers:
    """Divide the endpoints of a model, and keep the subset of this daemon.

    `is_enabled` tells whether the fleet is large enough for tiers.
    """

    members: view.MembershipView
    is_enabled: collections.abc.Callable[[], bool]
    _daemons: frozenset[ids.DaemonId] = frozenset()
    _has_other_zones: bool = False
    _revision: int = -1
    # With the list from which the subset was computed: a new list replaces it
    # when endpoints change.
    _subset_by_model: dict[
        ModelKey, tuple[_Known, frozenset[ids.InstanceId] | None]
    ] = dataclasses.field(default_factory=dict)

    def divide(
        self,
        key: ModelKey,
        known: _Known,
        candidates: _Known,
        now: clock.MonotonicTime,
    ) -> dict[locality.Tier, list[endpoints.Endpoint]] | None:
        """Return the candidates by tier, None if the fleet has no tiers.

        `known` are all endpoints of the model; those that cannot be used now
        keep their places in the subset.
        """
        if not self.is_enabled() or not _knows_loads(candidates, now):
            return None
        subset = self._subset(key, known)
        if subset is None:
            return None
        by_tier: dict[locality.Tier, list[endpoints.Endpoint]] = {}
        for endpoint in candidates:
            tier = self._tier_of(endpoint, subset)
            by_tier.setdefault(tier, []).append(endpoint)
        return by_tier

    def tier_of(
        self,
        key: ModelKey,
        known: _Known,
        endpoint: endpoints.Endpoint,
        now: clock.MonotonicTime,
    ) -> locality.Tier | None:
        """Return the tier of one endpoint, None if the fleet has no tiers."""
        by_tier = self.divide(key, known, (endpoint,), now)
        return next(iter(by_tier)) if by_tier else None

    def _tier_of(
        self,
        endpoint: endpoints.Endpoint,
        subset: frozenset[ids.InstanceId],
    ) -> locality.Tier:
        if endpoint.id in subset:
            return locality.Tier.SUBSET
        if endpoint.instance.zone == self.members.own.zone:
            return locality.Tier.ZONE
        return locality.Tier.OTHER_ZONES

    def _subset(
        self, key: ModelKey, known: _Known
    ) -> frozenset[ids.InstanceId] | None:
        """Return the subset of this daemon, None in a fleet of one zone."""
        if self._revision != self.members.revision:
            self._refresh_daemons()
        source, subset = self._subset_by_model.get(key, (None, None))
        if source is not known:
            own = self.members.own
            near = [e.id for e in known if e.instance.zone == own.zone]
            if self._has_other_zones or len(near) < len(known):
                subset = endpoint_subsets.subset_of(
                    near, self._daemons, own.id
                )
            else:
                subset = None
            self._subset_by_model[key] = known, subset
        return subset

    def _refresh_daemons(self) -> None:
        self._revision = self.members.revision
        routers = list(self.members.live_routers())
        own_zone = self.members.own.zone
        daemons = frozenset(p.id for p in routers if p.zone == own_zone)
        has_other_zones = len(daemons) < len(routers)
        if (daemons, has_other_zones) != (
            self._daemons,
            self._has_other_zones,
        ):
            self._daemons = daemons
            self._has_other_zones = has_other_zones
            self._subset_by_model.clear()


def _knows_loads(candidates: _Known, now: clock.MonotonicTime) -> bool:
    """Return whether the loads that peers sent are recent.

    An answer tells the load of its endpoint alone.
    """
    return any(
        now - endpoint.peers_heard_at <= MAX_LOAD_AGE_SECONDS
        for endpoint in candidates
    )
