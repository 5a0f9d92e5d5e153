"""What papayatack needs of the platform's log service."""

import dataclasses
import enum
from typing import Protocol

from returns.result import Result

__all__ = ["LogFailure", "LogFailureKind", "LogPage", "LogService"]


class LogFailureKind(enum.StrEnum):
    """Why a call of the log service failed."""

    REFUSED = "refused"
    """The append did not take effect, or the read gave nothing."""

    UNKNOWN = "unknown"
    """The append may have taken effect."""

    EXPIRED = "expired"
    """The records at the offset are kept no longer."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LogFailure:
    """A failed call.

    Attributes:
        kind: What is known of its effect.
        detail: What happened.
        first: Oldest offset still kept, for ``EXPIRED``.
    """

    kind: LogFailureKind
    detail: str = ""
    first: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LogPage:
    """Consecutive records.

    Attributes:
        first: Offset of the first payload.
        payloads: Records in the order of their offsets.
        end: Offset that the next append will get, as the service knew it.
    """

    first: int
    payloads: tuple[bytes, ...]
    end: int


class LogService(Protocol):
    """An append-only log of several streams."""

    async def append(
        self, stream: str, payload: bytes, *, timeout_s: float
    ) -> Result[int, LogFailure]:
        """Append one record and return its offset."""

    async def read(
        self, stream: str, offset: int, *, limit: int, wait_s: float, timeout_s: float
    ) -> Result[LogPage, LogFailure]:
        """Return records from ``offset`` on, waiting up to ``wait_s`` for the first."""
