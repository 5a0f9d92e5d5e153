"""Log lines that are bounded in number and never block the process.

Each record becomes one JSON object a line. Lines that the reader does not take wait
in memory; beyond half of the room routine lines are left out, beyond all of it every
line, and one line says how many once there is room again. So the reason of a failure
outlives the samples of successes.
"""

import asyncio
import collections
import json
import logging
import os

__all__ = ["LineHandler"]

MAX_LINES = 4_000
WRITE_BYTES = 64 * 1024
_STANDARD = frozenset(vars(logging.makeLogRecord({}))) | {"message", "asctime"}


class LineHandler(logging.Handler):
    """Writes to a file descriptor as far as it takes bytes without waiting.

    Args:
        descriptor: Where the lines go; it is made non-blocking.
        max_lines: Lines that may wait.
    """

    def __init__(self, *, descriptor: int, max_lines: int = MAX_LINES) -> None:
        super().__init__()
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._max_lines = max_lines
        self._waiting: collections.deque[bytes] = collections.deque()
        self._rest = b""
        self._dropped = 0
        self._watching = False

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record, or keep its line until the reader takes it."""
        room = self._max_lines
        if record.levelno < logging.WARNING:
            room //= 2
        if len(self._waiting) >= room:
            self._dropped += 1
            return
        try:
            self._waiting.append(_format(record))
        except (TypeError, ValueError):
            self.handleError(record)
            return
        if not self._watching:
            self._write()

    def flush(self) -> None:
        """Write what the reader takes now."""
        self._write()

    def _write(self) -> None:
        while self._rest or self._waiting:
            if not self._rest:
                self._rest = self._take_lines()
            try:
                written = os.write(self._descriptor, self._rest)
            except BlockingIOError:
                self._watch()
                return
            except OSError:
                self._waiting.clear()
                self._rest = b""
                return
            self._rest = self._rest[written:]
        self._unwatch()

    def _take_lines(self) -> bytes:
        """Return the next lines, with a note of those that were left out."""
        lines = []
        size = 0
        while self._waiting and size < WRITE_BYTES:
            lines.append(self._waiting.popleft())
            size += len(lines[-1])
        if self._dropped and not self._waiting:
            note = {
                "message": "LOG_LINES_DROPPED",
                "event": 109,
                "count": self._dropped,
            }
            lines.append(json.dumps(note).encode() + b"\n")
            self._dropped = 0
        return b"".join(lines)

    def _watch(self) -> None:
        """Go on writing once the reader takes bytes again."""
        if self._watching:
            return
        try:
            loop = asyncio.get_running_loop()
            loop.add_writer(self._descriptor, self._write)
        except (RuntimeError, OSError, ValueError, NotImplementedError):
            return
        self._watching = True

    def _unwatch(self) -> None:
        if self._watching:
            self._watching = False
            asyncio.get_running_loop().remove_writer(self._descriptor)


def _format(record: logging.LogRecord) -> bytes:
    document = {
        "time": round(record.created, 4),
        "level": record.levelname,
        "message": record.getMessage(),
    }
    fields = vars(record)
    for name in fields:
        if name not in _STANDARD and name != "name_of_event":
            document[name] = fields[name]
    if record.exc_info:
        document["exception"] = logging.Formatter().formatException(record.exc_info)
    return json.dumps(document, default=str, separators=(",", ":")).encode() + b"\n"
