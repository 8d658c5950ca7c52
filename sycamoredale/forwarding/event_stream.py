"""Follow one stream of events over all endpoints that take part in it.

Only whole events go to the caller, each once and in order, so that another
endpoint can go on after the last one.
"""

import dataclasses
from typing import Final

EVENT_END: Final = b"\n\n"
ID_FIELD: Final = b"id:"


@dataclasses.dataclass
class EventStream:
    """Hold the last event that the caller has.

    `first_expected` is the event after the one that the caller named in
    its own request, if it resumes.
    """

    last_event: int | None = None
    events: int = 0
    out_of_order: bool = False
    _rest: bytes = b""

    def feed(self, chunk: bytes) -> bytes:
        """Return the whole new events; an unexpected one ends the stream."""
        data = self._rest + chunk if self._rest else chunk
        end = data.rfind(EVENT_END)
        if end < 0:
            self._rest = data
            return b""
        end += len(EVENT_END)
        self._rest = data[end:]
        return b"".join(self._new_events(data[:end]))

    def restart(self) -> None:
        """Drop the event that the last endpoint left unfinished."""
        self._rest = b""
        self.out_of_order = False

    @property
    def ends_whole(self) -> bool:
        """Tell whether no part of an event is pending."""
        return not self._rest.strip()

    def _new_events(self, data: bytes) -> list[bytes]:
        passed: list[bytes] = []
        for event in data.split(EVENT_END)[:-1]:
            number = _number_of(event)
            if number is None:
                passed.append(event + EVENT_END)
                continue
            if self.last_event is not None and number <= self.last_event:
                continue
            if self.last_event is not None and number != self.last_event + 1:
                self.out_of_order = True
                break
            self.last_event = number
            self.events += 1
            passed.append(event + EVENT_END)
        return passed


def _number_of(event: bytes) -> int | None:
    for line in event.split(b"\n"):
        if line.startswith(ID_FIELD):
            text = line[len(ID_FIELD) :].strip()
            return int(text) if text.isdigit() else None
    return None
