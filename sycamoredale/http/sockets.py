"""Operate on curio sockets without blocking.

curio switches to another task only when a socket has to wait.  A loop over a
socket that always has data would run until the other side ends it, so
`receive` gives way before each piece.
"""

import errno
import fcntl
import functools
import socket
import struct
import termios
import typing
from typing import Final

import curio
import curio.io
import curio.traps

# A connection whose peer no longer responds fails after about three seconds of
# keep-alive probes by the kernel.
KEEP_ALIVE_IDLE_SECONDS: Final = 1
KEEP_ALIVE_INTERVAL_SECONDS: Final = 1
KEEP_ALIVE_PROBES: Final = 2
# Bounds how long the bytes of one piece are parsed before others get a turn.
RECEIVE_BYTES: Final = 16384
# A burst of connections does not wait for a turn of the loop for each.
ACCEPTED_AT_ONCE: Final = 64
# An answer outside of streams is read as it arrives; streams need far less.
MAX_UNREAD_BYTES: Final = 131072
# Up to this size a copy is cheaper than another system call.
MAX_JOINED_BYTES: Final = 65536


@functools.singledispatch
async def receive(sock: typing.Any) -> bytes:
    """Return the next bytes, none at the end; raise OSError."""
    _check_open(sock)
    # Also saves a receive call that would return no data: the other side
    # mostly has not written yet.
    await curio.traps._read_wait(sock._fileno)
    data: bytes = await sock.recv(RECEIVE_BYTES)
    return data


async def send_all(sock: typing.Any, head: bytes, body: bytes) -> None:
    """Send both, without a copy of a large body; raise OSError.

    A copy would live for as long as the other side is slow to read.
    """
    if len(body) > MAX_JOINED_BYTES:
        await sock.sendall(head)
        await sock.sendall(body)
    else:
        await sock.sendall(head + body)


async def receive_datagram(
    sock: typing.Any, max_bytes: int
) -> tuple[bytes, typing.Any]:
    """Return the next datagram and its sender; raise OSError."""
    _check_open(sock)
    await curio.traps._read_wait(sock._fileno)
    received: tuple[bytes, typing.Any] = await sock.recvfrom(max_bytes)
    return received


async def accept(sock: typing.Any) -> list[typing.Any]:
    """Return the sockets of the next connections; raise OSError."""
    _check_open(sock)
    await curio.traps._read_wait(sock._fileno)
    return accept_waiting(sock, ACCEPTED_AT_ONCE)


def accept_waiting(sock: typing.Any, max_count: int) -> list[typing.Any]:
    """Return the sockets of connections that wait already.

    Raises OSError if the first of them cannot be accepted.
    """
    accepted: list[typing.Any] = []
    while len(accepted) < max_count:
        try:
            connection, _ = sock._socket.accept()
        except BlockingIOError:
            break
        except OSError:
            if accepted:
                break
            raise
        accepted.append(curio.io.Socket(connection))
    return accepted


def _check_open(sock: typing.Any) -> None:
    # curio's kernel, and so the process, ends if it waits for a closed socket.
    if sock._socket is None or sock._socket.fileno() < 0:
        raise OSError(errno.EBADF, "the socket is closed")


async def give_way() -> None:
    """Let all other tasks that are ready run first."""
    await curio.sleep(0)


def keep_alive(sock: typing.Any) -> None:
    """Enable keep-alive probes of the kernel on idle connections."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    options = (
        (socket.TCP_KEEPIDLE, KEEP_ALIVE_IDLE_SECONDS),
        (socket.TCP_KEEPINTVL, KEEP_ALIVE_INTERVAL_SECONDS),
        (socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES),
    )
    for option, value in options:
        sock.setsockopt(socket.IPPROTO_TCP, option, value)


def limit_unread_bytes(sock: typing.Any) -> None:
    """Limit what the kernel keeps of a connection that nobody reads."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, MAX_UNREAD_BYTES)


def shut_down(sock: typing.Any, how: int) -> None:
    """Shut down one or both directions of a curio socket.

    Unlike curio's method this is no coroutine, so code that cannot await can
    call it.  A closed socket is left unchanged.
    """
    if sock.fileno() < 0:
        return
    try:
        sock._socket.shutdown(how)
    except OSError:
        pass


def has_nothing_to_read(sock: typing.Any) -> bool:
    """Return whether a socket is open and has no data to read."""
    if sock.fileno() < 0:
        return False
    try:
        sock._socket.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False


def unread_bytes(sock: typing.Any) -> int | None:
    """Return how much an open connection has received, None if it ended."""
    try:
        _check_open(sock)
    except OSError:
        return None
    size = fcntl.ioctl(sock._socket, termios.FIONREAD, struct.pack("i", 0))
    count: int = struct.unpack("i", size)[0]
    if count or has_nothing_to_read(sock):
        return count
    return None
