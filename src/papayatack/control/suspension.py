"""Noticing that the VM was suspended."""

import time

__all__ = ["SuspensionDetector"]

MIN_SUSPENSION_S = 0.02
"""Shorter differences of the two clocks are taken for none."""


class SuspensionDetector:
    """Compares the clock that runs on while the VM is suspended with the steady one.

    The event loop's clock stands still meanwhile, so that promises of other nodes that
    ran out look as if they still held.
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
    """Return the seconds for which the VM has been suspended so far.

    Time that passes between the two readings makes the result smaller, never larger.
    """
    boot_s = time.clock_gettime(time.CLOCK_BOOTTIME)
    return boot_s - time.clock_gettime(time.CLOCK_MONOTONIC)
