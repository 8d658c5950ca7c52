"""Test lists of many pages, whose later pages may be seconds old.

Pattern: 195 daemons start together and each lists 1,100 instances in 22 pages.
"""

import curio
import msgspec
import pytest

from sycamoredale import error_codes
from sycamoredale import errors
from sycamoredale.http import messages
from sycamoredale.object_api import objects
from sycamoredale.platform import store as store_module

PAGE = 3


class _Store(store_module.PlatformStore):
    """Hold the history of a kind; stale reads show an earlier state."""

    def __init__(self, lag=0, history=1000):
        super().__init__(messages.Address("127.0.0.1", 1), None)
        self.states = [{}]
        self.lag = lag
        self.history = history
        self.full_calls = 0
        self.stale_calls = 0
        self.before_call = lambda number: None

    @property
    def current(self):
        return self.states[-1]

    def change(self, name, value):
        """Write an object, or delete it if the value is None."""
        state = dict(self.current)
        if value is None:
            state.pop(name, None)
        else:
            state[name] = (len(self.states), value)
        self.states.append(state)

    async def _read(self, kind, target, *args):
        request = messages.Request("GET", target)
        stale = request.query("allow_stale") == "1"
        self.before_call(self.full_calls + self.stale_calls)
        self.full_calls += not stale
        self.stale_calls += stale
        after = request.query("watch")
        if after is not None:
            return self._changes(int(after))
        at = max(0, len(self.states) - 1 - (self.lag if stale else 0))
        return self._page(at, request.query("after") or "")

    def _page(self, at, after):
        names = sorted(n for n in self.states[at] if n > after)
        items = [self._object(n, self.states[at][n]) for n in names[:PAGE]]
        return _answer(
            {"at": at, "items": items, "has_more": len(names) > PAGE}
        )

    def _changes(self, after):
        if len(self.states) - 1 - after > self.history:
            return messages.Response(410)
        events = []
        for before, state in zip(
            self.states[after:], self.states[after + 1 :]
        ):
            for name in before.keys() | state.keys():
                if before.get(name) != state.get(name):
                    found = state.get(name) or before[name]
                    item = self._object(name, found)
                    events.append(
                        {"object": item, "deleted": name not in state}
                    )
        return _answer({"at": len(self.states) - 1, "events": events})

    def _object(self, name, found):
        return {"metadata": {"name": name, "rev": found[0]}, "spec": found[1]}


def _answer(body):
    return messages.Response(
        200, messages.Headers(), msgspec.json.encode(body)
    )


def _filled(count, **options):
    store = _Store(**options)
    for number in range(count):
        store.change(f"i{number:02}", number)
    return store


def _values(listing):
    return {o.name: msgspec.json.decode(o.value) for o in listing.objects}


def _current_values(store):
    return {name: value for name, (_, value) in store.current.items()}


def test_long_list_costs_two_pages_a_watch_and_stale_pages():
    store = _filled(20)
    listing = curio.run(store.list, "servers")
    assert _values(listing) == _current_values(store)
    assert (store.full_calls, store.stale_calls) == (3, 5)


# Guards against a list of two pages that needs a watch: the store may not
# answer watches while it answers lists.
def test_list_of_two_pages_needs_no_watch():
    store = _filled(2 * PAGE, lag=2)
    store.change("i01", "changed")
    listing = curio.run(store.list, "servers")
    assert _values(listing) == _current_values(store)
    assert (store.full_calls, store.stale_calls) == (2, 0)


# Guards against long lists that fail while the store answers no watch.
def test_pages_are_read_again_if_the_watch_after_them_fails():
    store = _filled(20, lag=5)
    store.change("i12", "changed")
    read = store._read

    async def refuse_watches(kind, target, *args):
        if "watch=" in target:
            raise errors.StoreUnavailable(
                error_codes.STORE_UNAVAILABLE, "no answer"
            )
        return await read(kind, target, *args)

    store._read = refuse_watches
    listing = curio.run(store.list, "servers")
    assert _values(listing) == _current_values(store)


def test_short_list_is_one_current_call():
    store = _filled(PAGE)
    listing = curio.run(store.list, "servers")
    assert _values(listing) == _current_values(store)
    assert (store.full_calls, store.stale_calls) == (1, 0)


@pytest.mark.parametrize("lag", [1, 5, 12])
def test_list_is_current_though_its_pages_are_old(lag):
    store = _filled(20, lag=lag)
    store.change("i05", None)
    store.change("i12", "changed")
    store.change("i99", "new")
    store.change("i07", None)
    store.change("i07", "again")
    listing = curio.run(store.list, "servers")
    assert _values(listing) == _current_values(store)
    assert listing.version == len(store.states) - 1


def test_changes_between_the_pages_are_not_lost():
    store = _filled(20, lag=2)

    def change_something(call):
        store.change(f"i{(7 * call) % 20:02}", f"changed {call}")
        store.change(f"i{(11 * call) % 20:02}", None)

    store.before_call = change_something
    listing = curio.run(store.list, "servers")
    assert _values(listing) == _current_values(store)


def test_list_is_read_again_if_the_history_is_gone():
    store = _filled(20, lag=6, history=3)
    listing = curio.run(store.list, "servers")
    assert _values(listing) == _current_values(store)


def test_stale_list_makes_no_full_call():
    store = _filled(20, lag=4)
    listing = curio.run(lambda: store.list("daemon", stale=True))
    assert len(listing.objects) >= 16
    assert store.full_calls == 0


def test_list_is_unavailable_if_the_changes_are():
    store = _filled(20)

    def fail(call):
        if call == 7:
            raise errors.StoreUnavailable(
                store_module.error_codes.STORE_UNAVAILABLE, "down"
            )

    store.before_call = fail
    with pytest.raises(errors.StoreUnavailable):
        curio.run(store.list, "servers")


def test_watch_with_as_many_changes_as_a_page_may_not_have_all():
    store = _filled(objects.MIN_PAGE_OBJECTS)
    seen = curio.run(store.watch, "servers", 0, 1.0)
    assert seen.is_partial
    assert not curio.run(store.watch, "servers", 1, 1.0).is_partial
