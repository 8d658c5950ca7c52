"""Test how soon the keeper of groups takes an instance for lost."""

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
# A lost member makes each stream of its group stand still; callers bear a
# pause of some hundred milliseconds.
LOST_WITHIN_SECONDS = 1.1


def _failed():
    return errors.ConnectionFailed(error_codes.CONNECTION_FAILED, "no answer")


def _prober(ask):
    book = instance_table.InstanceTable()
    book.apply_listed(
        instance_fixtures.instance("i0", place=OPEN), clock.monotonic()
    )
    return report_probing.ReportProber(
        ask,
        lambda: list(book.by_id.values()),
        book,
        probe_status.ProbeStatusTable(),
    )


def test_silent_instance_is_lost_within_about_a_second():
    async def ask(instance):
        await curio.sleep(report_probing.RETRY_SECONDS)
        raise _failed()

    prober = _prober(ask)

    async def main():
        began = clock.monotonic()
        await curio.spawn(prober.run, daemon=True)
        async with curio.timeout_after(5):
            while not prober.probe_statuses.is_unreachable("i0"):
                await curio.sleep(0.01)
        assert clock.monotonic() - began < LOST_WITHIN_SECONDS

    curio.run(main)


def test_resets_in_one_moment_count_as_one_failure():
    """Pattern: an engine with a long queue resets new connections."""
    asked = []

    async def ask(instance):
        asked.append(clock.monotonic())
        if len(asked) == 1:
            raise _failed()
        return instance_state.Report(1000, 1, None, ())

    prober = _prober(ask)

    async def main():
        await curio.spawn(prober.run, daemon=True)
        async with curio.timeout_after(5):
            while not prober.probe_statuses.responds("i0"):
                assert not prober.probe_statuses.is_unreachable("i0")
                await curio.sleep(0.01)
        pause = asked[1] - asked[0]
        assert pause == pytest.approx(report_probing.RETRY_SECONDS, abs=0.1)

    curio.run(main)


def test_unlisted_instance_without_an_answer_is_forgotten():
    async def ask(instance):
        raise _failed()

    prober = _prober(ask)
    past = prober.instances.by_id["i0"]
    prober.get_instances = lambda: [past]
    prober.instances.remove_listed("i0", clock.monotonic())

    async def main():
        await curio.spawn(prober.run, daemon=True)
        async with curio.timeout_after(5):
            while prober.instances.unlisted_by_id:
                await curio.sleep(0.01)

    curio.run(main)


def _times_asked(heard_ago, seconds=6.0):
    prober = _prober(None)
    instance = prober.instances.by_id["i0"]
    asked = []
    now = 100.0
    while now < 100.0 + seconds:
        prober.get_last_progress_at = lambda instance: now - heard_ago(now)
        if prober.is_due(instance, now):
            prober._probed_at["i0"] = now
            asked.append(now)
        now += report_probing.SCHEDULING_INTERVAL_SECONDS
    return asked


def test_members_of_a_group_at_work_are_asked_rarely():
    asked = _times_asked(lambda now: 0.1)
    assert len(asked) <= 6.0 / report_probing.ACTIVE_PROBE_INTERVAL_SECONDS + 1


def test_idle_group_is_asked_at_the_usual_pace():
    asked = _times_asked(lambda now: now)
    assert len(asked) >= 0.9 * 6.0 / report_probing.PROBE_INTERVAL_SECONDS


def test_group_that_falls_silent_is_asked_at_once():
    """Pattern: a member dies while its group runs requests."""
    dies_at = 103.33
    asked = _times_asked(lambda now: max(0.0, now - dies_at))
    first = min(at for at in asked if at > dies_at)
    limit = (
        report_probing.PROGRESS_WINDOW_SECONDS
        + 2 * report_probing.SCHEDULING_INTERVAL_SECONDS
    )
    assert first - dies_at <= limit
