"""The task that tells the own upstream what it may serve."""

import asyncio
import functools
from collections.abc import Callable

from returns.pipeline import is_successful

from papayatack.control.interface import GrantSink
from papayatack.core.ownership.effects import ExtendLease, GrantShards, RevokeShards

__all__ = ["GrantEffect", "GrantTask"]

MICROSECONDS = 1_000_000
CALL_TIMEOUT_S = 0.5
RETRY_S = 0.2
TRANSIT_MARGIN_S = 0.02
LONGEST_GRANT_S = 3600.0
"""Grant under a lease without witnesses; it never runs out while the node runs."""

GrantEffect = GrantShards | ExtendLease | RevokeShards


class GrantTask:
    """Carries out grant effects in their order and reports the answers.

    The upstream counts a grant's time from its arrival; the margin covers the way
    there.

    Args:
        sink: The own upstream.
        confirm: Called with each grant or revocation and whether it was accepted.
    """

    def __init__(
        self, *, sink: GrantSink, confirm: Callable[[GrantEffect, bool], None]
    ) -> None:
        self._sink = sink
        self._confirm = confirm
        self._queue: asyncio.Queue[tuple[float, GrantEffect]] = asyncio.Queue()

    def put(self, effect: GrantEffect) -> None:
        """Queue an effect."""
        self._queue.put_nowait((asyncio.get_running_loop().time(), effect))

    async def run(self) -> None:
        """Carry out effects until cancelled."""
        while True:
            made_s, effect = await self._queue.get()
            waited_s = asyncio.get_running_loop().time() - made_s
            done = await self._call(effect, waited_s)
            self._confirm(effect, done)
            if not done:
                await asyncio.sleep(RETRY_S)

    async def _call(self, effect: GrantEffect, waited_s: float) -> bool:
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                return await self._perform(effect, waited_s)
        except TimeoutError:
            return False

    @functools.singledispatchmethod
    async def _perform(self, effect: GrantEffect, waited_s: float) -> bool:
        raise TypeError(effect)

    @_perform.register
    async def _(self, effect: GrantShards, waited_s: float) -> bool:
        remaining_us = _shorten(effect.remaining_s, waited_s)
        if remaining_us <= 0:
            return False
        result = await self._sink.grant(effect.lease, effect.tokens, remaining_us)
        return is_successful(result)

    @_perform.register
    async def _(self, effect: ExtendLease, waited_s: float) -> bool:
        remaining_us = _shorten(effect.remaining_s, waited_s)
        if remaining_us <= 0:
            return True
        await self._sink.extend(effect.lease, remaining_us)
        return True

    @_perform.register
    async def _(self, effect: RevokeShards, waited_s: float) -> bool:
        result = await self._sink.revoke(effect.lease, effect.shards)
        return is_successful(result)


def _shorten(remaining_s: float, waited_s: float) -> int:
    """Return the microseconds that are left when the upstream takes the grant in."""
    if remaining_s == float("inf"):
        remaining_s = LONGEST_GRANT_S
    return int((remaining_s - waited_s - TRANSIT_MARGIN_S) * MICROSECONDS)
