"""Test takeovers of streams at the limits of runs, sends and sockets."""

import dataclasses

import curio
import pytest

from sycamoredale import clock
from sycamoredale import errors
from sycamoredale.forwarding import progress as progress_module
from sycamoredale.forwarding import takeover as takeover_module
from sycamoredale.http import held_bytes
from tests import test_forwarder
from tests import test_silent_endpoints
from tests import test_stream_takeovers

HUNG_SECONDS = test_silent_endpoints.HUNG_SECONDS


# Guards against LOST: an event arrived in the moment at which another endpoint
# was asked, and no other one was ever asked again.
def test_takeover_that_was_dropped_before_it_ran_is_sought_again():
    asked = []

    async def begin_elsewhere():
        asked.append(clock.monotonic())

    async def close(send):
        raise AssertionError(send)

    async def main():
        takeover = takeover_module.Takeover(
            lambda: True, begin_elsewhere, close
        )
        await takeover.seek(clock.monotonic())
        await takeover.drop()
        was_active = takeover.is_active
        asked.clear()
        await takeover.seek(clock.monotonic())
        await curio.sleep(0.05)
        return was_active

    assert curio.run(main) is False
    assert len(asked) == 1


# Guards against BUDGET: a daemon without descriptors used the retry budget up
# for sends that it never began.
def test_takeovers_without_a_socket_spend_no_retries():
    site = test_stream_takeovers._site(
        test_forwarder.Endpoint("i1"), seconds=1.6
    )
    site.forwarder.limit_connections(1)
    caller, refusal = site.run()
    test_stream_takeovers._assert_whole(caller, refusal)
    service = site.call().service.name
    usage = site.forwarder.budget.usage(service, clock.monotonic())
    assert usage.retries <= progress_module.MAX_SENDS - 1


# Guards against LOST: one late event of a hung endpoint ended the takeover,
# which had used up the last run of the route.
def test_stream_goes_on_elsewhere_after_one_late_event():
    hung = test_silent_endpoints.PausingEndpoint(
        "i0", (0.15, 0.65), (0.85, HUNG_SECONDS)
    )
    other = test_stream_takeovers.SlowStart("i1", 0.5)
    site = test_forwarder.Site(hung, other, seconds=5.0)
    assert site.call().route.max_runs == 2
    _assert_whole_while_others_work(site)


# Guards against LOST: rejections while an endpoint was silent used up all
# sends, so that none was left when its connection broke seconds later.
def test_rejections_during_a_silence_leave_a_send_for_a_break():
    breaking = BreakingEndpoint("i0", (0.15, 1.5))
    others = [RecoveringEndpoint(f"i{n}", 1.2) for n in range(1, 7)]
    site = test_forwarder.Site(breaking, *others, seconds=5.0)
    _assert_whole_while_others_work(site)


def _begin_at_first_endpoint(site):
    """Select the first endpoint first; the selection draws at random."""
    selector = site.forwarder.selector
    select = selector.select
    first = [next(iter(site.endpoint_table.by_id.values()))]
    selector.select = lambda *arguments: (
        first.pop() if first else select(*arguments)
    )


def _assert_whole_while_others_work(site, working=None):
    _begin_at_first_endpoint(site)
    caller = test_forwarder.Caller()
    progress = progress_module.begin(site.call())

    if working is None:
        working = list(site.endpoint_table.by_id.values())[1:]

    async def work_elsewhere():
        while True:
            for endpoint in working:
                endpoint.record_progress(clock.monotonic())
            await curio.sleep(0.05)

    async def main():
        for item in site.servers:
            await item.server.start()
        await curio.spawn(work_elsewhere, daemon=True)
        try:
            await site.forwarder.run(progress, caller)
        except errors.Refusal as refusal:
            return refusal
        return None

    refusal = curio.run(main)
    assert (refusal, progress.sends) == (None, progress.sends)
    test_stream_takeovers._assert_whole(caller, refusal)
    return progress


class BreakingEndpoint(test_silent_endpoints.PausingEndpoint):
    """Break off two events after a pause."""

    def __init__(self, name, *spans):
        super().__init__(name, *spans)
        self.fault, self.fail_at = "cut", 4


class RecoveringEndpoint(test_forwarder.Endpoint):
    """Reject requests as full for some seconds."""

    def __init__(self, name, seconds):
        super().__init__(name, "refuses")
        self.ends_at = clock.monotonic() + seconds

    async def _handle(self, exchange):
        if clock.monotonic() > self.ends_at:
            self.fault = None
        await super()._handle(exchange)


# Guards against BUDGET: an error inside a takeover was not counted as a run.
def test_run_whose_takeover_failed_inside_the_daemon_counts():
    hung = test_silent_endpoints._pausing("i0", 1.3)
    others = [test_forwarder.Endpoint(f"i{n}") for n in (1, 2)]
    site = test_forwarder.Site(hung, *others, seconds=5.0)

    async def fail(*arguments):
        await curio.sleep(0.1)
        raise RuntimeError("an internal error")

    relay = site.forwarder._answer_relay
    object.__setattr__(relay, "begin_elsewhere", fail)
    progress = _assert_whole_while_others_work(site)
    assert progress.open_count == 0
    assert progress.run_count == sum(len(e.requests) for e in site.servers)


# Guards against LOST: the endpoint that was to take a stream over was given
# up, as the silent one itself counted as another endpoint that works.
def test_takeover_is_not_given_up_for_the_endpoint_that_it_replaces():
    hung = test_silent_endpoints._pausing("i0", HUNG_SECONDS)
    other = test_stream_takeovers.SlowStart("i1", 0.8)
    site = test_forwarder.Site(hung, other, seconds=6.0)
    stream_call = site.call

    def call_of_four_runs():
        call = stream_call()
        route = dataclasses.replace(call.route, max_runs=4)
        return dataclasses.replace(call, route=route)

    site.call = call_of_four_runs
    table = site.endpoint_table.by_id
    table["i1"].set_peer_load(0.0, clock.monotonic())
    _assert_whole_while_others_work(site, [table["i0"]])


# Guards against LOST: a stream that may not run again was ended since this
# daemon held much for others, though its endpoint went on.
def test_stream_is_whole_though_others_hold_much():
    held = held_bytes.HeldBytes(20_000)
    site = test_forwarder.Site(
        LongEvents("i0"), may_retry=False, seconds=5.0, held=held
    )
    reservation = held.reserve()
    assert reservation.resize(15_000)
    caller, refusal = site.run()
    assert refusal is None
    assert caller.finished


class LongEvents(test_forwarder.Endpoint):
    """Send each event of 10 kB in two parts."""

    async def _handle(self, exchange):
        write = exchange.write

        async def write_in_parts(data):
            await write(data[:-2] + b"x" * 10_000)
            await curio.sleep(0.05)
            await write(b"\n\n")

        exchange.write = write_in_parts
        await super()._handle(exchange)


# The other side: nothing is left behind whenever a caller leaves.
@pytest.mark.parametrize("after", [0.55, 0.61, 0.62, 0.65, 0.8, 1.0, 1.1, 1.2])
def test_nothing_is_left_after_a_deadline_at_any_moment(after):
    hung = test_silent_endpoints._pausing("i0", HUNG_SECONDS)
    other = test_stream_takeovers.SlowStart("i1", 0.4)
    site = test_forwarder.Site(hung, other, seconds=after)
    caller = test_forwarder.Caller()
    progress = progress_module.begin(site.call())

    async def main():
        for item in site.servers:
            await item.server.start()
        table = site.endpoint_table.by_id
        table["i1"].set_peer_load(0.0, clock.monotonic())
        try:
            await site.forwarder.run(progress, caller)
        except errors.Refusal:
            pass
        idle = len(site.forwarder._pool._idle)
        return (
            [e.in_flight for e in table.values()],
            [e.deferred for e in table.values()],
            site.forwarder.connection_count() - idle,
            site.forwarder.held_answers.total,
            progress.open_count,
        )

    in_flight, deferred, in_use, held, open_count = curio.run(main)
    assert (in_flight, deferred, in_use, held) == ([0, 0], [0, 0], 0, 0)
    # The first send has no outcome if the deadline ends it.
    assert open_count <= 1
