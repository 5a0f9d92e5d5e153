"""Retry policy with a retry budget and exponential backoff."""

import dataclasses
import enum
import math
import random
from collections.abc import Callable

from papayatack.core.errors import ErrorKind, Outcome, get_error_response

__all__ = [
    "RETRY_BUDGET_RATIO",
    "RetryBudget",
    "RetryDecision",
    "RetryPolicy",
    "RetryReason",
]

RETRY_BUDGET_RATIO = 0.08
"""Default number of retries allowed per request."""

BUDGET_WINDOW_S = 10.0
"""Time constant with which counted requests decay, in seconds."""

BUDGET_RESERVE = 1.0
"""Retries that are available regardless of the number of requests."""

MAX_ATTEMPTS = 4
"""Default maximum number of attempts per request, including the first."""

BACKOFF_START_S = 0.005
"""Upper bound on the delay before the first retry, in seconds."""

BACKOFF_FACTOR = 2.0
"""Factor by which the bound on the delay grows with each attempt."""

BACKOFF_LIMIT_S = 1.0
"""Upper bound on the delay before any retry, in seconds."""


class RetryReason(enum.StrEnum):
    """Reason of a retry decision; counted under ``retry_decisions``."""

    ALLOWED = "allowed"
    NOT_RETRYABLE = "not-retryable"
    MAY_HAVE_RUN = "may-have-run"
    ATTEMPTS_SPENT = "attempts-spent"
    DEADLINE_TOO_NEAR = "deadline-too-near"
    BUDGET_SPENT = "budget-spent"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RetryDecision:
    """Decision after a failed attempt.

    Attributes:
        reason: Reason of the decision.
        delay_s: Delay before the retry in seconds, or ``None`` for no retry.
    """

    reason: RetryReason
    delay_s: float | None = None


@dataclasses.dataclass(slots=True, kw_only=True)
class RetryBudget:
    """Token bucket that limits retries to a ratio of the requests.

    Each request deposits a fraction of a retry and each retry withdraws a whole one, so
    that over any period the number of retries stays below the ratio times the number of
    requests, plus a reserve of one. The balance is capped at the ratio times the recent
    requests, so that retries cannot burst in a quiet period after a busy one.

    Attributes:
        ratio: Retries allowed per request.
    """

    ratio: float = RETRY_BUDGET_RATIO
    _balance: float = BUDGET_RESERVE
    _recent_requests: float = 0.0
    _updated_s: float | None = None

    def deposit(self, now: float) -> None:
        """Record a request and add its share to the balance."""
        self._decay(now)
        self._recent_requests += 1.0
        self._balance = min(self._balance + self.ratio, self._max_balance())

    def withdraw(self, now: float) -> bool:
        """Take one retry from the balance; return whether there was one."""
        self._decay(now)
        self._balance = min(self._balance, self._max_balance())
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True

    def _max_balance(self) -> float:
        return max(BUDGET_RESERVE, self.ratio * self._recent_requests)

    def _decay(self, now: float) -> None:
        """Decay the number of recent requests."""
        if self._updated_s is not None and now > self._updated_s:
            self._recent_requests *= math.exp((self._updated_s - now) / BUDGET_WINDOW_S)
        self._updated_s = now


class RetryPolicy:
    """Allows retries within the deadline and a retry budget, with jittered backoff.

    Args:
        rng: Source of the jitter.
        count: Called with ``retry_decisions`` and the reason of each decision.
        budget_ratio: Retries allowed per request.
        max_attempts: Maximum number of attempts per request, including the first.
    """

    def __init__(
        self,
        *,
        rng: random.Random | None = None,
        count: Callable[[str, str], None] | None = None,
        budget_ratio: float = RETRY_BUDGET_RATIO,
        max_attempts: int = MAX_ATTEMPTS,
    ) -> None:
        self._rng = rng or random.Random()
        self._count = count
        self._budget = RetryBudget(ratio=budget_ratio)
        self._max_attempts = max_attempts

    def record_request(self, now: float) -> None:
        """Record a caller's request, once regardless of its number of attempts."""
        self._budget.deposit(now)

    def allow_retry(self, now: float, attempt: int, deadline: float) -> float | None:
        """Return the delay before a retry in seconds, or ``None`` for no retry.

        The request must be safe to run again; :meth:`decide` derives that from the
        error.

        Args:
            now: The current time, in seconds.
            attempt: Number of attempts made so far, at least 1.
            deadline: Time by which the response is needed, in seconds.
        """
        return self._count_decision(self._check_limits(now, attempt, deadline)).delay_s

    def decide(
        self,
        now: float,
        *,
        kind: ErrorKind,
        attempt: int,
        deadline: float,
        repeatable: bool,
    ) -> RetryDecision:
        """Return whether to retry after a given error.

        Args:
            now: The current time, in seconds.
            kind: Error of the failed attempt.
            attempt: Number of attempts made so far, at least 1.
            deadline: Time by which the response is needed, in seconds.
            repeatable: Whether the request may be run more than once.
        """
        response = get_error_response(kind)
        if response.outcome is not Outcome.NOT_RUN and not repeatable:
            return self._count_decision(RetryDecision(reason=RetryReason.MAY_HAVE_RUN))
        if not response.retryable:
            return self._count_decision(RetryDecision(reason=RetryReason.NOT_RETRYABLE))
        return self._count_decision(self._check_limits(now, attempt, deadline))

    def _check_limits(self, now: float, attempt: int, deadline: float) -> RetryDecision:
        if attempt >= self._max_attempts:
            return RetryDecision(reason=RetryReason.ATTEMPTS_SPENT)
        delay_s = self._draw_delay(attempt)
        if now + delay_s >= deadline:
            return RetryDecision(reason=RetryReason.DEADLINE_TOO_NEAR)
        if not self._budget.withdraw(now):
            return RetryDecision(reason=RetryReason.BUDGET_SPENT)
        return RetryDecision(reason=RetryReason.ALLOWED, delay_s=delay_s)

    def _draw_delay(self, attempt: int) -> float:
        """Return a random delay in seconds below an exponentially growing bound."""
        bound_s = BACKOFF_START_S * BACKOFF_FACTOR ** (attempt - 1)
        return self._rng.uniform(0.0, min(bound_s, BACKOFF_LIMIT_S))

    def _count_decision(self, decision: RetryDecision) -> RetryDecision:
        if self._count is not None:
            self._count("retry_decisions", decision.reason)
        return decision
