"""Measure the processor time of a connection that a peer relays.

A stream of small chunks is read over a connection to an endpoint, once
directly and once through a peer.  All parts run in one process, so the
difference is the cost of both daemons for the hop.
"""

import json
import time
import typing

import curio
import curio.socket

from sycamoredale import clock
from sycamoredale.http import chunked
from sycamoredale.http import client
from sycamoredale.http import messages
from sycamoredale.links import relay_protocol

CHUNKS: typing.Final = 4000
CHUNK: typing.Final = b"id: 1000\ndata: " + b"x" * 48 + b"\n\n"
PAUSE_SECONDS: typing.Final = 0.0002


def main() -> None:
    """Print the processor time for a chunk, direct and relayed."""
    for variant, relayed in (("direct", False), ("relayed", True)):
        seconds = curio.run(_measure, relayed)
        facts = {
            "measure": "links.cpu_per_chunk",
            "value": round(seconds / CHUNKS * 1e6, 1),
            "unit": "us",
            "variant": variant,
        }
        print(json.dumps(facts))


async def _measure(relayed: bool) -> float:
    """Return the processor time of one stream, in seconds."""
    endpoint, far_endpoint = curio.socket.socketpair()
    near: typing.Any = endpoint
    if relayed:
        own, caller = curio.socket.socketpair()
        near = relay_protocol.RelayedSocket(own)
        relay = relay_protocol.Relay(caller, endpoint, clock.monotonic())
        await curio.spawn(relay.run, daemon=True)
    connection = client.Connection(messages.Address("127.0.0.1", 1), near)
    await connection.send(messages.Request("GET", "/"))
    writer = await curio.spawn(_write, far_endpoint)
    began = time.process_time()
    await connection.read_head()
    while await connection.read_chunk():
        pass
    took = time.process_time() - began
    await writer.join()
    return took


async def _write(sock: typing.Any) -> None:
    await sock.sendall(
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
    for _ in range(CHUNKS):
        await sock.sendall(chunked.encode_chunk(CHUNK))
        await curio.sleep(PAUSE_SECONDS)
    await sock.sendall(relay_protocol.LAST_CHUNK)


if __name__ == "__main__":
    main()
