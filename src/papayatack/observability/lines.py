"""Non-blocking log handler with a bounded buffer.

Each log record is written as a JSON object on its own line. Lines that cannot be
written yet are buffered in memory. Lines below level WARNING are dropped when the
buffer is half full, all lines when it is full, so that warnings and errors are kept in
preference to routine lines. Once the buffer has been emptied, a ``LOG_LINES_DROPPED``
line gives the number of dropped lines.
"""

import asyncio
import collections
import json
import logging
import os

__all__ = ["LineHandler"]

MAX_BUFFERED_LINES = 4_000
"""Default number of lines that may be buffered."""

BATCH_BYTES = 64 * 1024
"""Size at which no further lines are added to a batch that is written at once."""

_STANDARD_ATTRIBUTES = frozenset(vars(logging.makeLogRecord({}))) | {
    "message",
    "asctime",
}


class LineHandler(logging.Handler):
    """Log handler that writes JSON lines to a file descriptor without blocking.

    Lines that the descriptor does not accept are buffered. If an event loop is running,
    it writes them as soon as the descriptor is writable; otherwise the next call of
    :meth:`emit` or :meth:`flush` does. If a write fails, all buffered lines are
    discarded.

    Args:
        descriptor: File descriptor to write to; it is made non-blocking.
        max_lines: Number of lines that may be buffered.
    """

    def __init__(self, *, descriptor: int, max_lines: int = MAX_BUFFERED_LINES) -> None:
        super().__init__()
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._max_lines = max_lines
        self._buffer: collections.deque[bytes] = collections.deque()
        self._unwritten = b""
        self._dropped_count = 0
        self._writer_registered = False

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record, or buffer its line until the descriptor is writable."""
        limit = self._max_lines
        if record.levelno < logging.WARNING:
            limit //= 2
        if len(self._buffer) >= limit:
            self._dropped_count += 1
            return
        try:
            self._buffer.append(_format(record))
        except (TypeError, ValueError):
            self.handleError(record)
            return
        if not self._writer_registered:
            self._write()

    def flush(self) -> None:
        """Write as many buffered lines as the descriptor accepts now."""
        self._write()

    def _write(self) -> None:
        while self._unwritten or self._buffer:
            if not self._unwritten:
                self._unwritten = self._take_batch()
            try:
                written = os.write(self._descriptor, self._unwritten)
            except BlockingIOError:
                self._register_writer()
                return
            except OSError:
                self._buffer.clear()
                self._unwritten = b""
                return
            self._unwritten = self._unwritten[written:]
        self._unregister_writer()

    def _take_batch(self) -> bytes:
        """Remove a batch of lines from the buffer and return it.

        A batch that empties the buffer ends with the count of dropped lines, if any.
        """
        lines = []
        size = 0
        while self._buffer and size < BATCH_BYTES:
            lines.append(self._buffer.popleft())
            size += len(lines[-1])
        if self._dropped_count and not self._buffer:
            summary = {
                "message": "LOG_LINES_DROPPED",
                "event": 109,
                "count": self._dropped_count,
            }
            lines.append(json.dumps(summary).encode() + b"\n")
            self._dropped_count = 0
        return b"".join(lines)

    def _register_writer(self) -> None:
        """Have the event loop resume writing when the descriptor is writable."""
        if self._writer_registered:
            return
        try:
            loop = asyncio.get_running_loop()
            loop.add_writer(self._descriptor, self._write)
        except (RuntimeError, OSError, ValueError, NotImplementedError):
            return
        self._writer_registered = True

    def _unregister_writer(self) -> None:
        if self._writer_registered:
            self._writer_registered = False
            asyncio.get_running_loop().remove_writer(self._descriptor)


def _format(record: logging.LogRecord) -> bytes:
    document = {
        "time": round(record.created, 4),
        "level": record.levelname,
        "message": record.getMessage(),
    }
    fields = vars(record)
    for name in fields:
        # Omitted because the message is already the event's name.
        if name not in _STANDARD_ATTRIBUTES and name != "name_of_event":
            document[name] = fields[name]
    if record.exc_info:
        document["exception"] = logging.Formatter().formatException(record.exc_info)
    return json.dumps(document, default=str, separators=(",", ":")).encode() + b"\n"
