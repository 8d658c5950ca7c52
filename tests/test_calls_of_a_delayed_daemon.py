"""Test calls of which the answer arrives while the daemon cannot run."""

import threading
import time

import curio
import pytest

from sycamoredale import errors
from sycamoredale.http import client
from sycamoredale.http import messages
from sycamoredale.http import server
from sycamoredale import loop_delays
from sycamoredale.object_api import objects

TIMEOUT_SECONDS = 0.4
DELAY_SECONDS = 0.8
# More than one read of a socket returns.
BODY = b'{"version": 7, "objects": []}' + b" " * 60_000


def _serve(address, ready, ended, part_seconds):
    async def answer(exchange):
        await curio.sleep(0.1)
        body = messages.Headers((("Content-Type", "text/plain"),))
        if part_seconds:
            await curio.sleep(part_seconds)
        await exchange.respond(messages.Response(200, body, BODY))

    async def main():
        listening = server.Server(answer)
        address.append(listening.bind(messages.Address("127.0.0.1", 0)))
        await listening.start()
        ready.set()
        while not ended.is_set():
            await curio.sleep(0.02)

    curio.run(main)


async def _get(address, delays):
    pool = client.Pool(delays=delays)
    request = messages.Request("GET", "/")
    return await pool.call(address, request, TIMEOUT_SECONDS)


async def _list(address, delays):
    store = objects.ObjectStore(
        address, client.Pool(delays=delays), delays=delays
    )
    limits = objects.CallLimits(answer_seconds=TIMEOUT_SECONDS)
    return await store.list("servers", limits)


def _call(call, answer_seconds):
    """Call while another task holds the event loop up."""
    address, ready, ended = [], threading.Event(), threading.Event()
    thread = threading.Thread(
        target=_serve, args=(address, ready, ended, answer_seconds)
    )
    thread.start()
    assert ready.wait(10)
    delays = loop_delays.LoopDelays()

    async def hold_up():
        await curio.sleep(0.05)
        time.sleep(DELAY_SECONDS)

    async def main():
        await curio.spawn(hold_up, daemon=True)
        return await call(address[0], delays)

    try:
        return curio.run(
            main, selector=loop_delays.DelayRecordingSelector(delays)
        )
    finally:
        ended.set()
        thread.join()


# Guards against lists of the store that count as failed, and so the store as
# away, though they arrived while the daemon could not run.
def test_answer_that_arrived_during_an_own_delay_is_read():
    assert _call(_get, 0.0).body == BODY


# Guards against the same for reads of which connecting counts as well.
def test_list_that_arrived_during_an_own_delay_is_read():
    assert _call(_list, 0.0).version == 7


@pytest.mark.parametrize(
    "call, error",
    [(_get, errors.ConnectionBroken), (_list, errors.StoreUnavailable)],
)
def test_call_ends_though_the_daemon_was_delayed(call, error):
    with pytest.raises(error):
        _call(call, DELAY_SECONDS + 3 * TIMEOUT_SECONDS)
