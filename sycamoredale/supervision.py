"""Keep the background tasks of a daemon running.

curio ends a task at an exception that it does not handle, and the daemon
would live on without what the task did.  A supervised task is logged, counted
and started again after a pause that grows with each failure in a row.
"""

import collections.abc
import random
import typing
from typing import Final

import curio

from sycamoredale import clock
from sycamoredale.object_api import backoff
from sycamoredale.observability import exposition
from sycamoredale.observability import logs

FIRST_PAUSE_SECONDS: Final = 0.2
MAX_PAUSE_SECONDS: Final = 5.0
# A task that has run for this long has recovered from its last failure.
RECOVERED_SECONDS: Final = 10.0
LOG: Final = logs.get("supervision")

Run = collections.abc.Callable[..., collections.abc.Awaitable[None]]


async def spawn(
    name: str,
    run: Run,
    *args: typing.Any,
    metrics: exposition.MetricRegistry | None = None,
) -> typing.Any:
    """Start a task that is started again whenever it fails."""
    return await curio.spawn(
        keep_running, name, run, args, metrics, daemon=True
    )


async def keep_running(
    name: str,
    run: Run,
    args: tuple[typing.Any, ...],
    metrics: exposition.MetricRegistry | None = None,
) -> None:
    """Run a task until it returns or is cancelled."""
    pauses = backoff.Backoff(
        random.Random(), FIRST_PAUSE_SECONDS, MAX_PAUSE_SECONDS
    )
    while True:
        started_at = clock.monotonic()
        try:
            await run(*args)
            return
        except Exception as error:
            if clock.monotonic() - started_at >= RECOVERED_SECONDS:
                pauses.reset()
            if metrics is not None:
                metrics.count("task_failures", name)
            LOG.exception("task_failed", task=name, reason=str(error))
        await curio.sleep(pauses.next_seconds())
