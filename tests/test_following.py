"""Check how a kind of objects is followed through outages of the store."""

import curio
import msgspec
import pytest

from sycamoredale import clock
from sycamoredale import error_codes
from sycamoredale import errors
from sycamoredale.forwarding import following
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


class Follower:
    """Step a follower and keep what it hands on."""

    def __init__(self):
        self.store = Store()
        self.now = 100.0
        self.taken = []
        self.follower = following.Follower(
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
                await self.follower.step(now)
            except errors.StoreUnavailable as error:
                self.follower.lose(error, now)

        curio.run(main)


def _seen(version, names=(), deleted=()):
    stored = [
        objects.StoredObject(n, version, msgspec.Raw(b"{}")) for n in names
    ]
    return objects.Listing(version, stored, list(deleted))


def test_kind_is_listed_and_then_watched():
    site = Follower()
    site.step(_seen(5, ["a"]))
    site.step(_seen(7, ["b"]))
    assert site.store.asked == ["list", "watch 5"]
    assert [complete for _, complete in site.taken] == [True, False]


def test_watch_that_was_cut_is_followed_by_a_list():
    # History may be gone by the next watch, which then waits in vain.
    site = Follower()
    site.step(_seen(5, ["a"]))
    site.step(DOWN, 0.3)
    site.step(_seen(9, ["a", "b"]), 0.1)
    assert site.store.asked == ["list", "watch 5", "list"]
    assert site.taken[-1][1]


def test_entries_that_lapsed_in_an_outage_are_kept_until_it_has_settled():
    site = Follower()
    site.step(_seen(5, ["a", "b"]))
    site.step(DOWN, 1.0)
    site.step(DOWN, 5.0)
    site.step(_seen(9, ["a"], deleted=["b"]), 0.1)
    site.step(_seen(10, [], deleted=["a"]), 1.0)
    assert [complete for _, complete in site.taken[1:]] == [False, False]
    assert all(not seen.deleted for seen, _ in site.taken[1:])
    site.step(_seen(12, ["b"]), following.SETTLE_SECONDS)
    assert site.store.asked[-1] == "list"
    assert site.taken[-1][1]


def test_older_answer_of_the_store_changes_nothing():
    site = Follower()
    site.step(_seen(5, ["a"]))
    site.step(_seen(3, ["old"]))
    assert len(site.taken) == 1
    assert site.follower.version == 5


@pytest.mark.parametrize(
    "daemons, bound_seconds, expected",
    [
        (9, 2.0, following.GATHER_SECONDS),
        (62, 3.0, 1.5),
        (30, 2.0, 0.75),
        (380, 2.0, 1.0),
        (380, 0.1, following.GATHER_SECONDS),
    ],
)
def test_many_daemons_watch_more_rarely_but_within_the_bound(
    daemons, bound_seconds, expected
):
    assert following.shared_pause(daemons, bound_seconds) == expected
