"""Test the record of the times in which the event loop could not run."""

import os
import signal
import subprocess
import sys
import time

import curio
import pytest

from sycamoredale import clock
from sycamoredale import loop_delays

SUSPENDED = """
import curio
from sycamoredale import clock, loop_delays

async def main():
    began = clock.monotonic()
    print("ready", flush=True)
    for _ in range(20):
        await curio.sleep(0.1)
        now = clock.monotonic()
    print(delays.seconds_between(began, now), flush=True)

delays = loop_delays.LoopDelays()
curio.run(main, selector=loop_delays.DelayRecordingSelector(delays))
"""


def _at(seconds):
    return clock.MonotonicTime(seconds)


def test_only_the_part_of_a_delay_since_then_counts():
    delays = loop_delays.LoopDelays()
    assert delays.record(_at(10.0), _at(11.0))
    assert not delays.record(_at(11.0), _at(11.01))
    assert delays.seconds_between(_at(10.4), _at(12.0)) == pytest.approx(0.6)
    assert delays.seconds_between(_at(11.5), _at(12.0)) == 0.0


def test_step_that_still_runs_counts():
    delays = loop_delays.LoopDelays(step_began_at=_at(5.0))
    assert delays.seconds_between(_at(4.0), _at(5.7)) == pytest.approx(0.7)
    assert delays.seconds_between(_at(4.0), _at(5.01)) == 0.0


def test_old_delays_are_forgotten():
    delays = loop_delays.LoopDelays()
    delays.record(_at(1.0), _at(2.0))
    delays.record(_at(100.0), _at(101.0))
    assert delays.seconds_between(_at(0.0), _at(101.0)) == 1.0


def _delay_of(main):
    delays = loop_delays.LoopDelays()
    selector = loop_delays.DelayRecordingSelector(delays)
    began = clock.monotonic()
    curio.run(main, selector=selector)
    return delays.seconds_between(began, clock.monotonic())


def test_long_step_of_a_task_is_recorded():
    async def main():
        await curio.sleep(0.01)
        time.sleep(0.5)
        await curio.sleep(0.01)

    assert _delay_of(main) >= 0.45


def test_wait_for_a_timer_is_no_delay():
    async def main():
        await curio.sleep(0.5)

    assert _delay_of(main) < 0.4


def test_suspension_of_the_process_is_recorded():
    process = subprocess.Popen(
        [sys.executable, "-c", SUSPENDED],
        stdout=subprocess.PIPE,
        text=True,
    )
    try:
        assert process.stdout.readline() == "ready\n"
        time.sleep(0.3)
        os.kill(process.pid, signal.SIGSTOP)
        time.sleep(0.8)
        os.kill(process.pid, signal.SIGCONT)
        assert float(process.stdout.readline()) >= 0.6
    finally:
        process.kill()
        process.communicate()
