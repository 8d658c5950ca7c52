"""Test what a daemon that leaves does no more."""

import curio
import msgspec
import pytest

from sycamoredale import clock
from sycamoredale.daemons import entry
from sycamoredale.http import messages
from sycamoredale import ids
from sycamoredale.membership import node as node_module
from sycamoredale.membership import view
from sycamoredale.platform import settings
from tests import memory_store
from tests import test_platform_codec


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


# Guards against FAILBACK: daemons that had announced their end went on for
# their grace, while the others divided their shares of a cold replica among
# themselves (review/15).
@pytest.mark.parametrize("seconds_ago, expected", [(0.0, 3), (30.0, 2)])
def test_leaving_daemon_keeps_its_share_until_its_grace_ends(
    seconds_ago, expected
):
    daemon = entry.EntryDaemon(
        settings.read(test_platform_codec.SETTINGS_TEXT)
    )
    node = daemon._node
    node.registry.has_listed = True
    now = clock.monotonic()
    peers = [
        view.Peer(
            ids.DaemonId(f"d{number}"),
            f"127.0.0.1:{number}",
            ids.ZoneName("a"),
            view.Role.ROUTER,
            ids.Incarnation(1),
        )
        for number in (1, 2)
    ]
    for peer in peers:
        node.members.merge(peer, now)
    left = msgspec.structs.replace(peers[0], state=view.PeerState.LEFT)
    node.members.merge(left, clock.MonotonicTime(now - seconds_ago))
    assert daemon._count_daemons() == expected
    assert (peers[0].id in daemon._member_ids()) == (expected == 3)
    # The one that leaves itself takes no greater share either.
    node.members.update_own(state=view.PeerState.LEFT)
    assert daemon._count_daemons() == expected
