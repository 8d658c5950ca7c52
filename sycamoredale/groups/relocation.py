"""Move small groups together so that a large one fits.

A need is blocked when no domain has room for one more group, although the
free instances of several domains together would do.  Small groups of one
domain are then formed anew elsewhere, one at a time, and the old ones
drained once the new ones are ready, so that no service loses capacity.
"""

import collections.abc
import dataclasses

from sycamoredale.groups import model
from sycamoredale.groups import placement
from sycamoredale import ids


@dataclasses.dataclass(frozen=True)
class PlacedGroup:
    """Name a group and the domain that it stands in."""

    domain: ids.DomainName
    group: model.Group


@dataclasses.dataclass(frozen=True, slots=True)
class Move:
    """Move a group to a domain, or end it where the target is None."""

    group: model.Group
    target: ids.DomainName | None


@dataclasses.dataclass(frozen=True)
class RelocationPlanner:
    """Look for moves among all groups, given the needs and the rooms."""

    placed: collections.abc.Sequence[PlacedGroup]
    demands: collections.abc.Sequence[placement.ReplicaDemand]
    capacities: collections.abc.Sequence[placement.FreeCapacity]

    def blocked_demands(self) -> list[placement.ReplicaDemand]:
        """Return the needs that no domain has room for, neediest first."""
        found = [
            need
            for need in self.demands
            if need.missing
            and not placement.has_capacity(need, self.capacities)
        ]
        return sorted(found, key=lambda n: (-n.missing / n.wanted, n.service))

    def extra_demand(self) -> placement.ReplicaDemand | None:
        """Return the need for a group that lets another one go."""
        if any(need.surplus for need in self.demands):
            return None
        if any(_is_surplus(placed.group) for placed in self.placed):
            return None
        for need in self.blocked_demands():
            for domain in self._domains_by_gap(need):
                steps = self._find_moves(domain, need)
                if steps:
                    return self._demand_for_move(steps[0])
        return None

    def best_surplus(self, service: ids.ServiceName) -> model.Group | None:
        """Return the group of a service whose end lets a blocked need fit."""
        for need in self.blocked_demands():
            for domain in self._domains_by_gap(need):
                for step in self._find_moves(domain, need, service):
                    if step.target is None:
                        return step.group
        return None

    def _demand_for_move(self, step: Move) -> placement.ReplicaDemand | None:
        for need in self.demands:
            if need.service == step.group.service:
                return dataclasses.replace(
                    need, missing=1, only_domain=step.target
                )
        return None

    def _domains_by_gap(
        self, need: placement.ReplicaDemand
    ) -> list[ids.DomainName]:
        domains = {placed.domain for placed in self.placed}
        return sorted(
            domains,
            key=lambda d: (need.size - self._free(d, need.runs), d),
        )

    def _find_moves(
        self,
        domain: ids.DomainName,
        need: placement.ReplicaDemand,
        surplus: ids.ServiceName | None = None,
    ) -> list[Move]:
        """Return the steps that make room in a domain, none if in vain.

        One group of the `surplus` service needs no room elsewhere.
        """
        gap = need.size - self._free(domain, need.runs)
        elsewhere = {
            room.domain: room.free
            for room in self.capacities
            if room.domain != domain and room.runs == need.runs
        }
        steps: list[Move] = []
        for group in self._movable(domain, need, gap):
            if gap <= 0:
                break
            size = len(group.members)
            if group.service == surplus:
                surplus = None
                steps.append(Move(group, None))
                gap -= size
                continue
            fits = [(n, d) for d, n in elsewhere.items() if n >= size]
            if fits:
                target = min(fits)[1]
                elsewhere[target] -= size
                steps.append(Move(group, target))
                gap -= size
        return steps if gap <= 0 else []

    def _movable(
        self, domain: ids.DomainName, need: placement.ReplicaDemand, gap: int
    ) -> list[model.Group]:
        by_service = {n.service: n for n in self.demands}
        found = [
            placed.group
            for placed in self.placed
            if placed.domain == domain
            and placed.group.state is model.GroupState.READY
            and by_service[placed.group.service].runs == need.runs
            and not by_service[placed.group.service].missing
            and len(placed.group.members) < need.size
        ]
        return sorted(found, key=lambda g: (abs(gap - len(g.members)), g.id))

    def _free(self, domain: ids.DomainName, runs: str) -> int:
        return sum(
            room.free
            for room in self.capacities
            if room.domain == domain and room.runs == runs
        )


def with_extra(
    needs: collections.abc.Sequence[placement.ReplicaDemand],
    extra: placement.ReplicaDemand | None,
) -> list[placement.ReplicaDemand]:
    """Return the needs with one replaced by the extra one."""
    if extra is None:
        return list(needs)
    return [extra if n.service == extra.service else n for n in needs]


def _is_surplus(group: model.Group) -> bool:
    return group.drain_reason is model.DrainReason.SURPLUS
