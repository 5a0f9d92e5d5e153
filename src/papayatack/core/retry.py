"""Whether, and when, a failed attempt is made again."""

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

BUDGET_WINDOW_S = 10.0

BUDGET_RESERVE = 1.0

MAX_ATTEMPTS = 4

BACKOFF_START_S = 0.005

BACKOFF_FACTOR = 2.0

BACKOFF_LIMIT_S = 1.0


class RetryReason(enum.StrEnum):
    """Why an attempt is, or is not, made again; counted under ``retry_decisions``."""

    ALLOWED = "allowed"
    NOT_RETRYABLE = "not-retryable"
    MAY_HAVE_RUN = "may-have-run"
    ATTEMPTS_SPENT = "attempts-spent"
    DEADLINE_TOO_NEAR = "deadline-too-near"
    BUDGET_SPENT = "budget-spent"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RetryDecision:
    """What to do after a failed attempt.

    Attributes:
        reason: Why.
        delay_s: Seconds to wait before the next attempt; ``None`` for no attempt.
    """

    reason: RetryReason
    delay_s: float | None = None


@dataclasses.dataclass(slots=True, kw_only=True)
class RetryBudget:
    """Lets retries be a share of the requests.

    Each request pays in a share of a retry and each retry takes a whole one, so
    over any time the retries stay below the share of the requests, plus a reserve
    of one. What may be saved up is bounded by the share of the last seconds'
    requests: a quiet spell after a busy one leaves no burst of retries behind.

    Attributes:
        share: Retries allowed for each request.
    """

    ratio: float = RETRY_BUDGET_RATIO
    _balance: float = BUDGET_RESERVE
    _recent_requests: float = 0.0
    _updated_s: float | None = None

    def deposit(self, now: float) -> None:
        """Count a request."""
        self._decay(now)
        self._recent_requests += 1.0
        self._balance = min(self._balance + self.ratio, self._max_balance())

    def withdraw(self, now: float) -> bool:
        """Take one retry if the budget holds it."""
        self._decay(now)
        self._balance = min(self._balance, self._max_balance())
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True

    def _max_balance(self) -> float:
        return max(BUDGET_RESERVE, self.ratio * self._recent_requests)

    def _decay(self, now: float) -> None:
        """Let the requests counted fade over the window."""
        if self._updated_s is not None and now > self._updated_s:
            self._recent_requests *= math.exp((self._updated_s - now) / BUDGET_WINDOW_S)
        self._updated_s = now


class RetryPolicy:
    """Retries inside the deadline and a budget, after a jittered backoff.

    Args:
        rng: Source of the jitter.
        count: Called with ``retry_decisions`` and the reason of each decision.
        share: Retries allowed for each request.
        max_attempts: Attempts for one request, the first included.
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
        """Count a caller's request, once, whatever its attempts."""
        self._budget.deposit(now)

    def allow_retry(self, now: float, attempt: int, deadline: float) -> float | None:
        """Return the delay before the next attempt, or ``None`` for no attempt.

        The caller has made sure that the request may be run again; use
        :meth:`decide` to have that judged from the error.

        Args:
            now: The current time.
            attempt: Attempts made so far, from 1.
            deadline: When the answer must be there.
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
        """Judge a failed attempt by its error.

        Args:
            now: The current time.
            kind: How the attempt failed.
            attempt: Attempts made so far, from 1.
            deadline: When the answer must be there.
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
        """Return a random delay below an exponentially growing bound."""
        bound_s = BACKOFF_START_S * BACKOFF_FACTOR ** (attempt - 1)
        return self._rng.uniform(0.0, min(bound_s, BACKOFF_LIMIT_S))

    def _count_decision(self, decision: RetryDecision) -> RetryDecision:
        if self._count is not None:
            self._count("retry_decisions", decision.reason)
        return decision
