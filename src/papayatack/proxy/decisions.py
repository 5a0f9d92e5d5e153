"""One log line for each decision on a request that a node made.

Refusals, failures and attempts that were made again are always written; of successes
one in :data:`SUCCESS_SAMPLE`.
"""

import logging

from papayatack.core.errors import Refusal, get_error_response
from papayatack.network.exchanges import PeerRequest
from papayatack.observability.events import Event, log_event

__all__ = ["DecisionLog"]

LOGGER = logging.getLogger(__name__)

SUCCESS_SAMPLE_INTERVAL = 64


class DecisionLog:
    """Writes what a node decided on a request, from what, and what came of it."""

    def __init__(self) -> None:
        self._until_sample = SUCCESS_SAMPLE_INTERVAL

    def log_response(
        self, request: PeerRequest, *, status: int, held_s: float, version: int
    ) -> None:
        """Note an answer of an upstream that a caller got; most are left out."""
        self._until_sample -= 1
        if self._until_sample:
            return
        self._until_sample = SUCCESS_SAMPLE_INTERVAL
        log_event(
            LOGGER,
            Event.REQUEST_ANSWERED,
            request=request.request_id,
            service=request.service,
            key=request.key,
            status=status,
            held_ms=_to_ms(held_s),
            config=version,
        )

    def log_refusal(
        self,
        request: PeerRequest | None,
        refusal: Refusal,
        *,
        held_s: float,
        version: int,
        request_id: str = "",
    ) -> None:
        """Note why a caller got no upstream's answer."""
        answer = get_error_response(refusal.kind)
        log_event(
            LOGGER,
            Event.REQUEST_REFUSED,
            level=logging.WARNING,
            request=request.request_id if request is not None else request_id,
            service=request.service if request is not None else "",
            key=request.key if request is not None else "",
            reason=refusal.kind.value,
            detail=refusal.detail,
            outcome=answer.outcome.value,
            status=answer.status,
            retry_after_s=refusal.retry_after_s,
            held_ms=_to_ms(held_s),
            config=version,
        )

    def log_attempt(
        self, request: PeerRequest, refusal: Refusal, *, attempt: int, node: str
    ) -> None:
        """Note an attempt that failed and will be made again."""
        log_event(
            LOGGER,
            Event.ATTEMPT_FAILED,
            level=logging.WARNING,
            request=request.request_id,
            service=request.service,
            key=request.key,
            attempt=attempt,
            node=node,
            reason=refusal.kind.value,
            detail=refusal.detail,
        )


def _to_ms(seconds: float) -> int:
    return int(seconds * 1000)
