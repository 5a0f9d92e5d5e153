"""Error responses for requests that got no response from an upstream."""

import http
import json
import math

from papayatack.core.errors import Refusal, get_error_response
from papayatack.network.bodies import BytesBody
from papayatack.network.exchanges import Response

__all__ = [
    "ERROR_HEADER",
    "KEY_TOKEN_HEADER",
    "OUTCOME_HEADER",
    "build_error_response",
]

OUTCOME_HEADER = b"papayatack-outcome"
ERROR_HEADER = b"papayatack-error"
KEY_TOKEN_HEADER = b"papayatack-key-token"
RETRY_AFTER_STATUSES = (503,)
DEFAULT_RETRY_AFTER_S = 1.0
"""``Retry-After`` of a refusal that gives no delay."""


def build_error_response(refusal: Refusal, *, fractions: bool = False) -> Response:
    """Build the response to a caller from the error table's entry for a refusal.

    Args:
        refusal: Why no upstream responded.
        fractions: Whether callers accept fractional seconds in ``Retry-After``.
    """
    template = get_error_response(refusal.kind)
    document = {
        "error": refusal.kind.value,
        "outcome": template.outcome.value,
        "detail": refusal.detail,
        "remedy": template.remedy,
    }
    data = json.dumps(document).encode() + b"\n"
    headers = [
        (b"content-type", b"application/json"),
        (b"content-length", b"%d" % len(data)),
        (OUTCOME_HEADER, template.outcome.value.encode()),
        (ERROR_HEADER, refusal.kind.value.encode()),
    ]
    if refusal.key_token:
        headers.append((KEY_TOKEN_HEADER, refusal.key_token.encode("latin-1")))
    if template.status in RETRY_AFTER_STATUSES:
        headers.append((b"retry-after", _format_retry_after(refusal, fractions)))
    return Response(
        status=template.status,
        reason=_find_reason(template.status),
        headers=tuple(headers),
        body=BytesBody(data=data),
    )


def _format_retry_after(refusal: Refusal, fractions: bool) -> bytes:
    """Return the delay in seconds, rounded up unless fractions are accepted."""
    delay_s = refusal.retry_after_s
    if delay_s is None:
        delay_s = DEFAULT_RETRY_AFTER_S
    if fractions:
        return b"%.3f" % max(delay_s, 0.001)
    return b"%d" % max(1, math.ceil(delay_s))


def _find_reason(status: int) -> bytes:
    try:
        return http.HTTPStatus(status).phrase.encode()
    except ValueError:
        return b"Client Closed Request"
