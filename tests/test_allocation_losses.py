"""Compare placements under the same recorded sequences of losses.

Pattern: members of groups are lost for good every three seconds, and empty
instances come in their place, while the weight store serves few loads at
once.  Counted is how long groups of full size serve.
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
REPAIR_SECONDS = 3.0
DAY_SECONDS = 36.0
DOMAINS = 6
DOMAIN_SIZE = 9
SEQUENCES = 20
# Half a group runs six requests more at a time.
LEAST_MORE_GROUPS = 0.5


class _Greedy(model_counts.ModelCounts):
    """Know nothing of what a domain holds: the naive greedy placement."""

    def add(self, instance, model):
        """Count nothing."""


@dataclasses.dataclass
class _Site:
    """Play losses against the decisions of `mix`."""

    make_holdings: type
    seed: int
    instances: dict = dataclasses.field(default_factory=dict)
    groups: dict = dataclasses.field(default_factory=dict)
    staging: dict = dataclasses.field(default_factory=dict)
    served: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )

    def play(self):
        """Return the seconds that groups of each model served."""
        self.sampler = random.Random(self.seed)
        for domain in range(DOMAINS):
            for number in range(DOMAIN_SIZE):
                self._add(f"d{domain}-{number}", domain, "")
        self._form(0.0, may_load=True)
        for staging in model_allocation.stagings(
            self._free(), MODELS, {}, self._held()
        ):
            domain = int(staging.instance.domain[1:])
            self._add(staging.instance.id, domain, staging.model)
        for step in range(int(DAY_SECONDS / STEP_SECONDS)):
            self._step(step * STEP_SECONDS)
        return self.served

    def _step(self, now):
        if now % 3.0 == 0.0 and now:
            self._lose(int(now / 3.0) % 3)
        if now >= 12.0 and now % 2.5 == 0.0:
            self._come(int(now / 2.5) % 3, now)
        self._end_staging(now)
        self._form(now, may_load=False)
        self._stage(now)
        for name, _, since in self.groups.values():
            if now >= since:
                self.served[name] += STEP_SECONDS

    def _lose(self, zone):
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

    def _come(self, zone, now):
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

    def _held(self):
        awaited = {i: model for i, (model, _) in self.staging.items()}
        for name, members, _ in self.groups.values():
            awaited.update(dict.fromkeys(members, name))
        found = self.make_holdings()
        model_counts.add_all(found, self.instances.values(), awaited)
        return found

    def _free(self):
        busy = {m for _, members, _ in self.groups.values() for m in members}
        return [i for i in self.instances.values() if i.id not in busy]

    def _form(self, now, may_load):
        standing = collections.Counter(g[0] for g in self.groups.values())
        free = [i for i in self._free() if i.id not in self.staging]
        for group in model_allocation.new_groups(
            free, MODELS, standing, {}, may_load, self._held()
        ):
            name = group.model.name
            members = tuple(m.id for m in group.members)
            since = 0.0 if may_load else now + REPAIR_SECONDS
            self.groups[members[0], now] = (name, members, since)
            for member in group.members:
                self._add(member.id, int(member.domain[1:]), name)

    def _stage(self, now):
        under_way = {
            i: m for i, (m, _) in self.staging.items() if i in self.instances
        }
        found = model_allocation.stagings(
            self._free(), MODELS, under_way, self._held()
        )
        for staging in found[: max(0, LOADS_AT_ONCE - len(under_way))]:
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


def _mean_groups(make_holdings):
    """Return how many groups of each model served at a time."""
    served = collections.Counter()
    for seed in range(SEQUENCES):
        served.update(_Site(make_holdings, seed).play())
    seconds = SEQUENCES * DAY_SECONDS
    return {name: total / seconds for name, total in served.items()}


def test_steady_losses_leave_more_groups_where_domains_keep_to_a_model():
    homes = _mean_groups(model_counts.ModelCounts)
    greedy = _mean_groups(_Greedy)
    for model in MODELS:
        assert homes[model.name] >= greedy[model.name]
    more = sum(homes.values()) - sum(greedy.values())
    assert more >= LEAST_MORE_GROUPS
