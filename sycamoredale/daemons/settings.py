"""Read the settings of a process and report all findings together.

A setting comes from a flag or from its environment variable, as text.
"""

import collections.abc
import dataclasses
import math
import re
from typing import Final

from sycamoredale import error_codes
from sycamoredale import errors
from sycamoredale.http import messages

ENVIRONMENT_PREFIX: Final = "SYCAMOREDALE_"
NAME_PATTERN: Final = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
LOG_LEVELS: Final = ("debug", "info", "warning", "error")
NO_ADDRESS: Final = messages.Address("", 0)


class InvalidSettings(errors.SycamoredaleError):
    """Carry all findings of the settings of one process."""

    def __init__(self, findings: collections.abc.Sequence[str]) -> None:
        """Word the findings, one a line."""
        self.findings = list(findings)
        super().__init__(
            error_codes.INVALID_SETTINGS, "\n".join(self.findings)
        )


@dataclasses.dataclass
class SettingsReader:
    """Convert settings by flag name and collect what is wrong."""

    text_by_name: collections.abc.Mapping[str, str | None]
    findings: list[str] = dataclasses.field(default_factory=list)

    def describe(self, setting: str) -> str:
        """Return how operators find a setting."""
        return f"--{setting} ({environment_variable(setting)})"

    def name(self, setting: str) -> str:
        """Return a required name."""
        text = self._required(setting)
        if text and not NAME_PATTERN.fullmatch(text):
            self._report(
                setting,
                f"{text!r} is no name of at most 63 letters, digits, dots, "
                "dashes and underscores",
            )
        return text

    def address(self, setting: str) -> messages.Address:
        """Return a required address."""
        return self._address(setting, self._required(setting))

    def optional_address(self, setting: str) -> messages.Address | None:
        """Return an address or None if the setting is absent."""
        text = self.text_by_name.get(setting)
        return self._address(setting, text) if text else None

    def addresses(self, setting: str) -> tuple[messages.Address, ...]:
        """Return the addresses in a list separated by commas."""
        texts = (self.text_by_name.get(setting) or "").split(",")
        return tuple(
            self._address(setting, text.strip())
            for text in texts
            if text.strip()
        )

    def positive_number(self, setting: str) -> float:
        """Return a number above 0."""
        text = self._required(setting)
        if not text:
            return 1.0
        try:
            number = float(text)
        except ValueError:
            number = math.nan
        if not 0 < number < math.inf:
            self._report(setting, f"{text!r} is no number above 0")
            return 1.0
        return number

    def non_negative_number(self, setting: str, default: float) -> float:
        """Return a number of at least 0, the default if it is absent."""
        text = self.text_by_name.get(setting)
        if not text:
            return default
        try:
            number = float(text)
        except ValueError:
            number = math.nan
        if not 0 <= number < math.inf:
            self._report(setting, f"{text!r} is no number of at least 0")
            return default
        return number

    def log_level(self, setting: str) -> str:
        """Return the name of a log level."""
        text = self._required(setting).lower()
        if text and text not in LOG_LEVELS:
            levels = ", ".join(LOG_LEVELS)
            self._report(setting, f"{text!r} is not one of {levels}")
        return text

    def raise_findings(self) -> None:
        """Raise InvalidSettings if there is any finding."""
        if self.findings:
            raise InvalidSettings(self.findings)

    def _required(self, setting: str) -> str:
        text = self.text_by_name.get(setting)
        if not text:
            self._report(setting, "is required")
        return text or ""

    def _address(self, setting: str, text: str) -> messages.Address:
        if not text:
            return NO_ADDRESS
        try:
            return messages.parse_address(text)
        except ValueError as error:
            self._report(setting, str(error))
            return NO_ADDRESS

    def _report(self, setting: str, problem: str) -> None:
        self.findings.append(f"{self.describe(setting)}: {problem}")


def environment_variable(setting: str) -> str:
    """Return the environment variable of a setting."""
    return ENVIRONMENT_PREFIX + setting.upper().replace("-", "_")
