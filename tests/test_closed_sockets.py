"""Test that the use of a closed socket is an error of its user alone.

curio's kernel ends, and the process with it, if a task waits for a closed
socket.
"""

import socket

import curio
import curio.io
import pytest

from sycamoredale.http import client
from sycamoredale.http import messages
from sycamoredale.http import sockets


async def _closed_socket():
    own, other = socket.socketpair()
    other.close()
    sock = curio.io.Socket(own)
    await sock.close()
    return sock


async def _receive_datagram(sock):
    await sockets.receive_datagram(sock, 100)


# Guards against the end of the whole process: the kernel waited for
# descriptor -1 and raised ValueError.
@pytest.mark.parametrize(
    "read", [sockets.receive, sockets.accept, _receive_datagram]
)
def test_read_of_a_closed_socket_raises_oserror(read):
    async def main():
        with pytest.raises(OSError):
            await read(await _closed_socket())

    curio.run(main)


# A probe may find that an exchange is to be aborted that has just ended.
def test_abort_of_a_closed_connection_changes_nothing():
    async def main():
        address = messages.Address("127.0.0.1", 1)
        connection = client.Connection(address, await _closed_socket())
        connection.abort()
        return connection.is_usable()

    assert curio.run(main) is False
