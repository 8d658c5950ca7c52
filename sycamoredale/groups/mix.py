"""Decide which new groups free instances form, and what spares stage.

Every group stands in one fabric domain.  The model that has the fewest
groups for its share of the work goes first.  A few free instances of each
domain stay spares with a model staged on their host, since a staged model
joins in a tenth of the time of a load.
"""

import collections
import collections.abc
import dataclasses
from typing import Final

from sycamoredale.forwarding import catalogue
from sycamoredale.forwarding import listing
from sycamoredale import ids

# One spare for each of two models of a domain; a lost member is the usual
# loss, and its replacement needs the same model staged.
SPARES_PER_DOMAIN: Final = 2


@dataclasses.dataclass(frozen=True, slots=True)
class NewGroup:
    """Name the members of a new group, the head first."""

    model: catalogue.Model
    members: tuple[listing.Instance, ...]

    @property
    def loads(self) -> int:
        """Return how many members have to load the model."""
        return sum(self.model.name not in m.staged for m in self.members)


@dataclasses.dataclass(frozen=True, slots=True)
class Staging:
    """Name a spare and the model that its host should hold."""

    instance: listing.Instance
    model: str


def new_groups(
    free: collections.abc.Iterable[listing.Instance],
    models: collections.abc.Sequence[catalogue.Model],
    standing: collections.Counter[str],
) -> collections.abc.Iterator[NewGroup]:
    """Yield the groups to form; `standing` counts those by model."""
    counts = collections.Counter(standing)
    rooms = _by_domain(free)
    while True:
        found = _next(rooms, models, counts)
        if found is None:
            return
        domain, model = found
        members = _pick(rooms[domain], model, models)
        rooms[domain] = [i for i in rooms[domain] if i not in members]
        counts[model.name] += 1
        yield NewGroup(model, members)


def stagings(
    free: collections.abc.Iterable[listing.Instance],
    models: collections.abc.Sequence[catalogue.Model],
) -> collections.abc.Iterator[Staging]:
    """Yield what spares that hold no model should stage."""
    for spares in _by_domain(free).values():
        held = collections.Counter(
            name for spare in spares for name in spare.staged
        )
        for spare in spares:
            if spare.staged:
                continue
            model = min(models, key=lambda m: (held[m.name], -m.size))
            held[model.name] += 1
            yield Staging(spare, model.name)


def _next(
    rooms: dict[ids.DomainName, list[listing.Instance]],
    models: collections.abc.Sequence[catalogue.Model],
    counts: collections.Counter[str],
) -> tuple[ids.DomainName, catalogue.Model] | None:
    neediest = sorted(models, key=lambda m: (counts[m.name] / m.share, m.name))
    for model in neediest:
        fits = [d for d, room in rooms.items() if _has_room(room, model)]
        if fits:
            # A domain that holds the model first, then the emptiest one.
            return max(fits, key=lambda d: _fitness(rooms[d], model, d)), model
    return None


def _has_room(room: list[listing.Instance], model: catalogue.Model) -> bool:
    if len(room) < model.size:
        return False
    staged = sum(model.name in i.staged for i in room)
    return staged >= model.size - 1 or (
        len(room) >= model.size + SPARES_PER_DOMAIN
    )


def _fitness(
    room: list[listing.Instance],
    model: catalogue.Model,
    domain: ids.DomainName,
) -> tuple[int, int, str]:
    staged = sum(model.name in i.staged for i in room)
    return min(staged, model.size), len(room), domain


def _pick(
    room: list[listing.Instance],
    model: catalogue.Model,
    models: collections.abc.Sequence[catalogue.Model],
) -> tuple[listing.Instance, ...]:
    def preference(instance: listing.Instance) -> tuple[bool, bool, str]:
        other = any(
            m.name in instance.staged for m in models if m is not model
        )
        return model.name not in instance.staged, other, instance.id

    return tuple(sorted(room, key=preference)[: model.size])


def _by_domain(
    free: collections.abc.Iterable[listing.Instance],
) -> dict[ids.DomainName, list[listing.Instance]]:
    rooms: dict[ids.DomainName, list[listing.Instance]] = {}
    for instance in sorted(free, key=lambda i: i.id):
        rooms.setdefault(instance.domain, []).append(instance)
    return rooms
