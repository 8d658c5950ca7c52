"""Define the findings that are reported for a configuration file.

A finding has a code, a position in the file and a message. The codes are
stable, so that programs may match on them. All messages are defined here.
Lines and columns count from 1.
"""

import collections.abc
import dataclasses
import enum

import msgspec

from sycamoredale import error_codes
from sycamoredale import errors


class FindingCode(enum.Enum):
    """Identify what kind of problem a finding reports."""

    NOT_YAML = "not_yaml"
    EMPTY_FILE = "empty_file"
    UNKNOWN_KEY = "unknown_key"
    DUPLICATE_KEY = "duplicate_key"
    MISSING_KEY = "missing_key"
    WRONG_TYPE = "wrong_type"
    BAD_VALUE = "bad_value"
    DUPLICATE_NAME = "duplicate_name"
    DANGLING_REFERENCE = "dangling_reference"
    CONTRADICTION = "contradiction"


class Position(msgspec.Struct, frozen=True, order=True):
    """Give the line and the column of a finding."""

    line: int
    column: int


class Finding(msgspec.Struct, frozen=True):
    """Describe one problem at its position in the file."""

    code: FindingCode
    position: Position = msgspec.field(name="place")
    message: str


@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """Give the code and the message of a finding, without its position."""

    code: FindingCode
    message: str

    def at(self, position: Position) -> Finding:
        """Return the finding for this problem at a position."""
        return Finding(self.code, position, self.message)


class InvalidFile(errors.SycamoredaleError):
    """Report all findings of one file, sorted by position."""

    def __init__(
        self, file: str, findings: collections.abc.Iterable[Finding]
    ) -> None:
        """Build the message, one line for each finding."""
        self.file = file
        self.findings = sorted(findings, key=lambda f: (f.position, f.message))
        super().__init__(
            error_codes.INVALID_CONFIGURATION,
            "\n".join(
                format_finding(file, finding) for finding in self.findings
            ),
        )


def format_finding(file: str, finding: Finding) -> str:
    """Return a finding as `file:line:column: message [code]`."""
    position = finding.position
    return (
        f"{file}:{position.line}:{position.column}: "
        f"{finding.message} [{finding.code.value}]"
    )


def not_yaml(error: str) -> Problem:
    """Report text that cannot be parsed as YAML."""
    return Problem(FindingCode.NOT_YAML, f"the file is not YAML: {error}")


def empty_file() -> Problem:
    """Report a file without content.

    An empty file is not accepted as an empty configuration.
    """
    return Problem(
        FindingCode.EMPTY_FILE,
        "the file is empty; to remove everything, write 'services: []'",
    )


def unknown_key(
    key: str, record: str, allowed: collections.abc.Iterable[str]
) -> Problem:
    """Report a key that is not defined for its record."""
    names = ", ".join(sorted(allowed))
    return Problem(
        FindingCode.UNKNOWN_KEY,
        f"key {key!r} does not exist in {record}; allowed keys: {names}",
    )


def duplicate_key(key: str, record: str) -> Problem:
    """Report a key that occurs twice in one mapping."""
    return Problem(
        FindingCode.DUPLICATE_KEY, f"key {key!r} occurs twice in {record}"
    )


def missing_key(key: str, record: str) -> Problem:
    """Report a missing key that has no default."""
    return Problem(
        FindingCode.MISSING_KEY, f"key {key!r} is missing in {record}"
    )


def wrong_type(subject: str, expected: str, actual: str) -> Problem:
    """Report a value of the wrong type."""
    return Problem(
        FindingCode.WRONG_TYPE, f"{subject} must be {expected}, not {actual}"
    )


def bad_value(subject: str, actual: object, expected: str) -> Problem:
    """Report a value that has the right type but is not allowed."""
    return Problem(
        FindingCode.BAD_VALUE,
        f"{subject} is {actual!r}, but must be {expected}",
    )


def duplicate_name(kind: str, name: str, first: Position) -> Problem:
    """Report a name or key that is already in use."""
    return Problem(
        FindingCode.DUPLICATE_NAME,
        f"{kind} {name!r} is already defined in line {first.line}",
    )


def dangling_reference(record: str, kind: str, name: str) -> Problem:
    """Report a reference to something that the file does not define."""
    return Problem(
        FindingCode.DANGLING_REFERENCE,
        f"{record} refers to {kind} {name!r}, which the file does not "
        "define",
    )


def contradiction(record: str, description: str) -> Problem:
    """Report values of a record that contradict each other."""
    return Problem(FindingCode.CONTRADICTION, f"{record} {description}")
