"""How long an address to which no connection could be opened is left alone."""

import dataclasses
import random

from papayatack.core.identity import PeerAddress
from papayatack.network.limits import PeerLimits

__all__ = ["ConnectBackoff"]


@dataclasses.dataclass(slots=True, kw_only=True)
class _Wait:
    """Wait before the next attempt at one address.

    Attributes:
        delay_s: Delay before jitter, doubled on each failed attempt.
        until_s: Event loop time before which no attempt is made.
    """

    delay_s: float
    until_s: float


class ConnectBackoff:
    """Waits of all addresses at which the last attempt to connect failed."""

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng
        self._waits: dict[PeerAddress, _Wait] = {}

    def must_wait(self, address: PeerAddress, now: float) -> bool:
        """Return whether no attempt may be made yet."""
        wait = self._waits.get(address)
        return wait is not None and now < wait.until_s

    def record_failure(
        self, address: PeerAddress, now: float, limits: PeerLimits
    ) -> None:
        """Start or extend the wait of an address."""
        wait = self._waits.get(address)
        delay_s = limits.backoff_initial_s
        if wait is not None:
            delay_s = min(wait.delay_s * 2, limits.backoff_max_s)
        jittered_s = delay_s * self._rng.uniform(0.5, 1.0)
        self._waits[address] = _Wait(delay_s=delay_s, until_s=now + jittered_s)

    def clear(self, address: PeerAddress) -> None:
        """End the wait of an address that was reached."""
        self._waits.pop(address, None)

    def prune(self, oldest_s: float) -> None:
        """Forget the addresses whose waits ended before a time."""
        for address, wait in list(self._waits.items()):
            if wait.until_s < oldest_s:
                del self._waits[address]
