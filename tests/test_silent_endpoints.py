"""Test streams at endpoints that fall silent for a second and go on.

Such an endpoint is sound.  Its stream moves to another one that works, and
waits where there is none.
"""

import random

import curio
import pytest

from sycamoredale import clock
from sycamoredale.forwarding import progress as progress_module
from tests import test_forwarder

PAUSE_SECONDS = 1.2
HUNG_SECONDS = 30.0


class PausingEndpoint(test_forwarder.Endpoint):
    """Send no event within some spans of time after the start."""

    event_seconds = 0.1

    def __init__(self, name, *spans):
        """Pause in each span, given by its start and its length."""
        super().__init__(name)
        self.spans = spans
        self.began = None

    async def _handle(self, exchange):
        self.began = self.began or clock.monotonic()
        write = exchange.write

        async def write_unless_silent(data):
            await self._wait()
            await write(data)

        exchange.write = write_unless_silent
        await super()._handle(exchange)

    async def _wait(self):
        at = clock.monotonic() - self.began
        for start, seconds in self.spans:
            if start <= at < start + seconds:
                await curio.sleep(start + seconds - at)


def _pausing(name, seconds=PAUSE_SECONDS):
    return PausingEndpoint(name, (0.15, seconds))


def _assert_whole(caller, refusal):
    assert refusal is None
    assert caller.finished
    assert caller.body == test_forwarder.COMPLETE


# Guards against LOST: a stream that may not run again was cut off after half
# a second of silence, though its endpoint went on.
def test_stream_without_retries_waits_for_its_silent_endpoint():
    other = test_forwarder.Endpoint("i1")
    site = test_forwarder.Site(_pausing("i0"), other, may_retry=False)
    _assert_whole(*site.run())
    assert not other.requests


# Guards against LOST: streams that may be resumed used up their attempts at
# endpoints that all fell silent together.
@pytest.mark.parametrize("count", [1, 2, 4])
def test_resumable_stream_is_whole_though_all_endpoints_fall_silent(count):
    servers = [_pausing(f"i{n}") for n in range(count)]
    site = test_forwarder.Site(*servers)
    _assert_whole(*site.run())


def test_stream_of_an_empty_retry_budget_waits():
    other = test_forwarder.Endpoint("i1")
    site = test_forwarder.Site(_pausing("i0"), other)
    site.forwarder.budget.burst = 0.0
    _assert_whole(*site.run())
    assert not other.requests


def test_stream_waits_before_its_first_event_too():
    site = test_forwarder.Site(PausingEndpoint("i0", (0.0, PAUSE_SECONDS)))
    _assert_whole(*site.run())


# The other side: a group that has lost a member answers nothing for seconds,
# so its streams go on elsewhere in time.
def test_stream_leaves_a_silent_endpoint_for_one_that_works():
    other = test_forwarder.Endpoint("i1")
    site = test_forwarder.Site(_pausing("i0", HUNG_SECONDS), other)
    began = clock.monotonic()
    _assert_whole(*site.run())
    assert clock.monotonic() - began < 1.5
    assert len(other.requests) == 1


def test_waiting_stream_leaves_once_another_endpoint_works_again():
    site = test_forwarder.Site(
        _pausing("i0", HUNG_SECONDS), test_forwarder.Endpoint("i1")
    )
    other = site.endpoint_table.by_id["i1"]
    other.suspect(clock.monotonic(), 1.0)
    began = clock.monotonic()
    _assert_whole(*site.run())
    assert 1.0 < clock.monotonic() - began < 2.5


def test_stream_does_not_leave_for_an_endpoint_that_is_silent_too():
    site = test_forwarder.Site(_pausing("i0"), _pausing("i1"))
    call = site.call()
    now = clock.monotonic()
    other = site.endpoint_table.by_id["i1"]
    other.set_peer_load(3.0, now)
    other.record_progress(clock.MonotonicTime(now - 0.6))
    selector = site.forwarder.selector
    assert not selector.has_working_endpoint(call, {"i0"}, now)
    other.record_progress(clock.MonotonicTime(now - 0.2))
    assert selector.has_working_endpoint(call, {"i0"}, now)


# Draws silences, one after the other and together, at three endpoints that
# several streams use.
@pytest.mark.parametrize("seed", range(6))
def test_drawn_silences_cut_no_stream(seed):
    rng = random.Random(seed)
    servers = [
        PausingEndpoint(
            f"i{n}",
            *(
                (rng.uniform(0.0, 1.5), rng.uniform(0.3, 1.4))
                for _ in range(rng.randint(1, 2))
            ),
        )
        for n in range(3)
    ]
    site = test_forwarder.Site(*servers)
    callers = [test_forwarder.Caller() for _ in range(6)]

    async def ask(number):
        site.may_retry = bool(number % 2)
        call = site.call()
        await curio.sleep(0.2 * number)
        progress = progress_module.begin(call)
        await site.forwarder.run(progress, callers[number])

    async def main():
        for item in servers:
            await item.server.start()
        async with curio.TaskGroup() as group:
            for number in range(len(callers)):
                await group.spawn(ask, number)

    curio.run(main)
    assert [c.body for c in callers] == [test_forwarder.COMPLETE] * 6
    assert all(caller.finished for caller in callers)
