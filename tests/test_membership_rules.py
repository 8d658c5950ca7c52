"""Test the rules of views, the overlay, gossip and freshness."""

import collections.abc
import itertools
import random
import typing

import hypothesis
from hypothesis import strategies
import msgspec
import pytest

from sycamoredale import clock
from sycamoredale.http import client
from sycamoredale import ids
from sycamoredale import loop_delays
from sycamoredale.membership import failure_detector
from sycamoredale.membership import freshness
from sycamoredale.membership import gossip
from sycamoredale.membership import member_updates
from sycamoredale.membership import overlay
from sycamoredale.membership import peer_service
from sycamoredale.membership import registry
from sycamoredale.membership import view
from sycamoredale.object_api import objects

NOW: typing.Final = clock.MonotonicTime(100.0)
STANDING: typing.Final = freshness.Standing


def peer(
    name: str,
    incarnation: int = 1,
    state: view.PeerState = view.PeerState.ALIVE,
    zone: str = "kochi",
    role: view.Role = view.Role.ROUTER,
) -> view.Peer:
    """Build a peer with an address derived from its name."""
    return view.Peer(
        ids.DaemonId(name),
        f"127.0.0.1:{1000 + len(name)}",
        ids.ZoneName(zone),
        role,
        ids.Incarnation(incarnation),
        state,
    )


_REPORTS = strategies.lists(
    strategies.builds(
        peer,
        strategies.sampled_from(["a", "bb", "ccc"]),
        strategies.integers(1, 4),
        strategies.sampled_from(view.PeerState),
        strategies.sampled_from(["kochi", "thrissur"]),
    ),
    max_size=12,
)


@hypothesis.given(_REPORTS, strategies.randoms(use_true_random=False))
def test_views_agree_in_any_order_of_reports(
    reports: list[view.Peer], order: random.Random
) -> None:
    shuffled = [*reports, *reports]
    order.shuffle(shuffled)
    one, two = _view("self"), _view("self")
    for report in reports:
        one.merge(report, NOW)
    for report in shuffled:
        two.merge(report, NOW)
    assert one.by_id == two.by_id
    assert one.digest() == two.digest()
    for name, found in one.by_id.items():
        precedences = [view.precedence(r) for r in reports if r.id == name]
        assert view.precedence(found) == max(
            precedences, default=(1, 0, *_own_fields())
        )


def test_daemon_refutes_its_death() -> None:
    members = _view("self")
    dead = peer("self", 7, view.PeerState.DEAD)
    assert members.merge(dead, NOW)
    assert members.own.state is view.PeerState.ALIVE
    assert members.own.incarnation == 8
    assert not members.merge(dead, NOW)


def test_old_incarnation_cannot_be_declared_dead() -> None:
    members = _view("self")
    members.merge(peer("a", 2), NOW)
    dead = view.PeerState.DEAD
    name = ids.DaemonId("a")
    assert not members.set_state(name, ids.Incarnation(1), dead, NOW)
    assert members.set_state(name, ids.Incarnation(2), dead, NOW)
    assert members.alive_share() == 0.5


async def _never_send(peer, new_connection=False):
    raise AssertionError(f"a heartbeat was sent to {peer.id}")


# Guards against a daemon that was suspended and declared peers dead whose
# refutations waited in its sockets.
def test_own_delay_does_not_make_a_suspect_dead() -> None:
    members = _view("self")
    members.merge(peer("a", 2, view.PeerState.SUSPECT), NOW)
    detector = failure_detector.FailureDetector(
        members,
        peer_service.PeerService(members, client.Pool()),
        member_updates.MemberUpdates(members),
        _never_send,
        random.Random(1),
    )
    detector.delays = loop_delays.LoopDelays()
    timeout = failure_detector.SUSPECT_TIMEOUT_SECONDS
    detector.delays.record(NOW + 1.5, NOW + 4.5)
    detector.apply_timeouts(clock.MonotonicTime(NOW + timeout + 0.6))
    state = members.by_id[ids.DaemonId("a")].state
    assert state is view.PeerState.SUSPECT
    detector.apply_timeouts(clock.MonotonicTime(NOW + timeout + 3.1))
    assert members.by_id[ids.DaemonId("a")].state is view.PeerState.DEAD


def test_neighbours_are_few_and_reach_every_daemon() -> None:
    everyone = [peer(f"d{n}", zone=f"zone-{n % 15}") for n in range(380)]
    successors = {p.id: _neighbours(p, everyone) for p in everyone}
    ring_count = overlay.ZONE_RINGS + overlay.GLOBAL_RINGS
    assert all(len(found) == ring_count for found in successors.values())
    reached = {everyone[0].id}
    hops = 0
    while len(reached) < len(everyone):
        reached |= {s for name in reached for s in successors[name]}
        hops += 1
        assert hops <= 8
    for lost_zone in ("zone-3", "zone-7"):
        rest = [p for p in everyone if p.zone != lost_zone]
        assert len(_neighbours(rest[0], rest)) == ring_count


def test_watchers_are_few_and_prefer_routers() -> None:
    controller = view.Role.CONTROLLER
    everyone = [
        *(peer(f"c{n}", role=controller) for n in range(12)),
        *(peer(f"r{n}") for n in range(13)),
    ]
    views = [_view_of(p, everyone) for p in everyone]
    watchers = overlay.watchers(views[0], ids.ZoneName("kochi"))
    assert len(watchers) == 9
    assert all(p.role is view.Role.ROUTER for p in watchers)
    assert sum(overlay.is_watcher(v) for v in views) == 9
    assigned = [overlay.assigned_watcher(v) for v in views]
    assert sum(p is None for p in assigned) == 9
    assert {p for p in assigned if p} <= set(watchers)


def test_notice_is_sent_once_and_replaces_older_ones() -> None:
    sender = gossip.Gossip(ids.DaemonId("a"))
    receiver = gossip.Gossip(ids.DaemonId("b"))
    received: list[gossip.Notice] = []
    receiver.subscribe(gossip.Topic.POISON, received.append)
    old = sender.publish(gossip.Topic.POISON, "k", 1)
    new = sender.publish(gossip.Topic.POISON, "k", 2)
    now = clock.monotonic()
    name = ids.DaemonId("b")
    assert _without_ages(sender.dequeue(name, 4096, now)) == [new]
    assert sender.dequeue(name, 4096, now) == []
    sender.requeue(name, [new])
    assert _without_ages(sender.dequeue(name, 4096, now)) == [new]
    receiver.receive([new, old, new], sender.own_id, now)
    assert [n.payload for n in received] == [msgspec.Raw(b"2")]
    assert receiver.dequeue(sender.own_id, 4096, now) == []
    later = clock.MonotonicTime(now + gossip.NOTICE_LIFETIME_SECONDS + 1)
    assert receiver.dequeue(ids.DaemonId("c"), 4096, later) == []
    receiver.receive([new], ids.DaemonId("c"), later)
    assert len(received) == 1


# Guards against BUDGET: a daemon that came back under its id was taken for one
# that had been told already, so a crash of an endpoint was never told to it.
def test_notice_is_sent_again_to_a_peer_that_has_started_again() -> None:
    peer = view.Peer(
        ids.DaemonId("b"),
        "127.0.0.1:1",
        ids.ZoneName("z"),
        view.Role.ROUTER,
        ids.Incarnation(1),
    )
    own = msgspec.structs.replace(peer, id=ids.DaemonId("a"))
    members = view.MembershipView(own)
    now = clock.monotonic()
    members.merge(peer, now)
    sender = gossip.Gossip(own.id)
    sender.get_incarnation = members.incarnation_of
    notice = sender.publish(gossip.Topic.POISON, "k", 1)
    assert _without_ages(sender.dequeue(peer.id, 4096, now)) == [notice]
    assert sender.dequeue(peer.id, 4096, now) == []
    started_again = msgspec.structs.replace(
        peer, incarnation=ids.Incarnation(2)
    )
    members.merge(started_again, now)
    assert _without_ages(sender.dequeue(peer.id, 4096, now)) == [notice]
    assert sender.dequeue(peer.id, 4096, now) == []


# Guards against heartbeats that a daemon cannot read because one notice in
# them has a topic of a later build.
def test_notice_of_an_unknown_topic_is_read_and_passed_on() -> None:
    data = b'["later","k","a",1,{"x":2}]'
    notice = msgspec.json.decode(data, type=gossip.Notice)
    receiver = gossip.Gossip(ids.DaemonId("b"))
    known = receiver.publish(gossip.Topic.USAGE, "u", 1)
    now = clock.monotonic()
    receiver.receive([notice], ids.DaemonId("a"), now)
    passed_on = receiver.dequeue(ids.DaemonId("c"), 4096, now)
    assert _without_ages(passed_on) == [known, notice]
    later = clock.MonotonicTime(now + 40.0)
    passed_on_later = receiver.dequeue(ids.DaemonId("d"), 4096, later)
    encoded = msgspec.json.encode(passed_on_later[1])
    assert encoded == data.removesuffix(b"]") + b",40000]"


# Guards against a notice that counts as new at each daemon that it reaches.
def test_notice_keeps_its_age_from_daemon_to_daemon() -> None:
    now = clock.monotonic()
    daemons = [gossip.Gossip(ids.DaemonId(n)) for n in "abc"]
    received: list[gossip.Notice] = []
    daemons[2].subscribe(gossip.Topic.POISON, received.append)
    daemons[0].publish(gossip.Topic.POISON, "k", 1)
    for sender, receiver in itertools.pairwise(daemons):
        now = clock.MonotonicTime(now + 20.0)
        notices = sender.dequeue(receiver.own_id, 4096, now)
        receiver.receive(notices, sender.own_id, now)
    published_ago = now - received[0].published_at(now)
    assert published_ago == pytest.approx(40.0, abs=0.5)
    now = clock.MonotonicTime(now + 21.0)
    assert daemons[2].dequeue(ids.DaemonId("d"), 4096, now) == []


def _without_ages(notices: list[gossip.Notice]) -> list[gossip.Notice]:
    return [msgspec.structs.replace(n, age_ms=0) for n in notices]


def test_urgent_notices_are_sent_first_within_byte_limit() -> None:
    sender = gossip.Gossip(ids.DaemonId("a"))
    usage = sender.publish(gossip.Topic.USAGE, "u", "x" * 300)
    assert not sender.has_urgent
    poison = sender.publish(gossip.Topic.POISON, "p", "x" * 300)
    assert sender.has_urgent
    now = clock.monotonic()
    peer_id = ids.DaemonId("b")
    assert _without_ages(sender.dequeue(peer_id, 500, now)) == [poison]
    assert _without_ages(sender.dequeue(peer_id, 500, now)) == [usage]


@hypothesis.given(
    strategies.floats(0, 100),
    strategies.floats(0, 50),
    strategies.floats(0, 10),
)
def test_network_delay_never_makes_a_daemon_fresher(
    peer_contact: float, transit: float, wait: float
) -> None:
    sent_at = clock.MonotonicTime(100.0)
    answered = sent_at + transit
    age = answered - peer_contact
    tracker = freshness.Freshness()
    tracker.on_answer(ids.DaemonId("a"), sent_at, age, is_caught_up=True)
    assert tracker.synced_at <= peer_contact + 1e-6
    now = clock.MonotonicTime(answered + wait)
    assert tracker.age(now) >= now - peer_contact - 1e-6


def test_answer_of_a_peer_with_newer_state_does_not_sync() -> None:
    tracker = freshness.Freshness()
    tracker.on_answer(ids.DaemonId("a"), NOW, 0.1, is_caught_up=False)
    assert tracker.age(NOW) == float("inf")


def test_store_down_needs_a_majority_of_stale_votes() -> None:
    names = [ids.DaemonId(f"d{n}") for n in range(5)]
    assert _standing(names, []) is STANDING.ISOLATED
    assert _standing(names, [True, True]) is STANDING.STORE_DOWN
    assert _standing(names, [True, False, False, False]) is STANDING.ISOLATED
    assert _standing(names[:1], []) is STANDING.STORE_DOWN
    assert _standing(names, [True] * 4, sent_at=NOW - 3) is STANDING.ISOLATED
    many = [ids.DaemonId(f"d{n}") for n in range(380)]
    assert _standing(many, [True] * 3) is STANDING.ISOLATED
    assert _standing(many, [True] * 5) is STANDING.STORE_DOWN
    assert _standing(many, [True] * 5 + [False] * 6) is STANDING.ISOLATED


def _standing(
    voters: list[ids.DaemonId],
    stale_votes: list[bool],
    sent_at: float = NOW,
) -> freshness.Standing:
    tracker = freshness.Freshness(clock.MonotonicTime(NOW - 10))
    for name, stale in zip(voters[1:], stale_votes, strict=False):
        age = 10.0 if stale else 0.1
        tracker.on_answer(
            name, clock.MonotonicTime(sent_at), age, is_caught_up=False
        )
    return tracker.standing(set(voters), NOW)


def _view(name: str) -> view.MembershipView:
    return view.MembershipView(peer(name))


def _view_of(
    own: view.Peer, everyone: collections.abc.Iterable[view.Peer]
) -> view.MembershipView:
    members = view.MembershipView(own)
    for other in everyone:
        members.merge(other, NOW)
    return members


def _neighbours(
    own: view.Peer, everyone: collections.abc.Iterable[view.Peer]
) -> set[ids.DaemonId]:
    return {p.id for p in overlay.neighbours(_view_of(own, everyone))}


def _own_fields() -> tuple[str, str, str]:
    own = peer("self")
    return own.address, own.zone, own.role.value


@pytest.mark.parametrize(
    "address", ["10.0.0.1:0", "10.0.0.1:70000", "a\0b:80", "nowhere", ":80"]
)
def test_member_with_an_unusable_address_is_not_recorded(address):
    own = view.Peer("a", "10.0.0.9:1", "z", view.Role.ROUTER, 1)
    members = view.MembershipView(own)
    odd = view.Peer("b", address, "z", view.Role.ROUTER, 1)
    assert not members.merge(odd, clock.MonotonicTime(0.0))
    assert list(members.by_id) == ["a"]


@pytest.mark.parametrize("name", ["a", "b"])
def test_member_with_a_large_incarnation_is_not_recorded(name):
    own = view.Peer("a", "10.0.0.9:1", "z", view.Role.ROUTER, 1)
    members = view.MembershipView(own)
    odd = view.Peer(name, "10.0.0.1:1", "z", view.Role.ROUTER, 10**30)
    assert not members.merge(odd, clock.MonotonicTime(0.0))
    assert members.by_id == {"a": own} and members.own == own


@pytest.mark.parametrize(
    "changes", [{"address": "10.0.0.1:70000"}, {"incarnation": 10**30}]
)
def test_odd_registration_is_passed_over(changes):
    sound = {
        "id": "b",
        "address": "10.0.0.1:1",
        "zone": "z",
        "role": "router",
        "incarnation": 1,
    }
    for value, is_sound in ((sound, True), ({**sound, **changes}, False)):
        stored = objects.StoredObject("b", 3, msgspec.json.encode(value))
        assert (registry._decode(stored) is not None) is is_sound
