"""Durations of the lease protocol, and how many witnesses each step needs."""

__all__ = [
    "ADMISSION_SETTLE_S",
    "CLOCK_RATE_BOUND",
    "CONFIG_GRACE_S",
    "DRAIN_PATIENCE_S",
    "LAPSE_REPEAT_S",
    "LEASE_DURATION_S",
    "MAX_UNHEARD_ROUNDS",
    "QUERY_INTERVAL_S",
    "READMIT_INTERVAL_S",
    "RENEW_INTERVAL_S",
    "RETRY_APPEND_S",
    "WITNESSES_WANTED",
    "SILENT_ROUNDS",
    "SILENT_ROUNDS_END",
    "SILENT_ROUNDS_URGENT",
    "GIVE_UP_S",
    "count_fences",
    "count_promises",
]

LEASE_DURATION_S = 1.0
RENEW_INTERVAL_S = 0.4
CLOCK_RATE_BOUND = 0.02
"""Largest relative difference of the rates of two nodes' clocks."""

MAX_UNHEARD_ROUNDS = 2
"""Renewals that a witness promises though the holder heard no answer to them. A holder
that is heard but hears nothing cannot serve, and must not keep others from it."""

QUERY_INTERVAL_S = 0.25
LAPSE_REPEAT_S = (0.1, 0.2, 0.4, 0.8, 1.6, 5.0)
SILENT_ROUNDS = 8
SILENT_ROUNDS_URGENT = 3
"""Unanswered renewals after which a witness is replaced, while the lease is live and
after it has run out."""

SILENT_ROUNDS_END = 3
"""Renewals unanswered by too many witnesses after which a holder, which can neither
serve nor be fenced, ends its lease itself."""

GIVE_UP_S = 0.25
ADMISSION_SETTLE_S = 1.0
DRAIN_PATIENCE_S = 2.0
READMIT_INTERVAL_S = 5.0
RETRY_APPEND_S = 2.0
CONFIG_GRACE_S = 2.0
WITNESSES_WANTED = 3


def count_promises(witnesses: int) -> int:
    """Return how many witnesses must promise before the holder serves.

    Together with :func:`count_fences` it exceeds the number of witnesses, so that a
    lease that is fenced and one that is promised never stand at the same time.
    """
    return (witnesses + 1) // 2


def count_fences(witnesses: int) -> int:
    """Return how many witnesses must have fenced a lease before it has ended."""
    return witnesses // 2 + 1
