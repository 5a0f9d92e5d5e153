"""Numbered log events.

``docs/events.md`` is the catalogue; a test holds both together. The hundreds give
the part: 1 daemon, 2 log and configuration, 3 ownership, 4 data path, 5 admission,
6 placement.
"""

import enum
import logging

__all__ = ["Event", "log_event"]


class Event(enum.IntEnum):
    """Every event that papayatack writes to its log."""

    DAEMON_STARTED = 101
    DAEMON_STOPPED = 102
    SETTINGS_REJECTED = 103
    UPSTREAM_ANNOUNCED = 104
    REQUEST_FAILED = 401


def log_event(
    logger: logging.Logger, event: Event, *, level: int = logging.INFO, **fields: object
) -> None:
    """Write ``event`` with its fields as one structured log line."""
    if logger.isEnabledFor(level):
        logger.log(
            level,
            event.name,
            extra={"event": int(event), "name_of_event": event.name, **fields},
        )
