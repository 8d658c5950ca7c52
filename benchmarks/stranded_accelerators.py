"""Measure stranded accelerators after random failures and recoveries.

The planner and a greedy one are given the same events.  Engines carry out
orders immediately, so that only the plans differ.  Accelerators are stranded
if their instances are alive but in no ready group while services lack at
least as many.  The benchmark also measures the time of one plan at the
target size.

Run `python -m benchmarks.stranded_accelerators`.
"""

import collections.abc
import random
import statistics
import time
import typing

from benchmarks import naive_placement
from benchmarks import site
from sycamoredale import clock
from sycamoredale.config import model as config_model
from sycamoredale.engines import orders
from sycamoredale.groups import health
from sycamoredale.groups import model
from sycamoredale.groups import planning
from sycamoredale.groups import repair
from sycamoredale.groups import retirement
from sycamoredale import ids
from sycamoredale.object_api import instances

EVENTS: typing.Final = 200
SEEDS: typing.Final = range(5)
ROUNDS_PER_EVENT: typing.Final = 12
ROUND_SECONDS: typing.Final = 4.0
DOMAINS: typing.Final = 8
INSTANCES_PER_DOMAIN: typing.Final = 24

Planner = collections.abc.Callable[
    ["Fleet", model.Assignment, list[model.Assignment]], model.Assignment
]


def configuration(scale: int = 1) -> config_model.Configuration:
    """Return services of mixed sizes that need most of the instances."""
    sizes = {"large": (16, 6), "middle": (6, 8), "small": (2, 16)}
    return config_model.Configuration(
        services=[
            config_model.Service(
                ids.ServiceName(name),
                config_model.ServiceKind.MODEL,
                replicas=replicas * scale,
                instances_per_replica=size,
                version=ids.VersionName("v1"),
            )
            for name, (size, replicas) in sorted(sizes.items())
        ]
    )


class Fleet:
    """Simulate instances, their engines and the assignments."""

    def __init__(self, domains: int, per_domain: int, scale: int) -> None:
        """Create the instances, all alive and without groups."""
        self.configuration = configuration(scale)
        self.all = {
            instance.id: instance
            for instance in _instances(domains, per_domain)
        }
        self.alive = dict(self.all)
        self.now = clock.MonotonicTime(1000.0)
        self.formed: set[tuple[ids.GroupId, ids.Epoch]] = set()
        self.draining: dict[ids.GroupId, clock.MonotonicTime] = {}
        self.by_domain = {
            name: model.Assignment(name)
            for name in sorted({i.domain for i in self.all.values()})
        }

    def apply_random_event(self, sampler: random.Random) -> None:
        """Fail a random instance or recover a failed one."""
        failed = sorted(self.all.keys() - self.alive.keys())
        if failed and sampler.random() < len(failed) / 20:
            returned = sampler.choice(failed)
            self.alive[returned] = self.all[returned]
        else:
            del self.alive[sampler.choice(sorted(self.alive))]

    def plan_until_stable(self, planner: Planner) -> bool:
        """Plan all domains until nothing changes.

        Returns False if the plans still change after ROUNDS_PER_EVENT.
        """
        for _ in range(ROUNDS_PER_EVENT):
            before = dict(self.by_domain)
            for domain, current in before.items():
                others = [
                    a for name, a in self.by_domain.items() if name != domain
                ]
                planned = planner(self, current, others)
                self.by_domain[domain] = planned
                before_ids = {
                    (group.id, group.epoch) for group in current.groups
                }
                after_ids = {
                    (group.id, group.epoch) for group in planned.groups
                }
                self.formed |= after_ids - before_ids
            self.now = clock.MonotonicTime(self.now + ROUND_SECONDS)
            if before == self.by_domain:
                return True
        return False

    def stranded_share(self) -> float:
        """Return the stranded share of the accelerators that are alive."""
        serving: set[ids.InstanceId] = set()
        ready: dict[ids.ServiceName, int] = {}
        for assignment in self.by_domain.values():
            for group in assignment.groups:
                if group.state is model.GroupState.READY:
                    serving |= {m.instance for m in group.members}
                    ready[group.service] = ready.get(group.service, 0) + 1
        missing = sum(
            max(0, s.replicas - ready.get(s.name, 0)) * s.instances_per_replica
            for s in self.configuration.services
        )
        free = len(self.alive.keys() - serving)
        return min(free, missing) / len(self.alive)

    def snapshot(self, current: model.Assignment) -> repair.DomainSnapshot:
        """Return the snapshot that a controller would have of a domain."""
        health_table = health.HealthTable()
        group_by_id = {
            member.instance: group
            for group in current.groups
            for member in group.members
        }
        for instance in self.alive.values():
            if instance.domain == current.domain:
                health_table.register(instance.id, instance.address)
                state = _report(instance.id, group_by_id.get(instance.id))
                health_table.record_report(instance.id, state, self.now)
        for group in current.groups:
            if group.state is model.GroupState.DRAINING:
                self.draining.setdefault(group.id, self.now)
        return repair.DomainSnapshot(
            self.configuration,
            self.alive,
            health_table,
            self.draining,
            clock.MonotonicTime(0.0),
            self.now,
        )


def plan_optimized(
    fleet: Fleet, current: model.Assignment, others: list[model.Assignment]
) -> model.Assignment:
    """Plan with the planner of the controller."""
    plan_input = planning.PlanInput(
        fleet.snapshot(current),
        others,
        retirement.DomainStragglers(current.domain),
    )
    return planning.plan(current, plan_input).assignment


def plan_greedily(
    fleet: Fleet, current: model.Assignment, others: list[model.Assignment]
) -> model.Assignment:
    """Plan greedily in the order of the configuration."""
    planned = naive_placement.plan(
        fleet.configuration, fleet.alive.values(), current, others
    )
    groups = [_ready(group) for group in planned.groups]
    return model.Assignment(planned.domain, planned.epoch, groups)


def run(planner: Planner, seed: int) -> tuple[list[float], int]:
    """Return the stranded share after each event and the groups formed."""
    fleet = Fleet(DOMAINS, INSTANCES_PER_DOMAIN, scale=1)
    fleet.plan_until_stable(planner)
    fleet.formed.clear()
    sampler = random.Random(seed)
    shares = []
    for _ in range(EVENTS):
        fleet.apply_random_event(sampler)
        fleet.plan_until_stable(planner)
        shares.append(fleet.stranded_share())
    return shares, len(fleet.formed)


def plan_seconds() -> float:
    """Return the time of one plan with 2,800 groups on 700 domains."""
    fleet = Fleet(domains=700, per_domain=24, scale=93)
    for domain, current in list(fleet.by_domain.items()):
        fleet.by_domain[domain] = plan_greedily(
            fleet, current, list(fleet.by_domain.values())
        )
    domain = min(fleet.by_domain)
    current = fleet.by_domain.pop(domain)
    others = list(fleet.by_domain.values())
    started = time.perf_counter()
    plan_optimized(fleet, current, others)
    return time.perf_counter() - started


def main() -> None:
    """Print the stranded shares of both planners and the time of a plan."""
    for name, planner in (("greedy", plan_greedily), ("ours", plan_optimized)):
        runs = [run(planner, seed) for seed in SEEDS]
        means = [statistics.mean(shares) for shares, _ in runs]
        ends = [shares[-1] for shares, _ in runs]
        formed = statistics.mean(count for _, count in runs)
        labels = {"variant": name, "events": EVENTS, "seeds": len(SEEDS)}
        for measure, value in (
            ("mean", statistics.mean(means)),
            ("worst_seed", max(means)),
            ("at_the_end", statistics.mean(ends)),
        ):
            site.report(f"stranded.{measure}", value * 100, "%", **labels)
        site.report("stranded.groups_formed", formed, "groups", **labels)
    site.report("placement.one_plan_at_target", plan_seconds(), "s")


def _instances(
    domains: int, per_domain: int
) -> collections.abc.Iterator[instances.Instance]:
    for domain in range(domains):
        for number in range(per_domain):
            name = f"d{domain:03}-{number:02}"
            yield instances.Instance(
                ids.InstanceId(name),
                f"{name}:1",
                ids.ZoneName(f"z{domain % 3}"),
                ids.DomainName(f"d{domain:03}"),
            )


def _report(
    instance: ids.InstanceId, group: model.Group | None
) -> orders.EngineState:
    if group is None:
        return orders.EngineState(instance, orders.Phase.EMPTY)
    draining = group.state is model.GroupState.DRAINING
    phase = orders.Phase.DRAINING if draining else orders.Phase.READY
    return orders.EngineState(instance, phase, group.epoch, group.id)


def _ready(group: model.Group) -> model.Group:
    return model.Group(
        group.id,
        group.service,
        group.version,
        group.zone,
        group.epoch,
        model.GroupState.READY,
        group.members,
    )


if __name__ == "__main__":
    main()
