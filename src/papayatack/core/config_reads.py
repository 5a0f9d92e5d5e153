"""When reads of the log took place, of which nodes tell each other."""

from collections import OrderedDict

from papayatack.core.messages import ConfigRead

__all__ = ["ReadTimes"]

MAX_READERS = 1_024
"""Number of nodes whose newest read is kept; those heard of longest ago are dropped."""


class ReadTimes:
    """The time of the newest known read of each node, on the local clock.

    A message that tells of a read says how long ago it was, without the time that the
    message itself was on its way. So each further message makes the same read seem
    younger, in particular if it went round through several nodes. The earliest of the
    times counts that are known of a read, and none is later than that of a newer read
    of the same node.
    """

    def __init__(self) -> None:
        self._newest: OrderedDict[str, tuple[int, float]] = OrderedDict()

    def clear(self) -> None:
        """Forget all times, after a pause that the clock missed."""
        self._newest.clear()

    def find(self, read: ConfigRead, time_s: float) -> float:
        """Return the time of a read in seconds, given that of a message about it."""
        known = self._newest.get(read.reader)
        if known is not None and read.read_us <= known[0]:
            time_s = min(time_s, known[1])
        if known is None or read.read_us >= known[0]:
            self._newest[read.reader] = (read.read_us, time_s)
            self._newest.move_to_end(read.reader)
            if len(self._newest) > MAX_READERS:
                self._newest.popitem(last=False)
        return time_s
