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
