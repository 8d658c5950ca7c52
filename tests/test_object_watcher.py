"""Test watching a kind of objects through outages and updates of peers."""

import random
import zlib

import curio
import msgspec
import pytest

from sycamoredale import clock
from sycamoredale import error_codes
from sycamoredale import errors
from sycamoredale.forwarding import kind_updates
from sycamoredale.forwarding import object_watcher
from sycamoredale.forwarding import store_contact
from sycamoredale.forwarding import watch_timing
from sycamoredale.object_api import objects

DOWN = errors.StoreUnavailable(error_codes.STORE_UNAVAILABLE, "down")


class Store:
    """Answer lists and watches from a script, and record the calls."""

    def __init__(self):
        self.script = []
        self.calls = []

    async def list(self, kind, limits):
        self.calls.append("list")
        return self._next()

    async def watch(self, kind, after, wait_seconds, limits):
        self.calls.append(f"watch {after}")
        return self._next()

    def _next(self):
        answer = self.script.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer


class WatcherHarness:
    """Run a watcher call by call and record what it applies."""

    def __init__(self, entries_expire=True):
        self.store = Store()
        self.now = 100.0
        self.applied = []
        self.watcher = object_watcher.ObjectWatcher(
            self.store,
            "servers",
            lambda seen, complete: self.applied.append((seen, complete)),
            read_clock=lambda: clock.MonotonicTime(self.now),
            entries_expire=entries_expire,
        )

    def step(self, answer, seconds=0.0):
        self.now += seconds
        self.store.script.append(answer)

        async def main():
            now = clock.MonotonicTime(self.now)
            try:
                await self.watcher.poll_once(now)
            except errors.StoreUnavailable as error:
                self.watcher.record_failure(error, now)

        curio.run(main)


def _listing(version, names=(), deleted=()):
    stored = [
        objects.StoredObject(n, version, msgspec.Raw(b"{}")) for n in names
    ]
    return objects.Listing(version, stored, list(deleted))


def test_kind_is_listed_and_then_watched():
    harness = WatcherHarness()
    harness.step(_listing(5, ["a"]))
    harness.step(_listing(7, ["b"]))
    assert harness.store.calls == ["list", "watch 5"]
    assert [complete for _, complete in harness.applied] == [True, False]


def test_kind_is_listed_again_after_an_interrupted_watch():
    # By the next watch, the store may have discarded the missed changes.
    harness = WatcherHarness()
    harness.step(_listing(5, ["a"]))
    harness.step(DOWN, 0.3)
    harness.step(_listing(9, ["a", "b"]), 0.1)
    assert harness.store.calls == ["list", "watch 5", "list"]
    assert harness.applied[-1][1]


def test_entries_that_expired_in_an_outage_are_kept_until_it_has_settled():
    harness = WatcherHarness()
    harness.step(_listing(5, ["a", "b"]))
    harness.step(DOWN, 1.0)
    harness.step(DOWN, 5.0)
    harness.step(_listing(9, ["a"], deleted=["b"]), 0.1)
    harness.step(_listing(10, [], deleted=["a"]), 1.0)
    assert [complete for _, complete in harness.applied[1:]] == [False, False]
    assert all(not seen.deleted for seen, _ in harness.applied[1:])
    harness.step(_listing(12, ["b"]), store_contact.SETTLE_SECONDS)
    assert harness.store.calls[-1] == "list"
    assert harness.applied[-1][1]


def test_older_answer_of_the_store_is_ignored():
    harness = WatcherHarness()
    harness.step(_listing(5, ["a"]))
    harness.step(_listing(3, ["old"]))
    assert len(harness.applied) == 1
    assert harness.watcher.version == 5


@pytest.mark.parametrize(
    "daemons, bound_seconds, expected",
    [
        (9, 2.0, watch_timing.MIN_PAUSE_SECONDS),
        (62, 3.0, 0.75),
        (30, 2.0, 0.5),
        (380, 2.0, 0.5),
        (380, 0.1, watch_timing.MIN_PAUSE_SECONDS),
    ],
)
def test_pause_grows_with_the_daemons_up_to_the_bound(
    daemons, bound_seconds, expected
):
    assert watch_timing.shared_pause(daemons, bound_seconds) == expected


class Peers:
    """Let one watcher, the lease holder, send its updates to another."""

    def __init__(self, is_publisher=True, entries_expire=True):
        self.harnesses = [WatcherHarness(entries_expire) for _ in range(2)]
        for harness in self.harnesses:
            harness.step(_listing(5, ["a"]))
        self.holder, self.other = self.harnesses
        self.holder.watcher.is_publisher = lambda: is_publisher

    def send_update(self, seconds=0.0, lost=False):
        """Advance both clocks and send an update, which may be lost.

        Returns whether the other watcher has a recent update.
        """
        now = clock.MonotonicTime(self.holder.now + seconds)
        for harness in self.harnesses:
            harness.now = now
        update = self.holder.watcher.publisher.take_update("servers", now)
        if update is not None and not lost:
            ages = self.holder.watcher.contact.ages(now)
            self.other.watcher.contact.receive(ages, now)
            data = msgspec.msgpack.encode(update)
            update = msgspec.msgpack.decode(data, type=kind_updates.KindUpdate)
            self.other.watcher.receive_update(update, now)
        return self.other.watcher.has_fresh_update(now)


def test_peer_applies_updates_without_calling_the_store():
    """Many daemons watch the same kinds, and each call is charged for."""
    peers = Peers()
    assert peers.send_update(0.1)
    peers.holder.step(_listing(9, ["b"], deleted=["a"]), 0.2)
    assert peers.send_update(0.1)
    seen, complete = peers.other.applied[-1]
    assert ([o.name for o in seen.objects], seen.deleted) == (["b"], ["a"])
    assert not complete
    assert peers.other.watcher.version == 9
    assert peers.other.store.calls == ["list"]


def test_peer_calls_the_store_once_updates_are_old():
    peers = Peers()
    assert peers.send_update(0.1)
    assert peers.send_update(1.0, lost=True)
    assert not peers.send_update(0.2, lost=True)
    # The holder has no contact with the store, so its updates age as well.
    assert not peers.send_update(0.1)


def test_changes_are_applied_in_order_though_updates_are_lost():
    peers = Peers()
    for version in (6, 7, 8):
        peers.holder.step(_listing(version, [f"s{version}"]), 0.1)
        peers.send_update(lost=version != 8)
    applied = [o.name for seen, _ in peers.other.applied for o in seen.objects]
    assert applied == ["a", "s6", "s7", "s8"]


def test_peer_that_missed_a_change_calls_the_store_at_once():
    peers = Peers()
    assert peers.send_update(0.1)
    peers.holder.step(_listing(6, ["b"]), 0.1)
    for _ in range(kind_updates.SENDS_PER_CHANGE):
        peers.send_update(lost=True)
    assert not peers.send_update()
    assert peers.other.watcher.version == 5
    peers.other.step(_listing(6, ["b"]))
    assert peers.send_update(0.1)


def test_change_that_is_too_large_is_not_sent():
    peers = Peers()
    source = random.Random(1)
    names = [source.randbytes(50).hex() for _ in range(99)]
    peers.holder.step(_listing(6, names), 0.1)
    assert not peers.send_update()
    assert len(peers.other.applied) == 1


def test_entries_of_a_large_group_fit_into_one_update():
    """All 16 members of a large group change at the same time."""
    peers = Peers()
    entry = msgspec.Raw(b'{"addr": "10.0.0.1:80", "staged": ["m"]}' * 15)
    stored = [objects.StoredObject(f"i{n}", 6, entry) for n in range(16)]
    peers.holder.step(objects.Listing(6, stored), 0.1)
    assert peers.send_update()
    assert peers.other.applied[-1][0].objects == stored


@pytest.mark.parametrize("packed", [b"no", zlib.compress(b"no")])
def test_malformed_changes_raise_and_change_nothing(packed):
    peers = Peers()
    update = kind_updates.KindUpdate("servers", 9, 0, packed)
    with pytest.raises(ValueError):
        peers.other.watcher.receive_update(update, clock.MonotonicTime(100.0))
    assert peers.other.watcher.version == 5


def test_watch_without_changes_confirms_the_version_until_its_end():
    peers = Peers()
    peers.send_update(0.3)
    watcher = peers.holder.watcher

    async def watch_without_changes(kind, after, wait_seconds, limits):
        peers.holder.now += wait_seconds
        return _listing(6)

    peers.holder.store.watch = watch_without_changes
    curio.run(watcher.poll_once, clock.MonotonicTime(peers.holder.now))
    update = watcher.publisher.take_update("servers", peers.holder.now)
    assert (update.version, update.age_ms) == (6, 1)


def test_holder_sends_nothing_in_an_outage():
    peers = Peers()
    peers.holder.step(DOWN, 1.0)
    peers.holder.step(DOWN, 5.0)
    now = clock.MonotonicTime(peers.holder.now)
    assert peers.holder.watcher.publisher.take_update("servers", now) is None


# Guards against a daemon that takes its return for that of the store, and
# ignores its peers.
@pytest.mark.parametrize("was_away", [False, True])
def test_removals_in_updates_are_kept_only_if_the_store_was_away(was_away):
    peers = Peers()
    peers.other.step(DOWN, 1.0)
    peers.other.step(DOWN, 5.0)
    answer = DOWN if was_away else _listing(6, ["a"])
    for _ in range(7):
        peers.holder.step(answer, 0.9)
    peers.holder.step(_listing(9, ["b"], deleted=["a"]), 0.1)
    assert peers.send_update(0.1)
    seen, _ = peers.other.applied[-1]
    assert [o.name for o in seen.objects] == ["b"]
    assert seen.deleted == ([] if was_away else ["a"])
    peers.holder.step(_listing(9, ["b"]), store_contact.SETTLE_SECONDS + 0.1)
    peers.send_update(0.1)
    assert [n for seen, _ in peers.other.applied for n in seen.deleted] == [
        "a"
    ]


# Guards against a fleet that lists as one, since its publisher had to list.
def test_publisher_that_lists_sends_what_the_list_has_changed():
    peers = Peers()
    assert peers.send_update(0.1)
    peers.holder.step(DOWN, 0.1)
    peers.holder.step(_listing(9, ["b"]), 0.1)
    assert peers.holder.store.calls[-1] == "list"
    assert peers.send_update(0.1)
    seen, _ = peers.other.applied[-1]
    assert ([o.name for o in seen.objects], seen.deleted) == (["b"], ["a"])
    assert peers.other.store.calls == ["list"]


# Guards against a daemon that is cut off from the store and ignores its peers.
def test_daemon_without_the_store_applies_updates_of_its_peers():
    peers = Peers()
    assert peers.send_update(0.1)
    peers.other.step(DOWN, 0.1)
    peers.holder.step(_listing(9, ["b"]), 0.1)
    assert peers.send_update(0.1)
    assert peers.other.watcher.version == 9


# Guards against updates that stop after an outage though nothing can expire.
def test_holder_sends_kinds_that_do_not_expire_right_after_an_outage():
    peers = Peers(entries_expire=False)
    assert peers.send_update(0.1)
    peers.holder.step(DOWN, 1.0)
    peers.holder.step(DOWN, 5.0)
    peers.holder.step(_listing(9, ["b"]), 0.1)
    assert peers.send_update(0.1)
    assert peers.other.watcher.version == 9
    assert peers.other.applied[-1][0].deleted == ["a"]


# Guards against an older state that is put in force after an outage.
def test_older_list_after_an_outage_is_ignored():
    harness = WatcherHarness()
    harness.step(_listing(5, ["a"]))
    harness.step(DOWN, 0.1)
    harness.step(_listing(3, ["old"]), 0.1)
    assert len(harness.applied) == 1
    assert harness.watcher.version == 5
    assert harness.watcher.known.known_at == 100.0


# Guards against a watch that undoes what a peer has sent meanwhile.
def test_answer_that_a_peer_has_overtaken_is_ignored():
    peers = Peers()
    other = peers.other

    async def watch_while_an_update_arrives(kind, after, wait, limits):
        update = kind_updates.KindUpdate("servers", 9, 1, _packed(5, 9))
        other.watcher.receive_update(update, clock.MonotonicTime(other.now))
        return _listing(7, ["older"])

    other.store.watch = watch_while_an_update_arrives
    curio.run(other.watcher.poll_once, clock.MonotonicTime(other.now))
    assert other.watcher.version == 9
    assert [o.name for seen, _ in other.applied for o in seen.objects] == [
        "a",
        "newer",
    ]


def _packed(before, version):
    newer = [("newer", version, b"{}")]
    change = kind_updates.Change(before, version, newer)
    return zlib.compress(msgspec.msgpack.encode([change]))


# Pattern: a hub sends its total to the publisher as well, with the updates
# that the publisher has sent.
def test_publisher_calls_the_store_though_its_own_updates_come_back():
    harness = WatcherHarness()
    harness.watcher.is_publisher = lambda: True
    harness.watcher.get_pause = lambda: 0.01
    harness.store.script = [_listing(5, ["a"])] + [_listing(5)] * 50
    echo = kind_updates.KindUpdate("servers", 5, 10)

    async def main():
        running = await curio.spawn(harness.watcher.run)
        for _ in range(10):
            await curio.sleep(0.02)
            now = clock.MonotonicTime(harness.now)
            harness.watcher.receive_update(echo, now)
        await running.cancel()

    curio.run(main)
    assert len(harness.store.calls) > 5


# Pattern: the updates of the publisher stop in a large site, and each of 195
# daemons lists 1,100 instances in 22 pages.
def test_long_kind_is_caught_up_by_a_watch_after_updates_of_a_peer():
    harness = WatcherHarness()
    names = [f"i{n}" for n in range(60)]
    harness.step(_listing(5, names))
    harness.step(_listing(6), seconds=2.0)
    harness.step(DOWN, seconds=2.0)
    harness.step(_listing(7, names))
    assert harness.store.calls == ["list", "watch 5", "watch 6", "list"]


def test_short_kind_that_is_too_old_is_listed():
    harness = WatcherHarness()
    harness.step(_listing(5, ["a"]))
    harness.step(_listing(6, ["a"]), seconds=2.0)
    assert harness.store.calls == ["list", "list"]


@pytest.mark.parametrize("bound", [2.0, 3.0, 4.0, 5.0])
def test_time_is_left_for_a_list_after_a_silent_watch(bound):
    timing = watch_timing.WatchTiming(bound)
    silent = timing.watch_limits().answer_seconds
    listed = timing.list_limits(1, new_connection=True).answer_seconds
    assert timing.peer_age_seconds(True) + silent + listed <= bound + 0.01


# Guards against changes that count as known though the store has not returned
# them yet.
def test_watch_that_may_have_more_changes_proves_nothing():
    harness = WatcherHarness()
    harness.step(_listing(5, ["a"]))
    part = msgspec.structs.replace(_listing(6, ["b"]), is_partial=True)
    harness.step(part, 0.5)
    assert harness.watcher.version == 6
    assert harness.watcher.known.known_at == 100.0
    assert harness.watcher._pause_seconds() == 0.0
    harness.step(_listing(7, ["c"]), 0.1)
    assert harness.watcher.known.known_at == harness.now
    assert harness.watcher._pause_seconds() > 0.0


# Guards against a watch after which too little time is left for a list.
@pytest.mark.parametrize("bound", [2.0, 3.0, 5.0])
def test_late_watch_in_place_of_a_list_leaves_time_for_it(bound):
    timing = watch_timing.WatchTiming(bound)
    margin = timing.watch_limits().answer_seconds
    listed = timing.list_limits(1, new_connection=True).answer_seconds
    for tenth in range(int(10 * bound)):
        age = tenth / 10
        if timing.catch_up_seconds(age):
            due = bound + watch_timing.PEER_CHECK_SECONDS
            assert age + margin + listed <= due + 0.01
    assert timing.catch_up_seconds(timing.peer_age_seconds(True))
    assert timing.catch_up_seconds(bound + 0.1)
