"""Parse the values of headers."""

import math
from typing import Final

from sycamoredale import error_codes
from sycamoredale import errors

BEARER_SCHEME: Final = "bearer "
# Longer ones are malformed: the conversion of thousands of digits raises.
MAX_DIGITS: Final = 15


def integers(text: str | None, count: int) -> tuple[int, ...] | None:
    """Return `count` integers separated by commas, None if malformed."""
    parts = [part.strip() for part in (text or "").split(",")]
    if len(parts) != count or not all(
        p.isascii() and p.isdigit() and len(p) <= MAX_DIGITS for p in parts
    ):
        return None
    return tuple(int(part) for part in parts)


def decimal(text: str | None) -> float | None:
    """Return a finite number that is not negative, None if malformed."""
    try:
        value = float(text or "")
    except ValueError:
        return None
    return value if math.isfinite(value) and value >= 0 else None


def positive_seconds(name: str, text: str | None, default: float) -> float:
    """Return a time in milliseconds as seconds; raise Refusal."""
    if text is None:
        return default
    try:
        seconds = float(text) / 1000
    except ValueError:
        seconds = -1.0
    if not 0 < seconds < float("inf"):
        raise errors.Refusal(
            error_codes.MALFORMED_REQUEST,
            f"{name} is {text!r}, not a positive number of milliseconds",
        )
    return seconds


def entry_names(text: str | None) -> list[str]:
    """Return the names in a list of NAME:VALUE entries, "" if one lacks."""
    entries = (text or "").split(",")
    return [entry.strip().partition(":")[0].lower() for entry in entries]


def bearer_token(text: str | None) -> str | None:
    """Return the token of an Authorization header, None without one."""
    if text is None or not text.lower().startswith(BEARER_SCHEME):
        return None
    return text[len(BEARER_SCHEME) :].strip()
