"""The daemon's own log: one JSON object a line on standard error."""

import logging
import sys

from pythonjsonlogger.json import JsonFormatter

__all__ = ["configure_logging"]

FORMAT = "%(asctime)s %(levelname)s %(name)s %(message)s"


def configure_logging(level: str) -> None:
    """Send all log events from ``level`` up to standard error."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(JsonFormatter(FORMAT))
    logging.basicConfig(level=level, handlers=[handler], force=True)
