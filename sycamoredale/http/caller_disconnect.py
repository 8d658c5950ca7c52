"""Cancel the work of an exchange when its caller disconnects."""

import typing

import curio

from sycamoredale.http import exchange as exchange_module

_T = typing.TypeVar("_T")
CallerDisconnected = exchange_module.CallerDisconnected


async def run_while_connected(
    work: typing.Callable[
        [_T, exchange_module.Exchange], typing.Awaitable[None]
    ],
    subject: _T,
    exchange: exchange_module.Exchange,
) -> None:
    """Run work until it ends or the caller disconnects.

    Raises CallerDisconnected in the second case.
    """
    worker = await curio.spawn(work, subject, exchange, daemon=True)
    watcher = await curio.spawn(_watch_caller, exchange, worker, daemon=True)
    try:
        await worker.join()
    except curio.TaskError as error:
        cause = error.__cause__
        if isinstance(cause, curio.TaskCancelled):
            raise CallerDisconnected() from error
        assert cause is not None
        raise cause from None
    finally:
        # A deadline or stop that comes now may not leave the watcher reading
        # the socket, on which the caller sends its next request.
        async with curio.disable_cancellation():
            await watcher.cancel()
            await worker.cancel()


async def _watch_caller(
    exchange: exchange_module.Exchange, worker: typing.Any
) -> None:
    await exchange.wait_for_disconnect()
    await worker.cancel(blocking=False)
