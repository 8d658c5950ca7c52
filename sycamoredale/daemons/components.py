"""Build the components that routers and controllers have in common."""

import dataclasses

from sycamoredale import clock
from sycamoredale.daemons import options
from sycamoredale.http import client
from sycamoredale import loop_delays
from sycamoredale.membership import node as node_module
from sycamoredale.membership import view
from sycamoredale.object_api import budget
from sycamoredale.object_api import objects


@dataclasses.dataclass(frozen=True, slots=True)
class DaemonComponents:
    """Combine the object store, its call budget and the membership node."""

    store: objects.ObjectStore
    call_budget: budget.CallBudget
    node: node_module.Node


def build(
    settings: options.DaemonOptions,
    role: view.Role,
    delays: loop_delays.LoopDelays,
) -> DaemonComponents:
    """Build the components of a daemon without starting the node."""
    started = clock.wall()
    live_daemons = _LiveDaemonCounter()
    call_budget = budget.CallBudget(
        live_daemons, settings.reads_per_second, settings.writes_per_second
    )
    store = objects.ObjectStore(
        settings.platform,
        client.Pool(delays=delays),
        call_budget=call_budget,
        delays=delays,
    )
    node_options = node_module.NodeOptions(
        settings.daemon,
        settings.zone,
        role,
        settings.peer_listen,
        settings.seeds,
        settings.peer_advertise,
    )
    node = node_module.Node(node_options, store, started, delays)
    live_daemons.node = node
    return DaemonComponents(store, call_budget, node)


@dataclasses.dataclass
class _LiveDaemonCounter:
    """Count the daemons that share the call budget."""

    node: node_module.Node | None = None

    def __call__(self) -> int:
        """Return the number of live daemons, 1 until the node is set."""
        return self.node.count_live_daemons() if self.node else 1
