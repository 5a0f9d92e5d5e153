"""Decoding of payloads read from the log, directly or through a peer."""

import dataclasses
import logging
from collections.abc import Iterator, Sequence

from returns.result import Failure, Success

from papayatack.core.records import ConfigRecord, OwnershipRecord
from papayatack.observability.events import Event, log_event
from papayatack.observability.metrics import Metrics
from papayatack.wire.records import decode_record

__all__ = ["LoggedRecord", "RecordDecoder"]

LOGGER = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LoggedRecord:
    """A record with its offset in the log.

    Attributes:
        offset: Offset of the record.
        record: The record, or ``None`` for a payload that every node skips.
    """

    offset: int
    record: OwnershipRecord | ConfigRecord | None


class RecordDecoder:
    """Decodes payloads, and counts and logs those that are skipped.

    Every task that folds a stream uses this class, whether the payloads come from the
    log or from a peer, so that all nodes skip the same payloads.

    Args:
        metrics: Counts ``log_records_skipped`` by reason.
    """

    def __init__(self, *, metrics: Metrics) -> None:
        self._metrics = metrics

    def decode(self, stream: str, offset: int, payload: bytes) -> LoggedRecord:
        """Decode the payload at an offset."""
        match decode_record(stream, payload):
            case Success(record):
                return LoggedRecord(offset=offset, record=record)
            case Failure(failure):
                self.note_skipped(stream, offset, failure.kind.value, failure.detail)
        return LoggedRecord(offset=offset, record=None)

    async def decode_in_slices(
        self, stream: str, offset: int, payload: bytes
    ) -> LoggedRecord:
        """Decode a payload that may be large, letting other tasks run in between."""
        return self.decode(stream, offset, payload)

    def note_skipped(self, stream: str, offset: int, reason: str, detail: str) -> None:
        """Count and log a payload that every node skips."""
        self._metrics.count("log_records_skipped", reason)
        log_event(
            LOGGER,
            Event.LOG_RECORD_SKIPPED,
            level=logging.WARNING,
            stream=stream,
            offset=offset,
            reason=reason,
            detail=detail,
        )

    def decode_page(
        self, stream: str, first: int, payloads: Sequence[bytes]
    ) -> Iterator[LoggedRecord]:
        """Yield the records of consecutive payloads."""
        for index, payload in enumerate(payloads):
            yield self.decode(stream, first + index, payload)
