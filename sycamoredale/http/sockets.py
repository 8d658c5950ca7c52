"""Operate on curio sockets without blocking."""

import socket
import typing
from typing import Final

# A connection whose peer no longer responds fails after about three seconds of
# keep-alive probes by the kernel.
KEEP_ALIVE_IDLE_SECONDS: Final = 1
KEEP_ALIVE_INTERVAL_SECONDS: Final = 1
KEEP_ALIVE_PROBES: Final = 2


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


def shut_down(sock: typing.Any, how: int) -> None:
    """Shut down one or both directions of a curio socket.

    Unlike curio's method this is no coroutine, so code that cannot await can
    call it.  A closed socket is left unchanged.
    """
    try:
        sock._socket.shutdown(how)
    except OSError:
        pass


def has_nothing_to_read(sock: typing.Any) -> bool:
    """Return whether a socket is open and has no data to read."""
    try:
        sock._socket.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False
