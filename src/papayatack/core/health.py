"""Outlier detection for nodes and upstreams, based on this node's own measurements.

Reports of health endpoints can be late or wrong, so they neither eject a node nor
reinstate it; only the results of attempts do. The single effect of a report is that an
ejected node which is reported healthy may be probed with an unrepeatable request.
"""

import dataclasses
import enum
import random
from collections import OrderedDict
from collections.abc import Callable, Hashable, Iterable
from typing import Generic, TypeVar

from papayatack.core.errors import ErrorKind

__all__ = ["NODE_FAILURES", "Attempt", "HealthState", "HealthTracker"]

Node = TypeVar("Node", bound=Hashable)

NODE_FAILURES = frozenset(
    {
        ErrorKind.UPSTREAM_UNREACHABLE,
        ErrorKind.UPSTREAM_LOST,
        ErrorKind.UPSTREAM_CRASHED,
        ErrorKind.UPSTREAM_TIMEOUT,
        ErrorKind.RESPONSE_TRUNCATED,
        ErrorKind.PEER_UNREACHABLE,
        ErrorKind.PEER_LOST,
    }
)
"""Errors that count as failures of the node; load shedding and refusals do not."""

CONSECUTIVE_FAILURES = 5
"""Failures in a row that eject a node."""

FAILURE_SMOOTHING = 0.1
"""Weight of a new sample in the moving average of the failure share."""

FAILURE_SHARE = 0.5
"""Failure share that ejects a node."""

FAILURE_MIN_SAMPLES = 20
"""Samples before the failure share can eject a node."""

MIN_STALL_S = 1.0
"""Minimum stall timeout, and the stall timeout of probes, in seconds."""

STALL_FACTOR = 4.0
"""Stall timeout as a multiple of the maximum latency."""

MAX_STALL_S = 10.0
"""Maximum stall timeout, used also before the first measurement, in seconds."""

MAX_LATENCY_SMOOTHING = 0.01
"""Weight with which a shorter latency lowers the maximum latency."""

MIN_EJECTION_S = 0.5
"""Duration of the first ejection, in seconds, before jitter."""

EJECTION_FACTOR = 2.0
"""Factor by which each failed probe lengthens the ejection."""

MAX_EJECTION_S = 2.0
"""Maximum duration of an ejection, in seconds, before jitter."""

PROBES_TO_RECOVER = 2
"""Successful probes after which a node is healthy again."""

UNREPEATABLE_PROBE_DELAY_S = 2.0
"""Time after an ejection for which only repeatable requests are sent as probes, in
seconds, unless the node reports itself healthy."""

REPORT_MAX_AGE_S = 5.0
"""Age in seconds after which a health report is ignored."""

MAX_EJECTED_SHARE = 0.5
"""Default maximum share of the nodes that are ejected at once."""


class HealthState(enum.StrEnum):
    """Whether and how a node receives requests."""

    HEALTHY = "healthy"
    EJECTED = "ejected"
    PROBING = "probing"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Attempt:
    """A request in flight to a node.

    Attributes:
        number: Sequence number, unique within the tracker.
        kind: Kind of request; requests of the same kind have similar latencies.
        started_s: Time at which it was sent, in seconds.
    """

    number: int
    kind: str
    started_s: float


@dataclasses.dataclass(slots=True, kw_only=True)
class _KindStats:
    """Attempts of one kind in flight, and the maximum latency of the kind."""

    max_latency_s: float | None = None
    started: OrderedDict[int, float] = dataclasses.field(default_factory=OrderedDict)

    def stall_timeout(self) -> float:
        """Return the time without a response after which the node counts as stalled."""
        if self.max_latency_s is None:
            return MAX_STALL_S
        return min(max(MIN_STALL_S, STALL_FACTOR * self.max_latency_s), MAX_STALL_S)

    def record_latency(self, latency_s: float) -> None:
        """Update the maximum latency, which rises at once and decays slowly."""
        if self.max_latency_s is None or latency_s > self.max_latency_s:
            self.max_latency_s = latency_s
        else:
            self.max_latency_s += (
                latency_s - self.max_latency_s
            ) * MAX_LATENCY_SMOOTHING

    def is_within_usual_latency(self, latency_s: float) -> bool:
        """Return whether responses can take longer than the given latency."""
        usual_s = MIN_STALL_S if self.max_latency_s is None else self.max_latency_s
        return latency_s < usual_s


@dataclasses.dataclass(slots=True, kw_only=True)
class _NodeHealth:
    """State and measurements of one node."""

    state: HealthState = HealthState.HEALTHY
    ejected_until_s: float = 0.0
    ejection_s: float = MIN_EJECTION_S
    consecutive_failures: int = 0
    samples: int = 0
    failure_share: float = 0.0
    last_progress_s: float = float("-inf")
    probes_passed: int = 0
    reported_healthy_s: float = float("-inf")
    kinds: dict[str, _KindStats] = dataclasses.field(default_factory=dict)

    def find_kind(self, name: str) -> _KindStats:
        """Return the measurements of a kind of request."""
        kind = self.kinds.get(name)
        if kind is None:
            kind = _KindStats()
            self.kinds[name] = kind
        return kind

    def find_probe_start(self) -> float | None:
        """Return the start of the probe in flight, ignoring older attempts."""
        if self.state is HealthState.HEALTHY:
            return None
        newest_s = [
            next(reversed(kind.started.values()))
            for kind in self.kinds.values()
            if kind.started
        ]
        probe_s = max(newest_s, default=float("-inf"))
        return probe_s if probe_s >= self.ejected_until_s else None

    def find_stall_deadline(self) -> float | None:
        """Return when the node counts as stalled unless it answers before."""
        if self.state is not HealthState.HEALTHY:
            probe_s = self.find_probe_start()
            return None if probe_s is None else probe_s + MIN_STALL_S
        stalls_s = [
            max(self.last_progress_s, next(iter(kind.started.values())))
            + kind.stall_timeout()
            for kind in self.kinds.values()
            if kind.started
        ]
        return min(stalls_s, default=None)


class HealthTracker(Generic[Node]):
    """Ejects failing and stalled nodes, and probes them with one request at a time.

    Args:
        nodes: All nodes that requests are distributed over.
        max_ejected_share: Maximum share of the nodes that are ejected at once. Beyond
            it a bad node stays in use, because some responses are better than none.
        rng: Source of the jitter that spreads the probes of many trackers.
        count: Called with ``health`` and the kind of event, to count it.
    """

    def __init__(
        self,
        *,
        nodes: Iterable[Node],
        max_ejected_share: float = MAX_EJECTED_SHARE,
        rng: random.Random | None = None,
        count: Callable[[str, str], None] | None = None,
    ) -> None:
        self._max_ejected_share = max_ejected_share
        self._rng = rng or random.Random()
        self._count = count
        self._number = 0
        self._nodes = {node: _NodeHealth() for node in nodes}

    def set_nodes(self, nodes: Iterable[Node]) -> None:
        """Replace the set of nodes; known nodes keep their measurements."""
        self._nodes = {node: self._nodes.get(node, _NodeHealth()) for node in nodes}

    def read_state(self, node: Node) -> HealthState:
        """Return the state of a node."""
        return self._nodes[node].state

    def start_attempt(self, now: float, node: Node, *, kind: str = "") -> Attempt:
        """Record that a request was sent to the node.

        Args:
            now: The current time, in seconds.
            node: The node.
            kind: Kind of request; requests of the same kind have similar latencies.
        """
        self._number += 1
        attempt = Attempt(number=self._number, kind=kind, started_s=now)
        health = self._nodes.get(node)
        if health is not None:
            health.find_kind(kind).started[attempt.number] = now
        return attempt

    def finish_attempt(
        self, now: float, node: Node, attempt: Attempt, *, error: ErrorKind | None
    ) -> None:
        """Record the result of an attempt.

        A timeout counts as a failure only if it was longer than responses usually take:
        callers with short timeouts must not eject a node.
        """
        health = self._nodes.get(node)
        if health is None:
            return
        kind = health.find_kind(attempt.kind)
        if kind.started.pop(attempt.number, None) is None:
            return
        latency_s = now - attempt.started_s
        if error is ErrorKind.UPSTREAM_TIMEOUT and kind.is_within_usual_latency(
            latency_s
        ):
            return
        if error in NODE_FAILURES:
            self._record_failure(now, health, attempt.started_s)
        elif error is not ErrorKind.CALLER_LEFT:
            self._record_success(now, health, kind, latency_s)

    def record_health_report(self, now: float, node: Node, *, healthy: bool) -> None:
        """Record a report of the node's health endpoint."""
        health = self._nodes.get(node)
        if health is not None and healthy:
            health.reported_healthy_s = now

    def check(self, now: float) -> tuple[Node, ...]:
        """Eject and return stalled nodes; start probing after ended ejections."""
        stalled = []
        for node, health in self._nodes.items():
            if health.state is HealthState.EJECTED and now >= health.ejected_until_s:
                health.state = HealthState.PROBING
            stall_s = health.find_stall_deadline()
            if stall_s is None or now < stall_s:
                continue
            if self._eject(now, health, "frozen"):
                stalled.append(node)
        return tuple(stalled)

    def next_check(self) -> float | None:
        """Return when to call :meth:`check` if nothing else happens, or ``None``."""
        times_s = []
        for health in self._nodes.values():
            if health.state is HealthState.EJECTED:
                times_s.append(health.ejected_until_s)
            elif (stall_s := health.find_stall_deadline()) is not None:
                times_s.append(stall_s)
        return min(times_s, default=None)

    def allows(self, now: float, node: Node, *, repeatable: bool) -> bool:
        """Return whether a request may be sent to the node now.

        An unrepeatable request is used as a probe only if the node reports itself
        healthy, or if no other request has probed it for a while.
        """
        health = self._nodes.get(node)
        if health is None:
            return False
        if health.state is HealthState.HEALTHY:
            return True
        if now < health.ejected_until_s or health.find_probe_start() is not None:
            return False
        if repeatable or now >= health.ejected_until_s + UNREPEATABLE_PROBE_DELAY_S:
            return True
        return now - health.reported_healthy_s < REPORT_MAX_AGE_S

    def read_retry_after(self, now: float, node: Node) -> float:
        """Return the time until the node may be tried again, in seconds."""
        health = self._nodes[node]
        return max(health.ejected_until_s - now, MIN_EJECTION_S)

    def _record_failure(
        self, now: float, health: _NodeHealth, started_s: float
    ) -> None:
        health.consecutive_failures += 1
        self._add_sample(health, 1.0)
        if health.state is HealthState.HEALTHY:
            fails_often = (
                health.samples >= FAILURE_MIN_SAMPLES
                and health.failure_share >= FAILURE_SHARE
            )
            if fails_often or health.consecutive_failures >= CONSECUTIVE_FAILURES:
                self._eject(now, health, "failing")
        elif started_s >= health.ejected_until_s:
            self._eject(now, health, "probe-failed")

    def _record_success(
        self, now: float, health: _NodeHealth, kind: _KindStats, latency_s: float
    ) -> None:
        health.consecutive_failures = 0
        health.last_progress_s = now
        self._add_sample(health, 0.0)
        if health.state is not HealthState.HEALTHY:
            # The latency of a stalled node is not representative.
            self._record_probe(now, health)
            return
        kind.record_latency(latency_s)

    def _record_probe(self, now: float, health: _NodeHealth) -> None:
        """Count a response of an ejected node; an early one ends the ejection."""
        health.ejected_until_s = min(health.ejected_until_s, now)
        health.state = HealthState.PROBING
        health.probes_passed += 1
        if health.probes_passed < PROBES_TO_RECOVER:
            return
        health.state = HealthState.HEALTHY
        health.ejection_s = MIN_EJECTION_S
        health.samples = 0
        health.failure_share = 0.0
        self._count_event("recovered")

    def _add_sample(self, health: _NodeHealth, failed: float) -> None:
        health.samples += 1
        health.failure_share += FAILURE_SMOOTHING * (failed - health.failure_share)

    def _eject(self, now: float, health: _NodeHealth, reason: str) -> bool:
        """Eject a node, unless too many are ejected already; return whether it was."""
        others_out = sum(
            other.state is not HealthState.HEALTHY
            for other in self._nodes.values()
            if other is not health
        )
        if others_out + 1 > self._max_ejected_share * len(self._nodes):
            self._count_event("ejection-refused")
            health.last_progress_s = now
            return False
        if health.state is not HealthState.HEALTHY:
            health.ejection_s = min(health.ejection_s * EJECTION_FACTOR, MAX_EJECTION_S)
        health.state = HealthState.EJECTED
        health.ejected_until_s = now + health.ejection_s * self._rng.uniform(0.8, 1.2)
        health.probes_passed = 0
        self._count_event(reason)
        return True

    def _count_event(self, event: str) -> None:
        if self._count is not None:
            self._count("health", event)
