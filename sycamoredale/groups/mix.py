"""Decide which new groups free instances form, and what spares stage.

Every group stands in one fabric domain.  The model that has the fewest
instances for its share of the work goes first.  The instances that no
group fits into stay spares with a model staged on their host, since a
staged model joins in a tenth of the time of a load.
"""

import collections
import collections.abc
import dataclasses

from sycamoredale.forwarding import catalogue
from sycamoredale.forwarding import listing
from sycamoredale import ids


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
    def has(model: catalogue.Model) -> float:
        return counts[model.name] * model.size / model.share

    fits = [
        (domain, model)
        for model in models
        for domain, room in rooms.items()
        if len(room) >= model.size
    ]
    if not fits:
        return None
    # A group that loads serves ten times later than one that is staged.
    warm = [f for f in fits if _is_warm(rooms[f[0]], f[1])]
    return min(
        warm or fits,
        key=lambda f: (has(f[1]), _unfitness(rooms[f[0]], f[1]), f[0]),
    )


def _is_warm(room: list[listing.Instance], model: catalogue.Model) -> bool:
    return sum(model.name in i.staged for i in room) >= model.size


def _unfitness(
    room: list[listing.Instance], model: catalogue.Model
) -> tuple[int, int]:
    staged = sum(model.name in i.staged for i in room)
    return -min(staged, model.size), -len(room)


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
