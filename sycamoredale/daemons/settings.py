"""Parse the settings of a process and report all findings together.

The text of a setting comes from its flag or its environment variable.
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
    """Report all invalid settings of a process."""

    def __init__(self, findings: collections.abc.Sequence[str]) -> None:
        """Format the findings as one line each."""
        self.findings = list(findings)
        super().__init__(
            error_codes.INVALID_SETTINGS, "\n".join(self.findings)
        )


@dataclasses.dataclass
class SettingsReader:
    """Convert settings by flag name and collect findings."""

    text_by_name: collections.abc.Mapping[str, str | None]
    findings: list[str] = dataclasses.field(default_factory=list)

    def describe(self, setting: str) -> str:
        """Return the flag and the environment variable of a setting."""
        return f"--{setting} ({environment_variable(setting)})"

    def name(self, setting: str) -> str:
        """Return a required name."""
        text = self._required(setting)
        if text and not NAME_PATTERN.fullmatch(text):
            self._report(
                setting,
                f"{text!r} is not a name of at most 63 letters, digits, dots, "
                "dashes and underscores that starts with a letter or digit",
            )
        return text

    def address(self, setting: str) -> messages.Address:
        """Return a required address."""
        return self._address(setting, self._required(setting))

    def optional_address(self, setting: str) -> messages.Address | None:
        """Return an address, or None if the setting is absent."""
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
        """Return a required number above 0."""
        text = self._required(setting)
        if not text:
            return 1.0
        try:
            number = float(text)
        except ValueError:
            number = math.nan
        if not 0 < number < math.inf:
            self._report(setting, f"{text!r} is not a number above 0")
            return 1.0
        return number

    def non_negative_number(self, setting: str, default: float) -> float:
        """Return a number of at least 0, or the default if it is absent."""
        text = self.text_by_name.get(setting)
        if not text:
            return default
        try:
            number = float(text)
        except ValueError:
            number = math.nan
        if not 0 <= number < math.inf:
            self._report(setting, f"{text!r} is not a number of at least 0")
            return default
        return number

    def log_level(self, setting: str) -> str:
        """Return a required log level in lower case."""
        text = self._required(setting).lower()
        if text and text not in LOG_LEVELS:
            levels = ", ".join(LOG_LEVELS)
            self._report(setting, f"{text!r} is not one of {levels}")
        return text

    def raise_findings(self) -> None:
        """Raise InvalidSettings if any setting is invalid."""
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
