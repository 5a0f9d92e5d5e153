"""Decides when a node must look for a newer configuration, and where."""

import math

from papayatack.core.config_age import ConfigAge
from papayatack.core.config_reads import ReadTimes
from papayatack.core.identity import IncarnationId
from papayatack.core.log_speed import LogSpeed
from papayatack.core.messages import ConfigPosition, ConfigRead

__all__ = ["ConfigWatch"]

US_PER_S = 1_000_000

FORWARDING_TIME_S = 0.2
"""Time for which a node that learns of a newer configuration waits for it to be
forwarded, before it asks another node for it."""

ANSWER_TIME_S = 0.15
"""Time after which the next node is asked, or the log is read."""

MAX_QUERIES = 2
"""Nodes that are asked for a newer configuration before the log is read."""

STAND_IN_AGES_S = {1: 0.65, 2: 0.7}
"""Age of the configuration above which a node reads the log itself, by its rank as a
planner. The planner, of rank 0, reads the log for all others at any time."""

MAX_AGE_S = 0.8
"""Age of the configuration above which any other node reads the log itself."""

SPREAD_S = 0.05
"""Greatest addition to :data:`MAX_AGE_S`, which differs between nodes so that they do
not all read at the same moment."""

NO_READER = IncarnationId("")
"""Name of a node that nobody else knows."""

SLOW_LOG_STEP_S = 0.2
"""Addition to the age for each rank while the log is slow: few nodes read it at a time
then, as more reads would not make the configuration any younger."""


class ConfigWatch:
    """Knows at which time the configuration of this node was the newest for certain.

    The time comes from the node that reads the log for all others, with each of its
    reads, and reaches the other nodes along the forwarding tree and with the renewals
    of leases. Whatever fails on the way lets the age of the configuration grow; a node
    whose configuration is too old reads the log itself. Times are in seconds of the
    event loop's clock.

    Args:
        reader: This node, as others know it.

    Attributes:
        offset: Offset of the next config record to apply.
        current_s: Time at which the log had no record from ``offset`` on.
        read: The read that showed this; ``None`` if it is unknown.
        speed: Whether the log answers slowly, from this node's reads and others'.
    """

    def __init__(self, *, reader: IncarnationId = NO_READER) -> None:
        self.offset = 0
        self.current_s = float("-inf")
        self.read: ConfigRead | None = None
        self._reader = reader
        self._read_times = ReadTimes()
        self.speed = LogSpeed()
        self._reported_offset = 0
        self._reported_s = float("-inf")
        self._reported_read: ConfigRead | None = None
        self._newer_since_s = float("inf")
        self._informed: list[IncarnationId] = []
        self._queries = 0
        self._queried_s = float("-inf")

    def find_age_s(self, now: float) -> float:
        """Return for how long the configuration may have been outdated."""
        return max(now - self.current_s, 0.0)

    def describe_age(self, now: float) -> ConfigAge:
        """Return how old the configuration may be."""
        age_s = self.find_age_s(now)
        return ConfigAge(
            age_s=age_s if math.isfinite(age_s) else None,
            is_superseded=self._newer_since_s <= now,
        )

    def set_offset(self, offset: int) -> None:
        """Record that all records before ``offset`` are applied."""
        if offset <= self.offset:
            return
        self.offset = offset
        if self._reported_offset == offset:
            self._note_current(self._reported_s, self._reported_read)
        if self._reported_offset <= offset:
            self._discard_reports()

    def confirm(self, time_s: float) -> None:
        """Record that a read of the log found no newer record at a time.

        What other nodes reported of newer ones before was false then.
        """
        read = ConfigRead(reader=self._reader, read_us=int(time_s * US_PER_S))
        self._note_current(self._read_times.find(read, time_s), read)
        if time_s >= self._newer_since_s:
            self._discard_reports()

    def forget(self) -> None:
        """Discard the time of the last confirmation, after a pause the clock missed."""
        self.current_s = float("-inf")
        self.read = None
        self._read_times.clear()

    def make_position(self, now: float) -> ConfigPosition:
        """Return what other nodes are told; the time of the newest must be known."""
        is_from_answer = self.speed.read_s >= self.current_s
        response_s = self.speed.response_s if is_from_answer else None
        return ConfigPosition(
            offset=self.offset,
            age_us=int(self.find_age_s(now) * US_PER_S),
            response_us=None if response_s is None else int(response_s * US_PER_S),
            read=self.read,
        )

    def receive_position(
        self,
        sender: IncarnationId,
        offset: int,
        time_s: float | None,
        now: float,
        *,
        read: ConfigRead | None = None,
    ) -> None:
        """Process another node's offset, and when it was the newest for certain.

        Args:
            sender: The other node.
            offset: Its offset.
            time_s: When its offset was the newest; ``None`` if unknown.
            now: Current time.
            read: The read that showed this, if the other node knows it.
        """
        time_s = float("-inf") if time_s is None else min(time_s, now)
        if read is not None:
            time_s = self._read_times.find(read, time_s)
        if offset == self.offset:
            self._note_current(time_s, read)
        elif offset > self.offset:
            self._note_newer(sender, offset, now)
            self._note_reported(offset, time_s, read)

    def _note_current(self, time_s: float, read: ConfigRead | None) -> None:
        """Note a time at which the configuration was the newest."""
        if time_s > self.current_s:
            self.current_s = time_s
            self.read = read

    def receive_speed(self, position: ConfigPosition, now: float) -> None:
        """Process how long the log took for the answer that another node tells of."""
        if position.response_us is None:
            return
        read_s = now - max(position.age_us, 0) / US_PER_S
        if position.read is not None:
            read_s = self._read_times.find(position.read, read_s)
        self.speed.note_answer(read_s, position.response_us / US_PER_S, now)

    def _note_newer(self, sender: IncarnationId, offset: int, now: float) -> None:
        if offset > self._reported_offset:
            self._reported_offset = offset
            self._reported_s = float("-inf")
            self._informed.clear()
        if offset == self._reported_offset:
            self._newer_since_s = min(self._newer_since_s, now)
            if sender not in self._informed:
                self._informed.append(sender)

    def _note_reported(
        self, offset: int, time_s: float, read: ConfigRead | None
    ) -> None:
        """Note a time at which a newer configuration was the newest."""
        if offset == self._reported_offset and time_s > self._reported_s:
            self._reported_s = time_s
            self._reported_read = read

    def _discard_reports(self) -> None:
        self._reported_offset = 0
        self._reported_s = float("-inf")
        self._newer_since_s = float("inf")
        self._informed.clear()
        self._queries = 0

    def choose_informed(self, now: float) -> IncarnationId | None:
        """Return the node to ask for a newer configuration now, if one is due."""
        if (
            not self._informed
            or self._queries >= MAX_QUERIES
            or now < self._newer_since_s + FORWARDING_TIME_S
            or now < self._queried_s + ANSWER_TIME_S
        ):
            return None
        self._queried_s = now
        self._queries += 1
        return self._informed.pop()

    def must_read_log(self, now: float, *, rank: int, spread: float) -> bool:
        """Return whether this node must read the log to learn of newer records.

        Args:
            now: Current time.
            rank: Rank of this node as a planner.
            spread: Share of :data:`SPREAD_S` that this node adds, from 0 to 1.
        """
        if rank == 0:
            return True
        if self._newer_since_s <= now:
            waited_s = FORWARDING_TIME_S + MAX_QUERIES * ANSWER_TIME_S
            return now >= self._newer_since_s + waited_s
        limit_s = STAND_IN_AGES_S.get(rank, MAX_AGE_S + SPREAD_S * spread)
        if self.speed.is_slow(now):
            limit_s += SLOW_LOG_STEP_S * rank
        return self.find_age_s(now) >= limit_s

    def is_aging(self, now: float) -> bool:
        """Return whether any node could have to read the log by now."""
        return self._newer_since_s <= now or self.find_age_s(now) >= min(
            STAND_IN_AGES_S.values()
        )
