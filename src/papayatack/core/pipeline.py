"""Which requests of one connection run side by side, and which wait.

A connection has one :class:`Pipeline`. Requests are added in the order in which they
were read, and are answered in that order::

    if pipeline.find_obstacle(limits, ...) is None:
        starts = pipeline.add(runs_beside=...)
    ...
    starts_next = pipeline.end_first()
"""

import dataclasses
import enum
from collections.abc import Callable

from papayatack.core.byte_budget import ByteBudget

__all__ = ["Obstacle", "Pipeline", "PipelineLimits"]


class Obstacle(enum.StrEnum):
    """Why no further request is read while others are in flight."""

    NUMBER = "number"
    """As many as allowed are in flight."""
    BYTES = "bytes"
    """The responses that wait for their turn have as many bytes as allowed."""
    NODE = "node"
    """The node has as many requests in flight ahead of their turn as allowed."""
    ALONE = "alone"
    """The last one read runs while no other does."""
    DRAINING = "draining"
    """The node is shutting down."""
    LAST = "last"
    """The connection is closed behind the last one read."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PipelineLimits:
    """Limits of one connection.

    Attributes:
        requests: Most requests in flight; 1 serves one at a time.
        held_bytes: Bytes of responses waiting for their turn at which nothing more is
            read, neither of these responses nor of requests.
    """

    requests: int
    held_bytes: int


class Pipeline:
    """The requests of one connection that have no whole response yet.

    Args:
        budget: The node's budget for what is held for callers; ``None`` for no limit.

    Attributes:
        in_flight: Number of requests that have started and are not answered.
        is_waiting: Whether one that was read waits until those are answered.
        held_bytes: Bytes of responses that wait for their turn.
        is_ended: Whether no further request is read.
    """

    __slots__ = ("_budget", "held_bytes", "in_flight", "is_ended", "is_waiting")

    def __init__(self, *, budget: ByteBudget | None = None) -> None:
        self._budget = budget
        self.in_flight = 0
        self.is_waiting = False
        self.held_bytes = 0
        self.is_ended = False

    def find_obstacle(
        self,
        limits: PipelineLimits,
        *,
        last_runs_beside: Callable[[], bool],
        has_node_room: bool = True,
        is_draining: bool = False,
    ) -> Obstacle | None:
        """Return why the next request must not be read, ``None`` if it may be.

        Args:
            limits: Limits of the connection.
            last_runs_beside: Tells whether the request read last may run beside others;
                called only if nothing else stands in the way.
            has_node_room: Whether the node may have one more in flight ahead of its
                turn.
            is_draining: Whether the node is shutting down.
        """
        if self.is_ended:
            return Obstacle.LAST
        if not self.in_flight:
            return None
        if self.is_waiting:
            return Obstacle.ALONE
        if is_draining:
            return Obstacle.DRAINING
        if self.in_flight >= limits.requests:
            return Obstacle.NUMBER
        if self.held_bytes >= limits.held_bytes:
            return Obstacle.BYTES
        if not has_node_room:
            return Obstacle.NODE
        return None if last_runs_beside() else Obstacle.ALONE

    def add(self, *, runs_beside: bool) -> bool:
        """Add the request that was read next; return whether it starts now.

        Args:
            runs_beside: Whether it may run beside others; has no effect on the first.
        """
        if self.in_flight and not runs_beside:
            self.is_waiting = True
            return False
        self.in_flight += 1
        return True

    def end_first(self) -> bool:
        """Remove the first request; return whether the one that waits starts now."""
        self.in_flight -= 1
        if self.in_flight or not self.is_waiting:
            return False
        self.is_waiting = False
        self.in_flight = 1
        return True

    def end_reading(self) -> None:
        """Read no further request, as the connection will be closed."""
        self.is_ended = True

    def may_hold(self, max_bytes: int) -> bool:
        """Return whether more of a response that waits for its turn may be read."""
        has_room = self._budget is None or self._budget.has_room
        return has_room and self.held_bytes < max_bytes

    def hold(self, size: int) -> None:
        """Count bytes of a response that waits for its turn."""
        self.held_bytes += size
        if self._budget is not None:
            self._budget.add(size)

    def release(self, size: int) -> None:
        """Count bytes of such a response as written or discarded."""
        self.held_bytes -= size
        if self._budget is not None:
            self._budget.subtract(size)
