"""Compare forwarding rules with simple models, with injected faults."""

import dataclasses

import curio
import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import msgspec

from sycamoredale import clock
from sycamoredale import error_codes
from sycamoredale import errors
from sycamoredale.forwarding import catalogue
from sycamoredale.forwarding import endpoint_selection
from sycamoredale.forwarding import endpoints
from sycamoredale.forwarding import instance_table
from sycamoredale.forwarding import object_watcher
from sycamoredale.forwarding import progress
from sycamoredale.forwarding import route_table
from sycamoredale import ids
from sycamoredale.object_api import objects
from tests import instance_fixtures
from tests import test_platform_codec as codec

Outcome = progress.Outcome
DAEMONS = ("d0", "d1")
# Possible results of one call to the store.
RESULTS = strategies.sampled_from(("answered", "answered", "lost", "expired"))


class Store:
    """Store the versions that an operator wrote, with a limited history."""

    def __init__(self):
        self.newest = 1
        self.kept_from = 1
        self.result = "answered"

    async def list(self, kind, limits):
        self._raise_fault()
        return self._listing()

    async def watch(self, kind, after, wait_seconds, limits):
        self._raise_fault()
        if self.result == "expired" or after < self.kept_from:
            raise errors.WatchExpired(
                error_codes.WATCH_EXPIRED, "history gone"
            )
        return self._listing()

    def _raise_fault(self):
        if self.result == "lost":
            raise errors.StoreUnavailable(
                error_codes.STORE_UNAVAILABLE, "no answer"
            )

    def _listing(self):
        value = msgspec.Raw(msgspec.json.encode(self.newest))
        stored = objects.StoredObject("main", self.newest, value)
        return objects.Listing(self.newest, [stored])


class Daemon:
    """Watch the store and put its configuration in force."""

    def __init__(self, store):
        self.table = route_table.RouteTable()
        self.watcher = object_watcher.ObjectWatcher(
            store, "config", self._apply, read_clock=lambda: 100.0
        )

    def _apply(self, listing, complete):
        for stored in listing.objects:
            version = msgspec.json.decode(stored.value)
            self.table.activate(catalogue.Catalogue(version))

    def step(self, now):
        async def main():
            try:
                await self.watcher.poll_once(now)
            except errors.WatchExpired:
                self.watcher.record_expired()
            except errors.StoreUnavailable as error:
                self.watcher.record_failure(error, now)

        curio.run(main)


class ConfigurationOrder(stateful.RuleBasedStateMachine):
    """Check that versions never decrease, and that the newest is reached."""

    def __init__(self):
        super().__init__()
        self.store = Store()
        self.daemons = {name: Daemon(self.store) for name in DAEMONS}
        self.version_by_name = dict.fromkeys(DAEMONS, 0)
        self.now = 100.0

    @stateful.rule(step=strategies.integers(1, 5))
    def operator_writes(self, step):
        self.store.newest += step

    @stateful.rule()
    def store_discards_its_history(self):
        self.store.kept_from = self.store.newest

    @stateful.rule(name=strategies.sampled_from(DAEMONS), result=RESULTS)
    def daemon_polls(self, name, result):
        self.now += 0.5
        self.store.result = result
        self.daemons[name].step(clock.MonotonicTime(self.now))
        self.store.result = "answered"

    @stateful.rule(name=strategies.sampled_from(DAEMONS))
    def daemon_restarts(self, name):
        self.daemons[name] = Daemon(self.store)
        self.version_by_name[name] = 0

    @stateful.rule(name=strategies.sampled_from(DAEMONS))
    def two_polls_reach_the_newest(self, name):
        # The first one may fail because the history is discarded.
        for _ in range(2):
            self.daemon_polls(name, "answered")
        version = self.daemons[name].table.current.version
        assert version == self.store.newest

    @stateful.invariant()
    def versions_never_decrease(self):
        for name, daemon in self.daemons.items():
            version = daemon.table.current.version
            assert version >= self.version_by_name[name]
            self.version_by_name[name] = version


TestConfigurationOrder = ConfigurationOrder.TestCase
TestConfigurationOrder.settings = hypothesis.settings(
    max_examples=60, stateful_step_count=30
)


@hypothesis.given(
    outcomes=strategies.lists(
        strategies.sampled_from(list(Outcome)), min_size=1, max_size=12
    ),
    retry_policy=strategies.sampled_from(list(catalogue.RetryPolicy)),
    resumable=strategies.booleans(),
)
def test_runs_of_a_call_are_limited_by_its_route(
    outcomes, retry_policy, resumable
):
    """Compare with a model that counts the sends that may have run."""
    call = codec._call([("Model", "large")])
    route = dataclasses.replace(
        call.route, retry_policy=retry_policy, resumable=resumable
    )
    call = dataclasses.replace(call, route=route)
    state = progress.begin(call)
    may_have_run = 0
    for outcome in outcomes:
        if not state.may_resend():
            break
        endpoint = endpoints.Endpoint(
            instance_fixtures.instance("i0"), "large", 13
        )
        state.record_outcome(endpoint, outcome)
        may_have_run += outcome not in (
            Outcome.UNREACHED,
            Outcome.WITHDRAWN,
            Outcome.NOT_RUN,
        )
        if outcome in (Outcome.ANSWERED, Outcome.FAILED):
            break
    if not call.route.may_retry:
        assert may_have_run <= 1
    assert may_have_run <= max(1, call.route.max_runs)
    assert state.run_count <= call.route.max_runs
    assert len(state.sends) <= progress.MAX_SENDS
    execution = progress.unanswered_refusal(state).execution
    if may_have_run:
        assert execution is not error_codes.Execution.NOT_RUN


@hypothesis.given(
    daemons=strategies.integers(1, 100),
    seconds=strategies.lists(
        strategies.floats(0.0, 3.0), min_size=1, max_size=20
    ),
)
def test_requests_of_all_daemons_to_a_cold_endpoint_are_limited(
    daemons, seconds
):
    """Send as many requests from each daemon as it may."""
    service = instance_fixtures.MODEL_SERVICE
    instances = instance_table.InstanceTable()
    instances.apply_listed(
        instance_fixtures.instance("i0"), clock.MonotonicTime(0.0)
    )
    instances.cold_until_by_id["i0"] = clock.MonotonicTime(10.0)
    selectors = [_selector(instances, daemons, n) for n in range(daemons)]
    sends = []
    for at in sorted(seconds):
        now = clock.MonotonicTime(at)
        for selector, endpoint in selectors:
            while selector._has_cold_quota(endpoint, service, now):
                selector.record_send(endpoint, now)
                sends.append(at)
    limit = service.cold_requests_per_second * 1.5 + 5.0
    assert sends
    for begin in set(sends):
        assert sum(begin <= at < begin + 1.0 for at in sends) <= limit


def test_cold_quota_with_more_daemons_than_requests():
    """A zone with cold instances returns to a fleet of many daemons."""
    fleet = [instance_fixtures.cold_quota_of(87, own=n) for n in range(87)]
    for endpoint in ("i0", "i1", "i2"):
        assert (
            sum(
                quota.sends_per_second(
                    endpoint, 26.0, clock.MonotonicTime(0.0)
                )
                for quota in fleet
            )
            == 44
        )
    allowed = [
        {
            n
            for n, quota in enumerate(fleet)
            if quota.sends_per_second(endpoint, 26.0, clock.MonotonicTime(0.0))
        }
        for endpoint in ("i0", "i1")
    ]
    assert allowed[0] != allowed[1]


def _selector(instances, daemons, own):
    endpoint_table = endpoints.EndpointTable(
        instances, lambda: instance_fixtures.SERVICES, lambda: frozenset()
    )
    selector = endpoint_selection.EndpointSelector(
        endpoint_table,
        instances,
        ids.ZoneName("a"),
        instance_fixtures.cold_quota_of(daemons, own),
    )
    return selector, endpoints.Endpoint(instances.by_id["i0"], "large", 13)
