"""Test updates of peers that wait in the socket of a delayed daemon."""

import socket
import time

import curio

from sycamoredale.forwarding import endpoints
from sycamoredale.forwarding import instance_table
from sycamoredale.forwarding import kind_updates
from sycamoredale.forwarding import peer_updates
from sycamoredale.forwarding import update_exchange
from sycamoredale.http import messages
from sycamoredale import ids
from sycamoredale import loop_delays
from tests import instance_fixtures
from tests import update_fixtures

DELAY_SECONDS = 0.6
AGE_MS = 10


def _free_address():
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind(("127.0.0.1", 0))
        return messages.Address(*sock.getsockname())


def _ages_of(delay_seconds, count=3):
    """Return the ages of updates that arrive while the loop is held up."""
    ages = []
    delays = loop_delays.LoopDelays()
    exchange = update_exchange.PeerUpdateExchange(
        ids.DaemonId("d1"),
        endpoints.EndpointTable(
            instance_table.InstanceTable(),
            lambda: instance_fixtures.SERVICES,
            lambda: frozenset(),
        ),
        update_fixtures.selector("d1"),
        on_kind_update=lambda update, now: ages.append(update.age_ms),
    )
    exchange.delays = delays
    address = _free_address()
    update = peer_updates.PeerUpdate(
        ids.DaemonId("d2"),
        [],
        kinds=[kind_updates.KindUpdate("servers", 5, AGE_MS)],
    )

    async def main():
        await curio.spawn(exchange.run, address, daemon=True)
        await curio.sleep(0.1)
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            for _ in range(count):
                sock.sendto(
                    peer_updates.encode(update), (address.host, address.port)
                )
            time.sleep(delay_seconds)
            await curio.sleep(0.1)
            sock.sendto(
                peer_updates.encode(update), (address.host, address.port)
            )
            await curio.sleep(0.1)

    curio.run(main, selector=loop_delays.DelayRecordingSelector(delays))
    return ages


# Guards against an evacuation or a removal that takes force late: a daemon
# that was suspended took old updates of its peers for new ones.
def test_update_that_waited_during_an_own_delay_is_no_newer_than_it_is():
    *waited, last = _ages_of(DELAY_SECONDS)
    assert len(waited) == 3
    assert min(waited) >= AGE_MS + 1000 * DELAY_SECONDS
    assert last == AGE_MS


def test_update_keeps_its_age_without_a_delay():
    assert _ages_of(0.0) == [AGE_MS] * 4
