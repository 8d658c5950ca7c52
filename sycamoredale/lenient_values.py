"""Read numbers that others have written, and use a default for invalid ones.

An invalid number must not stop what would work without it.  Each field of
each owner, such as a route, is logged once.
"""

import dataclasses
import typing
from typing import Final

from sycamoredale.observability import logs

MAX_PRIORITY: Final = 1000
# More than any engine can hold, and more than a prompt or an answer has.
MAX_HELD_TOKENS: Final = 2**31
MAX_CALL_TOKENS: Final = 2**20
# Bounds the memory if owners come and go.
MAX_LOGGED: Final = 1000
MAX_LOGGED_CHARACTERS: Final = 40
LOG: Final = logs.get("values")

_Number = typing.TypeVar("_Number", int, float)


@dataclasses.dataclass
class LenientReader:
    """Read numbers, and log invalid ones once."""

    _logged: set[tuple[str, str]] = dataclasses.field(default_factory=set)

    def priority(self, text: str | bytes, owner: str) -> int | None:
        """Return a priority, None if it is absent or invalid."""
        return self._number(text, 0, MAX_PRIORITY, "priority", owner)

    def tokens(
        self,
        text: str | bytes | None,
        field: str,
        minimum: int = 0,
        maximum: int = MAX_HELD_TOKENS,
        owner: str = "",
    ) -> int:
        """Return a number of tokens, 0 if it is absent or invalid."""
        return self._number(text, minimum, maximum, field, owner) or 0

    def token_counts(self, text: str | None, field: str) -> tuple[int, int]:
        """Return two numbers separated by a comma, 0 if either is invalid."""
        first, _, second = (text or "").partition(",")
        counts = [
            self._number(part.strip(), 0, MAX_CALL_TOKENS, field, "")
            for part in (first, second)
        ]
        if None in counts:
            return 0, 0
        return counts[0] or 0, counts[1] or 0

    def bounded(
        self,
        value: _Number,
        bounds: tuple[_Number, _Number],
        default: _Number,
        field: str,
        owner: str,
    ) -> _Number:
        """Return a number, the default if it is out of bounds."""
        if bounds[0] <= value <= bounds[1]:
            return value
        self._log_once(field, owner, str(value))
        return default

    def _number(
        self,
        text: str | bytes | None,
        minimum: int,
        maximum: int,
        field: str,
        owner: str,
    ) -> int | None:
        if not text:
            return None
        if not isinstance(text, str):
            # A raw value of msgspec is a buffer without the methods of bytes.
            text = bytes(text)
        try:
            value = float(text)
        except ValueError:
            value = -1.0
        if minimum <= value <= maximum and value.is_integer():
            return int(value)
        self._log_once(field, owner, text)
        return None

    def _log_once(self, field: str, owner: str, text: str | bytes) -> None:
        key = field, owner
        if key not in self._logged and len(self._logged) < MAX_LOGGED:
            self._logged.add(key)
            LOG.warning(
                "value_invalid",
                field=field,
                owner=owner,
                value=str(text[:MAX_LOGGED_CHARACTERS]),
            )
