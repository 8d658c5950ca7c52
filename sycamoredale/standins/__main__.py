"""Run one stand-in as a process; print its bound address on one line."""

import collections.abc
import typing

import click
import curio
import msgspec

from sycamoredale.http import client
from sycamoredale.http import messages
from sycamoredale.http import server
from sycamoredale.observability import logs
from sycamoredale.standins import engine
from sycamoredale.standins import ledger
from sycamoredale.standins import platform


@click.group()
def main() -> None:
    """Run stand-ins for outside systems."""
    logs.configure("warning")


def _listen_option(
    command: collections.abc.Callable[..., None],
) -> collections.abc.Callable[..., None]:
    return click.option("--listen", default="127.0.0.1:0")(command)


@main.command("platform")
@_listen_option
def run_platform(listen: str) -> None:
    """Run the platform."""
    curio.run(_serve, listen, platform.Platform)


@main.command("engine")
@_listen_option
@click.option("--settings", required=True, help="JSON of the settings.")
def run_engine(listen: str, settings: str) -> None:
    """Run the model engine of one instance."""
    parsed = msgspec.json.decode(settings, type=engine.Settings)
    curio.run(_serve, listen, lambda: engine.Engine(parsed, client.Pool()))


@main.command("ledger")
@_listen_option
@click.option("--instance", default="ledger")
def run_ledger(listen: str, instance: str) -> None:
    """Run the plain service that books withdrawals."""
    del instance
    curio.run(_serve, listen, ledger.Ledger)


class _Standin(typing.Protocol):
    async def handle(self, exchange: server.Exchange) -> None: ...


async def _serve(
    listen: str, build: collections.abc.Callable[[], _Standin]
) -> None:
    standin = build()
    http_server = server.Server(standin.handle)
    bound = http_server.bind(messages.parse_address(listen))
    await http_server.start()
    click.echo(str(bound))
    await curio.Event().wait()


if __name__ == "__main__":
    main()
