"""Move small groups to other domains so that a large group fits.

A demand is blocked if no single domain has capacity for one more group.  The
free instances of several domains together may still suffice.  Small groups
of one domain are then formed again in other domains, one at a time, and the
old ones are drained once the new ones are ready, so that no service loses
capacity.
"""

import collections.abc
import dataclasses

from sycamoredale.groups import model
from sycamoredale.groups import placement
from sycamoredale import ids


@dataclasses.dataclass(frozen=True)
class PlacedGroup:
    """Combine a group with its fabric domain."""

    domain: ids.DomainName
    group: model.Group


@dataclasses.dataclass(frozen=True, slots=True)
class Move:
    """Move a group to a domain, or remove it if the target is None."""

    group: model.Group
    target: ids.DomainName | None


@dataclasses.dataclass(frozen=True)
class RelocationPlanner:
    """Find moves of groups that make capacity for blocked demands."""

    placed: collections.abc.Sequence[PlacedGroup]
    demands: collections.abc.Sequence[placement.ReplicaDemand]
    capacities: collections.abc.Sequence[placement.FreeCapacity]

    def blocked_demands(self) -> list[placement.ReplicaDemand]:
        """Return the blocked demands by missing share, largest first."""
        found = [
            demand
            for demand in self.demands
            if demand.missing
            and not placement.has_capacity(demand, self.capacities)
        ]
        return sorted(
            found,
            key=lambda d: (-d.missing / d.wanted, d.service),
        )

    def extra_demand(self) -> placement.ReplicaDemand | None:
        """Return the demand for the replacement of a group to be moved."""
        if any(demand.surplus for demand in self.demands):
            return None
        if any(_is_surplus(placed.group) for placed in self.placed):
            return None
        for demand in self.blocked_demands():
            for domain in self._domains_by_gap(demand):
                moves = self._find_moves(domain, demand)
                if moves:
                    return self._demand_for_move(moves[0])
        return None

    def best_surplus(self, service: ids.ServiceName) -> model.Group | None:
        """Return the group whose removal makes a blocked demand fit."""
        for demand in self.blocked_demands():
            for domain in self._domains_by_gap(demand):
                for move in self._find_moves(domain, demand, service):
                    if move.target is None:
                        return move.group
        return None

    def _demand_for_move(self, move: Move) -> placement.ReplicaDemand | None:
        for demand in self.demands:
            if demand.service == move.group.service:
                return dataclasses.replace(
                    demand, missing=1, only_domain=move.target
                )
        return None

    def _domains_by_gap(
        self, demand: placement.ReplicaDemand
    ) -> list[ids.DomainName]:
        domains = {placed.domain for placed in self.placed}
        return sorted(
            domains,
            key=lambda d: (demand.size - self._free(d, demand.runs), d),
        )

    def _find_moves(
        self,
        domain: ids.DomainName,
        demand: placement.ReplicaDemand,
        surplus: ids.ServiceName | None = None,
    ) -> list[Move]:
        """Return moves that make enough capacity in a domain, or none.

        One group of the `surplus` service needs no capacity elsewhere.
        """
        gap = demand.size - self._free(domain, demand.runs)
        free_elsewhere = {
            capacity.domain: capacity.free
            for capacity in self.capacities
            if capacity.domain != domain and capacity.runs == demand.runs
        }
        moves: list[Move] = []
        for group in self._movable(domain, demand, gap):
            if gap <= 0:
                break
            size = len(group.members)
            if group.service == surplus:
                surplus = None
                moves.append(Move(group, None))
                gap -= size
                continue
            candidates = [
                (free, d) for d, free in free_elsewhere.items() if free >= size
            ]
            if candidates:
                target = min(candidates)[1]
                free_elsewhere[target] -= size
                moves.append(Move(group, target))
                gap -= size
        return moves if gap <= 0 else []

    def _movable(
        self, domain: ids.DomainName, demand: placement.ReplicaDemand, gap: int
    ) -> list[model.Group]:
        by_service = {d.service: d for d in self.demands}
        found = [
            placed.group
            for placed in self.placed
            if placed.domain == domain
            and placed.group.state is model.GroupState.READY
            and by_service[placed.group.service].runs == demand.runs
            and not by_service[placed.group.service].missing
            and len(placed.group.members) < demand.size
        ]
        return sorted(found, key=lambda g: (abs(gap - len(g.members)), g.id))

    def _free(self, domain: ids.DomainName, runs: str) -> int:
        return sum(
            capacity.free
            for capacity in self.capacities
            if capacity.domain == domain and capacity.runs == runs
        )


def with_extra(
    demands: collections.abc.Sequence[placement.ReplicaDemand],
    extra_demand: placement.ReplicaDemand | None,
) -> list[placement.ReplicaDemand]:
    """Return the demands with that of one service replaced."""
    if extra_demand is None:
        return list(demands)
    return [
        extra_demand if d.service == extra_demand.service else d
        for d in demands
    ]


def _is_surplus(group: model.Group) -> bool:
    return group.drain_reason is model.DrainReason.SURPLUS
