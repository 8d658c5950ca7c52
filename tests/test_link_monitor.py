"""Test when a daemon concludes that it has lost its links."""

import hypothesis
from hypothesis import strategies

from sycamoredale import clock
from sycamoredale.http import messages
from sycamoredale.links import monitor
from sycamoredale import loop_delays

ENDPOINTS = 8
START = clock.MonotonicTime(1000.0)
ADDRESSES = [messages.Address("10.0.0.1", n) for n in range(ENDPOINTS)]


def _monitor(endpoints=ENDPOINTS):
    return monitor.LinkMonitor(lambda: endpoints)


def _isolated():
    links = _monitor()
    for address in ADDRESSES[: monitor.MIN_CONTRADICTED]:
        links.record_contradiction(address, START)
    return links


def test_daemon_is_isolated_if_peers_reach_what_it_does_not():
    links = _monitor()
    *few, last = ADDRESSES[: monitor.MIN_CONTRADICTED]
    for address in few * 3:
        links.record_failed()
        links.record_contradiction(address, START)
        assert not links.is_isolated
    links.record_contradiction(last, START)
    assert links.is_isolated


def test_small_site_has_fewer_endpoints_to_compare():
    links = _monitor(endpoints=1)
    links.record_contradiction(ADDRESSES[0], START)
    assert links.is_isolated
    links.record_opened(ADDRESSES[0], START)
    assert not links.is_isolated


def test_contradictions_expire():
    links = _monitor()
    for number, address in enumerate(ADDRESSES):
        links.record_contradiction(address, START + 0.6 * number)
    assert not links.is_isolated


def test_one_connection_does_not_end_the_isolation():
    links = _isolated()
    for _ in range(5):
        links.record_opened(ADDRESSES[0], START + 1)
    links.record_failed()
    links.record_opened(ADDRESSES[1], START + 2)
    assert links.is_isolated
    links.record_opened(ADDRESSES[0], START + 2)
    assert not links.is_isolated


def test_open_connections_may_live_on_while_new_ones_are_refused():
    links = _isolated()
    links.record_heard(START + 1)
    assert not links.is_silent(START + 1.1)
    assert links.is_silent(START + 2)


# Guards against LOST: an isolated daemon that was suspended ended requests on
# connections whose answers waited in its sockets.
def test_own_delay_is_no_silence_of_the_links():
    links = _isolated()
    links.delays = loop_delays.LoopDelays()
    links.record_heard(START + 1)
    links.delays.record(START + 1.1, START + 3.1)
    assert not links.is_silent(START + 3.2)
    assert links.is_silent(START + 3.6)


def test_step_that_still_runs_is_no_silence_of_the_links():
    links = _isolated()
    links.delays = loop_delays.LoopDelays(step_began_at=START + 1.1)
    links.record_heard(START + 1)
    assert not links.is_silent(START + 2)


# Guards against a daemon that takes lost endpoints for a fault of its own: as
# long as it opens connections itself, it is not isolated.
@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from(range(ENDPOINTS)), strategies.booleans()
        ),
        max_size=60,
    )
)
def test_daemon_that_opens_connections_is_never_isolated_for_long(steps):
    links = _monitor()
    failed = set()
    for number, (endpoint, works) in enumerate(steps):
        now = clock.MonotonicTime(START + 0.1 * number)
        address = ADDRESSES[endpoint]
        if works:
            links.record_opened(address, now)
            failed.clear()
        else:
            links.record_failed()
            links.record_contradiction(address, now)
            failed.add(address)
        if len(failed) >= monitor.MIN_CONTRADICTED:
            break
        assert not links.is_isolated
