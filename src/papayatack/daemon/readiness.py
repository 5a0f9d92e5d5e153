"""Tells whoever sends callers whether they should come to this node."""

import http
from collections.abc import Callable

from papayatack.daemon.replies import reply_json
from papayatack.network.exchanges import Request, Response

__all__ = ["ReadinessEndpoint"]

TARGET = b"/readiness"


class ReadinessEndpoint:
    """Answers ``GET /readiness``.

    Args:
        is_ready: Tells whether callers should come now.
    """

    def __init__(self, *, is_ready: Callable[[], bool]) -> None:
        self._is_ready = is_ready

    async def handle(self, request: Request) -> Response:
        """Answer 200 if callers should come, 503 if not."""
        if request.method not in (b"GET", b"HEAD") or request.target != TARGET:
            return reply_json(http.HTTPStatus.NOT_FOUND, {"detail": "GET /readiness"})
        ready = self._is_ready()
        status = http.HTTPStatus.OK if ready else http.HTTPStatus.SERVICE_UNAVAILABLE
        return reply_json(status, {"ready": ready})
