"""Detects suspensions of the VM."""

import time

__all__ = ["SuspensionDetector"]

MIN_SUSPENSION_S = 0.02
"""Minimum growth of the difference between the clocks that counts as a suspension."""


class SuspensionDetector:
    """Compares the boot-time clock with the monotonic clock.

    Only the boot-time clock advances while the VM is suspended. The event loop's clock
    stands still, so that promises of other nodes that expired during the suspension
    would appear to be valid.
    """

    def __init__(self) -> None:
        self._last_suspended_s = _read_suspended_s()

    def detect(self) -> bool:
        """Tell whether the VM was suspended since the last call."""
        suspended_s = _read_suspended_s()
        if suspended_s - self._last_suspended_s < MIN_SUSPENSION_S:
            return False
        self._last_suspended_s = suspended_s
        return True


def _read_suspended_s() -> float:
    """Return the total seconds for which the VM has been suspended.

    Time that passes between the two readings reduces the result, never increases it.
    """
    boot_s = time.clock_gettime(time.CLOCK_BOOTTIME)
    return boot_s - time.clock_gettime(time.CLOCK_MONOTONIC)
