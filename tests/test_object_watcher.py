"""Check how a kind of objects is followed through outages of the store."""

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
from sycamoredale.object_api import objects

DOWN = errors.StoreUnavailable(error_codes.STORE_UNAVAILABLE, "down")


class Store:
    """Answer lists and watches from a script."""

    def __init__(self):
        self.script = []
        self.asked = []

    async def list(self, kind):
        self.asked.append("list")
        return self._next()

    async def watch(self, kind, after, wait_seconds):
        self.asked.append(f"watch {after}")
        return self._next()

    def _next(self):
        answer = self.script.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer


class WatcherSite:
    """Step a watcher and keep what it hands on."""

    def __init__(self):
        self.store = Store()
        self.now = 100.0
        self.taken = []
        self.watcher = object_watcher.ObjectWatcher(
            self.store,
            "servers",
            lambda seen, complete: self.taken.append((seen, complete)),
            read_clock=lambda: clock.MonotonicTime(self.now),
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


def _seen(version, names=(), deleted=()):
    stored = [
        objects.StoredObject(n, version, msgspec.Raw(b"{}")) for n in names
    ]
    return objects.Listing(version, stored, list(deleted))


def test_kind_is_listed_and_then_watched():
    site = WatcherSite()
    site.step(_seen(5, ["a"]))
    site.step(_seen(7, ["b"]))
    assert site.store.asked == ["list", "watch 5"]
    assert [complete for _, complete in site.taken] == [True, False]


def test_watch_that_was_cut_is_followed_by_a_list():
    # History may be gone by the next watch, which then waits in vain.
    site = WatcherSite()
    site.step(_seen(5, ["a"]))
    site.step(DOWN, 0.3)
    site.step(_seen(9, ["a", "b"]), 0.1)
    assert site.store.asked == ["list", "watch 5", "list"]
    assert site.taken[-1][1]


def test_entries_that_lapsed_in_an_outage_are_kept_until_it_has_settled():
    site = WatcherSite()
    site.step(_seen(5, ["a", "b"]))
    site.step(DOWN, 1.0)
    site.step(DOWN, 5.0)
    site.step(_seen(9, ["a"], deleted=["b"]), 0.1)
    site.step(_seen(10, [], deleted=["a"]), 1.0)
    assert [complete for _, complete in site.taken[1:]] == [False, False]
    assert all(not seen.deleted for seen, _ in site.taken[1:])
    site.step(_seen(12, ["b"]), object_watcher.SETTLE_SECONDS)
    assert site.store.asked[-1] == "list"
    assert site.taken[-1][1]


def test_older_answer_of_the_store_changes_nothing():
    site = WatcherSite()
    site.step(_seen(5, ["a"]))
    site.step(_seen(3, ["old"]))
    assert len(site.taken) == 1
    assert site.watcher.version == 5


@pytest.mark.parametrize(
    "daemons, bound_seconds, expected",
    [
        (9, 2.0, object_watcher.MIN_PAUSE_SECONDS),
        (62, 3.0, 1.5),
        (30, 2.0, 0.75),
        (380, 2.0, 1.0),
        (380, 0.1, object_watcher.MIN_PAUSE_SECONDS),
    ],
)
def test_many_daemons_watch_more_rarely_but_within_the_bound(
    daemons, bound_seconds, expected
):
    assert object_watcher.shared_pause(daemons, bound_seconds) == expected


class Peers:
    """Let one watcher tell another what it sees."""

    def __init__(self, is_publisher=True):
        self.sites = [WatcherSite(), WatcherSite()]
        for site in self.sites:
            site.watcher.peer_update_ttl_seconds = 1.2
            site.step(_seen(5, ["a"]))
        self.holder, self.other = self.sites
        self.holder.watcher.is_publisher = lambda: is_publisher

    def tell(self, seconds=0.0, lost=False):
        """Advance both clocks; deliver a word unless it is lost."""
        now = clock.MonotonicTime(self.holder.now + seconds)
        for site in self.sites:
            site.now = now
        news = self.holder.watcher.publisher.take_update("servers", now)
        if news is not None and not lost:
            data = msgspec.msgpack.encode(news)
            news = msgspec.msgpack.decode(data, type=kind_updates.KindUpdate)
            self.other.watcher.receive_update(news, now)
        return self.other.watcher.has_fresh_update(now)


def test_peer_is_told_what_the_holder_sees_and_asks_nothing():
    """Pattern: many daemons watch the same kinds, and each call is priced."""
    peers = Peers()
    assert peers.tell(0.1)
    peers.holder.step(_seen(9, ["b"], deleted=["a"]), 0.2)
    assert peers.tell(0.1)
    seen, complete = peers.other.taken[-1]
    assert ([o.name for o in seen.objects], seen.deleted) == (["b"], ["a"])
    assert not complete
    assert peers.other.watcher.version == 9
    assert peers.other.store.asked == ["list"]


def test_peer_asks_for_itself_once_the_word_is_old():
    peers = Peers()
    assert peers.tell(0.1)
    assert peers.tell(1.0, lost=True)
    assert not peers.tell(0.2, lost=True)
    # The holder is cut off from the store; its word ages all the same.
    assert not peers.tell(0.1)


def test_changes_come_in_order_though_words_are_lost():
    peers = Peers()
    for version in (6, 7, 8):
        peers.holder.step(_seen(version, [f"s{version}"]), 0.1)
        peers.tell(lost=version != 8)
    told = [o.name for seen, _ in peers.other.taken for o in seen.objects]
    assert told == ["a", "s6", "s7", "s8"]


def test_peer_that_missed_a_change_asks_for_itself_at_once():
    peers = Peers()
    assert peers.tell(0.1)
    peers.holder.step(_seen(6, ["b"]), 0.1)
    for _ in range(kind_updates.SENDS_PER_CHANGE):
        peers.tell(lost=True)
    assert not peers.tell()
    assert peers.other.watcher.version == 5
    peers.other.step(_seen(6, ["b"]))
    assert peers.tell(0.1)


def test_change_that_is_too_large_is_not_told():
    peers = Peers()
    source = random.Random(1)
    names = [source.randbytes(50).hex() for _ in range(99)]
    peers.holder.step(_seen(6, names), 0.1)
    assert not peers.tell()
    assert len(peers.other.taken) == 1


def test_entries_of_a_large_group_fit_into_one_word():
    """Pattern: the members of a group of 16 change at once."""
    peers = Peers()
    entry = msgspec.Raw(b'{"addr": "10.0.0.1:80", "staged": ["m"]}' * 15)
    stored = [objects.StoredObject(f"i{n}", 6, entry) for n in range(16)]
    peers.holder.step(objects.Listing(6, stored), 0.1)
    assert peers.tell()
    assert peers.other.taken[-1][0].objects == stored


@pytest.mark.parametrize("packed", [b"no", zlib.compress(b"no")])
def test_malformed_changes_are_an_error_and_change_nothing(packed):
    peers = Peers()
    news = kind_updates.KindUpdate("servers", 9, 0, packed)
    with pytest.raises(ValueError):
        peers.other.watcher.receive_update(news, clock.MonotonicTime(100.0))
    assert peers.other.watcher.version == 5


def test_quiet_store_is_told_as_known_until_the_watch_ended():
    peers = Peers()
    peers.tell(0.3)
    watcher = peers.holder.watcher

    async def quiet(kind, after, wait_seconds):
        peers.holder.now += wait_seconds
        return _seen(6)

    peers.holder.store.watch = quiet
    curio.run(watcher.poll_once, clock.MonotonicTime(peers.holder.now))
    news = watcher.publisher.take_update("servers", peers.holder.now)
    assert (news.version, news.age_ms) == (6, 1)


def test_holder_tells_nothing_while_the_store_is_away_or_settles():
    peers = Peers()
    peers.holder.step(DOWN, 1.0)
    peers.holder.step(DOWN, 5.0)
    now = clock.MonotonicTime(peers.holder.now)
    assert peers.holder.watcher.publisher.take_update("servers", now) is None
    peers.holder.step(_seen(9, ["a"], deleted=["b"]), 0.1)
    assert peers.holder.watcher.publisher.take_update("servers", now) is None


def test_peer_that_settles_after_an_outage_takes_nobodys_word():
    peers = Peers()
    peers.other.step(DOWN, 1.0)
    peers.other.step(DOWN, 5.0)
    peers.holder.step(_seen(9, [], deleted=["a"]), 0.1)
    peers.other.step(_seen(9, []), 0.1)
    assert not peers.tell(0.1)
    assert not peers.other.taken[-1][0].deleted
