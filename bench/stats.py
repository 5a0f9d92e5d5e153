"""Quantiles of small samples, as the benches print them."""

import statistics
from collections.abc import Sequence

__all__ = ["format_quantiles"]


def format_quantiles(values: Sequence[float]) -> str:
    """Return least, median and greatest of ``values``."""
    return (
        f"min {min(values):.0f} median {statistics.median(values):.0f}"
        f" max {max(values):.0f}"
    )
