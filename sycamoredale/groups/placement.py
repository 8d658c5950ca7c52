"""Place missing groups in fabric domains.

Every controller computes the same placements for all domains from the
configuration, the instance list and the assignments, and carries out those
of the domains whose leases it holds.

A group is placed in the domain where it strands the fewest instances, that
is, leaves the fewest that no configured group size can use.  Ties are broken
by the domain with most instances that have its weights, then by the zone
with the fewest replicas of the service, then by the tightest fit.  If there
is capacity for all groups, large groups are placed first.  Otherwise the
service with the largest missing share of its replicas goes first, regardless
of its organisation, and group size only breaks ties.
"""

import collections
import collections.abc
import dataclasses

from sycamoredale.config import model as config_model
from sycamoredale.groups import model
from sycamoredale import ids
from sycamoredale.object_api import instances


@dataclasses.dataclass(frozen=True)
class ReplicaDemand:
    """Represent how many groups a service has too few or too many.

    `runs` is what its instances must run, `surplus` the number of groups
    beyond the wanted ones, `only_domain` the only domain to place groups in.
    """

    service: ids.ServiceName
    runs: str
    size: int
    wanted: int
    missing: int
    weights: str = ""
    surplus: int = 0
    only_domain: ids.DomainName | None = None
    replicas_by_zone: collections.Counter[ids.ZoneName] = dataclasses.field(
        default_factory=collections.Counter
    )


@dataclasses.dataclass(frozen=True)
class FreeCapacity:
    """Represent the free instances of one kind in a domain.

    `count_by_weights` counts them by the weights that they loaded last.
    """

    domain: ids.DomainName
    zone: ids.ZoneName
    runs: str
    free: int
    count_by_weights: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Placement:
    """Assign one group of a service to a domain."""

    service: ids.ServiceName
    domain: ids.DomainName


def allocate(
    demands: collections.abc.Sequence[ReplicaDemand],
    capacities: collections.abc.Sequence[FreeCapacity],
) -> list[Placement]:
    """Return placements for as many missing groups as capacity allows."""
    by_size = _Allocation(demands, capacities)
    largest_first = sorted(demands, key=lambda d: (-d.size, d.service))
    for demand in largest_first:
        for _ in range(demand.missing):
            if not by_size.place(demand):
                break
    if not any(by_size.missing.values()):
        return by_size.placements
    fair = _Allocation(demands, capacities)
    fair.place_by_shortage()
    return fair.placements


def has_capacity(
    demand: ReplicaDemand, capacities: collections.abc.Iterable[FreeCapacity]
) -> bool:
    """Return whether a domain has capacity for one more group."""
    return any(
        c.runs == demand.runs and c.free >= demand.size for c in capacities
    )


def demands_of(
    configuration: config_model.Configuration,
    groups: collections.abc.Iterable[model.Group],
) -> list[ReplicaDemand]:
    """Return the demand of each service.

    Draining groups are not counted.  Groups of an older version are not
    counted either, so that groups of the new version are formed in addition
    wherever there is capacity.
    """
    counted = [g for g in groups if g.state is not model.GroupState.DRAINING]
    return [
        _demand_of(configuration, service, counted)
        for service in configuration.services
    ]


def capacities_of(
    configuration: config_model.Configuration,
    listed: collections.abc.Iterable[instances.Instance],
    assignments: collections.abc.Iterable[model.Assignment],
) -> list[FreeCapacity]:
    """Return the free instances by domain and kind.

    Zones that are out of service are skipped.
    """
    zones_out = {
        zone.name
        for zone in configuration.zones
        if zone.state is config_model.ZoneState.OUT
    }
    excluded: set[ids.InstanceId] = set()
    weights_by_id: dict[ids.InstanceId, str] = {}
    for assignment in assignments:
        excluded |= model.instances_in_use(assignment)
        excluded.update(assignment.unusable)
        weights_by_id.update(assignment.held)
    free: dict[
        tuple[ids.DomainName, ids.ZoneName, str], list[ids.InstanceId]
    ] = collections.defaultdict(list)
    for instance in listed:
        if instance.state is not instances.InstanceState.LIVE:
            continue
        if instance.id in excluded or instance.zone in zones_out:
            continue
        key = (instance.domain, instance.zone, instance.runs)
        free[key].append(instance.id)
    return [
        FreeCapacity(
            domain,
            zone,
            runs,
            len(found),
            collections.Counter(weights_by_id.get(i, "") for i in found),
        )
        for (domain, zone, runs), found in sorted(free.items())
    ]


def max_usable(free: int, sizes: collections.abc.Set[int]) -> int:
    """Return how many of `free` instances groups of the sizes can use."""
    usable = [0] * (free + 1)
    for count in range(1, free + 1):
        usable[count] = max(
            (usable[count - s] + s for s in sizes if s <= count),
            default=0,
        )
        usable[count] = max(usable[count], usable[count - 1])
    return usable[free]


class _Allocation:
    """Allocate free capacity to groups."""

    def __init__(
        self,
        demands: collections.abc.Sequence[ReplicaDemand],
        capacities: collections.abc.Sequence[FreeCapacity],
    ) -> None:
        self.placements: list[Placement] = []
        self.missing = {demand.service: demand.missing for demand in demands}
        self._demands = demands
        self._capacities = capacities
        self._free = [capacity.free for capacity in capacities]
        self._replicas_by_zone = {
            demand.service: demand.replicas_by_zone.copy()
            for demand in demands
        }
        self._usable_cache: dict[tuple[str, int], int] = {}

    def place_by_shortage(self) -> None:
        """Place groups by largest missing share until nothing fits."""
        open_demands = [
            demand for demand in self._demands if demand.missing > 0
        ]
        while open_demands:
            demand = min(
                open_demands,
                key=lambda d: (-self._missing_share(d), -d.size, d.service),
            )
            if not self.place(demand) or not self.missing[demand.service]:
                open_demands.remove(demand)

    def place(self, demand: ReplicaDemand) -> bool:
        """Place one group and return whether there was capacity for it."""
        candidates = [
            index
            for index, capacity in enumerate(self._capacities)
            if capacity.runs == demand.runs
            and demand.only_domain in (None, capacity.domain)
            and self._free[index] >= demand.size
        ]
        if not candidates or not self.missing[demand.service]:
            return False
        best = min(candidates, key=lambda index: self._cost(demand, index))
        capacity = self._capacities[best]
        self._free[best] -= demand.size
        self._replicas_by_zone[demand.service][capacity.zone] += 1
        self.missing[demand.service] -= 1
        self.placements.append(Placement(demand.service, capacity.domain))
        return True

    def _cost(
        self, demand: ReplicaDemand, index: int
    ) -> tuple[int, int, int, int, str]:
        capacity = self._capacities[index]
        free = self._free[index]
        remaining = free - demand.size
        before = free - self._usable(demand.runs, free)
        after = remaining - self._usable(demand.runs, remaining)
        return (
            after - before,
            -min(demand.size, capacity.count_by_weights[demand.weights]),
            self._replicas_by_zone[demand.service][capacity.zone],
            remaining,
            capacity.domain,
        )

    def _usable(self, runs: str, free: int) -> int:
        key = (runs, free)
        if key not in self._usable_cache:
            sizes = {d.size for d in self._demands if d.runs == runs}
            self._usable_cache[key] = max_usable(free, sizes)
        return self._usable_cache[key]

    def _missing_share(self, demand: ReplicaDemand) -> float:
        return self.missing[demand.service] / max(1, demand.wanted)


def _demand_of(
    configuration: config_model.Configuration,
    service: config_model.Service,
    counted: list[model.Group],
) -> ReplicaDemand:
    own = [
        group
        for group in counted
        if group.service == service.name and group.version == service.version
    ]
    plain = service.kind is config_model.ServiceKind.PLAIN
    return ReplicaDemand(
        service=service.name,
        runs=service.name if plain else instances.ENGINE,
        size=1 if plain else service.instances_per_replica,
        wanted=service.replicas,
        missing=max(0, service.replicas - len(own)),
        weights=model.weights_of(configuration, service),
        surplus=max(0, len(own) - service.replicas),
        replicas_by_zone=collections.Counter(group.zone for group in own),
    )
