"""Durations of the lease protocol in seconds, and the quorums of its witnesses."""

__all__ = [
    "ADMISSION_WAIT_S",
    "CLOCK_RATE_BOUND",
    "CONFIG_GRACE_S",
    "DEPARTURE_STAGE_TIMEOUT_S",
    "LAPSE_RESEND_INTERVALS_S",
    "LEASE_DURATION_S",
    "MAX_UNACKNOWLEDGED_ROUNDS",
    "QUERY_INTERVAL_S",
    "READMIT_INTERVAL_S",
    "RENEW_INTERVAL_S",
    "APPEND_RETRY_INTERVAL_S",
    "WITNESSES_PER_LEASE",
    "REPLACE_WITNESS_ROUNDS",
    "QUORUM_LOSS_ROUNDS",
    "REPLACE_WITNESS_ROUNDS_EXPIRED",
    "EXPIRED_LEASE_END_DELAY_S",
    "compute_fence_quorum",
    "compute_promise_quorum",
    "compute_renew_interval_s",
]

LEASE_DURATION_S = 1.0
"""Time for which a witness promises a lease."""

RENEW_INTERVAL_S = 0.4
"""Shortest time after which a lease is renewed again."""

RENEW_LEASE_SHARE = 2 / 15
"""Time after which a lease is renewed again, as a share of its duration."""

CLOCK_RATE_BOUND = 0.02
"""Largest relative difference between the clock rates of two nodes."""

MAX_UNACKNOWLEDGED_ROUNDS = 2
"""Renewals that a witness promises although the holder acknowledged none of its answers
to them. A holder that can send but not receive cannot serve, and must not keep other
nodes from serving."""

QUERY_INTERVAL_S = 0.25
"""Shortest time between two repeats of a query, a fence request or a notice."""

LAPSE_RESEND_INTERVALS_S = (0.1, 0.2, 0.4, 0.8)
"""Intervals between a witness's notices of a lapsed lease; the last repeats. A claimant
that can be reached again learns of the lapse by the next notices of two witnesses."""

REPLACE_WITNESS_ROUNDS = 8
REPLACE_WITNESS_ROUNDS_EXPIRED = 3
"""Unanswered renewals after which a witness is replaced: ``REPLACE_WITNESS_ROUNDS``
while the lease is live, ``REPLACE_WITNESS_ROUNDS_EXPIRED`` after it has expired."""

QUORUM_LOSS_ROUNDS = 3
"""Renewals left unanswered by too many witnesses after which a holder, which can
neither serve nor be fenced, ends its own lease."""

EXPIRED_LEASE_END_DELAY_S = 0.25
"""Time for which an older lease has been expired before its holder ends it."""

ADMISSION_WAIT_S = 1.0
"""Longest wait for a full set of witnesses for a node's first lease."""

DEPARTURE_STAGE_TIMEOUT_S = 2.0
"""Longest duration of the fencing and the retiring stage of a departure."""

READMIT_INTERVAL_S = 5.0
"""Shortest time between two requests to replace a lease that has witnesses."""

APPEND_RETRY_INTERVAL_S = 2.0
"""Time after which a record that did not take effect is appended again."""

CONFIG_GRACE_S = 2.0
"""Time for which a live holder may have an older configuration than a witness."""

WITNESSES_PER_LEASE = 3
"""Number of witnesses chosen for a lease if enough nodes are available."""


def compute_promise_quorum(witnesses: int) -> int:
    """Return how many witnesses must promise a lease before its holder may serve.

    The sum with :func:`compute_fence_quorum` exceeds the number of witnesses, so a
    lease is never fenced and promised at the same time.
    """
    return (witnesses + 1) // 2


def compute_fence_quorum(witnesses: int) -> int:
    """Return how many witnesses must have fenced a lease before it has ended."""
    return witnesses // 2 + 1


def compute_renew_interval_s(lease_s: float) -> float:
    """Return the seconds after which a lease of a duration is renewed again."""
    return max(RENEW_INTERVAL_S, RENEW_LEASE_SHARE * lease_s)
