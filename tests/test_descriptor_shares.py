"""Test that no kind of connection takes the descriptors of another."""

import dataclasses
import resource

import curio
import msgspec
import pytest

from sycamoredale import clock
from sycamoredale.daemons import entry
from sycamoredale.http import descriptor_shares
from sycamoredale import ids
from sycamoredale.membership import heartbeats
from sycamoredale.membership import node
from sycamoredale.membership import view
from sycamoredale.platform import settings
from tests import test_platform_codec

FILES = 200
USERS_LIMIT = 4100
# Of the target: 27,000 requests/s on 380 daemons, each for ten seconds.
REQUESTS_IN_PROGRESS = 27_000 // 380 * 10
# Of the large site at 101 machines, where one daemon probes all of them.
PROBED_INSTANCES = 1000


def _settings(max_file_descriptors):
    read = settings.read(test_platform_codec.SETTINGS_TEXT)
    return dataclasses.replace(read, max_file_descriptors=max_file_descriptors)


# Guards against callers and endpoints that together use up the descriptors,
# so that the order decides who gets an answer: the shares had no sum.
@pytest.mark.parametrize("limit", [0, 40, 256, 1024, USERS_LIMIT, 65536])
def test_shares_together_stay_below_the_limit(limit):
    shares = descriptor_shares.divide(limit)
    used = (
        shares.callers
        + shares.endpoints
        + descriptor_shares.DESCRIPTORS_PER_RELAY * shares.relays
        + shares.probes
        + shares.reserve
    )
    files = min(FILES, limit // 20)
    assert used <= max(limit - files, descriptor_shares.MIN_SOCKETS)
    assert min(dataclasses.astuple(shares)) >= 1
    if shares.reserve >= 2 * descriptor_shares.MIN_PEERS:
        peers = shares.from_peers - shares.relays + shares.to_peers
        assert peers < shares.reserve


def test_shares_of_the_users_machines():
    shares = descriptor_shares.divide(USERS_LIMIT)
    # A request in progress takes one of each.
    assert shares.callers >= REQUESTS_IN_PROGRESS
    assert shares.endpoints >= REQUESTS_IN_PROGRESS
    assert shares.probes >= PROBED_INSTANCES
    assert shares.reserve >= FILES


# Guards against a daemon that takes 8,192 callers until its first manifest
# arrives, and one that keeps the limit of its start after a reload.
def test_callers_are_limited_from_the_start_and_after_a_reload():
    daemon = entry.EntryDaemon(_settings(256))
    shares = descriptor_shares.divide(256)
    assert daemon._server._limits.max_connections == shares.callers
    daemon._settings = _settings(128)
    daemon._divide_descriptors()
    shares = descriptor_shares.divide(128)
    assert daemon._server._limits.max_connections == shares.callers
    daemon._on_manifest()
    assert daemon._server._limits.max_connections == shares.callers


# Guards against settings that promise more than the process may open.
def test_shares_follow_the_limit_of_the_process():
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (200, hard))
    try:
        assert descriptor_shares.process_limit(USERS_LIMIT) == 200
        assert descriptor_shares.process_limit(100) == 100
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


# Guards against connections to endpoints that take the descriptors of
# callers, the store and peers.
def test_connections_to_endpoints_are_limited_and_follow_a_reload():
    daemon = entry.EntryDaemon(_settings(256))
    for limit in (256, 128):
        daemon._settings = _settings(limit)
        daemon._divide_descriptors()
        shares = descriptor_shares.divide(limit)
        pool = daemon._service.call_forwarder._pool
        assert pool.max_open == shares.endpoints
        assert daemon._probe_pool.max_open == shares.probes
        assert daemon._links.relay_service.max_relays == shares.relays
    engines = daemon._build_engine_client()
    assert engines.pool is daemon._probe_pool


# Guards against a long outage of the store in which daemons ask each other
# over ever new connections, up to 32 to and as many from each of them.
def test_connections_of_peers_are_limited():
    daemon = entry.EntryDaemon(_settings(USERS_LIMIT))
    shares = descriptor_shares.divide(
        descriptor_shares.process_limit(USERS_LIMIT)
    )
    limits = daemon._node._server._limits
    assert limits.max_connections == shares.from_peers
    assert limits.header_limit_bytes == node.PEER_LIMITS.header_limit_bytes
    assert daemon._node.pool.max_open == shares.to_peers
    # Connections for one question do not add up to more than those allowed
    # before the server of the peer closes them.
    asked_per_second = (
        heartbeats.STALE_QUERY_PEERS / heartbeats.STALE_QUERY_INTERVAL_SECONDS
    )
    idle = asked_per_second * limits.idle_timeout_seconds
    assert idle <= shares.from_peers - shares.relays
    assert (
        limits.idle_timeout_seconds > 3 * heartbeats.NEIGHBOUR_PERIOD_SECONDS
    )


# Guards against shares that run out unseen.
def test_metrics_show_the_sockets_of_each_share():
    daemon = entry.EntryDaemon(_settings(256))
    daemon._links.relay_service.open_count = 3
    daemon._record_sockets()
    lines = daemon._metric_registry.render().splitlines()
    assert 'sycamoredale_sockets_open{kind="relays"} 3' in lines
    shares = dataclasses.asdict(descriptor_shares.divide(256))
    # The reserve is what is left, and nobody counts it.
    del shares["reserve"]
    for share, allowed in shares.items():
        label = f'{{kind="{share}"}}'
        assert f"sycamoredale_sockets_allowed{label} {allowed}" in lines
        assert any(f"sockets_open{label} " in line for line in lines)


# Guards against a daemon that lacks sockets itself and has its peers declared
# dead, or counts them as witnesses against an outage of the store.
def test_lack_of_sockets_is_no_evidence_against_a_peer():
    daemon_node = entry.EntryDaemon(_settings(256))._node
    peer = msgspec.structs.replace(
        daemon_node.members.own, id=ids.DaemonId("peer"), address="127.0.0.1:1"
    )
    daemon_node.members.merge(peer, clock.monotonic())
    daemon_node.pool.max_open = 0

    async def check():
        await daemon_node.heartbeats.detector.check(peer)
        await daemon_node.heartbeats._query_peer(peer)

    curio.run(check)
    known = daemon_node.members.by_id[peer.id]
    assert known.state is view.PeerState.ALIVE
    assert peer.id not in daemon_node.freshness.vote_by_id
    # Nobody listens there, which is found once a socket is free.
    daemon_node.pool.max_open = 4
    curio.run(check)
    known = daemon_node.members.by_id[peer.id]
    assert known.state is view.PeerState.SUSPECT
    assert not daemon_node.freshness.vote_by_id[peer.id].stale
