"""Know which models the instances of each fabric domain run or hold.

A domain that keeps to one model loses fewer groups to the same losses: the
survivors of any two of its groups fit together, and each spare fits every
group.  The model that most of its instances have is its home model.
"""

import collections
import collections.abc
import dataclasses

from sycamoredale.forwarding import listing
from sycamoredale import ids


def _empty_counters() -> (
    collections.defaultdict[str, collections.Counter[str]]
):
    return collections.defaultdict(collections.Counter)


@dataclasses.dataclass
class ModelCounts:
    """Count instances by fabric domain or zone, and by model."""

    _by_domain: collections.defaultdict[str, collections.Counter[str]] = (
        dataclasses.field(default_factory=_empty_counters)
    )
    _by_zone: collections.defaultdict[str, collections.Counter[str]] = (
        dataclasses.field(default_factory=_empty_counters)
    )

    def add(self, instance: listing.Instance, model: str) -> None:
        """Count an instance that runs or holds a model."""
        self._by_domain[instance.domain][model] += 1
        self._by_zone[instance.zone][model] += 1

    def count_others(self, domain: ids.DomainName, model: str) -> int:
        """Return how many instances of a domain have another model."""
        counts = self._by_domain[domain]
        return counts.total() - self.count(domain, model)

    def count(self, domain: ids.DomainName, model: str) -> int:
        """Return how many instances of a domain have a model."""
        return self._by_domain[domain][model]

    def domains(self) -> set[str]:
        """Return the domains that have any model."""
        return {d for d, counts in self._by_domain.items() if counts.total()}

    def domains_with(self, model: str) -> set[str]:
        """Return the domains that have a model."""
        return {d for d, counts in self._by_domain.items() if counts[model]}

    def count_in_zone(self, zone: ids.ZoneName, model: str) -> int:
        """Return how many instances of a zone have a model."""
        return self._by_zone[zone][model]

    def most_common_model(self, domain: ids.DomainName) -> str | None:
        """Return the model that most instances of a domain have."""
        counts = self._by_domain[domain]
        return max(counts, key=lambda m: (counts[m], m)) if counts else None


def add_all(
    counts: ModelCounts,
    instances: collections.abc.Iterable[listing.Instance],
    expected: collections.abc.Mapping[ids.InstanceId, str],
) -> None:
    """Count what instances run, hold or are about to have.

    `awaited` names the models of joins and stagings under way.
    """
    for instance in instances:
        membership = instance.membership
        if instance.id in expected:
            counts.add(instance, expected[instance.id])
        elif membership is not None:
            counts.add(instance, membership.model)
        elif instance.staged:
            counts.add(instance, instance.staged[0])
