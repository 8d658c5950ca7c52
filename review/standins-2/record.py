"""Record what was sent, answered and run, one JSON object a line."""

import json
import pathlib
import time


class Recorder:
    """Write lines with the seconds since the start of the case."""

    def __init__(self, path: pathlib.Path) -> None:
        """Replace the file."""
        self._file = path.open("w", encoding="utf-8")
        self._began = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._began

    def write(self, event: str, **fields: object) -> None:
        """Write one line."""
        line = {"t": round(self.now(), 3), "event": event, **fields}
        self._file.write(json.dumps(line) + "\n")
        self._file.flush()
