"""Report errors of commands and exit with documented codes."""

import collections.abc
import contextlib
import enum
import functools
import sys

import click
import msgspec

from sycamoredale.config import findings
from sycamoredale.daemons import settings
from sycamoredale import errors


class ExitCode(enum.IntEnum):
    """Define the exit codes; they are stable for use by programs."""

    DONE = 0
    FAILED = 1
    USAGE = 2
    FINDINGS = 3
    CONFLICT = 4
    STORE_UNAVAILABLE = 5
    OUTCOME_UNKNOWN = 6
    NOT_IN_FORCE = 7


class ErrorReport(msgspec.Struct, frozen=True):
    """Contain an error for output as JSON."""

    code: str
    message: str
    file_findings: list[findings.Finding] = msgspec.field(
        default_factory=list, name="findings"
    )


@contextlib.contextmanager
def report_errors(as_json: bool) -> collections.abc.Iterator[None]:
    """Print an error raised in the block and exit with its code."""
    try:
        yield
    except errors.SycamoredaleError as error:
        if as_json:
            click.echo(msgspec.json.encode(_build_report(error)))
        else:
            click.echo(_format_error(error), err=True)
        sys.exit(exit_code(error))


@functools.singledispatch
def exit_code(error: errors.SycamoredaleError) -> ExitCode:
    """Return the exit code for a type of error."""
    del error
    return ExitCode.FAILED


@exit_code.register
def _invalid_settings(error: settings.InvalidSettings) -> ExitCode:
    del error
    return ExitCode.USAGE


@exit_code.register
def _invalid_file(error: findings.InvalidFile) -> ExitCode:
    del error
    return ExitCode.FINDINGS


@exit_code.register
def _version_conflict(error: errors.VersionConflict) -> ExitCode:
    del error
    return ExitCode.CONFLICT


@exit_code.register
def _store_unavailable(error: errors.StoreUnavailable) -> ExitCode:
    del error
    return ExitCode.STORE_UNAVAILABLE


@exit_code.register
def _outcome_unknown(error: errors.OutcomeUnknown) -> ExitCode:
    del error
    return ExitCode.OUTCOME_UNKNOWN


@functools.singledispatch
def _format_error(error: errors.SycamoredaleError) -> str:
    return f"{error.code.name}: {error.message}"


@_format_error.register
def _format_file_error(error: findings.InvalidFile) -> str:
    count = len(error.findings)
    return f"{error.message}\n{count} finding{'s' * (count != 1)}"


@_format_error.register
def _format_settings_error(error: settings.InvalidSettings) -> str:
    return error.message


def _build_report(error: errors.SycamoredaleError) -> ErrorReport:
    file_findings = (
        error.findings if isinstance(error, findings.InvalidFile) else []
    )
    return ErrorReport(error.code.name, error.message, file_findings)
