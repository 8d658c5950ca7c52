"""Test which parts of prompts are refused after losses of endpoints."""

import random

import curio
import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest

from sycamoredale import clock
from sycamoredale import error_codes
from sycamoredale import ids
from sycamoredale.requests import part_evidence
from sycamoredale.requests import part_quarantine
from sycamoredale.requests import quarantine_records
from tests import memory_store

SERVICE = ids.ServiceName("llm")
START = clock.MonotonicTime(1000.0)
SHARED = part_evidence.part_key(SERVICE, "shared")
CRASHING = part_evidence.part_key(SERVICE, "crashing")
SOUND = part_evidence.part_key(SERVICE, "sound")


def _lose(quarantine, parts, number, now, request=None, domain=""):
    quarantine.record_loss(
        parts,
        part_evidence.incarnation_key(ids.InstanceId(f"e{number}"), 1),
        ids.RequestId(request or f"r{number}"),
        now,
        ids.DomainName(domain),
    )


def _exchange(*quarantines, now):
    for sender in quarantines:
        updates = sender.take_updates(now)
        for receiver in quarantines:
            if receiver is not sender:
                receiver.receive_updates(updates, now)


def test_part_that_was_never_answered_is_blamed_and_not_the_shared_one():
    quarantine = part_quarantine.PartQuarantine()
    for number in range(3):
        now = START + number
        quarantine.record_answer([SHARED], now - 0.2)
        _lose(quarantine, [SHARED, CRASHING], number, now)
    assert set(quarantine.quarantine_by_part) == {CRASHING}


def test_losses_without_an_answer_between_blame_the_part_never_answered():
    """Lose endpoints so fast that the shared part has no answer meanwhile."""
    quarantine = part_quarantine.PartQuarantine()
    quarantine.record_answer([SHARED], START - 30)
    for number in range(6):
        _lose(quarantine, [SHARED, CRASHING], number, START + number)
    _lose(quarantine, [SHARED], 6, START + 6)
    assert set(quarantine.quarantine_by_part) == {CRASHING}


# Guards against a verdict on a part that sound requests have as well, which
# would stop them, where no part was answered yet.
def test_of_parts_with_the_same_losses_the_last_one_is_blamed():
    for crashing in ("b", "c", "d", "e"):
        quarantine = part_quarantine.PartQuarantine()
        last = part_evidence.part_key(SERVICE, crashing)
        for number in range(6):
            now = START + number
            _lose(quarantine, [SHARED, last], number, now)
        _lose(quarantine, [SHARED], 6, START + 6, "sound")
        assert set(quarantine.quarantine_by_part) == {last}


def test_part_with_further_losses_is_blamed_after_the_last_one():
    quarantine = part_quarantine.PartQuarantine()
    for number in range(3):
        _lose(quarantine, [CRASHING, SOUND], number, START + number)
    assert set(quarantine.quarantine_by_part) == {SOUND}
    for number in range(3, 6):
        _lose(quarantine, [CRASHING], number, START + number)
    assert CRASHING in quarantine.quarantine_by_part


def test_one_request_that_is_sent_again_convicts_no_part():
    quarantine = part_quarantine.PartQuarantine()
    for number in range(6):
        _lose(quarantine, [SOUND], number, START + number, f"r{number // 3}")
    assert not quarantine.quarantine_by_part


def test_losses_explained_by_another_part_convict_no_part():
    """Put a sound part aboard some endpoints that another part crashes."""
    quarantine = part_quarantine.PartQuarantine()
    for number in range(6):
        now = START + number
        _lose(quarantine, [SHARED, CRASHING], number, now)
        if number < 4:
            _lose(quarantine, [SHARED, SOUND], number, now, f"s{number}")
        quarantine.record_answer([SHARED], now + 0.1)
    assert set(quarantine.quarantine_by_part) == {CRASHING}


def test_simultaneous_losses_in_one_domain_convict_no_part():
    quarantine = part_quarantine.PartQuarantine()
    for number in range(9):
        now = START + number / 1000
        _lose(quarantine, [SOUND], number, now, domain="d1")
    assert not quarantine.quarantine_by_part


def test_simultaneous_losses_in_different_domains_convict_their_part():
    daemons = [part_quarantine.PartQuarantine() for _ in range(2)]
    for number in range(3):
        now = START + number / 1000
        _lose(daemons[0], [CRASHING], number, now, domain=f"d{number}")
    _exchange(*daemons, now=START + 0.1)
    assert all(CRASHING in d.quarantine_by_part for d in daemons)


def test_first_part_of_the_prompt_may_be_the_one_to_blame():
    quarantine = part_quarantine.PartQuarantine()
    for number in range(4):
        own = part_evidence.part_key(SERVICE, f"own{number}")
        _lose(quarantine, [CRASHING, own], number, START + number)
        quarantine.record_answer([SHARED, SOUND], START + number)
    assert set(quarantine.quarantine_by_part) == {CRASHING}


def test_two_crashing_parts_in_one_minute_are_both_blamed():
    quarantine = part_quarantine.PartQuarantine()
    other = part_evidence.part_key(SERVICE, "other")
    for number in range(12):
        now = clock.MonotonicTime(START + 2 * number)
        part = other if number % 2 else CRASHING
        _lose(quarantine, [SHARED, part], number, now)
        quarantine.record_answer([SHARED], now + 0.5)
    assert set(quarantine.quarantine_by_part) == {CRASHING, other}


def test_endpoint_that_starts_again_under_its_id_counts_again():
    quarantine = part_quarantine.PartQuarantine()
    for started in range(3):
        incarnation = part_evidence.incarnation_key(
            ids.InstanceId("e1"), started
        )
        request = ids.RequestId(f"r{started}")
        now = clock.MonotonicTime(START + 4 * started)
        quarantine.record_loss([CRASHING], incarnation, request, now)
    assert CRASHING in quarantine.quarantine_by_part


def test_losses_at_different_daemons_are_added_up():
    daemons = [part_quarantine.PartQuarantine() for _ in range(3)]
    for number, daemon in enumerate(daemons):
        _lose(daemon, [CRASHING], number, START + number)
    _exchange(*daemons, now=START + 3)
    _exchange(*daemons, now=START + 3.1)
    for daemon in daemons:
        assert CRASHING in daemon.quarantine_by_part


def test_daemon_that_started_later_learns_the_verdict_from_a_peer():
    known = part_quarantine.PartQuarantine()
    for number in range(3):
        _lose(known, [CRASHING], number, START + number)
    for _ in range(5):
        known.take_updates(START + 5)
    started = part_quarantine.PartQuarantine()
    started.receive_updates(known.take_updates(START + 9), START + 9)
    assert CRASHING in started.quarantine_by_part


def test_answer_at_any_daemon_ends_a_wrong_verdict_everywhere():
    daemons = [part_quarantine.PartQuarantine() for _ in range(2)]
    for number in range(3):
        _lose(daemons[0], [SOUND], number, START + number)
    _exchange(*daemons, now=START + 3)
    assert SOUND in daemons[1].quarantine_by_part
    daemons[1].record_answer([SOUND], START + 4)
    _exchange(*daemons, now=START + 4.1)
    assert not daemons[0].quarantine_by_part
    assert not daemons[1].quarantine_by_part


def test_answer_shortly_before_the_losses_refutes_them_at_a_peer():
    daemons = [part_quarantine.PartQuarantine() for _ in range(2)]
    daemons[1].record_answer([SOUND], START + 1.5)
    for number in range(3):
        _lose(daemons[0], [SOUND], number, START + number)
    _exchange(*daemons, now=START + 3)
    _exchange(*daemons, now=START + 3.1)
    assert not daemons[0].quarantine_by_part


def test_refusal_says_not_run_and_when_to_return():
    quarantine = part_quarantine.PartQuarantine()
    for number in range(3):
        _lose(quarantine, [CRASHING], number, START + number)
    refusal = quarantine.refusal(
        CRASHING, error_codes.Execution.NOT_RUN, START + 4
    )
    assert refusal.code.status == 503
    assert refusal.execution is error_codes.Execution.NOT_RUN
    assert 0 < refusal.retry_after <= part_quarantine.FIRST_TRIAL_SECONDS


def test_memory_is_bounded():
    quarantine = part_quarantine.PartQuarantine()
    for number in range(part_quarantine.MAX_TRACKED_PARTS + 50):
        part = part_evidence.part_key(SERVICE, f"p{number}")
        _lose(quarantine, [part], number, START + number / 1000)
        quarantine.record_answer([part], START)
    count = len(quarantine.evidence_by_part)
    assert count <= part_quarantine.MAX_TRACKED_PARTS


# Guards against verdicts on sound parts in a storm of losses: the losses that
# the crashing part explains must be known wherever they count.
@pytest.mark.parametrize("has_answers", [True, False])
@pytest.mark.parametrize("seed", range(3))
def test_storm_convicts_the_crashing_part_alone(seed, has_answers):
    """Lose 60 endpoints with hundreds of sound parts; restart a daemon."""
    rng = random.Random(seed)
    daemons = [part_quarantine.PartQuarantine() for _ in range(3)]
    parts = [part_evidence.part_key(SERVICE, f"p{n}") for n in range(400)]
    for number in range(60):
        now = clock.MonotonicTime(START + 0.2 * number)
        if number == 40:
            daemons[0] = part_quarantine.PartQuarantine()
        for place, daemon in enumerate(daemons):
            if has_answers:
                daemon.record_answer([SHARED, *rng.sample(parts, 5)], now)
            aboard = [CRASHING, *rng.sample(parts, 5)]
            for part in aboard:
                name = f"{place}-{number}-{part}"
                _lose(daemon, [SHARED, part], number, now, name)
        _exchange(*daemons, now=clock.MonotonicTime(now + 0.1))
        for daemon in daemons:
            assert set(daemon.quarantine_by_part) <= {CRASHING}
        assert number < 4 or all(d.quarantine_by_part for d in daemons)


def _records(store, *quarantines):
    return [
        quarantine_records.QuarantineRecords(
            store, q, random.Random(n), lambda: START + 100
        )
        for n, q in enumerate(quarantines)
    ]


def _convicted():
    quarantine = part_quarantine.PartQuarantine()
    for number in range(3):
        _lose(quarantine, [CRASHING], number, START + number)
    return quarantine


def test_one_daemon_of_all_is_granted_a_trial():
    store = memory_store.MemoryStore()
    fleet = _records(store, _convicted(), _convicted(), _convicted())
    for records in fleet:
        curio.run(records.synchronize, START + 10)
    granted = [curio.run(r.claim_trial, CRASHING) for r in fleet]
    assert granted.count(True) == 1
    assert store.writes >= 1
    for records in fleet:
        quarantine = records.quarantine
        assert not quarantine.is_trial_due(CRASHING, START + 101)


def test_no_trial_is_granted_without_the_store():
    store = memory_store.MemoryStore()
    (records,) = _records(store, _convicted())
    curio.run(records.synchronize, START + 10)
    store.down = True
    assert not curio.run(records.claim_trial, CRASHING)


def test_verdict_outlives_a_start_of_all_daemons():
    store = memory_store.MemoryStore()
    before, after = _records(
        store, _convicted(), part_quarantine.PartQuarantine()
    )
    curio.run(before.synchronize, START + 10)
    assert curio.run(after.load)
    assert CRASHING in after.quarantine.quarantine_by_part


def test_record_of_a_part_that_was_answered_is_removed():
    store = memory_store.MemoryStore()
    (records,) = _records(store, _convicted())
    curio.run(records.synchronize, START + 10)
    assert store.by_name
    records.quarantine.record_answer([CRASHING], START + 50)
    curio.run(records.synchronize, START + 51)
    assert not store.by_name
    assert not records.quarantine.removals_by_part


def test_record_that_the_store_has_lost_is_written_again():
    store = memory_store.MemoryStore()
    (records,) = _records(store, _convicted())
    curio.run(records.synchronize, START + 10)
    store.by_name.clear()
    assert curio.run(records.claim_trial, CRASHING)
    assert store.by_name
    assert CRASHING in records.quarantine.quarantine_by_part


# Guards against a daemon that reaches its peers alone, after all have started.
def test_record_reaches_daemons_that_cannot_list_it():
    store = memory_store.MemoryStore()
    before, after = _records(
        store, _convicted(), part_quarantine.PartQuarantine()
    )
    curio.run(before.synchronize, START + 10)
    curio.run(after.load)
    cut_off = part_quarantine.PartQuarantine()
    now = START + 100
    cut_off.receive_updates(after.quarantine.take_updates(now), now)
    assert CRASHING in cut_off.quarantine_by_part


# Guards against a record that nobody removes, since the daemon with the answer
# did not know that another one had just written it.
def test_record_is_removed_if_the_answer_came_to_another_daemon():
    store = memory_store.MemoryStore()
    writer, other = _records(store, _convicted(), _convicted())
    curio.run(writer.synchronize, START + 10)
    other.quarantine.record_answer([CRASHING], START + 10)
    later = clock.MonotonicTime(START + 10.1)
    other.quarantine.receive_updates(
        [_losses_of(writer.quarantine, later)], later
    )
    writer.quarantine.receive_updates(
        other.quarantine.take_updates(later), later
    )
    assert not writer.quarantine.quarantine_by_part
    curio.run(writer.synchronize, START + 11)
    assert not store.by_name


def _losses_of(quarantine, now):
    return quarantine.take_updates(now)[0]


@pytest.mark.parametrize("value", [b"[]", b'{"trials": "x"}', b"{"])
def test_malformed_record_of_another_writer_is_passed_over(value):
    store = memory_store.MemoryStore()
    store.by_name["p"] = (1, value)
    (records,) = _records(store, part_quarantine.PartQuarantine())
    assert curio.run(records.load)
    assert not records.quarantine.quarantine_by_part


class Daemon:
    """Hold the quarantine of one daemon and its calls to the store."""

    def __init__(self, site, number):
        self.site = site
        self.quarantine = part_quarantine.PartQuarantine()
        self.records = quarantine_records.QuarantineRecords(
            site.store,
            self.quarantine,
            random.Random(number),
            lambda: site.now,
        )
        self.needs_list = True
        self.in_touch_since = site.now + CONTACT_SECONDS
        self.connected = True

    def call(self, function, *arguments):
        """Return the result of a call to the store."""
        return curio.run(function, *arguments)

    def synchronize(self):
        """List the records until that succeeds, then write changes."""
        if self.needs_list:
            self.needs_list = not self.call(self.records.load)
        else:
            self.call(self.records.synchronize, self.site.now)


CONTACT_SECONDS = 3.0
DAEMONS = 6
STEP_SECONDS = 0.1
BEGIN_SECONDS = 0.1
ANSWER_SECONDS = 1.0
CRASHES_UNTIL_STOPPED = 5
SENDS_AFTERWARDS = 3
RARE = part_evidence.part_key(SERVICE, "rare")
ENDPOINTS = 8
RESTART_SECONDS = 2.0


class Request:
    """Describe a request aboard an endpoint."""

    def __init__(self, name, daemon, parts, now):
        self.name = name
        self.daemon = daemon
        self.parts = parts
        self.sent_at = now


class Site(stateful.RuleBasedStateMachine):
    """Send sound and crashing requests through daemons that forget."""

    @stateful.initialize()
    def start(self):
        self.now = START
        self.store = memory_store.MemoryStore()
        self.daemons = [Daemon(self, n) for n in range(DAEMONS)]
        self.aboard = {n: [] for n in range(ENDPOINTS)}
        self.incarnations = dict.fromkeys(self.aboard, 0)
        self.up_at = dict.fromkeys(self.aboard, START)
        self.crash_times = []
        self.late_sends = 0
        self.sent = 0
        self.refused_in_a_row = 0

    @stateful.rule(
        crashing=strategies.lists(
            strategies.integers(0, DAEMONS - 1), max_size=2
        ),
        sound=strategies.lists(
            strategies.integers(0, DAEMONS - 1), min_size=2, max_size=6
        ),
        seconds=strategies.sampled_from([0.1, 0.3, 1.0, 3.0]),
    )
    def serve(self, crashing, sound, seconds):
        for number in crashing:
            self._send(number, [SHARED, CRASHING])
        for place, number in enumerate(sound):
            rare = [RARE] if not place else []
            self._send(number, [SHARED, *rare])
        end = self.now + seconds
        while self.now < end:
            self._step()

    @stateful.rule(number=strategies.integers(0, DAEMONS - 1))
    def restart(self, number):
        self.daemons[number] = Daemon(self, number)
        for requests in self.aboard.values():
            requests[:] = [r for r in requests if r.daemon != number]

    @stateful.rule()
    def restart_all(self):
        for number in range(DAEMONS):
            self.restart(number)

    @stateful.rule(number=strategies.integers(0, DAEMONS - 1))
    def cut(self, number):
        self.daemons[number].connected = False

    @stateful.rule()
    def heal(self):
        for daemon in self.daemons:
            if not daemon.connected:
                daemon.connected = True
                daemon.in_touch_since = self.now + CONTACT_SECONDS

    @stateful.rule(down=strategies.booleans())
    def change_store(self, down):
        self.store.down = down

    @stateful.invariant()
    def few_crashing_requests_are_sent(self):
        if hasattr(self, "late_sends"):
            assert self.late_sends <= SENDS_AFTERWARDS

    @stateful.invariant()
    def shared_part_is_served(self):
        if hasattr(self, "refused_in_a_row"):
            assert self.refused_in_a_row < 20

    def teardown(self):
        """Serve sound requests alone, which end every wrong verdict."""
        self.store.down = False
        self.heal()
        for _ in range(30):
            for number in range(DAEMONS):
                self._send(number, [SHARED, RARE])
            for _ in range(10):
                self._step()
        for daemon in self.daemons:
            held = daemon.quarantine.quarantine_by_part
            assert set(held) <= {CRASHING}

    def _send(self, number, parts):
        daemon = self.daemons[number]
        self.sent += 1
        blocked = daemon.quarantine.find_quarantined(parts)
        if blocked is not None:
            if not daemon.quarantine.is_trial_due(blocked, self.now):
                return self._refuse(parts)
            self.store.down, down = not daemon.connected, self.store.down
            granted = daemon.call(daemon.records.claim_trial, blocked)
            self.store.down = down
            if not granted:
                return self._refuse(parts)
        endpoint = self._select(parts)
        if endpoint is None:
            return
        if SHARED in parts and CRASHING not in parts:
            self.refused_in_a_row = 0
        self.aboard[endpoint].append(
            Request(f"q{self.sent}", number, parts, self.now)
        )
        if CRASHING in parts and self._is_stopped():
            if daemon.connected and self.now >= daemon.in_touch_since:
                self.late_sends += 1

    def _refuse(self, parts):
        if CRASHING not in parts and RARE not in parts:
            self.refused_in_a_row += 1

    def _is_stopped(self):
        if len(self.crash_times) < CRASHES_UNTIL_STOPPED:
            return False
        fifth = self.crash_times[CRASHES_UNTIL_STOPPED - 1]
        return self.now > fifth + CONTACT_SECONDS

    def _select(self, parts):
        up = [n for n in self.aboard if self.up_at[n] <= self.now]
        return up[self.sent % len(up)] if up else None

    def _step(self):
        self.now = clock.MonotonicTime(self.now + STEP_SECONDS)
        for endpoint, requests in self.aboard.items():
            if any(
                CRASHING in r.parts and self.now >= r.sent_at + BEGIN_SECONDS
                for r in requests
            ):
                self._crash(endpoint)
            self._answer(endpoint)
        connected = [d for d in self.daemons if d.connected]
        _exchange(*(d.quarantine for d in connected), now=self.now)
        for daemon in connected:
            daemon.synchronize()

    def _crash(self, endpoint):
        incarnation = part_evidence.incarnation_key(
            ids.InstanceId(f"e{endpoint}"), self.incarnations[endpoint]
        )
        self.crash_times.append(self.now)
        self.incarnations[endpoint] += 1
        self.up_at[endpoint] = self.now + RESTART_SECONDS
        for request in self.aboard[endpoint]:
            self.daemons[request.daemon].quarantine.record_loss(
                request.parts,
                incarnation,
                ids.RequestId(request.name),
                self.now,
            )
        self.aboard[endpoint] = []

    def _answer(self, endpoint):
        for request in list(self.aboard[endpoint]):
            if self.now >= request.sent_at + ANSWER_SECONDS:
                self.aboard[endpoint].remove(request)
                self.daemons[request.daemon].quarantine.record_answer(
                    request.parts, self.now
                )


# Guards against verdicts that come late, are forgotten or stop sound work.
TestSite = Site.TestCase
TestSite.settings = hypothesis.settings(
    max_examples=30,
    stateful_step_count=30,
    deadline=None,
    phases=[hypothesis.Phase.generate],
)
