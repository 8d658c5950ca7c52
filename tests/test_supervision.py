"""Test that background tasks go on after failures nobody expected."""

import curio

from sycamoredale import clock
from sycamoredale.observability import exposition
from sycamoredale import supervision


def test_failed_task_is_started_again():
    metrics = exposition.MetricRegistry()
    runs = []

    async def run(limit):
        runs.append(clock.monotonic())
        if len(runs) < limit:
            raise RecursionError("nobody expected this")

    async def main():
        task = await supervision.spawn("watch", run, 3, metrics=metrics)
        async with curio.timeout_after(5):
            await task.wait()

    curio.run(main)
    assert len(runs) == 3
    assert metrics.counts["task_failures", "watch"] == 2


def test_cancelled_task_is_not_started_again():
    runs = []

    async def run():
        runs.append(1)
        await curio.sleep(10)

    async def main():
        task = await supervision.spawn("watch", run)
        await curio.sleep(0.05)
        await task.cancel()

    curio.run(main)
    assert runs == [1]
