"""Numbered log events.

``docs/events.md`` documents each event; a test checks that it matches the numbers and
names here. The hundreds digit of a number identifies the component: 1 daemon, 2 log
and configuration, 3 ownership, 4 data path, 5 admission, 6 placement.
"""

import enum
import logging

__all__ = ["Event", "log_event", "to_ms"]

MS_PER_S = 1000


class Event(enum.IntEnum):
    """The events that papayatack logs."""

    DAEMON_STARTED = 101
    DAEMON_STOPPED = 102
    SETTINGS_REJECTED = 103
    UPSTREAM_ANNOUNCED = 104
    DAEMON_FAILED = 105
    UPSTREAM_LEFT = 106
    SETTINGS_RELOADED = 107
    HEARTBEAT_REFUSED = 108
    LOG_LINES_DROPPED = 109
    LOOP_STALLED = 110
    STOP_STAGE = 111
    UPSTREAM_INTERRUPTED = 112
    LOG_RECORD_SKIPPED = 201
    LOG_UNAVAILABLE = 202
    LOG_AVAILABLE = 203
    LOG_RECORDS_EXPIRED = 204
    LOG_APPEND_UNKNOWN = 205
    CHECKPOINT_WRITTEN = 206
    CHECKPOINT_REJECTED = 207
    CHECKPOINT_MISMATCH = 208
    BOOTSTRAP_LOADED = 209
    BOOTSTRAP_FAILED = 210
    CONFIGURATION_IN_FORCE = 211
    STORE_ERA_RISEN = 212
    STORE_ERA_REJECTED = 213
    HISTORY_RESTORED = 214
    HISTORY_LOST = 215
    APPENDS_RESUMED = 216
    CONFIGURATION_AGED = 217
    LOG_SPEED_CHANGED = 218
    BOOTSTRAP_WAITING = 219
    SNAPSHOT_STORED = 220
    DATA_CENTRE_EVACUATED = 221
    DATA_CENTRE_RETURNED = 222
    SERVICE_EVACUATED = 223
    LEASE_LIVE = 301
    LEASE_FENCED = 302
    SHARD_STOPPED = 303
    INCARNATION_ENDED = 304
    DEPARTURE_STAGE = 305
    PEER_MESSAGE_REFUSED = 306
    GRANT_REFUSED = 307
    SHARD_TAKEN = 308
    GRANT_FAILED = 309
    PROMISES_FORGOTTEN = 310
    GRANTS_CONFIRMED = 311
    SHARDS_REVOKED = 312
    SHARDS_RELEASED = 313
    GRANT_LATE = 314
    GRANTS_FORGOTTEN = 315
    REQUEST_FAILED = 401
    REQUEST_ANSWERED = 402
    REQUEST_REFUSED = 403
    ATTEMPT_FAILED = 404
    UPSTREAM_REFUSED = 405
    UPSTREAM_ERRED = 406
    RUN_CUT = 407
    PEER_LINK_LOST = 408
    PEER_SILENT = 409
    CONNECTION_CUT = 410
    UPSTREAM_CRASHED = 411
    REQUEST_QUARANTINED = 412
    REQUEST_CLEARED = 413
    ANSWER_CUT = 414
    CALLERS_LEFT = 415
    REQUESTS_LATE = 416
    ACCEPT_PAUSED = 417
    UPSTREAM_EJECTED = 501
    UPSTREAM_RECOVERED = 502
    UPSTREAM_LIMITED = 503
    UPSTREAM_LIMIT_MALFORMED = 504
    UPSTREAM_COLD = 510
    UPSTREAM_WARM = 511
    UPSTREAM_REPORTS_LOAD = 507
    KEYS_CONCENTRATED = 601


def to_ms(seconds: float) -> int:
    """Return a duration in whole milliseconds, rounded towards zero, for a field."""
    return int(seconds * MS_PER_S)


def log_event(
    logger: logging.Logger, event: Event, *, level: int = logging.INFO, **fields: object
) -> None:
    """Log ``event`` with its fields as one structured record."""
    if logger.isEnabledFor(level):
        logger.log(
            level,
            event.name,
            extra={"event": int(event), "name_of_event": event.name, **fields},
        )
