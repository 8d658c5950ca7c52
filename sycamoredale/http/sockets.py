"""Act on sockets without a wait."""

import socket
import typing


def shut_down(sock: typing.Any, how: int) -> None:
    """Shut down one or both directions of a curio socket.

    curio's own method is a coroutine; this one can be called by whoever may
    not wait.  A socket that is closed already is left as it is.
    """
    try:
        sock._socket.shutdown(how)
    except OSError:
        pass


def is_quiet(sock: typing.Any) -> bool:
    """Tell whether a socket is open and has nothing to read."""
    try:
        sock._socket.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False
