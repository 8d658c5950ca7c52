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


def _suspended(script, *arguments):
    """Return what a script prints that is suspended once it is ready."""
    process = subprocess.Popen(
        [sys.executable, "-c", script, *arguments],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
        bufsize=1,
    )
    try:
        assert process.stdout.readline() == "ready\n"
        time.sleep(0.1)
        os.kill(process.pid, signal.SIGSTOP)
        time.sleep(0.2)
        process.stdin.write("data\n")
        time.sleep(0.6)
        os.kill(process.pid, signal.SIGCONT)
        return process.stdout.readline().strip()
    finally:
        process.kill()
        process.communicate()


def test_suspension_of_the_process_is_recorded():
    assert float(_suspended(SUSPENDED)) >= 0.6


READ_IN_TIME = """
import os
import curio
import curio.traps
from sycamoredale import loop_delays

async def main():
    print("ready", flush=True)
    try:
        async with curio.timeout_after(0.5):
            await curio.traps._read_wait(0)
        print(os.read(0, 10).decode().strip(), flush=True)
    except curio.TaskTimeout:
        print("timeout", flush=True)

curio.run(
    main, selector=loop_delays.DelayRecordingSelector(loop_delays.LoopDelays())
)
"""


# Guards against timeouts of connects, probes and reads whose answer arrived
# while the daemon was suspended.
def test_what_arrived_during_a_suspension_is_read_before_a_timeout():
    assert _suspended(READ_IN_TIME) == "data"


# Guards against a traceback in the log for each call of the store that fails.
def test_work_that_fails_is_not_logged_as_crashed(caplog):
    async def fail():
        await curio.sleep(0.01)
        raise OSError("no answer")

    async def main():
        with pytest.raises(OSError, match="no answer"):
            await loop_delays.LoopDelays().within(1.0, fail())

    curio.run(main)
    assert not caplog.records
