"""Count which models the instances of each fabric domain run or have staged.

A domain whose instances all have one model loses fewer groups when
instances fail: the surviving members of any two of its groups can form a
new group, and each spare fits every group.  New groups and stagings
therefore prefer the most common model of a domain.
"""

import collections
import collections.abc
import dataclasses

from sycamoredale.forwarding import instance_state
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

    def add(self, instance: instance_state.Instance, model: str) -> None:
        """Count an instance that runs a model or has it staged."""
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
    instances: collections.abc.Iterable[instance_state.Instance],
    expected: collections.abc.Mapping[ids.InstanceId, str],
) -> None:
    """Count the models that instances run, have staged or will have.

    `expected` gives the models of joins and stagings in progress.
    """
    for instance in instances:
        membership = instance.membership
        if instance.id in expected:
            counts.add(instance, expected[instance.id])
        elif membership is not None:
            counts.add(instance, membership.model)
        elif instance.staged:
            counts.add(instance, instance.staged[0])
