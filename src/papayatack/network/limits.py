"""Limits of the sockets, with their units."""

import dataclasses

__all__ = ["CallerLimits", "PeerLimits", "UpstreamLimits"]

KIB = 1024


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallerLimits:
    """Limits towards callers.

    Attributes:
        header_bytes: Largest request line and header fields together.
        body_bytes: Largest request body.
        connections: Open connections.
        header_timeout_s: From the first byte of a request to the end of its header.
        body_timeout_s: Longest pause within a request body.
        idle_timeout_s: Longest pause between requests.
        write_timeout_s: Longest time for which the caller takes no bytes.
        buffer_bytes: Bytes of a body held before reading from the socket pauses.
    """

    header_bytes: int = 16 * KIB
    body_bytes: int = 64 * KIB * KIB
    connections: int = 1000
    header_timeout_s: float = 10.0
    body_timeout_s: float = 10.0
    idle_timeout_s: float = 60.0
    write_timeout_s: float = 20.0
    buffer_bytes: int = 64 * KIB


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamLimits:
    """Limits towards the own upstream.

    Attributes:
        header_bytes: Largest status line and header fields together.
        connections: Open connections, all told.
        connect_timeout_s: Longest time for opening a connection.
        idle_timeout_s: Longest time for which an unused connection is kept. Shorter
            than usual upstreams keep it, so that none closes under a request.
        buffer_bytes: Bytes of a body held before reading from the socket pauses.
        accepts_unframed: Whether a response without a length that ends with an
            orderly close of its connection counts as whole.
    """

    header_bytes: int = 16 * KIB
    connections: int = 130
    accepts_unframed: bool = False
    connect_timeout_s: float = 1.0
    idle_timeout_s: float = 4.0
    buffer_bytes: int = 64 * KIB


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PeerLimits:
    """Limits between nodes.

    Attributes:
        chunk_bytes: Largest body chunk in a frame.
        window_bytes: Bytes of a stream in flight that its reader has not taken.
        streams: Requests in flight that one peer may open.
        control_queue: Control messages waiting for one peer.
        connect_timeout_s: Longest time for opening a connection.
        backoff_initial_s: Pause after the first failed connect; it doubles.
        backoff_max_s: Longest pause.
        silence_s: Silence after which a peer with requests in flight is asked.
        lost_s: Silence after which it is sent no further requests on its connection.
        idle_s: Time without use after which a connection is closed.
        deadline_margin_s: Taken from the deadline on each hop, so that the honest
            answer of the next node arrives in time.
    """

    chunk_bytes: int = 16 * KIB
    window_bytes: int = 64 * KIB
    streams: int = 4096
    control_queue: int = 1024
    connect_timeout_s: float = 1.0
    backoff_initial_s: float = 0.05
    backoff_max_s: float = 1.0
    probe_after_s: float = 1.0
    unresponsive_after_s: float = 4.0
    idle_s: float = 120.0
    deadline_margin_s: float = 0.02
