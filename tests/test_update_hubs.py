"""Test that updates spread through hubs in a fleet of hundreds of daemons.

Pattern: every daemon tells every other one its loads, so that a fleet of 195
daemons exchanges 31,000 datagrams a second and hears from each peer once in
1.2 s.  There is no network: datagrams are delivered between the steps.
"""

import collections

import msgspec
import pytest

from sycamoredale import clock
from sycamoredale import decoding
from sycamoredale.forwarding import departures
from sycamoredale.forwarding import endpoints
from sycamoredale.forwarding import hub_selection
from sycamoredale.forwarding import instance_state
from sycamoredale.forwarding import instance_table
from sycamoredale.forwarding import kind_updates
from sycamoredale.forwarding import peer_updates
from sycamoredale.forwarding import update_exchange
from sycamoredale.forwarding import update_gathering
from sycamoredale import ids
from sycamoredale import loop_delays
from sycamoredale.scheduling import pace
from tests import instance_fixtures
from tests import update_fixtures

ZONES = ("a", "b", "c", "d", "e")
STEP = update_exchange.HUB_INTERVAL_SECONDS
ENDPOINTS = 4


# Guards against a change that is passed on late, since the copy of an older
# update from another hub has replaced the newer one.
def test_older_copy_of_an_update_does_not_replace_a_newer_one():
    queue = update_gathering.NewsQueue()
    newer = kind_updates.KindUpdate("servers", 9, 100)
    empty = peer_updates.PeerUpdate(ids.DaemonId("d1"), [])
    for update in (newer, kind_updates.KindUpdate("servers", 8, 50)):
        sent = msgspec.structs.replace(empty, kinds=[update])
        queue.put(sent, clock.MonotonicTime(10.0))
    [kept] = queue.fill(empty, clock.MonotonicTime(10.1)).kinds
    assert kept.version == 9
    late = clock.MonotonicTime(10.1 + update_gathering.KIND_TTL_SECONDS)
    older = kind_updates.KindUpdate("servers", 8, 50)
    queue.put(msgspec.structs.replace(empty, kinds=[older]), late)
    [kept] = queue.fill(empty, late).kinds
    assert kept.version == 8


class _Daemon:
    def __init__(self, fleet, number, cores=1.0):
        self.fleet = fleet
        self.peer = update_fixtures.peer(
            f"d{number}", ZONES[number % len(ZONES)], cores, number
        )
        self._peers = None
        self.instances = instance_table.InstanceTable()
        self.table = endpoints.EndpointTable(
            self.instances,
            lambda: instance_fixtures.SERVICES,
            lambda: frozenset(),
        )
        for index in range(ENDPOINTS):
            key = instance_fixtures.key("large", index + 1)
            head = (key, 0, instance_state.MemberState.OPEN)
            instance = instance_fixtures.instance(
                f"i{index}",
                membership=head,
                address=update_fixtures.peer("x", number=9000 + index).address,
            )
            self.instances.apply_listed(instance, fleet.now)
        self.kinds = []
        self.seen_kinds = []
        self.leases = []
        self.lease = 0
        self.isolated = False
        self.exchange = update_exchange.PeerUpdateExchange(
            self.peer.id,
            self.table,
            hub_selection.HubSelector(self.peer, self.get_peers),
            lambda: self.lease,
            lambda version, now: self.leases.append(version),
            lambda now: self.kinds,
            lambda update, now: self.seen_kinds.append(update),
            is_isolated=lambda: self.isolated,
        )
        self._socket = self

    def get_peers(self):
        if self._peers is None:
            self._peers = [d.peer for d in self.fleet.members if d is not self]
        return self._peers

    def forget_members(self):
        self._peers = None

    def sendto(self, data, address):
        self.fleet.sent[self.peer.id] += 1
        self.fleet.in_flight.append((self, address[1], data))

    def load(self, index=0):
        return self.table.by_id[f"i{index}"].load(self.fleet.now)

    def start(self, count, index=0):
        self.table.by_id[f"i{index}"].in_flight += count


class _Fleet:
    def __init__(self, size, legacy=()):
        self.now = clock.MonotonicTime(100.0)
        self.sent = collections.Counter()
        self.received = collections.Counter()
        self.in_flight = []
        self.lost = set()
        self.daemons = [
            _Daemon(self, n, 0.0 if n in legacy else 1.0) for n in range(size)
        ]
        self.members = list(self.daemons)
        self.by_id = {d.peer.id: d for d in self.daemons}

    def step(self, count=1):
        """Let every daemon send once, and deliver what was sent."""
        for _ in range(count):
            self.now = clock.MonotonicTime(self.now + STEP)
            for daemon in self.daemons:
                if daemon.peer.id not in self.lost:
                    daemon.exchange.apply_peer_loads(self.now)
                    daemon.exchange.send_updates(daemon, self.now)
            self._deliver()
        for daemon in self.daemons:
            daemon.exchange.apply_peer_loads(self.now)

    def _deliver(self):
        sent, self.in_flight = self.in_flight, []
        for sender, number, data in sent:
            receiver = self.daemons[number]
            if receiver.peer.id in self.lost or sender.peer.id in self.lost:
                continue
            self.received[receiver.peer.id] += 1
            receiver.exchange.receive(peer_updates.decode(data), self.now)

    def hubs(self, zone="a"):
        """Return the hubs of a zone, as one of its daemons sees them."""
        daemon = next(d for d in self.daemons if d.peer.zone == zone)
        hubs = daemon.exchange.hubs.own_hubs(self.now)
        return [self.by_id[hub.id] for hub in hubs]


# The rate holds for each daemon that is no hub, at any size of the fleet.
def test_datagrams_of_a_daemon_do_not_grow_with_the_fleet():
    fleet = _Fleet(195)
    for daemon in fleet.daemons:
        daemon.start(1)
    fleet.step(3)
    fleet.sent.clear()
    fleet.received.clear()
    fleet.step(5)
    seconds = 5 * STEP
    hubs = {d.peer.id for zone in ZONES for d in fleet.hubs(zone)}
    for daemon in fleet.daemons:
        name = daemon.peer.id
        if name not in hubs:
            assert fleet.sent[name] / seconds <= 10.01
            assert fleet.received[name] / seconds <= 5.01
        assert fleet.sent[name] / seconds <= 300
    total = sum(fleet.sent.values()) / seconds
    assert total < 0.15 * 195 * update_exchange.MAX_DATAGRAMS_PER_SECOND


@pytest.mark.parametrize("size", [9, 17, 62, 195])
def test_all_daemons_see_the_load_of_all(size):
    fleet = _Fleet(size)
    for number, daemon in enumerate(fleet.daemons):
        daemon.start(1 + number % 3, index=number % ENDPOINTS)
    fleet.step(4)
    for index in range(ENDPOINTS):
        expected = sum(
            1 + n % 3 for n in range(size) if n % ENDPOINTS == index
        )
        for daemon in fleet.daemons:
            loaded = daemon.load(index)
            assert loaded == pytest.approx(expected, rel=0.35, abs=0.5)


def test_own_requests_are_not_counted_twice():
    fleet = _Fleet(40)
    fleet.daemons[7].start(5)
    fleet.step(4)
    assert fleet.daemons[7].load() == pytest.approx(5, abs=0.01)
    fleet.daemons[7].start(-5)
    fleet.step(4)
    assert {round(d.load(), 3) for d in fleet.daemons} == {0.0}


# Pattern: the first hub of a zone is killed, and is a member until the
# failure detector notices some seconds later.
def test_second_hub_takes_over_when_the_first_is_silent():
    fleet = _Fleet(60)
    for daemon in fleet.daemons:
        daemon.start(1)
    fleet.step(5)
    first, second = fleet.hubs()
    fleet.lost.add(first.peer.id)
    steps = int((hub_selection.SILENT_SECONDS + 1.0) / STEP)
    fleet.step(steps)
    for daemon in fleet.daemons:
        if daemon is not first:
            assert daemon.load() == pytest.approx(59, rel=0.3)
    assert fleet.hubs()[0] is second


# Guards against a daemon that was suspended and left its hub, whose totals
# waited in its socket, for seconds.
def test_own_delay_is_no_silence_of_a_hub():
    fleet = _Fleet(60)
    fleet.step(5)
    first = fleet.hubs()[0]
    daemon = next(d for d in fleet.daemons if d not in fleet.hubs())
    selector = daemon.exchange.hubs
    selector.delays = loop_delays.LoopDelays()
    woken = clock.MonotonicTime(fleet.now + 2.0)
    selector.delays.record(fleet.now, woken)
    assert selector.own_hubs(woken)[0].id == first.peer.id
    later = clock.MonotonicTime(woken + hub_selection.SILENT_SECONDS + STEP)
    assert selector.own_hubs(later)[0].id != first.peer.id


def test_hub_that_returns_is_asked_again():
    fleet = _Fleet(60)
    fleet.step(5)
    first = fleet.hubs()[0]
    fleet.lost.add(first.peer.id)
    fleet.step(int(2 / STEP))
    fleet.lost.clear()
    fleet.step(int((hub_selection.RETRY_SECONDS + 1) / STEP))
    assert fleet.hubs()[0] is first


def test_both_hubs_of_a_zone_may_be_lost():
    fleet = _Fleet(60)
    for daemon in fleet.daemons:
        daemon.start(1)
    fleet.step(5)
    fleet.lost.update(d.peer.id for d in fleet.hubs())
    fleet.step(int((2 * hub_selection.SILENT_SECONDS + 1.5) / STEP))
    alive = [d for d in fleet.daemons if d.peer.id not in fleet.lost]
    for daemon in alive:
        assert daemon.load() == pytest.approx(58, rel=0.3)


@pytest.mark.parametrize("origin", ["hub", "member"])
def test_news_reach_all_daemons_of_all_zones(origin):
    fleet = _Fleet(60)
    fleet.step(3)
    hubs = fleet.hubs()
    sender = next(
        d
        for d in fleet.daemons
        if d.peer.zone == "a" and (d is hubs[0]) == (origin == "hub")
    )
    sender.instances.record_leaving(
        departures.Incarnation(ids.InstanceId("i0"), 1000),
        departures.Source.ANSWER,
    )
    sender.lease = 7
    sender.kinds = [kind_updates.KindUpdate("servers", 5, 10)]
    sender.isolated = True
    fleet.step(4)
    for daemon in fleet.daemons:
        assert "i0" not in daemon.table.by_id
        if daemon is not sender:
            assert 7 in daemon.leases
            assert daemon.exchange.is_peer_isolated(sender.peer.id, fleet.now)
            ages = [k.age_ms for k in daemon.seen_kinds]
            assert ages and min(ages) >= 10


# What is passed on must not become younger: peers list the kind themselves
# once they know nothing recent of it.
def test_age_of_a_kind_is_counted_on_while_a_hub_keeps_it():
    queue = update_gathering.NewsQueue()
    kind = kind_updates.KindUpdate("servers", 5, 10)
    own = peer_updates.PeerUpdate(ids.DaemonId("d0"), [])
    queue.put(
        peer_updates.PeerUpdate(ids.DaemonId("d1"), [], kinds=[kind]), 1.0
    )
    assert queue.fill(own, 1.25).kinds[0].age_ms >= 260
    assert queue.fill(own, 2.0).kinds == []


def test_ages_and_limits_of_a_sum():
    def received(daemon, item, at):
        update = peer_updates.PeerUpdate(ids.DaemonId(daemon), [item])
        return update_gathering.Received(update, at, at + 1)

    item = peer_updates.EndpointUpdate
    (total,) = update_gathering.add_up(
        [
            received("d1", item("i0", 2, 100, 500, 1, 3.0, 400), 10.0),
            received("d2", item("i0", 3, -1, 900, 0, -1.0, -1), 9.5),
            received("d3", item("i0", 1, 20, 0, 1, 5.0, 50), 9.0),
        ],
        10.0,
    )
    assert (total.in_flight, total.deferred) == (6, 2)
    assert total.progress_ms_ago == 100
    assert total.suspect_ms == 500
    assert (total.limit, total.limit_ms_ago) == (3.0, 400)


@pytest.mark.parametrize(
    "counts",
    [
        [1, -1, 0, 0, -1.0, -1, 4, float("nan"), 0, 0],
        [1, -1, 0, 0, -1.0, -1, 4, float("inf"), 0, 0],
        [1, -1, 0, 0, -1.0, -1, -4, 4.0, 0, 0],
        [1, -1, 0, 0, -1.0, -1, 4, 4.0, -1, -1],
        [1, -1, 0, 0, -1.0, -1, 4, 4.0, 0, 2**64 - 1],
        [-1, -1, 0, 0, -1.0, -1, 4, 4.0, 0, 0],
        [1, 2**64 - 1, 0, 0, -1.0, -1, 4, 4.0, 0, 0],
        [1, -1, 0, 0, 5.0, 2**64 - 1, 4, 4.0, 0, 0],
    ],
)
def test_update_that_cannot_be_added_up_is_malformed(counts):
    """Guard against a value of one peer that ends the task that sends."""
    rows = ["d1", [["i0", *counts]]]
    with pytest.raises(ValueError):
        peer_updates.decode(msgspec.msgpack.encode(rows))


def test_sum_of_the_largest_counts_is_accepted_by_other_daemons():
    """Guard against sums that cannot be encoded, or that nobody reads."""
    most = decoding.MAX_INTEGER
    item = peer_updates.EndpointUpdate(
        "i0", most, most, 0, most, 5.0, most, most, float(most), most, most
    )
    update = peer_updates.PeerUpdate(ids.DaemonId("d1"), [item])
    received = update_gathering.Received(update, 10.0, 11.0)
    sums = update_gathering.add_up([received] * 3, 10.5)
    passed_on = peer_updates.PeerUpdate(ids.DaemonId("d2"), sums)
    found = peer_updates.decode(peer_updates.encode(passed_on))
    assert found.endpoints[0].held_tokens == most


def _play_paces(fleet, seconds, ratio_by_daemon, names=("i1", "i2", "i3")):
    """Let daemons take a sample of each endpoint at each step."""
    for _ in range(int(seconds / STEP)):
        for number, ratio in ratio_by_daemon.items():
            for name in names:
                endpoint = fleet.daemons[number].table.by_id[name]
                endpoint.pace.record(ratio, fleet.now)
        fleet.step()
    return [
        {e.id for e in d.table.by_id.values() if e.pace.is_slow}
        for d in fleet.daemons
        if d.peer.id not in fleet.lost
    ]


# Failure: the hub of a zone is lost while an endpoint slows down, which only
# two daemons see, and then all peers of a daemon fall silent.
def test_slow_endpoint_is_known_to_all_though_a_hub_is_lost():
    fleet = _Fleet(40)
    fleet.lost.add(fleet.hubs()[0].peer.id)
    slow = _play_paces(fleet, 3.0, {7: 12.0, 8: 12.0}, ["i1"])
    assert slow == [{"i1"}] * 39
    fleet.lost = {d.peer.id for d in fleet.daemons[1:]}
    assert _play_paces(fleet, pace.FORGET_SECONDS + 5.0, {}) == [set()]


# Guards against a daemon without processor time that empties endpoints.  Few
# daemons use an endpoint, so that its samples would be a quarter of all.
def test_slow_daemon_makes_no_endpoint_slow():
    fleet = _Fleet(40)
    _play_paces(fleet, 2.0, dict.fromkeys((5, 6, 7, 8), 1.0))
    for _ in range(20):
        slow = _play_paces(fleet, STEP, {5: 1.0, 6: 1.0, 7: 12.0, 8: 1.0})
        assert not any(slow)
    slow = _play_paces(fleet, 2.0, dict.fromkeys((5, 6, 7, 8), 12.0))
    assert all(slow)
    small = _Fleet(9)
    assert not any(_play_paces(small, 2.0, dict.fromkeys(range(9), 12.0)))


# A total has what this daemon itself said; it must not count as news.
def test_own_suspicion_does_not_come_back_as_a_longer_one():
    fleet = _Fleet(60)
    daemon = fleet.daemons[3]
    endpoint = daemon.table.by_id["i0"]
    endpoint.suspect(fleet.now, 1.0)
    until = endpoint.suspect_until
    fleet.step(int(3 / STEP))
    assert endpoint.suspect_until <= until + 0.1
    for other in fleet.daemons:
        assert not other.table.by_id["i0"].is_suspect(fleet.now)


# Pattern: builds without hubs are replaced one after the other.  They send to
# all peers, and hear from none but those that send to them.
def test_peers_of_an_earlier_build_hear_from_all_and_are_no_hubs():
    legacy = set(range(0, 60, 3))
    fleet = _Fleet(60, legacy)
    for daemon in fleet.daemons:
        daemon.start(1)
    fleet.step(5)
    old = [d for n, d in enumerate(fleet.daemons) if n in legacy]
    for zone in ZONES:
        assert not set(fleet.hubs(zone)) & set(old)
    for daemon in old:
        heard = daemon.exchange._gatherer.direct()
        assert len({r.update.daemon for r in heard}) >= 40


def test_large_update_is_sent_in_two_datagrams():
    items = [
        peer_updates.EndpointUpdate(f"sommelier-llm-kozhikode-{n}", 1, 1, 0)
        for n in range(300)
    ]
    kinds = [kind_updates.KindUpdate("servers", 5, 10, b"x" * 4096)] * 2
    update = peer_updates.PeerUpdate(ids.DaemonId("d0"), items, kinds=kinds)
    loads, news = map(peer_updates.decode, update_exchange._datagrams(update))
    assert loads.endpoints == items and not loads.kinds
    assert news.kinds == kinds and news.scope is peer_updates.Scope.NEWS


# Pattern: a fleet has a few machines of three cores and many of half a core.
def test_hubs_are_the_largest_machines_of_their_zone():
    peers = [
        update_fixtures.peer(f"d{n}", "a", 2.15 if n in (3, 30) else 0.516)
        for n in range(1, 40)
    ]
    selector = update_fixtures.selector("d40", peers)
    hubs = selector.own_hubs(clock.MonotonicTime(1.0))
    assert {hub.id for hub in hubs} == {"d3", "d30"}
