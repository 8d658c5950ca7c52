"""Report when the event loop of a daemon was held up.

While one task runs, no other request is answered, no lease is renewed and no
signal is handled.  The processor time that the process used meanwhile tells a
loop that was held up by its own work from a machine that was suspended.
"""

import time
from typing import Final

import curio

from sycamoredale import clock
from sycamoredale.observability import exposition
from sycamoredale.observability import logs

CHECK_SECONDS: Final = 0.25
# Callers wait for a first token for a second or so.
REPORTED_DELAY_SECONDS: Final = 0.25
LOG: Final = logs.get("loop_monitor")


async def run(metrics: exposition.MetricRegistry) -> None:
    """Measure how late a sleeping task is woken, and log long delays."""
    while True:
        began, cpu_began = clock.monotonic(), time.process_time()
        await curio.sleep(CHECK_SECONDS)
        record_delay(
            clock.monotonic() - began - CHECK_SECONDS,
            time.process_time() - cpu_began,
            metrics,
        )


def record_delay(
    delay_seconds: float,
    cpu_seconds: float,
    metrics: exposition.MetricRegistry,
) -> None:
    """Record a wake-up; `cpu_seconds` were used by the process until it."""
    metrics.set_gauge("loop_delay_seconds", "last", delay_seconds)
    if delay_seconds < REPORTED_DELAY_SECONDS:
        return
    kind = "busy" if cpu_seconds > delay_seconds / 2 else "suspended"
    metrics.count("loop_delays", kind)
    LOG.warning(
        "event_loop_delayed",
        kind=kind,
        ms=int(1000 * delay_seconds),
        cpu_ms=int(1000 * cpu_seconds),
    )
