"""Durations in the platform's format: a number with the unit ``ms`` or ``s``."""

from typing import Annotated

import pydantic

__all__ = ["Duration", "format_ms", "parse_duration"]

MS_PER_S = 1000


def parse_duration(value: object) -> float:
    """Parse a duration and return it in seconds.

    Raises:
        ValueError: The value is not a number with a unit.
    """
    text = str(value)
    if text.endswith("ms"):
        return float(text[:-2]) / MS_PER_S
    if text.endswith("s"):
        return float(text[:-1])
    message = f"{text[:20]!r} is not a duration; write it as 1500ms or 1.5s"
    raise ValueError(message)


def format_ms(seconds: float) -> str:
    """Format a duration in whole milliseconds, rounded down."""
    return f"{int(seconds * MS_PER_S)}ms"


Duration = Annotated[float, pydantic.BeforeValidator(parse_duration)]
