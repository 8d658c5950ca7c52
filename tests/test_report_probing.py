"""Test how soon the group controller marks an instance as unreachable."""

import curio
import pytest

from sycamoredale import clock
from sycamoredale import error_codes
from sycamoredale import errors
from sycamoredale.forwarding import instance_state
from sycamoredale.forwarding import instance_table
from sycamoredale.groups import probe_status
from sycamoredale.groups import report_probing
from tests import instance_fixtures

OPEN = (instance_fixtures.key(), 0, instance_state.MemberState.OPEN)
# A lost member stalls all streams of its group; callers tolerate a pause of
# a few hundred milliseconds.
MAX_DETECTION_SECONDS = 1.1


def _failed():
    return errors.ConnectionFailed(error_codes.CONNECTION_FAILED, "no answer")


def _prober(get_report):
    table = instance_table.InstanceTable()
    table.apply_listed(
        instance_fixtures.instance("i0", membership=OPEN), clock.monotonic()
    )
    return report_probing.ReportProber(
        get_report,
        lambda: list(table.by_id.values()),
        table,
        probe_status.ProbeStatusTable(),
    )


def test_silent_instance_is_unreachable_within_about_a_second():
    async def get_report(instance):
        await curio.sleep(report_probing.RETRY_SECONDS)
        raise _failed()

    prober = _prober(get_report)

    async def main():
        began = clock.monotonic()
        await curio.spawn(prober.run, daemon=True)
        async with curio.timeout_after(5):
            while not prober.probe_statuses.is_unreachable("i0"):
                await curio.sleep(0.01)
        assert clock.monotonic() - began < MAX_DETECTION_SECONDS

    curio.run(main)


def test_connection_reset_is_retried_after_a_pause():
    """Scenario: an engine with a long queue resets new connections."""
    probed = []

    async def get_report(instance):
        probed.append(clock.monotonic())
        if len(probed) == 1:
            raise _failed()
        return instance_state.Report(1000, 1, None, ())

    prober = _prober(get_report)

    async def main():
        await curio.spawn(prober.run, daemon=True)
        async with curio.timeout_after(5):
            while not prober.probe_statuses.responds("i0"):
                assert not prober.probe_statuses.is_unreachable("i0")
                await curio.sleep(0.01)
        pause = probed[1] - probed[0]
        assert pause == pytest.approx(report_probing.RETRY_SECONDS, abs=0.1)

    curio.run(main)


def test_unlisted_instance_that_does_not_answer_is_removed():
    async def get_report(instance):
        raise _failed()

    prober = _prober(get_report)
    unlisted = prober.instances.by_id["i0"]
    prober.get_instances = lambda: [unlisted]
    prober.instances.remove_listed("i0", clock.monotonic())

    async def main():
        await curio.spawn(prober.run, daemon=True)
        async with curio.timeout_after(5):
            while prober.instances.unlisted_by_id:
                await curio.sleep(0.01)

    curio.run(main)


def _probe_times(seconds_since_progress, seconds=6.0):
    prober = _prober(None)
    instance = prober.instances.by_id["i0"]
    probed = []
    now = 100.0
    while now < 100.0 + seconds:
        prober.get_last_progress_at = (
            lambda instance: now - seconds_since_progress(now)
        )
        if prober.is_due(instance, now):
            prober._probed_at["i0"] = now
            probed.append(now)
        now += report_probing.SCHEDULING_INTERVAL_SECONDS
    return probed


def test_members_of_a_busy_group_are_probed_rarely():
    probed = _probe_times(lambda now: 0.1)
    assert (
        len(probed) <= 6.0 / report_probing.ACTIVE_PROBE_INTERVAL_SECONDS + 1
    )


def test_members_of_an_idle_group_are_probed_at_the_usual_interval():
    probed = _probe_times(lambda now: now)
    assert len(probed) >= 0.9 * 6.0 / report_probing.PROBE_INTERVAL_SECONDS


def test_members_are_probed_at_once_when_progress_stops():
    """Scenario: a member fails while its group runs requests."""
    failed_at = 103.33
    probed = _probe_times(lambda now: max(0.0, now - failed_at))
    first = min(at for at in probed if at > failed_at)
    limit = (
        report_probing.PROGRESS_WINDOW_SECONDS
        + 2 * report_probing.SCHEDULING_INTERVAL_SECONDS
    )
    assert first - failed_at <= limit


def _reached(answers):
    async def is_reached_by_peers(instance):
        return answers

    return is_reached_by_peers


# Guards against groups that are closed because the controller, not a member,
# is cut off.
def test_instance_that_peers_reach_is_not_unreachable():
    async def get_report(instance):
        raise _failed()

    prober = _prober(get_report)
    prober.is_reached_by_peers = _reached(True)

    async def main():
        await curio.spawn(prober.run, daemon=True)
        for _ in range(15):
            await curio.sleep(0.1)
            assert not prober.probe_statuses.is_unreachable("i0")
        prober.is_reached_by_peers = _reached(False)
        async with curio.timeout_after(MAX_DETECTION_SECONDS):
            while not prober.probe_statuses.is_unreachable("i0"):
                await curio.sleep(0.01)

    curio.run(main)


# Guards against verdicts of the time in which the controller was cut off,
# acted on in the moment in which its links come back.
def test_results_of_a_local_fault_are_dropped():
    table = instance_table.InstanceTable()
    for number in range(8):
        table.apply_listed(
            instance_fixtures.instance(f"i{number}", domain=f"d{number % 4}"),
            clock.monotonic(),
        )
    prober = _prober(None)
    prober.get_instances = lambda: list(table.by_id.values())
    statuses = prober.probe_statuses
    for instance in table.by_id:
        for _ in range(probe_status.FAILURES_UNTIL_UNREACHABLE):
            statuses.record_failure(instance)
    assert not prober.may_act()
    for number in range(5):
        statuses.record_success(f"i{number}", clock.monotonic())
    assert prober.may_act()
    assert not any(map(statuses.is_unreachable, table.by_id))


def _probes_per_second(count, progress_ago=None, is_idle=False, seconds=20.0):
    """Return how often instances of a large site are probed, by instance."""
    instances = [instance_fixtures.instance(f"i{n}") for n in range(count)]
    table = instance_table.InstanceTable()
    now = 1000.0
    prober = report_probing.ReportProber(
        None,
        lambda: instances,
        table,
        probe_status.ProbeStatusTable(),
        get_last_progress_at=lambda i: (
            now - progress_ago if progress_ago is not None else 0.0
        ),
        is_idle=lambda i, now: is_idle,
    )
    probes = 0
    while now < 1000.0 + seconds:
        for instance in instances:
            if prober.is_due(instance, now, count):
                prober._probed_at[instance.id] = now
                probes += 1
        now += report_probing.SCHEDULING_INTERVAL_SECONDS
    return probes / seconds / count


# Pattern: a site of 1,100 instances, nearly all in groups that are busy.
def test_probes_of_a_large_site_are_limited():
    active = _probes_per_second(1100, progress_ago=0.0)
    idle = _probes_per_second(1100, is_idle=True)
    assert 0.8 * 250 <= 1100 * active <= 1.25 * 250
    assert 0.8 * 500 <= 1100 * idle <= 1.25 * 500


def test_probes_of_a_smaller_site_are_as_before():
    assert _probes_per_second(175, progress_ago=0.0) == pytest.approx(
        1 / report_probing.ACTIVE_PROBE_INTERVAL_SECONDS, rel=0.1
    )
    assert _probes_per_second(175, is_idle=True) == pytest.approx(
        1 / report_probing.PROBE_INTERVAL_SECONDS, rel=0.15
    )


# Pattern: a member of a busy group dies in a large site; requests wait there.
def test_group_whose_requests_wait_is_probed_at_the_usual_interval():
    rate = _probes_per_second(1100, progress_ago=5.0, seconds=5.0)
    assert rate == pytest.approx(
        1 / report_probing.PROBE_INTERVAL_SECONDS, rel=0.2
    )


def test_late_news_of_progress_count_as_progress():
    table = instance_table.InstanceTable()
    instance = instance_fixtures.instance("i0")
    prober = report_probing.ReportProber(
        None,
        lambda: [instance],
        table,
        probe_status.ProbeStatusTable(),
        get_last_progress_at=lambda i: clock.MonotonicTime(99.5),
        get_update_delay=lambda: 0.4,
    )
    prober._probed_at["i0"] = clock.MonotonicTime(99.4)
    assert not prober.is_due(instance, clock.MonotonicTime(100.0))
    prober.get_update_delay = lambda: 0.0
    assert prober.is_due(instance, clock.MonotonicTime(100.0))
