"""The daemon's own log: one JSON object a line."""

import logging
import sys
from typing import TextIO

from pythonjsonlogger.json import JsonFormatter

__all__ = ["configure_logging"]

FORMAT = "%(asctime)s %(levelname)s %(name)s %(message)s"


def configure_logging(level: str, *, stream: TextIO | None = None) -> None:
    """Send all log events from ``level`` up to a stream, standard error by default."""
    handler = logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(JsonFormatter(FORMAT))
    logging.basicConfig(level=level, handlers=[handler], force=True)
