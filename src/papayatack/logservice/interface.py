"""Interface of the platform's log service."""

import dataclasses
import enum
from typing import Protocol

from returns.result import Result

__all__ = [
    "LogFailure",
    "LogFailureKind",
    "LogPage",
    "LogService",
    "SnapshotStore",
    "StoredSnapshot",
]


class LogFailureKind(enum.StrEnum):
    """Kinds of failure of a call to the log service."""

    REFUSED = "refused"
    """The append did not take effect, or the read returned nothing."""

    UNKNOWN = "unknown"
    """The append may have taken effect."""

    EXPIRED = "expired"
    """The records at the requested offset are no longer retained."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LogFailure:
    """A failed call to the log service.

    Attributes:
        kind: Kind of failure, which tells whether an append may have taken effect.
        detail: Description of the failure.
        first: Oldest retained offset, for ``EXPIRED``.
    """

    kind: LogFailureKind
    detail: str = ""
    first: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LogPage:
    """Consecutive records of a stream, as returned by one read.

    Attributes:
        first: Offset of the first payload.
        payloads: Encoded records in the order of their offsets.
        end: Offset of the next append at the time of the read.
    """

    first: int
    payloads: tuple[bytes, ...]
    end: int


class LogService(Protocol):
    """An append-only log with several named streams.

    Durations are in seconds.
    """

    async def append(
        self, stream: str, payload: bytes, *, timeout_s: float
    ) -> Result[int, LogFailure]:
        """Append one record and return its offset."""

    async def read(
        self, stream: str, offset: int, *, limit: int, wait_s: float, timeout_s: float
    ) -> Result[LogPage, LogFailure]:
        """Return records from ``offset`` on, waiting up to ``wait_s`` for the first."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StoredSnapshot:
    """A stream's folded state, kept beside the stream.

    Attributes:
        writer: The node that wrote it.
        covers: Offset after the last record that the state includes, at least 1.
        last_record: Digest of that record. The state belongs to the stream only if the
            stream has the same record at that offset.
        document: The state, serialized by its fold.
    """

    writer: str
    covers: int
    last_record: str
    document: str


class SnapshotStore(Protocol):
    """Keeps the newest snapshot of a stream's state.

    Durations are in seconds.
    """

    async def read_snapshot(
        self, *, timeout_s: float
    ) -> Result[StoredSnapshot | None, LogFailure]:
        """Return the snapshot, ``None`` if there is none that can be read."""

    async def write_snapshot(
        self, snapshot: StoredSnapshot, *, timeout_s: float
    ) -> Result[None, LogFailure]:
        """Replace the snapshot.

        Fails with ``REFUSED`` if another node has replaced it since this one read or
        tried to replace it. A later call may succeed.
        """
