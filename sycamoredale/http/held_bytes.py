"""Limit the bytes that a process holds for all its exchanges together.

The limit of one body does not bound the sum of many.  What is held for an
exchange is reserved while it grows; who is denied drops it.  An owner of
several reservations holds no more than it leaves free, so that one endpoint
in trouble gets half of the limit, and two get a third each.
"""

import collections
import collections.abc
import math
import types
import typing
from typing import Final

from sycamoredale.observability import exposition
from sycamoredale.observability import logs

# Always granted: refusing so little would cost more than holding it.
SMALL_BYTES: Final = 8192
LOG: Final = logs.get("http.held_bytes")


class HeldBytes:
    """Count the bytes that are held, and refuse more than a limit."""

    def __init__(
        self,
        limit_bytes: float = math.inf,
        kind: str = "all",
        metrics: exposition.MetricRegistry | None = None,
    ) -> None:
        """Begin with nothing held; `kind` names it in logs and metrics."""
        self.limit_bytes: Final = limit_bytes
        self.total = 0
        self._kind: Final = kind
        self._metrics: Final = metrics
        self._size_by_owner: collections.Counter[collections.abc.Hashable] = (
            collections.Counter()
        )

    def reserve(
        self, owner: collections.abc.Hashable | None = None
    ) -> "Reservation":
        """Return an empty reservation, to be used as a context manager.

        Without an owner, only the limit of the sum applies to it.
        """
        return Reservation(self, owner)

    def set_gauge(self) -> None:
        """Set the gauge of the bytes that are held now."""
        if self._metrics is not None:
            self._metrics.set_gauge("held_bytes", self._kind, self.total)

    def fits(
        self, added: int, owner: collections.abc.Hashable | None = None
    ) -> bool:
        """Return whether an owner may hold more bytes now."""
        free = self.limit_bytes - self.total - added
        if owner is None:
            return free >= 0
        return self._size_by_owner[owner] + added <= free

    def add(self, added: int, owner: collections.abc.Hashable | None) -> None:
        """Count bytes that are held from now on, or no longer if negative."""
        self.total += added
        if owner is None:
            return
        self._size_by_owner[owner] += added
        if not self._size_by_owner[owner]:
            del self._size_by_owner[owner]

    def record_refusal(
        self, size: int, owner: collections.abc.Hashable | None = None
    ) -> None:
        """Log and count that something of some size was not held."""
        if self._metrics is not None:
            self._metrics.count("held_bytes_refusals", self._kind)
        LOG.warning(
            "held_bytes_refused",
            kind=self._kind,
            owner=None if owner is None else str(owner),
            bytes=size,
            held=self.total,
        )


class Reservation:
    """Hold bytes for one exchange until the end of a `with` block."""

    __slots__ = ("_held", "_owner", "size")

    def __init__(
        self, held: HeldBytes, owner: collections.abc.Hashable | None
    ) -> None:
        """Reserve nothing yet."""
        self.size = 0
        self._held = held
        self._owner = owner

    def __enter__(self) -> typing.Self:
        """Return the reservation."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        """Release what is held."""
        self.release()

    def resize(self, size: int) -> bool:
        """Hold this size instead; return false, unchanged, if it is denied."""
        added = size - self.size
        if (
            added > 0
            and size > SMALL_BYTES
            and not self._held.fits(added, self._owner)
        ):
            self._held.record_refusal(size, self._owner)
            return False
        self._held.add(added, self._owner)
        self.size = size
        return True

    def may_reach(self, size: int) -> bool:
        """Return whether a size that is expected would be granted now."""
        if size <= SMALL_BYTES or self._held.fits(
            size - self.size, self._owner
        ):
            return True
        self._held.record_refusal(size, self._owner)
        return False

    def move(self) -> "Reservation":
        """Return a reservation that holds these bytes instead of this one."""
        moved = Reservation(self._held, self._owner)
        moved.size, self.size = self.size, 0
        return moved

    def release(self) -> None:
        """Hold nothing any more."""
        if self.size:
            self._held.add(-self.size, self._owner)
            self.size = 0
