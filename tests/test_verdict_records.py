"""Test that verdicts on crashing requests outlive all daemons."""

import curio
import msgspec
import pytest

from sycamoredale import clock
from sycamoredale import ids
from sycamoredale.requests import crash_evidence
from sycamoredale.requests import poison
from sycamoredale.requests import verdict_records
from tests import memory_store

START = clock.MonotonicTime(10_000.0)
WALL_START = clock.WallTime(1_700_000_000.0)
CRASHING = ids.Fingerprint("crashing")
KERNEL = curio.Kernel()


class Daemon:
    """Hold a detector and its records; its clocks start at `now`."""

    def __init__(self, store, is_writer=True, wall_step=0.0):
        self.now = START
        self.detector = poison.PoisonDetector()
        self.records = verdict_records.VerdictRecords(
            store,
            self.detector,
            lambda: is_writer,
            lambda: self.now,
            lambda: clock.WallTime(WALL_START + self.now - START + wall_step),
        )

    def lose(self, *numbers, fingerprint=CRASHING):
        """Lose endpoints that had the request."""
        for number in numbers:
            crash = poison.Crash(fingerprint, f"e{number}", "", True)
            self.detector.record_crash(crash, self.now)

    def synchronize(self, after=0.0):
        """Write and remove records after some seconds."""
        self.now = clock.MonotonicTime(self.now + after)
        KERNEL.run(self.records.synchronize, self.now)

    def load(self):
        """Read the records."""
        return KERNEL.run(self.records.load)

    def refuses(self):
        """Return whether the request is refused."""
        return self.detector.is_poison(CRASHING, self.now)


def _store_with_verdict():
    store = memory_store.MemoryStore()
    daemon = Daemon(store)
    daemon.lose(0, 1)
    daemon.synchronize()
    daemon.synchronize(2.0)
    return store, daemon


# Guards against BUDGET: after the loss of all daemons a request crashed two
# more replicas, each time.
def test_verdict_outlives_a_loss_of_all_daemons():
    store, _ = _store_with_verdict()
    started = Daemon(store)
    assert not started.records.is_loaded
    assert started.load()
    assert started.records.is_loaded
    assert started.refuses()


def test_one_record_is_written_for_each_verdict():
    store, daemon = _store_with_verdict()
    for _ in range(200):
        daemon.synchronize(0.5)
    second = Daemon(store)
    second.lose(0, 1)
    second.synchronize()
    second.synchronize(2.0)
    assert store.writes == 1


def test_single_crash_is_not_recorded():
    store = memory_store.MemoryStore()
    daemon = Daemon(store)
    daemon.lose(0)
    for _ in range(5):
        daemon.synchronize(1.0)
    assert not store.by_name


# The other side: what is refuted or old may not come back from the store.
def test_record_of_a_request_that_was_answered_is_removed():
    store, daemon = _store_with_verdict()
    daemon.detector.record_answer(CRASHING, daemon.now)
    daemon.synchronize(1.0)
    assert not store.by_name


def test_answer_that_came_before_the_record_was_read_refutes_it():
    store, _ = _store_with_verdict()
    started = Daemon(store)
    started.now = clock.MonotonicTime(START + 30.0)
    started.detector.record_answer(CRASHING, started.now)
    assert started.load()
    assert not started.refuses()
    started.synchronize()
    assert not store.by_name


def test_record_expires_an_hour_after_the_crashes():
    store, daemon = _store_with_verdict()
    started = Daemon(store)
    started.now = clock.MonotonicTime(
        START + crash_evidence.RETENTION_SECONDS - 60.0
    )
    started.load()
    assert started.refuses()
    started.synchronize(71.0)
    assert not started.refuses()
    assert not store.by_name


def test_clock_that_was_set_back_makes_no_crash_of_the_future():
    store, _ = _store_with_verdict()
    started = Daemon(store, wall_step=-7200.0)
    started.load()
    assert started.refuses()
    started.now = clock.MonotonicTime(
        START + crash_evidence.RETENTION_SECONDS + 1.0
    )
    assert not started.refuses()


def test_record_is_written_once_the_store_is_back():
    store = memory_store.MemoryStore()
    daemon = Daemon(store)
    daemon.lose(0, 1)
    store.down = True
    for _ in range(5):
        daemon.synchronize(1.0)
    assert not daemon.load()
    store.down = False
    daemon.synchronize(1.0)
    daemon.synchronize(1.0)
    assert store.by_name


# Guards against a writer that calls a store that is down over and over: each
# verdict was tried twice a second.
def test_store_that_is_down_is_called_now_and_then():
    store = memory_store.MemoryStore()
    daemon = Daemon(store)
    for number in range(20):
        daemon.lose(0, 1, fingerprint=ids.Fingerprint(f"{number:032}"))
    daemon.synchronize()
    store.faults.extend([memory_store.Fault.REFUSED] * 100)
    daemon.now += 2.0
    assert not KERNEL.run(daemon.records.synchronize, daemon.now)
    assert store.writes == 1


def test_record_that_the_store_has_lost_is_written_again():
    store, daemon = _store_with_verdict()
    store.by_name.clear()
    daemon.synchronize(verdict_records.LIST_INTERVAL_SECONDS)
    assert store.by_name


@pytest.mark.parametrize(
    "fault", [memory_store.Fault.ANSWER_LOST, memory_store.Fault.WRITE_LOST]
)
def test_write_whose_answer_is_lost_is_settled(fault):
    store = memory_store.MemoryStore()
    store.faults.append(fault)
    daemon = Daemon(store)
    daemon.lose(0, 1)
    for _ in range(5):
        daemon.synchronize(1.0)
    assert len(store.by_name) == 1
    assert Daemon(store).load()


def test_records_are_bounded():
    store = memory_store.MemoryStore()
    daemon = Daemon(store)
    for number in range(verdict_records.MAX_RECORDS + 20):
        daemon.lose(0, 1, fingerprint=ids.Fingerprint(f"{number:032}"))
        daemon.now += 10.0
    for _ in range(4):
        daemon.synchronize(2.0)
    assert len(store.by_name) == verdict_records.MAX_RECORDS


@pytest.mark.parametrize("value", [b"1", b"{}", b'{"losses":[[1]]}'])
def test_malformed_record_of_another_writer_is_passed_over(value):
    store, _ = _store_with_verdict()
    store.by_name["odd"] = (99, value)
    started = Daemon(store)
    assert started.load()
    assert started.refuses()
    # It may be that of a later build, which would still need it.
    started.synchronize(2.0)
    assert "odd" in store.by_name


def test_record_is_read_as_it_was_written():
    store, _ = _store_with_verdict()
    _, value = store.by_name[CRASHING]
    losses = msgspec.json.decode(value)["losses"]
    assert [loss[1] for loss in losses] == [int(1000 * WALL_START)] * 2
