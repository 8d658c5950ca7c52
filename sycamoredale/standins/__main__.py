"""Run one stand-in as a process and print its bound address on a line."""

import collections.abc
import pathlib
import typing

import click
import curio
import msgspec

from sycamoredale.http import client
from sycamoredale.http import messages
from sycamoredale.http import server
from sycamoredale import ids
from sycamoredale.observability import logs
from sycamoredale.standins import engine
from sycamoredale.standins import ledger
from sycamoredale.standins import platform
from sycamoredale.standins import records


@click.group()
def main() -> None:
    """Run a stand-in for an external system."""
    logs.configure("warning")


def _common_options(
    command: collections.abc.Callable[..., None],
) -> collections.abc.Callable[..., None]:
    record = click.option("--record", type=click.Path(path_type=pathlib.Path))
    return click.option("--listen", default="127.0.0.1:0")(record(command))


@main.command("platform")
@_common_options
def run_platform(listen: str, record: pathlib.Path | None) -> None:
    """Run the stand-in of the platform."""
    recorder = records.Recorder(record)
    curio.run(_serve, listen, lambda: platform.Platform(recorder))


@main.command("engine")
@_common_options
@click.option("--settings", required=True, help="Engine settings as JSON.")
def run_engine(
    listen: str, record: pathlib.Path | None, settings: str
) -> None:
    """Run the stand-in of the model engine of one instance."""
    parsed = msgspec.json.decode(settings, type=engine.Settings)
    recorder = records.Recorder(record)
    curio.run(
        _serve,
        listen,
        lambda: engine.Engine(parsed, client.Pool(), recorder),
    )


@main.command("ledger")
@_common_options
@click.option("--instance", default="ledger")
def run_ledger(
    listen: str, record: pathlib.Path | None, instance: str
) -> None:
    """Run the stand-in of a plain service that books withdrawals."""
    recorder = records.Recorder(record)
    curio.run(
        _serve,
        listen,
        lambda: ledger.Ledger(ids.InstanceId(instance), recorder),
    )


class _StandIn(typing.Protocol):
    async def handle(self, exchange: server.Exchange) -> None: ...


async def _serve(
    listen: str, build: collections.abc.Callable[[], _StandIn]
) -> None:
    stand_in = build()
    http_server = server.Server(stand_in.handle)
    bound_address = http_server.bind(messages.parse_address(listen))
    await http_server.start()
    click.echo(str(bound_address))
    await curio.Event().wait()


if __name__ == "__main__":
    main()
