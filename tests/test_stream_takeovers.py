"""Test that a stream keeps its endpoint until another has taken it over.

The endpoint is sound and falls silent for a while.  Each other endpoint may
refuse or fail meanwhile.
"""

import curio
import pytest

from sycamoredale import clock
from sycamoredale import errors
from sycamoredale.forwarding import progress as progress_module
from sycamoredale.http import caller_disconnect
from tests import test_forwarder
from tests import test_silent_endpoints

HUNG_SECONDS = test_silent_endpoints.HUNG_SECONDS


class SlowStart(test_forwarder.Endpoint):
    """Send the first event late, and record how its requests end."""

    def __init__(self, name, seconds):
        super().__init__(name)
        self.seconds = seconds
        self.left = 0

    async def _handle(self, exchange):
        write = exchange.write

        async def write_late(data):
            write_now, exchange.write = write, write
            await curio.sleep(self.seconds)
            await write_now(data)

        exchange.write = write_late
        try:
            await super()._handle(exchange)
        except caller_disconnect.CallerDisconnected:
            self.left += 1
            raise


def _assert_whole(caller, refusal):
    assert refusal is None
    assert caller.finished
    assert caller.body == test_forwarder.COMPLETE


def _site(other, *others, **options):
    pausing = test_silent_endpoints._pausing("i0", **options)
    return test_forwarder.Site(pausing, other, *others)


# Guards against LOST: a stream left its endpoint, all others rejected it as
# full, and the events that its endpoint sent then were lost.
@pytest.mark.parametrize("count", [1, 3, 6])
def test_stream_is_whole_though_other_endpoints_are_full(count):
    others = [
        test_forwarder.Endpoint(f"i{n + 1}", "refuses") for n in range(count)
    ]
    site = _site(*others)
    _assert_whole(*site.run())


# Guards against LOST: the same where connections to the others are reset.
def test_stream_is_whole_though_connections_elsewhere_are_reset():
    _assert_whole(*_site(test_forwarder.FullEndpoint("i1")).run())


# Guards against BUDGET: connections that fail used up the retries of others.
def test_endpoint_that_is_not_reached_uses_no_retry():
    site = _site(test_forwarder.FullEndpoint("i1"))
    _assert_whole(*site.run())
    service = site.call().service.name
    usage = site.forwarder.budget.usage(service, clock.monotonic())
    assert usage.retries == 0


# Guards against LOST: the same where the other endpoint breaks off.
@pytest.mark.parametrize("fault", ["cut", "error", "other"])
def test_stream_is_whole_though_another_endpoint_fails(fault):
    _assert_whole(*_site(test_forwarder.Endpoint("i1", fault)).run())


# Guards against LOST: streams that leave in one moment used the budget up.
def test_streams_that_leave_together_are_whole_on_a_small_budget():
    others = [test_forwarder.Endpoint(f"i{n}", "refuses") for n in (1, 2, 3)]
    site = _site(*others)
    # 0.8 of the burst is used, and 0.2 for each request.
    site.forwarder.budget.burst = 1.5

    async def work_elsewhere():
        # All streams begin at the first endpoint.
        while True:
            now = clock.monotonic()
            for name in ("i1", "i2", "i3"):
                endpoint = site.endpoint_table.by_id[name]
                endpoint.set_peer_load(100.0, now)
                endpoint.record_progress(now)
            await curio.sleep(0.05)

    async def main():
        for item in site.servers:
            await item.server.start()
        await curio.spawn(work_elsewhere, daemon=True)
        await curio.sleep(0.01)
        async with curio.TaskGroup() as group:
            callers = [test_forwarder.Caller() for _ in range(4)]
            for caller in callers:
                progress = progress_module.begin(site.call())
                await group.spawn(site.forwarder.run, progress, caller)
        return callers

    for caller in curio.run(main):
        assert caller.body == test_forwarder.COMPLETE
        assert caller.finished


# Guards against LOST: the endpoint that took over was silent, while the one
# that had been left went on.
def test_stream_goes_on_with_whichever_endpoint_sends_first():
    other = test_forwarder.Endpoint("i1", "silent")
    site = _site(other, seconds=0.9)
    began = clock.monotonic()
    _assert_whole(*site.run())
    assert clock.monotonic() - began < 2.0
    assert len(other.requests) == 1


def test_stream_goes_on_elsewhere_if_its_endpoint_stays_silent():
    other = SlowStart("i1", 0.3)
    site = _site(other, seconds=HUNG_SECONDS)
    began = clock.monotonic()
    _assert_whole(*site.run())
    assert clock.monotonic() - began < 2.0
    assert other.requests[0].headers.get("Last-Event-Id") == "2"


# The other side of two runs at once, GONE and BUDGET.
def test_endpoint_that_did_not_take_over_is_left():
    other = SlowStart("i1", 2.0)
    site = _site(other, seconds=0.9)
    caller = test_forwarder.Caller()

    async def main():
        for item in site.servers:
            await item.server.start()
        progress = progress_module.begin(site.call())
        await site.forwarder.run(progress, caller)
        table = site.endpoint_table.by_id.values()
        return progress, [endpoint.in_flight for endpoint in table]

    progress, in_flight = curio.run(main)
    _assert_whole(caller, None)
    assert in_flight == [0, 0]
    assert progress.run_count == 2


def test_caller_who_leaves_ends_both_runs():
    other = SlowStart("i1", 30.0)
    site = _site(other, seconds=HUNG_SECONDS)

    async def main():
        for item in site.servers:
            await item.server.start()
        caller = test_forwarder.Caller()
        left = curio.Event()
        caller.wait_for_disconnect = left.wait
        progress = progress_module.begin(site.call())
        running = await curio.spawn(site.forwarder.run, progress, caller)
        while not other.requests:
            await curio.sleep(0.02)
        await left.set()
        with pytest.raises(curio.TaskError):
            await running.join()
        table = site.endpoint_table.by_id.values()
        return [endpoint.in_flight for endpoint in table]

    assert curio.run(main) == [0, 0]


def test_runs_at_once_stay_within_the_attempts_of_the_route():
    hung = [
        test_silent_endpoints._pausing(f"i{n}", HUNG_SECONDS) for n in range(4)
    ]
    site = test_forwarder.Site(*hung, seconds=4.0)
    _, refusal = site.run()
    assert isinstance(refusal, errors.Refusal)
    runs = sum(len(endpoint.requests) for endpoint in hung)
    assert runs == site.call().route.max_runs
