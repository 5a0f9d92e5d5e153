"""Durations as the platform writes them: a number and its unit, ``ms`` or ``s``."""

from typing import Annotated

import pydantic

__all__ = ["Duration", "format_ms", "parse_duration"]

MS_PER_S = 1000


def parse_duration(value: object) -> float:
    """Return seconds.

    Raises:
        ValueError: It is not a number with its unit.
    """
    text = str(value)
    if text.endswith("ms"):
        return float(text[:-2]) / MS_PER_S
    if text.endswith("s"):
        return float(text[:-1])
    message = f"{text[:20]!r} is no time; write it as 1500ms or 1.5s"
    raise ValueError(message)


def format_ms(seconds: float) -> str:
    """Return a duration in whole milliseconds."""
    return f"{int(seconds * MS_PER_S)}ms"


Duration = Annotated[float, pydantic.BeforeValidator(parse_duration)]
