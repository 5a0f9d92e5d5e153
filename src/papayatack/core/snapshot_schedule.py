"""Decides when a node stores a snapshot of the ownership state."""

__all__ = ["SnapshotSchedule"]

MAX_UNCOVERED_RECORDS = 1000
"""Number of records since the last snapshot from which the next one is due at once."""


class SnapshotSchedule:
    """Tracks how old the oldest record is that no snapshot covers.

    A node that starts reads the records that follow the newest snapshot. They must not
    be many, and the log must still retain them.

    Args:
        interval_s: Age in seconds from which that record makes a snapshot due.
        now: Event loop time in seconds, from which the age of the records counts that
            were there before.
    """

    def __init__(self, *, interval_s: float, now: float) -> None:
        self._interval_s = interval_s
        self._covered = 0
        self._uncovered_since_s = now

    def note_snapshot(self, covers: int, *, now: float) -> None:
        """Record that a snapshot is stored.

        Args:
            covers: Offset after the last record that it includes.
            now: Time at which the state was taken, in seconds.
        """
        self._covered = covers
        self._uncovered_since_s = now

    def reset(self, *, now: float) -> None:
        """Forget which records are covered, as another node stores the snapshots."""
        self._covered = 0
        self._uncovered_since_s = now

    def is_due(self, next_offset: int, *, now: float) -> bool:
        """Return whether to store a snapshot of the state before ``next_offset``."""
        uncovered = next_offset - self._covered
        if uncovered <= 0:
            self._uncovered_since_s = now
            return False
        age_s = now - self._uncovered_since_s
        return uncovered >= MAX_UNCOVERED_RECORDS or age_s >= self._interval_s
