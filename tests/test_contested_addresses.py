"""Test entries that name the address of an instance that may still run.

They are how a restarted instance appears, and also what another writer may
leave.  Only the answer of the address tells which it is.
"""

import collections

import curio
import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from sycamoredale import error_codes
from sycamoredale import errors
from sycamoredale.forwarding import address_checks
from sycamoredale.forwarding import instance_state
from sycamoredale.forwarding import instance_table
from sycamoredale.groups import group_lifecycle
from sycamoredale.http import messages
from sycamoredale import ids
from sycamoredale.platform import engine_client
from tests import instance_fixtures

State = instance_state.MemberState
Occupant = address_checks.Occupant
NAMES = ("i0", "i1", "i2")
KEY = instance_fixtures.key()


def _address(port):
    return messages.Address("127.0.0.1", port)


def _group_table():
    """Return a table with an open group, each member at its own address."""
    table = instance_table.InstanceTable()
    for port, member in enumerate(
        instance_fixtures.members(KEY, NAMES, State.READY, State.OPEN)
    ):
        table.apply_listed(
            instance_fixtures.instance(
                member.id,
                staged=("small",),
                membership=(KEY, port, member.membership.state),
                address=_address(port),
            ),
            0.0,
        )
    return table


def _rival(name="agent-7", started_ms=2000, port=0, service="agent"):
    return instance_fixtures.instance(
        name,
        started_ms=started_ms,
        address=_address(port),
        service=ids.ServiceName(service),
    )


def _free(table, now):
    known = {i: u.instance for i, u in table.unlisted_by_id.items()}
    lifecycle = group_lifecycle.GroupLifecycle()
    lifecycle.record_join(KEY, NAMES, 0.0)
    snapshot = instance_fixtures.snapshot(
        [*table.by_id.values(), *known.values()],
        now,
        unlisted=known,
        replaced=table.incarnations.ended_ids(),
    )
    return {i.id for i in lifecycle.free_instances(snapshot)}


def test_series_of_foreign_entries_frees_no_member():
    table = _group_table()
    for number in range(5):
        table.apply_listed(_rival(f"agent-{number}", 2000 + number), 10.0)
        assert not _free(table, 20.0) & set(NAMES)
    table.record_answering(table.contested()[0])
    table.apply_listed(_rival("agent-4", 2004), 11.0)
    assert set(table.by_id) == set(NAMES)
    assert not table.contested()


def test_instance_that_answers_at_its_address_is_used_again():
    table = _group_table()
    table.apply_listed(_rival(), 10.0)
    assert "i0" not in table.by_id
    table.record_answering(table.contested()[0])
    assert table.by_id["i0"].is_open_head
    table.apply_listed(_rival(), 11.0)
    assert set(table.by_id) == set(NAMES)


def test_instance_is_used_again_once_the_later_entry_is_removed():
    table = _group_table()
    table.apply_listed(_rival(), 10.0)
    table.remove_listed("agent-7", 11.0)
    assert set(table.by_id) == set(NAMES)


def test_entry_that_is_listed_before_the_instance_does_not_hide_it():
    """A daemon that has just started lists the foreign entry first."""
    table = instance_table.InstanceTable()
    sound = instance_fixtures.instance("i0", address=_address(0))
    table.apply_listing([_rival(), sound], set(), {"agent-7", "i0"}, 1.0)
    assert [i.id for i in table.contested()] == ["i0"]
    table.record_answering(sound)
    assert set(table.by_id) == {"i0"}


def test_superseded_instance_leaves_with_its_entry():
    table = _group_table()
    table.apply_listed(_rival("i9", service=instance_fixtures.SERVICE), 10.0)
    table.retain({"i1", "i2", "i9"}, 11.0)
    assert table.unlisted_by_id["i0"].is_superseded is False
    table.remove_unlisted("i0")
    assert not table.unlisted_by_id
    assert set(table.by_id) == {"i1", "i2", "i9"}


# The other side: a restarted instance is used at once, and its predecessor's
# members are free as soon as the address has answered.
def test_restarted_head_is_believed_once_its_address_answers():
    table = _group_table()
    later = _rival("i9", service=instance_fixtures.SERVICE)
    table.apply_listed(later, 10.0)
    assert "i9" in table.by_id and "i0" not in table.by_id
    table.record_replaced(table.contested()[0])
    assert table.has_ended("i0", 1000)
    assert _free(table, 20.0) == {"i9", "i1", "i2"}


def test_late_check_does_not_end_an_instance_that_has_started_again():
    table = _group_table()
    table.apply_listed(_rival("i9", service=instance_fixtures.SERVICE), 10.0)
    asked = table.contested()[0]
    again = instance_fixtures.instance(
        "i0", started_ms=3000, address=_address(0)
    )
    table.apply_listed(again, 11.0)
    table.record_replaced(asked)
    assert table.by_id["i0"] == again
    assert not table.has_ended("i0", 3000)


class _Address:
    """Answer as one instance does, or not at all."""

    def __init__(self, occupant):
        self.occupant = occupant
        self.asked = collections.Counter()

    async def get(self, instance, service):
        self.asked[instance.id] += 1
        if self.occupant is None:
            raise errors.ConnectionFailed(
                error_codes.CONNECTION_FAILED, "connection refused"
            )
        return self.occupant


def _checker(table, address, daemons=1):
    return address_checks.AddressChecker(
        table,
        lambda: instance_fixtures.SERVICES,
        address.get,
        lambda: daemons,
    )


def test_checker_asks_until_the_address_answers():
    table = _group_table()
    table.apply_listed(_rival(), 10.0)
    address = _Address(None)

    async def main():
        checker = _checker(table, address)
        running = await curio.spawn(checker.run)
        await curio.sleep(0.3)
        assert "i0" not in table.by_id
        assert not table.has_ended("i0", 1000)
        address.occupant = Occupant.SAME
        await curio.sleep(address_checks.RETRY_SECONDS + 0.3)
        assert "i0" in table.by_id
        await running.cancel()

    curio.run(main)
    assert address.asked["i0"] == 2


def test_checks_of_a_restarted_site_are_limited_over_all_daemons():
    table = instance_table.InstanceTable()
    for port in range(500):
        table.apply_listed(_rival(f"a{port}", 1000, port, "llm"), 0.0)
        table.apply_listed(_rival(f"b{port}", 2000, port, "llm"), 0.0)
    checker = _checker(table, _Address(None), daemons=100)
    asked = sum(
        len(checker.take_due(address_checks.SCHEDULING_INTERVAL_SECONDS * n))
        for n in range(10)
    )
    limit = address_checks.MAX_CHECKS_PER_SECOND / 100
    assert asked <= limit + 1


class _Pool:
    def __init__(self, response):
        self.response = response
        self.requests = []

    async def call(self, address, request, *args, **kwargs):
        self.requests.append(request)
        return self.response


def _occupant(service, status, body=b"", headers=()):
    pool = _Pool(messages.Response(status, messages.Headers(headers), body))
    client = engine_client.PlatformEngineClient(pool)
    instance = instance_fixtures.instance("i0")
    found = curio.run(client.occupant, instance, service)
    assert pool.requests[0].headers.get("Expect-Replica") == "i0"
    return found


def test_answers_tell_which_instance_is_at_an_address():
    engines = instance_fixtures.MODEL_SERVICE
    plain = instance_fixtures.PLAIN_SERVICE
    report = b'{"seq": 1, "born": %d}'
    assert _occupant(engines, 200, report % 1000) is Occupant.SAME
    assert _occupant(engines, 200, report % 2000) is Occupant.OTHER
    assert _occupant(engines, 200, b'{"seq": 1}') is Occupant.UNKNOWN
    for service in (engines, plain):
        assert _occupant(service, 421) is Occupant.OTHER
    own = [("Replica-Id", "i0")]
    assert _occupant(plain, 200, headers=own) is Occupant.SAME
    other = [("Replica-Id", "i9")]
    assert _occupant(plain, 200, headers=other) is Occupant.OTHER
    assert _occupant(plain, 503) is Occupant.UNKNOWN


class AddressMachine(stateful.RuleBasedStateMachine):
    """Draw restarts, foreign entries, removals and checks of addresses.

    Whatever happens, an instance that runs is never held to have ended, and
    it is used once its address has been asked.
    """

    def __init__(self):
        """Start one instance at each of three addresses."""
        super().__init__()
        self.now = 0.0
        self.clock_ms = 1000
        self.numbers = iter(range(10**6))
        self.table = instance_table.InstanceTable()
        self.running = {}
        self.entries = {}
        for port in range(3):
            self._start(port)

    def _start(self, port, name=None):
        self.clock_ms += 10
        name = name or f"i{next(self.numbers)}"
        instance = instance_fixtures.instance(
            name,
            started_ms=self.clock_ms,
            address=_address(port),
            membership=(KEY, 0, State.OPEN),
        )
        self.running[port] = instance
        self._write(instance)

    def _write(self, instance):
        self.now += 0.01
        self.entries[instance.id] = instance
        self.table.apply_listed(instance, self.now)

    @stateful.rule(port=strategies.integers(0, 2))
    def restart(self, port):
        """Start another instance at an address."""
        self._start(port)

    @stateful.rule(port=strategies.integers(0, 2))
    def restart_with_its_id(self, port):
        """Start an instance again under its id."""
        self._start(port, self.running[port].id)

    @stateful.rule(
        port=strategies.integers(0, 2),
        ahead_ms=strategies.integers(-200, 200),
        writer=strategies.integers(0, 2),
    )
    def write_foreign_entry(self, port, ahead_ms, writer):
        """Write an entry that names the address of an instance."""
        # Never equal to the start of an instance.
        started_ms = max(0, self.clock_ms + 10 * ahead_ms) + 5
        self._write(_rival(f"agent-{writer}", started_ms, port))

    @stateful.rule(data=strategies.data())
    def remove_entry(self, data):
        """Remove an entry whose instance does not run."""
        alive = {i.id for i in self.running.values()}
        names = sorted(self.entries.keys() - alive)
        if names:
            name = data.draw(strategies.sampled_from(names))
            del self.entries[name]
            self.now += 0.01
            self.table.remove_listed(name, self.now)

    @stateful.rule(data=strategies.data())
    def list_all(self, data):
        """List all entries in any order."""
        order = data.draw(strategies.permutations(sorted(self.entries)))
        self.now += 0.01
        self.table.apply_listing(
            [self.entries[name] for name in order],
            set(),
            set(order),
            self.now,
        )

    @stateful.rule()
    def check_addresses(self):
        """Ask the addresses until nothing is contested."""
        checker = _checker(self.table, _Address(None))
        for _ in range(20):
            contested = self.table.contested()
            for instance in contested:
                there = self.running[instance.address.port]
                identity = instance.id, instance.started_ms
                checker.apply(
                    instance,
                    address_checks.compare(
                        (there.id, there.started_ms), identity
                    ),
                )
            if not contested:
                break
        assert not self.table.contested()
        for instance in self.running.values():
            later = [
                entry
                for entry in self.entries.values()
                if entry.address == instance.address
                and entry.id in self.table.by_id
                and entry.started_ms > instance.started_ms
            ]
            assert instance.id in self.table.by_id and not later

    @stateful.invariant()
    def running_instance_has_not_ended(self):
        """No entry ends an instance that runs."""
        for instance in self.running.values():
            assert not self.table.has_ended(instance.id, instance.started_ms)


AddressMachine.TestCase.settings = hypothesis.settings(
    max_examples=150, stateful_step_count=25, deadline=None, derandomize=True
)
TestAddresses = AddressMachine.TestCase
