"""Define the command line of daemons and operators.

Every flag has an environment variable that starts with `SYCAMOREDALE_`.
"""

import pathlib
import typing

import click
import curio

import sycamoredale
from sycamoredale.config import parser
from sycamoredale.config import store
from sycamoredale.daemons import controller
from sycamoredale.daemons import options
from sycamoredale.daemons import router
from sycamoredale import errors
from sycamoredale.http import client
from sycamoredale.http import messages
from sycamoredale import ids
from sycamoredale.platform import objects


class AddressType(click.ParamType[messages.Address]):
    """Convert `host:port` on the command line."""

    name = "address"

    def convert(
        self,
        value: typing.Any,
        param: click.Parameter | None,
        ctx: click.Context | None,
    ) -> messages.Address:
        """Return the address; raise click.BadParameter."""
        if isinstance(value, messages.Address):
            return value
        try:
            return messages.parse_address(value)
        except ValueError as error:
            self.fail(str(error), param, ctx)


ADDRESS: typing.Final = AddressType()


@click.group(
    context_settings={"auto_envvar_prefix": "SYCAMOREDALE"},
)
def main() -> None:
    """Serve language models whose replicas span several instances."""


@main.command("router")
@click.option("--daemon-id", required=True, help="Name of this daemon.")
@click.option("--zone", required=True, help="Its availability zone.")
@click.option("--platform", type=ADDRESS, required=True)
@click.option("--listen", type=ADDRESS, default="127.0.0.1:8080")
@click.option("--peer-listen", type=ADDRESS, default="127.0.0.1:0")
@click.option("--seed", type=ADDRESS, multiple=True)
@click.option("--statsd", type=ADDRESS, default=None)
@click.option("--log-level", default="info")
@click.option("--drain-seconds", type=float, default=30.0)
def run_router(
    daemon_id: str,
    zone: str,
    platform: messages.Address,
    listen: messages.Address,
    peer_listen: messages.Address,
    seed: tuple[messages.Address, ...],
    statsd: messages.Address | None,
    log_level: str,
    drain_seconds: float,
) -> None:
    """Run a router."""
    common = _common(
        daemon_id, zone, platform, statsd, log_level, peer_listen, seed
    )
    router.run(options.RouterOptions(common, listen, drain_seconds))


@main.command("controller")
@click.option("--daemon-id", required=True, help="Name of this daemon.")
@click.option("--zone", required=True, help="Its availability zone.")
@click.option("--platform", type=ADDRESS, required=True)
@click.option("--peer-listen", type=ADDRESS, default="127.0.0.1:0")
@click.option("--seed", type=ADDRESS, multiple=True)
@click.option("--statsd", type=ADDRESS, default=None)
@click.option("--log-level", default="info")
@click.option("--interval-seconds", type=float, default=0.5)
def run_controller(
    daemon_id: str,
    zone: str,
    platform: messages.Address,
    peer_listen: messages.Address,
    seed: tuple[messages.Address, ...],
    statsd: messages.Address | None,
    log_level: str,
    interval_seconds: float,
) -> None:
    """Run a controller."""
    common = _common(
        daemon_id, zone, platform, statsd, log_level, peer_listen, seed
    )
    controller.run(options.ControllerOptions(common, interval_seconds))


@main.command("apply")
@click.argument("file", type=click.Path(path_type=pathlib.Path))
@click.option("--platform", type=ADDRESS, required=True)
def apply(file: pathlib.Path, platform: messages.Address) -> None:
    """Accept a configuration file as a whole."""
    try:
        configuration = parser.parse(file.read_bytes())
        accepted = curio.run(_apply, configuration, platform)
    except errors.SycamoredaleError as error:
        raise click.ClickException(
            f"{error.code.name}: {error.message}"
        ) from error
    click.echo(f"accepted as generation {accepted.generation}")


@main.command("version")
def version() -> None:
    """Print the version."""
    click.echo(sycamoredale.VERSION)


async def _apply(
    configuration: typing.Any, platform: messages.Address
) -> store.Accepted:
    object_store = objects.ObjectStore(platform, client.Pool())
    seen = await store.read(object_store)
    return await store.accept(object_store, seen, configuration)


def _common(
    daemon_id: str,
    zone: str,
    platform: messages.Address,
    statsd: messages.Address | None,
    log_level: str,
    peer_listen: messages.Address,
    seeds: tuple[messages.Address, ...],
) -> options.DaemonOptions:
    return options.DaemonOptions(
        ids.DaemonId(daemon_id),
        ids.ZoneName(zone),
        platform,
        statsd,
        log_level,
        peer_listen,
        seeds,
    )
