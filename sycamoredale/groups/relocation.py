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
class Placed:
    """Name a group and the domain that it stands in."""

    domain: ids.DomainName
    group: model.Group


@dataclasses.dataclass(frozen=True)
class Moves:
    """Look for moves among all groups, given the needs and the rooms."""

    placed: collections.abc.Sequence[Placed]
    needs: collections.abc.Sequence[placement.Need]
    rooms: collections.abc.Sequence[placement.Room]

    def blocked(self) -> list[placement.Need]:
        """Return the needs that no domain has room for, neediest first."""
        found = [
            need
            for need in self.needs
            if need.missing and not placement.fits(need, self.rooms)
        ]
        return sorted(found, key=lambda n: (-n.missing / n.wanted, n.service))

    def extra_need(self) -> placement.Need | None:
        """Return the need for a group that lets another one go."""
        for need in self.blocked():
            for domain in self._domains_by_gap(need):
                moved = self._clear(domain, need)
                if moved:
                    return self._once_more(moved[0], domain)
        return None

    def best_surplus(
        self, groups: collections.abc.Sequence[model.Group]
    ) -> model.Group | None:
        """Return the group whose end helps a blocked need the most."""
        blocked = self.blocked()
        if not blocked:
            return None
        known = {placed.group.id: placed.domain for placed in self.placed}

        def gap(group: model.Group) -> int:
            free = self._free(known[group.id], blocked[0].runs)
            return abs(blocked[0].size - free - len(group.members))

        return min(groups, key=lambda group: (gap(group), group.id))

    def _once_more(
        self, group: model.Group, domain: ids.DomainName
    ) -> placement.Need | None:
        for need in self.needs:
            if need.service == group.service and not need.surplus:
                return dataclasses.replace(need, missing=1, barred=domain)
        return None

    def _domains_by_gap(self, need: placement.Need) -> list[ids.DomainName]:
        domains = {placed.domain for placed in self.placed}
        return sorted(
            domains,
            key=lambda d: (need.size - self._free(d, need.runs), d),
        )

    def _clear(
        self, domain: ids.DomainName, need: placement.Need
    ) -> list[model.Group]:
        """Return the groups to move out of a domain, none if in vain."""
        gap = need.size - self._free(domain, need.runs)
        elsewhere = [
            room.free
            for room in self.rooms
            if room.domain != domain and room.runs == need.runs
        ]
        moved: list[model.Group] = []
        for group in self._movable(domain, need, gap):
            if gap <= 0:
                break
            size = len(group.members)
            fits = [free for free in elsewhere if free >= size]
            if fits:
                elsewhere.remove(min(fits))
                elsewhere.append(min(fits) - size)
                moved.append(group)
                gap -= size
        return moved if gap <= 0 else []

    def _movable(
        self, domain: ids.DomainName, need: placement.Need, gap: int
    ) -> list[model.Group]:
        by_service = {n.service: n for n in self.needs}
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
            for room in self.rooms
            if room.domain == domain and room.runs == runs
        )


def with_extra(
    needs: collections.abc.Sequence[placement.Need],
    extra: placement.Need | None,
) -> list[placement.Need]:
    """Return the needs with one replaced by the extra one."""
    if extra is None:
        return list(needs)
    return [extra if n.service == extra.service else n for n in needs]
