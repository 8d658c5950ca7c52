"""Define the commands that validate, apply and show the configuration."""

import collections.abc
import pathlib
import sys
from typing import Final

import click
import curio
import msgspec
import yaml

from sycamoredale.commands import exit_codes
from sycamoredale.commands import fleet_status
from sycamoredale.commands import parameters
from sycamoredale.config import difference
from sycamoredale.config import model
from sycamoredale.config import parser
from sycamoredale.config import store
from sycamoredale import error_codes
from sycamoredale import errors
from sycamoredale.http import client
from sycamoredale.http import messages
from sycamoredale import ids
from sycamoredale.object_api import objects

DEFAULT_WAIT_SECONDS: Final = 0.0


class CheckResult(msgspec.Struct, frozen=True):
    """Summarise a valid file."""

    file: str
    services: int
    organisations: int
    zones: int


class PlanResult(msgspec.Struct, frozen=True):
    """List what applying a file would change."""

    generation: ids.Generation
    differences: list[str]


class ApplyResult(msgspec.Struct, frozen=True):
    """Report the generation of an accepted file and its changes."""

    generation: ids.Generation
    differences: list[str]


class GetResult(msgspec.Struct, frozen=True):
    """Contain the accepted configuration and its generation."""

    generation: ids.Generation
    configuration: model.Configuration


@click.command("check")
@parameters.FILE
@parameters.JSON
def check(file: pathlib.Path, as_json: bool) -> None:
    """Validate a configuration file without applying it."""
    with exit_codes.report_errors(as_json):
        configuration = _parse_file(file)
        report = CheckResult(
            str(file),
            len(configuration.services),
            len(configuration.organisations),
            len(configuration.zones),
        )
        parameters.print_report(report, f"{file}: no findings", as_json)


@click.command("plan")
@parameters.FILE
@parameters.PLATFORM
@parameters.JSON
def plan(
    file: pathlib.Path, platform: messages.Address, as_json: bool
) -> None:
    """Show what applying a file would change, without applying it."""
    with exit_codes.report_errors(as_json):
        desired = _parse_file(file)
        accepted = curio.run(store.read, _object_store(platform))
        changes = list(difference.describe(accepted.configuration, desired))
        text = _format_plan(accepted.generation, changes)
        parameters.print_report(
            PlanResult(accepted.generation, changes), text, as_json
        )


@click.command("apply")
@parameters.FILE
@parameters.PLATFORM
@click.option(
    "--expect-generation",
    type=int,
    default=None,
    help="Apply only if this generation (see plan) is still accepted.",
)
@click.option(
    "--wait-seconds",
    type=float,
    default=DEFAULT_WAIT_SECONDS,
    help="Time to wait until all daemons have the file in force.",
)
@parameters.JSON
def apply(
    file: pathlib.Path,
    platform: messages.Address,
    expect_generation: int | None,
    wait_seconds: float,
    as_json: bool,
) -> None:
    """Apply a configuration file as a whole."""
    with exit_codes.report_errors(as_json):
        desired = _parse_file(file)
        applied = curio.run(
            _apply_configuration, desired, platform, expect_generation
        )
        text = f"accepted as generation {applied.generation}"
        lines = [*(f"  {line}" for line in applied.differences), text]
        parameters.print_report(applied, "\n".join(lines), as_json)
        if wait_seconds:
            _wait_until_in_force(platform, applied.generation, wait_seconds)


@click.command("get")
@parameters.PLATFORM
@parameters.JSON
def get(platform: messages.Address, as_json: bool) -> None:
    """Print the accepted configuration."""
    with exit_codes.report_errors(as_json):
        accepted = curio.run(store.read, _object_store(platform))
        plain = msgspec.to_builtins(accepted.configuration)
        text = yaml.safe_dump(plain, sort_keys=False, allow_unicode=True)
        parameters.print_report(
            GetResult(accepted.generation, accepted.configuration),
            f"# generation {accepted.generation}\n{text}".rstrip(),
            as_json,
        )


@click.command("status")
@parameters.PLATFORM
@parameters.JSON
def status(platform: messages.Address, as_json: bool) -> None:
    """Show which daemons have the accepted configuration in force."""
    with exit_codes.report_errors(as_json):
        report = curio.run(fleet_status.read, _object_store(platform))
        text = "\n".join(fleet_status.format_lines(report))
        parameters.print_report(report, text, as_json)
    if not fleet_status.in_force_everywhere(report):
        sys.exit(exit_codes.ExitCode.NOT_IN_FORCE)


def _parse_file(file: pathlib.Path) -> model.Configuration:
    try:
        text = file.read_bytes()
    except OSError as error:
        raise errors.SycamoredaleError(
            error_codes.INVALID_CONFIGURATION,
            f"file {str(file)!r} cannot be read: {error.strerror}",
        ) from error
    return parser.parse(text, str(file))


def _object_store(platform: messages.Address) -> objects.ObjectStore:
    return objects.ObjectStore(platform, client.Pool())


async def _apply_configuration(
    desired: model.Configuration,
    platform: messages.Address,
    expected: int | None,
) -> ApplyResult:
    object_store = _object_store(platform)
    base = await store.read(object_store)
    if expected is not None and base.generation != expected:
        raise errors.VersionConflict(
            error_codes.VERSION_CONFLICT,
            f"the file was prepared against generation {expected}, but "
            f"generation {base.generation} is accepted; nothing was changed",
        )
    changes = list(difference.describe(base.configuration, desired))
    applied = await store.accept(object_store, base, desired)
    try:
        await store.delete_unreferenced_parts(object_store)
    except errors.SycamoredaleError as error:
        click.echo(f"unreferenced parts were not deleted: {error}", err=True)
    return ApplyResult(applied.generation, changes)


def _wait_until_in_force(
    platform: messages.Address, generation: ids.Generation, seconds: float
) -> None:
    report = curio.run(
        fleet_status.wait_until_in_force,
        _object_store(platform),
        generation,
        seconds,
    )
    for line in fleet_status.format_lines(report):
        click.echo(line, err=True)
    if not fleet_status.in_force_everywhere(report):
        sys.exit(exit_codes.ExitCode.NOT_IN_FORCE)


def _format_plan(
    generation: ids.Generation,
    changes: collections.abc.Sequence[str],
) -> str:
    summary = f"generation {generation} is accepted"
    if not changes:
        return f"{summary}; the file changes nothing"
    body = "\n".join(f"  {change}" for change in changes)
    return (
        f"{summary}; the file would\n{body}\n"
        f"apply it with --expect-generation {generation}"
    )
