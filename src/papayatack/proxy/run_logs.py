"""Log lines about requests that were sent to the upstream."""

import logging

from papayatack.core.errors import ErrorKind
from papayatack.network.exchanges import PeerRequest
from papayatack.network.upstreams import UpstreamPool
from papayatack.observability.events import Event, log_event, to_ms
from papayatack.proxy.crashes import Run
from papayatack.proxy.in_flight import InFlightUse

__all__ = ["log_crash", "log_cut_run", "log_refusal", "log_server_error"]

LOGGER = logging.getLogger(__name__)

MAX_SUSPECTS_LOGGED = 32
MAX_TARGET_LOGGED = 120


def log_cut_run(
    peer_request: PeerRequest,
    use: InFlightUse,
    kind: ErrorKind,
    detail: str,
    read_bytes: int = 0,
) -> None:
    """Log a request that may still run at the upstream without a receiver."""
    log_event(
        LOGGER,
        Event.RUN_CUT,
        level=logging.WARNING,
        request=peer_request.request_id,
        shard=peer_request.shard,
        reason=kind.value,
        detail=detail,
        ran_ms=to_ms(use.read_duration_s()),
        delay_ms=to_ms(peer_request.delay_s),
        left_ms=to_ms(use.left_s),
        read_bytes=read_bytes,
    )


def log_refusal(
    peer_request: PeerRequest, use: InFlightUse, *, status: int, kind: ErrorKind
) -> None:
    """Log a request that the upstream refused to run."""
    log_event(
        LOGGER,
        Event.UPSTREAM_REFUSED,
        level=logging.WARNING,
        request=peer_request.request_id,
        shard=peer_request.shard,
        token=use.grant.token,
        lease_left_ms=to_ms(use.grant.remaining_s),
        status=status,
        reason=kind.value,
    )


def log_server_error(
    peer_request: PeerRequest, use: InFlightUse, *, status: int, obstacle: str
) -> None:
    """Log a server error of the upstream.

    Args:
        peer_request: The request.
        use: Its slot and its grant.
        status: Status code of the response.
        obstacle: Why the shard may no longer be served; empty if it may.
    """
    log_event(
        LOGGER,
        Event.UPSTREAM_ERRED,
        level=logging.WARNING,
        request=peer_request.request_id,
        shard=peer_request.shard,
        token=use.grant.token,
        lease_left_ms=to_ms(use.grant.remaining_s),
        ran_ms=to_ms(use.read_duration_s()),
        status=status,
        obstacle=obstacle,
        failed_call=use.run.failed_call if use.run is not None else "",
    )


def log_crash(pool: UpstreamPool, runs: list[Run]) -> None:
    """Log the requests that were in flight when the upstream's process ended."""
    requests = [run.peer_request for run in runs[:MAX_SUSPECTS_LOGGED]]
    log_event(
        LOGGER,
        Event.UPSTREAM_CRASHED,
        level=logging.WARNING,
        upstream=pool.name,
        address=pool.address,
        count=len(runs),
        requests=[request.request_id for request in requests],
        targets=[_format_target(request) for request in requests],
    )


def _format_target(peer_request: PeerRequest) -> str:
    request = peer_request.request
    text = b"%s %s" % (request.method, request.target)
    return text[:MAX_TARGET_LOGGED].decode("latin-1")
