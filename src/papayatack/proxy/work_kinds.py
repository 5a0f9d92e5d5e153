"""Kinds of requests in estimates of how long the upstream takes."""

from papayatack.network.exchanges import PeerRequest

__all__ = ["find_work_kind"]


def find_work_kind(peer_request: PeerRequest) -> str:
    """Return the kind of a request: its service and its route or class."""
    name = peer_request.route or peer_request.request_class.value
    return f"{peer_request.service}:{name}"
