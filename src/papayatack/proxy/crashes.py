"""Tells the crash of the local upstream from the loss of single connections.

All requests that were in flight when the upstream's process ended are suspected of
having ended it. A connection that is lost while the process still listens, an upstream
that is silent, and one that had announced its end are no crash.
"""

import asyncio
import collections
import dataclasses
import math
from collections.abc import Callable

from papayatack.core.ownership.suspicions import Standing
from papayatack.network.exchanges import PeerRequest
from papayatack.network.probes import ProbeResult
from papayatack.network.upstreams import UpstreamPool
from papayatack.observability.metrics import Metrics
from papayatack.proxy.body_wrappers import RecordedBody

__all__ = ["CrashDetector", "Run"]

LOSS_SPREAD_S = 0.5
"""Longest time between the losses of the connections of a process that ends."""

END_WINDOW_S = 3.0
"""Time before the end of a process is noticed by other signs, such as the start of the
next one, in which a lost connection counts as lost in its crash."""

MAX_LOST = 256
"""Number of lost requests that are kept until the window has passed."""


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class Run:
    """A request in flight at the upstream.

    Attributes:
        peer_request: The request.
        body: Its body, as far as it has been sent.
        standings: What was known when it was sent, of requests that are alike and of
            those that are the same; ``None`` if nothing was known of its head.
        pool: Connections to the upstream process that runs it.
        lost_s: Event loop time at which its connection was lost or closed; infinite
            before.
        has_ended: Whether the upstream has answered it.
        failed_call: Id of a call of this request that got no answer, empty if none.
    """

    peer_request: PeerRequest
    body: RecordedBody
    standings: tuple[Standing, Standing] | None
    pool: UpstreamPool
    lost_s: float = math.inf
    has_ended: bool = False
    failed_call: str = ""


class CrashDetector:
    """Follows the requests in flight at the upstream.

    Args:
        metrics: Counts ``upstream_losses`` by what the probe found.
        report: Receives the runs that were in flight at a crash, once for each process.
    """

    def __init__(
        self, *, metrics: Metrics, report: Callable[[UpstreamPool, list[Run]], None]
    ) -> None:
        self._metrics = metrics
        self._report = report
        self._running: dict[Run, None] = {}
        self._run_by_request: dict[str, Run] = {}
        self._lost: collections.deque[Run] = collections.deque(maxlen=MAX_LOST)
        self._checks: set[asyncio.Task[bool]] = set()
        self._judgements: dict[UpstreamPool, asyncio.Task[bool]] = {}

    def start(self, run: Run) -> None:
        """Record that a request is sent to the upstream."""
        self._running[run] = None
        self._run_by_request[run.peer_request.request_id] = run

    def find_run(self, request_id: str) -> Run | None:
        """Return the run of a request at the upstream, if it is in flight."""
        return self._run_by_request.get(request_id)

    def end(self, run: Run) -> None:
        """Record that the upstream has answered a request."""
        run.has_ended = True
        self._discard(run)

    def abandon(self, run: Run) -> None:
        """Record that an answer is not awaited; the upstream may still be at work."""
        if run in self._running:
            self._keep_lost(run)

    def note_loss(self, run: Run) -> None:
        """Record that a streamed answer ended early."""
        if run in self._running:
            check = asyncio.ensure_future(self.check_loss(run))
            self._checks.add(check)
            check.add_done_callback(self._checks.discard)

    async def check_loss(self, run: Run) -> bool:
        """Return whether a lost connection was lost in a crash of the upstream."""
        if run in self._running:
            self._keep_lost(run)
        if run.pool.is_crashed:
            return True
        judgement = self._judgements.get(run.pool)
        if judgement is None:
            judgement = asyncio.ensure_future(self._judge(run.pool))
            self._judgements[run.pool] = judgement
        return await asyncio.shield(judgement)

    def note_end(self, pool: UpstreamPool) -> None:
        """Record that the process of the pool's upstream has ended."""
        if not pool.is_leaving:
            now = asyncio.get_running_loop().time()
            self._record_crash(pool, now - END_WINDOW_S)

    def _keep_lost(self, run: Run) -> None:
        now = asyncio.get_running_loop().time()
        self._discard(run)
        run.lost_s = now
        while self._lost and self._lost[0].lost_s < now - END_WINDOW_S:
            self._lost.popleft()
        self._lost.append(run)

    def _discard(self, run: Run) -> None:
        self._running.pop(run, None)
        request_id = run.peer_request.request_id
        if self._run_by_request.get(request_id) is run:
            del self._run_by_request[request_id]

    async def _judge(self, pool: UpstreamPool) -> bool:
        """Probe the upstream after a loss; report a crash if nothing listens."""
        try:
            found = await pool.probe()
        finally:
            del self._judgements[pool]
        self._metrics.count("upstream_losses", found.value)
        if found is not ProbeResult.CLOSED or pool.is_leaving:
            return False
        now = asyncio.get_running_loop().time()
        self._record_crash(pool, now - LOSS_SPREAD_S)
        return True

    def _record_crash(self, pool: UpstreamPool, since_s: float) -> None:
        """Report the runs of a process that has ended, and those lost since a time."""
        if pool.is_crashed:
            return
        pool.is_crashed = True
        lost = [run for run in self._lost if run.pool is pool and run.lost_s >= since_s]
        running = [run for run in self._running if run.pool is pool]
        self._lost = collections.deque(
            (run for run in self._lost if run.pool is not pool), maxlen=MAX_LOST
        )
        self._report(pool, lost + running)
