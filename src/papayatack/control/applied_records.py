"""The newest ownership records of a node, from which lost ones can be restored."""

import asyncio

from papayatack.control.following import LogFollower
from papayatack.core.ownership.node import NodeCore
from papayatack.core.records import OWNERSHIP_STREAM
from papayatack.logservice.tailer import RecordsExpired

__all__ = ["AppliedRecords"]


class AppliedRecords:
    """The newest ownership records of a node, from which lost ones can be restored.

    Args:
        follower: Reads and buffers the records of the node.
        core: The ownership core of the node.
        queue: Receives the messages of the tailers.
    """

    def __init__(
        self, *, follower: LogFollower, core: NodeCore, queue: asyncio.Queue
    ) -> None:
        self._follower = follower
        self._core = core
        self._queue = queue
        self._recent = follower.recent[OWNERSHIP_STREAM]
        self._abandoning: set[asyncio.Task] = set()

    @property
    def first(self) -> int:
        """Offset of the oldest of them."""
        return self._recent.first

    @property
    def end(self) -> int:
        """Offset after the newest of them."""
        return self._recent.end

    @property
    def peer_end(self) -> int:
        """Highest such offset that any other node has reported."""
        return self._core.peer_offsets[OWNERSHIP_STREAM]

    @property
    def is_lead(self) -> bool:
        """Whether this node reads the log for the whole fleet."""
        return self._follower.is_lead

    def read(self, offset: int) -> bytes:
        """Return the record at an offset from ``first`` up to ``end``."""
        return self._recent.read(offset)

    def abandon(self) -> None:
        """Have the node end, as if records that it lacks were kept no longer."""
        message = RecordsExpired(
            stream=OWNERSHIP_STREAM, wanted=self.end, first=self.end + 1
        )
        task = asyncio.ensure_future(self._queue.put(message))
        self._abandoning.add(task)
        task.add_done_callback(self._abandoning.discard)
