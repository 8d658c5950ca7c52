"""Measure what a selection from subsets costs and how many endpoints it uses.

Daemons in three zones send to 54 groups of one model, each daemon 200 calls
in a minute.  The loads of the groups are drawn anew every fifth of a second,
evenly up to a share of the slots.  For each number of daemons the same calls
are selected with and without subsets, without processes or network.
"""

import dataclasses
import itertools
import random
import statistics
import time
import typing

from benchmarks import site
from sycamoredale import clock
from sycamoredale.forwarding import calls
from sycamoredale.forwarding import daemon_subsets
from sycamoredale.forwarding import endpoint_selection
from sycamoredale.forwarding import endpoints
from sycamoredale.forwarding import instance_state
from sycamoredale.forwarding import instance_table
from sycamoredale import ids
from sycamoredale.membership import view
from tests import instance_fixtures
from tests import test_platform_codec

# The fixtures of the tests have no types.
_FIXTURES: typing.Any = instance_fixtures
_CODEC: typing.Any = test_platform_codec
SIZES: typing.Final = (30, 100, 300)
ZONES: typing.Final = ("a", "b", "c")
GROUPS: typing.Final = 54
CALLS: typing.Final = 200
MEASURED_DAEMONS: typing.Final = 6
CALL_SECONDS: typing.Final = 0.3
LOAD_SECONDS: typing.Final = 0.2
MAX_LOAD_SHARES: typing.Final = (0.4, 0.8)
START: typing.Final = clock.MonotonicTime(1e6)


@dataclasses.dataclass
class Use:
    """Collect what the daemons of one variant used."""

    seconds: list[float] = dataclasses.field(default_factory=list)
    endpoints: list[int] = dataclasses.field(default_factory=list)
    other_zone: int = 0


def main() -> None:
    """Measure each size with and without subsets."""
    for size in SIZES:
        for name, share in itertools.product(
            ("subsets", "all"), MAX_LOAD_SHARES
        ):
            use = Use()
            for number in range(MEASURED_DAEMONS):
                selector = _selector(size, number, name == "subsets")
                _measure_daemon(selector, random.Random(number), share, use)
            _report(size, f"{name}, load up to {share:.0%}", use)


def _report(size: int, variant: str, use: Use) -> None:
    facts: dict[str, typing.Any] = {
        "size": size,
        "size_unit": "daemons",
        "variant": variant,
    }
    site.report(
        "zones.selection", 1e6 * statistics.median(use.seconds), "us", **facts
    )
    site.report(
        "zones.endpoints_used", statistics.mean(use.endpoints), "", **facts
    )
    share = use.other_zone / (CALLS * MEASURED_DAEMONS)
    site.report("zones.other_zone_share", share, "", **facts)


def _measure_daemon(
    selector: endpoint_selection.EndpointSelector,
    rng: random.Random,
    load_share: float,
    use: Use,
) -> None:
    used = set()
    now = START
    told_at = clock.MonotonicTime(0.0)
    for _ in range(CALLS):
        now = clock.MonotonicTime(now + CALL_SECONDS)
        if now - told_at >= LOAD_SECONDS:
            told_at = now
            _draw_loads(selector, rng, load_share, now)
        call = _call(now)
        began = time.process_time()
        selected = selector.select(call, frozenset(), now)
        use.seconds.append(time.process_time() - began)
        used.add(selected.id)
        use.other_zone += selected.instance.zone != selector.own_zone
    use.endpoints.append(len(used))


def _draw_loads(
    selector: endpoint_selection.EndpointSelector,
    rng: random.Random,
    load_share: float,
    now: clock.MonotonicTime,
) -> None:
    for endpoint in selector.endpoint_table.by_id.values():
        load = rng.uniform(0.0, load_share * endpoint.slots)
        endpoint.set_peer_load(load, now)


def _selector(
    size: int, number: int, has_subsets: bool
) -> endpoint_selection.EndpointSelector:
    """Return the selector of one daemon of the first zone."""
    instances = instance_table.InstanceTable()
    table = endpoints.EndpointTable(
        instances, lambda: _FIXTURES.SERVICES, lambda: frozenset()
    )
    for group in range(GROUPS):
        key = _FIXTURES.key("large", group + 1)
        instance = _FIXTURES.instance(
            f"i{group}",
            zone=ZONES[group % len(ZONES)],
            membership=(key, 0, instance_state.MemberState.OPEN),
        )
        instances.apply_listed(instance, START)
    own = _peer(len(ZONES) * number)
    members = view.MembershipView(own)
    for peer in range(size):
        members.merge(_peer(peer), START)
    subsets = daemon_subsets.DaemonSubsets(members, lambda: True)
    return endpoint_selection.EndpointSelector(
        table,
        instances,
        own.zone,
        _FIXTURES.cold_quota_of(size),
        random.Random(number),
        subsets=subsets if has_subsets else None,
    )


def _peer(number: int) -> view.Peer:
    return view.Peer(
        ids.DaemonId(f"d{number}"),
        "127.0.0.1:1",
        ids.ZoneName(ZONES[number % len(ZONES)]),
        view.Role.ROUTER,
        ids.Incarnation(1),
    )


def _call(now: clock.MonotonicTime) -> calls.Call:
    call: calls.Call = _CODEC._call([("Model", "large")])
    return dataclasses.replace(call, arrived_at=now)


if __name__ == "__main__":
    main()
