"""Probing of a quiet peer on one connection."""

import asyncio
from typing import Protocol

from papayatack.network.limits import PeerLimits

__all__ = ["PeerProbe", "ProbedLink"]

MAX_REPLY_S = 0.6
"""Longest time for which the answer to a probe is waited for, however slow the peer's
earlier answers were."""

REPLY_SMOOTHING = 0.25
REPLY_DEVIATIONS = 4.0
"""Weight of a new sample in the mean time of the peer's answers, and the number of mean
deviations from it that are allowed."""

MAX_PROBE_DOUBLINGS = 2
"""How often the pause between probes of a quiet peer is doubled."""

MAX_TIMER_DELAY_S = 0.05
"""Delay of a timer above which this node itself was stalled, and bytes of the peer may
not have been read yet."""


class ProbedLink(Protocol):
    """Interface of the link whose peer is probed."""

    limits: PeerLimits

    @property
    def owes_answers(self) -> bool:
        """Whether the peer owes answers and is not known to be unresponsive."""

    def send_probe(self) -> None:
        """Send a message that the peer answers at once."""

    def mark_unresponsive(self) -> None:
        """Stop waiting for the peer."""


class PeerProbe:
    """Probes a quiet peer that owes answers, and tells when it does not answer.

    Attributes:
        last_received_s: Event loop time of the peer's last bytes.
    """

    def __init__(self, *, link: ProbedLink) -> None:
        self.last_received_s = 0.0
        self._link = link
        self._limits = link.limits
        self._loop = asyncio.get_running_loop()
        self._probed_s: float | None = None
        self._reply_s = 0.0
        self._reply_deviation_s = 0.0
        self._answered_probes = 0
        self._opened_s = 0.0
        self._timer: asyncio.TimerHandle | None = None

    def note_received(self, now: float) -> None:
        """Note that bytes of the peer have arrived."""
        self.last_received_s = now
        if self._probed_s is not None:
            self._record_reply(now - self._probed_s)
        self._probed_s = None

    def note_request(self, now: float) -> None:
        """Note that a request is sent to the peer, and start to watch it."""
        self._opened_s = now
        self._answered_probes = 0
        self._start_timer(now + self._limits.probe_after_s)

    def check(self, now: float) -> None:
        """Probe a silent peer, and report it if it does not answer."""
        if now - self.last_received_s < self._limits.probe_after_s:
            return
        if self._probed_s is None:
            self._probed_s = now
            self._link.send_probe()
        elif now - self._probed_s >= self._find_reply_limit():
            self._link.mark_unresponsive()

    def _start_timer(self, due_s: float) -> None:
        """Check the peer at a time, unless a check is due already."""
        if self._timer is None:
            self._timer = self._loop.call_at(due_s, self._check_due, due_s)

    def _check_due(self, due_s: float) -> None:
        """Check a peer that has requests to answer, and start the next check's timer.

        If this node itself was stalled, bytes of the peer may wait to be read, so the
        peer gets the time until a probe once more.
        """
        self._timer = None
        if not self._link.owes_answers:
            return
        now = self._loop.time()
        if now - due_s > MAX_TIMER_DELAY_S:
            self._probed_s = None
            self._start_timer(now + self._limits.probe_after_s)
            return
        if self._probed_s is not None or now >= self._find_probe_time():
            self.check(now)
        if self._probed_s is None:
            self._start_timer(self._find_probe_time())
        elif self._link.owes_answers:
            self._start_timer(self._probed_s + self._find_reply_limit())

    def _find_probe_time(self) -> float:
        """Return when a peer is probed that stays quiet.

        Probes of a peer that answers them, but not the requests yet, become rarer.
        """
        pause_s = self._limits.probe_after_s * 2**self._answered_probes
        return max(self.last_received_s, self._opened_s) + pause_s

    def _find_reply_limit(self) -> float:
        """Return for how many seconds the answer to a probe is waited for."""
        usual_s = self._reply_s + REPLY_DEVIATIONS * self._reply_deviation_s
        least_s = self._limits.unresponsive_after_s - self._limits.probe_after_s
        return max(least_s, min(usual_s, MAX_REPLY_S))

    def _record_reply(self, reply_s: float) -> None:
        """Update the usual time of the peer's answers to probes."""
        difference_s = reply_s - self._reply_s
        self._answered_probes = min(self._answered_probes + 1, MAX_PROBE_DOUBLINGS)
        self._reply_s += REPLY_SMOOTHING * difference_s
        self._reply_deviation_s += REPLY_SMOOTHING * (
            abs(difference_s) - self._reply_deviation_s
        )
