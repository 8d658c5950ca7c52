"""Define the command line of daemons and operators.

Every flag can also be set by an environment variable that starts with
`SYCAMOREDALE_`.
"""

import click
import msgspec

import sycamoredale
from sycamoredale.commands import configuration
from sycamoredale.commands import daemons
from sycamoredale.commands import explain
from sycamoredale.commands import histogram
from sycamoredale.commands import parameters
from sycamoredale.commands import trace


class Version(msgspec.Struct, frozen=True):
    """Format the version as JSON."""

    version: str


@click.group(
    context_settings={"auto_envvar_prefix": "SYCAMOREDALE"},
)
def main() -> None:
    """Serve language models whose replicas span several instances."""


@main.command("version")
@parameters.JSON
def version(as_json: bool) -> None:
    """Print the version."""
    number = sycamoredale.VERSION
    parameters.print_report(Version(number), number, as_json)


for _command in (
    daemons.run_router,
    daemons.run_controller,
    configuration.check,
    configuration.plan,
    configuration.apply,
    configuration.get,
    configuration.status,
    explain.explain,
    histogram.histogram,
    trace.trace,
):
    main.add_command(_command)
