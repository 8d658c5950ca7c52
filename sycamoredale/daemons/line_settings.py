"""Read settings from lines of the form `a.b=value`."""

from sycamoredale.daemons import settings


def parse(text: str) -> dict[str, str | None]:
    """Return the text of each setting."""
    pairs = (line.partition("=") for line in text.splitlines() if "=" in line)
    return {name.strip(): value.strip() for name, _, value in pairs}


class LineSettingsReader(settings.SettingsReader):
    """Read and validate the values of settings lines."""

    def describe(self, setting: str) -> str:
        """Return how messages refer to a setting."""
        return f"line {setting}="

    def seconds(self, setting: str, default_ms: float) -> float:
        """Return a time that is set in milliseconds."""
        return self.non_negative_number(setting, default_ms) / 1000

    def names(self, setting: str) -> frozenset[str]:
        """Return the names in a list separated by commas."""
        text = self.text_by_name.get(setting) or ""
        return frozenset(name.strip() for name in text.split(","))

    def ports(self, setting: str) -> tuple[int, int]:
        """Return the first and last port of a range `first,last`."""
        first, _, last = self._required(setting).partition(",")
        if first.isdigit() and last.isdigit():
            return int(first), int(last)
        self._report(setting, f"{first!r} to {last!r} is not a port range")
        return (0, 0)
