"""Limits and timeouts of network connections."""

import dataclasses

__all__ = ["CallerLimits", "PeerLimits", "UpstreamLimits"]

KIB = 1024


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallerLimits:
    """Limits for callers.

    Attributes:
        header_bytes: Largest total size of request line and header fields.
        body_bytes: Largest request body.
        connections: Most open connections.
        header_timeout_s: Longest time from a request's first byte to the end of its
            header.
        body_timeout_s: Longest pause within a request body.
        idle_timeout_s: Longest pause between requests.
        write_timeout_s: Longest pause of writing because the write buffer is full.
        buffer_bytes: Buffered body bytes above which reading from the socket pauses.
        pipelined_requests: Most requests of one connection in flight; 1 serves those
            that are sent ahead one at a time.
        pipelined_bytes: Bytes of one connection's responses waiting for their turn at
            which no more of them is read, and no further request.
    """

    header_bytes: int = 16 * KIB
    body_bytes: int = 64 * KIB * KIB
    connections: int = 1000
    header_timeout_s: float = 10.0
    body_timeout_s: float = 10.0
    idle_timeout_s: float = 60.0
    write_timeout_s: float = 20.0
    buffer_bytes: int = 64 * KIB
    pipelined_requests: int = 1
    pipelined_bytes: int = 256 * KIB


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamLimits:
    """Limits for the local upstream.

    Attributes:
        header_bytes: Largest total size of status line and header fields.
        connections: Most open connections, idle ones included.
        connect_timeout_s: Longest time for opening a connection.
        idle_timeout_s: Longest time for which an unused connection is kept. Shorter
            than common upstream keep-alive timeouts, so that the upstream does not
            close a connection just as a request is sent on it.
        body_bytes: Largest response body.
        skipped_bytes: Most bytes of responses to earlier requests that are skipped
            while a request waits for its own.
        buffer_bytes: Buffered body bytes above which reading from the socket pauses.
        accepts_unframed: Whether a response without Content-Length or chunked encoding
            counts as complete when its connection is closed in order.
    """

    header_bytes: int = 16 * KIB
    body_bytes: int = 1024 * KIB * KIB
    skipped_bytes: int = 4 * KIB * KIB
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
        window_bytes: Flow-control window: most bytes of a stream's body in one
            direction that its reader has not read.
        streams: Most requests of peers in flight.
        max_queued_control_messages: Most control messages queued for one peer.
        connect_timeout_s: Longest time for opening a connection.
        backoff_initial_s: Backoff after the first failed connect; it doubles each time.
        backoff_max_s: Longest backoff.
        probe_after_s: Time without bytes from a peer with streams open, after which it
            is probed.
        unresponsive_after_s: Time without bytes after which a peer that was probed is
            unresponsive, and gets no further requests on the connection.
        idle_s: Idle time after which a connection is closed.
        deadline_margin_s: Subtracted from the deadline on each hop, so that the next
            node's error response arrives in time.
    """

    chunk_bytes: int = 16 * KIB
    window_bytes: int = 64 * KIB
    streams: int = 4096
    max_queued_control_messages: int = 1024
    connect_timeout_s: float = 1.0
    backoff_initial_s: float = 0.05
    backoff_max_s: float = 1.0
    probe_after_s: float = 1.0
    unresponsive_after_s: float = 4.0
    idle_s: float = 120.0
    deadline_margin_s: float = 0.02
