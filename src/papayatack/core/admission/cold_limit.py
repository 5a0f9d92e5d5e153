"""Limit on the requests that a cold upstream gets in any second.

The times of the newest requests are kept while the upstream is warm too, since those of
the second before its coldness became known count as well. While nothing is known of a
coldness, the requests that follow the newest proof of warmth are limited: an answer of
the upstream's health check proves that it was warm when the question was sent or later.
"""

import bisect
import collections
import dataclasses
import enum
import math

__all__ = ["ColdBounds", "ColdLimit", "ColdSource", "ColdState"]

WINDOW_S = 1.2
"""Period in seconds to which the limits apply: a second, and what an event loop may be
late between the count of a request and its write."""

SLACK_SHARE = 0.75
"""Share of the slack in use while no coldness is known. Questions use the rest."""

QUESTION_SHARE = 0.8
"""Share of the requests permitted since the last proof after which the next question is
asked."""

QUESTION_PAUSE_S = 0.25
"""Pause in seconds after a question without an answer."""

ANSWER_S = 0.02
"""Time in seconds in which an answer is expected."""

REPORT_TOLERANCE_S = 0.25
"""Difference in seconds by which a report may be shorter than what is known."""

RETURN_S = 4.0
"""Time in seconds after a coldness in which the rate that the upstream is said to take
doubles each second."""

MAX_TIMES = 1024
"""Upper bound on the limits, and so on the times that are kept."""

ROUNDING_TOLERANCE = 1e-6
ROUNDING_TOLERANCE_S = 1e-6


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ColdBounds:
    """How many requests the cold upstreams of a service may get.

    Attributes:
        requests_per_s: Requests per second.
        start_s: Seconds after its start in which an upstream is cold.
        overrun: Ratio of the requests in any second to ``requests_per_s`` up to which
            they are allowed.
        slack: Requests in any second that are allowed beyond that.
    """

    requests_per_s: float
    start_s: float = 0.0
    overrun: float = 1.0
    slack: float = 0.0

    @property
    def limit(self) -> int:
        """Requests that may be sent in a window, whatever is known."""
        return _round_down(self.requests_per_s * self.overrun)

    @property
    def unproven_limit(self) -> int:
        """Requests that may be sent in a window while no coldness is known."""
        slack = max(0.0, self.slack) * SLACK_SHARE
        return max(self.limit, _round_down(self.requests_per_s * self.overrun + slack))


class ColdSource(enum.StrEnum):
    """From where a coldness, or its end, is known."""

    START = "start"
    HEARTBEAT = "heartbeat"
    HEALTH_CHECK = "health-check"
    TIME = "time"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ColdState:
    """What is known of an upstream's coldness, for operators.

    Attributes:
        is_limited: Whether its service has a limit for cold upstreams.
        is_cold: Whether it counts as cold.
        source: From where that is known.
        remaining_s: Seconds for which it stays cold.
        age_s: Seconds since the last news.
        room: Requests that may be sent now.
    """

    is_limited: bool
    is_cold: bool = False
    source: ColdSource = ColdSource.START
    remaining_s: float = 0.0
    age_s: float = 0.0
    room: int = 0


class ColdLimit:
    """Counts the requests to one upstream and says when the next may be sent.

    A request is reserved on admission and counted when it is sent; between the two it
    counts as if it were sent now. Without bounds everything is permitted.

    Args:
        now: Event loop time. What was sent before is unknown: the window counts as
            full, and the upstream as started now.
    """

    def __init__(self, *, now: float) -> None:
        self._bounds: ColdBounds | None = None
        self._limit = self._unproven_limit = MAX_TIMES
        self._question_count = float(MAX_TIMES)
        self._sent_s: collections.deque[float] = collections.deque(maxlen=MAX_TIMES)
        self._created_s = now
        self._reserved = 0
        self._restarted_s = now
        self._cold_until_s = -math.inf
        self._source = ColdSource.START
        self._news_s = now
        self._proven_s = -math.inf
        self._reported_s = -math.inf
        self._checked_until_s = -math.inf
        self._is_question_wanted = False
        self._is_question_open = False
        self._question_from_s = -math.inf

    @property
    def bounds(self) -> ColdBounds | None:
        """How many requests a cold upstream may get; ``None`` if there is no limit."""
        return self._bounds

    def configure(self, now: float, bounds: ColdBounds | None) -> None:
        """Apply changed bounds; the times of requests are kept."""
        if bounds == self._bounds:
            return
        is_new = self._bounds is None
        self._bounds = bounds
        if bounds is None:
            self._sent_s = collections.deque(self._sent_s, maxlen=MAX_TIMES)
            return
        oldest_s = self._sent_s[0] if len(self._sent_s) else self._created_s
        if is_new:
            oldest_s = min(oldest_s, self._created_s)
        self._limit, self._unproven_limit = bounds.limit, bounds.unproven_limit
        self._question_count = self._unproven_limit * QUESTION_SHARE
        times = [oldest_s] * self._unproven_limit + list(self._sent_s)
        self._sent_s = collections.deque(times, maxlen=self._unproven_limit)
        if is_new:
            self._assume_cold(now)

    def restart(self, now: float) -> None:
        """Begin with another lifetime of the upstream, which is cold from its start."""
        self._restarted_s = now
        self._assume_cold(now)

    def _assume_cold(self, now: float) -> None:
        self._proven_s = -math.inf
        self._reported_s = -math.inf
        self._checked_until_s = -math.inf
        self._cold_until_s = -math.inf
        if self._bounds is not None:
            self._set_cold(
                now, self._restarted_s + self._bounds.start_s, ColdSource.START
            )
        self._is_question_wanted = True
        self._question_from_s = now

    def is_cold(self, now: float) -> bool:
        """Return whether the upstream counts as cold."""
        return self._bounds is not None and now < self._cold_until_s

    def allows(self, now: float) -> bool:
        """Return whether a request may be sent."""
        return self._bounds is None or self.count_room(now) > 0

    def count_room(self, now: float) -> int:
        """Return how many requests may be sent now, under bounds."""
        if self._bounds is None:
            return MAX_TIMES
        if now < self._cold_until_s:
            room = self._limit - self._count_since(now, -math.inf)
        else:
            room = self._unproven_limit - self._count_since(now, self._proven_s)
        return max(0, room - self._reserved)

    def reserve(self) -> None:
        """Count a request that was admitted and is to be sent."""
        self._reserved += 1

    def cancel_reservation(self) -> None:
        """Make room for another request, as an admitted one was not sent."""
        self._reserved -= 1

    def record_sent(self, now: float) -> None:
        """Count a reserved request as sent now."""
        self._reserved -= 1
        self._sent_s.append(now)

    def find_room(self, now: float, *, ahead: int = 0) -> float:
        """Return when a request may be sent, as far as is known now.

        Args:
            now: The current time.
            ahead: Number of requests that go before it.
        """
        if self._bounds is None or self.count_room(now) > ahead:
            return now
        always_s = self._find_turn(now, ahead, self._limit)
        unproven_s = self._find_turn(now, ahead, self._unproven_limit)
        if self.is_cold(now):
            return min(always_s, max(unproven_s, self._cold_until_s))
        if now >= self._question_from_s and not self._is_overdue(now):
            unproven_s = min(unproven_s, now + ANSWER_S)
        return min(always_s, unproven_s)

    def find_rate(self, now: float) -> float | None:
        """Return how many requests per second the upstream can be given.

        After a coldness that the upstream has told of, it rises step by step.

        Returns:
            ``None`` if there is no limit.
        """
        if self._bounds is None or now >= self._cold_until_s + RETURN_S:
            return None
        seconds = max(0.0, now - self._cold_until_s)
        return self._bounds.requests_per_s * 2.0**seconds

    def wants_question(self, now: float) -> bool:
        """Return whether the health check is to be asked now."""
        if self._bounds is None or self._is_question_open:
            return False
        if now < self._question_from_s:
            return False
        if self._is_question_wanted:
            return True
        if self.is_cold(now):
            is_reported = self._source is ColdSource.HEARTBEAT
            return is_reported and now >= self._checked_until_s
        unproven = self._count_since(now, self._proven_s) + self._reserved
        return unproven >= self._question_count

    def request_question(self) -> None:
        """Have the health check asked, since the upstream may have restarted."""
        self._is_question_wanted = True

    def record_question(self, now: float) -> None:
        """Record that the health check is asked, which is a request as well."""
        self._is_question_open = True
        self._question_from_s = now
        self._sent_s.append(now)

    def record_answer(
        self, now: float, *, asked_s: float, remaining_s: float | None
    ) -> None:
        """Record what the health check answers.

        Args:
            now: The current time.
            asked_s: Time at which the question was sent.
            remaining_s: Seconds for which the upstream stays cold; ``None`` if the
                answer does not say so.
        """
        self._is_question_open = False
        if asked_s < self._restarted_s:
            return
        self._is_question_wanted = False
        self._checked_until_s = now + (remaining_s or 0.0)
        if remaining_s is None and self.is_cold(now):
            self._checked_until_s = self._cold_until_s
            self._question_from_s = now + QUESTION_PAUSE_S
        elif remaining_s:
            until_s = now + remaining_s
            if self._reported_s >= asked_s:
                until_s = max(until_s, self._cold_until_s)
            self._set_cold(now, until_s, ColdSource.HEALTH_CHECK)
        elif self._reported_s >= asked_s and self.is_cold(now):
            self._is_question_wanted = True
        else:
            self._record_proof(now, asked_s)

    def record_failure(self, now: float) -> None:
        """Record that a question got no answer of the running lifetime."""
        self._is_question_open = False
        self._question_from_s = now + QUESTION_PAUSE_S

    def record_report(self, now: float, remaining_s: float) -> None:
        """Record what a heartbeat says, which may be seconds old.

        It may make a coldness begin, or last longer than the health check has said,
        which is asked again then. It ends none: if it is shorter than what is known,
        the health check is asked at once.
        """
        if self._bounds is None:
            return
        until_s = now + remaining_s
        if remaining_s > 0 and until_s > self._cold_until_s:
            self._reported_s = now
            self._set_cold(now, until_s, ColdSource.HEARTBEAT)
        elif self.is_cold(now) and until_s < self._cold_until_s - REPORT_TOLERANCE_S:
            self._is_question_wanted = True

    def describe(self, now: float) -> ColdState:
        """Return what is known, for operators."""
        if self._bounds is None:
            return ColdState(is_limited=False)
        is_cold = self.is_cold(now)
        has_lapsed = not is_cold and self._cold_until_s > self._news_s
        return ColdState(
            is_limited=True,
            is_cold=is_cold,
            source=ColdSource.TIME if has_lapsed else self._source,
            remaining_s=max(0.0, self._cold_until_s - now) if is_cold else 0.0,
            age_s=max(0.0, now - self._news_s),
            room=self.count_room(now),
        )

    def _set_cold(self, now: float, until_s: float, source: ColdSource) -> None:
        self._cold_until_s = until_s
        self._source = source
        self._news_s = now

    def _record_proof(self, now: float, asked_s: float) -> None:
        self._proven_s = asked_s
        if not self.is_cold(now):
            return
        was_assumed = self._source is ColdSource.START
        until_s = -math.inf if was_assumed else now
        self._set_cold(now, until_s, ColdSource.HEALTH_CHECK)

    def _count_since(self, now: float, since_s: float) -> int:
        """Return how many requests were sent in the window and since a time."""
        since_s = max(now - WINDOW_S + ROUNDING_TOLERANCE_S, since_s)
        return len(self._sent_s) - bisect.bisect_left(self._sent_s, since_s)

    def _is_overdue(self, now: float) -> bool:
        """Return whether the answer to an open question takes longer than expected."""
        asked_s = self._question_from_s
        return self._is_question_open and now >= asked_s + 5 * ANSWER_S

    def _find_turn(self, now: float, ahead: int, limit: int) -> float:
        """Return when a request may be sent under one of the limits alone."""
        cycles, index = divmod(ahead + self._reserved, limit)
        before_s = self._sent_s[len(self._sent_s) - limit + index]
        return max(now, before_s + WINDOW_S) + cycles * WINDOW_S


def _round_down(count: float) -> int:
    return min(max(1, int(count + ROUNDING_TOLERANCE)), MAX_TIMES)
