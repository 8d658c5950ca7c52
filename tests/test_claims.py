"""Compare claims with a dictionary while a store loses writes and answers."""

import dataclasses
import itertools
import json

import curio
import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest

from sycamoredale import error_codes
from sycamoredale import errors
from sycamoredale import ids
from sycamoredale.membership import view
from sycamoredale.requests import claim_service
from sycamoredale.requests import claim_writer
from sycamoredale.requests import claims
from tests import memory_store

KEYS = ("key-1", "key-2", "key-3")
SHARD = 0
SECONDS = 5.0
FAULTS = strategies.lists(
    strategies.sampled_from(memory_store.Fault), max_size=3
)


@pytest.fixture(autouse=True)
def no_delays(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(claim_writer, "RECORD_BATCH_DELAY_SECONDS", 0.0)
    monkeypatch.setattr(claim_writer, "RETRY_DELAY_SECONDS", 0.0)
    monkeypatch.setattr(claim_writer, "STORE_BACKOFF_SECONDS", 0.0)
    monkeypatch.setattr(claim_service, "WRITE_RETRY_SECONDS", 0.0)


@dataclasses.dataclass
class ExpectedClaim:
    """Store a claim of the reference dictionary."""

    take: claims.Take
    outcome: claims.Outcome | None = None


class ClaimsMachine(stateful.RuleBasedStateMachine):
    """Apply operations through two writers and to a reference dictionary."""

    def __init__(self) -> None:
        super().__init__()
        self.kernel = curio.Kernel()
        self.store = memory_store.MemoryStore()
        self.writers = [
            claim_writer.ClaimWriter(self.store, lambda: 1e12)
            for _ in range(2)
        ]
        self.expected_claims: dict[str, ExpectedClaim] = {}
        self.granted: dict[str, list[str]] = {}
        self.numbers = itertools.count()

    def teardown(self) -> None:
        self.kernel.run(shutdown=True)

    def apply(self, writer, operation):
        return self.kernel.run(
            self.writers[writer].apply, SHARD, operation, SECONDS
        )

    def apply_until_done(self, writer, operation):
        while True:
            try:
                return self.apply(writer, operation)
            except errors.SycamoredaleError:
                continue

    @stateful.rule(
        writer=strategies.integers(0, 1),
        key=strategies.sampled_from(KEYS),
        digest=strategies.sampled_from(("a", "b")),
        faults=FAULTS,
        repeated=strategies.booleans(),
    )
    def take(self, writer, key, digest, faults, repeated):
        operation = _build_take(key, digest, f"attempt-{next(self.numbers)}")
        self.store.faults.extend(faults)
        try:
            result = self.apply(writer, operation)
        except errors.SycamoredaleError:
            # Nothing was dispatched, so the claim is released.
            self.apply_until_done(
                1 - writer, claims.Release(key, operation.claim)
            )
            return
        finally:
            self.store.faults.clear()
        assert result.decision is self.expected_decision(key, digest)
        if result.decision is claims.Decision.GRANTED:
            self.expected_claims[key] = ExpectedClaim(operation)
            self.granted.setdefault(key, []).append(operation.claim.attempt)
            if repeated:
                again = self.apply(1 - writer, operation)
                assert again.decision is claims.Decision.GRANTED
        if result.decision is claims.Decision.FINISHED:
            assert result.claim.outcome == self.expected_claims[key].outcome

    def expected_decision(self, key, digest):
        expected = self.expected_claims.get(key)
        if expected is None:
            return claims.Decision.GRANTED
        if expected.take.claim.request_digest != digest:
            return claims.Decision.MISMATCH
        if expected.outcome is None:
            return claims.Decision.RUNNING
        return claims.Decision.FINISHED

    @stateful.rule(
        writer=strategies.integers(0, 1),
        key=strategies.sampled_from(KEYS),
        body=strategies.binary(max_size=4),
        faults=FAULTS,
    )
    def record(self, writer, key, body, faults):
        expected = self.expected_claims.get(key)
        if expected is None or expected.outcome is not None:
            return
        outcome = claims.build_outcome(200, (), body)
        attempt = expected.take.claim.attempt
        self.store.faults.extend(faults)
        self.apply_until_done(writer, claims.Record(key, attempt, outcome))
        self.store.faults.clear()
        expected.outcome = outcome

    @stateful.rule(
        writer=strategies.integers(0, 1),
        key=strategies.sampled_from(KEYS),
        faults=FAULTS,
    )
    def release(self, writer, key, faults):
        expected = self.expected_claims.get(key)
        if expected is None or expected.outcome is not None:
            return
        self.store.faults.extend(faults)
        self.apply_until_done(writer, claims.Release(key, expected.take.claim))
        self.store.faults.clear()
        del self.expected_claims[key]
        # A delayed copy of the take must not be granted.
        late = self.apply(1 - writer, expected.take)
        assert late.decision is not claims.Decision.GRANTED

    @stateful.rule()
    def deliver_late_writes(self):
        self.store.deliver_late()

    @stateful.invariant()
    def store_matches_the_dictionary(self):
        if not self.store.by_name:
            return
        ((_, value),) = self.store.by_name.values()
        by_name = json.loads(value).get("by_name", {})
        open_names = {
            name: claim["attempt"]
            for name, claim in by_name.items()
            if claim.get("state") != "released"
        }
        assert open_names == {
            key: expected.take.claim.attempt
            for key, expected in self.expected_claims.items()
        }


def test_claims_agree_with_a_dictionary() -> None:
    stateful.run_state_machine_as_test(
        ClaimsMachine,
        settings=hypothesis.settings(
            max_examples=400, stateful_step_count=25, deadline=None
        ),
    )


class LinkedPeers:
    """Deliver calls to peers in this process; lose the answers if broken."""

    def __init__(self) -> None:
        self.service_by_id: dict[str, claim_service.ClaimService] = {}
        self.broken = False
        self.calls = 0

    async def call(self, peer, path, body, seconds):
        assert path == claim_service.PEER_PATH
        self.calls += 1
        answer = await self.service_by_id[peer].answer_peer(body)
        if self.broken:
            raise errors.ConnectionBroken(
                error_codes.CONNECTION_BROKEN, "the answer is lost"
            )
        return answer


def test_routers_send_claims_to_the_home_router() -> None:
    store, peers, services = _two_routers()
    name = next(n for n in _names() if _home_id(n, services[0]) == "router-1")

    async def scenario():
        return [
            (
                await service.take(_build_take(name, "a", f"by-{number}"))
            ).decision
            for number, service in enumerate(services)
        ]

    assert curio.run(scenario) == [
        claims.Decision.GRANTED,
        claims.Decision.RUNNING,
    ]
    assert peers.calls == 1
    assert store.writes == 1


def test_lost_answer_of_the_home_router_grants_once() -> None:
    store, peers, services = _two_routers()
    peers.broken = True
    name = next(n for n in _names() if _home_id(n, services[0]) == "router-0")

    async def scenario():
        first = await services[1].take(_build_take(name, "a", "one"))
        second = await services[1].take(_build_take(name, "a", "two"))
        return first.decision, second.decision

    assert curio.run(scenario) == (
        claims.Decision.GRANTED,
        claims.Decision.RUNNING,
    )
    assert store.writes == 1


def test_routers_that_all_act_as_home_grant_once() -> None:
    store = memory_store.MemoryStore()
    services = [_service(store, LinkedPeers(), n, [n]) for n in range(8)]
    name = next(_names())

    async def scenario():
        tasks = [
            await curio.spawn(s.take, _build_take(name, "a", s.members.own.id))
            for s in services
        ]
        return [(await task.join()).decision for task in tasks]

    decisions = curio.run(scenario)
    assert decisions.count(claims.Decision.GRANTED) == 1
    assert decisions.count(claims.Decision.RUNNING) == 7


def test_unavailable_store_fails_a_take_and_stores_no_claim() -> None:
    store, _, services = _two_routers()
    store.down = True
    name = next(_names())

    async def scenario():
        with pytest.raises(errors.SycamoredaleError):
            await services[0].take(_build_take(name, "a", "one"))
        store.down = False
        await _wait_until(lambda: services[0].pending_writes == 0)
        return await services[0].take(_build_take(name, "a", "two"))

    assert curio.run(scenario).decision is claims.Decision.GRANTED


def test_claim_with_unknown_outcome_is_released(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(claim_writer, "MAX_WRITE_ATTEMPTS", 1)
    store, _, services = _two_routers()
    store.faults.append(memory_store.Fault.ANSWER_LOST)
    name = next(n for n in _names() if _home_id(n, services[0]) == "router-0")

    async def scenario():
        with pytest.raises(errors.OutcomeUnknown):
            await services[0].take(_build_take(name, "a", "one"))
        await _wait_until(lambda: services[0].pending_writes == 0)
        return await services[0].take(_build_take(name, "a", "two"))

    assert curio.run(scenario).decision is claims.Decision.GRANTED


def test_concurrent_claims_share_writes() -> None:
    store = memory_store.MemoryStore()
    service = _service(store, LinkedPeers(), 0, [0])
    names = [
        n
        for n in itertools.islice(_names(), 64 * 40)
        if claims.shard_number(n) == SHARD
    ]

    async def scenario():
        tasks = [
            await curio.spawn(service.take, _build_take(name, "a", name))
            for name in names
        ]
        return [(await task.join()).decision for task in tasks]

    assert set(curio.run(scenario)) == {claims.Decision.GRANTED}
    assert len(names) > 20
    assert store.writes <= 2


def test_full_shard_refuses_claims_and_stores_outcomes() -> None:
    full = claims.ShardUpdate(
        claims.Shard(), claims.MAX_SHARD_BYTES_FOR_TAKE + 1
    )
    result = claims.apply(_build_take("new", "a", "one"), full)
    assert result.decision is claims.Decision.FULL
    full.shard.by_name["old"] = _build_take("old", "a", "two").claim
    full.size_bytes = claims.MAX_SHARD_BYTES_FOR_BODY + 1
    outcome = claims.build_outcome(201, (), b"body")
    result = claims.apply(claims.Record("old", "two", outcome), full)
    assert result.claim.state is claims.ClaimState.FINISHED
    assert result.claim.outcome == claims.Outcome(201)


def test_claims_expire_after_the_retention_and_a_margin() -> None:
    shard = claims.Shard({"old": _build_take("old", "a", "one").claim})
    target = claims.ShardUpdate(shard, 0)
    target.expire(1000.0 + 86400 * 1.05, 86400.0)
    assert "old" in shard.by_name
    target.expire(1000.0 + 86400 * 1.11, 86400.0)
    assert not shard.by_name


def _build_take(name, digest, attempt):
    claim = claims.Claim(digest, attempt, "router-1", 0, 1000.0)
    return claims.Take(name, claim)


def _names():
    for number in itertools.count():
        yield claims.claim_name("org", "bookings", ids.IdempotencyKey(number))


def _home_id(name, service):
    home = claim_service.home_router(
        claims.shard_number(name), service.members
    )
    return home.id


def _two_routers():
    store = memory_store.MemoryStore()
    peers = LinkedPeers()
    services = [_service(store, peers, n, [0, 1]) for n in range(2)]
    for service in services:
        peers.service_by_id[service.members.own.id] = service
    return store, peers, services


def _service(store, peers, own_number, listed):
    routers = [
        view.Peer(f"router-{n}", "", "kochi", view.Role.ROUTER, 0)
        for n in listed
    ]
    members = view.MembershipView(
        next(r for r in routers if r.id == f"router-{own_number}")
    )
    members.by_id.update({r.id: r for r in routers})
    writer = claim_writer.ClaimWriter(store, lambda: 1e12)
    return claim_service.ClaimService(writer, members, peers)


async def _wait_until(condition):
    while not condition():
        await curio.sleep(0.01)
