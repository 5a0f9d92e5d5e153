"""Client of the platform's log service."""

from papayatack.logservice.appender import Appender, Pacer
from papayatack.logservice.bootstrap import (
    BootstrapFailure,
    BootstrapFailureKind,
    Loaded,
    load_stream,
)
from papayatack.logservice.checkpoints import CheckpointKeeper, Snapshot
from papayatack.logservice.decoding import LoggedRecord, RecordDecoder
from papayatack.logservice.http import HttpLogService
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
    "BootstrapFailure",
    "BootstrapFailureKind",
    "CheckpointKeeper",
    "HttpLogService",
    "LogFailure",
    "LogFailureKind",
    "LogPage",
    "LogService",
    "Loaded",
    "LoggedRecord",
    "Pacer",
    "RecordDecoder",
    "RecordsExpired",
    "RecordsRead",
    "Snapshot",
    "TailMessage",
    "Tailer",
    "load_stream",
]
