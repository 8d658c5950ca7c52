"""Test mirrors, the call budget and the cleanup of configuration parts.

An in-memory store replaces the object API, so that tests choose the order of
operations.
"""

import collections.abc
import dataclasses
import random
import typing

import curio
import hypothesis
from hypothesis import strategies
import msgspec
import pytest

from sycamoredale import clock
from sycamoredale.config import model
from sycamoredale.config import parts
from sycamoredale.config import propagation
from sycamoredale.config import store as config_store
from sycamoredale.daemons import followers
from sycamoredale import error_codes
from sycamoredale import errors
from sycamoredale.http import client
from sycamoredale.http import messages
from sycamoredale import ids
from sycamoredale.membership import mirror
from sycamoredale.membership import peer_service
from sycamoredale.membership import registry
from sycamoredale.membership import view
from sycamoredale.object_api import backoff
from sycamoredale.object_api import budget
from sycamoredale.object_api import objects

UNUSED_ADDRESS: typing.Final = messages.Address("127.0.0.1", 1)
KIND: typing.Final = "thing"


@dataclasses.dataclass
class MemoryStore(objects.ObjectStore):
    """Store objects in memory with the history of all versions.

    `shown` is the version that reads return, the latest if it is None.
    `before_pointer` runs once, before the next write of the pointer.
    """

    version: int = 0
    history: list[dict[tuple[str, str], objects.StoredObject]] = (
        dataclasses.field(default_factory=lambda: [{}])
    )
    shown: int | None = None
    before_pointer: collections.abc.Callable[[], typing.Any] | None = None

    @property
    def current(self) -> dict[tuple[str, str], objects.StoredObject]:
        """Return the objects at the version that reads return."""
        return self.history[self._shown_version()]

    async def get(self, kind: str, name: str) -> objects.StoredObject | None:
        """Return an object."""
        return self.current.get((kind, name))

    async def list(
        self,
        kind: str,
        limits: objects.CallLimits = objects.DEFAULT_LIMITS,
        stale: bool = False,
    ) -> objects.Listing:
        """Return the objects of a kind."""
        del limits, stale
        found = [o for (k, _), o in self.current.items() if k == kind]
        return objects.Listing(self._shown_version(), found)

    async def watch(
        self,
        kind: str,
        after: ids.ObjectVersion,
        wait_seconds: float,
        limits: objects.CallLimits = objects.DEFAULT_LIMITS,
    ) -> objects.Listing:
        """Return the changes; the log covers the last eight versions."""
        del wait_seconds, limits
        if after < self.version - 8:
            raise errors.WatchExpired(error_codes.WATCH_EXPIRED, "discarded")
        shown = self._shown_version()
        then = self.history[min(after, shown)]
        return objects.Listing(
            ids.ObjectVersion(shown),
            [
                o
                for (k, _), o in self.current.items()
                if k == kind and o.version > after
            ],
            [n for k, n in then if k == kind and (k, n) not in self.current],
        )

    async def put(
        self, kind: str, name: str, value: bytes, expected: ids.ObjectVersion
    ) -> ids.ObjectVersion:
        """Write on the expected version."""
        if kind == model.POINTER_KIND and self.before_pointer:
            before, self.before_pointer = self.before_pointer, None
            await before()
        return self._change(kind, name, value, expected)

    async def delete(
        self, kind: str, name: str, expected: ids.ObjectVersion
    ) -> None:
        """Delete the expected version."""
        self._change(kind, name, None, expected)

    def _change(
        self,
        kind: str,
        name: str,
        value: bytes | None,
        expected: ids.ObjectVersion,
    ) -> ids.ObjectVersion:
        latest = dict(self.history[-1])
        found = latest.pop((kind, name), None)
        if (found.version if found else 0) != expected:
            raise errors.VersionConflict(
                error_codes.VERSION_CONFLICT, "the version differs"
            )
        self.version += 1
        version = ids.ObjectVersion(self.version)
        if value is not None:
            latest[kind, name] = objects.StoredObject(
                name, version, msgspec.Raw(value)
            )
        self.history.append(latest)
        return version

    def _shown_version(self) -> ids.ObjectVersion:
        shown = self.version if self.shown is None else self.shown
        return ids.ObjectVersion(min(shown, self.version))


@dataclasses.dataclass
class LocalPeers(peer_service.PeerService):
    """Call the handlers of other daemons of the test directly."""

    others: dict[ids.DaemonId, peer_service.PeerService] = dataclasses.field(
        default_factory=dict
    )

    async def call(
        self,
        peer: ids.DaemonId,
        path: str,
        body: bytes,
        timeout_seconds: float,
    ) -> bytes:
        """Return the answer of the other daemon's handler."""
        return await self.others[peer].handlers_by_path[path](body)


_STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(["put", "delete", "poll", "fetch", "older"]),
        strategies.integers(0, 2),
        strategies.integers(0, 2),
    ),
    max_size=40,
)


@hypothesis.settings(max_examples=300)
@hypothesis.given(_STEPS)
def test_mirrors_follow_the_store_and_never_regress(
    steps: list[tuple[str, int, int]],
) -> None:
    curio.run(_run_mirror_steps, steps)


async def _run_mirror_steps(steps: list[tuple[str, int, int]]) -> None:
    store = MemoryStore(UNUSED_ADDRESS, client.Pool())
    mirrors = _mirrors(3)
    seen: list[dict[str, int]] = [{} for _ in mirrors]
    for action, first, second in steps:
        name = f"n{second}"
        existing = store.history[-1].get((KIND, name))
        version = existing.version if existing else objects.ABSENT_VERSION
        if action == "put":
            await store.put(KIND, name, b"1", version)
        elif action == "delete" and existing:
            await store.delete(KIND, name, version)
        elif action == "older":
            store.shown = max(0, store.version - second) if second else None
        elif action == "poll":
            await mirrors[first].poll(store, 0.0)
        elif action == "fetch" and first != second:
            await mirrors[first].fetch(ids.DaemonId(f"d{second}"))
        for index, found in enumerate(mirrors):
            for stored in found.by_name.values():
                last = seen[index].get(stored.name, 0)
                assert (
                    stored.version >= last
                ), "the version of an object decreased"
                seen[index][stored.name] = stored.version
    store.shown = None
    await mirrors[0].poll(store, 0.0)
    expected = {n: o for (_, n), o in store.current.items()}
    assert mirrors[0].by_name == expected
    if mirrors[0].version > mirrors[1].watched_version:
        await mirrors[1].fetch(ids.DaemonId("d0"))
    assert set(mirrors[1].by_name) == set(expected)


class SilentStore(MemoryStore):
    """Answer no watch, and record how long a caller waits for one."""

    longest_wait: float = 0.0

    async def watch(
        self,
        kind: str,
        after: ids.ObjectVersion,
        wait_seconds: float,
        limits: objects.CallLimits = objects.DEFAULT_LIMITS,
    ) -> objects.Listing:
        """Raise StoreUnavailable."""
        wait = limits.connect_seconds + wait_seconds + limits.answer_seconds
        self.longest_wait = max(self.longest_wait, wait)
        raise errors.StoreUnavailable(
            error_codes.STORE_UNAVAILABLE, "no answer in time"
        )


# Guards against assignments that are unknown for seconds because a watch
# waits without an answer.
def test_mirror_lists_after_a_short_watch_without_an_answer() -> None:
    async def main() -> None:
        store = SilentStore(UNUSED_ADDRESS, client.Pool())
        own_mirror = _mirrors(1)[0]
        await store.put(KIND, "n0", b"1", objects.ABSENT_VERSION)
        await own_mirror.poll(store, followers.ASSIGNMENT_WATCH_SECONDS)
        await store.put(KIND, "n1", b"1", objects.ABSENT_VERSION)
        with pytest.raises(errors.StoreUnavailable):
            await own_mirror.poll(store, followers.ASSIGNMENT_WATCH_SECONDS)
        await own_mirror.poll(store, followers.ASSIGNMENT_WATCH_SECONDS)
        assert set(own_mirror.by_name) == {"n0", "n1"}
        assert store.longest_wait <= 2.0

    curio.run(main)


def _mirrors(count: int) -> list[mirror.Mirror]:
    return [
        mirror.Mirror(KIND, one, lambda change: None)
        for one in _services(count)
    ]


def _services(count: int) -> list[LocalPeers]:
    services = [
        LocalPeers(
            view.MembershipView(_peer(f"d{n}")),
            client.Pool(),
        )
        for n in range(count)
    ]
    for one in services:
        one.others = {s.members.own.id: s for s in services}
    return services


def test_peer_sends_only_what_changed() -> None:
    curio.run(_send_changes)


async def _send_changes() -> None:
    ahead, behind = (propagation.Propagation(s) for s in _services(2))
    first, second = _organisations(0), _organisations(7)
    ahead.on_accepted(_accepted(1, first))
    fetched = await behind.fetch(ids.DaemonId("d0"))
    assert fetched and fetched.configuration == first
    behind.on_accepted(fetched)
    ahead.on_accepted(_accepted(2, second))
    question = msgspec.json.encode(propagation.Request(fetched.generation))
    answer = await ahead.peers.handlers_by_path[propagation.PATH](question)
    sent = msgspec.json.decode(answer, type=propagation.Answer)
    assert (len(sent.digests), len(sent.parts)) == (9, 1)
    fetched = await behind.fetch(ids.DaemonId("d0"))
    assert fetched and fetched.configuration == second
    assert fetched.generation == 2


def _accepted(
    generation: int, configuration: model.Configuration
) -> config_store.AcceptedConfiguration:
    return config_store.AcceptedConfiguration(
        ids.Generation(generation),
        ids.ObjectVersion(generation),
        configuration,
        parts.split(configuration),
    )


def _organisations(changed: int) -> model.Configuration:
    organisations = [
        model.Organisation(
            ids.OrganisationName(f"o{n:03d}"),
            f"{n:064x}",
            weight=2 if n == changed else 1,
        )
        for n in range(1, 250)
    ]
    return model.Configuration(organisations=organisations)


_CONFIGURATIONS = strategies.integers(0, 3)


@hypothesis.settings(max_examples=200)
@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            _CONFIGURATIONS, strategies.none() | _CONFIGURATIONS
        ),
        max_size=8,
    )
)
def test_cleanup_never_breaks_the_accepted_configuration(
    races: list[tuple[int, int | None]],
) -> None:
    curio.run(_race_acceptance, races)


async def _race_acceptance(races: list[tuple[int, int | None]]) -> None:
    """Run a cleanup, and perhaps a second operator, during an upload.

    Whatever runs between the upload of the parts and the write of the
    pointer, the accepted configuration must stay complete.
    """
    store = MemoryStore(UNUSED_ADDRESS, client.Pool())
    for number_written, racing_number in races:
        seen = await config_store.read(store)
        store.before_pointer = _run_before_pointer(store, seen, racing_number)
        if racing_number is None:
            await config_store.accept(
                store, seen, _configuration(number_written)
            )
        else:
            with pytest.raises(errors.VersionConflict) as caught:
                await config_store.accept(
                    store, seen, _configuration(number_written)
                )
            assert f"against generation {seen.generation}" in str(caught.value)
        accepted = await config_store.read(store)
        assert accepted.generation == seen.generation + 1
        assert accepted.configuration == _configuration(
            number_written if racing_number is None else racing_number
        )
        await config_store.delete_unreferenced_parts(store)
        listing = await store.list(model.PART_KIND)
        names = {o.name for o in listing.objects}
        assert names == set(accepted.parts_by_digest)


def _run_before_pointer(
    store: MemoryStore,
    seen: config_store.AcceptedConfiguration,
    racing_number: int | None,
) -> collections.abc.Callable[[], typing.Any]:
    async def act() -> None:
        await config_store.delete_unreferenced_parts(store)
        if racing_number is not None:
            await config_store.accept(
                store, seen, _configuration(racing_number)
            )
        await config_store.delete_unreferenced_parts(store)

    return act


def _configuration(number: int) -> model.Configuration:
    zones = [model.Zone(ids.ZoneName(f"z{n}")) for n in range(number)]
    return model.Configuration(zones=zones)


@pytest.mark.parametrize("overtaken", [False, True])
def test_lost_answer_to_the_acceptance_is_resolved(overtaken: bool) -> None:
    curio.run(_lose_acceptance_answer, overtaken)


async def _lose_acceptance_answer(overtaken: bool) -> None:
    store = AnswerLosingStore(UNUSED_ADDRESS, client.Pool())
    seen = await config_store.read(store)
    if overtaken:
        await config_store.accept(store, seen, _configuration(1))
        store.lose_answers = True
        with pytest.raises(errors.VersionConflict):
            await config_store.accept(store, seen, _configuration(2))
    else:
        store.lose_answers = True
        accepted = await config_store.accept(store, seen, _configuration(2))
        assert accepted.generation == 1
    found = await config_store.read(store)
    assert found.configuration == _configuration(1 if overtaken else 2)


# Guards against an accepted configuration that is reported as unchanged: the
# answer to the write was lost, and the read that should show it failed.
def test_lost_acceptance_that_cannot_be_read_is_reported_as_unknown() -> None:
    async def main() -> None:
        store = AnswerLosingStore(UNUSED_ADDRESS, client.Pool())
        seen = await config_store.read(store)
        store.lose_answers = store.fail_reads = True
        with pytest.raises(errors.OutcomeUnknown):
            await config_store.accept(store, seen, _configuration(2))

    curio.run(main)


@dataclasses.dataclass
class AnswerLosingStore(MemoryStore):
    """Lose the answers to writes of the pointer after they took effect."""

    lose_answers: bool = False
    fail_reads: bool = False

    async def get(self, kind: str, name: str) -> objects.StoredObject | None:
        """Return an object unless reads fail."""
        if self.fail_reads:
            raise errors.StoreUnavailable(
                error_codes.STORE_UNAVAILABLE, "down"
            )
        return await super().get(kind, name)

    async def put(
        self, kind: str, name: str, value: bytes, expected: ids.ObjectVersion
    ) -> ids.ObjectVersion:
        """Write on the expected version; lose answers if configured."""
        lost = errors.OutcomeUnknown(error_codes.OUTCOME_UNKNOWN, "lost")
        if not self.lose_answers or kind != model.POINTER_KIND:
            return await super().put(kind, name, value, expected)
        try:
            await super().put(kind, name, value, expected)
        except errors.VersionConflict as error:
            raise lost from error
        raise lost


def test_registration_of_a_dead_daemon_is_removed_after_delay() -> None:
    curio.run(_remove_stale_registration)


async def _remove_stale_registration() -> None:
    store = MemoryStore(UNUSED_ADDRESS, client.Pool())
    now = clock.monotonic()
    long_ago = clock.MonotonicTime(now - registry.STALE_REMOVAL_SECONDS - 1)
    peers = [_peer(name) for name in ("a", "b", "c", "d")]
    for peer in peers:
        value = msgspec.json.encode(registry.registration_of(peer))
        await store.put(
            view.DAEMON_KIND, peer.id, value, objects.ABSENT_VERSION
        )
    members = view.MembershipView(_peer("self"))
    own_registry = registry.Registry(store, members)
    await own_registry.refresh()
    assert set(members.by_id) == {"a", "b", "c", "d", "self"}
    dead = view.PeerState.DEAD
    for peer in peers[:3]:
        members.set_state(peer.id, peer.incarnation, dead, long_ago)
    await own_registry.refresh()
    assert len(await _registered_ids(store)) == 5, "a minority removed others"
    members.merge(_peer("b", 2), now)
    members.merge(_peer("c", 2), now)
    await own_registry.refresh()
    assert await _registered_ids(store) == {"b", "c", "d", "self"}


# Guards against a registry that ends at an entry of another writer.
def test_malformed_registration_is_passed_over() -> None:
    async def main() -> None:
        store = MemoryStore(UNUSED_ADDRESS, client.Pool())
        absent = objects.ABSENT_VERSION
        await store.put(view.DAEMON_KIND, "bad", b'{"id": 7}', absent)
        await store.put(
            view.DAEMON_KIND,
            "d1",
            msgspec.json.encode(registry.registration_of(_peer("d1"))),
            absent,
        )
        members = view.MembershipView(_peer("d0"))
        await registry.Registry(store, members).refresh()
        assert set(members.by_id) == {"d0", "d1"}

    curio.run(main)


async def _registered_ids(store: MemoryStore) -> set[str]:
    return {o.name for o in (await store.list(view.DAEMON_KIND)).objects}


def _peer(name: str, incarnation: int = 1) -> view.Peer:
    return view.Peer(
        ids.DaemonId(name),
        "127.0.0.1:1",
        ids.ZoneName("kochi"),
        view.Role.ROUTER,
        ids.Incarnation(incarnation),
    )


def test_call_budget_is_shared_and_reserves_calls_for_claims() -> None:
    read = budget.CallKind.READ
    start = clock.MonotonicTime(0.0)
    share = budget.CallBudget(lambda: 10, reads_per_second=100.0)
    granted = {
        priority: _use_up(share, read, priority, start)
        for priority in reversed(budget.Priority)
    }
    assert granted[budget.Priority.BACKGROUND] == 50
    assert granted[budget.Priority.FOLLOW] == 25
    assert sum(granted.values()) == 100
    second = clock.MonotonicTime(1.0)
    assert _use_up(share, read, budget.Priority.CLAIM, second) == 10
    assert share.calls_by_kind[read] == 110


def test_store_refuses_calls_beyond_the_call_budget() -> None:
    share = budget.CallBudget(lambda: 1, reads_per_second=0.001)
    store = objects.ObjectStore(
        UNUSED_ADDRESS, client.Pool(), call_budget=share
    )

    async def read_twice() -> list[str]:
        codes = []
        for _ in range(2):
            with pytest.raises(errors.StoreUnavailable) as caught:
                await store.with_priority(budget.Priority.CLAIM).get("a", "b")
            codes.append(caught.value.code.name)
        return codes

    assert curio.run(read_twice) == ["store_unavailable", "budget_exhausted"]


def test_backoff_is_randomized_and_bounded() -> None:
    waits = backoff.Backoff(random.Random(7))
    drawn = [waits.next_seconds() for _ in range(200)]
    assert drawn[0] <= backoff.INITIAL_SECONDS
    assert max(drawn) <= backoff.MAX_SECONDS
    late = drawn[20:]
    assert min(late) < 0.2 * backoff.MAX_SECONDS < max(late)
    waits.reset()
    assert waits.next_seconds() <= backoff.INITIAL_SECONDS


def _use_up(
    share: budget.CallBudget,
    kind: budget.CallKind,
    priority: budget.Priority,
    now: clock.MonotonicTime,
) -> int:
    taken = 0
    while share.try_withdraw(kind, priority, now):
        taken += 1
    return taken
