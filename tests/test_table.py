"""Compare the routing table with one that is rebuilt on each change."""

import typing

import hypothesis
from hypothesis import strategies

from sycamoredale.groups import model
from sycamoredale import ids
from sycamoredale.routing import table

DOMAINS = ("d0", "d1", "d2")
STATES = strategies.sampled_from(model.GroupState)
GROUPS = strategies.dictionaries(strategies.integers(0, 3), STATES, max_size=4)
ASSIGNMENTS = strategies.builds(
    lambda domain, epoch, groups: _assignment(domain, epoch, groups),
    strategies.sampled_from(DOMAINS),
    strategies.integers(1, 4),
    GROUPS,
)
CHANGES = strategies.lists(
    strategies.tuples(
        strategies.lists(ASSIGNMENTS, max_size=3),
        strategies.lists(strategies.sampled_from(DOMAINS), max_size=1),
    ),
    max_size=8,
)


def _assignment(
    domain: str, epoch: int, state_by_number: dict[int, model.GroupState]
) -> model.Assignment:
    groups = [
        model.Group(
            id=ids.GroupId(f"{domain}/g{number}"),
            service=ids.ServiceName("assistant"),
            version=ids.VersionName("v1"),
            zone=ids.ZoneName("kochi"),
            epoch=ids.Epoch(1),
            state=state,
            members=[model.Member(ids.InstanceId("i"), "127.0.0.1:1")],
        )
        for number, state in state_by_number.items()
    ]
    return model.Assignment(ids.DomainName(domain), ids.Epoch(epoch), groups)


class ReferenceTable:
    """Derive the endpoints from the newest assignment of each domain."""

    def __init__(self) -> None:
        self.by_domain: dict[str, model.Assignment] = {}

    def apply(
        self, assignments: list[model.Assignment], deleted: list[str]
    ) -> None:
        for assignment in assignments:
            current = self.by_domain.get(assignment.domain)
            if current is None or assignment.epoch >= current.epoch:
                self.by_domain[assignment.domain] = assignment
        for domain in deleted:
            self.by_domain.pop(domain, None)

    def ids(self, state: model.GroupState) -> set[str]:
        return {
            f"{group.id}@{group.epoch}"
            for assignment in self.by_domain.values()
            for group in assignment.groups
            if group.state is state
        }


@hypothesis.given(CHANGES)
def test_incremental_table_equals_rebuilt_table(
    changes: list[tuple[list[model.Assignment], list[typing.Any]]],
) -> None:
    routing_table, reference = table.RoutingTable(), ReferenceTable()
    for assignments, deleted in changes:
        before = dict(routing_table.by_id)
        routing_table.apply(assignments, deleted)
        reference.apply(assignments, deleted)
        ready = reference.ids(model.GroupState.READY)
        assert set(routing_table.by_id) == ready
        assert set(routing_table.draining_by_id) == reference.ids(
            model.GroupState.DRAINING
        )
        service = ids.ServiceName("assistant")
        assert {e.id for e in routing_table.candidates(service)} == ready
        for endpoint_id in before.keys() & routing_table.by_id.keys():
            assert routing_table.by_id[endpoint_id] is before[endpoint_id]


def test_batch_calls_back_once() -> None:
    routing_table = table.RoutingTable()
    calls = []
    routing_table.on_change.append(
        lambda: calls.append(len(routing_table.by_id))
    )
    ready = {0: model.GroupState.READY}
    routing_table.apply([_assignment(domain, 1, ready) for domain in DOMAINS])
    assert calls == [3]
    routing_table.apply([], [ids.DomainName("unknown")])
    assert calls == [3]
