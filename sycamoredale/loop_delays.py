"""Record when the event loop of a daemon could not run.

While the process is suspended, or one task runs for long, nothing is read.
What others send meanwhile waits in the sockets, so this time is no evidence
that they were silent.
"""

import collections
import collections.abc
import dataclasses
import selectors
import typing
from typing import Final

import curio

from sycamoredale import clock

# Shorter steps of the loop are ordinary.
MIN_DELAY_SECONDS: Final = 0.05
# Longer than any timeout that is judged by what was received.
KEPT_SECONDS: Final = 30.0
_T = typing.TypeVar("_T")


@dataclasses.dataclass
class LoopDelays:
    """Record the spans of time in which the loop did not read.

    `step_began_at` is when the tasks that run now were last woken, None
    while the loop waits or if nothing measures it.
    """

    step_began_at: clock.MonotonicTime | None = None
    _spans: collections.deque[
        tuple[clock.MonotonicTime, clock.MonotonicTime]
    ] = dataclasses.field(default_factory=collections.deque)

    def record(
        self, began: clock.MonotonicTime, ended: clock.MonotonicTime
    ) -> bool:
        """Record a span, unless it is short; return whether it was long."""
        if ended - began < MIN_DELAY_SECONDS:
            return False
        while self._spans and self._spans[0][1] < ended - KEPT_SECONDS:
            self._spans.popleft()
        self._spans.append((began, ended))
        return True

    def seconds_between(
        self, since: clock.MonotonicTime, now: clock.MonotonicTime
    ) -> float:
        """Return for how long the loop did not read since some time."""
        total = sum(
            max(0.0, min(ended, now) - max(began, since))
            for began, ended in self._spans
            if ended > since
        )
        step = self.step_began_at
        if step is not None and now - step >= MIN_DELAY_SECONDS:
            total += max(0.0, now - max(step, since))
        return total

    def attentive_seconds(
        self, since: clock.MonotonicTime, now: clock.MonotonicTime
    ) -> float:
        """Return how long others had to be heard since some time."""
        return now - since - self.seconds_between(since, now)

    async def within(
        self,
        seconds: float,
        work: collections.abc.Coroutine[typing.Any, typing.Any, _T],
    ) -> _T:
        """Return the result of `work`, which reads what others send.

        Raises TaskTimeout if it did not arrive in the seconds in which the
        loop could read.
        """
        began = clock.monotonic()
        left = seconds
        failures: list[Exception] = []

        async def run() -> _T | None:
            # curio logs a task that ends with an exception as crashed.
            try:
                return await work
            except Exception as error:
                failures.append(error)
                return None

        task = await curio.spawn(run, daemon=True)
        try:
            while not task.terminated:
                try:
                    async with curio.timeout_after(left):
                        await task.wait()
                except curio.TaskTimeout:
                    now = clock.monotonic()
                    left = seconds - self.attentive_seconds(began, now)
                    if left <= 0 and not task.terminated:
                        raise
        finally:
            if not task.terminated:
                await task.cancel()
        if failures:
            raise failures[0]
        result: _T = task.result
        return result


class DelayRecordingSelector(selectors.DefaultSelector):
    """Wait for events of sockets, and record how late the wait ends.

    What has arrived by then is seen before any timeout.
    """

    def __init__(self, delays: LoopDelays) -> None:
        """Record in `delays`."""
        super().__init__()
        self._delays: Final = delays

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Return the sockets that are ready."""
        began = clock.monotonic()
        if self._delays.step_began_at is not None:
            self._delays.record(self._delays.step_began_at, began)
        self._delays.step_began_at = None
        events = super().select(timeout)
        now = clock.monotonic()
        if timeout is not None:
            due = clock.MonotonicTime(began + max(0.0, timeout))
            if self._delays.record(due, now) and not events:
                # A wait that a suspension interrupts ends without a look at
                # the sockets once its time is over.
                events = super().select(0)
        self._delays.step_began_at = now
        return events
