"""Durations in the platform's format: a number with the unit ``ms`` or ``s``."""

import math
from typing import Annotated

import pydantic

__all__ = ["Duration", "format_ms", "parse_duration"]

MS_PER_S = 1000


def parse_duration(value: object) -> float:
    """Parse a duration and return it in seconds.

    Raises:
        ValueError: The value is not a finite number with a unit.
    """
    text = str(value)
    seconds = math.inf
    if text.endswith("ms"):
        seconds = float(text[:-2]) / MS_PER_S
    elif text.endswith("s"):
        seconds = float(text[:-1])
    if not math.isfinite(seconds):
        message = f"{text[:20]!r} is not a duration; write it as 1500ms or 1.5s"
        raise ValueError(message)
    return seconds


def format_ms(seconds: float) -> str:
    """Format a duration in whole milliseconds, rounded down."""
    return f"{int(seconds * MS_PER_S)}ms"


Duration = Annotated[float, pydantic.BeforeValidator(parse_duration)]
