"""Calls of the handler for a caller's request."""

import asyncio
import logging
from collections.abc import Awaitable, Callable

from papayatack.core.errors import ErrorKind, Refusal
from papayatack.network.bodies import IncompleteBodyError
from papayatack.network.caller_exchange import CallerExchange
from papayatack.network.error_responses import build_error_response
from papayatack.network.exchanges import Request, Response
from papayatack.observability.events import Event, log_event

__all__ = ["Handler", "call_handler"]

_logger = logging.getLogger(__name__)

Handler = Callable[[Request], Awaitable[Response]]
"""Handles one request; raises nothing but ``CancelledError``."""


async def call_handler(handler: Handler, exchange: CallerExchange) -> Response:
    """Return the handler's response, or one that says why there is none."""
    request = exchange.request
    assert request is not None
    request.waited_s = asyncio.get_running_loop().time() - exchange.arrived_s
    try:
        return await handler(request)
    except IncompleteBodyError as error:
        return build_error_response(Refusal(kind=error.kind, detail=error.detail))
    except Exception as error:  # an error in one request must not affect others
        log_event(_logger, Event.REQUEST_FAILED, level=logging.ERROR, error=repr(error))
        refusal = Refusal(kind=ErrorKind.INTERNAL, detail="internal error")
        return build_error_response(refusal)
