"""Define parameters that are common to several commands."""

import pathlib
import typing
from typing import Final

import click
import msgspec

from sycamoredale.http import messages


class AddressType(click.ParamType[messages.Address]):
    """Parse an address of the form `host:port`."""

    name = "address"

    def convert(
        self,
        value: typing.Any,
        param: click.Parameter | None,
        ctx: click.Context | None,
    ) -> messages.Address:
        """Return the address; raise click.BadParameter if it is invalid."""
        if isinstance(value, messages.Address):
            return value
        try:
            return messages.parse_address(value)
        except ValueError as error:
            self.fail(str(error), param, ctx)


FILE: Final = click.argument(
    "file", type=click.Path(path_type=pathlib.Path, dir_okay=False)
)
PLATFORM: Final = click.option(
    "--platform",
    type=AddressType(),
    required=True,
    envvar="SYCAMOREDALE_PLATFORM",
    show_envvar=True,
    help="Address of the object API.",
)
JSON: Final = click.option(
    "--json",
    "as_json",
    is_flag=True,
    envvar="SYCAMOREDALE_JSON",
    show_envvar=True,
    help="Print the result as JSON.",
)


def print_report(report: msgspec.Struct, text: str, as_json: bool) -> None:
    """Print a report as JSON or as text."""
    click.echo(msgspec.json.encode(report) if as_json else text)
