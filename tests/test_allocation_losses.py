"""Compare allocations under the same sequences of instance losses.

Scenario: members of groups fail permanently every three seconds and are
replaced by empty instances, while the weight store serves few loads at once.
The test compares how long complete groups serve.
"""

import collections
import dataclasses
import random

from sycamoredale.groups import model_allocation
from sycamoredale.groups import model_counts
from tests import instance_fixtures

MODELS = instance_fixtures.ENGINE.models
LOADS_AT_ONCE = 6
STEP_SECONDS = 0.5
FORMATION_SECONDS = 3.0
DURATION_SECONDS = 36.0
DOMAINS = 6
DOMAIN_SIZE = 9
SEQUENCES = 20
# Half a group serves six more concurrent requests.
MIN_MORE_GROUPS = 0.5


class _Greedy(model_counts.ModelCounts):
    """Ignore the models of a domain, as a naive greedy allocation does."""

    def add(self, instance, model):
        """Count nothing."""


@dataclasses.dataclass
class _Simulation:
    """Simulate losses and the decisions of `model_allocation`."""

    make_counts: type
    seed: int
    instances: dict = dataclasses.field(default_factory=dict)
    groups: dict = dataclasses.field(default_factory=dict)
    staging: dict = dataclasses.field(default_factory=dict)
    served: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )

    def run(self):
        """Return the seconds for which groups of each model served."""
        self.sampler = random.Random(self.seed)
        for domain in range(DOMAINS):
            for number in range(DOMAIN_SIZE):
                self._add(f"d{domain}-{number}", domain, "")
        self._form(0.0, may_load=True)
        for staging in model_allocation.stagings(
            self._free(), MODELS, {}, self._count_models()
        ):
            domain = int(staging.instance.domain[1:])
            self._add(staging.instance.id, domain, staging.model)
        for step in range(int(DURATION_SECONDS / STEP_SECONDS)):
            self._step(step * STEP_SECONDS)
        return self.served

    def _step(self, now):
        if now % 3.0 == 0.0 and now:
            self._fail_members(int(now / 3.0) % 3)
        if now >= 12.0 and now % 2.5 == 0.0:
            self._replace(int(now / 2.5) % 3, now)
        self._end_staging(now)
        self._form(now, may_load=False)
        self._stage(now)
        for name, _, since in self.groups.values():
            if now >= since:
                self.served[name] += STEP_SECONDS

    def _fail_members(self, zone):
        joined = [
            member
            for _, members, _ in self.groups.values()
            for member in members
            if int(self.instances[member].domain[1:]) % 3 == zone
        ]
        for lost in self.sampler.sample(sorted(joined), 2):
            del self.instances[lost]
            for key, (_, members, _) in list(self.groups.items()):
                if lost in members:
                    del self.groups[key]

    def _replace(self, zone, now):
        for number in range(2):
            domains = [d for d in range(DOMAINS) if d % 3 == zone]
            sizes = collections.Counter(
                int(i.domain[1:]) for i in self.instances.values()
            )
            domain = min(domains, key=lambda d: sizes[d])
            self._add(f"n{now}-{number}", domain, "")

    def _add(self, name, domain, model):
        self.instances[name] = instance_fixtures.instance(
            name, domain=f"d{domain}", staged=(model,) if model else ()
        )

    def _count_models(self):
        expected = {i: model for i, (model, _) in self.staging.items()}
        for name, members, _ in self.groups.values():
            expected.update(dict.fromkeys(members, name))
        found = self.make_counts()
        model_counts.add_all(found, self.instances.values(), expected)
        return found

    def _free(self):
        busy = {m for _, members, _ in self.groups.values() for m in members}
        return [i for i in self.instances.values() if i.id not in busy]

    def _form(self, now, may_load):
        existing = collections.Counter(g[0] for g in self.groups.values())
        free = [i for i in self._free() if i.id not in self.staging]
        for group in model_allocation.new_groups(
            free, MODELS, existing, {}, may_load, self._count_models()
        ):
            name = group.model.name
            members = tuple(m.id for m in group.members)
            since = 0.0 if may_load else now + FORMATION_SECONDS
            self.groups[members[0], now] = (name, members, since)
            for member in group.members:
                self._add(member.id, int(member.domain[1:]), name)

    def _stage(self, now):
        in_progress = {
            i: m for i, (m, _) in self.staging.items() if i in self.instances
        }
        found = model_allocation.stagings(
            self._free(), MODELS, in_progress, self._count_models()
        )
        for staging in found[: max(0, LOADS_AT_ONCE - len(in_progress))]:
            load = next(
                m.load_seconds for m in MODELS if m.name == staging.model
            )
            self.staging[staging.instance.id] = staging.model, now + load

    def _end_staging(self, now):
        for name, (model, until) in list(self.staging.items()):
            instance = self.instances.get(name)
            if instance is None or now >= until:
                del self.staging[name]
            if instance is not None and now >= until:
                self._add(name, int(instance.domain[1:]), model)


def _mean_groups(make_counts):
    """Return the mean number of serving groups of each model."""
    served = collections.Counter()
    for seed in range(SEQUENCES):
        served.update(_Simulation(make_counts, seed).run())
    seconds = SEQUENCES * DURATION_SECONDS
    return {name: total / seconds for name, total in served.items()}


def test_one_model_per_domain_leaves_more_groups_after_losses():
    counted = _mean_groups(model_counts.ModelCounts)
    greedy = _mean_groups(_Greedy)
    for model in MODELS:
        assert counted[model.name] >= greedy[model.name]
    more = sum(counted.values()) - sum(greedy.values())
    assert more >= MIN_MORE_GROUPS
