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


class Place(msgspec.Struct, frozen=True, order=True):
    """Locate a finding in a file."""

    line: int
    column: int


class Finding(msgspec.Struct, frozen=True):
    """Describe one thing that is wrong in a file."""

    code: FindingCode
    place: Place
    message: str


@dataclasses.dataclass(frozen=True, slots=True)
class Wording:
    """Hold the code and text of a finding that has no place yet."""

    code: FindingCode
    message: str

    def at(self, place: Place) -> Finding:
        """Return the finding at a place."""
        return Finding(self.code, place, self.message)


class InvalidFile(errors.SycamoredaleError):
    """Carry all findings of one file, in the order of their places."""

    def __init__(
        self, file: str, findings: collections.abc.Iterable[Finding]
    ) -> None:
        """Word the findings, one a line."""
        self.file = file
        self.findings = sorted(findings, key=lambda f: (f.place, f.message))
        super().__init__(
            error_codes.INVALID_CONFIGURATION,
            "\n".join(describe(file, finding) for finding in self.findings),
        )


def describe(file: str, finding: Finding) -> str:
    """Return the line that shows a finding to an operator."""
    place = finding.place
    return (
        f"{file}:{place.line}:{place.column}: "
        f"{finding.message} [{finding.code.value}]"
    )


def not_yaml(problem: str) -> Wording:
    """Report that the text is not YAML."""
    return Wording(FindingCode.NOT_YAML, f"the file is not YAML: {problem}")


def empty_file() -> Wording:
    """Report a file without content."""
    return Wording(
        FindingCode.EMPTY_FILE,
        "the file is empty; to remove everything write 'services: []'",
    )


def unknown_key(
    key: str, owner: str, known: collections.abc.Iterable[str]
) -> Wording:
    """Report a key that nothing reads."""
    names = ", ".join(sorted(known))
    return Wording(
        FindingCode.UNKNOWN_KEY,
        f"key {key!r} does not exist in {owner}; it may hold: {names}",
    )


def duplicate_key(key: str, owner: str) -> Wording:
    """Report a key that stands twice in one mapping."""
    return Wording(
        FindingCode.DUPLICATE_KEY, f"key {key!r} stands twice in {owner}"
    )


def missing_key(key: str, owner: str) -> Wording:
    """Report the lack of a key that has no default."""
    return Wording(
        FindingCode.MISSING_KEY, f"key {key!r} is missing in {owner}"
    )


def wrong_type(what: str, expected: str, found: str) -> Wording:
    """Report a value of another type than expected."""
    return Wording(
        FindingCode.WRONG_TYPE, f"{what} must be {expected}, not {found}"
    )


def bad_value(what: str, found: object, expected: str) -> Wording:
    """Report a value of the right type that is not allowed."""
    return Wording(
        FindingCode.BAD_VALUE, f"{what} is {found!r}, but must be {expected}"
    )


def duplicate_name(what: str, name: str, first: Place) -> Wording:
    """Report a name that is used twice."""
    return Wording(
        FindingCode.DUPLICATE_NAME,
        f"{what} {name!r} is defined already in line {first.line}",
    )


def dangling_reference(owner: str, what: str, name: str) -> Wording:
    """Report a reference to something that the file does not define."""
    return Wording(
        FindingCode.DANGLING_REFERENCE,
        f"{owner} names {what} {name!r}, which the file does not define",
    )


def contradiction(owner: str, problem: str) -> Wording:
    """Report values that do not go together."""
    return Wording(FindingCode.CONTRADICTION, f"{owner} {problem}")
