"""Decides when a node must look for a newer configuration, and where."""

import math

from papayatack.core.config_age import ConfigAge
from papayatack.core.identity import IncarnationId

__all__ = ["ConfigWatch"]

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

USUAL_READ_S = 0.1
"""Duration up to which a read of the log counts as usual."""

SLOW_READ_FACTOR = 2
"""How much older the configuration may be after a slow read, relative to the time by
which the read exceeded :data:`USUAL_READ_S`. The log is slow for the planner too then,
and more reads would not help."""

SLOW_LOG_TIME_S = 10.0
"""Time for which a slow read allows an older configuration."""


class ConfigWatch:
    """Knows at which time the configuration of this node was the newest for certain.

    The time comes from the node that reads the log for all others, with each of its
    reads, and reaches the other nodes along the forwarding tree and with the renewals
    of leases. Whatever fails on the way lets the age of the configuration grow; a node
    whose configuration is too old reads the log itself. Times are in seconds of the
    event loop's clock.

    Attributes:
        offset: Offset of the next config record to apply.
        current_s: Time at which the log had no record from ``offset`` on.
    """

    def __init__(self) -> None:
        self.offset = 0
        self.current_s = float("-inf")
        self._reported_offset = 0
        self._reported_s = float("-inf")
        self._newer_since_s = float("inf")
        self._informed: list[IncarnationId] = []
        self._queries = 0
        self._queried_s = float("-inf")
        self._allowance_s = 0.0
        self._allowed_until_s = float("-inf")

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
            self.current_s = max(self.current_s, self._reported_s)
        if self._reported_offset <= offset:
            self._discard_reports()

    def confirm(self, time_s: float) -> None:
        """Record that a read of the log found no newer record at a time.

        What other nodes reported of newer ones before was false then.
        """
        self.current_s = max(self.current_s, time_s)
        if time_s >= self._newer_since_s:
            self._discard_reports()

    def record_read(self, started_s: float, ended_s: float) -> None:
        """Record how long a read of the log took that did not wait for records."""
        excess_s = ended_s - started_s - USUAL_READ_S
        self._allowance_s = SLOW_READ_FACTOR * max(excess_s, 0.0)
        self._allowed_until_s = ended_s + SLOW_LOG_TIME_S

    def find_allowance_s(self, now: float) -> float:
        """Return how much older the configuration may be after a slow read."""
        return self._allowance_s if now < self._allowed_until_s else 0.0

    def forget(self) -> None:
        """Discard the time of the last confirmation, after a pause the clock missed."""
        self.current_s = float("-inf")

    def receive_position(
        self, sender: IncarnationId, offset: int, time_s: float | None, now: float
    ) -> None:
        """Process another node's offset, and when it was the newest for certain.

        Args:
            sender: The other node.
            offset: Its offset.
            time_s: When its offset was the newest; ``None`` if unknown.
            now: Current time.
        """
        if time_s is None:
            time_s = float("-inf")
        if offset == self.offset:
            self.current_s = max(self.current_s, min(time_s, now))
        elif offset > self.offset:
            self._note_newer(sender, offset, time_s, now)

    def _note_newer(
        self, sender: IncarnationId, offset: int, time_s: float, now: float
    ) -> None:
        if offset > self._reported_offset:
            self._reported_offset = offset
            self._reported_s = float("-inf")
            self._informed.clear()
        if offset == self._reported_offset:
            self._reported_s = max(self._reported_s, min(time_s, now))
            self._newer_since_s = min(self._newer_since_s, now)
            if sender not in self._informed:
                self._informed.append(sender)

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
        return self._find_excess_s(now) >= limit_s

    def is_aging(self, now: float) -> bool:
        """Return whether any node could have to read the log by now."""
        return self._newer_since_s <= now or self._find_excess_s(now) >= min(
            STAND_IN_AGES_S.values()
        )

    def _find_excess_s(self, now: float) -> float:
        """Return the age of the configuration beyond what a slow log explains."""
        return self.find_age_s(now) - self.find_allowance_s(now)
