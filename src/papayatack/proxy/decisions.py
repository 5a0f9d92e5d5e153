"""Log lines for the results of requests.

Refusals and retried attempts are always logged; of the successful requests, one in
:data:`SUCCESS_SAMPLE_INTERVAL` is.
"""

import logging
from collections.abc import Callable

from papayatack.core.config_age import ConfigAge
from papayatack.core.errors import Refusal, get_error_response
from papayatack.network.exchanges import PeerRequest
from papayatack.observability.events import Event, log_event, to_ms

__all__ = ["RequestLog"]

LOGGER = logging.getLogger(__name__)

SUCCESS_SAMPLE_INTERVAL = 64


class RequestLog:
    """Logs how the requests of this node's callers ended.

    The field ``held_ms`` is the time from the arrival of a request to its end, in
    milliseconds; ``remaining_ms`` and ``target_ms`` are the times that it had left on
    arrival until its deadline and its target.

    Args:
        read_config_age: Returns how old the configuration may be, ``None`` if this node
            does not follow one.
    """

    def __init__(
        self, *, read_config_age: Callable[[], ConfigAge | None] = lambda: None
    ) -> None:
        self._requests_until_sample = SUCCESS_SAMPLE_INTERVAL
        self._read_config_age = read_config_age

    def log_response(
        self, request: PeerRequest, *, status: int, elapsed_s: float, version: int
    ) -> None:
        """Log a response of an upstream to a caller; only a sample is written."""
        self._requests_until_sample -= 1
        if self._requests_until_sample:
            return
        self._requests_until_sample = SUCCESS_SAMPLE_INTERVAL
        log_event(
            LOGGER,
            Event.REQUEST_ANSWERED,
            request=request.request_id,
            service=request.service,
            key=request.key,
            status=status,
            held_ms=to_ms(elapsed_s),
            config=version,
        )

    def log_refusal(
        self,
        request: PeerRequest | None,
        refusal: Refusal,
        *,
        elapsed_s: float,
        version: int,
        request_id: str = "",
    ) -> None:
        """Log why a caller did not get a response of an upstream."""
        error_response = get_error_response(refusal.kind)
        config_age = self._read_config_age() or ConfigAge()
        log_event(
            LOGGER,
            Event.REQUEST_REFUSED,
            level=logging.WARNING,
            request=request.request_id if request is not None else request_id,
            service=request.service if request is not None else "",
            key=request.key if request is not None else "",
            route=request.route if request is not None else "",
            remaining_ms=to_ms(request.remaining_s) if request is not None else None,
            target_ms=_read_target_ms(request),
            rank=request.rank if request is not None else None,
            reason=refusal.kind.value,
            detail=refusal.detail,
            outcome=error_response.outcome.value,
            status=error_response.status,
            retry_after_s=refusal.retry_after_s,
            held_ms=to_ms(elapsed_s),
            config=version,
            config_age_ms=_to_ms_if_known(config_age.age_s),
            config_superseded=config_age.is_superseded,
        )

    def log_attempt(
        self, request: PeerRequest, refusal: Refusal, *, attempt: int, node: str
    ) -> None:
        """Log an attempt that failed and will be retried."""
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


def _read_target_ms(request: PeerRequest | None) -> int | None:
    if request is None or request.target_s is None:
        return None
    return to_ms(request.target_s)


def _to_ms_if_known(seconds: float | None) -> int | None:
    return None if seconds is None else to_ms(seconds)
