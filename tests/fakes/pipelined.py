"""Plays of connections on which requests are sent ahead, on a clock of their own."""

import dataclasses
import heapq
import itertools

from papayatack.core.pipeline import Pipeline, PipelineLimits

__all__ = ["Connection", "Play", "Sent"]


@dataclasses.dataclass(slots=True, kw_only=True)
class Sent:
    """A request that a caller sends.

    Attributes:
        at_s: When its bytes reach the node.
        work_s: How long it runs.
        size: Bytes of its response.
        is_repeatable: Whether it may run beside others.
        closes: Whether its response closes the connection.
        is_cut: Whether its response is cut.
    """

    at_s: float = 0.0
    work_s: float = 0.0
    size: int = 0
    is_repeatable: bool = True
    closes: bool = False
    is_cut: bool = False


@dataclasses.dataclass(slots=True, kw_only=True)
class Play:
    """What happens while connections are played.

    Attributes:
        slots: Requests that the upstreams run at once.
        drain_at_s: When the node begins to shut down.
        now: Seconds since the start.
        most_running: Most requests that ran at once.
    """

    slots: int = 1_000_000
    drain_at_s: float = float("inf")
    now: float = 0.0
    most_running: int = 0
    _running: int = 0
    _queue: list = dataclasses.field(default_factory=list)
    _events: list = dataclasses.field(default_factory=list)
    _numbers: itertools.count = dataclasses.field(default_factory=itertools.count)

    @property
    def is_draining(self):
        """Whether the node is shutting down."""
        return self.now >= self.drain_at_s

    def call_at(self, at_s, call):
        """Have a function called at a time."""
        heapq.heappush(self._events, (at_s, next(self._numbers), call))

    def run_request(self, work_s, end):
        """Run a request once a slot is free, and call a function at its end."""
        self._queue.append((work_s, end))
        self._fill_slots()

    def _fill_slots(self):
        while self._queue and self._running < self.slots:
            work_s, end = self._queue.pop(0)
            self._running += 1
            self.most_running = max(self.most_running, self._running)
            self.call_at(self.now + work_s, lambda end=end: self._end_request(end))

    def _end_request(self, end):
        self._running -= 1
        end()
        self._fill_slots()

    def finish(self):
        """Play until nothing more happens."""
        while self._events:
            self.now, _, call = heapq.heappop(self._events)
            call()


class Connection:
    """One connection, on which the decisions are those of a pipeline.

    Attributes:
        answered: Number of each request that was answered and when, in order.
        begun: Number of each request that was begun, in order.
        running: Numbers of the requests that run.
        beside: For each request that was begun, those that were in flight then.
        is_closed: Whether the connection has ended.
        most_held_bytes: Most bytes that were held at once.
    """

    def __init__(self, *, play, sent, limits):
        self._play = play
        self._sent = sent
        self._limits = limits
        self._pipeline = Pipeline()
        self._next = 0
        self._in_order = []
        self._ready = set()
        self.answered = []
        self.begun = []
        self.beside = {}
        self.is_closed = False
        self.most_held_bytes = 0
        for request in sent:
            play.call_at(request.at_s, self._read)

    def _read(self):
        """Read what has come, as far as is allowed."""
        while not self.is_closed and self._has_next() and self._may_read():
            number = self._next
            self._next += 1
            self._in_order.append(number)
            is_repeatable = self._sent[number].is_repeatable
            if self._pipeline.add(runs_beside=is_repeatable):
                self._begin(number)

    def _has_next(self):
        sent = self._sent
        return self._next < len(sent) and sent[self._next].at_s <= self._play.now

    def _may_read(self):
        if self._play.is_draining and not self._in_order:
            return False
        obstacle = self._pipeline.find_obstacle(
            self._limits,
            last_runs_beside=lambda: self._sent[self._in_order[-1]].is_repeatable,
            is_draining=self._play.is_draining,
        )
        return obstacle is None

    def _begin(self, number):
        self.begun.append(number)
        self.beside[number] = [n for n in self._in_order if n != number]
        self._play.run_request(
            self._sent[number].work_s, lambda: self._end_request(number)
        )

    def _end_request(self, number):
        if self.is_closed:
            return
        self._ready.add(number)
        if self._in_order[0] != number:
            self._hold(number)
        self._write()
        self._read()

    def _hold(self, number):
        if self._pipeline.may_hold(self._limits.held_bytes):
            self._pipeline.hold(self._sent[number].size)
        else:
            self._sent[number] = dataclasses.replace(self._sent[number], size=0)
        self.most_held_bytes = max(self.most_held_bytes, self._pipeline.held_bytes)

    def _write(self):
        """Write the responses whose turn has come."""
        is_first_turn = True
        while self._in_order and self._in_order[0] in self._ready:
            number = self._in_order[0]
            if not is_first_turn:
                self._pipeline.release(self._sent[number].size)
            is_first_turn = False
            if self._sent[number].is_cut:
                self.is_closed = True
                return
            self.answered.append((number, self._play.now))
            waits = self._pipeline.is_waiting and len(self._in_order) == 2
            is_last = len(self._in_order) == 1 or waits
            if self._sent[number].closes or (self._play.is_draining and is_last):
                self.is_closed = True
                return
            self._in_order.pop(0)
            if self._pipeline.end_first():
                self._begin(self._in_order[0])


def limit(requests, held_bytes=1_000_000):
    """Return limits of a connection."""
    return PipelineLimits(requests=requests, held_bytes=held_bytes)
