"""Client of the platform's append-only log service."""

from papayatack.logservice.appender import Appender, Pacer
from papayatack.logservice.decoding import LoggedRecord, RecordDecoder
from papayatack.logservice.interface import (
    LogFailure,
    LogFailureKind,
    LogPage,
    LogService,
)
from papayatack.logservice.tailer import (
    RecordsExpired,
    RecordsRead,
    Tailer,
    TailMessage,
)

__all__ = [
    "Appender",
    "LogFailure",
    "LogFailureKind",
    "LogPage",
    "LogService",
    "LoggedRecord",
    "Pacer",
    "RecordDecoder",
    "RecordsExpired",
    "RecordsRead",
    "TailMessage",
    "Tailer",
]
