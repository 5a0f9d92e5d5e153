"""Log lines about grants that the upstream confirmed late, or not at all."""

import asyncio
import dataclasses
import logging

from papayatack.network.exchanges import Response
from papayatack.observability.events import Event, log_event
from papayatack.platform.ranges import KeyRange

__all__ = ["SentGrant", "log_failures", "log_forgotten", "log_late_answer"]

LOGGER = logging.getLogger(__name__)

MS_PER_S = 1000
MAX_RANGES_LOGGED = 4


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SentGrant:
    """A call that grants keys.

    Attributes:
        sent_s: Event loop time of the call.
        hold_s: Time in seconds for which it grants them, from its arrival.
    """

    sent_s: float
    hold_s: float


def log_late_answer(
    key_range: KeyRange, sent: list[SentGrant], *, end_s: float, until_s: float
) -> None:
    """Log a grant that was answered late, and for how long it may outlast its lease.

    Args:
        key_range: The keys.
        sent: The calls, in order.
        end_s: Event loop time at which the grant ends by its lease.
        until_s: Event loop time until which the upstream may hold the keys.
    """
    now = asyncio.get_running_loop().time()
    first, last = sent[0], sent[-1]
    log_event(
        LOGGER,
        Event.GRANT_LATE,
        level=logging.WARNING,
        reason="answered",
        keys=f"{key_range.first}-{key_range.last}",
        token=key_range.token,
        calls=len(sent),
        first_ms=int((now - first.sent_s) * MS_PER_S),
        answer_ms=int((now - last.sent_s) * MS_PER_S),
        hold_ms=int(last.hold_s * MS_PER_S),
        left_ms=int((end_s - now) * MS_PER_S),
        over_ms=int((until_s - end_s) * MS_PER_S),
    )


def log_forgotten(
    upstream: str, *, is_certain: bool, sent_s: float, until_s: float
) -> None:
    """Log that an upstream process is done with, and what it may still hold.

    Args:
        upstream: Name of the process.
        is_certain: Whether it is known to have ended.
        sent_s: Event loop time at which the last grant was sent to it.
        until_s: Event loop time until which it may hold its keys unless it has ended;
            negative infinity if it holds none.
    """
    now = asyncio.get_running_loop().time()
    log_event(
        LOGGER,
        Event.GRANTS_FORGOTTEN,
        upstream=upstream,
        certain=is_certain,
        sent_ms=int((now - sent_s) * MS_PER_S),
        left_ms=int(max(0.0, until_s - now) * MS_PER_S),
    )


def log_failures(
    failed: list[tuple[KeyRange, Response | None]], remaining_s: float
) -> None:
    """Log the ranges that the upstream did not confirm, with its responses."""
    log_event(
        LOGGER,
        Event.GRANT_FAILED,
        level=logging.WARNING,
        count=len(failed),
        left_ms=int(remaining_s * MS_PER_S),
        ranges=[
            {
                "keys": f"{part.first}-{part.last}",
                "token": part.token,
                "status": response.status if response is not None else None,
            }
            for part, response in failed[:MAX_RANGES_LOGGED]
        ],
    )
