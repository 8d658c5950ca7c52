"""Test what a daemon that leaves does no more."""

import curio
import pytest

from sycamoredale import clock
from sycamoredale.http import messages
from sycamoredale import ids
from sycamoredale.membership import node as node_module
from sycamoredale.membership import view
from tests import memory_store


class _Store(memory_store.MemoryStore):
    def with_priority(self, priority):
        return self


def _build_node():
    options = node_module.NodeOptions(
        ids.DaemonId("d1"),
        ids.ZoneName("a"),
        view.Role.ROUTER,
        messages.Address("127.0.0.1", 0),
    )
    node = node_module.Node(options, _Store(), clock.WallTime(1.0))
    peer = view.Peer(
        ids.DaemonId("d2"),
        "127.0.0.1:9",
        ids.ZoneName("a"),
        view.Role.ROUTER,
        ids.Incarnation(1),
    )
    node.members.merge(peer, clock.MonotonicTime(0.0))
    return node


@pytest.mark.parametrize("has_left, expected", [(False, 1), (True, 0)])
def test_leaving_daemon_asks_no_peers(monkeypatch, has_left, expected):
    """Guard against tasks that begin while the event loop shuts down.

    A daemon that had lost the store asked peers after its stop, and ended
    with 1 (soak, seeds 3 and 703).
    """
    node = _build_node()
    if has_left:
        node.members.update_own(state=view.PeerState.LEFT)
    asked = []

    async def query(peer):
        asked.append(peer.id)

    monkeypatch.setattr(node.heartbeats, "_query_peer", query)

    async def run():
        await node.heartbeats._query_peers_when_stale(clock.MonotonicTime(1e6))
        await curio.sleep(0.01)

    curio.run(run)
    assert len(asked) == expected
