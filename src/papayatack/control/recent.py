"""Buffers the newest records of a log stream, to forward them to other nodes."""

from collections import deque

from papayatack.control.provenance import Provenance
from papayatack.core.messages import LogBatch
from papayatack.wire.packing import unpack_record

__all__ = ["RecentRecords"]

MAX_RECORDS = 4096
MAX_BYTES = 4 * 1024 * 1024
MAX_BATCH_RECORDS = 256
MAX_BATCH_BYTES = 64 * 1024


class RecentRecords:
    """A bounded buffer of consecutive packed records of one stream.

    Args:
        stream: The stream's name.
        first: Offset of the first payload to be added.
        newest_only: Whether a payload replaces all earlier ones.

    Attributes:
        provenance: How the newest payload reached this node.
    """

    def __init__(
        self, *, stream: str, first: int = 0, newest_only: bool = False
    ) -> None:
        self._newest_only = newest_only
        self._stream = stream
        self._first = first
        self._payloads: deque[bytes] = deque()
        self._size_bytes = 0
        self.provenance = Provenance(read_s=0.0)

    @property
    def end(self) -> int:
        """Offset of the record after the newest one."""
        return self._first + len(self._payloads)

    @property
    def first(self) -> int:
        """Offset of the oldest buffered record."""
        return self._first

    def read(self, offset: int) -> bytes:
        """Return the buffered record at an offset, unpacked."""
        return unpack_record(self._payloads[offset - self._first])

    def add(self, offset: int, payload: bytes, provenance: Provenance) -> None:
        """Add a payload; discard the earlier ones if there is a gap before it.

        Payloads that were added before are ignored.
        """
        if offset < self.end:
            return
        if offset > self.end:
            self._payloads.clear()
            self._size_bytes = 0
            self._first = offset
        if self._newest_only:
            self._payloads.clear()
            self._size_bytes = 0
            self._first = offset
        self.provenance = provenance
        self._payloads.append(payload)
        self._size_bytes += len(payload)
        while self._size_bytes > MAX_BYTES or len(self._payloads) > MAX_RECORDS:
            self._size_bytes -= len(self._payloads.popleft())
            self._first += 1

    def make_batch(self, offset: int, now: float) -> LogBatch | None:
        """Return records from ``offset`` on, ``None`` if that one is not buffered.

        The batch is limited to ``MAX_BATCH_RECORDS`` and ``MAX_BATCH_BYTES``, with at
        least one record. With ``newest_only`` it may start later than ``offset``.
        """
        if self._newest_only:
            offset = max(offset, self.end - 1)
        if not self._first <= offset < self.end:
            return None
        selected: list[bytes] = []
        size = 0
        for index in range(offset - self._first, len(self._payloads)):
            payload = self._payloads[index]
            size += len(payload)
            if selected and (
                size > MAX_BATCH_BYTES or len(selected) >= MAX_BATCH_RECORDS
            ):
                break
            selected.append(payload)
        return LogBatch(
            stream=self._stream,
            first=offset,
            packed=tuple(selected),
            hops=self.provenance.hops + 1,
            age_us=self.provenance.find_age_us(now),
        )
