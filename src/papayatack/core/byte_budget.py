"""Limit on the bytes that a node holds for all its callers together.

Each holder charges what it keeps in memory and gives it back. If the budget is spent,
holders that have made no progress for a while are ended, those that have rested longest
first. If that does not make room, the charge is refused::

    holder = budget.open(now, end=connection.end_body)
    if not budget.charge(now, holder, len(data)):
        ...  # refuse the request
    budget.release(holder, len(data))
    budget.close(holder)
"""

import collections
import dataclasses
from collections.abc import Callable

__all__ = ["ByteBudget", "Holder"]

REST_S = 1.0
"""Time without progress after which a holder may be ended, in seconds."""

PROGRESS_BYTES = 1_024
"""Bytes that count as progress. A byte now and then is none."""


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class Holder:
    """Something that holds bytes for a caller.

    Attributes:
        end: Called without arguments if the holder has to give its bytes back.
        progress_s: Time of its last progress.
        held_bytes: Bytes that it holds.
        new_bytes: Bytes charged since its last progress.
        is_open: Whether it may still hold bytes.
    """

    end: Callable[[], None]
    progress_s: float
    held_bytes: int = 0
    new_bytes: int = 0
    is_open: bool = True


class ByteBudget:
    """The bytes that one node holds for callers.

    Args:
        limit_bytes: Most bytes that all holders may hold.
        count: Called with the name of a counter and a reason.

    Attributes:
        limit_bytes: Most bytes that all holders may hold.
        held_bytes: Bytes that they hold now.
    """

    def __init__(
        self, *, limit_bytes: int, count: Callable[[str, str], None] | None = None
    ) -> None:
        self.limit_bytes = limit_bytes
        self.held_bytes = 0
        self._count = count
        self._holders: collections.OrderedDict[Holder, None] = collections.OrderedDict()

    @property
    def has_room(self) -> bool:
        """Whether anything may be charged now."""
        return self.held_bytes < self.limit_bytes

    def add(self, size: int) -> None:
        """Charge bytes that are already in memory, whether or not there is room.

        Those who add ask :attr:`has_room` before they read on.
        """
        self.held_bytes += size

    def subtract(self, size: int) -> None:
        """Take back bytes that were added."""
        self.held_bytes -= size

    def open(self, now: float, *, end: Callable[[], None]) -> Holder:
        """Return a holder without bytes."""
        holder = Holder(end=end, progress_s=now)
        self._holders[holder] = None
        return holder

    def charge(self, now: float, holder: Holder, size: int) -> bool:
        """Let a holder keep more bytes; return whether there is room for them."""
        if not holder.is_open:
            return False
        self._note_progress(now, holder, size)
        if self.held_bytes + size > self.limit_bytes:
            self._make_room(now, holder, size)
        if self.held_bytes + size > self.limit_bytes:
            self._count_reason("refused")
            return False
        holder.held_bytes += size
        self.held_bytes += size
        return True

    def release(self, holder: Holder, size: int) -> None:
        """Take back bytes that a holder no longer keeps."""
        size = min(size, holder.held_bytes)
        holder.held_bytes -= size
        self.held_bytes -= size

    def close(self, holder: Holder) -> None:
        """Take back all that a holder keeps; it holds nothing from now on."""
        holder.is_open = False
        self._holders.pop(holder, None)
        self.release(holder, holder.held_bytes)

    def _note_progress(self, now: float, holder: Holder, size: int) -> None:
        holder.new_bytes += size
        if holder.new_bytes < PROGRESS_BYTES:
            return
        holder.new_bytes = 0
        holder.progress_s = now
        self._holders.move_to_end(holder)

    def _make_room(self, now: float, asking: Holder, size: int) -> None:
        """End holders that rest until there is room, the longest at rest first."""
        for holder in list(self._holders):
            is_spent = self.held_bytes + size > self.limit_bytes
            if not is_spent or now - holder.progress_s < REST_S:
                return
            if holder is asking or not holder.held_bytes:
                continue
            self.close(holder)
            self._count_reason("ended")
            holder.end()

    def _count_reason(self, reason: str) -> None:
        if self._count is not None:
            self._count("byte_budget", reason)
