"""Test the platform's store after drills, in which its revisions go back."""

import json
import urllib.parse

import curio
import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import msgspec
import pytest

from sycamoredale import clock
from sycamoredale import errors
from sycamoredale.forwarding import catalogue
from sycamoredale.forwarding import kind_updates
from sycamoredale.forwarding import knowledge
from sycamoredale.forwarding import object_handlers
from sycamoredale.forwarding import object_watcher
from sycamoredale.forwarding import removal_filter
from sycamoredale.forwarding import route_table
from sycamoredale.forwarding import store_contact
from sycamoredale.forwarding import watch_observer
from sycamoredale.http import messages
from sycamoredale.object_api import eras
from sycamoredale.object_api import objects
from sycamoredale.observability import exposition
from sycamoredale.platform import store as store_module

KIND = "config"


class Server:
    """Serve one kind on the platform's wire format, and hold drills."""

    def __init__(self, sends_era=True):
        """Start empty, in the first era."""
        self.sends_era = sends_era
        self.era = 1
        self.rev = 10
        self.items = {}
        self.targets = []
        self.before_answer = lambda: None

    def write(self, name, spec):
        """Write an object."""
        self.rev += 1
        metadata = {"name": name, "rev": self.rev}
        self.items[name] = {"metadata": metadata, "spec": spec}

    def take_copy(self):
        """Return a copy of the state."""
        return self.rev, dict(self.items)

    def roll_back(self, copy):
        """Go on from a copy in the next era."""
        self.rev, self.items = copy[0], dict(copy[1])
        self.era += 1

    async def call(self, address, request, *args, **kwargs):
        """Answer one call."""
        self.targets.append(request.target)
        path, _, query = request.target.partition("?")
        fields = dict(urllib.parse.parse_qsl(query))
        self.before_answer()
        if request.method == "PUT":
            return self._put(path, json.loads(request.body))
        if "watch" not in fields:
            found = [self.items[name] for name in sorted(self.items)]
            return self.answer({"at": self.rev, "items": found})
        after = int(fields["watch"])
        if after > self.rev:
            return self.answer({}, 410)
        events = [
            {"object": item}
            for item in self.items.values()
            if item["metadata"]["rev"] > after
        ]
        return self.answer({"at": self.rev, "events": events})

    def _put(self, path, body):
        name = path.rpartition("/")[2]
        known = self.items.get(name)
        if known is None:
            return self.answer({}, 404)
        if known["metadata"]["rev"] != body["metadata"]["rev"]:
            return self.answer(known, 409)
        self.write(name, body["spec"])
        return self.answer(self.items[name])

    def answer(self, body, status=200, era=None):
        """Return an answer of an era, by default the present one."""
        headers = []
        if self.sends_era:
            headers.append(("Store-Era", str(era or self.era)))
        return messages.Response(
            status, messages.Headers(headers), json.dumps(body).encode()
        )


def _store(server):
    return store_module.PlatformStore(messages.Address("127.0.0.1", 1), server)


class Daemon:
    """Watch the manifest as a daemon does, call by call."""

    def __init__(self, server, publishes=False):
        """Know nothing at first."""
        self.store = _store(server)
        self.routes = route_table.RouteTable()
        self.contact = store_contact.StoreContact()
        handler = object_handlers.ManifestHandler(
            self.routes, "main", _decode, lambda: None
        )
        self.now = 100.0
        self.store.eras.on_change.append(
            lambda: self.contact.begin_era(self.now)
        )
        self.watcher = object_watcher.ObjectWatcher(
            self.store,
            KIND,
            handler.apply,
            read_clock=lambda: clock.MonotonicTime(self.now),
            is_publisher=lambda: publishes,
            entries_expire=False,
            contact=self.contact,
        )

    def poll(self):
        """Call the store once, as the loop of the watcher does."""
        self.now += 0.3
        try:
            curio.run(self.watcher.poll_once, self.now)
        except errors.WatchExpired:
            self.watcher.record_expired()
        except errors.StoreUnavailable as error:
            self.watcher.record_failure(error, self.now)

    @property
    def version(self):
        """Return the version of the manifest in force."""
        return self.routes.current.version

    def update(self):
        """Return the update for peers."""
        return self.watcher.publisher.take_update(KIND, self.now)

    def receive(self, update):
        """Receive the update of a peer."""
        self.now += 0.05
        self.watcher.receive_update(update, self.now)


def _decode(value):
    version = msgspec.json.decode(value)["version"]
    return catalogue.Catalogue(version, (), {}, {}, None)


def _manifest(server, version):
    server.write("main", {"version": version})


def _after_a_drill(server, *daemons, copy=None):
    """Let daemons know version 1, then hold a drill with higher revisions."""
    _manifest(server, 1)
    copy = server.take_copy()
    for number in range(20):
        server.write(f"other{number}", {})
    for daemon in daemons:
        daemon.poll()
        daemon.poll()
        assert daemon.version == 1
    server.roll_back(copy)


# Guards against CONFIG: after a drill each answer of the store was ignored
# until its revisions had passed those from before.
def test_manifest_written_after_a_drill_is_put_in_force():
    server = Server()
    daemon = Daemon(server)
    _after_a_drill(server, daemon)
    daemon.poll()
    daemon.poll()
    _manifest(server, 2)
    for _ in range(3):
        daemon.poll()
    assert daemon.version == 2


def test_manifest_never_goes_back_though_the_store_does():
    server = Server()
    daemon = Daemon(server)
    _manifest(server, 1)
    copy = server.take_copy()
    _manifest(server, 2)
    daemon.poll()
    server.roll_back(copy)
    for _ in range(3):
        daemon.poll()
    assert daemon.version == 2


def test_late_answer_of_the_former_era_is_ignored():
    server = Server()
    store = _store(server)
    _manifest(server, 1)
    late = server.answer({"at": 99, "items": []})
    server.roll_back(server.take_copy())
    curio.run(store.list, KIND)
    server.call = lambda *args, **kwargs: _answered(late)
    with pytest.raises(errors.StoreUnavailable):
        curio.run(store.list, KIND)
    assert store.eras.current == 2


async def _answered(response):
    return response


@pytest.mark.parametrize("era", [None, "", "x", "-1", "1.5", "9" * 30, "1"])
def test_answer_without_a_present_era_is_not_applied(era):
    tracker = eras.EraTracker()
    tracker.record_answer("2")
    with pytest.raises(errors.StoreUnavailable):
        tracker.record_answer(era)
    assert tracker.current == 2


# Guards against drills that an operator sees in no metric.
def test_eras_that_change_or_are_rejected_are_counted():
    metrics = exposition.MetricRegistry()
    tracker = eras.EraTracker(metrics)
    for text in ("4", "4", "5", "7"):
        tracker.record_answer(text)
    for text in ("6", None, "x"):
        with pytest.raises(errors.StoreUnavailable):
            tracker.record_answer(text)
    assert metrics.counts["store_eras", "changed"] == 2
    assert metrics.counts["store_eras", "rejected"] == 3
    assert metrics.gauges["store_era", "current"] == 7


def test_store_that_names_no_era_stays_in_one():
    server = Server(sends_era=False)
    daemon = Daemon(server)
    _manifest(server, 1)
    daemon.poll()
    _manifest(server, 2)
    daemon.poll()
    assert daemon.version == 2
    assert daemon.watcher.version == server.rev


def test_watch_that_is_answered_in_a_later_era_has_expired():
    """The revision has been given out again meanwhile."""
    server = Server()
    store = _store(server)
    _manifest(server, 1)
    listing = curio.run(store.list, KIND)
    server.before_answer = lambda: setattr(server, "era", 2)
    with pytest.raises(errors.WatchExpired):
        curio.run(store.watch, KIND, listing.version, 0.1)


def test_write_on_a_revision_of_the_former_era_is_a_conflict():
    server = Server()
    store = _store(server)
    _manifest(server, 1)
    item = curio.run(store.list, KIND).objects[0]
    server.roll_back(server.take_copy())
    with pytest.raises(errors.VersionConflict):
        # The era becomes known by the answer to this write.
        curio.run(store.put, KIND, "main", b"{}", item.version)
    calls = len(server.targets)
    for write in (store.put, store.delete):
        value = (b"{}",) if write == store.put else ()
        with pytest.raises(errors.VersionConflict):
            curio.run(write, KIND, "main", *value, item.version)
    assert len(server.targets) == calls


def test_pages_of_two_eras_are_no_list():
    server = Server()
    store = _store(server)
    answers = [
        {"at": 11, "items": [], "has_more": True},
        {"at": 4, "items": []},
    ]
    answers[0]["items"] = [{"metadata": {"name": "a", "rev": 1}, "spec": {}}]

    async def call(*args, **kwargs):
        response = server.answer(answers.pop(0))
        server.era += 1
        return response

    server.call = call
    with pytest.raises(errors.StoreUnavailable):
        curio.run(store.list, KIND)


def test_update_of_the_former_era_proves_nothing():
    """A peer, perhaps of an earlier build, has not noticed the drill."""
    server = Server()
    daemon, peer = Daemon(server), Daemon(server, publishes=True)
    _after_a_drill(server, daemon, peer)
    old = peer.update()
    daemon.poll()
    daemon.poll()
    known_at = daemon.watcher.known.known_at
    for version in (old.version, old.version % eras.REVISIONS_PER_ERA):
        daemon.receive(msgspec.structs.replace(old, version=version))
        assert not daemon.watcher.has_fresh_update(daemon.now)
        assert daemon.watcher.known.known_at == known_at


def test_update_of_a_later_era_makes_a_daemon_list():
    server = Server()
    daemon, peer = Daemon(server), Daemon(server, publishes=True)
    _after_a_drill(server, daemon, peer)
    _manifest(server, 2)
    peer.poll()
    peer.poll()
    update = peer.update()
    assert update.unpack_changes() == []
    daemon.receive(update)
    assert not daemon.watcher.has_fresh_update(daemon.now)
    daemon.poll()
    assert daemon.version == 2
    daemon.receive(peer.update())
    assert daemon.watcher.has_fresh_update(daemon.now)


def test_update_keeps_its_format():
    update = kind_updates.KindUpdate("config", 2 * 10**12 + 7, 5)
    data = msgspec.msgpack.encode(update)
    assert msgspec.msgpack.decode(data) == ["config", 2 * 10**12 + 7, 5, b""]


def test_evacuation_that_the_copy_lacks_stays_until_it_is_written_again():
    contact = store_contact.StoreContact()
    known = knowledge.Knowledge(5.0)
    removals = removal_filter.RemovalFilter(
        contact, watch_observer.WatchObserver("evacuations", known), False
    )
    kochi = objects.StoredObject("kochi", 7, msgspec.Raw(b"{}"))
    removals.filter(objects.Listing(7, [kochi]), True, 1.0, 1.0)
    contact.begin_era(10.0)
    seen, complete = removals.filter(objects.Listing(3), True, 10.0, 10.0)
    assert not complete and not seen.deleted
    # The operator has not written it again.
    due_at = 10.0 + store_contact.SETTLE_SECONDS
    seen, complete = removals.filter(objects.Listing(4), True, due_at, due_at)
    assert complete


class DrillMachine(stateful.RuleBasedStateMachine):
    """Draw writes, copies, drills, polls, updates and late answers.

    The manifest in force never goes back, and all daemons that call the
    store have the newest one.
    """

    def __init__(self):
        """Start a publisher and two peers."""
        super().__init__()
        self.server = Server()
        self.written = 1
        _manifest(self.server, 1)
        self.daemons = [Daemon(self.server, n == 0) for n in range(3)]
        self.copies = [self.server.take_copy()]
        self.in_force = [0, 0, 0]
        self.updates = []

    @stateful.rule()
    def write_manifest(self):
        """Accept a new manifest."""
        self.written += 1
        _manifest(self.server, self.written)

    @stateful.rule(count=strategies.integers(1, 30))
    def write_others(self, count):
        """Raise the revision."""
        for number in range(count):
            self.server.write(f"o{number}", {})

    @stateful.rule()
    def take_copy(self):
        """Take a copy for a later drill."""
        self.copies.append(self.server.take_copy())

    @stateful.rule(data=strategies.data())
    def hold_drill(self, data):
        """Come back from a copy; the operator writes again."""
        self.server.roll_back(data.draw(strategies.sampled_from(self.copies)))
        _manifest(self.server, self.written)

    @stateful.rule(index=strategies.integers(0, 2))
    def poll(self, index):
        """Let a daemon call the store."""
        self.daemons[index].poll()

    @stateful.rule(index=strategies.integers(0, 2))
    def poll_into_a_drill(self, index):
        """Answer a call of a daemon from before a drill, after it."""
        late = self.server.answer({"at": self.server.rev, "items": []})
        self.hold_drill_now()
        self.daemons[index].poll()
        call, self.server.call = self.server.call, (
            lambda *args, **kwargs: _answered(late)
        )
        self.daemons[index].poll()
        self.server.call = call

    def hold_drill_now(self):
        """Come back from the latest copy."""
        self.server.roll_back(self.copies[-1])
        _manifest(self.server, self.written)

    @stateful.rule()
    def publish(self):
        """Keep the update of the publisher."""
        update = self.daemons[0].update()
        if update is not None:
            self.updates.append(update)

    @stateful.rule(index=strategies.integers(1, 2), data=strategies.data())
    def deliver(self, index, data):
        """Deliver an update to a peer, perhaps late or twice."""
        if self.updates:
            update = data.draw(strategies.sampled_from(self.updates))
            self.daemons[index].receive(update)

    @stateful.rule()
    def settle(self):
        """Let all daemons call the store until they know it."""
        for daemon in self.daemons:
            for _ in range(4):
                daemon.poll()
            assert daemon.version == self.written

    @stateful.invariant()
    def manifests_never_go_back(self):
        """Compare with what was in force before."""
        present = [daemon.version for daemon in self.daemons]
        pairs = zip(present, self.in_force, strict=True)
        assert all(now >= before for now, before in pairs)
        self.in_force = present


DrillMachine.TestCase.settings = hypothesis.settings(
    max_examples=60, stateful_step_count=25, deadline=None, derandomize=True
)
TestDrills = DrillMachine.TestCase
