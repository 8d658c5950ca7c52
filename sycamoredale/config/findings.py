"""Word the findings of an operators' file, each with its place.

A finding has a stable code, which programs may match on, and one wording,
which stands here.  Lines and columns count from 1.
"""

import collections.abc
import dataclasses
import enum

import msgspec

from sycamoredale import error_codes
from sycamoredale import errors


class FindingCode(enum.Enum):
    """Name the kinds of findings."""

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
    """Locate a finding in a file."""

    line: int
    column: int


class Finding(msgspec.Struct, frozen=True):
    """Describe one thing that is wrong in a file."""

    code: FindingCode
    position: Position = msgspec.field(name="place")
    message: str


@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """Hold the code and text of a finding that has no place yet."""

    code: FindingCode
    message: str

    def at(self, position: Position) -> Finding:
        """Return the finding at a place."""
        return Finding(self.code, position, self.message)


class InvalidFile(errors.SycamoredaleError):
    """Carry all findings of one file, in the order of their places."""

    def __init__(
        self, file: str, findings: collections.abc.Iterable[Finding]
    ) -> None:
        """Word the findings, one a line."""
        self.file = file
        self.findings = sorted(findings, key=lambda f: (f.position, f.message))
        super().__init__(
            error_codes.INVALID_CONFIGURATION,
            "\n".join(
                format_finding(file, finding) for finding in self.findings
            ),
        )


def format_finding(file: str, finding: Finding) -> str:
    """Return the line that shows a finding to an operator."""
    position = finding.position
    return (
        f"{file}:{position.line}:{position.column}: "
        f"{finding.message} [{finding.code.value}]"
    )


def not_yaml(error: str) -> Problem:
    """Report that the text is not YAML."""
    return Problem(FindingCode.NOT_YAML, f"the file is not YAML: {error}")


def empty_file() -> Problem:
    """Report a file without content."""
    return Problem(
        FindingCode.EMPTY_FILE,
        "the file is empty; to remove everything write 'services: []'",
    )


def unknown_key(
    key: str, record: str, allowed: collections.abc.Iterable[str]
) -> Problem:
    """Report a key that nothing reads."""
    names = ", ".join(sorted(allowed))
    return Problem(
        FindingCode.UNKNOWN_KEY,
        f"key {key!r} does not exist in {record}; it may hold: {names}",
    )


def duplicate_key(key: str, record: str) -> Problem:
    """Report a key that stands twice in one mapping."""
    return Problem(
        FindingCode.DUPLICATE_KEY, f"key {key!r} stands twice in {record}"
    )


def missing_key(key: str, record: str) -> Problem:
    """Report the lack of a key that has no default."""
    return Problem(
        FindingCode.MISSING_KEY, f"key {key!r} is missing in {record}"
    )


def wrong_type(subject: str, expected: str, actual: str) -> Problem:
    """Report a value of another type than expected."""
    return Problem(
        FindingCode.WRONG_TYPE, f"{subject} must be {expected}, not {actual}"
    )


def bad_value(subject: str, actual: object, expected: str) -> Problem:
    """Report a value of the right type that is not allowed."""
    return Problem(
        FindingCode.BAD_VALUE,
        f"{subject} is {actual!r}, but must be {expected}",
    )


def duplicate_name(kind: str, name: str, first: Position) -> Problem:
    """Report a name that is used twice."""
    return Problem(
        FindingCode.DUPLICATE_NAME,
        f"{kind} {name!r} is defined already in line {first.line}",
    )


def dangling_reference(record: str, kind: str, name: str) -> Problem:
    """Report a reference to something that the file does not define."""
    return Problem(
        FindingCode.DANGLING_REFERENCE,
        f"{record} names {kind} {name!r}, which the file does not define",
    )


def contradiction(record: str, description: str) -> Problem:
    """Report values that do not go together."""
    return Problem(FindingCode.CONTRADICTION, f"{record} {description}")
