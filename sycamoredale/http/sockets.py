"""Act on sockets without a wait."""

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
