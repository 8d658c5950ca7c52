"""Define the commands that run the daemons.

All settings are passed as text and parsed together, so that all invalid
settings can be reported at once.
"""

import collections.abc
import typing

import click

from sycamoredale.commands import exit_codes
from sycamoredale.daemons import controller
from sycamoredale.daemons import options
from sycamoredale.daemons import router
from sycamoredale.daemons import settings
from sycamoredale.object_api import budget

_Command = collections.abc.Callable[..., None]


def _setting(
    name: str, default: str | None, help_text: str
) -> collections.abc.Callable[[_Command], _Command]:
    return click.option(
        f"--{name}",
        default=default,
        envvar=settings.environment_variable(name),
        show_envvar=True,
        show_default=default is not None,
        help=help_text,
    )


def _common_settings(command: _Command) -> _Command:
    decorators = (
        _setting("daemon-id", None, "Name of this daemon."),
        _setting("zone", None, "Availability zone of this daemon."),
        _setting("platform", None, "Address of the object API."),
        _setting(
            "peer-listen", "127.0.0.1:0", "Address to listen on for peers."
        ),
        _setting(
            "peer-advertise",
            None,
            "Address that peers connect to, if different.",
        ),
        _setting("seeds", None, "Addresses of peers, separated by commas."),
        _setting("statsd", None, "Address of the statsd server."),
        _setting("log-level", "info", "debug, info, warning or error."),
        _setting(
            "platform-reads-per-second",
            f"{budget.READS_PER_SECOND:g}",
            "Reads per second of all daemons that the object API allows.",
        ),
        _setting(
            "platform-writes-per-second",
            f"{budget.WRITES_PER_SECOND:g}",
            "Writes per second of all daemons that the object API allows.",
        ),
    )
    for decorator in reversed(decorators):
        command = decorator(command)
    return command


@click.command("router")
@_common_settings
@_setting("listen", "127.0.0.1:8080", "Address to listen on for callers.")
@_setting(
    "drain-seconds", "90", "Maximum time for open calls to finish at shutdown."
)
def run_router(**text_by_name: typing.Any) -> None:
    """Run a router."""
    with exit_codes.report_errors(as_json=False):
        router.run(options.read_router(_by_flag(text_by_name)))


@click.command("controller")
@_common_settings
@_setting("interval-seconds", "0.5", "Interval between reconciliations.")
def run_controller(**text_by_name: typing.Any) -> None:
    """Run a controller."""
    with exit_codes.report_errors(as_json=False):
        controller.run(options.read_controller(_by_flag(text_by_name)))


def _by_flag(
    text_by_parameter: collections.abc.Mapping[str, str | None],
) -> dict[str, str | None]:
    return {
        parameter.replace("_", "-"): text
        for parameter, text in text_by_parameter.items()
    }
