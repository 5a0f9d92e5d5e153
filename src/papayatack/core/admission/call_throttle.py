"""Refusal of requests whose calls would find no room.

A request that runs at an upstream may call other services, and its run is wasted if one
of these calls is refused. The throttle lets only as many requests of a kind begin as
have their calls answered, and refuses the others before they run. The share that may
begin decreases with the share of runs that lose a call, and increases while few do.
"""

import dataclasses
import random

__all__ = ["CallThrottle"]

STEP_S = 0.4
"""Time between two changes of a share. It is longer than most runs, so that a change
shows in the runs that the next one is based on."""

MIN_RUNS = 4
"""Runs that must have ended before a share decreases; fewer may be chance."""

MAX_LOSS = 0.1
"""Share of runs that may lose a call. Fewer lost ones would leave room unused."""

LOW_LOSS = 0.04
"""Share of lost runs below which the share of requests that begin increases fast."""

DECREASE_MARGIN = 1.05
SLOW_INCREASE_FACTOR = 1.05
FAST_INCREASE_FACTOR = 1.4
MIN_SHARE = 0.05
"""Least share of the requests that begin, to notice when there is room again."""

RETRY_AFTER_S = 0.06
MAX_RETRY_AFTER_S = 1.0
MAX_KINDS = 256
"""Maximum number of kinds with a share below 1; the oldest is forgotten."""


@dataclasses.dataclass(slots=True)
class _Kind:
    """Requests of one kind.

    Attributes:
        step_end_s: Time of the next change of the share.
        share: Share of the requests that may begin.
        answered: Runs that ended in this step, and of which no call was refused.
        lost: Runs that ended in this step after a call was refused.
    """

    step_end_s: float
    share: float = 1.0
    answered: int = 0
    lost: int = 0

    def update(self, now: float) -> None:
        """Change the share at the end of a step, by what was seen in it."""
        if now < self.step_end_s:
            return
        steps = 1 + int((now - self.step_end_s) / STEP_S)
        runs = self.answered + self.lost
        loss = self.lost / runs if runs else 0.0
        if loss <= MAX_LOSS:
            self._increase(loss, steps)
        elif runs >= MIN_RUNS:
            kept = min(1.0, DECREASE_MARGIN * (1.0 - loss))
            self.share = max(MIN_SHARE, self.share * max(0.5, kept))
        else:
            return
        self.answered = self.lost = 0
        self.step_end_s = now + STEP_S

    def _increase(self, loss: float, steps: int) -> None:
        is_low = loss <= LOW_LOSS
        factor = FAST_INCREASE_FACTOR if is_low else SLOW_INCREASE_FACTOR
        self.share = min(1.0, self.share * factor ** min(steps, 16))


class CallThrottle:
    """Decides which requests may begin, by how the calls of their kind fare.

    Nothing is kept of a kind whose runs lose no calls.

    Args:
        rng: Draws which requests are refused.
    """

    def __init__(self, *, rng: random.Random | None = None) -> None:
        self._rng = rng or random.Random()
        self._kinds: dict[str, _Kind] = {}

    def decide(self, now: float, kind: str) -> float | None:
        """Return after how many seconds a refused request may come again.

        Returns:
            ``None`` if the request may begin.
        """
        share = self.read_share(now, kind)
        if share >= 1.0 or self._rng.random() < share:
            return None
        mean_s = min(MAX_RETRY_AFTER_S, RETRY_AFTER_S / share)
        return mean_s * self._rng.uniform(1.0, 2.0)

    def record_run(self, now: float, kind: str, *, lost_call: bool) -> None:
        """Record a run that has ended, and whether one of its calls was refused."""
        state = self._kinds.get(kind)
        if state is None:
            if not lost_call:
                return
            state = self._add(now, kind)
        if lost_call:
            state.lost += 1
        else:
            state.answered += 1
        state.update(now)

    def read_share(self, now: float, kind: str) -> float:
        """Return the share of a kind's requests that may begin now."""
        state = self._kinds.get(kind)
        if state is None:
            return 1.0
        state.update(now)
        if state.share >= 1.0 and not state.lost:
            del self._kinds[kind]
        return state.share

    def _add(self, now: float, kind: str) -> _Kind:
        if len(self._kinds) >= MAX_KINDS:
            del self._kinds[next(iter(self._kinds))]
        state = self._kinds[kind] = _Kind(now + STEP_S)
        return state
