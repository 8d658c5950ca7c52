"""Act on sockets without a wait."""

import socket
import typing
from typing import Final

# A connection whose other end has gone silent for good fails after about
# three seconds of the kernel's own probes.
KEEP_ALIVE_IDLE_SECONDS: Final = 1
KEEP_ALIVE_INTERVAL_SECONDS: Final = 1
KEEP_ALIVE_PROBES: Final = 2


def keep_alive(sock: typing.Any) -> None:
    """Let the kernel probe the other end of an idle connection."""
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

    curio's own method is a coroutine; this one can be called by whoever may
    not wait.  A socket that is closed already is left as it is.
    """
    try:
        sock._socket.shutdown(how)
    except OSError:
        pass


def has_nothing_to_read(sock: typing.Any) -> bool:
    """Tell whether a socket is open and has nothing to read."""
    try:
        sock._socket.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False
