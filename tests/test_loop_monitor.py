"""Test that a held-up event loop is reported, and why it was."""

import time

import curio

from sycamoredale.observability import exposition
from sycamoredale.observability import loop_monitor


def _record(delay, cpu):
    metrics = exposition.MetricRegistry()
    loop_monitor.record_delay(delay, cpu, metrics)
    return dict(metrics.counts)


def test_short_delay_is_not_counted():
    assert _record(0.2, 0.3) == {}


def test_own_work_is_told_from_a_suspended_machine():
    assert _record(2.0, 1.9) == {("loop_delays", "busy"): 1}
    assert _record(2.0, 0.1) == {("loop_delays", "suspended"): 1}


def test_task_that_does_not_give_way_is_counted():
    metrics = exposition.MetricRegistry()

    async def main():
        await curio.spawn(loop_monitor.run, metrics, daemon=True)
        await curio.sleep(0.05)
        ends_at = time.monotonic() + 0.8
        while time.monotonic() < ends_at:
            pass
        await curio.sleep(0.3)

    curio.run(main)
    assert metrics.counts["loop_delays", "busy"] == 1
