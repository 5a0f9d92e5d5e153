"""Durations of the lease protocol, and how many witnesses each step needs."""

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
]

LEASE_DURATION_S = 1.0
RENEW_INTERVAL_S = 0.4
CLOCK_RATE_BOUND = 0.02
"""Largest relative difference of the rates of two nodes' clocks."""

MAX_UNACKNOWLEDGED_ROUNDS = 2
"""Renewals that a witness promises though the holder heard no answer to them. A holder
that is heard but hears nothing cannot serve, and must not keep others from it."""

QUERY_INTERVAL_S = 0.25
LAPSE_RESEND_INTERVALS_S = (0.1, 0.2, 0.4, 0.8, 1.6, 5.0)
REPLACE_WITNESS_ROUNDS = 8
REPLACE_WITNESS_ROUNDS_EXPIRED = 3
"""Unanswered renewals after which a witness is replaced, while the lease is live and
after it has run out."""

QUORUM_LOSS_ROUNDS = 3
"""Renewals unanswered by too many witnesses after which a holder, which can neither
serve nor be fenced, ends its lease itself."""

EXPIRED_LEASE_END_DELAY_S = 0.25
ADMISSION_WAIT_S = 1.0
DEPARTURE_STAGE_TIMEOUT_S = 2.0
READMIT_INTERVAL_S = 5.0
APPEND_RETRY_INTERVAL_S = 2.0
CONFIG_GRACE_S = 2.0
WITNESSES_PER_LEASE = 3


def compute_promise_quorum(witnesses: int) -> int:
    """Return how many witnesses must promise before the holder serves.

    Together with :func:`count_fences` it exceeds the number of witnesses, so that a
    lease that is fenced and one that is promised never stand at the same time.
    """
    return (witnesses + 1) // 2


def compute_fence_quorum(witnesses: int) -> int:
    """Return how many witnesses must have fenced a lease before it has ended."""
    return witnesses // 2 + 1
